#include "direct/process.h"

#include <signal.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>

#include "base/event.h"

/** An answer of the store takes 4 ms; slow ones, 50 times that. */
#define STORE_TIMEOUT (1200 * HS_MSEC)

struct HsReload
{
  char *path;
  void (*func) (void *arg, HsPlatformSettings *settings);
  void *arg;
  struct timespec changed_at;
};

static void on_hangup (struct tevent_context *ev,
                       struct tevent_signal *se,
                       int number,
                       int count,
                       void *info,
                       void *arg);
static struct timespec changed_at (const char *path);
static void reload_now (HsReload *reload, const char *cause);

uint64_t
hs_process_incarnation (void)
{
  uint64_t n = 0;

  while (n == 0)
    if (getrandom (&n, sizeof n, 0) < 0)
      g_error ("no random bytes from the kernel");
  return n;
}

HsStore *
hs_process_store (TALLOC_CTX *ctx,
                  struct tevent_context *ev,
                  const HsPlatformSettings *settings)
{
  g_autofree char *endpoint
      = g_strconcat ("http://", settings->store_address, NULL);
  const char *endpoints[] = { endpoint, NULL };
  HsStore *store = hs_store_new (ctx, ev, endpoints, STORE_TIMEOUT);

  hs_store_set_protocol (store, HS_STORE_PLATFORM);
  return store;
}

HsReload *
hs_reload_new (TALLOC_CTX *ctx,
               struct tevent_context *ev,
               const char *path,
               void (*func) (void *arg, HsPlatformSettings *settings),
               void *arg)
{
  HsReload *reload = talloc_zero (ctx, HsReload);

  reload->path = talloc_strdup (reload, path);
  reload->func = func;
  reload->arg = arg;
  reload->changed_at = changed_at (path);
  tevent_add_signal (ev, reload, SIGHUP, 0, on_hangup, reload);
  return reload;
}

void
hs_reload_check (HsReload *reload)
{
  struct timespec now = changed_at (reload->path);

  if (now.tv_sec != reload->changed_at.tv_sec
      || now.tv_nsec != reload->changed_at.tv_nsec)
    reload_now (reload, "file");
}

static void
on_hangup (struct tevent_context *ev,
           struct tevent_signal *se,
           int number,
           int count,
           void *info,
           void *arg)
{
  (void) ev;
  (void) se;
  (void) number;
  (void) count;
  (void) info;
  reload_now (arg, "signal");
}

static struct timespec
changed_at (const char *path)
{
  struct stat st;

  if (stat (path, &st) != 0)
    memset (&st, 0, sizeof st);
  return st.st_mtim;
}

static void
reload_now (HsReload *reload, const char *cause)
{
  g_autoptr (GError) error = NULL;
  HsPlatformSettings *settings;

  reload->changed_at = changed_at (reload->path);
  settings = hs_platform_settings_load (NULL, reload->path, &error);
  if (settings == NULL)
    {
      hs_event ("reload", "cause=%s outcome=refused error=\"%s\"", cause,
                error->message);
      return;
    }
  hs_event ("reload", "cause=%s outcome=taken", cause);
  reload->func (reload->arg, settings);
}
