/*
 * A target that leaves: it gets no new work once its DELETE was accepted,
 * running tasks are finished and their results delivered, and refused starts
 * are sent to another agent.
 *
 * One owner, agent 0 whose target leaves, and agent 1 whose target stays. Each
 * agent has SLOTS slots and grants one credit for each free slot.
 */

#ifndef TASKS
#define TASKS 3
#endif
#ifndef SLOTS
#define SLOTS 1
#endif
#define QUEUED 0
#define SENT 1
#define DONE 2

#define UP 0
#define LEAVING 1
#define LEFT 2

byte target_state;		/* of agent 0 */
byte task_state[TASKS];
byte sent_to[TASKS];
bit arrived[TASKS];		/* the START reached its agent */
bit running[TASKS];
bit result_held[TASKS];		/* held by the agent until it is delivered */
bit refused[TASKS];
byte credits[2];		/* held by the owner */
byte slots_used[2];		/* slots that are granted or busy */
bit leave_answered;

proctype agent(byte a)
{
end:	do
	/* GRANT. */
	:: d_step { slots_used[a] < SLOTS && (a == 1 || target_state == UP) ->
		slots_used[a]++; credits[a]++ }
	/* DELETE from the target: accepted at once, answered when all
	   running tasks are done. */
	:: d_step { a == 0 && target_state == UP -> target_state = LEAVING }
#ifdef MUT_LEAVE_ANSWERED_EARLY
	:: d_step { a == 0 && target_state == LEAVING && !leave_answered ->
#else
	:: d_step { a == 0 && target_state == LEAVING && !leave_answered &&
	   !(running[0] && sent_to[0] == 0) && !(running[1] &&
	   sent_to[1] == 0) &&
	   !(running[2] && sent_to[2] == 0) ->
#endif
		leave_answered = 1 }
	/* The agent exits once all its results were delivered. */
#ifdef MUT_EXIT_WITH_RESULTS
	:: d_step { a == 0 && leave_answered && target_state == LEAVING ->
#else
	:: d_step { a == 0 && leave_answered && target_state == LEAVING &&
	   !(result_held[0] && sent_to[0] == 0) && !(result_held[1] &&
	   sent_to[1] == 0) &&
	   !(result_held[2] && sent_to[2] == 0) ->
#endif
		target_state = LEFT;
		credits[0] = 0 }
	od
}

proctype dispatch(byte t; byte a)
{
end:	do
	:: d_step { task_state[t] == QUEUED && credits[a] > 0 &&
	   (a == 1 || target_state != LEFT) ->
		credits[a]--; task_state[t] = SENT; sent_to[t] = a }
	/* The START arrives. */
	:: d_step { task_state[t] == SENT && sent_to[t] == a && !arrived[t] &&
	   (a == 1 || target_state != LEFT) ->
		arrived[t] = 1;
		if
#ifdef MUT_START_WHILE_LEAVING
		:: true ->
#else
		:: a == 1 || target_state == UP ->
#endif
			assert (a == 1 || target_state == UP);
			running[t] = 1
#ifndef MUT_START_WHILE_LEAVING
		:: else -> refused[t] = 1
#endif
		fi }
	/* The agent has left and can't be reached: the task has certainly
	   not started. */
	:: d_step { task_state[t] == SENT && sent_to[t] == a && !arrived[t] &&
	   a == 0 &&
	   target_state == LEFT -> task_state[t] = QUEUED }
	/* REFUSED: the task returns to the queue, and the slot to the agent. */
	:: d_step { refused[t] && sent_to[t] == a ->
		refused[t] = 0; slots_used[a]--;
#ifndef MUT_REFUSED_IS_DROPPED
		arrived[t] = 0; task_state[t] = QUEUED
#endif
	}
	/* The target answers; it must not have left before. */
	:: d_step { running[t] && sent_to[t] == a ->
		assert (a == 1 || !leave_answered);
		running[t] = 0; result_held[t] = 1 }
	/* RESULT; the freed slot is granted again unless the target is
	   leaving. */
	:: d_step { result_held[t] && sent_to[t] == a ->
		assert (a == 1 || target_state != LEFT);
		result_held[t] = 0; task_state[t] = DONE; slots_used[a]--;
		if
		:: a == 1 || target_state == UP -> slots_used[a]++; credits[a]++
		:: else
		fi }
	od
}

proctype observer()
{
	timeout -> assert (task_state[0] == DONE && task_state[1] == DONE &&
	   task_state[2] == DONE)
}

init
{
	atomic {
		run agent(0); run agent(1);
		run dispatch(0, 0); run dispatch(0, 1);
		run dispatch(1, 0); run dispatch(1, 1);
		run dispatch(2, 0); run dispatch(2, 1);
		run observer()
	}
}
