/*
 * Refutation in the membership protocol (crates/swiftcart-core, member).
 *
 * Two nodes observe a third one, the subject. The observers may accuse it wrongly, once in
 * total. Two messages are in flight: each copies what some node holds at any moment, and is
 * delivered to any node, at any later moment and any number of times, as if a paused node
 * resumed and spread it. The subject may restart once, without memory and with a clock that
 * went back, and may crash for good.
 *
 * Promise, for every fair run: eventually both observers permanently hold the subject's own
 * latest news if it answers, and permanently hold it dead if it crashed.
 *
 * News is ordered by incarnation, then alive < suspect < dead; the greater one wins.
 *
 * Guards, each of which -D removes from the model:
 *   NO_REFUTE    the subject answers an accusation with a greater incarnation
 *   NO_STEP      it also takes a greater incarnation than news from an earlier life of its own
 *   NO_TELL      a probe tells the subject what the prober holds about it
 *   NO_LOOK      dead nodes are probed from time to time
 *   NO_ORDER     older news never replaces newer news
 *   NO_REMEMBER  dead nodes are remembered
 *
 * spin -a refute.pml && cc -O2 -o pan pan.c && ./pan -a -f -m1000000
 * spin -DNO_REFUTE -a refute.pml && ...
 */

#define OBSERVERS 2
#ifndef ACCUSATIONS
#define ACCUSATIONS 1   /* the promise also holds with 2, in six times the run time */
#endif
#define GREATEST 6      /* bound on the incarnation; not reached with all guards in place */
#define NOTHING 255

#define ALIVE 0
#define SUSPECT 1
#define DEAD 2

/* One number encodes incarnation, liveness and life. The life does not affect the order. */
#define news(inc, live, life) ((inc) * 6 + (live) * 2 + (life))
#define rank(n) ((n) / 2)
#define inc_of(n) ((n) / 6)
#define live_of(n) (((n) / 2) % 3)
#define life_of(n) ((n) % 2)

/* The subject. */
bit up = 1;
byte inc;
bit life;

byte view[OBSERVERS];
byte message[2] = NOTHING;
byte budget = ACCUSATIONS;

#define self news(inc, ALIVE, life)
#define settled \
	((up && view[0] == self && view[1] == self) || \
	(!up && live_of(view[0]) == DEAD && live_of(view[1]) == DEAD && \
	view[0] != NOTHING && view[1] != NOTHING))

#ifdef NO_REMEMBER
#define forgets(w) (view[w] != NOTHING && live_of(view[w]) == DEAD)
#else
#define forgets(w) false
#endif

inline merge(w, n) {
	if
#ifdef NO_ORDER
	:: true -> view[w] = n
#else
	:: view[w] == NOTHING || forgets(w) || rank(n) > rank(view[w]) -> view[w] = n
	:: else
#endif
	fi
}

#ifdef NO_STEP
#define accused(n) (inc_of(n) >= inc && live_of(n) != ALIVE)
#else
#define accused(n) (inc_of(n) > inc || (inc_of(n) == inc && n != self))
#endif

/* The subject receives what another node holds about it. */
inline hear(n) {
	if
#ifndef NO_REFUTE
	:: n != NOTHING && accused(n) && inc_of(n) < GREATEST -> inc = inc_of(n) + 1
#endif
	:: else
	fi
}

/* The observers probe in turn, for ever, independently of the other processes. */
proctype Probe() {
	byte w;
	do
	:: atomic {
	w = 1 - w;
	if
#ifdef NO_LOOK
	:: up && live_of(view[w]) == DEAD
	:: up && live_of(view[w]) != DEAD ->
#else
	:: up ->
#endif
#ifndef NO_TELL
		hear(view[w]);
#endif
		merge(w, self)
	:: !up && live_of(view[w]) == ALIVE ->
		view[w] = news(inc_of(view[w]), SUSPECT, life_of(view[w]))
	:: !up && live_of(view[w]) == SUSPECT ->
		view[w] = news(inc_of(view[w]), DEAD, life_of(view[w]))
	:: !up && live_of(view[w]) == DEAD
	fi }
	od
}

proctype Network() {
	byte w, n;
	do
	/* A wrong accusation, and a suspicion that is not refuted in time. */
	:: atomic { budget > 0 && up -> select(w : 0 .. 1);
		if
		:: live_of(view[w]) == ALIVE ->
			budget--;
			view[w] = news(inc_of(view[w]), SUSPECT, life_of(view[w]))
		:: else
		fi; w = 0 }
	:: atomic { select(w : 0 .. 1);
		if
		:: live_of(view[w]) == SUSPECT ->
			view[w] = news(inc_of(view[w]), DEAD, life_of(view[w]))
		:: else
		fi; w = 0 }

	/* The subject restarts once, or crashes for good. */
	:: atomic { life == 0 && up -> life = 1; inc = 0 }
	:: atomic { up -> up = 0 }

	/* A message copies what some node holds, or is delivered. */
	:: atomic { select(w : 0 .. 1); select(n : 0 .. 1);
		if
		:: message[n] = view[w]
		:: up -> message[n] = self
		:: message[n] != NOTHING -> merge(w, message[n])
		:: message[n] != NOTHING && up -> hear(message[n])
		fi; w = 0; n = 0 }
	od
}

init {
	atomic {
		run Probe();
		run Network()
	}
}

ltl settles { <>[] settled }
