/*
 * At most one start of each task: ownership by epoch, start permits, RECOVER,
 * SETTLE, the takeover floor and the planned handover.
 *
 * Two entries, two agents, one submission of TASKS tasks given to both
 * entries. Every process is one loop of atomic steps, so a pause is a step
 * not taken, and a late message is one not yet delivered. Time is a global
 * counter that stops at TMAX; only differences of it are used. FAULTS bounds
 * crashes, broken connections, lost answers and agents given up.
 * Each MUT_ macro removes one rule; spin must then find a violation.
 */

#ifndef TASKS
#define TASKS 1
#endif
#ifndef FAULTS
#define FAULTS 1
#endif
#ifndef TMAX
#define TMAX 4
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef MINT_MAX
#define MINT_MAX 3
#endif
#ifndef HANDOVERS
#define HANDOVERS 1
#endif
#define LEASE 2			/* ticks that a lease lasts */
#define SKEW2 2			/* twice the bound on an entry's clock error */
#define NONE 2			/* no entry, no agent, no connection */

/* How an entry sees a task. */
#define QUEUED 0		/* certainly never sent, or refused */
#define SENT 1			/* sent under this epoch, or known to run */
#define INHERITED 2		/* handed over as sent; to be settled */
#define DONE 3
#define MAYBE 4
#define NOTRUN 5

/* A START on its way, or its refusal on the way back. */
#define FREE 0
#define START 1
#define REFUSAL 2
#define SLOTS 2

#define I(e, t) ((e) * TASKS + (t))
#define BIT(t) (1 << (t))
#define wall(e) (now + offset[e])

byte now;
byte faults = FAULTS;
bit declined;			/* one refusal or deadline in the queue is over */

/* The store: the owner record, its revision, the lease of each entry. */
byte owner = 0;
byte epoch = 1;
byte lease[2];

/* The entries. */
bit up[2];
bit reborn[2];			/* not the incarnation that a record may name */
byte offset[2];			/* error of the wall clock, 0 to SKEW2 */
byte view[2];			/* end of the lease for certain */
byte ep[2];			/* epoch owned, 0: none */
byte taking[2];			/* revision compared by a CAS on its way */
bit unsure[2];			/* the answer of the CAS was lost */
bit old[2];			/* the id was minted before the floor */
byte answered[2];		/* agents that answered RECOVER */
byte known[2];			/* tasks they reported */
bit gave_up[2];			/* on an agent that does not answer RECOVER */
bit job[2];			/* the submission is in memory */
byte task[2 * TASKS];
byte at[2 * TASKS];		/* agent that it was sent to, NONE: it is lost */
byte quiet_at[2];		/* no permit given lasts longer than this */
byte broken[2];			/* agents whose connection broke */
#ifdef MUT_CHECK_BEFORE
byte checked[2];		/* span left when the job was accepted */
#endif
bit frozen[2];
byte passed[2];			/* epoch of the handover received, 0: none */
bit passed_old[2];
byte handovers = HANDOVERS;

/* The agents. */
byte started[2];		/* tasks, by agent */
byte fenced[2];
byte highest[2];		/* newest epoch seen */
bit lost;			/* an agent went with its memory */

/* Messages between entries and agents. */
byte kind[SLOTS];
byte m_from[SLOTS];		/* NONE: on a closed connection */
byte m_to[SLOTS];
byte m_task[SLOTS];
byte m_epoch[SLOTS];
byte m_until[SLOTS];

/* The two copies of the submission: entry that holds it, NONE: answered. */
byte copy[2];
byte mint;

/* What the properties speak of. */
byte ran;			/* tasks that have started anywhere */
byte closed;			/* newest epoch that gave a final answer */

#define leased(e) (now < view[e])
#define owns(e) (up[e] && ep[e] != 0 && !frozen[e] && leased(e))
#define final(s) ((s) >= DONE)
#define recovered(e) (answered[e] == 3)
#define proves(e) (recovered(e) && !lost)
#define on_wire(e, a) \
	((kind[0] != FREE && m_from[0] == e && m_to[0] == a) || \
	(kind[1] != FREE && m_from[1] == e && m_to[1] == a))
#define start_for(t) \
	((kind[0] == START && m_task[0] == t) || \
	(kind[1] == START && m_task[1] == t))
/* Time stops at TMAX; whatever may still start is delivered before. */
#ifdef MUT_MAYBE_EARLY
#define permits_over(e, t) true
#else
#define permits_over(e, t) \
	(now >= quiet_at[e] || (now == TMAX && !start_for(t)))
#endif

inline clear(k)
{
	kind[k] = FREE; m_from[k] = 0; m_to[k] = 0;
	m_task[k] = 0; m_epoch[k] = 0; m_until[k] = 0
}

/* Whatever was on a connection loses its way back. */
inline close(e, a)
{
	i = 0;
	do
	:: i < SLOTS ->
		if
		:: kind[i] != FREE && m_from[i] == e && m_to[i] == a ->
			if
			:: kind[i] == REFUSAL -> clear(i)
			:: else -> m_from[i] = NONE
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline forget(e)
{
	ep[e] = 0;
	job[e] = 0;
	answered[e] = 0;
	known[e] = 0;
	gave_up[e] = 0;
	quiet_at[e] = 0;
	frozen[e] = 0;
	old[e] = 0;
	i = 0;
	do
	:: i < TASKS -> task[I(e, i)] = QUEUED; at[I(e, i)] = 0; i++
	:: else -> break
	od;
	i = 0
}

inline take_office(e)
{
#ifdef MUT_TAKE_KEEPS_PASSED
	if
	:: passed[e] != 0 && passed[e] == epoch - 1 ->
		ep[e] = epoch; passed[e] = 0; passed_old[e] = 0
	:: else ->
#endif
	passed[e] = 0;
	passed_old[e] = 0;
	forget(e);
	ep[e] = epoch;
#ifndef MUT_NO_WAIT_AT_TAKEOVER
	/* Permits of an owner before the last one, which handed over. */
	quiet_at[e] = now + LEASE;
#endif
#ifdef MUT_NO_FLOOR
	old[e] = 0
#else
#ifdef MUT_FLOOR_NO_SKEW
	old[e] = (mint < wall(e))
#else
	old[e] = (mint < wall(e) + SKEW2)
#endif
#endif
#ifdef MUT_TAKE_KEEPS_PASSED
	fi
#endif
}

/*
 * RECOVER: the agent refuses older epochs from here on and reports what it
 * has started; a task handed over as sent is settled by the report.
 */
inline recover(e, a)
{
#ifndef MUT_NO_EPOCH_FENCE
	if
	:: highest[a] < ep[e] -> highest[a] = ep[e]
	:: else
	fi;
#endif
	answered[e] = answered[e] | BIT(a);
	known[e] = known[e] | started[a];
	i = 0;
	do
	:: i < TASKS ->
		if
		:: job[e] && task[I(e, i)] == INHERITED && at[I(e, i)] == a ->
			if
			:: started[a] & BIT(i) -> task[I(e, i)] = SENT
			:: else -> task[I(e, i)] = QUEUED; at[I(e, i)] = 0
			fi
		:: !job[e] && (started[a] & BIT(i)) ->
			task[I(e, i)] = SENT; at[I(e, i)] = a
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* SETTLE: what the agent does not know is marked as never to start. */
inline settle(e, a)
{
	broken[e] = broken[e] & ~BIT(a);
	i = 0;
	do
	:: i < TASKS ->
		if
		:: job[e] && task[I(e, i)] == SENT && at[I(e, i)] == a &&
		   !(started[a] & BIT(i)) ->
#ifndef MUT_NO_SETTLE_FENCE
			fenced[a] = fenced[a] | BIT(i);
#endif
			task[I(e, i)] = QUEUED; at[I(e, i)] = 0
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline pass(e, o)
{
	handovers--;
#ifndef MUT_NO_FREEZE
	frozen[e] = 1;
#endif
	forget(o);
	passed[o] = ep[e];
	passed_old[o] = old[e];
	job[o] = job[e];
	i = 0;
	do
	:: i < TASKS && job[e] ->
		at[I(o, i)] = at[I(e, i)];
		if
#ifndef MUT_SENT_PASSED_AS_QUEUED
		:: task[I(e, i)] == SENT -> task[I(o, i)] = INHERITED
		:: task[I(e, i)] != SENT -> task[I(o, i)] = task[I(e, i)]
#else
		:: task[I(e, i)] == SENT -> task[I(o, i)] = QUEUED
		:: task[I(e, i)] != SENT -> task[I(o, i)] = task[I(e, i)]
#endif
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* Lease, ownership and handover of one entry. */
proctype ownership(byte e; byte other)
{
	byte i;

end:	do
	/* Renewal: the view counts from before the request was sent. */
	:: d_step { up[e] && lease[e] == now + 1 ->
		lease[e] = now + LEASE;
#ifdef MUT_COUNT_FROM_ANSWER
		view[e] = now + LEASE + 1
#else
		view[e] = now + LEASE
#endif
	}
	/* A new lease after a lapse; the owner record is read after it. */
	:: d_step { up[e] && lease[e] <= now ->
		lease[e] = now + LEASE;
		view[e] = now + LEASE;
#ifndef MUT_NO_REREAD
		if
		:: ep[e] != 0 && (owner != e || epoch != ep[e]) -> forget(e)
		:: else
		fi
#endif
	}
	/* Takeover: the CAS is sent, later applied, and answered or not. */
	:: d_step { up[e] && leased(e) && ep[e] == 0 && taking[e] == 0 &&
	   !unsure[e] && epoch < EPOCHS &&
	   ((owner == 1 - e && lease[1 - e] <= now) ||
	   (owner == e && reborn[e])) ->
		taking[e] = epoch
	}
	:: atomic { taking[e] != 0 ->
		if
#ifdef MUT_ABSENCE_SEEN_EARLIER
		:: epoch == taking[e] ->
#else
		:: epoch == taking[e] && (owner == e || lease[1 - e] <= now) ->
#endif
			owner = e;
			epoch++;
			if
			:: up[e] -> reborn[e] = 0; take_office(e)
			:: up[e] && faults > 0 ->
				faults--; reborn[e] = 0; unsure[e] = 1
			:: !up[e]
			fi
		:: else
		fi;
		taking[e] = 0
	}
	/* A lost answer is settled by reading the record back. */
	:: d_step { up[e] && unsure[e] ->
		unsure[e] = 0;
#ifndef MUT_LOST_IS_FAILURE
		if
		:: owner == e -> take_office(e)
		:: else
		fi
#endif
	}
	/* Planned handover: freeze and pass the jobs, then the record. */
	:: d_step { handovers > 0 && owns(e) && owner == e && up[1 - e] &&
	   ep[1 - e] == 0 && epoch < EPOCHS && taking[1 - e] == 0 &&
	   !unsure[1 - e] && !reborn[1 - e] ->
		pass(e, other)
	}
#ifdef MUT_NO_FREEZE
	:: d_step { up[e] && ep[e] != 0 && owner == e && epoch == ep[e] &&
	   passed[1 - e] == ep[e] ->
#else
	:: d_step { up[e] && frozen[e] && owner == e && epoch == ep[e] ->
#endif
		owner = 1 - e;
		epoch++;
		forget(e)
	}
	/* The handover is given up while the record was not yet passed. */
	:: d_step { up[e] && frozen[e] && faults > 0 && owner == e ->
		faults--;
		frozen[e] = 0
	}
	/* The record names this entry, which takes up what was passed. */
	:: d_step { up[e] && owner == e && ep[e] == 0 && taking[e] == 0 &&
	   !unsure[e] && !reborn[e] && passed[e] != 0 && passed[e] == epoch - 1 ->
		ep[e] = epoch;
		old[e] = passed_old[e];
		quiet_at[e] = now + LEASE;
		passed[e] = 0;
		passed_old[e] = 0
	}
	/* The process dies with its memory; another takes its place later. */
	:: d_step { up[e] && faults > 0 ->
		faults--;
		up[e] = 0;
		unsure[e] = 0;
		view[e] = 0;
		passed[e] = 0;
		passed_old[e] = 0;
		forget(e);
		broken[e] = 0;
		close(e, 0);
		close(e, 1)
	}
	:: d_step { !up[e] && lease[e] <= now && taking[e] == 0 ->
		up[e] = 1;
		reborn[e] = 1
	}
	od
}

/* What an entry exchanges with one agent beside starts. */
proctype link(byte e; byte a)
{
	byte i;

end:	do
	:: d_step { up[e] && ep[e] > 1 && !(answered[e] & BIT(a)) &&
	   !on_wire(e, a) && !(broken[e] & BIT(a)) -> recover(e, a) }
	:: d_step { up[e] && ep[e] > 1 && !(answered[e] & BIT(a)) &&
	   faults > 0 && !gave_up[e] -> faults--; gave_up[e] = 1 }
	/* The connection breaks; what was sent on it may still arrive. */
	:: d_step { up[e] && on_wire(e, a) && faults > 0 &&
	   !(broken[e] & BIT(a)) ->
		faults--;
		broken[e] = broken[e] | BIT(a);
		close(e, a)
	}
	:: d_step { up[e] && (broken[e] & BIT(a)) -> settle(e, a) }
	od
}

#ifdef MUT_NOT_RUN_WITHOUT_LEASE
#define may_say(e) true
#else
#define may_say(e) (owns(e) || (task[I(e, 0)] != NOTRUN && \
	task[I(e, TASKS - 1)] != NOTRUN))
#endif

/* What an owner does with the submission. */
proctype jobs(byte e; byte c)
{
	byte i;

end:	do
	/* SUBMIT of an id that no earlier owner can have accepted. */
	:: d_step { copy[c] == e && owns(e) && !job[e] && mint <= wall(e) &&
	   !old[e] ->
		job[e] = 1;
#ifdef MUT_CHECK_BEFORE
		checked[e] = view[e] - now;
#endif
		i = 0;
		do
		:: i < TASKS -> task[I(e, i)] = QUEUED; at[I(e, i)] = 0; i++
		:: else -> break
		od;
		i = 0
	}
	/* SUBMIT of an older id, once the agents were asked. */
	:: d_step { copy[c] == e && owns(e) && !job[e] && old[e] &&
	   (proves(e) || ((recovered(e) || gave_up[e]) && permits_over(e, 0) &&
	   permits_over(e, TASKS - 1))) ->
		job[e] = 1;
		i = 0;
		do
		:: i < TASKS ->
			if
			:: task[I(e, i)] == SENT
#ifdef MUT_LOST_AGENT_IGNORED
			:: task[I(e, i)] != SENT -> task[I(e, i)] = QUEUED
#else
			:: task[I(e, i)] != SENT && proves(e) -> task[I(e, i)] = QUEUED
			:: task[I(e, i)] != SENT && !proves(e) -> task[I(e, i)] = MAYBE
#endif
			fi;
			i++
		:: else -> break
		od;
		i = 0
	}
	/* Refused as "not run": over a limit, or minted in the future. */
	:: d_step { copy[c] == e && owns(e) && !job[e] &&
	   (mint > wall(e) || !declined) &&
#ifdef MUT_REFUSAL_IGNORES_FLOOR
	   true ->
#else
	   (!old[e] || (proves(e) && known[e] == 0)) ->
#endif
		assert (ran == 0);
		if
		:: mint <= wall(e) -> declined = 1
		:: else
		fi;
		if
		:: closed < ep[e] - 1 -> closed = ep[e] - 1
		:: else
		fi;
		copy[c] = NONE
	}
	/* FORWARD to the owner; the caller's second try when an entry died. */
	:: d_step { copy[c] == e && ep[e] == 0 && up[1 - e] &&
	   (!up[e] || ep[1 - e] != 0) -> copy[c] = 1 - e }
	/* The whole answer; "not run" only under a valid lease. */
	:: d_step { copy[c] == e && up[e] && ep[e] != 0 && job[e] &&
	   final(task[I(e, 0)]) && final(task[I(e, TASKS - 1)]) &&
	   may_say(e) ->
		i = 0;
		do
		:: i < TASKS ->
			assert (task[I(e, i)] != NOTRUN || !(ran & BIT(i)));
			assert (task[I(e, i)] != DONE || (ran & BIT(i)));
			if
			:: task[I(e, i)] != DONE && closed < ep[e] -> closed = ep[e]
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		copy[c] = NONE
	}
	od
}

/*
 * A permit lasts from the credit's stamp for the span between the receipt of
 * the stamp and the end of the lease. The stamp was made before it was
 * received, so the worst case is a stamp received at once: the permit ends
 * with the lease. A slower one makes a shorter permit, which is the same as
 * a later delivery. The mutant counts the span from before the receipt.
 */
#ifdef MUT_CHECK_BEFORE
#define until(e) (now + checked[e])
#define may_start(e) (up[e] && ep[e] != 0 && !frozen[e])
#else
#define until(e) view[e]
#define may_start(e) owns(e)
#endif

/* Sends one task with one agent's credits and takes what comes back. */
proctype dispatch(byte e; byte a; byte t)
{
	byte k;

end:	do
	/* START with a credit in hand. */
	:: d_step { may_start(e) && job[e] && task[I(e, t)] == QUEUED &&
	   !(broken[e] & BIT(a)) && !(fenced[a] & BIT(t)) &&
	   (kind[0] == FREE || kind[1] == FREE) ->
		if
		:: kind[0] == FREE -> k = 0
		:: else -> k = 1
		fi;
		kind[k] = START; m_from[k] = e; m_to[k] = a;
		m_task[k] = t; m_epoch[k] = ep[e]; m_until[k] = until(e);
		task[I(e, t)] = SENT;
		at[I(e, t)] = a;
		if
		:: quiet_at[e] < m_until[k] -> quiet_at[e] = m_until[k]
		:: else
		fi;
		k = 0
	}
	:: d_step { up[e] && ep[e] != 0 && job[e] && task[I(e, t)] == SENT &&
	   at[I(e, t)] == a && (started[a] & BIT(t)) -> task[I(e, t)] = DONE }
	/* The agent is lost, or given up on after its connection broke. */
	:: d_step { up[e] && ep[e] != 0 && job[e] && at[I(e, t)] == NONE &&
	   !final(task[I(e, t)]) && permits_over(e, t) -> task[I(e, t)] = MAYBE }
	:: d_step { up[e] && ep[e] != 0 && job[e] && task[I(e, t)] == SENT &&
	   at[I(e, t)] == a && (broken[e] & BIT(a)) && faults > 0 &&
	   permits_over(e, t) -> faults--; task[I(e, t)] = MAYBE }
	:: d_step { up[e] && ep[e] != 0 && job[e] &&
	   task[I(e, t)] == INHERITED && gave_up[e] &&
	   permits_over(e, t) -> task[I(e, t)] = MAYBE }
	/* Expired in the queue, or no agent is left that would start it. */
	:: d_step { owns(e) && job[e] && task[I(e, t)] == QUEUED &&
	   (!declined || (fenced[0] & fenced[1] & BIT(t))) ->
		declined = 1; task[I(e, t)] = NOTRUN }
	od
}

proctype agent(byte a; byte k)
{
	byte i;

end:	do
	:: d_step { kind[k] == START && m_to[k] == a &&
#ifndef MUT_NO_PERMIT
	   now < m_until[k] &&
#endif
	   m_epoch[k] >= highest[a] && !(fenced[a] & BIT(m_task[k])) &&
	   !(started[a] & BIT(m_task[k])) ->
		assert (!(ran & BIT(m_task[k])));
		assert (m_epoch[k] > closed);
		ran = ran | BIT(m_task[k]);
		started[a] = started[a] | BIT(m_task[k]);
		highest[a] = m_epoch[k];
		clear(k)
	}
	:: d_step { kind[k] == START && m_to[k] == a && !(
#ifndef MUT_NO_PERMIT
	   now < m_until[k] &&
#endif
	   m_epoch[k] >= highest[a] && !(fenced[a] & BIT(m_task[k])) &&
	   !(started[a] & BIT(m_task[k]))) ->
		if
		:: m_from[k] == NONE || (started[a] & BIT(m_task[k])) -> clear(k)
		:: else -> kind[k] = REFUSAL
		fi
	}
	:: d_step { kind[k] == START && m_to[k] == a && m_from[k] == NONE ->
		clear(k) }
	:: d_step { kind[k] == REFUSAL && m_to[k] == a ->
		if
		:: task[I(m_from[k], m_task[k])] == SENT && job[m_from[k]] &&
#ifndef MUT_RESULT_WITHOUT_EPOCH
		   m_epoch[k] == ep[m_from[k]] &&
#endif
		   at[I(m_from[k], m_task[k])] == a ->
			task[I(m_from[k], m_task[k])] = QUEUED;
			at[I(m_from[k], m_task[k])] = 0
		:: else
		fi;
		clear(k)
	}
	/* The process dies with its memory; a new one takes its place. */
	:: d_step { k == 0 && faults > 0 ->
		faults--;
		lost = 1;
		started[a] = 0;
		fenced[a] = 0;
		highest[a] = 0;
		answered[0] = answered[0] & ~BIT(a);
		answered[1] = answered[1] & ~BIT(a);
		i = 0;
		do
		:: i < 2 * TASKS ->
			if
			:: (task[i] == SENT || task[i] == INHERITED) && at[i] == a ->
				at[i] = NONE
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < SLOTS ->
			if
			:: kind[i] != FREE && m_to[i] == a -> clear(i)
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0
	}
	od
}

inline past(x)
{
	if
	:: x <= now -> x = 0
	:: else
	fi
}

proctype clock()
{
end:	do
	:: d_step { now < TMAX ->
		now++;
		/* What is over is over; nothing compares how long since. */
		past (lease[0]); past (lease[1]);
		past (view[0]); past (view[1]);
		past (quiet_at[0]); past (quiet_at[1]);
		past (m_until[0]); past (m_until[1])
	}
	od
}

/*
 * Nothing is left to happen: every copy must have its answer, unless time or
 * epochs ran out before a dead owner could be replaced.
 */
proctype observer()
{
	timeout -> assert ((copy[0] == NONE && copy[1] == NONE) ||
	    epoch == EPOCHS || !up[0] || !up[1])
}

init
{
	atomic {
		up[0] = 1;
		up[1] = 1;
		ep[0] = 1;
		lease[0] = LEASE; view[0] = LEASE;
		lease[1] = LEASE; view[1] = LEASE;
		copy[1] = 1;
		if
		:: offset[0] = SKEW2
		:: offset[1] = SKEW2
		:: skip
		fi;
#ifdef MINT
		mint = MINT;
#else
		select (mint : 0 .. MINT_MAX);
#endif
		run ownership(0, 1); run ownership(1, 0);
		run link(0, 0); run link(0, 1); run link(1, 0); run link(1, 1);
		run jobs(0, 0); run jobs(0, 1); run jobs(1, 0); run jobs(1, 1);
#if TASKS == 2
		run dispatch(0, 0, 1); run dispatch(0, 1, 1);
		run dispatch(1, 0, 1); run dispatch(1, 1, 1);
#endif
		run dispatch(0, 0, 0); run dispatch(0, 1, 0);
		run dispatch(1, 0, 0); run dispatch(1, 1, 0);
		run agent(0, 0); run agent(0, 1); run agent(1, 0); run agent(1, 1);
		run clock();
		run observer()
	}
}
