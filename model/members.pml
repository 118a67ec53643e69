/*
 * Which agents a new owner must ask. A task unknown to all agents was never
 * started only if "all agents" includes every one that an earlier owner used
 * and lists those that went with their records.
 *
 * Three entries, the third registers late; two agents, the second announces
 * itself late. The submission is older than every takeover's floor. Takeover
 * and permits are those of start.pml.
 */

#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define BIT(x) (1 << (x))

/* The store: entries under a live lease, and the owner. */
byte registered = 3;
byte owner;
byte epoch = 1;

/* The entries. */
bit up[3];
byte member[3];			/* agents heard of */
byte missing[3];		/* heard of as gone with their records */
byte asked[3];			/* entries that a late one has its members from */
bit partial[3];			/* an entry died before it could be asked */
byte fresh[3];			/* agents asked by RECOVER */
bit found[3];			/* one of them reported the task */
bit served[3];

/* The agents. */
bit alive[2];
bit joined[2];
bit ran_at[2];
bit dead[2];
byte faults = FAULTS;
bit ran;

inline tell(x)
{
	member[x] = member[x] | m;
	missing[x] = missing[x] | l
}

proctype entry(byte e)
{
	byte m;
	byte l;

end:	do
	/* A late entry registers, then asks each registered entry. */
	:: d_step { e == 2 && !(registered & 4) && !up[2] ->
		up[2] = 1; registered = registered | 4;
		asked[2] = 4 }
	:: d_step { e == 2 && up[2] && !(asked[2] & 1) ->
		if
		:: up[0] -> member[2] = member[2] | member[0];
			missing[2] = missing[2] | missing[0]
		:: else -> partial[2] = 1
		fi;
		asked[2] = asked[2] | 1 }
	:: d_step { e == 2 && up[2] && !(asked[2] & 2) ->
		if
		:: up[1] -> member[2] = member[2] | member[1];
			missing[2] = missing[2] | missing[1]
		:: else -> partial[2] = 1
		fi;
		asked[2] = asked[2] | 2 }
	/* ANNOUNCE to a home entry. */
	:: d_step { up[e] && alive[1] && !joined[1] ->
		joined[1] = 1; member[e] = member[e] | 2 }
	/* MEMBERS to the others, and the note that an agent is lost. */
	:: d_step { up[e] && up[(e + 1) % 3] &&
	   ((member[e] & ~member[(e + 1) % 3]) || (missing[e] & ~missing[(e + 1) % 3])) ->
		m = member[e]; l = missing[e]; tell ((e + 1) % 3); m = 0; l = 0 }
	:: d_step { up[e] && up[(e + 2) % 3] &&
	   ((member[e] & ~member[(e + 2) % 3]) || (missing[e] & ~missing[(e + 2) % 3])) ->
		m = member[e]; l = missing[e]; tell ((e + 2) % 3); m = 0; l = 0 }
	:: d_step { up[e] && dead[1] && (member[e] & 2) && !(missing[e] & 2) ->
		missing[e] = missing[e] | 2 }
	:: d_step { up[e] && dead[0] && !(missing[e] & 1) && (member[e] & 1) ->
		missing[e] = missing[e] | 1 }
	/* Takeover from a dead owner, by an entry that has asked the others. */
	:: d_step { up[e] && owner != e && !up[owner] && epoch < EPOCHS ->
		owner = e; epoch++; fresh[e] = 0; found[e] = 0; served[e] = 0 }
	/* RECOVER of every agent known. */
	:: d_step { up[e] && owner == e && epoch > 1 && (member[e] & 1) &&
	   !(fresh[e] & 1) && alive[0] ->
		fresh[e] = fresh[e] | 1; found[e] = found[e] | ran_at[0] }
	:: d_step { up[e] && owner == e && epoch > 1 && (member[e] & 2) &&
	   !(fresh[e] & 2) && alive[1] ->
		fresh[e] = fresh[e] | 2; found[e] = found[e] | ran_at[1] }
	/* The process dies. */
	:: d_step { up[e] && faults > 0 -> faults--; up[e] = 0 }
	od
}

#define entitled(e) (up[e] && owner == e && !served[e] && (e != 2 || asked[2] == 7))

/* All entries registered have acknowledged MEMBERS with this agent. */
#ifdef MUT_USE_BEFORE_ALL_KNOW
#define usable(a) true
#else
#define heard(x, a) (!(registered & BIT(x)) || !up[x] || (member[x] & BIT(a)))
#define usable(a) (heard(0, a) && heard(1, a) && heard(2, a))
#endif

#ifdef MUT_LOST_FORGOTTEN
#define complete(e) (!partial[e] && (fresh[e] | missing[e]) == member[e])
#else
#ifdef MUT_PARTIAL_IGNORED
#define complete(e) (missing[e] == 0 && fresh[e] == member[e])
#else
#define complete(e) (!partial[e] && missing[e] == 0 && fresh[e] == member[e])
#endif
#endif

proctype start(byte e; byte a)
{
end:	do
	:: d_step { entitled(e) && alive[a] && (member[e] & BIT(a)) && usable(a) &&
	   (epoch == 1 || (complete(e) && !found[e])) ->
		assert (!ran);
		ran = 1;
		ran_at[a] = 1;
		served[e] = 1 }
	od
}

proctype agent(byte a)
{
end:	do
	:: d_step { alive[a] && faults > 0 ->
		faults--; alive[a] = 0; dead[a] = 1; ran_at[a] = 0 }
	/* Drained: the records go to another agent before the process exits. */
	:: d_step { alive[1] && a == 1 && joined[1] && alive[0] ->
#ifndef MUT_LEFT_WITH_RECORDS
		ran_at[0] = ran_at[0] | ran_at[1];
		fresh[0] = fresh[0] & 2; fresh[1] = fresh[1] & 2;
		fresh[2] = fresh[2] & 2;
#endif
		alive[1] = 0; ran_at[1] = 0;
		member[0] = member[0] & 1; member[1] = member[1] & 1;
		member[2] = member[2] & 1;
		fresh[0] = fresh[0] & 1; fresh[1] = fresh[1] & 1;
		fresh[2] = fresh[2] & 1;
		missing[0] = missing[0] & 1; missing[1] = missing[1] & 1;
		missing[2] = missing[2] & 1 }
	od
}

init
{
	atomic {
		up[0] = 1; up[1] = 1;
		member[0] = 1; member[1] = 1;
		alive[0] = 1; alive[1] = 1; joined[0] = 1;
		run entry(0); run entry(1); run entry(2);
		run start(0, 0); run start(0, 1); run start(1, 0);
		run start(1, 1); run start(2, 0); run start(2, 1);
		run agent(0); run agent(1)
	}
}
