/*
 * The inner protocol: ONC RPC (RFC 5531) between entries and agents.
 *
 * Procedures marked "one-way" are calls without a reply (batching in RFC
 * 5531). Either side of a connection may call the other. All sizes are bounded
 * here, so that the decoder rejects oversized data before it allocates memory.
 */

const HSX_NAME_MAX = 64;
const HSX_ID_MAX = 128;
const HSX_ADDRESS_MAX = 64;
const HSX_TASKS_MAX = 390;
const HSX_BODY_MAX = 262144;
const HSX_REASON_MAX = 256;
const HSX_BATCH_MAX = 512;
const HSX_MEMBERS_MAX = 4096;
const HSX_RECORDS_MAX = 4096;
const HSX_PARTS_MAX = 1024;
const HSX_CREDITS_MAX = 4096;
const HSX_DIGEST_SIZE = 32;
const HSX_NONCE_SIZE = 16;
const HSX_SPEC_MAX = 65536;
const HSX_ENTRIES_MAX = 256;
const HSX_CONFIGURATION_MAX = 4194304;
const HSX_CRASH_TASKS_MAX = 64;
const HSX_EVACUATIONS_MAX = 1024;

/* Role of a process on a connection. */
enum hsx_role {
	HSX_ROLE_ENTRY = 1,
	HSX_ROLE_AGENT = 2
};

/* First message in both directions of a connection. Incarnations are random. */
struct hsx_hello {
	hsx_role role;
	uint64_t incarnation;
	string address<HSX_ADDRESS_MAX>;	/* of its RPC listener */
	string data_centre<HSX_NAME_MAX>;
	opaque nonce[HSX_NONCE_SIZE];		/* fresh for each connection */
};

/* Identifies one task of one submission. */
struct hsx_task_key {
	unsigned int part;
	unsigned int index;
	string customer<HSX_NAME_MAX>;
	string id<HSX_ID_MAX>;
	uint64_t content;		/* first bytes of the job's digest */
};

struct hsx_needs {
	unsigned int memory_mb;
	unsigned int accelerators;
};

/* Permission to start one task in one free slot of an agent. */
struct hsx_credit {
	uint64_t agent;		/* incarnation of the agent */
	unsigned int slot;
	unsigned int generation;	/* increases with each grant of the slot */
	int64_t stamp_us;			/* time of the grant, agent's monotonic clock */
};

/* START, one-way, entry to agent. */
struct hsx_start {
	hsx_task_key key;
	uint64_t epoch;		/* of the partition's owner */
	hsx_credit credit;
	int64_t permit_us;		/* valid until credit.stamp_us + this */
	unsigned int timeout_ms;	/* limit on the run time */
	bool idempotent;
	hsx_needs needs;
	opaque body<HSX_BODY_MAX>;
};
struct hsx_start_args {
	hsx_start starts<HSX_BATCH_MAX>;
};

enum hsx_outcome {
	HSX_RUNNING = 0,	/* started, no result yet */
	HSX_DONE = 1,		/* target answered 2xx */
	HSX_FAILED = 2,		/* target answered, but not 2xx; it ran */
	HSX_REFUSED = 3,	/* not started by this agent and never will be */
	HSX_MAYBE = 4		/* target was called; answer missing or incomplete */
};

enum hsx_refusal {
	HSX_REFUSAL_NONE = 0,
	HSX_REFUSAL_PERMIT = 1,		/* permit expired */
	HSX_REFUSAL_EPOCH = 2,		/* a newer owner is known */
	HSX_REFUSAL_CREDIT = 3,		/* credit is not (or no longer) valid */
	HSX_REFUSAL_DUPLICATE = 4,	/* task was already started by this agent */
	HSX_REFUSAL_LEAVING = 5,	/* target or agent is leaving */
	HSX_REFUSAL_TARGET = 6,		/* connection to the target failed */
	HSX_REFUSAL_NEEDS = 7,		/* needs exceed the target's capacity */
	HSX_REFUSAL_FENCED = 8		/* SETTLE has ruled out a start */
};

struct hsx_result {
	hsx_task_key key;
	hsx_outcome outcome;
	hsx_refusal refusal;
	unsigned int http_status;
	unsigned int run_us;
	uint64_t epoch;		/* of the refused START; otherwise 0 */
	opaque body<HSX_BODY_MAX>;
	hsx_credit *next;		/* new credit for the freed slot */
};

/* RESULT, one-way, agent to entry. */
struct hsx_result_args {
	hsx_result results<HSX_BATCH_MAX>;
};

/* GRANT, one-way, agent to entry. Replaces all credits granted to this entry. */
struct hsx_grant_args {
	uint64_t agent;
	hsx_credit credits<HSX_CREDITS_MAX>;
};

enum hsx_member_state {
	HSX_MEMBER_UP = 1,
	HSX_MEMBER_LEAVING = 2,
	HSX_MEMBER_LEFT = 3,		/* drained; its records were handed over */
	HSX_MEMBER_LOST = 4		/* lost together with its records */
};

/* The membership record of an agent and its target. */
struct hsx_member {
	uint64_t incarnation;
	unsigned int revision;		/* incremented by the agent on each change */
	hsx_member_state state;
	string address<HSX_ADDRESS_MAX>;
	string data_centre<HSX_NAME_MAX>;
	string rack<HSX_NAME_MAX>;
	unsigned int slots;
	hsx_needs capacity;		/* upper limit on the needs of one task */
	uint64_t home;		/* registrar: the entry it announces to */
};

/* ANNOUNCE, agent to entry: the agent's own record. */
struct hsx_entry_info {
	uint64_t incarnation;
	string address<HSX_ADDRESS_MAX>;
	string data_centre<HSX_NAME_MAX>;
};
struct hsx_announce_args {
	hsx_member self;
};
struct hsx_announce_reply {
	bool accepted;
	hsx_entry_info entries<64>;
};

/*
 * MEMBERS, entry to entry: all records after connecting, then changes only.
 * The reply confirms that they are known. An agent is used only when every
 * entry knows it.
 */
struct hsx_members_args {
	int64_t complete_since_ms;	/* wall time since which no record is missing */
	hsx_member members<HSX_MEMBERS_MAX>;
};
struct hsx_members_reply {
	bool known;
};

/*
 * RECOVER, entry to agent: the caller now owns the partitions with the epochs
 * given. From then on the agent refuses older epochs and sends results for
 * these partitions to the caller. It replies with every start in its start log.
 */
struct hsx_part_epoch {
	unsigned int part;
	uint64_t epoch;
};
struct hsx_recover_args {
	hsx_part_epoch parts<HSX_PARTS_MAX>;
	unsigned int cursor;		/* 0 first, then `next` of the last reply */
};
struct hsx_recover_reply {
	hsx_result records<HSX_RECORDS_MAX>;
	unsigned int next;		/* cursor of the next call; 0: complete */
	unsigned int remembers_s;	/* time covered by the start log */
};

/*
 * SETTLE, entry to agent: resolves starts with unknown outcome after a lost
 * connection. A task that the agent doesn't know is fenced, so that it can
 * never start there, and is returned as HSX_REFUSED.
 */
struct hsx_settle_args {
	hsx_task_key keys<HSX_BATCH_MAX>;
};
struct hsx_settle_reply {
	hsx_result results<HSX_BATCH_MAX>;
};

/* BORROW, entry to entry: moves idle credits to entries with waiting tasks. */
struct hsx_borrow_args {
	unsigned int want;		/* credits requested */
	unsigned int held;		/* credits that the caller holds or uses */
	unsigned int weight;		/* total, of its customers with queued tasks */
};
struct hsx_borrow_reply {
	hsx_credit credits<HSX_CREDITS_MAX>;
	unsigned int idle;		/* idle credits that the lender keeps */
};

/* One task of a job in FORWARD. */
struct hsx_task {
	opaque body<HSX_BODY_MAX>;
	bool idempotent;
	unsigned int run_ms;		/* declared run time; 0: not declared */
	unsigned int deadline_ms;	/* counted from submission; 0: none */
	hsx_needs needs;
};

enum hsx_task_state {
	HSX_TASK_DONE = 1,
	HSX_TASK_FAILED = 2,
	HSX_TASK_NOT_RUN = 3,		/* certainly not run */
	HSX_TASK_MAY_HAVE_RUN = 4
};

struct hsx_task_answer {
	hsx_task_state state;
	unsigned int kind;		/* HsErrorKind, unless done */
	unsigned int http_status;
	opaque body<HSX_BODY_MAX>;
};

enum hsx_verb {
	HSX_SUBMIT = 1,
	HSX_FETCH = 2,
	HSX_CANCEL = 3
};

/* FORWARD, entry to entry: passes a request to the customer's owner. A
   forwarded request is not forwarded again. */
struct hsx_forward_args {
	hsx_verb verb;
	string customer<HSX_NAME_MAX>;
	string id<HSX_ID_MAX>;
	opaque digest[HSX_DIGEST_SIZE];	/* SHA-256 of the content */
	bool wait;			/* FETCH: wait until it is finished */
	hsx_task tasks<HSX_TASKS_MAX>;
};

enum hsx_job_state {
	HSX_JOB_RUNNING = 0,
	HSX_JOB_COMPLETE = 1,
	HSX_JOB_FAILED = 2,
	HSX_JOB_REFUSED = 3		/* no answer; see kind and reason */
};

struct hsx_answer {
	hsx_job_state state;
	unsigned int kind;		/* HsErrorKind when refused */
	bool not_run;			/* certainly no task has started */
	string reason<HSX_REASON_MAX>;
	unsigned int retry_after_ms;
	unsigned int queue_us;		/* time in queue of the last task started */
	hsx_task_answer tasks<HSX_TASKS_MAX>;
};

/* HANDOVER, entry to entry: the jobs of a partition, in several calls. The call
   with `last` set hands over the partition itself. */
enum hsx_handover_state {
	HSX_HO_QUEUED = 0,
	HSX_HO_SENT = 1,		/* sent to the agent; RECOVER gives its outcome */
	HSX_HO_FINISHED = 2
};
struct hsx_handover_task {
	hsx_handover_state state;
	uint64_t agent;
	hsx_task_answer answer;
};
struct hsx_handover_job {
	hsx_forward_args job;
	int64_t age_ms;
	bool dropped;			/* its bodies are no longer retained */
	hsx_handover_task states<HSX_TASKS_MAX>;
};
struct hsx_handover_args {
	unsigned int part;
	uint64_t epoch;		/* of the previous owner */
	bool last;
	int64_t floor_ms;			/* older jobs of unknown ids may have run */
	hsx_handover_job jobs<64>;
};
struct hsx_handover_reply {
	bool accepted;
};

/*
 * PROMISE, entry to entry: the caller can't reach the store. The receiver
 * promises not to take over the caller's partitions for span_ms.
 */
struct hsx_promise_args {
	unsigned int span_ms;
};
struct hsx_promise_reply {
	bool promised;
};

/*
 * SUSPECT, one-way, entry to entries and agents: the caller has lost its
 * connection to the process with this incarnation. Receivers that are connected
 * to that process check their connection by PROBE.
 */
struct hsx_suspect_args {
	uint64_t incarnation;
};

/*
 * PROBE, on a connection with a long keepalive interval: checks whether the
 * peer still responds. If suspected_by is set, the peer checks its connection
 * to that process in turn.
 */
struct hsx_probe_args {
	uint64_t suspected_by;		/* incarnation; 0: none */
};
struct hsx_probe_reply {
	bool alive;
};

/*
 * Direct jobs: run by the entry that received them, for as long as their caller
 * waits. The resources of a target are allocated by its agent alone.
 */
struct hsx_room {
	unsigned int cpu_milli;		/* thousandths of a core */
	unsigned int memory_mb;
	unsigned int accelerators;
};

struct hsx_launch_task {
	uint64_t ref;			/* the entry's reference for this start */
	unsigned int step;
	unsigned int index;		/* within the step */
	unsigned int attempt;		/* number of this start, from 1 */
	unsigned int slow_ms;		/* a longer run indicates a slow target;
					   0: no such threshold */
};

struct hsx_launch {
	string job<HSX_ID_MAX>;
	string customer<HSX_NAME_MAX>;
	opaque spec<HSX_SPEC_MAX>;
	hsx_room needs;			/* of each task */
	unsigned int expected_ms;	/* expected run time */
	unsigned int left_ms;		/* time left until the caller's deadline */
	hsx_launch_task tasks<HSX_TASKS_MAX>;
};

/* An entry's backlog, described by its waiting job of the highest rank. */
struct hsx_want {
	uint64_t rank;			/* 0: no waiting tasks */
	hsx_room needs;			/* of one task */
	unsigned int tasks;		/* number of all waiting tasks */
};

/*
 * ORDERS, one-way, entry to agent. Without launches and stops it serves as a
 * heartbeat. stamp_us and stamp_age_us tell the agent which report the orders
 * follow, and so how old they can be. stops_since_us is a lower limit: the
 * callers may have left before the entry noticed.
 */
struct hsx_orders_args {
	uint64_t agent;			/* incarnation of the receiver */
	unsigned int number;		/* consecutive on each connection */
	int64_t stamp_us;		/* of the last REPORT received */
	unsigned int stamp_age_us;	/* time since it was received */
	hsx_want want;
	hsx_launch launches<HSX_BATCH_MAX>;
	uint64_t stops<HSX_RECORDS_MAX>;	/* refs */
	int64_t stops_since_us;		/* since when their jobs may be over, on the
					   agent's monotonic clock */
};

enum hsx_end_how {
	HSX_END_DONE = 1,
	HSX_END_FAILED = 2,		/* failure of the task or of the target */
	HSX_END_STOPPED = 3,
	HSX_END_LAPSED = 4,		/* lost by the target */
	HSX_END_REFUSED = 5,		/* not started and never will be */
	HSX_END_STALLED = 6,		/* stopped, as it made no progress */
	HSX_END_SLOW = 7		/* stopped, as it was far slower than expected
					   on a target where others were too */
};

struct hsx_end {
	uint64_t ref;
	hsx_end_how how;
	unsigned int reason;		/* HsRefusal, for HSX_END_REFUSED */
	unsigned int run_us;		/* time from start to end */
};

enum hsx_target_state {
	HSX_TARGET_UNKNOWN = 0,		/* not announced, or not polled yet */
	HSX_TARGET_READY = 1,
	HSX_TARGET_LEAVING = 2,		/* accepts no new tasks */
	HSX_TARGET_MUTE = 3		/* unresponsive, although its host responds */
};

/* The properties of a target that rarely change. */
struct hsx_target_info {
	string name<HSX_NAME_MAX>;
	string service<HSX_NAME_MAX>;
	string rack<HSX_NAME_MAX>;
	string host<HSX_NAME_MAX>;	/* the agent's name */
	hsx_room capacity;
};

/* What is known of a crash; a later value follows an earlier one. */
enum hsx_crash_stage {
	HSX_CRASH_SUSPECTED = 1,	/* nobody listens at the target's port */
	HSX_CRASH_POSSIBLE = 2,		/* and it announced itself since */
	HSX_CRASH_CERTAIN = 3,		/* another incarnation has answered */
	HSX_CRASH_WITHDRAWN = 4		/* the same incarnation has answered */
};
/*
 * A crash of a target: the customers and the tasks that ran there. The agent
 * reports it to all its entries, and some of them pass it on to the others.
 */
struct hsx_crash_customer {
	string name<HSX_NAME_MAX>;
	unsigned int age_us;		/* of its youngest task there */
	unsigned int jobs_milli;	/* thousandths of its jobs usually started
					   there a second */
};
struct hsx_crash_task {
	string job<HSX_ID_MAX>;
	string customer<HSX_NAME_MAX>;
	unsigned int index;
	bool certain;			/* if the target crashed, it ran then; else
					   it may have run */
};
struct hsx_crash {
	uint64_t agent;
	unsigned int number;		/* counts the crashes that the agent saw */
	hsx_crash_stage stage;
	unsigned int ago_us;		/* time since the crash */
	bool silent;			/* the time is inexact */
	string service<HSX_NAME_MAX>;
	string host<HSX_NAME_MAX>;	/* the agent's name */
	bool pass_on;			/* to the receiver's other entries */
	hsx_crash_customer customers<HSX_CRASH_TASKS_MAX>;
	hsx_crash_task tasks<HSX_CRASH_TASKS_MAX>;
};

/* REPORT, one-way, agent to entry. */
struct hsx_report_args {
	uint64_t agent;
	int64_t stamp_us;		/* time of sending, agent's monotonic clock */
	unsigned int orders_seen;	/* number of the last ORDERS received */
	hsx_target_state state;
	hsx_room free;			/* resources available to this entry */
	bool offer;			/* the agent waits for an answer */
	unsigned int warmup_left_ms;	/* 0: the target is warm */
	hsx_target_info *info;		/* NULL: unchanged */
	hsx_crash *crash;		/* NULL: none that is new to the entry */
	bool whole;			/* held lists all tasks of the entry */
	bool fresh;			/* with whole: replaces all earlier reports */
	uint64_t held<HSX_RECORDS_MAX>;
	hsx_end ends<HSX_BATCH_MAX>;
};

/* ENTRIES, one-way: the addresses of all entries known to the sender. */
struct hsx_entries_args {
	hsx_entry_info entries<HSX_ENTRIES_MAX>;
};

/* CONFIGURATION, one-way, entry to entry: the operators' configuration. */
struct hsx_configuration_args {
	int64_t revision;
	opaque text<HSX_CONFIGURATION_MAX>;
};

/* CRASH, one-way, entry to entry: a crash that an agent has reported. */
struct hsx_crash_args {
	hsx_crash crash;
};

/* CANCEL_JOB, entry to entry: cancels a direct job, if the receiver has it. */
struct hsx_cancel_job_args {
	string customer<HSX_NAME_MAX>;
	string id<HSX_ID_MAX>;
};
struct hsx_cancel_job_reply {
	bool cancelled;
};

/*
 * JOB_CANCELLED, one-way, entry to entry: jobs that were cancelled. The
 * receiver cancels those that it has, and starts none of them later.
 */
struct hsx_cancelled_job {
	string customer<HSX_NAME_MAX>;
	string id<HSX_ID_MAX>;
	unsigned int age_ms;		/* time since it was cancelled */
};
struct hsx_job_cancelled_args {
	hsx_cancelled_job jobs<HSX_RECORDS_MAX>;
};

/*
 * EVACUATIONS, one-way, entry to entry and entry to agent: all data centres in
 * which no task may be started, complete up to a revision of the store.
 */
typedef string hsx_data_centre<HSX_NAME_MAX>;
struct hsx_evacuations_args {
	int64_t revision;
	hsx_data_centre data_centres<HSX_EVACUATIONS_MAX>;
};

program HSX_PROGRAM {
	version HSX_V1 {
		void HSX_NULL(void) = 0;
		hsx_hello HSX_HELLO(hsx_hello) = 1;
		void HSX_START(hsx_start_args) = 2;
		void HSX_RESULT(hsx_result_args) = 3;
		void HSX_GRANT(hsx_grant_args) = 4;
		hsx_announce_reply HSX_ANNOUNCE(hsx_announce_args) = 5;
		hsx_members_reply HSX_MEMBERS(hsx_members_args) = 6;
		hsx_recover_reply HSX_RECOVER(hsx_recover_args) = 7;
		hsx_settle_reply HSX_SETTLE(hsx_settle_args) = 8;
		hsx_borrow_reply HSX_BORROW(hsx_borrow_args) = 9;
		hsx_answer HSX_FORWARD(hsx_forward_args) = 10;
		hsx_handover_reply HSX_HANDOVER(hsx_handover_args) = 11;
		hsx_promise_reply HSX_PROMISE(hsx_promise_args) = 12;
		void HSX_SUSPECT(hsx_suspect_args) = 13;
		hsx_probe_reply HSX_PROBE(hsx_probe_args) = 14;
		void HSX_ORDERS(hsx_orders_args) = 15;
		void HSX_REPORT(hsx_report_args) = 16;
		void HSX_ENTRIES(hsx_entries_args) = 17;
		void HSX_CONFIGURATION(hsx_configuration_args) = 18;
		void HSX_CRASH(hsx_crash_args) = 19;
		hsx_cancel_job_reply HSX_CANCEL_JOB(hsx_cancel_job_args) = 20;
		void HSX_JOB_CANCELLED(hsx_job_cancelled_args) = 21;
		void HSX_EVACUATIONS(hsx_evacuations_args) = 22;
	} = 1;
} = 0x20485350;
