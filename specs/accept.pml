/*
 * Acceptance of configuration edits (crates/swiftcart-core, config::Fold).
 *
 * Three operators race: each reads the table at some moment and publishes one edit. The
 * answer may be lost, so the log may contain the same publish twice, any number of records
 * apart. Reader 0 folds every record. Reader 1 starts later, from record 0 or from a
 * checkpoint, and may fall behind the oldest retained record. Row 1 (a route) is only valid
 * while row 0 (its service) is in the table.
 *
 * Promises:
 *   - at the same position both readers have the same complete state;
 *   - an accepted edit replaces only what its operator saw: no accepted edit is reverted by
 *     an operator who did not know of it;
 *   - a publish is accepted at most once, and never after it was rejected.
 *
 * Guards, each of which -D removes from the model:
 *   NO_BASE      reject edits of rows that changed since the publish's base
 *   NO_REPEAT    remember the last ids
 *   NO_HORIZON   reject bases older than what the remembered ids cover
 *   NO_POSITION  continue from the checkpoint's own position, not from that of its record
 *   NO_IDS       a checkpoint contains the remembered ids
 *   NO_KEPT      only adopt a checkpoint when all records from its position on are retained
 *   NO_GAP       do not read on across expired records
 *
 * spin -a accept.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan -E -m100000
 * spin -DNO_BASE -a accept.pml && ...
 */

#define OPS 3
#define L 5             /* capacity of the log in records */
#define CHECKPOINT 16   /* record value of a checkpoint; lower values are publish ids */
#define NOBODY 255

/* Indices of states: readers 0 and 1, and one checkpoint (TAKEN). */
#define STATES 3
#define TAKEN 2

#ifdef NO_KEPT
#define kept(s) true
#else
#define kept(s) (position[s] >= first)
#endif
#define row(s, r) ((s) * 2 + (r))

byte value[6];          /* 0: the row is not in the table */
byte changed[6];        /* version of the last change */
byte version[STATES];
byte horizon[STATES];
byte position[STATES];
/* The last two publish ids and their offsets, the older one first. */
byte old_id[STATES] = NOBODY;
byte old_at[STATES];
byte new_id[STATES] = NOBODY;
byte new_at[STATES];

byte record[L];
byte used;              /* the log's next offset */
byte first;             /* the oldest retained offset */
byte mark = NOBODY;     /* the offset of the checkpoint's record */
bit taken;
bit begun;              /* reader 1 has started */

/* Publishes. The id of a publish is its operator's number. */
byte turn;
byte copies[OPS];
byte base[OPS];
byte saw[OPS];
bit which[OPS];
byte edit[OPS];
bit accepted[OPS];
bit rejected[OPS];

hidden byte x, r, ok, seen;

inline copy(from, to) {
	value[row(to, 0)] = value[row(from, 0)];
	value[row(to, 1)] = value[row(from, 1)];
	changed[row(to, 0)] = changed[row(from, 0)];
	changed[row(to, 1)] = changed[row(from, 1)];
	version[to] = version[from];
	horizon[to] = horizon[from];
	position[to] = position[from];
	old_id[to] = old_id[from];
	old_at[to] = old_at[from];
	new_id[to] = new_id[from];
	new_at[to] = new_at[from]
}

inline remember(s) {
	if
	:: old_id[s] != NOBODY ->
		seen = (old_at[s] + 1 < version[s] -> old_at[s] + 1 : version[s]);
#ifndef NO_HORIZON
		if
		:: seen > horizon[s] -> horizon[s] = seen
		:: else
		fi
#endif
	:: else
	fi;
	old_id[s] = new_id[s];
	old_at[s] = new_at[s];
	new_id[s] = x;
	new_at[s] = position[s]
}

/* Accepts or rejects publish x in state s. */
inline decide(s) {
	r = which[x];
	if
	:: base[x] < horizon[s] -> ok = 0
#ifndef NO_BASE
	:: changed[row(s, r)] > base[x] -> ok = 0
#endif
	:: value[row(s, r)] == edit[x] -> ok = 0
	:: r == 0 && edit[x] == 0 && value[row(s, 1)] != 0 -> ok = 0
	:: r == 1 && edit[x] != 0 && value[row(s, 0)] == 0 -> ok = 0
	:: else -> ok = 1
	fi;
	if
	:: s == 0 && ok == 1 ->
		assert(!accepted[x] && !rejected[x]);
		assert(changed[row(0, r)] == saw[x]);
		accepted[x] = 1
	:: s == 0 && ok == 0 && !accepted[x] -> rejected[x] = 1
	:: else
	fi;
	if
	:: ok == 1 ->
		value[row(s, r)] = edit[x];
		changed[row(s, r)] = position[s] + 1;
		version[s] = position[s] + 1
	:: else
	fi
}

inline fold(s) {
	d_step {
		x = record[position[s]];
		if
		:: x == CHECKPOINT
#ifndef NO_REPEAT
		:: x != CHECKPOINT && (x == old_id[s] || x == new_id[s])
#endif
		:: else -> decide(s); remember(s)
		fi;
		position[s]++;
		x = 0; r = 0; ok = 0; seen = 0
	}
}

/* Appends a record to the log; reader 0 folds it immediately. */
inline append(what) {
	record[used] = what;
	used++;
	fold(0)
}

inline same() {
	assert(value[row(0, 0)] == value[row(1, 0)] && value[row(0, 1)] == value[row(1, 1)]);
	assert(changed[row(0, 0)] == changed[row(1, 0)] && changed[row(0, 1)] == changed[row(1, 1)]);
	assert(version[0] == version[1] && horizon[0] == horizon[1]);
	assert(old_id[0] == old_id[1] && new_id[0] == new_id[1])
}

proctype Operator(byte me) {
	atomic {
		turn == me;
		turn++;
		if
		:: which[me] = 0; edit[me] = 0
		:: which[me] = 0; edit[me] = me + 1
		:: which[me] = 1; edit[me] = me + 1
		fi;
		base[me] = version[0];
		saw[me] = changed[row(0, which[me])];
		copies[me] = 2
	}
}

proctype Platform() {
	do
	:: atomic { used < L && copies[0] > 0 -> copies[0]--; append(0) }
	:: atomic { used < L && copies[1] > 0 -> copies[1]--; append(1) }
	:: atomic { used < L && copies[2] > 0 -> copies[2]--; append(2) }
	/* A checkpoint copies the state now and is appended to the log later. */
	:: atomic { !taken -> taken = 1; copy(0, TAKEN);
#ifdef NO_IDS
		old_id[TAKEN] = NOBODY;
		new_id[TAKEN] = NOBODY
#endif
	}
	:: atomic { taken && mark == NOBODY && used < L -> mark = used; append(CHECKPOINT) }
	/* The oldest record expires. */
	:: first < used -> first++
	od
}

proctype Reader() {
	do
	:: atomic { !begun && first == 0 -> begun = 1 }
	:: atomic { mark != NOBODY && mark >= first && position[TAKEN] > position[1] && kept(TAKEN) ->
		begun = 1; copy(TAKEN, 1);
#ifdef NO_POSITION
		position[1] = mark + 1
#endif
#ifdef NO_KEPT
		if
		:: position[1] < first -> position[1] = first
		:: else
		fi
#endif
	}
#ifdef NO_GAP
	:: atomic { begun && position[1] < first -> position[1] = first }
#endif
	:: atomic { begun && position[1] >= first && position[1] < used -> fold(1);
		if
		:: position[1] == used -> same()
		:: else
		fi
	}
	od
}

init {
	atomic {
		run Operator(0);
		run Operator(1);
		run Operator(2);
		run Platform();
		run Reader()
	}
}
