/*
 * A planned stop of an entry: its jobs and its partition go to another entry,
 * every caller that waits on its connections is answered, then it exits.
 *
 * Entry 0 stops, entry 1 takes over. JOBS jobs arrive at either entry. The
 * HANDOVER call may lose its reply, and entry 1 may die while it goes on;
 * entry 0 then finishes its jobs itself. How often a task starts is the
 * matter of start.pml; here it is that no accepted job is lost.
 */

#ifndef JOBS
#define JOBS 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif

/* Where the caller of a job stands. */
#define UNSENT 0
#define WAITING 1			/* on a connection to entry at[j] */
#define ANSWERED 2
#define RETRYING 3		/* the entry died; the caller goes elsewhere */

byte caller_state[JOBS];
byte connected_to[JOBS];
bit accepted[JOBS];

/* Entry 0 stops: phases. */
#define SERVING 0
#define TRANSFERRING 1		/* no new jobs; jobs go over one by one */
#define TRANSFERRED 2			/* all passed, the record not yet */
#define RELEASED 3
#define ABANDONED 4		/* handover given up: finishes by itself */
#define EXITED 5
byte phase;

/* The record names the owner; each entry has the jobs that it works on. */
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
	/* The balancer no longer picks an entry that stops. */
	:: d_step { (caller_state[j] == UNSENT ||
	   caller_state[j] == RETRYING) &&
	   phase == SERVING -> caller_state[j] = WAITING; connected_to[j] = 0 }
	:: d_step { (caller_state[j] == UNSENT ||
	   caller_state[j] == RETRYING) && entry1_up ->
		caller_state[j] = WAITING; connected_to[j] = 1 }
	/* Accepted by the owner, itself or one hop away. */
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
	/* The owner runs it; the other entry keeps no second count. */
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
	/* The CAS that names entry 1. */
	:: d_step { phase == TRANSFERRED && entry1_up ->
		owner = 1; phase = RELEASED }
	/* Entry 1 is gone before the record was passed. */
	:: d_step { (phase == TRANSFERRING || phase == TRANSFERRED) &&
	   !entry1_up -> phase = ABANDONED }
	/* Entry 1 died as the owner: its lease lapses and entry 0 recovers. */
	:: d_step { phase == RELEASED && !entry1_up && owner == 1 ->
		owner = 0; phase = ABANDONED }
	/* Exit: nobody waits on a connection to this entry any more. */
#ifdef MUT_EXIT_BEFORE_ANSWERS
	:: d_step { phase == RELEASED ->
#else
	:: d_step { (phase == RELEASED || (phase == ABANDONED && !entry1_up)) &&
	   no_caller_waits ->
#endif
		/* A planned stop cuts no caller. */
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
			/* Not known to entry 0 either: the caller's next try counts. */
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
