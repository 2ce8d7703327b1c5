/*
 * Which announcement of a backend server is in force (crates/swiftcart-core,
 * member/succession.rs).
 *
 * A backend server starts up to three times under one id. Each process numbers its
 * announcements from one and may announce its departure. An announcement reaches the node at
 * any later moment, in any order and any number of times. The node may restart, which clears
 * its memory. Others remember the departures that it reported to them.
 *
 * Promises, in each life of the node:
 *   - a start that is shown is never older than one that was shown before;
 *   - the latest announcement of the running process is in force once it has arrived.
 * Over all lives of the node:
 *   - a process whose departure was acknowledged is not shown again.
 *
 * Guards, each of which -D removes from the model:
 *   NO_START   a greater start takes precedence over a smaller one, whatever their numbers
 *   NO_NUMBER  within one start the greater number wins
 *   NO_NAMED   a departure ends the start that it names, and no later one
 *   NO_RETIRE  departures are remembered
 *   NO_REPORT  a departure is reported to others before it is acknowledged
 *   NO_RECALL  a node that starts asks others for its departures
 *   NO_WAIT    it believes no announcement before they have answered
 *
 * spin -a succession.pml && cc -DSAFETY -O2 -o pan pan.c && ./pan -E -m100000
 * spin -DNO_START -a succession.pml && ...
 */

#define STARTS 3
#define NUMBERS 2

/* What the backend server announced: the greatest number of each start, and departures. */
byte running = 1;
byte said[4];
bit left[4];

/* The node's memory: whether it shows the backend server, the newest start and its number, and the
 * greatest start that departed. */
bit here;
byte newest;
byte number;
byte until;

/* Whether the node waits for its departures after a start, and the greatest start whose departure
 * others remember. */
bit recalling;
byte reported;

/* What was observed; used only to check the promises. */
byte most;
bit acked[4];
byte latest;

#ifdef NO_RETIRE
#define retired(s) false
#else
#define retired(s) ((s) <= until)
#endif

#ifdef NO_NUMBER
#define older(n) false
#else
#define older(n) ((n) <= number)
#endif

#ifdef NO_START
#define late(s, n) (here && older(n))
#else
#define late(s, n) ((s) < newest || ((s) == newest && here && older(n)))
#endif

#ifdef NO_WAIT
#define waits false
#else
#define waits recalling
#endif

inline hear(s, n) {
	if
	:: retired(s) || late(s, n)
	:: else ->
		here = 1;
		newest = s;
		number = n;
		assert(s >= most);
		assert(!acked[s]);
		assert(s < running || n >= latest);
		most = s;
	fi;
	if
	:: s == running && n == said[s] && !acked[s] ->
		assert(here && newest == s && number == n);
		latest = n
	:: else
	fi
}

inline depart(s) {
#ifdef NO_NAMED
	until = newest;
	here = 0;
#else
	if
	:: here && newest <= s -> here = 0
	:: else
	fi;
	if
	:: s > until -> until = s
	:: else
	fi;
#endif
#ifndef NO_REPORT
	if
	:: until > reported -> reported = until
	:: else
	fi;
#endif
	acked[s] = 1
}

proctype Server() {
	do
	:: atomic { !left[running] && said[running] < NUMBERS -> said[running]++ }
	:: atomic { said[running] > 0 && !left[running] -> left[running] = 1 }
	/* The process crashes or departs, and the next one starts. */
	:: atomic { running < STARTS -> running++; latest = 0 }
	:: break
	od
}

proctype Node() {
	byte s, n;
	bit again;
	do
	:: atomic {
		select(s : 1 .. STARTS);
		select(n : 1 .. NUMBERS);
		if
		:: n <= said[s] && !waits -> hear(s, n)
		:: left[s] -> depart(s)
		:: else
		fi;
		s = 0; n = 0
	}
	:: atomic { !again ->
		again = 1;
		here = 0; newest = 0; number = 0; until = 0;
		most = 0; latest = 0;
#ifndef NO_RECALL
		recalling = 1
#endif
	}
	:: atomic { recalling ->
		recalling = 0;
		if
		:: reported > until -> until = reported
		:: else
		fi;
		if
		:: here && newest <= until -> here = 0
		:: else
		fi
	}
	od
}

init {
	atomic {
		run Server();
		run Node()
	}
}
