/*
 * The operators' lists: edits race by compare-and-swap, entries follow by
 * range and watch and apply by revision.
 *
 * One record, two operators, two entries. A watch may be cut, its history
 * may be compacted, a range may be answered by a replica that lags, and an
 * event may come twice after a watch was dialled again.
 */

#ifndef EDITS
#define EDITS 3
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#define ENTRIES 2
#define IDLE 0
#define SENT 1
#define LOST 2			/* no answer: may have been applied, or be later */

/* The store: the record's revision is its content, author[r] wrote r. */
byte revision;
byte author[EDITS + 1];
byte compacted;			/* history up to here is gone */
byte faults = FAULTS;

/* The operators. */
byte edit[2];
byte compares[2];
byte flying[2];			/* copies of the PUT that may still be applied */
bit resent[2];
byte denied[2];			/* revision that it was told it did not write */

/* The entries. */
byte applied[ENTRIES];
byte next[ENTRIES];		/* first revision that the watch still sends */
bit watching[ENTRIES];

inline won(o)
{
	assert (author[compares[o] + 1] == o + 1);
	edit[o] = IDLE
}

/* What an operator is told stays true: no copy of the PUT is applied later. */
inline not_applied(o)
{
	assert (author[compares[o] + 1] != o + 1);
	denied[o] = compares[o] + 1;
	edit[o] = IDLE
}

proctype operator(byte o)
{
	bit held;

end:	do
	/* GET, then PUT with the revision seen. */
	:: d_step { edit[o] == IDLE && flying[o] == 0 && revision < EDITS ->
		compares[o] = revision; resent[o] = 0; edit[o] = SENT; flying[o] = 1 }
	:: atomic { flying[o] > 0 ->
		d_step {
			flying[o]--;
			if
#ifdef MUT_NO_COMPARE
			:: revision < EDITS ->
#else
			:: revision == compares[o] ->
#endif
				revision++; author[revision] = o + 1; held = 1;
				assert (denied[o] != revision)
			:: else
			fi
		}
		if
		:: d_step { edit[o] == SENT && held -> won(o) }
		:: d_step { edit[o] == SENT && !held && !resent[o] -> not_applied(o) }
		/* A copy may have been applied before: look at the record. */
#ifdef MUT_COMPARE_TRUSTED
		:: d_step { edit[o] == SENT && !held && resent[o] -> not_applied(o) }
#else
		:: d_step { edit[o] == SENT && !held && resent[o] -> edit[o] = LOST }
#endif
		:: d_step { edit[o] == SENT && faults > 0 -> faults--; edit[o] = LOST }
		/* The reply to a copy that was given up before. */
		:: d_step { edit[o] != SENT || (resent[o] && flying[o] > 0) -> skip }
		fi;
		held = 0
	}
	:: d_step { edit[o] == SENT && flying[o] > 0 && faults > 0 ->
		faults--; edit[o] = LOST }
	/* A lost answer: read the record back. */
	:: d_step { edit[o] == LOST && revision == compares[o] ->
#ifdef MUT_UNCHANGED_IS_NOT_APPLIED
		not_applied(o)
#else
		if
		:: flying[o] < 2 -> resent[o] = 1; flying[o]++
		:: else
		fi;
		edit[o] = SENT
#endif
	}
	:: d_step { edit[o] == LOST && revision == compares[o] + 1 ->
		if
		:: author[revision] == o + 1 -> won(o)
		:: else -> not_applied(o)
		fi }
	/* Overwritten since: the outcome is told as unknown. */
	:: d_step { edit[o] == LOST && revision > compares[o] + 1 ->
#ifdef MUT_OVERWRITTEN_IS_NOT_APPLIED
		not_applied(o)
#else
		edit[o] = IDLE
#endif
	}
	od
}

inline apply(e, r)
{
	was = applied[e];
#ifdef MUT_APPLY_ANY
	applied[e] = r;
#else
	if
	:: r > applied[e] -> applied[e] = r
	:: else
	fi;
#endif
	assert (applied[e] >= was);
	was = 0
}

proctype follower(byte e)
{
	byte was;
	byte r;

end:	do
	/* Range: a lagging replica may answer with an older state. */
	:: atomic { !watching[e] ->
		if
		:: r = revision
		:: faults > 0 && revision > 0 -> faults--; r = revision - 1
		fi;
		d_step {
			apply (e, r);
#ifdef MUT_WATCH_FROM_NOW
			next[e] = revision + 1;
#else
			next[e] = r + 1;
#endif
			r = 0;
			watching[e] = 1
		}
	}
	/* An event, in order. */
	:: d_step { watching[e] && next[e] <= revision && next[e] > compacted ->
		apply (e, next[e]);
		next[e]++ }
	/* History gone: range again. */
	:: d_step { watching[e] && next[e] <= compacted ->
#ifdef MUT_SKIP_COMPACTED
		next[e] = revision + 1
#else
		watching[e] = 0
#endif
	}
	/* Cut and dialled again, sending what was seen once more. */
	:: d_step { watching[e] && faults > 0 && next[e] > 1 ->
		faults--; next[e]-- }
	:: d_step { watching[e] && faults > 0 -> faults--; watching[e] = 0 }
	od
}

proctype store()
{
end:	do
	:: d_step { faults > 0 && compacted < revision ->
		faults--; compacted = revision }
	od
}

proctype observer()
{
	timeout -> assert (applied[0] == revision && applied[1] == revision);
	assert (revision == EDITS)
}

init
{
	atomic {
		run operator(0); run operator(1);
		run follower(0); run follower(1);
		run store(); run observer()
	}
}
