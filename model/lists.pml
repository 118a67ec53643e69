/*
 * The operators' lists: operators edit records by compare-and-swap; entries
 * read them by range and watch, and apply a record only if its revision is
 * newer.
 *
 * One record, two operators, two entries. A watch may break, its history may
 * be compacted, a range may be answered by a replica that lags behind, and an
 * event may be delivered twice after a watch was re-established.
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
#define UNKNOWN 2		/* no answer: may be applied, now or later */

/* The store. The content of the record is its revision; author[r] wrote
   revision r. */
byte revision;
byte author[EDITS + 1];
byte compacted;			/* history up to this revision is discarded */
byte faults = FAULTS;

/* State of the operators. */
byte edit_state[2];
byte expected[2];
byte in_flight[2];		/* copies of its PUT not yet applied */
bit resent[2];
byte failed_revision[2];	/* revision reported to it as not its own */

/* State of the entries. */
byte applied[ENTRIES];
byte next_revision[ENTRIES];	/* first revision that the watch still sends */
bit watching[ENTRIES];

inline edit_succeeded(o)
{
	assert (author[expected[o] + 1] == o + 1);
	edit_state[o] = IDLE
}

/* A reported failure stays true: no copy of the PUT is applied later. */
inline edit_failed(o)
{
	assert (author[expected[o] + 1] != o + 1);
	failed_revision[o] = expected[o] + 1;
	edit_state[o] = IDLE
}

proctype operator(byte o)
{
	bit compare_held;

end:	do
	/* GET, then PUT with the revision that was read. */
	:: d_step { edit_state[o] == IDLE && in_flight[o] == 0 &&
	   revision < EDITS ->
		expected[o] = revision; resent[o] = 0; edit_state[o] = SENT;
		in_flight[o] = 1 }
	:: atomic { in_flight[o] > 0 ->
		d_step {
			in_flight[o]--;
			if
#ifdef MUT_NO_COMPARE
			:: revision < EDITS ->
#else
			:: revision == expected[o] ->
#endif
				revision++; author[revision] = o + 1;
				compare_held = 1;
				assert (failed_revision[o] != revision)
			:: else
			fi
		}
		if
		:: d_step { edit_state[o] == SENT && compare_held ->
			edit_succeeded(o) }
		:: d_step { edit_state[o] == SENT && !compare_held &&
		   !resent[o] -> edit_failed(o) }
		/* An earlier copy may have been applied: read the record
		   back. */
#ifdef MUT_COMPARE_TRUSTED
		:: d_step { edit_state[o] == SENT && !compare_held &&
		   resent[o] -> edit_failed(o) }
#else
		:: d_step { edit_state[o] == SENT && !compare_held &&
		   resent[o] -> edit_state[o] = UNKNOWN }
#endif
		:: d_step { edit_state[o] == SENT && faults > 0 ->
			faults--; edit_state[o] = UNKNOWN }
		/* The reply to an earlier copy, which the operator no longer
		   waits for. */
		:: d_step { edit_state[o] != SENT || (resent[o] &&
		   in_flight[o] > 0) -> skip }
		fi;
		compare_held = 0
	}
	:: d_step { edit_state[o] == SENT && in_flight[o] > 0 && faults > 0 ->
		faults--; edit_state[o] = UNKNOWN }
	/* The answer was lost: read the record back. */
	:: d_step { edit_state[o] == UNKNOWN && revision == expected[o] ->
#ifdef MUT_UNCHANGED_IS_NOT_APPLIED
		edit_failed(o)
#else
		if
		:: in_flight[o] < 2 -> resent[o] = 1; in_flight[o]++
		:: else
		fi;
		edit_state[o] = SENT
#endif
	}
	:: d_step { edit_state[o] == UNKNOWN && revision == expected[o] + 1 ->
		if
		:: author[revision] == o + 1 -> edit_succeeded(o)
		:: else -> edit_failed(o)
		fi }
	/* Overwritten in the meantime: the outcome is reported as unknown. */
	:: d_step { edit_state[o] == UNKNOWN && revision > expected[o] + 1 ->
#ifdef MUT_OVERWRITTEN_IS_NOT_APPLIED
		edit_failed(o)
#else
		edit_state[o] = IDLE
#endif
	}
	od
}

inline apply_revision(e, r)
{
	before = applied[e];
#ifdef MUT_APPLY_ANY
	applied[e] = r;
#else
	if
	:: r > applied[e] -> applied[e] = r
	:: else
	fi;
#endif
	assert (applied[e] >= before);
	before = 0
}

proctype follower(byte e)
{
	byte before;
	byte r;

end:	do
	/* Range: a replica that lags behind may answer with an older state. */
	:: atomic { !watching[e] ->
		if
		:: r = revision
		:: faults > 0 && revision > 0 -> faults--; r = revision - 1
		fi;
		d_step {
			apply_revision (e, r);
#ifdef MUT_WATCH_FROM_NOW
			next_revision[e] = revision + 1;
#else
			next_revision[e] = r + 1;
#endif
			r = 0;
			watching[e] = 1
		}
	}
	/* An event, in order. */
	:: d_step { watching[e] && next_revision[e] <= revision &&
	   next_revision[e] > compacted ->
		apply_revision (e, next_revision[e]);
		next_revision[e]++ }
	/* The next event was compacted: range again. */
	:: d_step { watching[e] && next_revision[e] <= compacted ->
#ifdef MUT_SKIP_COMPACTED
		next_revision[e] = revision + 1
#else
		watching[e] = 0
#endif
	}
	/* Broken and re-established; the last event is sent again. */
	:: d_step { watching[e] && faults > 0 && next_revision[e] > 1 ->
		faults--; next_revision[e]-- }
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
