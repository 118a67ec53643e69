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
#define WAITS 1			/* on a connection to entry at[j] */
#define ANSWERED 2
#define RETRIES 3		/* the entry died; the caller goes elsewhere */

byte caller[JOBS];
byte at[JOBS];
bit accepted[JOBS];

/* Entry 0 stops: phases. */
#define SERVING 0
#define PASSING 1		/* no new jobs; jobs go over one by one */
#define LAST 2			/* all passed, the record not yet */
#define RELEASED 3
#define KEEPING 4		/* handover given up: finishes by itself */
#define EXITED 5
byte phase;

/* The record names the owner; each entry has the jobs that it works on. */
byte owner;
bit has[2 * JOBS];
bit done[2 * JOBS];
bit passed[JOBS];
bit up1 = 1;
byte faults = FAULTS;

#define J(e, j) ((e) * JOBS + (j))
#define alive(e) ((e == 0 && phase != EXITED) || (e == 1 && up1))
#define owns(e) (owner == e && alive(e))

proctype job(byte j)
{
end:	do
	/* The balancer no longer picks an entry that stops. */
	:: d_step { (caller[j] == UNSENT || caller[j] == RETRIES) &&
	   phase == SERVING -> caller[j] = WAITS; at[j] = 0 }
	:: d_step { (caller[j] == UNSENT || caller[j] == RETRIES) && up1 ->
		caller[j] = WAITS; at[j] = 1 }
	/* Accepted by the owner, itself or one hop away. */
#ifdef MUT_ACCEPT_WHILE_PASSING
	:: d_step { caller[j] == WAITS && alive(at[j]) && owns(0) &&
	   phase <= LAST && !has[J(0, j)] && !passed[j] -> has[J(0, j)] = 1; accepted[j] = 1 }
#else
	:: d_step { caller[j] == WAITS && alive(at[j]) && owns(0) &&
	   (phase == SERVING || phase == KEEPING) && !has[J(0, j)] ->
		has[J(0, j)] = 1; accepted[j] = 1 }
#endif
	:: d_step { caller[j] == WAITS && alive(at[j]) && owns(1) &&
	   !has[J(1, j)] && !accepted[j] ->
		has[J(1, j)] = 1; accepted[j] = 1 }
	/* The owner runs it; the other entry keeps no second count. */
	:: d_step { owns(0) && has[J(0, j)] && !done[J(0, j)] -> done[J(0, j)] = 1 }
	:: d_step { owns(1) && has[J(1, j)] && !done[J(1, j)] -> done[J(1, j)] = 1 }
	/* The answer, through the entry that the caller is connected to. */
	:: d_step { caller[j] == WAITS && alive(at[j]) && alive(0) &&
	   has[J(0, j)] && done[J(0, j)] -> caller[j] = ANSWERED }
	:: d_step { caller[j] == WAITS && alive(at[j]) && owns(1) &&
	   has[J(1, j)] && done[J(1, j)] -> caller[j] = ANSWERED }
	/* HANDOVER of this job; the reply may be lost and the call repeated. */
	:: d_step { phase == PASSING && has[J(0, j)] && !passed[j] && up1 ->
		has[J(1, j)] = 1; done[J(1, j)] = done[J(0, j)]; passed[j] = 1 }
	:: d_step { phase == PASSING && has[J(0, j)] && !passed[j] && up1 &&
	   faults > 0 ->
		faults--; has[J(1, j)] = 1; done[J(1, j)] = done[J(0, j)] }
	od
}

#define all_passed \
	((!has[J(0, 0)] || passed[0]) && (!has[J(0, JOBS - 1)] || passed[JOBS - 1]))
#define waits(j) (caller[j] == WAITS && at[j] == 0)
#define nobody_waits (!waits(0) && !waits(JOBS - 1))

proctype entry0()
{
	byte i;

end:	do
	:: d_step { phase == SERVING && up1 -> phase = PASSING }
	:: d_step { phase == SERVING && !up1 -> phase = KEEPING }
#ifdef MUT_RECORD_BEFORE_JOBS
	:: d_step { phase == PASSING -> phase = LAST }
#else
	:: d_step { phase == PASSING && all_passed -> phase = LAST }
#endif
	/* The CAS that names entry 1. */
	:: d_step { phase == LAST && up1 -> owner = 1; phase = RELEASED }
	/* Entry 1 is gone before the record was passed. */
	:: d_step { (phase == PASSING || phase == LAST) && !up1 -> phase = KEEPING }
	/* Entry 1 died as the owner: its lease lapses and entry 0 recovers. */
	:: d_step { phase == RELEASED && !up1 && owner == 1 ->
		owner = 0; phase = KEEPING }
	/* Exit: nobody waits on a connection to this entry any more. */
#ifdef MUT_EXIT_BEFORE_ANSWERS
	:: d_step { phase == RELEASED ->
#else
	:: d_step { (phase == RELEASED || (phase == KEEPING && !up1)) &&
	   nobody_waits ->
#endif
		/* A planned stop cuts no caller. */
		assert (nobody_waits);
		phase = EXITED;
		i = 0
	}
	od
}

proctype entry1()
{
	byte i;

end:	do
	:: d_step { up1 && faults > 0 && phase != EXITED ->
		faults--;
		up1 = 0;
		i = 0;
		do
		:: i < JOBS ->
			has[J(1, i)] = 0; done[J(1, i)] = 0; passed[i] = 0;
			if
			:: caller[i] == WAITS && at[i] == 1 -> caller[i] = RETRIES
			:: else
			fi;
			/* Not known to entry 0 either: the caller's next try counts. */
			if
			:: !has[J(0, i)] -> accepted[i] = 0
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0 }
	od
}

#define lost(j) (caller[j] == WAITS)

proctype observer()
{
	timeout -> assert (!lost(0) && !lost(JOBS - 1))
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
