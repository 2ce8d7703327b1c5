/*
 * At most one hand-over for each idempotency key (crates/swiftcart-core, claim).
 *
 * N attempts compete for one key. The log takes a record after any delay, up to twice, or
 * never, regardless of what the sender is told. The clock advances independently of the
 * processes, so a process may be paused between any two steps. An attempt may be given up
 * at any moment.
 *
 * The verdict on a claim is a pure function of the records up to it. The model computes it
 * when the log takes the claim, once for each of two readers, and an attempt learns its own
 * reader's verdict at any later moment. Time is modelled as ages that saturate at OLD, so
 * that runs are unbounded in time.
 *
 * Promises:
 *   - an attempt whose caller is told "not run" does not run, before or after;
 *   - when two attempts run, the later one was claimed more than window + margin after
 *     the other one, and they run at least two margins apart.
 *
 * Left out: answers (they only block more), batches, other keys.
 *
 * Guards, each of which -D removes from the model:
 *   NO_FIRST     the lowest offset wins
 *   NO_FOLLOW    read up to the own claim before running
 *   NO_WINDOW    a claim blocks its key for window + margin (without the guard: window - margin)
 *   NO_AGE       the claim's age is below window - margin, both at the check before the
 *                hand-over and at the backend server, as the deadline sent with the request
 *   NO_DEADLINE  the backend server's part of NO_AGE: a pause may follow the check
 *   NO_HELD      only abandon what was never handed over
 *   NO_FATE      an attempt that was given up is never handed over afterwards
 * and with two readers, in claim_readers.pml:
 *   NO_BLIND     no claim wins within window + margin of records that may be missing
 *   NO_LOSERS    losing claims block the key as well
 *
 * spin -a claim.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan -E -m100000
 * spin -DNO_FIRST -a claim.pml && ...
 */

#ifdef READERS
#define N 4             /* attempts */
#define W 1             /* window */
#define M 0             /* margin */
#define COPIES 1        /* how often each claim is sent */
#else
#define N 3
#define W 2
#define M 1
#define COPIES 2
#endif
#define S (W - M)       /* how long an attempt may start */
#ifdef NO_WINDOW
#define B (W - M)
#else
#define B (W + M)       /* how long a claim blocks its key */
#endif
#define OLD (W + M + S + 1) /* ages saturate here: older ones are equivalent */
#define NEVER 255

#define NONE 0
#define WON 1
#define LOST 2
#define UNDECIDED 3

/* Ages of events on the single clock. */
byte claim_age[N] = NEVER;
byte blind_age = NEVER; /* reader 1 misses the records up to this event */
byte ran_age = NEVER;   /* the last hand-over, and its claim */
byte ran_claim = NEVER;
byte left[N];           /* remaining time in which the attempt may start */

/* Records in flight. */
byte claims[N];
bit abandons[N];

/* The log's records of each attempt, and the verdicts of readers 0 and 1. */
bit abandoned[N];
bit missed[N];
byte first[N];
byte second[N];

byte begun;             /* attempts begin in order, as they are interchangeable */
bit told[N];            /* told "not run" */
bit ran[N];

hidden byte i, v0, v1;

#ifdef NO_LOSERS
#define counts(v) (v != LOST)
#else
#define counts(v) true
#endif
#define blocks(y, x, v) (y != x && claim_age[y] <= B && !abandoned[y] && counts(v))

inline older(age) {
	if
	:: age < OLD -> age++
	:: else
	fi
}

inline tick() {
	d_step {
		i = 0;
		do
		:: i < N ->
			older(claim_age[i]);
			if
			:: claim_age[i] > B -> missed[i] = 0
			:: else
			fi;
			if
			:: left[i] > 0 && left[i] != NEVER -> left[i]--
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		older(blind_age);
		older(ran_age);
		older(ran_claim)
	}
}

/* The reader of the node that handles an attempt. */
#ifdef READERS
#define reader(x) (x & 1)
#else
#define reader(x) 0
#endif

/* Appends a claim to the log. Repeats are ignored while it blocks or after its abandon record. */
inline take_claim(x) {
	d_step {
		claims[x]--;
		if
		:: abandoned[x] || claim_age[x] <= B
		:: else ->
			v0 = WON;
			v1 = WON;
#ifndef NO_BLIND
			if
			:: blind_age <= B -> v1 = UNDECIDED
			:: else
			fi;
#endif
			i = 0;
			do
			:: i < N ->
#ifndef NO_FIRST
				if
				:: blocks(i, x, first[i]) -> v0 = LOST
				:: else
				fi;
				if
				:: blocks(i, x, second[i]) && !missed[i] -> v1 = LOST
				:: else
				fi;
#endif
				i++
			:: else -> break
			od;
			claim_age[x] = 0;
			missed[x] = 0;
			first[x] = v0;
			second[x] = v1;
#ifndef NO_LOSERS
			/* No attempt reads the other reader's verdict, so it is cleared. */
			if
			:: reader(x) == 0 -> second[x] = NONE
			:: else -> first[x] = NONE
			fi;
#endif
			i = 0; v0 = 0; v1 = 0
		fi
	}
}

/* Appends an abandon record. The attempt's claims have no effect from here on and are cleared. */
inline take_abandon(x) {
	d_step {
		abandons[x] = 0;
		abandoned[x] = 1;
		claims[x] = 0;
		claim_age[x] = NEVER;
		missed[x] = 0;
		first[x] = NONE;
		second[x] = NONE
	}
}

inline hand_over(me) {
	d_step {
		assert(!told[me]);
		if
		:: ran_age != NEVER ->
			assert(ran_claim - claim_age[me] > W + M);
			assert(ran_age >= 2 * M)
		:: else
		fi;
		ran[me] = 1;
		ran_age = 0;
		ran_claim = claim_age[me]
	}
}

inline give_up(me) {
	d_step {
		told[me] = 1;
		assert(!ran[me]);
		abandons[me] = 1
	}
}

#define verdict(me) (reader(me) == 0 -> first[me] : second[me])

proctype Attempt(byte me) {
	/* The age counts from before the claim is sent. */
	atomic {
		begun == me;
		begun++;
		left[me] = S;
		claims[me] = COPIES
	}

wait:
	if
	:: atomic { claim_age[me] != NEVER ->
#ifdef NO_FOLLOW
		skip
#else
		if
		:: verdict(me) == WON
		:: verdict(me) != WON -> give_up(me); goto end
		fi
#endif
	}
#ifndef READERS
	/* The caller has disconnected, or its deadline has passed. */
	:: atomic { give_up(me);
#ifdef NO_FATE
		goto wait
#else
		goto end
#endif
	}
#endif
	fi;

	/* Check before the hand-over: may the attempt still start? */
#ifdef NO_AGE
	left[me] = NEVER;
#endif
	if
	:: left[me] > 0
#ifdef READERS
	:: atomic { left[me] == 0 -> give_up(me); goto end }
#else
	:: atomic { give_up(me); goto end }
#endif
	fi;

	/* The process may be paused here. */
	if
#ifdef NO_DEADLINE
	:: hand_over(me)
#else
	:: atomic { left[me] > 0 -> hand_over(me) }
#endif
	:: atomic { left[me] == 0 -> give_up(me); goto end }
	fi;

#ifdef NO_HELD
	abandons[me] = 1;
#endif
end:
	left[me] = 0
}

/* Reader 1 misses all records that the log has taken so far. */
inline miss() {
	d_step {
		i = 0;
		do
		:: i < N -> missed[i] = (claim_age[i] != NEVER -> 1 : 0); i++
		:: else -> break
		od;
		i = 0
	}
}

proctype Platform() {
	byte x;
	do
	:: tick()
#ifdef READERS
	:: atomic { blind_age == NEVER -> blind_age = 0; miss() }
#endif
	:: atomic { claims[0] > 0 -> x = 0; take_claim(x) }
	:: atomic { claims[1] > 0 -> x = 1; take_claim(x); x = 0 }
	:: atomic { claims[2] > 0 -> x = 2; take_claim(x); x = 0 }
#if N > 3
	:: atomic { claims[3] > 0 -> x = 3; take_claim(x); x = 0 }
	:: atomic { abandons[3] > 0 -> take_abandon(3) }
#endif
	:: atomic { abandons[0] > 0 -> take_abandon(0) }
	:: atomic { abandons[1] > 0 -> take_abandon(1) }
	:: atomic { abandons[2] > 0 -> take_abandon(2) }
	od
}

init {
	atomic {
		byte n;
		for (n : 0 .. N - 1) {
			run Attempt(n)
		}
		n = 0;
		run Platform()
	}
}
