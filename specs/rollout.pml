/*
 * How a roll-out progresses and ends (crates/swiftcart-core, rollout.rs;
 * crates/swiftcart-node, control/board.rs).
 *
 * Two watchers judge independently, learn each other's stages late or never, and write the end of
 * the roll-out to the platform's log. A write may lose its answer and be carried out later. One
 * guard is beside an old backend server and one beside a new one; each learns any stage that a
 * watcher ever reached, at any later moment and in any order.
 *
 * Promises:
 *   - the platform takes one end;
 *   - when it takes `completed`, the old backend server runs nothing, unless the other watcher had
 *     stopped the release and so opened the old backend server again;
 *   - a guard that learned that the release was stopped gives the release nothing before it is
 *     completed.
 *
 * Guards, each of which -D removes from the model:
 *   NO_PLACE   a record is taken only at the end of the log as its writer has read it
 *   NO_READ    a watcher that reads the place adopts the end that is recorded before it
 *   NO_ORDER   a stage that precedes the known one changes nothing
 *   NO_CLOSED  the old backend server counts as finished only once it is given nothing new
 *   NO_EMPTY   and runs nothing
 *
 * spin -a rollout.pml && cc -DSAFETY -O2 -o pan pan.c && ./pan -E -m100000
 * spin -DNO_PLACE -a rollout.pml && ...
 */

#define WATCHERS 2

/* The stages in their order. */
#define ORDERED 0
#define TRIAL 1
#define CLOSING 2
#define STOPPED 3
#define ROLLED_BACK 4
#define COMPLETED 5

/* The platform's log: the place after its last record, and the end if one was written. */
byte place;
byte end;

/* The stage of each watcher, and the place up to which it has read the log. */
byte stage[WATCHERS];
byte read[WATCHERS];

/* A write in flight: the end to write, and the place it is meant for. */
byte writing[WATCHERS];
byte at[WATCHERS];

/* What each watcher last observed of the old backend server. */
bit shut[WATCHERS];
bit idle[WATCHERS];

/* The stages that a watcher ever reached, which a guard may learn. */
bit told[6];

/* The two guards, and what runs at the old backend server. */
byte old_stage;
byte new_stage;
bit running;
bit was_stopped;

#ifdef NO_ORDER
#define later(s, known) ((s) != (known))
#else
#define later(s, known) ((s) > (known))
#endif

#define old_open (old_stage != CLOSING && old_stage != COMPLETED)
#define new_open (new_stage == TRIAL || new_stage == CLOSING || new_stage == COMPLETED)

#ifdef NO_CLOSED
#define is_shut(w) true
#else
#define is_shut(w) shut[w]
#endif

#ifdef NO_EMPTY
#define is_empty(w) true
#else
#define is_empty(w) idle[w]
#endif

inline reach(w, s) {
	stage[w] = s;
	told[s] = 1
}

/* The platform carries out a write, immediately or later. */
inline carry_out(w) {
	if
#ifndef NO_PLACE
	:: at[w] != place -> skip
	:: else ->
#else
	:: true ->
#endif
		assert(end == 0);
		assert(writing[w] != COMPLETED || !running || told[STOPPED]);
		end = writing[w];
		place++
	fi;
	writing[w] = 0;
	at[w] = 0
}

proctype Watcher(byte w) {
	do
	:: atomic { stage[w] == ORDERED -> reach(w, TRIAL) }
	:: atomic { stage[w] == TRIAL -> reach(w, CLOSING) }
	:: atomic { stage[w] == TRIAL || stage[w] == CLOSING -> reach(w, STOPPED) }
	/* It learns the other watcher's stage. */
	:: atomic { stage[1 - w] > stage[w] -> stage[w] = stage[1 - w] }
	/* It observes the old backend server. */
	:: atomic { shut[w] = !old_open; idle[w] = !running }
	/* It reads the platform's log. */
	:: atomic {
		writing[w] == 0 -> read[w] = place;
#ifndef NO_READ
		if
		:: end != 0 -> reach(w, end)
		:: else
		fi
#endif
	}
	/* It writes an end to the log. */
	:: atomic {
		writing[w] == 0 && stage[w] == STOPPED ->
		writing[w] = ROLLED_BACK; at[w] = read[w]
	}
	:: atomic {
		writing[w] == 0 && stage[w] == CLOSING && is_shut(w) && is_empty(w) ->
		writing[w] = COMPLETED; at[w] = read[w]
	}
	:: atomic { writing[w] != 0 -> carry_out(w) }
	/* The write never arrives. */
	:: atomic { writing[w] != 0 -> writing[w] = 0; at[w] = 0 }
	:: break
	od
}

proctype Guards() {
	byte s;
	do
	:: atomic {
		select(s : TRIAL .. COMPLETED);
		if
		:: told[s] && later(s, old_stage) -> old_stage = s
		:: told[s] && later(s, new_stage) ->
			new_stage = s;
			was_stopped = was_stopped || s == STOPPED || s == ROLLED_BACK;
			assert(!was_stopped || !new_open || new_stage == COMPLETED)
		:: else
		fi;
		s = 0
	}
	:: atomic { old_open && !running -> running = 1 }
	:: atomic { running -> running = 0 }
	:: break
	od
}

init {
	atomic {
		run Watcher(0);
		run Watcher(1);
		run Guards()
	}
}
