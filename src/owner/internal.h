/**
 * @file
 * Types and functions that only the files of src/owner share.
 */
#ifndef HS_OWNER_INTERNAL_H
#define HS_OWNER_INTERNAL_H

#include "owner/owner.h"
#include "policy/bucket.h"
#include "policy/containment.h"
#include "policy/credits.h"
#include "policy/fair_queue.h"
#include "policy/feasible.h"
#include "policy/health.h"
#include "policy/heap.h"
#include "policy/loans.h"
#include "policy/retry.h"

#define NO_HANDLE UINT32_MAX

/** Starts are sent only if the lease is valid for at least this long. */
#define START_LEASE_MIN (100 * HS_MSEC)

/** How long a partition waits for replies to RECOVER before it is served
 *  without the missing ones. */
#define RECOVER_TIMEOUT (2 * HS_SEC)

/** A sent task without a result ends as "may have run" this long after its
 *  timeout. */
#define RESULT_GRACE (5 * HS_SEC)

/** Size of "customer/id" with the terminating NUL. */
#define JOB_KEY_SIZE (HSX_NAME_MAX + 1 + HSX_ID_MAX + 1)

typedef enum
{
  TASK_DEFERRED, /* Waits until the claim is written, the partition is
                    served or a retry is due. */
  TASK_QUEUED,   /* In the fair queue. */
  TASK_SENT,     /* A start was sent, but no result has arrived. */
  TASK_FINISHED
} TaskState;

/** Number of agents that have fenced a task at which it ends as not run. */
#define FENCED_AGENTS_MAX 4

typedef struct Job Job;
typedef struct Customer Customer;

typedef struct
{
  Job *job;
  uint32_t index;
  uint32_t handle; /* Index in the owner's task table, or NO_HANDLE. */
  TaskState state;
  uint32_t agent;       /* Its handle; valid in TASK_SENT. */
  bool holds_credit;    /* This entry used a credit for it, own or borrowed. */
  bool outcome_unknown; /* The connection was lost or the task came by a
                           handover, so the start or its result may be lost.
                           A SETTLE call finds out. */
  uint32_t attempts;
  /* Handles of the agents that have fenced the task, so never start it. */
  uint32_t fenced_agents[FENCED_AGENTS_MAX];
  uint32_t n_fenced_agents;
  HsTime charged; /* Run time that the fair queue charged for it. */
  HsTime queued_at;
  HsTime sent_at;
  uint64_t sent_epoch; /* Epoch of the start; 0: sent by another owner. */
  HsTime deadline;
  hsx_task spec;
  hsx_task_answer answer;
} Task;

struct Job
{
  char *customer_name; /* Points into `customer`. */
  char *id;            /* Points into `key`. */
  uint32_t part;
  char digest[HSX_DIGEST_SIZE];
  Customer *customer;
  HsTime arrived_at;
  HsTime finished_at;
  uint32_t n_tasks;
  uint32_t n_unfinished;
  size_t bytes;        /* Of the bodies of its tasks, until it is finished. */
  bool claim_pending;  /* A claim of its id was asked for. */
  bool bodies_evicted; /* Its results were removed to free memory. */
  bool pinned;         /* In HsOwner::pinned; retained until it expires. */
  HsTime queue_wait;   /* Longest time that a task waited for its start. */
  GArray *waiters;     /* HsWaiter; NULL once finished. */
  GList finished_link; /* In HsOwner::finished or HsOwner::pinned. */
  Task *tasks;         /* NULL once finished. */
  /* Set once finished. */
  hsx_task_answer *answers;
  char *bodies; /* The bodies of `answers`, concatenated. */
  size_t bodies_len;
  char key[]; /* "customer/id". */
};

struct Customer
{
  char name[HSX_NAME_MAX + 1];
  uint32_t flow;        /* Handle in the fair queue. */
  uint32_t containment; /* Handle in HsOwner::containment. */
  bool has_plan;        /* The lists give it a plan with an allowance. */
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
  bool known_to_all_entries; /* Every other entry knows it. */
  bool counted_feasible;     /* Its capacity is in HsOwner::feasible. */
  bool reserve;              /* Serves contained customers. */
  bool recover_pending;      /* RECOVER was sent and not answered yet. */
  /* HsOwner::recovery_round when the first page of the last RECOVER reply was
     asked for. */
  uint32_t asked_round;
  uint32_t recovered_round; /* Latest round with a complete reply. */
  uint32_t recover_cursor;  /* Cursor of the next page of the reply. */
  bool start_log_too_short; /* Its start log is shorter than the retention. */
  uint32_t settles_pending; /* SETTLE calls without a reply. */
  /* Tasks with unknown outcome were added since those calls; SETTLE is called
     again after the replies. */
  bool settle_needed;
  int64_t lost_at_ms; /* Wall time when it was lost; 0: not lost. */
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
  bool never_owned;   /* No entry owned it before. */
  bool claims_loaded; /* All claims of earlier owners are known. */
  uint64_t epoch;
  /* Tasks of unknown ids that were created (if opaque: claimed) before this
     wall time may have run; 0: none. */
  int64_t uncertain_before_ms;
  /* Finished jobs whose ids were created before this wall time may have been
     evicted; 0: none. */
  int64_t evicted_before_ms;
  HsTime recover_deadline; /* Served then, even if agents did not answer. */
  /* HsOwner::recovery_round when the partition was acquired. It is recovered
     once every agent has answered completely in this round or a later one. */
  uint32_t recovery_round;
  /* Epoch under which the previous owner exported `staged`; 0: nothing is
     staged. */
  uint64_t staged_epoch;
  bool staged_complete; /* The last message of the handover has arrived. */
  int64_t staged_uncertain_before_ms; /* Becomes uncertain_before_ms. */
  GPtrArray *staged;                  /* StagedJob. */
  GArray *deferred;                   /* DeferredRequest. */
} Partition;

/* A job that another entry has sent in a handover. */
typedef struct
{
  hsx_handover_job job; /* To be freed with xdr_free(). */
  HsTime arrived_at;
} StagedJob;

/* A request that waits until its partition is served or its claims are
   loaded. */
typedef struct
{
  HsWaiter waiter;
  const hsx_forward_args *args;
} DeferredRequest;

/* What agents or claims report of an id that has no Job here. */
typedef struct
{
  char key[JOB_KEY_SIZE];
  uint32_t part;
  GPtrArray *tasks; /* RecoveredTask. */
  HsTime recovered_at;
  bool claimed; /* The id is opaque (HsOwnerEffects::claim) and an earlier
                   owner claimed it. */
  int64_t claimed_ms;
} RecoveredJob;

/* A task of such a job that an agent has started. */
typedef struct
{
  uint32_t index;
  uint64_t digest_prefix; /* First bytes of the digest of the job's content. */
  uint32_t agent;
  hsx_outcome outcome;
  uint32_t http_status;
  char *body;
  uint32_t body_len;
} RecoveredTask;

/* The credit for the task that the fair queue is popping: may_start() sets it,
   send_start() uses it. */
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
  Partition *partitions;
  uint32_t n_owned;
  uint32_t n_recovering;
  /* Number of calls of hs_owner_acquire(). A RECOVER reply covers the
     partitions acquired up to its round. */
  uint32_t recovery_round;
  GHashTable *jobs;           /* Job::key to Job. */
  GHashTable *recovered_jobs; /* RecoveredJob::key to RecoveredJob. */
  GHashTable *customers;      /* Customer::name to Customer. */
  GPtrArray *flows;           /* Flow handle to Customer. */
  GHashTable *waiters;        /* HsWaiter to Job, or to NULL if deferred. */
  HsLists *lists;
  GPtrArray *tasks; /* Handle to Task; NULL: free. */
  GArray *free_task_handles;
  uint32_t *timer_positions;
  uint32_t timer_capacity;
  HsHeap timers;
  GList *first_with_bodies; /* First link of `finished` whose bodies were not
                               evicted; NULL: none. */
  GQueue finished;          /* Finished jobs, oldest first. */
  /* Finished jobs with opaque ids that were moved out of `finished` instead of
     being evicted. An opaque id does not show its age: if its job were dropped
     before it expires, a resubmission would run it again. */
  GQueue pinned;
  uint64_t retained_bytes; /* Memory of `finished` and `pinned`, with bodies. */
  uint64_t bodies_bytes;   /* Part of it that bodies take. */
  uint64_t unfinished_bytes; /* Bodies of the tasks of unfinished jobs. */
  HsTime recovered_sweep_at; /* When `recovered_jobs` is next swept. */
  uint32_t n_unfinished;
  Agent *agents; /* Indexed by handle. */
  uint32_t n_agents;
  GHashTable *agent_handles; /* Incarnation to handle + 1. */
  HsFairQueue *queue;
  HsCredits *credits;
  HsHealth *health;
  HsContainment *containment;
  uint32_t n_up;      /* Agents with a target that accepts tasks... */
  uint32_t n_reserve; /* ...and those of them that serve contained customers. */
  HsFeasibleCapacities *feasible;
  HsLoans *loans;
  HsRetryBudget retry;
  uint64_t random_state;
  GArray *peers; /* Handle to incarnation; 0: free. */
  PickedCredit picked;
};

/* jobs.c */
void job_key (char key[JOB_KEY_SIZE], const char *customer, const char *id);
Job *job_find (HsOwner *owner, const char *customer, const char *id);
/* The size of the bodies of a job's tasks. */
size_t job_bytes (const hsx_forward_args *args);
Job *job_new (HsOwner *owner, const hsx_forward_args *args, HsNow now);
/* Removes a job with its tasks; its waiters get no answer. */
void job_drop (HsOwner *owner, Job *job);
/* Adds a waiter that is answered when the job is finished. */
void job_add_waiter (HsOwner *owner, Job *job, HsWaiter waiter);
void job_finish (HsOwner *owner, Job *job, HsNow now);
void job_answer_waiters (HsOwner *owner, Job *job, HsNow now);
void job_answer_waiter (HsOwner *owner, const Job *job, HsWaiter waiter);
/* Refuses the request of every waiter and drops the job. */
void job_refuse (HsOwner *owner,
                 Job *job,
                 unsigned int kind,
                 bool not_run,
                 const char *reason);
/* While the lease is not valid, another entry may own the partitions, and no
   request may be answered. */
bool lease_is_valid (const HsOwner *owner, HsNow now);
void refuse_request (HsOwner *owner,
                     HsWaiter waiter,
                     unsigned int kind,
                     bool not_run,
                     HsTime retry_after,
                     const char *reason);

/* retention.c */
/* Reduces a finished job to what an answer needs and retains it. */
void job_retain (HsOwner *owner, Job *job, HsNow now);
/* Takes a finished job that is about to be dropped off the lists. */
void job_unretain (HsOwner *owner, Job *job);
/* Drops expired jobs and evicts others until the memory bound is met. */
void retention_sweep (HsOwner *owner, HsNow now);

/* customers.c */
Customer *customer_find_or_add (HsOwner *owner, const char *name, HsNow now);
/* Applies HsOwner::lists to the known customers. */
void customers_refresh (HsOwner *owner, HsNow now);

/* dispatch.c */
/* Queues all deferred tasks of a job. */
void job_enqueue_tasks (HsOwner *owner, Job *job, HsNow now);
void task_finish (HsOwner *owner,
                  Task *task,
                  hsx_task_state state,
                  unsigned int kind,
                  unsigned int http_status,
                  const char *body,
                  size_t n,
                  HsNow now);
/* Defers a sent task that was not run until its retry is due. */
void
task_retry_later (HsOwner *owner, Task *task, bool target_failed, HsNow now);
void task_apply_result (HsOwner *owner,
                        Task *task,
                        const hsx_result *result,
                        HsNow now);
/* Undoes what task_mark_sent() counted; the caller sets the new state. */
void task_unmark_sent (HsOwner *owner, Task *task);
/* The key of a task in messages; its strings belong to the job. */
hsx_task_key task_key (const Task *task);
/* Sets a waiting task to TASK_SENT and starts its result timer. */
void task_mark_sent (HsOwner *owner, Task *task, uint32_t agent, HsNow now);
/* Starts as many queued tasks as credits and limits allow. */
void dispatch_tasks (HsOwner *owner, HsNow now);
void apply_health_changes (HsOwner *owner, HsNow now);
void run_due_timers (HsOwner *owner, HsNow now);

/* admission.c */
/* Refuses the request and returns false if the customer's plan or this entry's
   memory does not allow it. The refusal says "not run" only if no task of the
   id has ever started. */
bool admit_job (HsOwner *owner,
                HsWaiter waiter,
                const hsx_forward_args *args,
                bool never_started,
                HsNow now);

/* submit.c */
void serve_deferred_requests (HsOwner *owner, Partition *partition, HsNow now);
void job_reroute (HsOwner *owner, Job *job);

/* takeover.c */
/* Applies what an agent reports of a task, in a reply to RECOVER or as a result
   that has overtaken the reply. */
void apply_record (HsOwner *owner,
                   uint32_t agent,
                   const hsx_result *record,
                   HsNow now);
RecoveredJob *recovered_job_find (HsOwner *owner, const char *key);
void recovered_job_drop (HsOwner *owner, RecoveredJob *recovered);
/* Stores an agent's result that arrived for a running recovered task.
   Returns false if there is none. */
bool recovered_job_apply_result (HsOwner *owner,
                                 uint32_t agent,
                                 const hsx_result *result);
void recovered_jobs_sweep (HsOwner *owner, HsNow now);
void recovered_jobs_agent_lost (HsOwner *owner, uint32_t agent);
/* Calls RECOVER for all owned partitions, unless a call is pending. */
void recover_agent (HsOwner *owner, uint32_t agent);
/* Serves the recovering partitions that all agents answered or that timed
   out. */
void finish_due_recoveries (HsOwner *owner, HsNow now);
void partition_drop_staged (Partition *partition);

/* handover.c */
void staged_job_free (gpointer staged);
/* Creates the staged jobs if they were sent by the previous owner, else drops
   them. */
void partition_adopt_staged (HsOwner *owner,
                             uint32_t part,
                             uint64_t previous_epoch,
                             HsNow now);

/* crashes.c */
uint32_t customer_containment (HsOwner *owner, const char *customer);
/* The agents that the customer's tasks may be started on. */
HsCreditGroup customer_credit_group (const HsOwner *owner,
                                     const Customer *customer);
/* Chooses the agents that serve contained customers, after a change. */
void choose_reserve (HsOwner *owner);
void release_contained (HsOwner *owner, HsTime now);

/* peers.c */
/* Answers peers that wait for credits and asks peers for credits. */
void exchange_credits (HsOwner *owner, HsNow now);

/* agents.c */
Agent *agent_find (HsOwner *owner, uint64_t incarnation, uint32_t *handle);
/* Calls SETTLE for the agent's tasks with unknown outcome. */
void settle_agent_tasks (HsOwner *owner, uint32_t handle);
/* Same for tasks that another owner started; if SETTLE calls are pending, it
   waits for their replies, and without a connection for the next one. */
void settle_adopted_tasks (HsOwner *owner, uint32_t handle);

#endif
