/*
 * Durable claims of opaque ids: group commit into the owner's numbered log,
 * lost answers, deposed writers, a store that is down.
 *
 * Two entries, IDS ids, submitted any number of times to whoever owns the
 * partition. That a deposed owner's permits are over at a takeover is proved
 * in start.pml and taken for granted here.
 */

#ifndef IDS
#define IDS 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define NUMBERS 4
#define ALL ((1 << IDS) - 1)
#define BIT(i) (1 << (i))

#define IDLE 0
#define SENT 1
#define LOST 2			/* no answer: may have been applied, or be later */

/* The store. */
byte owner;
byte epoch = 1;
byte log[NUMBERS];		/* ids claimed by each write, 0: absent */
bit down;
byte faults = FAULTS;

/* The entries. */
byte ep[2];
bit loaded[2];			/* the log was read under this epoch */
byte next[2];
byte seen[2];			/* ids claimed by earlier owners */
byte want[2];
byte group[2];
byte state[2];
byte claimed[2];

/* A write on its way. */
byte w_ids[2];
byte w_number[2];
byte w_epoch[2];

byte ran;
byte answered;


inline confirm(e)
{
	claimed[e] = claimed[e] | group[e];
	group[e] = 0;
	state[e] = IDLE;
	next[e]++
}

inline depose(e)
{
	ep[e] = 0; loaded[e] = 0; next[e] = 0; seen[e] = 0; want[e] = 0;
	group[e] = 0; state[e] = IDLE; claimed[e] = 0
}

inline land(e)
{
	w_ids[e] = 0; w_number[e] = 0; w_epoch[e] = 0
}

#ifdef MUT_NO_EPOCH_COMPARE
#define holds(e) (log[w_number[e]] == 0)
#else
#define holds(e) (log[w_number[e]] == 0 && w_epoch[e] == epoch)
#endif

proctype entry(byte e)
{
	byte i;

end:	do
	/* Takeover (see start.pml), then the log is read to its end. */
	:: d_step { owner == 1 - e && ep[e] == 0 && !down && epoch < EPOCHS ->
		owner = e; epoch++; depose(e); ep[e] = epoch }
	:: d_step { ep[e] != 0 && !loaded[e] && !down ->
		i = 0;
		do
		:: i < NUMBERS && log[i] != 0 -> seen[e] = seen[e] | log[i]; i++
		:: else -> break
		od;
		next[e] = i;
		loaded[e] = 1;
		i = 0 }
	/* All claims that wait go into one write. */
	:: d_step { ep[e] != 0 && loaded[e] && state[e] == IDLE && want[e] != 0 &&
	   w_ids[e] == 0 && next[e] < NUMBERS ->
		group[e] = want[e]; want[e] = 0; state[e] = SENT;
		w_ids[e] = group[e]; w_number[e] = next[e]; w_epoch[e] = ep[e] }
	/* The write is applied, or its compare fails; the answer may be lost. */
	:: atomic { w_ids[e] != 0 && !down ->
		if
		:: d_step { holds(e) -> log[w_number[e]] = w_ids[e] }
			if
			:: d_step { ep[e] == w_epoch[e] && state[e] == SENT -> confirm(e) }
			:: d_step { ep[e] == w_epoch[e] && state[e] == SENT && faults > 0 ->
				faults--; state[e] = LOST }
			:: d_step { ep[e] != w_epoch[e] || state[e] != SENT -> skip }
			fi
		:: d_step { !holds(e) ->
			if
			:: ep[e] == w_epoch[e] && state[e] == SENT -> state[e] = LOST
			:: else
			fi }
		fi;
		d_step { land(e) }
	}
	:: d_step { state[e] == SENT && w_ids[e] != 0 && faults > 0 ->
		faults--; state[e] = LOST }
	/* An unclear answer is settled by reading the key and the owner back. */
	:: d_step { ep[e] != 0 && state[e] == LOST && !down ->
		if
#ifdef MUT_LOST_IS_SUCCESS
		:: true -> confirm(e)
#else
#ifdef MUT_NO_EPOCH_COMPARE
		:: log[next[e]] != 0 -> confirm(e)
		:: log[next[e]] == 0 ->
			state[e] = SENT;
			w_ids[e] = group[e]; w_number[e] = next[e]; w_epoch[e] = ep[e]
#else
		:: epoch != ep[e] -> depose(e)
		:: epoch == ep[e] && log[next[e]] != 0 -> confirm(e)
		:: epoch == ep[e] && log[next[e]] == 0 ->
			state[e] = SENT;
			w_ids[e] = group[e]; w_number[e] = next[e]; w_epoch[e] = ep[e]
#endif
#endif
		fi }
	/* A deposed owner learns it from its lease. */
	:: d_step { ep[e] != 0 && ep[e] != epoch && !down -> depose(e) }
	od
}

#define known(e, i) ((seen[e] | claimed[e] | want[e] | group[e]) & BIT(i))

proctype submission(byte e; byte i)
{
end:	do
	:: d_step { ep[e] != 0 && loaded[e] && !known(e, i) &&
	   !(answered & BIT(i)) -> want[e] = want[e] | BIT(i) }
	/* Claimed by an earlier owner: RECOVER tells whether it started. */
	:: d_step { ep[e] == epoch && (seen[e] & BIT(i)) && (ran & BIT(i)) &&
	   !(answered & BIT(i)) -> answered = answered | BIT(i) }
	/* START, while the permit of this epoch is valid. */
	:: d_step { ep[e] == epoch && !(claimed[e] & BIT(i) & ran) &&
#ifdef MUT_START_BEFORE_CLAIM
	   ((claimed[e] | group[e]) & BIT(i)) ->
#else
	   (claimed[e] & BIT(i)) ->
#endif
		assert (!(ran & BIT(i)));
		ran = ran | BIT(i);
		claimed[e] = claimed[e] | BIT(i) }
	:: d_step { ep[e] == epoch && (seen[e] & BIT(i)) && !(ran & BIT(i)) ->
		ran = ran | BIT(i) }
	:: d_step { ep[e] != 0 && (claimed[e] & ran & BIT(i)) &&
	   !(answered & BIT(i)) -> answered = answered | BIT(i) }
	/* Refused while the store is down. */
	:: d_step { ep[e] == epoch && down &&
#ifndef MUT_NOT_RUN_BEFORE_READ
	   loaded[e] &&
#endif
	   !((seen[e] | claimed[e] | group[e]) & BIT(i)) &&
	   !(answered & BIT(i)) ->
		assert (!(ran & BIT(i)));
		want[e] = want[e] & ~BIT(i);
		answered = answered | BIT(i) }
	od
}

proctype outage()
{
end:	do
	:: d_step { !down && faults > 0 -> faults--; down = 1 }
	:: d_step { down -> down = 0 }
	od
}

proctype observer()
{
	timeout -> assert (answered == ALL || epoch == EPOCHS)
}

init
{
	atomic {
		ep[0] = 1; loaded[0] = 1;
		run entry(0); run entry(1);
		run submission(0, 0); run submission(1, 0);
		run submission(0, 1); run submission(1, 1);
		run outage(); run observer()
	}
}
