/*
 * Which nodes read the platform, by the age of what they know (crates/swiftcart-core, freshness.rs).
 *
 * Time passes in steps. The platform answers some nodes and not others; which ones changes in
 * turns, also to none and back, but not again before the reads of the last turn have ended. A read
 * that is answered ends within its step and is told to all nodes. A read that is not answered stays
 * open for several steps, and the node then waits before it reads again. In some turns
 * the last node hears what is told and cannot get the version. It may be paused and later process
 * a confirmation from before the pause.
 *
 * Promise: all nodes know a version within BOUND steps of its publication, or of the last turn if
 * that was later, provided that the platform answers some node, and the last one where that cannot
 * get versions from others.
 *
 * Guards, each of which -D removes from the model:
 *   NO_AGE      a node reads when nobody has confirmed its version for long, whatever its rank
 *   NO_END      only a read that has ended confirms; one that is open does not
 *   NO_ARRIVED  a confirmation counts only at a node that has the version which it names
 *   NO_LIMIT    the wait after a failed read has a bound
 *   NO_PAUSE    confirmations that waited during a pause do not count
 *
 * spin -a freshness.pml && cc -DSAFETY -O2 -o pan pan.c && ./pan -E -m1000000
 * spin -DNO_AGE -a freshness.pml && ...
 */

#define N 3
#define LAST (N - 1)

/* Age at which node i takes over. */
#define TAKEOVER(i) (3 + (i))
/* Steps until a read that is not answered fails. */
#define UNANSWERED 3
/* Steps between a failed read and the next one. */
#ifdef NO_LIMIT
#define RETRY 12
#else
#define RETRY 1
#endif
/* Steps for which the platform answers the same nodes. */
#define TURN 9
#define MAX_AGE (TAKEOVER(N) + 1)
#define BOUND (TAKEOVER(LAST) + 1)

byte age[N];
byte open[N];           /* steps for which an unanswered read stays open */
byte retry[N];          /* steps until the next read */
bit duty[N];            /* the node confirms for all */
bit knows[N];           /* the node has the published version */
bit answers[N];         /* the platform answers the node */
bit held;               /* a confirmation from before a pause waits at the last node */

bit deaf;               /* the last node hears confirmations, but gets no versions from others */
bit published;
byte turn;              /* steps since the last turn */
byte late;              /* steps for which the promise has been due */

#define someone (answers[LAST] || (!deaf && (answers[0] || answers[1])))
#define all_know (knows[0] && knows[1] && knows[2])

/* Tells the result of a read by node i to all nodes. */
inline tell(i) {
	for (k : 0 .. N - 1) {
		if
		:: k == i -> skip
		:: k == LAST && k != i && deaf && knows[i] && !knows[k] ->
			duty[k] = 0;
#ifdef NO_ARRIVED
			age[k] = 0
#endif
		:: else -> knows[k] = knows[k] || knows[i]; duty[k] = 0; age[k] = 0
		fi
	}
}

inline read(i) {
	if
	:: answers[i] ->
		knows[i] = published;
		age[i] = 0;
		duty[i] = 1;
		tell(i)
	:: else -> open[i] = UNANSWERED
	fi
}

inline step(i) {
	age[i] = (age[i] < MAX_AGE -> age[i] + 1 : age[i]);
	if
	:: open[i] > 1 ->
		open[i]--;
#ifdef NO_END
		age[i] = 0;
		tell(i)
#endif
	:: open[i] == 1 -> open[i] = 0; duty[i] = 0; retry[i] = RETRY
	:: open[i] == 0 && retry[i] > 0 -> retry[i]--
	:: open[i] == 0 && retry[i] == 0 ->
		if
		:: duty[i] -> read(i)
#ifdef NO_AGE
		:: !duty[i] && i == 0 -> read(i)
#else
		:: !duty[i] && age[i] >= TAKEOVER(i) -> read(i)
#endif
		:: else
		fi
	fi
}

active proctype Mesh() {
	byte i, k;
	answers[0] = 1;
	answers[1] = 1;
	answers[2] = 1;
	turn = TURN;
	do
	:: atomic {
		/* The platform answers other nodes, none of them, or the same. */
		if
		:: turn >= TURN ->
			turn = 0;
			late = 0;
			if
			:: deaf = 1
			:: deaf = 0
			fi;
			for (i : 0 .. N - 1) {
				if
				:: answers[i] = 1
				:: answers[i] = 0
				fi
			}
		:: turn < TURN -> turn++
		:: turn >= TURN
		fi;
		if
		:: !published -> published = 1
		:: true
		fi;
		/* A confirmation is held up by a pause, or processed after it. */
		if
		:: !held && age[LAST] <= 1 -> held = 1
		:: held ->
			held = 0;
#ifdef NO_PAUSE
			age[LAST] = 0
#endif
		:: true
		fi;
		step(0);
		step(1);
		step(2);
		if
		:: !published || all_know || !someone -> late = 0
		:: else -> late++
		fi;
		i = 0;
		k = 0;
		assert(late <= BOUND)
	}
	od
}
