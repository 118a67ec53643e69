#include "sim.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <sys/time.h>

#include "base/log.h"
#include "world.h"

struct SimEvent
{
  HsTime at;
  uint64_t sequence;
  Proc *proc;
  uint32_t incarnation;
  SimFunc func;
  void *arg;
};

struct tevent_timer
{
  struct tevent_context *ev;
  SimEvent *event;
  tevent_timer_handler_t handler;
  void *private_data;
  bool *freed;
};

struct tevent_immediate
{
  struct tevent_context *ev;
  SimEvent *event;
  tevent_immediate_handler_t handler;
  void *private_data;
};

/* Global, since the functions that are replaced get no context. */
static struct
{
  TALLOC_CTX *memory;
  GSequence *queue;
  HsTime now;
  uint64_t sequence;
  uint64_t random;
  uint64_t events;
  Proc *current;
  bool trace;
} sim;

static gint compare (gconstpointer a, gconstpointer b, gpointer unused);
static void run_event (SimEvent *event);
static void fire_timer (void *arg);
static int timer_destructor (struct tevent_timer *timer);
static void fire_immediate (void *arg);
static int immediate_destructor (struct tevent_immediate *immediate);
static uint64_t next_random (void);

void
sim_begin (uint64_t seed, bool trace)
{
  memset (&sim, 0, sizeof sim);
  sim.memory = talloc_new (NULL);
  sim.queue = g_sequence_new (NULL);
  sim.random = seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  sim.trace = trace;
}

void
sim_end (void)
{
  g_sequence_free (sim.queue);
  TALLOC_FREE (sim.memory);
}

HsTime
sim_now (void)
{
  return sim.now;
}

Proc *
sim_current (void)
{
  return sim.current;
}

uint32_t
sim_random (uint32_t n)
{
  return (uint32_t) ((next_random () >> 33) % n);
}

HsTime
sim_random_time (HsTime low, HsTime high)
{
  return low + (HsTime) (next_random () % (uint64_t) (high - low + 1));
}

TALLOC_CTX *
sim_memory (void)
{
  return sim.memory;
}

uint64_t
sim_event_count (void)
{
  return sim.events;
}

SimEvent *
sim_schedule (HsTime at, Proc *proc, SimFunc func, void *arg, bool owned)
{
  SimEvent *event = talloc_zero (sim.memory, SimEvent);

  event->at = MAX (at, sim.now);
  event->sequence = sim.sequence++;
  event->proc = proc;
  event->incarnation = proc != NULL ? proc->incarnation : 0;
  event->func = func;
  event->arg = owned ? talloc_steal (event, arg) : arg;
  g_sequence_insert_sorted (sim.queue, event, compare, NULL);
  return event;
}

void
sim_cancel (SimEvent *event)
{
  event->func = NULL;
}

void
sim_run (HsTime until)
{
  while (!g_sequence_is_empty (sim.queue))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim.queue);
      SimEvent *event = g_sequence_get (first);

      if (event->at > until)
        break;
      g_sequence_remove (first);
      sim.now = event->at;
      run_event (event);
    }
  sim.now = MAX (sim.now, until);
}

void
sim_trace (const char *format, ...)
{
  va_list args;

  if (!sim.trace)
    return;
  printf ("%10.6f %-7s ", (double) sim.now / (double) HS_SEC,
          sim.current != NULL ? sim.current->name : "-");
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

static gint
compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  const SimEvent *x = a;
  const SimEvent *y = b;

  (void) unused;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->sequence < y->sequence ? -1 : 1;
}

/* Events of a paused process are postponed until it resumes, in order. */
static void
run_event (SimEvent *event)
{
  Proc *proc = event->proc;

  if (event->func != NULL && proc != NULL
      && event->incarnation == proc->incarnation
      && proc->paused_until > sim.now)
    {
      event->at = proc->paused_until;
      g_sequence_insert_sorted (sim.queue, event, compare, NULL);
      return;
    }
  if (event->func != NULL
      && (proc == NULL || event->incarnation == proc->incarnation))
    {
      sim.current = proc;
      sim.events++;
      event->func (event->arg);
      sim.current = NULL;
      world_reap ();
    }
  talloc_free (event);
}

/* xorshift64* (Vigna). */
static uint64_t
next_random (void)
{
  sim.random ^= sim.random >> 12;
  sim.random ^= sim.random << 25;
  sim.random ^= sim.random >> 27;
  return sim.random * UINT64_C (0x2545f4914f6cdd1d);
}

/* Replacements of functions of the system, the library and tevent. */

HsNow
hs_now (void)
{
  HsNow now = { sim.now, WORLD_WALL_MS + sim.now / HS_MSEC };

  if (sim.current != NULL)
    {
      now.mono += sim.current->mono_offset;
      now.wall_ms += sim.current->wall_skew_ms;
    }
  return now;
}

ssize_t
getrandom (void *buffer, size_t size, unsigned int flags)
{
  uint8_t *bytes = buffer;
  size_t i;

  (void) flags;
  for (i = 0; i < size; i++)
    bytes[i] = (uint8_t) (next_random () >> 40);
  return (ssize_t) size;
}

void
hs_log (GLogLevelFlags level, const char *part, const char *format, ...)
{
  va_list args;
  char *text;

  (void) level;
  if (!sim.trace)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  sim_trace ("%s: %s", part, text);
  g_free (text);
}

struct timeval
tevent_timeval_current_ofs (uint32_t secs, uint32_t usecs)
{
  HsTime at = sim.now + secs * HS_SEC + usecs;

  return (struct timeval){ at / HS_SEC, at % HS_SEC };
}

struct tevent_timer *
_tevent_add_timer (struct tevent_context *ev,
                   TALLOC_CTX *ctx,
                   struct timeval next_event,
                   tevent_timer_handler_t handler,
                   void *private_data,
                   const char *handler_name,
                   const char *location)
{
  struct tevent_timer *timer = talloc_zero (ctx, struct tevent_timer);

  (void) handler_name;
  (void) location;
  timer->ev = ev;
  timer->handler = handler;
  timer->private_data = private_data;
  timer->event = sim_schedule (next_event.tv_sec * HS_SEC + next_event.tv_usec,
                               ev->proc, fire_timer, timer, false);
  talloc_set_destructor (timer, timer_destructor);
  return timer;
}

/* As in tevent, the timer is freed after its handler unless the handler freed
   it. */
static void
fire_timer (void *arg)
{
  struct tevent_timer *timer = arg;
  bool freed = false;

  timer->event = NULL;
  timer->freed = &freed;
  timer->handler (timer->ev, timer, tevent_timeval_current_ofs (0, 0),
                  timer->private_data);
  if (freed)
    return;
  timer->freed = NULL;
  talloc_free (timer);
}

static int
timer_destructor (struct tevent_timer *timer)
{
  if (timer->event != NULL)
    sim_cancel (timer->event);
  if (timer->freed != NULL)
    *timer->freed = true;
  return 0;
}

struct tevent_immediate *
_tevent_create_immediate (TALLOC_CTX *ctx, const char *location)
{
  struct tevent_immediate *im = talloc_zero (ctx, struct tevent_immediate);

  (void) location;
  talloc_set_destructor (im, immediate_destructor);
  return im;
}

void
_tevent_schedule_immediate (struct tevent_immediate *im,
                            struct tevent_context *ev,
                            tevent_immediate_handler_t handler,
                            void *private_data,
                            const char *handler_name,
                            const char *location)
{
  (void) handler_name;
  (void) location;
  if (im->event != NULL)
    sim_cancel (im->event);
  im->ev = ev;
  im->handler = handler;
  im->private_data = private_data;
  im->event = sim_schedule (sim.now, ev->proc, fire_immediate, im, false);
}

static void
fire_immediate (void *arg)
{
  struct tevent_immediate *im = arg;

  im->event = NULL;
  im->handler (im->ev, im, im->private_data);
}

static int
immediate_destructor (struct tevent_immediate *im)
{
  if (im->event != NULL)
    sim_cancel (im->event);
  return 0;
}

struct tevent_fd *
_tevent_add_fd (struct tevent_context *ev,
                TALLOC_CTX *ctx,
                int fd,
                uint16_t flags,
                tevent_fd_handler_t handler,
                void *private_data,
                const char *handler_name,
                const char *location)
{
  (void) fd;
  (void) flags;
  (void) handler_name;
  (void) location;
  ev->wake = handler;
  ev->wake_arg = private_data;
  return talloc_named_const (ctx, 1, "descriptor");
}
