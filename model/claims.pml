/*
 * Claims of opaque ids that survive a takeover: the owner claims ids in
 * groups, each with one write to the next number of its claim log at the
 * store. Covers lost answers, writers that no longer own the partition, and a
 * store that is unreachable.
 *
 * Two entries; IDS ids, each submitted any number of times to whichever entry
 * owns the partition. This model assumes what start.pml proves: when a
 * takeover is done, the start permits of the previous owner have expired.
 */

#ifndef IDS
#define IDS 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define LOG_SIZE 4
#define ALL_IDS ((1 << IDS) - 1)
#define BIT(i) (1 << (i))

#define IDLE 0
#define SENT 1
#define UNKNOWN 2		/* no answer: may be applied, now or later */

/* State of the store. */
byte owner;
byte epoch = 1;
byte claim_log[LOG_SIZE];	/* ids claimed by each write, 0: none */
bit store_down;
byte faults = FAULTS;

/* State of the entries. */
byte held_epoch[2];
bit log_read[2];		/* the log was read under this epoch */
byte next_number[2];
byte inherited[2];		/* ids claimed by earlier owners */
byte waiting[2];
byte in_write[2];
byte write_state[2];
byte claimed[2];

/* The write in flight of each entry. */
byte msg_ids[2];
byte msg_number[2];
byte msg_epoch[2];

byte started;
byte answered;


inline write_confirmed(e)
{
	claimed[e] = claimed[e] | in_write[e];
	in_write[e] = 0;
	write_state[e] = IDLE;
	next_number[e]++
}

inline step_down(e)
{
	held_epoch[e] = 0; log_read[e] = 0; next_number[e] = 0;
	inherited[e] = 0; waiting[e] = 0;
	in_write[e] = 0; write_state[e] = IDLE; claimed[e] = 0
}

inline clear_message(e)
{
	msg_ids[e] = 0; msg_number[e] = 0; msg_epoch[e] = 0
}

#ifdef MUT_NO_EPOCH_COMPARE
#define compare_holds(e) (claim_log[msg_number[e]] == 0)
#else
#define compare_holds(e) \
	(claim_log[msg_number[e]] == 0 && msg_epoch[e] == epoch)
#endif

proctype entry(byte e)
{
	byte i;

end:	do
	/* Takeover (see start.pml), then the log is read to its end. */
	:: d_step { owner == 1 - e && held_epoch[e] == 0 && !store_down &&
	   epoch < EPOCHS ->
		owner = e; epoch++; step_down(e); held_epoch[e] = epoch }
	:: d_step { held_epoch[e] != 0 && !log_read[e] && !store_down ->
		i = 0;
		do
		:: i < LOG_SIZE && claim_log[i] != 0 ->
			inherited[e] = inherited[e] | claim_log[i]; i++
		:: else -> break
		od;
		next_number[e] = i;
		log_read[e] = 1;
		i = 0 }
	/* All waiting claims go into one write. */
	:: d_step { held_epoch[e] != 0 && log_read[e] &&
	   write_state[e] == IDLE && waiting[e] != 0 &&
	   msg_ids[e] == 0 && next_number[e] < LOG_SIZE ->
		in_write[e] = waiting[e]; waiting[e] = 0; write_state[e] = SENT;
		msg_ids[e] = in_write[e]; msg_number[e] = next_number[e];
		msg_epoch[e] = held_epoch[e] }
	/* The store applies the write, or its compare fails; the answer may
	   be lost. */
	:: atomic { msg_ids[e] != 0 && !store_down ->
		if
		:: d_step { compare_holds(e) ->
			claim_log[msg_number[e]] = msg_ids[e] }
			if
			:: d_step { held_epoch[e] == msg_epoch[e] &&
			   write_state[e] == SENT -> write_confirmed(e) }
			:: d_step { held_epoch[e] == msg_epoch[e] &&
			   write_state[e] == SENT && faults > 0 ->
				faults--; write_state[e] = UNKNOWN }
			:: d_step { held_epoch[e] != msg_epoch[e] ||
			   write_state[e] != SENT -> skip }
			fi
		:: d_step { !compare_holds(e) ->
			if
			:: held_epoch[e] == msg_epoch[e] &&
			   write_state[e] == SENT -> write_state[e] = UNKNOWN
			:: else
			fi }
		fi;
		d_step { clear_message(e) }
	}
	:: d_step { write_state[e] == SENT && msg_ids[e] != 0 && faults > 0 ->
		faults--; write_state[e] = UNKNOWN }
	/* An unknown outcome is resolved by reading the key and the owner
	   back. */
	:: d_step { held_epoch[e] != 0 && write_state[e] == UNKNOWN &&
	   !store_down ->
		if
#ifdef MUT_LOST_IS_SUCCESS
		:: true -> write_confirmed(e)
#else
#ifdef MUT_NO_EPOCH_COMPARE
		:: claim_log[next_number[e]] != 0 -> write_confirmed(e)
		:: claim_log[next_number[e]] == 0 ->
			write_state[e] = SENT;
			msg_ids[e] = in_write[e];
			msg_number[e] = next_number[e];
			msg_epoch[e] = held_epoch[e]
#else
		:: epoch != held_epoch[e] -> step_down(e)
		:: epoch == held_epoch[e] && claim_log[next_number[e]] != 0 ->
			write_confirmed(e)
		:: epoch == held_epoch[e] && claim_log[next_number[e]] == 0 ->
			write_state[e] = SENT;
			msg_ids[e] = in_write[e];
			msg_number[e] = next_number[e];
			msg_epoch[e] = held_epoch[e]
#endif
#endif
		fi }
	/* An owner that was replaced learns it when it renews its lease. */
	:: d_step { held_epoch[e] != 0 && held_epoch[e] != epoch &&
	   !store_down -> step_down(e) }
	od
}

#define is_known(e, i) \
	((inherited[e] | claimed[e] | waiting[e] | in_write[e]) & BIT(i))

proctype submission(byte e; byte i)
{
end:	do
	:: d_step { held_epoch[e] != 0 && log_read[e] && !is_known(e, i) &&
	   !(answered & BIT(i)) -> waiting[e] = waiting[e] | BIT(i) }
	/* Claimed by an earlier owner: RECOVER tells whether it started. */
	:: d_step { held_epoch[e] == epoch && (inherited[e] & BIT(i)) &&
	   (started & BIT(i)) &&
	   !(answered & BIT(i)) -> answered = answered | BIT(i) }
	/* START, while the permit of this epoch is valid. */
	:: d_step { held_epoch[e] == epoch &&
	   !(claimed[e] & BIT(i) & started) &&
#ifdef MUT_START_BEFORE_CLAIM
	   ((claimed[e] | in_write[e]) & BIT(i)) ->
#else
	   (claimed[e] & BIT(i)) ->
#endif
		assert (!(started & BIT(i)));
		started = started | BIT(i);
		claimed[e] = claimed[e] | BIT(i) }
	:: d_step { held_epoch[e] == epoch && (inherited[e] & BIT(i)) &&
	   !(started & BIT(i)) ->
		started = started | BIT(i) }
	:: d_step { held_epoch[e] != 0 && (claimed[e] & started & BIT(i)) &&
	   !(answered & BIT(i)) -> answered = answered | BIT(i) }
	/* Refused while the store is unreachable. */
	:: d_step { held_epoch[e] == epoch && store_down &&
#ifndef MUT_NOT_RUN_BEFORE_READ
	   log_read[e] &&
#endif
	   !((inherited[e] | claimed[e] | in_write[e]) & BIT(i)) &&
	   !(answered & BIT(i)) ->
		assert (!(started & BIT(i)));
		waiting[e] = waiting[e] & ~BIT(i);
		answered = answered | BIT(i) }
	od
}

proctype outage()
{
end:	do
	:: d_step { !store_down && faults > 0 -> faults--; store_down = 1 }
	:: d_step { store_down -> store_down = 0 }
	od
}

proctype observer()
{
	timeout -> assert (answered == ALL_IDS || epoch == EPOCHS)
}

init
{
	atomic {
		held_epoch[0] = 1; log_read[0] = 1;
		run entry(0); run entry(1);
		run submission(0, 0); run submission(1, 0);
		run submission(0, 1); run submission(1, 1);
		run outage(); run observer()
	}
}
