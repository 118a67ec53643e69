#include "base/queue.h"

#include <errno.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <sys/eventfd.h>

#include "base/error.h"
#include "base/tsan.h"

struct HsQueue
{
  struct cds_wfcq_tail tail;   /**< Used by the producers. */
  struct __cds_wfcq_head head; /**< Used by the loop only. */
  HsQueueFunc func;
  void *arg;
  int fd;
};

static int close_fd (HsQueue *queue);
static void drain_queue (struct tevent_context *ev,
                         struct tevent_fd *fde,
                         uint16_t flags,
                         void *arg);

HsQueue *
hs_queue_new (TALLOC_CTX *ctx,
              struct tevent_context *ev,
              HsQueueFunc func,
              void *arg,
              GError **error)
{
  HsQueue *queue = talloc_zero (ctx, HsQueue);

  __cds_wfcq_init (&queue->head, &queue->tail);
  queue->func = func;
  queue->arg = arg;
  queue->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (queue->fd < 0)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_IO,
                   "can't create an eventfd: %s; raise the limit on open files",
                   g_strerror (errno));
      talloc_free (queue);
      return NULL;
    }
  talloc_set_destructor (queue, close_fd);
  tevent_add_fd (ev, queue, queue->fd, TEVENT_FD_READ, drain_queue, queue);
  return queue;
}

void
hs_queue_push (HsQueue *queue, struct cds_wfcq_node *node)
{
  cds_wfcq_node_init (node);
  HS_TSAN_RELEASE (node);
  if (!cds_wfcq_enqueue (__cds_wfcq_head_cast (&queue->head), &queue->tail,
                         node))
    hs_queue_wake (queue);
}

void
hs_queue_wake (HsQueue *queue)
{
  uint64_t one = 1;
  ssize_t n = write (queue->fd, &one, sizeof one);

  /* A failed write does no harm: the eventfd counter is full only while the
     loop has a wakeup pending. */
  (void) n;
}

static int
close_fd (HsQueue *queue)
{
  close (queue->fd);
  return 0;
}

static void
drain_queue (struct tevent_context *ev,
             struct tevent_fd *fde,
             uint16_t flags,
             void *arg)
{
  HsQueue *queue = arg;
  struct __cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  struct cds_wfcq_node *node;
  uint64_t wakeups;
  ssize_t n;

  (void) ev;
  (void) fde;
  (void) flags;
  n = read (queue->fd, &wakeups, sizeof wakeups);
  (void) n;
  __cds_wfcq_init (&head, &tail);
  __cds_wfcq_splice_blocking (&head, &tail, &queue->head, &queue->tail);
  while ((node = __cds_wfcq_dequeue_blocking (&head, &tail)) != NULL)
    {
      HS_TSAN_ACQUIRE (node);
      queue->func (queue->arg, node);
    }
  queue->func (queue->arg, NULL);
}
