/*
 * How an owner goes on while the store can't be reached (src/entry/promises.h
 * and keeper_promises.c).
 *
 * A owns a partition. B is an entry that A knows; X registers at any time.
 * Each of them reaches the store or not, as faults switch it. Steps are
 * atomic and interleave freely; time passes in whole units for all alike, the
 * margins of the code stand for the drift of clocks.
 *
 * Safety: when B or X takes the partition, A may not start anything, then or
 * later.
 */

#ifndef FAULTS
#define FAULTS 3
#endif
#ifndef TMAX
#define TMAX 10
#endif

#define TTL 3		/* of the lease, counted by the store */
#define LEASE_HELD 2	/* the same counted by A, from before sending */
#define SPAN 2		/* of a promise, counted by its giver */
#define SPAN_HELD 1	/* the same counted by A, from before sending */
#define PATIENCE 1	/* the store is up for who had an answer so lately */
#define OUTAGE_MAX 4	/* the longest extension after A's last answer */
#define AT(t) ((t) + 1)	/* times in messages, 0: no message */

#define A 0
#define B 1
#define X 2

byte now = 0;
byte faults = 0;

/* The store. */
byte owner = A;
bool key_a = true;
byte expiry = TTL;
bool up[3] = { true, true, true };

/* A's renewal on its way: when it was sent, and whether it was applied. */
byte renewal = 0;
bool renewed = false;

/* A as the owner. */
bool owning = true;	/* it has not given the partition up */
byte lease = LEASE_HELD;
byte answered = 0;
byte held[3] = { 0, 0, 0 };
bool needed[3] = { false, true, false };

/* B and X. Index A is unused. */
bool registered[3] = { true, true, false };
bool met[3] = { false, true, false };
byte last[3] = { 0, 0, 0 };	/* answer of the store */
byte given[3] = { 0, 0, 0 };
byte absent[3] = { 0, 0, 0 };	/* AT the time A's key was first missed */
bool unsettled[3] = { false, false, false };
bool late[3] = { false, false, false };	/* a write that may still arrive */
bool voided[3] = { false, false, false };

/* Messages between A and the others. */
byte ask[3] = { 0, 0, 0 };	/* AT the time of sending */
byte reply[3] = { 0, 0, 0 };	/* AT the time its question was sent */
byte greet[3] = { 0, 0, 0 };	/* 1: from X, 2: answered by A */

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#ifdef MUT_NOT_ALL
#define ALL_HELD held[B]
#else
#define ALL_HELD (needed[X] -> MIN (held[B], held[X]) : held[B])
#endif
#define EXTENDED (MIN (ALL_HELD, answered + OUTAGE_MAX))
#define MAY_START (owning && (now < lease || now < EXTENDED))

#ifdef MUT_GIVE_WITH_STORE
#define STORE_DOWN(i) true
#else
#define STORE_DOWN(i) (now > last[i] + PATIENCE)
#endif
#ifdef MUT_GIVE_UNSETTLED
#define SETTLED(i) true
#else
#define SETTLED(i) (!unsettled[i])
#endif
#ifdef MUT_PROMISE_BROKEN
#define KEPT(i) true
#else
#define KEPT(i) (now >= given[i])
#endif
#ifdef MUT_UNKNOWN_TAKES
#define KNOWN(i) true
#else
#define KNOWN(i)                                                              \
	(met[i] || (absent[i] > 0 && AT (now) > absent[i] + OUTAGE_MAX + TTL))
#endif

inline take_now ()
{
	owner = who;
	assert (!MAY_START)
}

/* The store and time. */
active proctype store ()
{
end:
	do
	:: atomic { now < TMAX -> now++;
		if
		:: key_a && expiry <= now -> key_a = false
		:: else
		fi
	   }
	:: atomic { faults < FAULTS -> faults++;
		if
		:: up[A] = !up[A]
		:: up[B] = !up[B]
		:: up[X] = !up[X]
		:: up[A] = !up[A]; up[B] = !up[B]; up[X] = !up[X]
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
	:: atomic { owning && up[A] && renewal == 0 ->
		renewal = AT (now); renewed = false }
	:: atomic { renewal > 0 && !renewed && key_a ->
		expiry = now + TTL; renewed = true }
	:: atomic { renewal > 0 && renewed && up[A] && owning ->
#ifdef MUT_COUNT_FROM_ANSWER
		lease = now + LEASE_HELD;
#else
		lease = renewal - 1 + LEASE_HELD;
#endif
		answered = now; held[B] = 0; held[X] = 0; renewal = 0 }
	:: atomic { renewal > 0 -> renewal = 0 }
	/* The lease lapsed at the store: a new one, then the record is read. */
	:: atomic { MAY_START && up[A] && !key_a ->
		key_a = true; expiry = now + TTL;
		if
		:: owner == A -> lease = now + LEASE_HELD; answered = now;
			held[B] = 0; held[X] = 0
		:: else -> owning = false
		fi;
		if
		:: skip
		:: registered[X] -> needed[X] = true
		fi
	   }
	/* It notices that it may not go on. */
	:: atomic { owning && !MAY_START -> owning = false }
	:: atomic { owning && up[A] && owner != A -> owning = false }
	/* The watch shows X. */
	:: atomic { up[A] && registered[X] -> needed[X] = true }
	/* Questions and answers. */
	:: atomic { MAY_START && !up[A] ->
		select (i : 1 .. 2);
		if
		:: ask[i] == 0 && reply[i] == 0 -> ask[i] = AT (now)
		:: else
		fi
	   }
	:: atomic { (reply[B] > 0 || reply[X] > 0) ->
		select (i : 1 .. 2);
		if
#ifdef MUT_LATE_REPLY
		:: reply[i] > 0 && owning && reply[i] - 1 >= answered ->
#else
		:: reply[i] > 0 && MAY_START && reply[i] - 1 >= answered ->
#endif
#ifdef MUT_HELD_FROM_RECEIPT
			held[i] = now + SPAN;
#else
			held[i] = reply[i] - 1 + SPAN_HELD;
#endif
			reply[i] = 0
		:: else -> reply[i] = 0
		fi
	   }
	:: atomic { greet[X] == 1 -> needed[X] = true; greet[X] = 2 }
	od
}

proctype other (byte who)
{
end:
	do
	:: atomic { up[who] && last[who] < now -> last[who] = now;
		if
		:: !key_a && absent[who] == 0 -> absent[who] = AT (now)
		:: key_a -> absent[who] = 0
		:: else
		fi
	   }
	:: atomic { who == X && up[X] && !registered[X] -> registered[X] = true }
	:: atomic { who == X && registered[X] && greet[X] == 0 -> greet[X] = 1 }
	:: atomic { who == X && greet[X] == 2 -> met[X] = true; greet[X] = 3 }
	/* A promise, or a refusal. */
	:: atomic { ask[who] > 0 ->
		if
		:: STORE_DOWN (who) && SETTLED (who) ->
			reply[who] = ask[who];
			given[who] = now + SPAN
		:: else
		fi;
		ask[who] = 0
	   }
	/* A take: answered, or with its answer lost, or late. */
	:: atomic { registered[who] && up[who] && !key_a && owner == A &&
		KNOWN (who) && KEPT (who) && !unsettled[who] ->
		last[who] = now;
		if
		:: take_now ()
		:: unsettled[who] = true; late[who] = true; voided[who] = false
		fi
	   }
	:: atomic { late[who] -> late[who] = false;
		if
		:: !voided[who] && !key_a && owner == A -> take_now ()
		:: else
		fi
	   }
	/* The own record written anew makes the late write fail. */
	:: atomic { unsettled[who] && up[who] ->
		last[who] = now; voided[who] = true; unsettled[who] = false }
	od
}

/* After another took it, A may never start again. */
active proctype watch ()
{
end:
	do
	:: atomic { owner != A -> assert (!MAY_START) }
	od
}

init
{
	atomic { run other (B); run other (X) }
}
