/*
 * How an owner goes on while the store can't be reached (src/entry/promises.h
 * and lease_manager_promises.c).
 *
 * A owns a partition. B is an entry that A knows; X registers at any time,
 * and may lose its record and register anew. Each of them reaches the store
 * or not, as faults switch it; B and X may be killed. Steps are atomic and
 * interleave freely.
 *
 * Times are kept relative to now, as spans left or ages, and are capped where
 * a longer one makes no difference: the runs are of any length. All clocks run
 * alike, the margins of the code stand for their drift.
 *
 * A promise is given here whether its giver reaches the store or not. That the
 * code refuses one while the store answers it decides who serves; no promise is
 * unsafe for that reason.
 *
 * Safety: when a live B or X has the partition, A may not start anything, then
 * or later. Once A has given the partition up nothing is left to check, and
 * the model stops.
 */

#ifndef FAULTS
#define FAULTS 2
#endif

#define TTL 3		/* of the lease, counted by the store */
#define LEASE_HELD 2	/* the same counted by A, from before sending */
#ifndef SPAN_HELD
#define SPAN_HELD 2	/* of a promise, counted by A from before sending */
#endif
#define SPAN (SPAN_HELD + 1)	/* the same counted by its giver */
#ifndef OUTAGE_MAX
#define OUTAGE_MAX 4	/* the longest extension after A's last answer */
#endif
#define AGE(a) ((a) + 1)	/* ages of messages, 0: no message */

/* The age from which a message is of no use. */
#define USELESS SPAN_HELD
#ifdef MUT_COUNT_FROM_ANSWER
#define RENEWAL_USELESS TTL
#else
#define RENEWAL_USELESS LEASE_HELD
#endif

#define A 0
#define B 1
#define X 2

byte faults = 0;

/* The store. */
byte owner = A;
byte key = TTL;		/* span left of A's lease; 0: its record is gone */
bool up[3] = { true, true, true };

/* A's renewal on its way: its age, and whether it was applied. */
byte renewal = 0;
bool renewed = false;

/* A as the owner. */
bool owning = true;	/* it has not given the partition up */
byte lease = LEASE_HELD;	/* spans left */
byte outage = OUTAGE_MAX;
byte held[3] = { 0, 0, 0 };
bool needed[3] = { false, true, false };

/* B and X. Index A is unused. */
bool alive[3] = { true, true, true };
bool registered[3] = { true, true, false };
bool met[3] = { false, true, false };
byte given[3] = { 0, 0, 0 };	/* spans left */
bool missed[3] = { false, false, false };	/* A's record, in its view */
byte absent[3] = { 0, 0, 0 };	/* AGE of that, 0: never missed */
bool unsettled[3] = { false, false, false };
bool late[3] = { false, false, false };	/* a write that may still arrive */

/* Messages between A and the others. */
byte ask[3] = { 0, 0, 0 };	/* AGE */
byte reply[3] = { 0, 0, 0 };	/* AGE of its question */
bool greeted = false;	/* A's answer to a call of X is on its way */

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#ifdef MUT_NOT_ALL
#define ALL_HELD held[B]
#else
/* Nothing is extended for an owner that is alone. */
#define ALL_HELD                                                              \
	(needed[X] -> (needed[B] -> MIN (held[B], held[X]) : held[X])         \
		    : (needed[B] -> held[B] : 0))
#endif
#define MAY_START (owning && (lease > 0 || MIN (ALL_HELD, outage) > 0))

/* A lease that lapsed stays lapsed: this is looked at before an entry is
   forgotten whose promise was missing. */
#ifdef MUT_FORGET_AFTER_LAPSE
#define STILL_OWNS owning
#else
#define STILL_OWNS MAY_START
#endif

/* The store has not answered A in this unit. */
#define SILENCE (outage < OUTAGE_MAX)

#ifdef MUT_GIVE_UNSETTLED
#define SETTLED(i) true
#else
#define SETTLED(i) (!unsettled[i])
#endif
#ifdef MUT_PROMISE_BROKEN
#define KEPT(i) true
#else
#define KEPT(i) (given[i] == 0)
#endif
#ifdef MUT_PROMISE_TO_OWNER_ONLY
#define KEPT_TO_ALL(i) true
#else
#define KEPT_TO_ALL(i) KEPT (i)
#endif
#ifdef MUT_UNKNOWN_TAKES
#define KNOWN(i) true
#else
#define KNOWN(i) (met[i] || absent[i] > AGE (OUTAGE_MAX))
#endif

/* One unit of time for a span left, for an age that is capped, and for a
   message that is dropped once it is of no use. */
#define COUNT_DOWN(v) v = (v > 0 -> v - 1 : 0)
#define COUNT_UP(v, cap) v = (v < cap -> v + 1 : v)
#define COUNT_MSG(v, useless)                                                 \
	v = (v == 0 || v >= useless -> 0 : v + 1)

inline give_up ()
{
	owning = false
}

/* What another entry has of the store's answers. */
inline hear (i)
{
	if
	:: key == 0 && !missed[i] -> missed[i] = true;
		if
		:: i == X && !met[X] && absent[X] == 0 -> absent[X] = AGE (0)
		:: else
		fi
	:: key > 0 && missed[i] -> missed[i] = false;
		absent[i] = 0
	:: else
	fi
}

inline take_now (i)
{
	owner = i;
	assert (!(alive[i] && MAY_START))
}

inline renew_answered ()
{
	outage = OUTAGE_MAX;
	held[B] = 0;
	held[X] = 0;
	/* Answers to what was asked before are void. */
	ask[B] = 0; reply[B] = 0;
	ask[X] = 0; reply[X] = 0
}

/* What an entry had that is dead now; its late write stays. */
inline reset (i)
{
	given[i] = 0; missed[i] = false; absent[i] = 0;
	unsettled[i] = false; met[i] = false; ask[i] = 0
}

/* Time. */
active proctype clock ()
{
	byte i;
end:
	do
	:: atomic { owning ->
		COUNT_DOWN (key);
		COUNT_DOWN (lease);
		COUNT_DOWN (outage);
		COUNT_MSG (renewal, RENEWAL_USELESS);
		if
		:: renewal == 0 -> renewed = false
		:: else
		fi;
		for (i : 1 .. 2) {
			COUNT_DOWN (held[i]);
			COUNT_DOWN (given[i]);
			COUNT_MSG (ask[i], USELESS);
			COUNT_MSG (reply[i], USELESS)
		}
		if
		:: absent[X] > 0 -> COUNT_UP (absent[X], AGE (OUTAGE_MAX) + 1)
		:: else
		fi;
		i = 0;
#ifndef MUT_LATE_REPLY
		/* Nothing can bring this lease back. */
		if
		:: key == 0 && !MAY_START && !renewed -> give_up ()
		:: else
		fi
#endif
	   }
	od
}

active proctype fault ()
{
end:
	do
	:: atomic { owning && faults < FAULTS -> faults++;
		if
		:: up[A] = !up[A]
		:: alive[B] -> up[B] = !up[B]
		:: alive[X] -> up[X] = !up[X]
		:: up[A] = !up[A]; up[B] = !up[B]; up[X] = !up[X]
		:: alive[B] -> alive[B] = false; reset (B)
		:: alive[X] -> alive[X] = false; reset (X)
		/* Its lease lapsed; its late write compares the record. */
		:: registered[X] -> registered[X] = false;
			unsettled[X] = false; late[X] = false
		fi
	   }
	od
}

active proctype owner_a ()
{
	byte i;
end:
	do
	/* Renewal: sent, applied at the store, answered or lost. */
	:: atomic { owning && up[A] && renewal == 0 && SILENCE ->
		renewal = AGE (0); renewed = false }
	:: atomic { owning && renewal > 0 && !renewed && key > 0 ->
		key = TTL; renewed = true }
	:: atomic { owning && renewal > 0 && renewed && up[A] ->
#ifdef MUT_COUNT_FROM_ANSWER
		lease = LEASE_HELD;
#else
		lease = LEASE_HELD + AGE (0) - renewal;
#endif
		renew_answered (); renewal = 0; renewed = false }
	:: atomic { owning && renewal > 0 -> renewal = 0; renewed = false }
	/* The lease lapsed at the store: a new one, then all is read anew. */
	:: atomic { MAY_START && up[A] && key == 0 ->
		key = TTL;
		needed[X] = (registered[X] || needed[X]);
		if
		:: owner == A -> lease = LEASE_HELD; renew_answered ()
		:: else -> give_up ()
		fi
	   }
	/* It notices that it may not go on. */
	:: atomic { owning && !MAY_START -> give_up () }
	:: atomic { owning && up[A] && owner != A -> give_up () }
	/* The watch shows X, or that the store has no record of it. */
	:: atomic { owning && up[A] && registered[X] && !needed[X] ->
		needed[X] = true }
	:: atomic { STILL_OWNS && up[A] && !registered[X] && needed[X] ->
		needed[X] = false }
#ifdef MUT_FORGET_DISCONNECTED
	:: atomic { STILL_OWNS && needed[X] -> needed[X] = false }
#endif
	/* A connection refused: the process is gone. */
	:: atomic { STILL_OWNS && needed[B] && !alive[B] -> needed[B] = false }
	:: atomic { STILL_OWNS && needed[X] && !alive[X] -> needed[X] = false }
	/* Questions and answers. */
	:: atomic { MAY_START && SILENCE && needed[B] && ask[B] == 0 && reply[B] == 0 ->
		ask[B] = AGE (0) }
	:: atomic { MAY_START && SILENCE && needed[X] && ask[X] == 0 && reply[X] == 0 ->
		ask[X] = AGE (0) }
	:: atomic { owning && (reply[B] > 0 || reply[X] > 0) ->
		if
		:: reply[B] > 0 -> i = B
		:: reply[X] > 0 -> i = X
		fi;
		if
#ifndef MUT_LATE_REPLY
		:: !MAY_START -> skip
#endif
		:: else ->
#ifdef MUT_HELD_FROM_RECEIPT
			held[i] = SPAN
#else
			held[i] = SPAN_HELD + AGE (0) - reply[i]
#endif
		fi;
		reply[i] = 0;
		i = 0
	   }
	/* A call of X, which makes itself known. */
	:: atomic { owning && alive[X] && registered[X] && !met[X] &&
		!greeted -> needed[X] = true; greeted = true }
	od
}

proctype other (byte who)
{
end:
	do
	:: atomic { owning && alive[who] && up[who] &&
		missed[who] != (key == 0) -> hear (who) }
	/* A new record; then all is read, before anything is taken. */
	:: atomic { who == X && owning && alive[X] && up[X] && !registered[X] ->
		registered[X] = true;
#ifndef MUT_MET_BEFORE
		met[X] = false; greeted = false;
#endif
#ifndef MUT_ABSENCE_OF_BEFORE
		missed[X] = false; absent[X] = 0;
#endif
		hear (X) }
	:: atomic { who == X && owning && alive[X] && greeted ->
		met[X] = true; greeted = false; absent[X] = 0 }
	/* A promise, or a refusal. */
	:: atomic { owning && alive[who] && ask[who] > 0 ->
		if
		:: SETTLED (who) ->
			reply[who] = ask[who];
			given[who] = SPAN
		:: else
		fi;
		ask[who] = 0
	   }
	/* A take: answered, or with its answer lost, or late. */
	:: atomic { owning && alive[who] && registered[who] && up[who] &&
		missed[who] && owner == A && KNOWN (who) && KEPT (who) &&
		!unsettled[who] ->
		if
		:: key == 0 -> hear (who); take_now (who)
		:: unsettled[who] = true; late[who] = true
		fi
	   }
	:: atomic { owning && late[who] -> late[who] = false;
		if
		:: key == 0 && owner == A -> take_now (who)
		:: else
		fi
	   }
	/* The own record written anew makes the late write fail. */
	:: atomic { owning && alive[who] && unsettled[who] && up[who] ->
		late[who] = false; unsettled[who] = false;
		hear (who) }
	/* A dead entry's late write took it: the next may take it from there. */
	:: atomic { owning && alive[who] && registered[who] && up[who] &&
		owner == B + X - who && !alive[B + X - who] && KEPT_TO_ALL (who) ->
		take_now (who) }
	od
}

/* After another took it, A may never start again. */
active proctype watch ()
{
end:
	do
	:: atomic { owner != A && alive[owner] -> assert (!MAY_START) }
	od
}

init
{
	atomic { run other (B); run other (X) }
}
