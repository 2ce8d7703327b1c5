/*
 * Which drain order for a failure domain a node follows (crates/swiftcart-core, drain.rs).
 *
 * An operator alternately drains a failure domain and takes it back: orders at odd places drain
 * it, orders at even places take it back. An order reaches a node at any later moment, in any
 * sequence and any number of times, either by itself or in a list of all orders in force. A list
 * omits an order that was taken back. A list may be as old as any place.
 *
 * Promises:
 *   - a node never goes back to an order older than one that it followed;
 *   - it follows the newest order that it has heard of, by itself or by a list that lacks an
 *     older one.
 *
 * Guards, each of which -D removes from the model:
 *   NO_PLACE   a later place wins
 *   NO_LACK    a list ends the older orders that it lacks
 *   NO_LATER   a list does not end later orders
 *   NO_LAST    the place of a list is the last one that it covers, not the next one
 *   NO_COVER   an order that a list covers and that is not known was taken back
 *
 * spin -a drain.pml && cc -DSAFETY -O2 -o pan pan.c && ./pan -E -m100000
 * spin -DNO_PLACE -a drain.pml && ...
 */

#define ORDERS 5
#ifdef NO_COVER
#define known 0
#else
#define known covered
#endif

#define DRAINS(p) ((p) % 2 == 1)

/* The last place that the operator has written. */
byte top;

/* The order that the node follows: its place, and whether it drains. */
byte place;
bit drained;

/* The last place that any received list covered. */
byte covered;

/* The newest order that the node has heard of; used only to check the promises. */
byte heard;

inline follow(p, d) {
	place = p;
	drained = d;
}

inline take(p) {
#ifndef NO_PLACE
	if
	:: p > place && p > known -> follow(p, DRAINS(p))
	:: else
	fi;
#else
	follow(p, DRAINS(p));
#endif
	if
	:: p > heard -> heard = p
	:: else
	fi
}

/* Takes a list that covers all places up to p: it has the order at p if that drains, else none. */
inline take_list(p) {
	if
	:: DRAINS(p) -> take(p)
	:: else ->
#ifndef NO_LACK
		if
#ifndef NO_LATER
		:: drained && place < p ->
#else
		:: drained ->
#endif
#ifndef NO_LAST
			follow(p, 0)
#else
			follow(p + 1, 0)
#endif
		:: else
		fi;
#endif
		if
		:: p > heard -> heard = p
		:: else
		fi
	fi;
	if
	:: p > covered -> covered = p
	:: else
	fi
}

proctype Operator() {
	do
	:: atomic { top < ORDERS -> top++ }
	:: break
	od
}

proctype Node() {
	byte p;
	do
	:: atomic {
		top > 0 ->
		select(p : 1 .. top);
		if
		:: skip; take(p)
		:: skip; take_list(p)
		fi;
		assert(drained == DRAINS(heard));
		p = 0
	   }
	:: break
	od
}

init {
	atomic { run Operator(); run Node() }
}
