/*
 * A planned stop of an entry: it hands its jobs and its partition to another
 * entry, answers every caller that waits on one of its connections, and then
 * exits.
 *
 * Entry 0 stops, entry 1 takes over. JOBS jobs arrive at either entry. The
 * reply to a HANDOVER call may be lost, and entry 1 may crash during the
 * handover; entry 0 then finishes its jobs itself. This model checks that no
 * accepted job is lost; start.pml checks how often a task starts.
 */

#ifndef JOBS
#define JOBS 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif

/* State of each job's caller. */
#define UNSENT 0
#define WAITING 1		/* connected to the entry connected_to[j] */
#define ANSWERED 2
#define RETRYING 3		/* its entry crashed; it tries another */

byte caller_state[JOBS];
byte connected_to[JOBS];
bit accepted[JOBS];

/* Phases of the stop of entry 0. */
#define SERVING 0
#define TRANSFERRING 1		/* takes no jobs, hands over its own */
#define TRANSFERRED 2		/* all jobs handed over, the record not */
#define RELEASED 3
#define ABANDONED 4		/* no handover: finishes its jobs itself */
#define EXITED 5
byte phase;

/* The owner record, and the jobs that each entry works on. */
byte owner;
bit has_job[2 * JOBS];
bit done[2 * JOBS];
bit transferred[JOBS];
bit entry1_up = 1;
byte faults = FAULTS;

#define JOB(e, j) ((e) * JOBS + (j))
#define alive(e) ((e == 0 && phase != EXITED) || (e == 1 && entry1_up))
#define owns(e) (owner == e && alive(e))

proctype job(byte j)
{
end:	do
	/* The load balancer no longer picks an entry that is stopping. */
	:: d_step { (caller_state[j] == UNSENT ||
	   caller_state[j] == RETRYING) &&
	   phase == SERVING -> caller_state[j] = WAITING; connected_to[j] = 0 }
	:: d_step { (caller_state[j] == UNSENT ||
	   caller_state[j] == RETRYING) && entry1_up ->
		caller_state[j] = WAITING; connected_to[j] = 1 }
	/* Accepted by the owner, directly or forwarded by the other entry. */
#ifdef MUT_ACCEPT_WHILE_PASSING
	:: d_step { caller_state[j] == WAITING && alive(connected_to[j]) &&
	   owns(0) &&
	   phase <= TRANSFERRED && !has_job[JOB(0, j)] && !transferred[j] ->
		has_job[JOB(0, j)] = 1; accepted[j] = 1 }
#else
	:: d_step { caller_state[j] == WAITING && alive(connected_to[j]) &&
	   owns(0) &&
	   (phase == SERVING || phase == ABANDONED) && !has_job[JOB(0, j)] ->
		has_job[JOB(0, j)] = 1; accepted[j] = 1 }
#endif
	:: d_step { caller_state[j] == WAITING && alive(connected_to[j]) &&
	   owns(1) &&
	   !has_job[JOB(1, j)] && !accepted[j] ->
		has_job[JOB(1, j)] = 1; accepted[j] = 1 }
	/* The owner runs the job; the other entry does not run it too. */
	:: d_step { owns(0) && has_job[JOB(0, j)] && !done[JOB(0, j)] ->
		done[JOB(0, j)] = 1 }
	:: d_step { owns(1) && has_job[JOB(1, j)] && !done[JOB(1, j)] ->
		done[JOB(1, j)] = 1 }
	/* The answer, through the entry that the caller is connected to. */
	:: d_step { caller_state[j] == WAITING && alive(connected_to[j]) &&
	   alive(0) &&
	   has_job[JOB(0, j)] && done[JOB(0, j)] -> caller_state[j] = ANSWERED }
	:: d_step { caller_state[j] == WAITING && alive(connected_to[j]) &&
	   owns(1) &&
	   has_job[JOB(1, j)] && done[JOB(1, j)] -> caller_state[j] = ANSWERED }
	/* HANDOVER of this job; the reply may be lost and the call repeated. */
	:: d_step { phase == TRANSFERRING && has_job[JOB(0, j)] &&
	   !transferred[j] && entry1_up ->
		has_job[JOB(1, j)] = 1; done[JOB(1, j)] = done[JOB(0, j)];
		transferred[j] = 1 }
	:: d_step { phase == TRANSFERRING && has_job[JOB(0, j)] &&
	   !transferred[j] && entry1_up &&
	   faults > 0 ->
		faults--; has_job[JOB(1, j)] = 1;
		done[JOB(1, j)] = done[JOB(0, j)] }
	od
}

#define all_transferred \
	((!has_job[JOB(0, 0)] || transferred[0]) && \
	(!has_job[JOB(0, JOBS - 1)] || transferred[JOBS - 1]))
#define waits_at_entry0(j) (caller_state[j] == WAITING && connected_to[j] == 0)
#define no_caller_waits (!waits_at_entry0(0) && !waits_at_entry0(JOBS - 1))

proctype entry0()
{
	byte i;

end:	do
	:: d_step { phase == SERVING && entry1_up -> phase = TRANSFERRING }
	:: d_step { phase == SERVING && !entry1_up -> phase = ABANDONED }
#ifdef MUT_RECORD_BEFORE_JOBS
	:: d_step { phase == TRANSFERRING -> phase = TRANSFERRED }
#else
	:: d_step { phase == TRANSFERRING && all_transferred ->
		phase = TRANSFERRED }
#endif
	/* The compare-and-swap that makes entry 1 the owner. */
	:: d_step { phase == TRANSFERRED && entry1_up ->
		owner = 1; phase = RELEASED }
	/* Entry 1 crashed before the owner record was handed over. */
	:: d_step { (phase == TRANSFERRING || phase == TRANSFERRED) &&
	   !entry1_up -> phase = ABANDONED }
	/* Entry 1 crashed as the owner: its lease expires and entry 0 takes
	   over again. */
	:: d_step { phase == RELEASED && !entry1_up && owner == 1 ->
		owner = 0; phase = ABANDONED }
	/* Exit once no caller waits on a connection to this entry. */
#ifdef MUT_EXIT_BEFORE_ANSWERS
	:: d_step { phase == RELEASED ->
#else
	:: d_step { (phase == RELEASED || (phase == ABANDONED && !entry1_up)) &&
	   no_caller_waits ->
#endif
		/* A planned stop cuts off no caller. */
		assert (no_caller_waits);
		phase = EXITED;
		i = 0
	}
	od
}

proctype entry1()
{
	byte i;

end:	do
	:: d_step { entry1_up && faults > 0 && phase != EXITED ->
		faults--;
		entry1_up = 0;
		i = 0;
		do
		:: i < JOBS ->
			has_job[JOB(1, i)] = 0; done[JOB(1, i)] = 0;
			transferred[i] = 0;
			if
			:: caller_state[i] == WAITING && connected_to[i] == 1 ->
				caller_state[i] = RETRYING
			:: else
			fi;
			/* Entry 0 doesn't know the job either: the caller's
			   next attempt is a new submission. */
			if
			:: !has_job[JOB(0, i)] -> accepted[i] = 0
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0 }
	od
}

#define unanswered(j) (caller_state[j] == WAITING)

proctype observer()
{
	timeout -> assert (!unanswered(0) && !unanswered(JOBS - 1))
}

init
{
	atomic {
		run job(0);
#if JOBS > 1
		run job(1);
#endif
		run entry0(); run entry1(); run observer()
	}
}
