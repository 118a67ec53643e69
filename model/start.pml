/*
 * At most one start of each task: ownership by epoch, start permits, RECOVER,
 * SETTLE, the takeover floor and the planned handover.
 *
 * Two entries, two agents, and one submission of TASKS tasks that is sent to
 * both entries. Every process is one loop of atomic steps, so a pause is a
 * step not taken, and a late message is one not yet delivered. Time is a
 * global counter that stops at TMAX; only differences of it are used. FAULTS
 * bounds the number of crashes, broken connections, lost answers and agents
 * given up. Each MUT_ macro removes one rule; spin must then find a violation.
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
#define LEASE 2			/* duration of a lease, in ticks */
#define TWICE_SKEW 2		/* twice the bound on an entry's clock error */
#define NONE 2			/* no entry, no agent, no connection */

/* State of a task at an entry. */
#define QUEUED 0		/* certainly never sent, or refused */
#define SENT 1			/* sent under this epoch, or known to run */
#define INHERITED 2		/* handed over as SENT; still to be resolved */
#define DONE 3
#define MAYBE 4
#define NOT_RUN 5

/* A START in flight, or its refusal in flight back. */
#define FREE 0
#define START 1
#define REFUSAL 2
#define MESSAGES 2

#define INDEX(e, t) ((e) * TASKS + (t))
#define BIT(t) (1 << (t))
#define wall_clock(e) (now + clock_error[e])

byte now;			/* in ticks */
byte faults = FAULTS;
/* One refusal or expired deadline has occurred, and no other may. */
bit declined;

/* The store: the owner record, its revision, the lease of each entry. */
byte owner = 0;
byte epoch = 1;
byte lease[2];

/* State of the entries. */
bit up[2];
bit restarted[2];		/* not the incarnation that a record may name */
byte clock_error[2];		/* of the wall clock, 0 to TWICE_SKEW */
byte lease_view[2];		/* the lease certainly lasts until then */
byte held_epoch[2];		/* epoch that it owns, 0: none */
byte first_epoch[2];		/* held first since it became the owner */
byte cas_epoch[2];		/* epoch compared by a CAS in flight, 0: none */
bit cas_unknown[2];		/* the answer of the CAS was lost */
bit below_floor[2];		/* the id was minted before the floor */
byte agents_asked[2];		/* agents that answered RECOVER */
byte tasks_reported[2];		/* tasks that they reported */
bit gave_up[2];			/* on an agent that does not answer RECOVER */
bit job_known[2];		/* it has the submission in memory */
byte task_state[2 * TASKS];
byte sent_to[2 * TASKS];	/* agent that it was sent to, NONE: lost */
byte permits_end[2];		/* all permits given have ended by then */
byte broken[2];			/* agents whose connection broke */
#ifdef MUT_CHECK_BEFORE
byte lease_left[2];		/* of the lease when the job was accepted */
#endif
bit frozen[2];			/* hands over, and starts nothing */
byte received_epoch[2];		/* epoch of the handover received, 0: none */
bit received_floor[2];
byte handovers = HANDOVERS;
#ifdef MUT_GIVE_UP_KEEPS_EPOCH
byte late_handover;		/* epoch compared by a write that was given up */
#endif

/* State of the agents. */
byte started[2];		/* tasks, by agent */
byte fenced[2];
byte highest_epoch[2];		/* newest epoch seen */
bit records_lost;		/* an agent was lost, with its records */

/* Messages between entries and agents. */
byte msg_kind[MESSAGES];
byte msg_from[MESSAGES];	/* NONE: its connection is closed */
byte msg_to[MESSAGES];
byte msg_task[MESSAGES];
byte msg_epoch[MESSAGES];
byte msg_until[MESSAGES];

/* Where each of the two copies of the submission is; NONE: answered. */
byte submission_at[2];
byte minted;			/* when its id was minted */

/* State for the assertions only. */
byte started_ever;		/* tasks that have started anywhere */
byte final_epoch;		/* newest epoch that gave a final answer */

#define has_lease(e) (now < lease_view[e])
#define owns(e) (up[e] && held_epoch[e] != 0 && !frozen[e] && has_lease(e))
#define is_final(s) ((s) >= DONE)
#define all_recovered(e) (agents_asked[e] == 3)
#define proves_not_run(e) (all_recovered(e) && !records_lost)
#define in_transit(e, a) \
	((msg_kind[0] != FREE && msg_from[0] == e && msg_to[0] == a) || \
	(msg_kind[1] != FREE && msg_from[1] == e && msg_to[1] == a))
#define start_in_transit(t) \
	((msg_kind[0] == START && msg_task[0] == t) || \
	(msg_kind[1] == START && msg_task[1] == t))
/* Time stops at TMAX, and with it the permits; then they count as over once no
   START of the task is in flight. */
#ifdef MUT_MAYBE_EARLY
#define permits_over(e, t) true
#else
#define permits_over(e, t) \
	(now >= permits_end[e] || (now == TMAX && !start_in_transit(t)))
#endif

inline clear_message(k)
{
	msg_kind[k] = FREE; msg_from[k] = 0; msg_to[k] = 0;
	msg_task[k] = 0; msg_epoch[k] = 0; msg_until[k] = 0
}

/* A message in flight has no connection left to be answered on. */
inline close_connection(e, a)
{
	i = 0;
	do
	:: i < MESSAGES ->
		if
		:: msg_kind[i] != FREE && msg_from[i] == e && msg_to[i] == a ->
			if
			:: msg_kind[i] == REFUSAL -> clear_message(i)
			:: else -> msg_from[i] = NONE
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline forget_partition(e)
{
	held_epoch[e] = 0;
	first_epoch[e] = 0;
	job_known[e] = 0;
	agents_asked[e] = 0;
	tasks_reported[e] = 0;
	gave_up[e] = 0;
	permits_end[e] = 0;
	frozen[e] = 0;
	below_floor[e] = 0;
	i = 0;
	do
	:: i < TASKS ->
		task_state[INDEX(e, i)] = QUEUED; sent_to[INDEX(e, i)] = 0; i++
	:: else -> break
	od;
	i = 0
}

inline become_owner(e)
{
#ifdef MUT_TAKE_KEEPS_PASSED
	if
	:: received_epoch[e] != 0 && received_epoch[e] == epoch - 1 ->
		held_epoch[e] = epoch; first_epoch[e] = epoch;
		received_epoch[e] = 0;
		received_floor[e] = 0
	:: else ->
#endif
	received_epoch[e] = 0;
	received_floor[e] = 0;
	forget_partition(e);
	held_epoch[e] = epoch;
	first_epoch[e] = epoch;
#ifndef MUT_NO_WAIT_AT_TAKEOVER
	/* Permits of an owner before the last one, which handed over. */
	permits_end[e] = now + LEASE;
#endif
#ifdef MUT_NO_FLOOR
	below_floor[e] = 0
#else
#ifdef MUT_FLOOR_NO_SKEW
	below_floor[e] = (minted < wall_clock(e))
#else
	below_floor[e] = (minted < wall_clock(e) + TWICE_SKEW)
#endif
#endif
#ifdef MUT_TAKE_KEEPS_PASSED
	fi
#endif
}

/*
 * RECOVER: the agent refuses older epochs from now on and reports the tasks
 * that it has started; the report resolves tasks that were handed over as
 * SENT.
 */
inline recover(e, a)
{
#ifndef MUT_NO_EPOCH_FENCE
	if
	:: highest_epoch[a] < held_epoch[e] -> highest_epoch[a] = held_epoch[e]
	:: else
	fi;
#endif
	agents_asked[e] = agents_asked[e] | BIT(a);
	tasks_reported[e] = tasks_reported[e] | started[a];
	i = 0;
	do
	:: i < TASKS ->
		if
		:: job_known[e] && task_state[INDEX(e, i)] == INHERITED &&
		   sent_to[INDEX(e, i)] == a ->
			if
			:: started[a] & BIT(i) -> task_state[INDEX(e, i)] = SENT
			:: else ->
				task_state[INDEX(e, i)] = QUEUED;
				sent_to[INDEX(e, i)] = 0
			fi
		:: !job_known[e] && (started[a] & BIT(i)) ->
			task_state[INDEX(e, i)] = SENT; sent_to[INDEX(e, i)] = a
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* SETTLE: the agent marks tasks that it doesn't know as never to start. */
inline settle(e, a)
{
	broken[e] = broken[e] & ~BIT(a);
	i = 0;
	do
	:: i < TASKS ->
		if
		:: job_known[e] && task_state[INDEX(e, i)] == SENT &&
		   sent_to[INDEX(e, i)] == a &&
		   !(started[a] & BIT(i)) ->
#ifndef MUT_NO_SETTLE_FENCE
			fenced[a] = fenced[a] | BIT(i);
#endif
			task_state[INDEX(e, i)] = QUEUED;
			sent_to[INDEX(e, i)] = 0
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline send_handover(e, o)
{
	handovers--;
#ifndef MUT_NO_FREEZE
	frozen[e] = 1;
#endif
	forget_partition(o);
	received_epoch[o] = held_epoch[e];
	received_floor[o] = below_floor[e];
	job_known[o] = job_known[e];
	i = 0;
	do
	:: i < TASKS && job_known[e] ->
		sent_to[INDEX(o, i)] = sent_to[INDEX(e, i)];
		if
#ifndef MUT_SENT_PASSED_AS_QUEUED
		:: task_state[INDEX(e, i)] == SENT ->
			task_state[INDEX(o, i)] = INHERITED
		:: task_state[INDEX(e, i)] != SENT ->
			task_state[INDEX(o, i)] = task_state[INDEX(e, i)]
#else
		:: task_state[INDEX(e, i)] == SENT ->
			task_state[INDEX(o, i)] = QUEUED
		:: task_state[INDEX(e, i)] != SENT ->
			task_state[INDEX(o, i)] = task_state[INDEX(e, i)]
#endif
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* Lease, ownership and handover of one entry. */
proctype entry_ownership(byte e; byte other)
{
	byte i;

end:	do
	/* Renewal: the lease is counted from before the request was sent. */
	:: d_step { up[e] && lease[e] == now + 1 ->
		lease[e] = now + LEASE;
#ifdef MUT_COUNT_FROM_ANSWER
		lease_view[e] = now + LEASE + 1
#else
		lease_view[e] = now + LEASE
#endif
	}
	/* A new lease after one expired; the owner record is read after it. */
	:: d_step { up[e] && lease[e] <= now ->
		lease[e] = now + LEASE;
		lease_view[e] = now + LEASE;
#ifndef MUT_NO_REREAD
		if
		:: held_epoch[e] != 0 &&
		   (owner != e || epoch != held_epoch[e]) -> forget_partition(e)
		:: else
		fi
#endif
	}
	/* Takeover: the CAS is sent, later applied, and answered or not. */
	:: d_step { up[e] && has_lease(e) && held_epoch[e] == 0 &&
	   cas_epoch[e] == 0 && !cas_unknown[e] && epoch < EPOCHS &&
	   ((owner == 1 - e && lease[1 - e] <= now) ||
	   (owner == e && restarted[e])) ->
		cas_epoch[e] = epoch
	}
	:: atomic { cas_epoch[e] != 0 ->
		if
#ifdef MUT_ABSENCE_SEEN_EARLIER
		:: epoch == cas_epoch[e] ->
#else
		:: epoch == cas_epoch[e] &&
		   (owner == e || lease[1 - e] <= now) ->
#endif
			owner = e;
			epoch++;
			if
			:: up[e] -> restarted[e] = 0; become_owner(e)
			:: up[e] && faults > 0 ->
				faults--; restarted[e] = 0; cas_unknown[e] = 1
			:: !up[e]
			fi
		:: else
		fi;
		cas_epoch[e] = 0
	}
	/* A lost answer is resolved by reading the record back. */
	:: d_step { up[e] && cas_unknown[e] ->
		cas_unknown[e] = 0;
#ifndef MUT_LOST_IS_FAILURE
		if
		:: owner == e -> become_owner(e)
		:: else
		fi
#endif
	}
	/* Planned handover: freeze, hand over the jobs, then the owner
	   record. */
	:: d_step { handovers > 0 && owns(e) && owner == e && up[1 - e] &&
	   held_epoch[1 - e] == 0 && epoch < EPOCHS && cas_epoch[1 - e] == 0 &&
	   !cas_unknown[1 - e] && !restarted[1 - e] ->
		send_handover(e, other)
	}
#ifdef MUT_NO_FREEZE
	:: d_step { up[e] && held_epoch[e] != 0 && owner == e &&
	   epoch == held_epoch[e] &&
	   received_epoch[1 - e] == held_epoch[e] ->
#else
	:: d_step { up[e] && frozen[e] && owner == e &&
	   epoch == held_epoch[e] ->
#endif
		owner = 1 - e;
		epoch++;
		forget_partition(e)
	}
	/* The handover is given up. Its write may still be on the way, and its
	   copies are still at the other entry: both name the old epoch. */
#ifdef MUT_GIVE_UP_KEEPS_EPOCH
	:: d_step { up[e] && frozen[e] && faults > 0 && owner == e ->
		faults--;
		frozen[e] = 0;
		late_handover = held_epoch[e]
	}
	:: d_step { late_handover != 0 && owner == e &&
	   epoch == late_handover ->
		late_handover = 0;
		owner = 1 - e;
		epoch++;
		forget_partition(e)
	}
#else
	:: d_step { up[e] && frozen[e] && faults > 0 && owner == e &&
	   epoch == held_epoch[e] && epoch < EPOCHS ->
		faults--;
		frozen[e] = 0;
		epoch++;
		held_epoch[e] = epoch
	}
#endif
	/* The record names this entry, which takes on the jobs handed over
	   to it. */
	:: d_step { up[e] && owner == e && held_epoch[e] == 0 &&
	   cas_epoch[e] == 0 && !cas_unknown[e] && !restarted[e] &&
	   received_epoch[e] != 0 && received_epoch[e] == epoch - 1 ->
		held_epoch[e] = epoch;
		first_epoch[e] = epoch;
		below_floor[e] = received_floor[e];
		permits_end[e] = now + LEASE;
		received_epoch[e] = 0;
		received_floor[e] = 0
	}
	/* The process crashes and loses its memory; it is restarted later. */
	:: d_step { up[e] && faults > 0 ->
		faults--;
		up[e] = 0;
		cas_unknown[e] = 0;
		lease_view[e] = 0;
		received_epoch[e] = 0;
		received_floor[e] = 0;
		forget_partition(e);
		broken[e] = 0;
		close_connection(e, 0);
		close_connection(e, 1)
	}
	:: d_step { !up[e] && lease[e] <= now && cas_epoch[e] == 0 ->
		up[e] = 1;
		restarted[e] = 1
	}
	od
}

/* What an entry exchanges with one agent, apart from starts. */
proctype link(byte e; byte a)
{
	byte i;

end:	do
	:: d_step { up[e] && held_epoch[e] > 1 && !(agents_asked[e] & BIT(a)) &&
	   !in_transit(e, a) && !(broken[e] & BIT(a)) -> recover(e, a) }
	:: d_step { up[e] && held_epoch[e] > 1 && !(agents_asked[e] & BIT(a)) &&
	   faults > 0 && !gave_up[e] -> faults--; gave_up[e] = 1 }
	/* The connection breaks; what was sent on it may still arrive. */
	:: d_step { up[e] && in_transit(e, a) && faults > 0 &&
	   !(broken[e] & BIT(a)) ->
		faults--;
		broken[e] = broken[e] | BIT(a);
		close_connection(e, a)
	}
	:: d_step { up[e] && (broken[e] & BIT(a)) -> settle(e, a) }
	od
}

#ifdef MUT_NOT_RUN_WITHOUT_LEASE
#define may_answer(e) true
#else
#define may_answer(e) (owns(e) || (task_state[INDEX(e, 0)] != NOT_RUN && \
	task_state[INDEX(e, TASKS - 1)] != NOT_RUN))
#endif

/* What an owner does with the submission. */
proctype submission(byte e; byte c)
{
	byte i;

end:	do
	/* SUBMIT of an id that no earlier owner can have accepted. */
	:: d_step { submission_at[c] == e && owns(e) && !job_known[e] &&
	   minted <= wall_clock(e) &&
	   !below_floor[e] ->
		job_known[e] = 1;
#ifdef MUT_CHECK_BEFORE
		lease_left[e] = lease_view[e] - now;
#endif
		i = 0;
		do
		:: i < TASKS ->
			task_state[INDEX(e, i)] = QUEUED;
			sent_to[INDEX(e, i)] = 0; i++
		:: else -> break
		od;
		i = 0
	}
	/* SUBMIT of an older id, once all agents were asked. */
	:: d_step { submission_at[c] == e && owns(e) && !job_known[e] &&
	   below_floor[e] &&
	   (proves_not_run(e) || ((all_recovered(e) || gave_up[e]) &&
	   permits_over(e, 0) &&
	   permits_over(e, TASKS - 1))) ->
		job_known[e] = 1;
		i = 0;
		do
		:: i < TASKS ->
			if
			:: task_state[INDEX(e, i)] == SENT
#ifdef MUT_LOST_AGENT_IGNORED
			:: task_state[INDEX(e, i)] != SENT ->
				task_state[INDEX(e, i)] = QUEUED
#else
			:: task_state[INDEX(e, i)] != SENT &&
			   proves_not_run(e) -> task_state[INDEX(e, i)] = QUEUED
			:: task_state[INDEX(e, i)] != SENT &&
			   !proves_not_run(e) -> task_state[INDEX(e, i)] = MAYBE
#endif
			fi;
			i++
		:: else -> break
		od;
		i = 0
	}
	/* Refused as "not run": over a limit, or minted in the future. */
	:: d_step { submission_at[c] == e && owns(e) && !job_known[e] &&
	   (minted > wall_clock(e) || !declined) &&
#ifdef MUT_REFUSAL_IGNORES_FLOOR
	   true ->
#else
	   (!below_floor[e] || (proves_not_run(e) && tasks_reported[e] == 0)) ->
#endif
		assert (started_ever == 0);
		if
		:: minted <= wall_clock(e) -> declined = 1
		:: else
		fi;
		if
		:: final_epoch < held_epoch[e] - 1 ->
			final_epoch = held_epoch[e] - 1
		:: else
		fi;
		submission_at[c] = NONE
	}
	/* FORWARD to the owner; or the caller's next attempt after a crash. */
	:: d_step { submission_at[c] == e && held_epoch[e] == 0 && up[1 - e] &&
	   (!up[e] || held_epoch[1 - e] != 0) -> submission_at[c] = 1 - e }
	/* The complete answer; "not run" only under a valid lease. */
	:: d_step { submission_at[c] == e && up[e] && held_epoch[e] != 0 &&
	   job_known[e] &&
	   is_final(task_state[INDEX(e, 0)]) &&
	   is_final(task_state[INDEX(e, TASKS - 1)]) &&
	   may_answer(e) ->
		i = 0;
		do
		:: i < TASKS ->
			assert (task_state[INDEX(e, i)] != NOT_RUN ||
			   !(started_ever & BIT(i)));
			assert (task_state[INDEX(e, i)] != DONE ||
			   (started_ever & BIT(i)));
			if
			:: task_state[INDEX(e, i)] != DONE &&
			   final_epoch < held_epoch[e] ->
				final_epoch = held_epoch[e]
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		submission_at[c] = NONE
	}
	od
}

/*
 * A permit starts at the stamp of the credit; it lasts as long as the time
 * between the receipt of the stamp and the end of the lease. The stamp was
 * made before it was received, so the worst case is a stamp that is received
 * at once: the permit ends with the lease. A stamp received later gives a
 * permit that ends earlier, which equals a later delivery. The mutant counts
 * the time left from before the receipt.
 */
#ifdef MUT_CHECK_BEFORE
#define permit_until(e) (now + lease_left[e])
#define may_start(e) (up[e] && held_epoch[e] != 0 && !frozen[e])
#else
#define permit_until(e) lease_view[e]
#define may_start(e) owns(e)
#endif

/* Sends one task on the credits of one agent, and handles the replies. */
proctype dispatch(byte e; byte a; byte t)
{
	byte k;

end:	do
	/* START, using a credit. */
	:: d_step { may_start(e) && job_known[e] &&
	   task_state[INDEX(e, t)] == QUEUED &&
	   !(broken[e] & BIT(a)) && !(fenced[a] & BIT(t)) &&
	   (msg_kind[0] == FREE || msg_kind[1] == FREE) ->
		if
		:: msg_kind[0] == FREE -> k = 0
		:: else -> k = 1
		fi;
		msg_kind[k] = START; msg_from[k] = e; msg_to[k] = a;
		msg_task[k] = t; msg_epoch[k] = held_epoch[e];
		msg_until[k] = permit_until(e);
		task_state[INDEX(e, t)] = SENT;
		sent_to[INDEX(e, t)] = a;
		if
		:: permits_end[e] < msg_until[k] ->
			permits_end[e] = msg_until[k]
		:: else
		fi;
		k = 0
	}
	:: d_step { up[e] && held_epoch[e] != 0 && job_known[e] &&
	   task_state[INDEX(e, t)] == SENT &&
	   sent_to[INDEX(e, t)] == a && (started[a] & BIT(t)) ->
		task_state[INDEX(e, t)] = DONE }
	/* The agent is lost, or was given up after its connection broke. */
	:: d_step { up[e] && held_epoch[e] != 0 && job_known[e] &&
	   sent_to[INDEX(e, t)] == NONE &&
	   !is_final(task_state[INDEX(e, t)]) && permits_over(e, t) ->
		task_state[INDEX(e, t)] = MAYBE }
	:: d_step { up[e] && held_epoch[e] != 0 && job_known[e] &&
	   task_state[INDEX(e, t)] == SENT &&
	   sent_to[INDEX(e, t)] == a && (broken[e] & BIT(a)) && faults > 0 &&
	   permits_over(e, t) -> faults--; task_state[INDEX(e, t)] = MAYBE }
	:: d_step { up[e] && held_epoch[e] != 0 && job_known[e] &&
	   task_state[INDEX(e, t)] == INHERITED && gave_up[e] &&
	   permits_over(e, t) -> task_state[INDEX(e, t)] = MAYBE }
	/* The deadline expired in the queue, or no agent may start the task
	   any more. */
	:: d_step { owns(e) && job_known[e] &&
	   task_state[INDEX(e, t)] == QUEUED &&
	   (!declined || (fenced[0] & fenced[1] & BIT(t))) ->
		declined = 1; task_state[INDEX(e, t)] = NOT_RUN }
	od
}

proctype agent(byte a; byte k)
{
	byte i;

end:	do
	:: d_step { msg_kind[k] == START && msg_to[k] == a &&
#ifndef MUT_NO_PERMIT
	   now < msg_until[k] &&
#endif
	   msg_epoch[k] >= highest_epoch[a] &&
	   !(fenced[a] & BIT(msg_task[k])) &&
	   !(started[a] & BIT(msg_task[k])) ->
		assert (!(started_ever & BIT(msg_task[k])));
		assert (msg_epoch[k] > final_epoch);
		started_ever = started_ever | BIT(msg_task[k]);
		started[a] = started[a] | BIT(msg_task[k]);
		highest_epoch[a] = msg_epoch[k];
		clear_message(k)
	}
	:: d_step { msg_kind[k] == START && msg_to[k] == a && !(
#ifndef MUT_NO_PERMIT
	   now < msg_until[k] &&
#endif
	   msg_epoch[k] >= highest_epoch[a] &&
	   !(fenced[a] & BIT(msg_task[k])) &&
	   !(started[a] & BIT(msg_task[k]))) ->
		if
		:: msg_from[k] == NONE || (started[a] & BIT(msg_task[k])) ->
			clear_message(k)
		:: else -> msg_kind[k] = REFUSAL
		fi
	}
	:: d_step { msg_kind[k] == START && msg_to[k] == a &&
	   msg_from[k] == NONE ->
		clear_message(k) }
	:: d_step { msg_kind[k] == REFUSAL && msg_to[k] == a ->
		if
		:: task_state[INDEX(msg_from[k], msg_task[k])] == SENT &&
		   job_known[msg_from[k]] &&
#ifndef MUT_RESULT_WITHOUT_EPOCH
		   msg_epoch[k] >= first_epoch[msg_from[k]] &&
#endif
		   sent_to[INDEX(msg_from[k], msg_task[k])] == a ->
			task_state[INDEX(msg_from[k], msg_task[k])] = QUEUED;
			sent_to[INDEX(msg_from[k], msg_task[k])] = 0
		:: else
		fi;
		clear_message(k)
	}
	/* The process crashes and loses its records; a new one replaces it. */
	:: d_step { k == 0 && faults > 0 ->
		faults--;
		records_lost = 1;
		started[a] = 0;
		fenced[a] = 0;
		highest_epoch[a] = 0;
		agents_asked[0] = agents_asked[0] & ~BIT(a);
		agents_asked[1] = agents_asked[1] & ~BIT(a);
		i = 0;
		do
		:: i < 2 * TASKS ->
			if
			:: (task_state[i] == SENT ||
			   task_state[i] == INHERITED) && sent_to[i] == a ->
				sent_to[i] = NONE
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < MESSAGES ->
			if
			:: msg_kind[i] != FREE && msg_to[i] == a ->
				clear_message(i)
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0
	}
	od
}

inline clear_if_past(x)
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
		/* A time in the past is set to 0, as nothing compares how
		   long ago it was. */
		clear_if_past (lease[0]); clear_if_past (lease[1]);
		clear_if_past (lease_view[0]); clear_if_past (lease_view[1]);
		clear_if_past (permits_end[0]); clear_if_past (permits_end[1]);
		clear_if_past (msg_until[0]); clear_if_past (msg_until[1])
	}
	od
}

/*
 * No step is possible any more: both copies must be answered, unless time or
 * epochs ran out before a crashed owner could be replaced.
 */
proctype observer()
{
	timeout -> assert (
	    (submission_at[0] == NONE && submission_at[1] == NONE) ||
	    epoch == EPOCHS || !up[0] || !up[1])
}

init
{
	atomic {
		up[0] = 1;
		up[1] = 1;
		held_epoch[0] = 1;
		lease[0] = LEASE; lease_view[0] = LEASE;
		lease[1] = LEASE; lease_view[1] = LEASE;
		submission_at[1] = 1;
		if
		:: clock_error[0] = TWICE_SKEW
		:: clock_error[1] = TWICE_SKEW
		:: skip
		fi;
#ifdef MINT
		minted = MINT;
#else
		select (minted : 0 .. MINT_MAX);
#endif
		run entry_ownership(0, 1); run entry_ownership(1, 0);
		run link(0, 0); run link(0, 1); run link(1, 0); run link(1, 1);
		run submission(0, 0); run submission(0, 1);
		run submission(1, 0); run submission(1, 1);
#if TASKS == 2
		run dispatch(0, 0, 1); run dispatch(0, 1, 1);
		run dispatch(1, 0, 1); run dispatch(1, 1, 1);
#endif
		run dispatch(0, 0, 0); run dispatch(0, 1, 0);
		run dispatch(1, 0, 0); run dispatch(1, 1, 0);
		run agent(0, 0); run agent(0, 1);
		run agent(1, 0); run agent(1, 1);
		run clock();
		run observer()
	}
}
