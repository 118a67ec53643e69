/*
 * What an agent concludes about a run from its target's answers: start calls
 * that get no answer and are repeated or fenced off, lists that overtake each
 * other, ends that are left out, incarnations that replace each other under
 * the same name or another, and an agent that restarts
 * (docs/design/evidence.md).
 *
 * One agent, one target, one task. What the agent reports as over may start on
 * another target at once, and a later run on this one stands for that: a run
 * that was reported as over must neither be running nor start later.
 */

#ifndef RUNS
#define RUNS 2			/* runs of the task, one after the other */
#endif
#ifndef POLLS
#define POLLS 3			/* polls sent */
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 2
#endif
#ifndef RESTARTS
#define RESTARTS 0		/* of the agent */
#endif
#ifndef STOPS
#define STOPS 1
#endif
#ifndef CALLS
#define CALLS 2			/* start calls of one run, at most */
#endif
#ifndef LOSSES
#define LOSSES 1		/* departures of the target, which may be false */
#endif
#ifndef OMISSIONS
#define OMISSIONS 0		/* lists that leave out the ends of the task */
#endif
#ifdef SAME_NAME
#define NAME(i) 1
#else
#define NAME(i) (i)
#endif
#define BIT(i) (1 << (i))

/* State of the run. */
#define FREE 0
#define STARTING 1
#define REPEATING 2
#define UNKNOWN 3		/* HS_RUN_START_UNKNOWN */
#define RUNNING 4

/* Answers to a start call. */
#define NONE 0
#define OK 1
#define FENCED 2
#define OUTDATED 3
#define REPLACED 4
#define LOST 5			/* dropped with the target */

/* States of a poll. */
#define SENT 1
#define WAITS 2			/* the target has taken its token */
#define ANSWERED 3

/* The target. */
byte inc = 1;
byte seen;			/* the highest token */
byte running;			/* run, 0: none */
byte rejected;			/* starts up to this run */
byte n_ends = 1;		/* ends so far; the first is of another task */
byte end_no[RUNS + 1];		/* number of the run's end, 0: not listed */

/* What is true. */
byte ever;			/* runs that were carried out */
byte over;			/* runs that were reported as over */
byte omissions = OMISSIONS;
byte stops = STOPS;
byte restarts = RESTARTS;
byte losses = LOSSES;
byte first = 1;			/* of the runs that this agent started */

/* The agent. */
byte state;
byte cur;			/* its run, 0: none */
byte last_run;
byte calls;
byte token = 1;
byte fence;
byte first_poll;
byte next_poll = 1;
byte foreign;			/* polls up to this one may be of another one */
byte newest;
byte acked = 1;
byte listed_inc = 1;
byte known_inc = 1;		/* HsRuns.target.started_ms */
byte name = NAME(1);
byte endpoint = 1;
byte run_endpoint;
bit announced = 1;
bit list_known = 1;
bit lost;
bit unknown_runs;
bit may_have_run;
bit stop_requested;
bit end_read;			/* of one of its calls */

/* Start calls. */
byte s_run[2];			/* 0: not in flight */
byte s_token[2];
byte s_name[2];
byte s_answer[2];
bit s_awaited[2];

/* Polls, and the lists that answer them. */
byte p_state[2];
byte p_number[2];
byte p_token[2];
byte p_acked[2];
byte p_name[2];
bit p_awaited[2];
bit p_refused[2];		/* by another incarnation */
byte l_inc[2];
byte l_running[2];
byte l_end[2 * RUNS];		/* numbers of ends, 0: not listed */
byte l_other[2];		/* number of another task's end */
bit l_omits[2];
bit l_older[2];			/* written before the other one */
bit l_outdated[2];
byte place_token[2];		/* tokens of polls by number */

/* A stop call. */
byte x_run;
byte x_token;
byte x_name;

#define is_starting (state == STARTING || state == REPEATING)
#define is_ready \
	(announced && !lost && list_known && !unknown_runs)
#define L_END(p, r) l_end[(p) * RUNS + (r) - 1]

inline conclude(r, not_run)
{
	assert (running != r);
	assert (!not_run || !(ever & BIT(r)));
	over = over | BIT(r)
}

inline end_run(not_run)
{
	conclude(cur, not_run);
	state = FREE; cur = 0; calls = 0; fence = 0; first_poll = 0;
	run_endpoint = 0; may_have_run = 0; stop_requested = 0;
	end_read = 0;
	s_awaited[0] = 0; s_awaited[1] = 0
}

inline drop_start(k)
{
	s_run[k] = 0; s_token[k] = 0; s_name[k] = 0; s_answer[k] = NONE;
	s_awaited[k] = 0
}

inline drop_poll(p)
{
	p_state[p] = 0; p_number[p] = 0; p_token[p] = 0; p_acked[p] = 0;
	p_name[p] = 0; p_awaited[p] = 0; p_refused[p] = 0; l_inc[p] = 0;
	l_running[p] = 0; l_other[p] = 0; l_omits[p] = 0; l_older[p] = 0;
	l_outdated[p] = 0;
	j = 1;
	do
	:: j <= RUNS -> L_END(p, j) = 0; j++
	:: else -> break
	od;
	j = 0
}

inline drop_stop()
{
	x_run = 0; x_token = 0; x_name = 0
}

inline call_start(k)
{
	may_have_run = 0; run_endpoint = endpoint; calls++;
	s_run[k] = cur; s_token[k] = token; s_name[k] = name;
	s_awaited[k] = 1
}

inline fence_start()
{
	state = UNKNOWN;
#ifdef MUT_FENCE_WITHOUT_RAISED_TOKEN
	fence = token
#else
	token++;
	fence = token
#endif
}

inline doubt_unanswered_starts()
{
	if
	:: is_starting || state == UNKNOWN -> may_have_run = 1
	:: else
	fi
}

inline distrust_sent_polls()
{
#ifndef MUT_FOREIGN_LIST_BELIEVED
	foreign = next_poll - 1;
#endif
	newest = next_poll - 1
}

inline forget_target()
{
#ifndef MUT_REPLACED_START_NOT_IN_DOUBT
	doubt_unanswered_starts();
#endif
	list_known = 0; unknown_runs = 0; acked = 0;
	l_outdated[0] = 0; l_outdated[1] = 0;
	distrust_sent_polls();
	token++
}

/* An end that isn't "done": after that nothing of the task starts. */
#ifdef MUT_END_OF_ANY_CALL_ENDS_RUN
#define end_is_certain(p) true
#else
#define end_is_certain(p) \
	(calls == 1 || (state == RUNNING && first_poll <= p_number[p]) || \
	(state == UNKNOWN && fence <= p_token[p]))
#endif

/* Ends of the list in slot p. */
inline process_ends(p)
{
	j = acked;
	if
	:: l_other[p] > acked -> acked = l_other[p]
	:: else
	fi;
	i = 1;
	do
	:: i <= RUNS ->
		if
		:: L_END(p, i) > j ->
			if
			:: L_END(p, i) > acked -> acked = L_END(p, i)
			:: else
			fi;
			if
			:: state != FREE && cur == i && end_is_certain(p) ->
				end_run(0)
			:: state != FREE && cur == i && !end_is_certain(p) ->
				end_read = 1
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0; j = 0;
#ifndef MUT_OMITTED_ENDS_IGNORED
	if
	:: l_omits[p] -> doubt_unanswered_starts()
	:: else
	fi
#endif
}

inline process_running(p)
{
	if
	:: l_running[p] != 0 && (state == FREE || l_running[p] != cur) ->
		if
		:: !l_outdated[p] ->
			unknown_runs = 1;
			if
			:: x_run == 0 ->
				x_run = l_running[p]; x_token = token;
				x_name = name
			:: else
			fi
		:: else
		fi
	:: l_running[p] != 0 && state != FREE && l_running[p] == cur ->
		run_endpoint = endpoint;
		if
		:: state == UNKNOWN ->
			state = RUNNING;
#ifdef MUT_FIRST_POLL_IS_LISTING_POLL
			first_poll = p_number[p]
#else
			first_poll = next_poll
#endif
		:: else
		fi;
		if
		:: !l_outdated[p] -> unknown_runs = 0
		:: else
		fi
	:: l_running[p] == 0 ->
		if
		:: !l_outdated[p] -> unknown_runs = 0
		:: else
		fi
	fi;
	if
#ifdef MUT_LIST_OF_EARLIER_POLL_ENDS_RUN
	:: state == RUNNING && l_running[p] != cur -> end_run(0)
#else
	:: state == RUNNING && l_running[p] != cur &&
	   first_poll <= p_number[p] -> end_run(0)
#endif
	:: else
	fi
}

#ifdef MUT_TOKEN_PLACE_REUSED
#define POLL_TOKEN(p) place_token[p_number[p] % 2]
#else
#define POLL_TOKEN(p) p_token[p]
#endif

inline resolve_fenced_starts(p)
{
	if
#ifdef MUT_ANY_LIST_RESOLVES_START
	:: state == UNKNOWN ->
#else
	:: state == UNKNOWN && fence <= POLL_TOKEN(p) ->
#endif
		if
		:: stop_requested || may_have_run || end_read -> end_run(0)
		:: else -> end_run(1)
		fi
	:: else
	fi
}

inline process_list(p)
{
	if
	:: p_number[p] <= foreign ->
		if
		:: l_inc[p] == listed_inc && l_inc[p] == known_inc ->
			process_ends(p)
		:: else
		fi
	:: else ->
		if
		:: l_inc[p] != listed_inc && listed_inc != 0 -> forget_target()
		:: l_inc[p] != listed_inc && listed_inc == 0 ->
			distrust_sent_polls()
		:: else
		fi;
		announced = announced && l_inc[p] == known_inc;
		known_inc = l_inc[p];
		listed_inc = l_inc[p];
		if
		:: p_number[p] > newest -> newest = p_number[p]
		:: else
		fi;
		/* Only one of the lists in flight that is older. */
		if
		:: l_older[1 - p] && p_state[1 - p] == ANSWERED &&
		   l_inc[1 - p] == l_inc[p] -> l_outdated[1 - p] = 1
		:: else
		fi;
		process_ends(p);
		process_running(p);
		list_known = 1;
		resolve_fenced_starts(p)
	fi
}

inline process_replaced(p)
{
	if
	:: p_number[p] <= newest -> skip
	:: else ->
		lost = 1;
		forget_target();
		listed_inc = 0;
		if
#ifdef MUT_REFUSAL_ENDS_RUNS_OF_OTHERS
		:: state == RUNNING -> end_run(0)
#else
		:: state == RUNNING && run_endpoint == endpoint -> end_run(0)
#endif
		:: else
		fi
	fi
}

/* The result of the start call that the agent waits for, in slot k. */
inline start_refused(k)
{
	s_awaited[k] = 0;
	if
	:: s_answer[k] == REPLACED && run_endpoint == endpoint -> lost = 1
	:: else
	fi;
	if
#ifndef MUT_REFUSAL_COVERS_EARLIER_CALLS
	:: state == REPEATING -> fence_start()
#endif
	:: else ->
		if
		:: stop_requested -> end_run(0)
		:: else -> end_run(1)
		fi
	fi
}

active proctype agent()
{
	byte i, j;

end:	do
	/* The agent accepts a start. */
	:: d_step { state == FREE && is_ready && last_run < RUNS &&
	   s_run[0] == 0 ->
		last_run++; cur = last_run; state = STARTING; call_start(0) }
	:: d_step { state == FREE && is_ready && last_run < RUNS &&
	   s_run[0] != 0 && s_run[1] == 0 ->
		last_run++; cur = last_run; state = STARTING; call_start(1) }
	/* A start call has got its answer, or none in time. */
	:: d_step { s_awaited[0] && s_answer[0] == OK ->
		state = RUNNING; first_poll = next_poll; drop_start(0) }
	:: d_step { s_awaited[1] && s_answer[1] == OK ->
		state = RUNNING; first_poll = next_poll; drop_start(1) }
	:: d_step { s_awaited[0] && s_answer[0] > OK &&
	   s_answer[0] < LOST ->
		start_refused(0); drop_start(0) }
	:: d_step { s_awaited[1] && s_answer[1] > OK &&
	   s_answer[1] < LOST ->
		start_refused(1); drop_start(1) }
	:: d_step { s_awaited[0] ->
		s_awaited[0] = 0; fence_start() }
	:: d_step { s_awaited[1] ->
		s_awaited[1] = 0; fence_start() }
#ifdef MUT_REPEATED_ON_OTHER_INCARNATION
#define may_repeat (calls < CALLS && !stop_requested && is_ready)
#else
#define may_repeat (calls < CALLS && !stop_requested && is_ready && \
	run_endpoint == endpoint && !may_have_run)
#endif
	:: d_step { s_awaited[0] && s_run[1] == 0 && may_repeat ->
		s_awaited[0] = 0; state = REPEATING; token++; call_start(1) }
	:: d_step { s_awaited[1] && s_run[0] == 0 && may_repeat ->
		s_awaited[1] = 0; state = REPEATING; token++; call_start(0) }
	/* A poll is sent, if the place of its token is free. */
#ifdef MUT_TOKEN_PLACE_REUSED
#define place_is_free true
#else
#define place_is_free \
	(!(p_awaited[0] && p_number[0] % 2 == next_poll % 2) && \
	!(p_awaited[1] && p_number[1] % 2 == next_poll % 2))
#endif
	:: d_step { next_poll <= POLLS && name != 0 && place_is_free &&
	   (p_state[0] == 0 || p_state[1] == 0) ->
		if
		:: p_state[0] == 0 -> i = 0
		:: else -> i = 1
		fi;
		p_state[i] = SENT; p_number[i] = next_poll;
		p_token[i] = token; p_acked[i] = acked; p_name[i] = name;
		p_awaited[i] = 1; place_token[next_poll % 2] = token;
		next_poll++; i = 0 }
	/* The answer to a poll is read, or isn't awaited any longer. */
	:: d_step { p_state[0] == ANSWERED && p_awaited[0] ->
		if
		:: p_refused[0] -> process_replaced(0)
		:: else -> process_list(0)
		fi;
		drop_poll(0) }
	:: d_step { p_state[1] == ANSWERED && p_awaited[1] ->
		if
		:: p_refused[1] -> process_replaced(1)
		:: else -> process_list(1)
		fi;
		drop_poll(1) }
	:: d_step { p_awaited[0] && p_state[0] < ANSWERED -> p_awaited[0] = 0 }
	:: d_step { p_awaited[1] && p_state[1] < ANSWERED -> p_awaited[1] = 0 }
	/* The run is to be stopped. */
	:: d_step { state != FREE && stops > 0 && x_run == 0 ->
		stops--; stop_requested = 1;
		x_run = cur; x_token = token; x_name = name }
	/* An announcement, which may be late. */
	:: d_step { (known_inc < inc || !announced) && inc >= known_inc ->
		i = (known_inc < inc -> inc : known_inc);
		if
		:: announced && NAME(known_inc) == NAME(i) && known_inc == i
		:: !announced && known_inc == i
		:: else ->
			if
			:: announced || known_inc != 0 -> forget_target()
			:: else
			fi;
			endpoint++; distrust_sent_polls()
		fi;
		lost = 0; known_inc = i; announced = 1; name = NAME(i); i = 0 }
#if INCARNATIONS > 1 && !defined(SAME_NAME)
	/* An earlier incarnation's, once the one that is known has left or was
	   replaced: clocks step. */
	:: d_step { lost && known_inc > 1 ->
		forget_target(); endpoint++; distrust_sent_polls();
		lost = 0; known_inc--; announced = 1; name = NAME(known_inc) }
	:: d_step { announced && !lost && losses > 0 -> losses--; lost = 1 }
#endif
#if RESTARTS
	:: d_step { restarts > 0 ->
		restarts--;
		state = FREE; cur = 0; calls = 0; fence = 0; first_poll = 0;
		run_endpoint = 0; may_have_run = 0; stop_requested = 0;
		end_read = 0;
		s_awaited[0] = 0; s_awaited[1] = 0;
		p_awaited[0] = 0; p_awaited[1] = 0;
#ifdef MUT_RESTART_WITHOUT_RAISED_TOKEN
		token = 1;
#else
		token++;
#endif
		next_poll = 1; foreign = 0; newest = 0; acked = 0;
		listed_inc = 0; known_inc = 0; name = 0; endpoint = 0;
		announced = 0; list_known = 0; lost = 0; unknown_runs = 0 }
	/* Entries take the runs of its predecessor as over when it is ready. */
#ifdef MUT_PREDECESSOR_OVER_BEFORE_LIST
	:: d_step { first <= last_run && restarts < RESTARTS && announced ->
#else
	:: d_step { first <= last_run && restarts < RESTARTS && is_ready &&
	   !(state != FREE && first == cur) ->
#endif
		if
		:: !(over & BIT(first)) -> conclude(first, 0)
		:: else
		fi;
		first++ }
#endif
	od
}

/* Carries out the start call in slot k, or refuses it. */
inline receive_start(k)
{
	if
	:: s_name[k] != NAME(inc) -> s_answer[k] = REPLACED
	:: s_name[k] == NAME(inc) && s_token[k] < seen -> s_answer[k] = FENCED
	:: s_name[k] == NAME(inc) && s_token[k] >= seen ->
		seen = s_token[k];
		if
		:: running == s_run[k] -> s_answer[k] = OK
		:: running != s_run[k] && s_run[k] <= rejected ->
			s_answer[k] = OUTDATED
		:: else ->
			assert (!(over & BIT(s_run[k])));
			assert (running == 0);
			running = s_run[k]; ever = ever | BIT(running);
			s_answer[k] = OK
		fi
	fi;
	if
	:: !s_awaited[k] -> drop_start(k)
	:: else
	fi
}

inline end_at_target()
{
	n_ends++; end_no[running] = n_ends;
	if
	:: running > rejected -> rejected = running
	:: else
	fi;
	running = 0
}

inline receive_poll(p)
{
	if
	:: p_name[p] != NAME(inc) -> p_state[p] = ANSWERED; p_refused[p] = 1
	:: p_name[p] == NAME(inc) && p_token[p] < seen ->
		if
		:: p_awaited[p] && p_token[p] == token -> token = token + token
		:: else
		fi;
		drop_poll(p)
	:: p_name[p] == NAME(inc) && p_token[p] >= seen ->
		seen = p_token[p]; p_state[p] = WAITS;
		j = 1;
		do
		:: j <= RUNS ->
			if
			:: end_no[j] <= p_acked[p] -> end_no[j] = 0
			:: else
			fi;
			j++
		:: else -> break
		od;
		j = 0
	fi;
	if
	:: p_state[p] != 0 && !p_awaited[p] -> drop_poll(p)
	:: else
	fi
}

inline write_list(p, omits)
{
	p_state[p] = ANSWERED; l_inc[p] = inc; l_running[p] = running;
	if
	:: omits -> n_ends++; l_other[p] = n_ends; l_omits[p] = 1
	:: else ->
		j = 1;
		do
		:: j <= RUNS -> L_END(p, j) = end_no[j]; j++
		:: else -> break
		od;
		j = 0
	fi;
	if
	:: p_state[1 - p] == ANSWERED -> l_older[1 - p] = 1
	:: else
	fi
}

active proctype target()
{
	byte j;

end:	do
	:: d_step { s_run[0] != 0 && s_answer[0] == NONE -> receive_start(0) }
	:: d_step { s_run[1] != 0 && s_answer[1] == NONE -> receive_start(1) }
	/* A call that never arrives, or an answer that is lost. */
	:: d_step { s_run[0] != 0 && !s_awaited[0] -> drop_start(0) }
	:: d_step { s_run[1] != 0 && !s_awaited[1] -> drop_start(1) }
	:: d_step { p_state[0] == SENT -> receive_poll(0) }
	:: d_step { p_state[1] == SENT -> receive_poll(1) }
	:: d_step { p_state[0] == WAITS -> write_list(0, 0) }
	:: d_step { p_state[1] == WAITS -> write_list(1, 0) }
	:: d_step { p_state[0] == WAITS && omissions > 0 ->
		omissions--; write_list(0, 1) }
	:: d_step { p_state[1] == WAITS && omissions > 0 ->
		omissions--; write_list(1, 1) }
	:: d_step { p_state[0] != 0 && !p_awaited[0] -> drop_poll(0) }
	:: d_step { p_state[1] != 0 && !p_awaited[1] -> drop_poll(1) }
	:: d_step { x_run != 0 ->
		if
		:: x_name == NAME(inc) && x_token >= seen ->
			seen = x_token;
			if
			:: running == x_run -> end_at_target()
			:: else ->
				if
				:: x_run > rejected -> rejected = x_run
				:: else
				fi
			fi
		:: else
		fi;
		drop_stop() }
	:: d_step { x_run != 0 -> drop_stop() }
	/* The run ends, by itself or with the lease. */
	:: d_step { running != 0 -> end_at_target() }
	/* A crash drops the calls to the target, but not the answers that are
	   on their way. */
	:: d_step { inc < INCARNATIONS ->
		inc++; seen = 0; running = 0; rejected = 0; n_ends = 0;
		j = 1;
		do
		:: j <= RUNS -> end_no[j] = 0; j++
		:: else -> break
		od;
		j = 0;
#ifndef CALLS_OUTLIVE_CRASH
		if
		:: s_answer[0] == NONE && s_awaited[0] -> s_answer[0] = LOST
		:: s_answer[0] == NONE && !s_awaited[0] -> drop_start(0)
		:: else
		fi;
		if
		:: s_answer[1] == NONE && s_awaited[1] -> s_answer[1] = LOST
		:: s_answer[1] == NONE && !s_awaited[1] -> drop_start(1)
		:: else
		fi;
		if
		:: p_state[0] != 0 && p_state[0] < ANSWERED -> drop_poll(0)
		:: else
		fi;
		if
		:: p_state[1] != 0 && p_state[1] < ANSWERED -> drop_poll(1)
		:: else
		fi;
		drop_stop()
#endif
		}
	od
}
