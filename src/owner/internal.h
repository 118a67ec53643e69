/**
 * @file
 * Shared by the files of the owner part only.
 */
#ifndef HS_OWNER_INTERNAL_H
#define HS_OWNER_INTERNAL_H

#include "owner/owner.h"
#include "policy/bucket.h"
#include "policy/credits.h"
#include "policy/fair_queue.h"
#include "policy/feasible.h"
#include "policy/health.h"
#include "policy/heap.h"
#include "policy/loans.h"
#include "policy/retry.h"

#define NO_HANDLE UINT32_MAX

/** Starts are sent only if the lease is certain for this long. */
#define START_LEASE_MIN (100 * HS_MSEC)

/** An agent that hasn't answered RECOVER by then can't be waited for. */
#define RECOVER_TIMEOUT (2 * HS_SEC)

/** A result may take this much longer than the task's own timeout. */
#define RESULT_GRACE (5 * HS_SEC)

/** "customer/id" with its terminator. */
#define JOB_KEY_SIZE (HSX_NAME_MAX + 1 + HSX_ID_MAX + 1)

typedef enum
{
  TASK_DEFERRED, /* Waits for a claim, the partition's recovery, or a retry. */
  TASK_QUEUED,   /* In the fair queue. */
  TASK_SENT,     /* A start was sent; no result yet. */
  TASK_FINISHED
} TaskState;

/** Agents that may mark a task as never to start before it ends as not run. */
#define TASK_FENCES_MAX 4

typedef struct Job Job;
typedef struct Customer Customer;

typedef struct
{
  Job *job;
  uint32_t index;
  uint32_t handle; /* In the owner's task table; NO_HANDLE if finished. */
  TaskState state;
  uint32_t agent; /* Handle; TASK_SENT only. */
  bool holds_credit;
  bool outcome_unknown; /* Sent, but perhaps never received; see SETTLE. */
  uint32_t attempts;
  uint32_t fenced_agents[TASK_FENCES_MAX]; /* Handles of agents that never start
                                              it. */
  uint32_t n_fenced_agents;
  HsTime charged;
  HsTime queued_at;
  HsTime sent_at;
  uint64_t sent_epoch; /* 0: sent by another owner. */
  HsTime deadline;
  hsx_task task;
  hsx_task_answer answer;
} Task;

struct Job
{
  char *customer_name; /* Its name in `customer`. */
  char *id;            /* The end of `key`. */
  uint32_t part;
  char digest[HSX_DIGEST_SIZE];
  Customer *customer;
  HsTime arrived_at;
  HsTime finished_at;
  uint32_t n_tasks;
  uint32_t n_unfinished;
  bool claim_pending;
  bool bodies_evicted;
  bool pinned;         /* In the owner's list of opaque ids. */
  HsTime queue_wait;   /* Of the last task that was started. */
  GArray *waiters;     /* HsWaiter; NULL once finished. */
  GList finished_link; /* In one of the owner's lists of finished jobs. */
  Task *tasks;         /* NULL once finished. */
  /* Of a finished job only. */
  hsx_task_answer *answers;
  char *bodies; /* Those of `answers`, end to end. */
  size_t bodies_len;
  char key[]; /* "customer/id". */
};

struct Customer
{
  char name[HSX_NAME_MAX + 1];
  uint32_t flow;
  bool has_plan; /* Has a plan and an allowance. */
  HsAllowance allowance;
  HsBucket bucket;
  uint32_t in_flight;
  uint32_t queued;
};

typedef struct
{
  uint64_t incarnation;
  uint32_t revision;
  hsx_member_state state;
  hsx_needs capacity;
  uint32_t slots;
  bool connected;
  bool visible;                 /* Every other entry knows it. */
  bool counted_feasible;        /* Its capacity is counted in `feasible`. */
  bool recover_pending;         /* RECOVER sent, no reply yet. */
  uint32_t asked_generation;    /* Generation of that RECOVER. */
  uint32_t answered_generation; /* Generation answered whole. */
  uint32_t recover_cursor;      /* Of the next page of the reply. */
  bool history_too_short;       /* Remembers less than the retention. */
  uint32_t settles_pending;     /* SETTLE calls without reply. */
  bool settle_needed; /* Tasks became unsettled since they were sent. */
  int64_t lost_at_ms; /* Wall time at which it was lost. */
} Agent;

typedef enum
{
  PARTITION_NOT_OWNED,
  PARTITION_RECOVERING,
  PARTITION_SERVING,
  PARTITION_FROZEN
} PartitionState;

typedef struct
{
  PartitionState state;
  bool never_owned; /* Never had an owner before. */
  bool claims_loaded;
  uint64_t epoch;
  /* Ids minted before this and unknown may have run; 0: none. */
  int64_t uncertain_before_ms;
  /* Of ids minted before this, finished jobs were forgotten for room. */
  int64_t evicted_before_ms;
  HsTime recover_until;
  uint32_t generation;   /* Agents must have answered this one. */
  uint64_t staged_epoch; /* Epoch of the old owner; 0: nothing staged. */
  bool staged_complete;
  int64_t staged_uncertain_before_ms;
  GPtrArray *staged; /* StagedJob. */
  GArray *deferred;  /* DeferredRequest. */
} Partition;

/* A job that another entry hands over. */
typedef struct
{
  hsx_handover_job job; /* Freed by xdr_free(). */
  HsTime arrived_at;
} StagedJob;

typedef struct
{
  HsWaiter waiter;
  const hsx_forward_args *args;
} DeferredRequest;

/* A start that an agent remembers and no job here accounts for. */
typedef struct
{
  char key[JOB_KEY_SIZE];
  uint32_t part;
  GPtrArray *tasks; /* RecoveredTask. */
  HsTime recovered_at;
  bool claimed; /* A claim was found; the id is opaque. */
  int64_t claimed_ms;
} RecoveredJob;

typedef struct
{
  uint32_t index;
  uint64_t digest_prefix;
  uint32_t agent;
  hsx_outcome outcome;
  uint32_t http_status;
  char *body;
  uint32_t body_len;
} RecoveredTask;

/* The credit that may_start() took for the task being popped. */
typedef struct
{
  uint32_t agent;
  hsx_credit credit;
} PickedCredit;

struct HsOwner
{
  HsOwnerConfig config;
  HsOwnerEffects effects;
  void *arg;
  HsOwnerStats stats;
  HsTime lease_until;
  int64_t agents_known_since_ms;
  Partition *parts;
  uint32_t n_owned;
  uint32_t n_recovering;
  uint32_t generation;        /* Rises with each hs_owner_acquire(). */
  GHashTable *jobs;           /* key to Job. */
  GHashTable *recovered_jobs; /* key to RecoveredJob. */
  GHashTable *customers;      /* name to Customer. */
  GPtrArray *flows;           /* flow handle to Customer. */
  GHashTable *waiters;        /* HsWaiter to Job; NULL: parked. */
  HsLists *lists;
  GPtrArray *tasks; /* handle to Task; NULL: free. */
  GArray *free_task_handles;
  uint32_t *timer_positions;
  uint32_t timer_capacity;
  HsHeap timers;
  GList *first_with_bodies; /* Oldest link of `kept` with bodies; NULL: none. */
  GQueue finished;          /* Finished jobs, oldest first. */
  GQueue pinned;            /* Opaque ids out of `kept`, which stay known. */
  uint64_t retained_bytes;  /* Of all of these, with their bodies. */
  uint64_t bodies_bytes;
  HsTime recovered_sweep_at; /* Of `recovered`. */
  uint32_t n_unfinished;
  Agent *agents; /* Table by handle. */
  uint32_t n_agents;
  GHashTable *agent_handles; /* incarnation to handle + 1. */
  HsFairQueue *queue;
  HsCredits *credits;
  HsHealth *health;
  HsFeasible *feasible;
  HsLoans *loans;
  HsRetry retry;
  uint64_t random;
  GArray *peers; /* handle to incarnation; 0: free. */
  PickedCredit picked;
};

/* jobs.c */
void job_key (char key[JOB_KEY_SIZE], const char *customer, const char *id);
Job *job_find (HsOwner *owner, const char *customer, const char *id);
Job *job_new (HsOwner *owner, const hsx_forward_args *args, HsNow now);
void job_drop (HsOwner *owner, Job *job);
void job_wait (HsOwner *owner, Job *job, HsWaiter waiter);
void job_finished (HsOwner *owner, Job *job, HsNow now);
void job_answer_all (HsOwner *owner, Job *job, HsNow now);
void job_answer_one (HsOwner *owner, const Job *job, HsWaiter waiter);
void job_refuse (HsOwner *owner,
                 Job *job,
                 unsigned int kind,
                 bool not_run,
                 const char *reason);
/* While it doesn't hold, another owner may act: nothing may be said. */
bool lease_is_valid (const HsOwner *owner, HsNow now);
void refuse_request (HsOwner *owner,
                     HsWaiter waiter,
                     unsigned int kind,
                     bool not_run,
                     HsTime retry_after,
                     const char *reason);

/* keep.c */
/* The job holds from now on only what an answer needs. */
void job_retain (HsOwner *owner, Job *job, HsNow now);
void job_unretain (HsOwner *owner, Job *job);
void retention_sweep (HsOwner *owner, HsNow now);

/* customers.c */
Customer *customer_get (HsOwner *owner, const char *name, HsNow now);
void customers_refresh (HsOwner *owner, HsNow now);

/* dispatch.c */
void job_enqueue_tasks (HsOwner *owner, Job *job, HsNow now);
void task_finish (HsOwner *owner,
                  Task *task,
                  hsx_task_state state,
                  unsigned int kind,
                  unsigned int http_status,
                  const char *body,
                  size_t n,
                  HsNow now);
void
task_retry_later (HsOwner *owner, Task *task, bool target_failed, HsNow now);
void task_apply_result (HsOwner *owner,
                        Task *task,
                        const hsx_result *result,
                        HsNow now);
void task_unmark_sent (HsOwner *owner, Task *task);
/** The task's name in messages; its strings are the job's. */
hsx_task_key task_key (const Task *task);
void task_mark_sent (HsOwner *owner, Task *task, uint32_t agent, HsNow now);
void dispatch_tasks (HsOwner *owner, HsNow now);
void apply_health_changes (HsOwner *owner, HsNow now);
void run_due_timers (HsOwner *owner, HsNow now);

/* submit.c */
void serve_deferred_requests (HsOwner *owner, Partition *partition, HsNow now);
void job_reroute (HsOwner *owner, Job *job);

/* takeover.c */
RecoveredJob *recovered_job_find (HsOwner *owner, const char *key);
void recovered_job_drop (HsOwner *owner, RecoveredJob *recovered);
bool recovered_job_apply_result (HsOwner *owner, const hsx_result *result);
void recovered_jobs_sweep (HsOwner *owner, HsNow now);
void recovered_jobs_agent_lost (HsOwner *owner, uint32_t agent);
void recover_agent (HsOwner *owner, uint32_t agent);
void finish_due_recoveries (HsOwner *owner, HsNow now);
void partition_drop_staged (Partition *partition);

/* handover.c */
void staged_job_free (gpointer staged);
void partition_adopt_staged (HsOwner *owner,
                             uint32_t part,
                             uint64_t previous_epoch,
                             HsNow now);

/* peers.c */
void exchange_credits (HsOwner *owner, HsNow now);

/* agents.c */
Agent *agent_find (HsOwner *owner, uint64_t incarnation, uint32_t *handle);
void settle_agent (HsOwner *owner, uint32_t handle);
void settle_adopted (HsOwner *owner, uint32_t handle);

#endif
