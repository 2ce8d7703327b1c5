/*
 * Distribution of configuration versions to a node (crates/swiftcart-core, feed).
 *
 * The model follows one node across its restarts; the other nodes behave alike. Records and
 * complete states reach it in any order, any number of times and from any sender: any record
 * of the log, and any state that was ever reached, may arrive at any moment. Before the node
 * puts a version in force it reports the version to two peers, and one answer is enough; a
 * report may arrive late, twice or never. The node and its peers restart without memory, and
 * the peers may be at any version. The platform may become unreachable and reachable again at
 * any moment.
 *
 * Promises:
 *   - the node puts no version in force that is older than one it had in force, in any life
 *     (a life is the time between two restarts);
 *   - the version in force is complete: every record, and both halves of the view.
 *
 * Assumption (the remaining risk that docs/design.md names): when the node joins while the
 * platform is unreachable, some peer received a report of its last version and has not
 * restarted since, or has that version itself.
 *
 * Guards, each of which -D removes from the model:
 *   NO_GREATER     ignore states that are older than the own one
 *   NO_GAP         ignore records that do not follow the last one
 *   NO_WITNESS     put a version in force only once another node knows it
 *   NO_MAX         a witness keeps the greatest report, not the last one
 *   NO_HEAD        a joiner reads to the end of the platform's log
 *   NO_FLOOR       a joiner without the platform reaches the greatest answer of its peers
 *   NO_SWAP        a view is replaced in one step
 *   NO_ASSUMPTION  the assumption above
 *
 * spin -a distribute.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan -E -m1000000
 * spin -DNO_FLOOR -a distribute.pml && ...
 */

#define PEERS 2
#define V 3             /* versions; record v produces version v */

byte published;
bit outage;

/* The node. */
byte position;
byte content;           /* one bit for each record that was folded */
bit joined;             /* may serve requests */
byte head;              /* the end of the log as read at the join, plus one; 0: not read */
byte acked;             /* the greatest version that a peer acknowledged */
byte reports;           /* one bit for each version that was reported and may arrive */
byte force;             /* the version in force: the two halves of the view */
byte other;
byte high;              /* the greatest version in force in any life */

/* The peers: what they know of the node, and their own version. */
byte known[PEERS];
byte own[PEERS];

/* State for the assumption only; the nodes do not use it. */
byte heard[PEERS];
#define at_least(w) (heard[w] >= high || own[w] >= high)
#ifdef NO_WITNESS
bit changed;            /* a peer has restarted since the last version */
#define quiet (!changed)
#else
#define quiet false
#endif
#ifdef NO_ASSUMPTION
#define remembered true
#else
#define remembered (at_least(0) || at_least(1) || quiet)
#endif

hidden byte floor;

#define bit_of(v) (1 << ((v) - 1))
#define whole(v) ((1 << (v)) - 1)
#define max(a, b) (a > b -> a : b)

/* Takes a record from the platform or from another node. */
inline take_record(v) {
#ifdef NO_GAP
	v > position;
#else
	v == position + 1;
#endif
	position = v;
	content = content | bit_of(v)
}

/* Takes a complete state from a node that reached it. */
inline take_state(v) {
#ifndef NO_GREATER
	v > position;
#endif
	position = v;
	content = whole(v)
}

inline take_report(w, v) {
#ifdef NO_MAX
	known[w] = v;
#else
	known[w] = max(v, known[w]);
#endif
	heard[w] = max(v, heard[w]);
	acked = max(v, acked)
}

inline enforce() {
	assert(position >= high);
	assert((content & whole(position)) == whole(position));
	high = position;
	force = position;
#ifdef NO_WITNESS
	changed = 0;
#endif
#ifndef NO_SWAP
	other = force
#endif
}

/* The greatest answer of the peers: what they know of the node, or their own version. */
inline ask() {
	floor = max(known[0], known[1]);
	floor = max(floor, own[0]);
	floor = max(floor, own[1])
}

proctype Node() {
	byte v;
	do
	/* Records and complete states arrive in any order. */
	:: atomic { select(v : 1 .. V); v <= published; take_record(v); v = 0 }
	:: atomic { select(v : 1 .. V); v <= published; take_state(v); v = 0 }

	/* Join. */
	:: atomic { !joined && !outage && head == 0 -> head = published + 1 }
#ifdef NO_HEAD
	:: atomic { !joined && head > 0 -> joined = 1 }
#else
	:: atomic { !joined && head > 0 && position + 1 >= head -> joined = 1 }
#endif
	:: d_step { !joined && outage && remembered ->
		ask();
		if
#ifdef NO_FLOOR
		:: true -> joined = 1
#else
		:: floor > 0 && position >= floor -> joined = 1
		:: else
#endif
		fi;
		floor = 0
	}

	/* Report a version to the peers, then put it in force. */
	:: atomic { joined && position > force && (reports & bit_of(position)) == 0 ->
		reports = reports | bit_of(position) }
	:: atomic { select(v : 1 .. V); (reports & bit_of(v)) != 0; take_report(0, v); v = 0 }
	:: atomic { select(v : 1 .. V); (reports & bit_of(v)) != 0; take_report(1, v); v = 0 }
#ifdef NO_WITNESS
	:: atomic { joined && position != force -> enforce() }
#else
	:: atomic { joined && position != force && acked >= position -> enforce() }
#endif
#ifdef NO_SWAP
	:: atomic { other != force -> other = force }
#endif

	/* A request sees both halves of the view at the same version. */
	:: atomic { joined -> assert(force == other) }

	/* Restart. Reports sent before it may arrive after it. */
	:: d_step { position = 0; content = 0; joined = 0; head = 0; acked = 0;
		force = 0; other = 0 }
	od
}

proctype Peer(byte w) {
	do
	:: atomic { own[w] < published -> own[w]++ }
	/* Restart. */
	:: d_step { known[w] = 0; heard[w] = 0; own[w] = 0;
#ifdef NO_WITNESS
		changed = 1
#endif
	}
	od
}

proctype Platform() {
	do
	:: atomic { !outage && published < V -> published++ }
	:: outage = 1 - outage
	od
}

init {
	atomic {
		run Node();
		run Peer(0);
		run Peer(1);
		run Platform()
	}
}
