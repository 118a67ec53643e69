/*
 * How an owner continues while the store is unreachable (src/entry/promises.h
 * and src/entry/lease_manager_promises.c).
 *
 * A owns a partition. B is an entry that A knows; X may register at any time,
 * and may lose its record and register again. Faults switch for each of them
 * whether it can reach the store; B and X may be killed. Steps are atomic and
 * interleave in any order.
 *
 * Times are relative to now, as time left or as ages, and are capped where a
 * greater value makes no difference, so runs are of any length. All clocks run
 * at the same rate; the margins in the code allow for their drift.
 *
 * Here an entry gives a promise whether it reaches the store or not. The code
 * refuses a promise while the store answers. That decides which entry serves;
 * a promise given in that state is not unsafe.
 *
 * Safety: while B or X is alive and owns the partition, A may not start
 * anything, then or later. Once A has given up the partition nothing is left
 * to check, and the model stops.
 */

#ifndef FAULTS
#define FAULTS 2
#endif

#define TTL 3		/* of the lease, as counted by the store */
#define LEASE_HELD 2	/* the same as counted by A, from before sending */
#ifndef SPAN_HELD
#define SPAN_HELD 2	/* of a promise, as counted by A from before sending */
#endif
#define SPAN (SPAN_HELD + 1)	/* the same as counted by its giver */
#ifndef OUTAGE_MAX
/* Longest extension, counted from the store's last answer to A. */
#define OUTAGE_MAX 4
#endif
#define AGE(a) ((a) + 1)	/* ages of messages, 0: no message */

/* The age from which a message has no effect any more. */
#define EXPIRED SPAN_HELD
#ifdef MUT_COUNT_FROM_ANSWER
#define RENEWAL_EXPIRED TTL
#else
#define RENEWAL_EXPIRED LEASE_HELD
#endif

#define A 0
#define B 1
#define X 2

byte faults = 0;

/* The store. */
byte owner = A;
byte store_lease = TTL;	/* time left of A's lease; 0: its record is gone */
bool reaches_store[3] = { true, true, true };

/* A's renewal in flight: its age, and whether the store applied it. */
byte renewal = 0;
bool renewed = false;

/* A as the owner. */
bool owning = true;	/* it has not given up the partition */
byte own_lease = LEASE_HELD;	/* time left */
byte extension = OUTAGE_MAX;
byte promise_held[3] = { 0, 0, 0 };
bool required[3] = { false, true, false };

/* B and X. Index A is unused. */
bool alive[3] = { true, true, true };
bool registered[3] = { true, true, false };
bool known_to_owner[3] = { false, true, false };
byte promise_given[3] = { 0, 0, 0 };	/* time left */
/* It sees no record of A. */
bool record_absent[3] = { false, false, false };
byte absence_age[3] = { 0, 0, 0 };	/* AGE of that, 0: never absent */
bool takeover_unknown[3] = { false, false, false };
/* The write of its takeover may still be applied. */
bool late_write[3] = { false, false, false };

/* Messages between A and the others. */
byte request[3] = { 0, 0, 0 };	/* AGE */
byte reply[3] = { 0, 0, 0 };	/* AGE of the request it answers */
bool call_answered = false;	/* A's answer to a call of X is in flight */

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#ifdef MUT_NOT_ALL
#define ALL_PROMISED promise_held[B]
#else
/* The lease of an owner that knows no other entry is not extended. */
#define ALL_PROMISED \
	(required[X] -> \
	(required[B] -> MIN (promise_held[B], promise_held[X]) \
		     : promise_held[X]) \
	: (required[B] -> promise_held[B] : 0))
#endif
#define MAY_START \
	(owning && (own_lease > 0 || MIN (ALL_PROMISED, extension) > 0))

/* An expired lease stays expired: this is checked before A removes an entry
   whose promise was missing. */
#ifdef MUT_FORGET_AFTER_LAPSE
#define STILL_OWNS owning
#else
#define STILL_OWNS MAY_START
#endif

/* The store has not answered A in this unit of time. */
#define STORE_UNRESPONSIVE (extension < OUTAGE_MAX)

#ifdef MUT_GIVE_UNSETTLED
#define NO_TAKEOVER_PENDING(i) true
#else
#define NO_TAKEOVER_PENDING(i) (!takeover_unknown[i])
#endif
#ifdef MUT_PROMISE_BROKEN
#define PROMISE_OVER(i) true
#else
#define PROMISE_OVER(i) (promise_given[i] == 0)
#endif
#ifdef MUT_PROMISE_TO_OWNER_ONLY
#define PROMISES_OVER(i) true
#else
#define PROMISES_OVER(i) PROMISE_OVER (i)
#endif
#ifdef MUT_UNKNOWN_TAKES
#define KNOWN(i) true
#else
#define KNOWN(i) (known_to_owner[i] || absence_age[i] > AGE (OUTAGE_MAX))
#endif

/* One unit of time passes: for a time left, for an age that is capped, and
   for a message, which is dropped once it has no effect any more. */
#define COUNT_DOWN(v) v = (v > 0 -> v - 1 : 0)
#define COUNT_UP(v, cap) v = (v < cap -> v + 1 : v)
#define AGE_MESSAGE(v, useless) v = (v == 0 || v >= useless -> 0 : v + 1)

inline stop_owning ()
{
	owning = false
}

/* What another entry learns when the store answers it. */
inline read_store (i)
{
	if
	:: store_lease == 0 && !record_absent[i] -> record_absent[i] = true;
		if
		:: i == X && !known_to_owner[X] && absence_age[X] == 0 ->
			absence_age[X] = AGE (0)
		:: else
		fi
	:: store_lease > 0 && record_absent[i] -> record_absent[i] = false;
		absence_age[i] = 0
	:: else
	fi
}

inline take_over (i)
{
	owner = i;
	assert (!(alive[i] && MAY_START))
}

inline renewal_answered ()
{
	extension = OUTAGE_MAX;
	promise_held[B] = 0;
	promise_held[X] = 0;
	/* Replies to requests sent before are ignored. */
	request[B] = 0; reply[B] = 0;
	request[X] = 0; reply[X] = 0
}

/* Clears the state of an entry that was killed; its late write remains. */
inline clear_entry (i)
{
	promise_given[i] = 0; record_absent[i] = false; absence_age[i] = 0;
	takeover_unknown[i] = false; known_to_owner[i] = false; request[i] = 0
}

/* Time passes. */
active proctype clock ()
{
	byte i;
end:
	do
	:: atomic { owning ->
		COUNT_DOWN (store_lease);
		COUNT_DOWN (own_lease);
		COUNT_DOWN (extension);
		AGE_MESSAGE (renewal, RENEWAL_EXPIRED);
		if
		:: renewal == 0 -> renewed = false
		:: else
		fi;
		for (i : 1 .. 2) {
			COUNT_DOWN (promise_held[i]);
			COUNT_DOWN (promise_given[i]);
			AGE_MESSAGE (request[i], EXPIRED);
			AGE_MESSAGE (reply[i], EXPIRED)
		}
		if
		:: absence_age[X] > 0 ->
			COUNT_UP (absence_age[X], AGE (OUTAGE_MAX) + 1)
		:: else
		fi;
		i = 0;
#ifndef MUT_LATE_REPLY
		/* Nothing can renew this lease any more. */
		if
		:: store_lease == 0 && !MAY_START && !renewed -> stop_owning ()
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
		:: reaches_store[A] = !reaches_store[A]
		:: alive[B] -> reaches_store[B] = !reaches_store[B]
		:: alive[X] -> reaches_store[X] = !reaches_store[X]
		:: reaches_store[A] = !reaches_store[A];
			reaches_store[B] = !reaches_store[B];
			reaches_store[X] = !reaches_store[X]
		:: alive[B] -> alive[B] = false; clear_entry (B)
		:: alive[X] -> alive[X] = false; clear_entry (X)
		/* Its lease expired; its late write fails, as it compares
		   the record. */
		:: registered[X] -> registered[X] = false;
			takeover_unknown[X] = false; late_write[X] = false
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
	:: atomic { owning && reaches_store[A] && renewal == 0 &&
	   STORE_UNRESPONSIVE ->
		renewal = AGE (0); renewed = false }
	:: atomic { owning && renewal > 0 && !renewed && store_lease > 0 ->
		store_lease = TTL; renewed = true }
	:: atomic { owning && renewal > 0 && renewed && reaches_store[A] ->
#ifdef MUT_COUNT_FROM_ANSWER
		own_lease = LEASE_HELD;
#else
		own_lease = LEASE_HELD + AGE (0) - renewal;
#endif
		renewal_answered (); renewal = 0; renewed = false }
	:: atomic { owning && renewal > 0 -> renewal = 0; renewed = false }
	/* The lease expired at the store: a new one, then everything is read
	   again. */
	:: atomic { MAY_START && reaches_store[A] && store_lease == 0 ->
		store_lease = TTL;
		required[X] = (registered[X] || required[X]);
		if
		:: owner == A -> own_lease = LEASE_HELD; renewal_answered ()
		:: else -> stop_owning ()
		fi
	   }
	/* A notices that its lease has expired, or that another entry is the
	   owner. */
	:: atomic { owning && !MAY_START -> stop_owning () }
	:: atomic { owning && reaches_store[A] && owner != A -> stop_owning () }
	/* The watch shows the record of X, or that the store has none. */
	:: atomic { owning && reaches_store[A] && registered[X] &&
	   !required[X] ->
		required[X] = true }
	:: atomic { STILL_OWNS && reaches_store[A] && !registered[X] &&
	   required[X] ->
		required[X] = false }
#ifdef MUT_FORGET_DISCONNECTED
	:: atomic { STILL_OWNS && required[X] -> required[X] = false }
#endif
	/* A connection was refused: the process has terminated. */
	:: atomic { STILL_OWNS && required[B] && !alive[B] ->
		required[B] = false }
	:: atomic { STILL_OWNS && required[X] && !alive[X] ->
		required[X] = false }
	/* Requests for promises and the replies. */
	:: atomic { MAY_START && STORE_UNRESPONSIVE && required[B] &&
	   request[B] == 0 && reply[B] == 0 ->
		request[B] = AGE (0) }
	:: atomic { MAY_START && STORE_UNRESPONSIVE && required[X] &&
	   request[X] == 0 && reply[X] == 0 ->
		request[X] = AGE (0) }
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
			promise_held[i] = SPAN
#else
			promise_held[i] = SPAN_HELD + AGE (0) - reply[i]
#endif
		fi;
		reply[i] = 0;
		i = 0
	   }
	/* A call of X, by which A learns of X. */
	:: atomic { owning && alive[X] && registered[X] && !known_to_owner[X] &&
		!call_answered -> required[X] = true; call_answered = true }
	od
}

proctype other_entry (byte who)
{
end:
	do
	:: atomic { owning && alive[who] && reaches_store[who] &&
		record_absent[who] != (store_lease == 0) -> read_store (who) }
	/* A new record; then everything is read before anything is taken
	   over. */
	:: atomic { who == X && owning && alive[X] && reaches_store[X] &&
	   !registered[X] ->
		registered[X] = true;
#ifndef MUT_MET_BEFORE
		known_to_owner[X] = false; call_answered = false;
#endif
#ifndef MUT_ABSENCE_OF_BEFORE
		record_absent[X] = false; absence_age[X] = 0;
#endif
		read_store (X) }
	:: atomic { who == X && owning && alive[X] && call_answered ->
		known_to_owner[X] = true; call_answered = false;
		absence_age[X] = 0 }
	/* A promise, or a refusal. */
	:: atomic { owning && alive[who] && request[who] > 0 ->
		if
		:: NO_TAKEOVER_PENDING (who) ->
			reply[who] = request[who];
			promise_given[who] = SPAN
		:: else
		fi;
		request[who] = 0
	   }
	/* A takeover: answered, or with its answer lost, or applied late. */
	:: atomic { owning && alive[who] && registered[who] &&
	   reaches_store[who] &&
		record_absent[who] && owner == A && KNOWN (who) &&
		   PROMISE_OVER (who) &&
		!takeover_unknown[who] ->
		if
		:: store_lease == 0 -> read_store (who); take_over (who)
		:: takeover_unknown[who] = true; late_write[who] = true
		fi
	   }
	:: atomic { owning && late_write[who] -> late_write[who] = false;
		if
		:: store_lease == 0 && owner == A -> take_over (who)
		:: else
		fi
	   }
	/* Writing the own record again makes the late write fail. */
	:: atomic { owning && alive[who] && takeover_unknown[who] &&
	   reaches_store[who] ->
		late_write[who] = false; takeover_unknown[who] = false;
		read_store (who) }
	/* The late write of a killed entry took the partition over; the next
	   entry may take it over from there. */
	:: atomic { owning && alive[who] && registered[who] &&
	   reaches_store[who] &&
		owner == B + X - who && !alive[B + X - who] &&
		   PROMISES_OVER (who) ->
		take_over (who) }
	od
}

/* After another entry took the partition over, A may never start anything
   again. */
active proctype checker ()
{
end:
	do
	:: atomic { owner != A && alive[owner] -> assert (!MAY_START) }
	od
}

init
{
	atomic { run other_entry (B); run other_entry (X) }
}
