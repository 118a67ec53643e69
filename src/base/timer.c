#include "base/timer.h"

#include <stdbool.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <glib.h>

/** Shortest delay of the descriptor: a delay of 0 would disarm it. */
#define DELAY_MIN (1 * HS_USEC)

struct HsTimer
{
  int fd;
  struct tevent_fd *event;
  HsTimerFunc func;
  void *arg;
  HsTime due_at;    /* When the timer expires; HS_NEVER: idle. */
  HsTime fd_due_at; /* When the descriptor becomes readable, at due_at or
                       before; HS_NEVER: disarmed. */
};

static int free_timer (HsTimer *timer);
static void arm (HsTimer *timer, HsTime now);
static void on_fd_ready (struct tevent_context *ev,
                         struct tevent_fd *event,
                         uint16_t flags,
                         void *arg);

HsTimer *
hs_timer_new (TALLOC_CTX *ctx,
              struct tevent_context *ev,
              HsTimerFunc func,
              void *arg)
{
  HsTimer *timer = talloc_zero (ctx, HsTimer);

  timer->func = func;
  timer->arg = arg;
  timer->due_at = HS_NEVER;
  timer->fd_due_at = HS_NEVER;
  timer->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer->fd < 0)
    g_error ("can't create a timer descriptor; raise the limit on open files");
  timer->event = tevent_add_fd (ev, timer, timer->fd, TEVENT_FD_READ,
                                on_fd_ready, timer);
  talloc_set_destructor (timer, free_timer);
  return timer;
}

void
hs_timer_set (HsTimer *timer, HsTime delay, HsTime now)
{
  timer->due_at = now + MAX (delay, 0);
  if (timer->due_at < timer->fd_due_at)
    arm (timer, now);
}

void
hs_timer_clear (HsTimer *timer)
{
  timer->due_at = HS_NEVER;
}

static int
free_timer (HsTimer *timer)
{
  TALLOC_FREE (timer->event);
  close (timer->fd);
  return 0;
}

static void
arm (HsTimer *timer, HsTime now)
{
  HsTime delay = MAX (timer->due_at - now, DELAY_MIN);
  struct itimerspec spec = { .it_value = { .tv_sec = delay / HS_SEC,
                                           .tv_nsec = delay % HS_SEC * 1000 } };

  timer->fd_due_at = timer->due_at;
  timerfd_settime (timer->fd, 0, &spec, NULL);
}

static void
on_fd_ready (struct tevent_context *ev,
             struct tevent_fd *event,
             uint16_t flags,
             void *arg)
{
  HsTimer *timer = arg;
  uint64_t n;
  HsTime now;

  (void) ev;
  (void) event;
  (void) flags;
  if (read (timer->fd, &n, sizeof n) < 0)
    return;
  timer->fd_due_at = HS_NEVER;
  if (timer->due_at == HS_NEVER)
    return;
  now = hs_now ().mono;
  if (timer->due_at > now)
    {
      arm (timer, now);
      return;
    }
  timer->due_at = HS_NEVER;
  timer->func (timer->arg);
}
