#include "http/curl_loop.h"

#include <glib.h>

#include "base/timer.h"

typedef enum
{
  TRANSFER_ADDING, /* To be added when libcurl has returned. */
  TRANSFER_ACTIVE,
  TRANSFER_CANCELLED /* To be removed when libcurl has returned. */
} TransferState;

typedef struct
{
  HsCurl *curl;
  CURL *easy;
  HsCurlDoneFunc done;
  void *arg;
  TransferState state;
  bool sent;
} Transfer;

struct HsCurl
{
  CURLM *multi;
  struct tevent_context *ev;
  HsTimer *timer;
  struct tevent_immediate *immediate;
  GHashTable *transfers; /* CURL * to Transfer *. */
  GQueue deferred; /* CURL * to add or remove when libcurl has returned. */
  bool in_curl;    /* In a callback, where libcurl refuses calls. */
  bool *freed;     /* Set by the destructor for report_completed(). */
};

/* A socket of libcurl that the event loop watches. */
typedef struct
{
  HsCurl *curl;
  curl_socket_t fd;
  struct tevent_fd *fd_event;
} Socket;

static int free_curl (HsCurl *curl);
static int on_socket_interest (CURL *easy,
                               curl_socket_t fd,
                               int what,
                               void *arg,
                               void *socket_arg);
static int on_timer_change (CURLM *multi, long timeout_ms, void *arg);
static int
before_request (void *arg, char *peer, char *local, int peer_port, int port);
static void on_timer (void *arg);
static void run_socket_action (HsCurl *curl, curl_socket_t fd, int events);
static size_t discard (char *data, size_t size, size_t n, void *arg);

HsCurl *
hs_curl_new (TALLOC_CTX *ctx, struct tevent_context *ev)
{
  HsCurl *curl = talloc_zero (ctx, HsCurl);

  curl->ev = ev;
  curl->timer = hs_timer_new (curl, ev, on_timer, curl);
  curl->immediate = tevent_create_immediate (curl);
  curl->multi = curl_multi_init ();
  if (curl->multi == NULL)
    g_error ("out of memory");
  curl->transfers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  g_queue_init (&curl->deferred);
  curl_multi_setopt (curl->multi, CURLMOPT_SOCKETFUNCTION, on_socket_interest);
  curl_multi_setopt (curl->multi, CURLMOPT_SOCKETDATA, curl);
  curl_multi_setopt (curl->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (curl->multi, CURLMOPT_TIMERDATA, curl);
  talloc_set_destructor (curl, free_curl);
  return curl;
}

void
hs_curl_set_max_idle (HsCurl *curl, long n)
{
  curl_multi_setopt (curl->multi, CURLMOPT_MAXCONNECTS, n);
}

void
hs_curl_add (HsCurl *curl, CURL *easy, HsCurlDoneFunc done, void *arg)
{
  Transfer *transfer = g_new0 (Transfer, 1);

  transfer->curl = curl;
  transfer->easy = easy;
  transfer->done = done;
  transfer->arg = arg;
  g_hash_table_insert (curl->transfers, easy, transfer);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  if (curl->in_curl)
    {
      g_queue_push_tail (&curl->deferred, easy);
      return;
    }
  transfer->state = TRANSFER_ACTIVE;
  if (curl_multi_add_handle (curl->multi, easy) != CURLM_OK)
    g_error ("out of memory");
}

void
hs_curl_remove (HsCurl *curl, CURL *easy)
{
  Transfer *transfer = g_hash_table_lookup (curl->transfers, easy);

  if (transfer == NULL || transfer->state == TRANSFER_CANCELLED)
    return;
  if (curl->in_curl && transfer->state == TRANSFER_ACTIVE)
    {
      transfer->state = TRANSFER_CANCELLED;
      curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard);
      curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, discard);
      g_queue_push_tail (&curl->deferred, easy);
      return;
    }
  if (transfer->state == TRANSFER_ACTIVE)
    curl_multi_remove_handle (curl->multi, easy);
  g_queue_remove (&curl->deferred, easy);
  g_hash_table_remove (curl->transfers, easy);
  curl_easy_cleanup (easy);
}

static int
free_curl (HsCurl *curl)
{
  GHashTableIter iter;
  void *easy;

  g_assert (!curl->in_curl);
  if (curl->freed != NULL)
    *curl->freed = true;
  g_hash_table_iter_init (&iter, curl->transfers);
  while (g_hash_table_iter_next (&iter, &easy, NULL))
    {
      curl_multi_remove_handle (curl->multi, easy);
      curl_easy_cleanup (easy);
    }
  curl_multi_cleanup (curl->multi);
  g_queue_clear (&curl->deferred);
  g_hash_table_destroy (curl->transfers);
  return 0;
}

static size_t
discard (char *data, size_t size, size_t n, void *arg)
{
  (void) data;
  (void) size;
  (void) n;
  (void) arg;
  return 0;
}

/* libcurl repeats a request by itself if a reused connection closes before the
   first byte of the response. The repetition is aborted, because the server may
   have acted on the first request. */
static int
before_request (void *arg, char *peer, char *local, int peer_port, int port)
{
  Transfer *transfer = arg;

  (void) peer;
  (void) local;
  (void) peer_port;
  (void) port;
  if (transfer->sent)
    return CURL_PREREQFUNC_ABORT;
  transfer->sent = true;
  return CURL_PREREQFUNC_OK;
}

static void
on_socket_ready (struct tevent_context *ev,
                 struct tevent_fd *fd_event,
                 uint16_t flags,
                 void *arg)
{
  Socket *sock = arg;
  int events = 0;

  (void) ev;
  (void) fd_event;
  if (flags & TEVENT_FD_READ)
    events |= CURL_CSELECT_IN;
  if (flags & TEVENT_FD_WRITE)
    events |= CURL_CSELECT_OUT;
  run_socket_action (sock->curl, sock->fd, events);
}

static int
on_socket_interest (CURL *easy,
                    curl_socket_t fd,
                    int what,
                    void *arg,
                    void *socket_arg)
{
  HsCurl *curl = arg;
  Socket *sock = socket_arg;
  uint16_t flags = 0;

  (void) easy;
  if (what == CURL_POLL_REMOVE)
    {
      talloc_free (sock);
      return 0;
    }
  /* tevent reports errors on a socket only to watchers for reading. */
  flags |= TEVENT_FD_READ;
  if (what & CURL_POLL_OUT)
    flags |= TEVENT_FD_WRITE;
  if (sock == NULL)
    {
      sock = talloc_zero (curl, Socket);
      sock->curl = curl;
      sock->fd = fd;
      sock->fd_event
          = tevent_add_fd (curl->ev, sock, fd, flags, on_socket_ready, sock);
      curl_multi_assign (curl->multi, fd, sock);
      return 0;
    }
  tevent_fd_set_flags (sock->fd_event, flags);
  return 0;
}

static void
on_timer (void *arg)
{
  run_socket_action (arg, CURL_SOCKET_TIMEOUT, 0);
}

static void
on_immediate (struct tevent_context *ev,
              struct tevent_immediate *immediate,
              void *arg)
{
  (void) ev;
  (void) immediate;
  run_socket_action (arg, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_timer_change (CURLM *multi, long timeout_ms, void *arg)
{
  HsCurl *curl = arg;

  (void) multi;
  if (timeout_ms == 0)
    {
      tevent_schedule_immediate (curl->immediate, curl->ev, on_immediate, curl);
      return 0;
    }
  if (timeout_ms < 0)
    hs_timer_clear (curl->timer);
  else
    hs_timer_set (curl->timer, timeout_ms * HS_MSEC, hs_now ().mono);
  return 0;
}

/* Adds and removes the transfers for which this was requested in libcurl's
   callbacks. */
static void
apply_deferred (HsCurl *curl)
{
  CURL *easy;

  while ((easy = g_queue_pop_head (&curl->deferred)) != NULL)
    {
      Transfer *transfer = g_hash_table_lookup (curl->transfers, easy);

      if (transfer->state == TRANSFER_ADDING)
        {
          transfer->state = TRANSFER_ACTIVE;
          if (curl_multi_add_handle (curl->multi, easy) != CURLM_OK)
            g_error ("out of memory");
          continue;
        }
      transfer->state = TRANSFER_ACTIVE;
      hs_curl_remove (curl, easy);
    }
}

/* Calls `done` for completed transfers, until one such call frees the loop. */
static void
report_completed (HsCurl *curl)
{
  bool *freed = talloc_zero (NULL, bool);
  CURLMsg *message;
  int left;

  curl->freed = freed;
  while (!*freed
         && (message = curl_multi_info_read (curl->multi, &left)) != NULL)
    {
      CURL *easy = message->easy_handle;
      CURLcode result = message->data.result;
      Transfer *transfer = g_hash_table_lookup (curl->transfers, easy);
      Transfer completed = *transfer;

      curl_multi_remove_handle (curl->multi, easy);
      g_hash_table_remove (curl->transfers, easy);
      completed.done (completed.arg, easy, result, completed.sent);
    }
  if (!*freed)
    curl->freed = NULL;
  talloc_free (freed);
}

static void
run_socket_action (HsCurl *curl, curl_socket_t fd, int events)
{
  int running;

  curl->in_curl = true;
  curl_multi_socket_action (curl->multi, fd, events, &running);
  curl->in_curl = false;
  apply_deferred (curl);
  report_completed (curl);
}
