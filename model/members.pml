/*
 * Which agents a new owner must ask by RECOVER. That no agent knows a task
 * proves that it never started only if the owner asked every agent that an
 * earlier owner used, and knows which of them were lost together with their
 * records.
 *
 * Three entries, of which the third registers late; two agents, of which the
 * second announces itself late. The id of the submission is older than the
 * floor of every takeover. Takeover and permits are modelled in start.pml.
 */

#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define BIT(x) (1 << (x))

/* The store: the entries with a live lease, and the owner. */
byte registered = 3;
byte owner;
byte epoch = 1;

/* State of the entries. */
bit up[3];
byte known[3];			/* agents that it knows */
byte lost[3];			/* those known as lost with their records */
byte entries_asked[3];		/* by the late entry, for their agents */
bit incomplete[3];		/* an entry crashed before it could be asked */
byte recovered[3];		/* agents that answered RECOVER */
bit reported[3];		/* one of them reported the task */
bit start_decided[3];

/* State of the agents. */
bit alive[2];
bit announced[2];
bit started_at[2];
bit crashed[2];
byte faults = FAULTS;
bit started;

inline send_members(x)
{
	known[x] = known[x] | known_here;
	lost[x] = lost[x] | lost_here
}

proctype entry(byte e)
{
	byte known_here;
	byte lost_here;

end:	do
	/* A late entry registers, then asks each registered entry. */
	:: d_step { e == 2 && !(registered & 4) && !up[2] ->
		up[2] = 1; registered = registered | 4;
		entries_asked[2] = 4 }
	:: d_step { e == 2 && up[2] && !(entries_asked[2] & 1) ->
		if
		:: up[0] -> known[2] = known[2] | known[0];
			lost[2] = lost[2] | lost[0]
		:: else -> incomplete[2] = 1
		fi;
		entries_asked[2] = entries_asked[2] | 1 }
	:: d_step { e == 2 && up[2] && !(entries_asked[2] & 2) ->
		if
		:: up[1] -> known[2] = known[2] | known[1];
			lost[2] = lost[2] | lost[1]
		:: else -> incomplete[2] = 1
		fi;
		entries_asked[2] = entries_asked[2] | 2 }
	/* ANNOUNCE to the agent's registrar entry. */
	:: d_step { up[e] && alive[1] && !announced[1] ->
		announced[1] = 1; known[e] = known[e] | 2 }
	/* MEMBERS to the other entries, with the agents known and those
	   lost. */
	:: d_step { up[e] && up[(e + 1) % 3] &&
	   ((known[e] & ~known[(e + 1) % 3]) ||
	   (lost[e] & ~lost[(e + 1) % 3])) ->
		known_here = known[e]; lost_here = lost[e];
		send_members ((e + 1) % 3); known_here = 0; lost_here = 0 }
	:: d_step { up[e] && up[(e + 2) % 3] &&
	   ((known[e] & ~known[(e + 2) % 3]) ||
	   (lost[e] & ~lost[(e + 2) % 3])) ->
		known_here = known[e]; lost_here = lost[e];
		send_members ((e + 2) % 3); known_here = 0; lost_here = 0 }
	:: d_step { up[e] && crashed[1] && (known[e] & 2) && !(lost[e] & 2) ->
		lost[e] = lost[e] | 2 }
	:: d_step { up[e] && crashed[0] && !(lost[e] & 1) && (known[e] & 1) ->
		lost[e] = lost[e] | 1 }
	/* Takeover from a crashed owner; only an entry that has asked all
	   others may accept tasks (may_accept). */
	:: d_step { up[e] && owner != e && !up[owner] && epoch < EPOCHS ->
		owner = e; epoch++; recovered[e] = 0; reported[e] = 0;
		start_decided[e] = 0 }
	/* RECOVER, to every agent that it knows. */
	:: d_step { up[e] && owner == e && epoch > 1 && (known[e] & 1) &&
	   !(recovered[e] & 1) && alive[0] ->
		recovered[e] = recovered[e] | 1;
		reported[e] = reported[e] | started_at[0] }
	:: d_step { up[e] && owner == e && epoch > 1 && (known[e] & 2) &&
	   !(recovered[e] & 2) && alive[1] ->
		recovered[e] = recovered[e] | 2;
		reported[e] = reported[e] | started_at[1] }
	/* The process crashes. */
	:: d_step { up[e] && faults > 0 -> faults--; up[e] = 0 }
	od
}

#define may_accept(e) \
	(up[e] && owner == e && !start_decided[e] && \
	(e != 2 || entries_asked[2] == 7))

/* All registered entries have acknowledged MEMBERS with this agent. */
#ifdef MUT_USE_BEFORE_ALL_KNOW
#define usable(a) true
#else
#define acknowledged(x, a) \
	(!(registered & BIT(x)) || !up[x] || (known[x] & BIT(a)))
#define usable(a) \
	(acknowledged(0, a) && acknowledged(1, a) && acknowledged(2, a))
#endif

#ifdef MUT_LOST_FORGOTTEN
#define all_recovered(e) \
	(!incomplete[e] && (recovered[e] | lost[e]) == known[e])
#else
#ifdef MUT_PARTIAL_IGNORED
#define all_recovered(e) (lost[e] == 0 && recovered[e] == known[e])
#else
#define all_recovered(e) \
	(!incomplete[e] && lost[e] == 0 && recovered[e] == known[e])
#endif
#endif

proctype start(byte e; byte a)
{
end:	do
	:: d_step { may_accept(e) && alive[a] && (known[e] & BIT(a)) &&
	   usable(a) &&
	   (epoch == 1 || (all_recovered(e) && !reported[e])) ->
		assert (!started);
		started = 1;
		started_at[a] = 1;
		start_decided[e] = 1 }
	od
}

proctype agent(byte a)
{
end:	do
	:: d_step { alive[a] && faults > 0 ->
		faults--; alive[a] = 0; crashed[a] = 1; started_at[a] = 0 }
	/* Drained: the records go to another agent before the process exits. */
	:: d_step { alive[1] && a == 1 && announced[1] && alive[0] ->
#ifndef MUT_LEFT_WITH_RECORDS
		started_at[0] = started_at[0] | started_at[1];
		recovered[0] = recovered[0] & 2;
		recovered[1] = recovered[1] & 2;
		recovered[2] = recovered[2] & 2;
#endif
		alive[1] = 0; started_at[1] = 0;
		known[0] = known[0] & 1; known[1] = known[1] & 1;
		known[2] = known[2] & 1;
		recovered[0] = recovered[0] & 1;
		recovered[1] = recovered[1] & 1;
		recovered[2] = recovered[2] & 1;
		lost[0] = lost[0] & 1; lost[1] = lost[1] & 1;
		lost[2] = lost[2] & 1 }
	od
}

init
{
	atomic {
		up[0] = 1; up[1] = 1;
		known[0] = 1; known[1] = 1;
		alive[0] = 1; alive[1] = 1; announced[0] = 1;
		run entry(0); run entry(1); run entry(2);
		run start(0, 0); run start(0, 1); run start(1, 0);
		run start(1, 1); run start(2, 0); run start(2, 1);
		run agent(0); run agent(1)
	}
}
