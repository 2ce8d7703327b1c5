/*
 * Which response counts for which request on kept connections (crates/swiftcart-core,
 * conn_history.rs; the sender is exchange.rs of the node).
 *
 * A sender hands two requests that may run once each to one backend server over two kept
 * connections. The backend server runs a request or rejects it, and may send any response a second
 * time at any later moment, with the id of its request or without. The sender repeats a request
 * only after a response that says it did not run. A connection with a response that does not count
 * is closed. Responses nobody waits for may be noticed, which closes the connection, or not.
 *
 * Promises:
 *   - no request runs twice;
 *   - no request runs after its caller was told that it did not run;
 *   - a caller that is told of a success is told so of its own request, which has run.
 *
 * Guards, each of which -D removes from the model:
 *   NO_ONCE    a connection carries a request once
 *   NO_ID      a response with the id of another request does not count
 *   NO_FIRST   a response without an id counts only on a connection that carried nothing else
 *
 * spin -a exchange.pml && cc -DSAFETY -O2 -o pan pan.c && ./pan -E -m100000
 * spin -DNO_ONCE -a exchange.pml && ...
 */

#define CONNS 2
#define REQUESTS 2
#define SENDS 3		/* number of times that a request may be sent */
#define COPIES 2	/* number of responses that come a second time */
#define OPENED 3	/* number of times that a connection is opened anew */
#define NO_REQUEST 2	/* id of a response without an id */

mtype = { RAN, REJECTED };
mtype = { WAITING, SENT, DONE, REFUSED, UNKNOWN };

/* Responses on the way, in order: the id in the response, the request that caused it, the kind. */
chan wire[CONNS] = [4] of { byte, byte, mtype };

/* The sender's connections. */
bit busy[CONNS];
byte uses[CONNS];
byte carried[CONNS];	/* bit set of the requests that the connection carried */

/* The requests. */
mtype state[REQUESTS] = WAITING;
byte sent[REQUESTS];
byte conn[REQUESTS];
byte runs[REQUESTS];

/* A second response that the backend server still owes to each connection. */
bit owed[CONNS];
byte owed_request[CONNS];
mtype owed_kind[CONNS];

byte copies;
byte opened;

inline close(c) {
	do
	:: nempty(wire[c]) -> wire[c]?_, _, _
	:: empty(wire[c]) -> break
	od;
	owed[c] = 0;
	uses[c] = 0;
	carried[c] = 0;
	busy[c] = 0;
	opened++;
}

/* The backend server gets request r on connection c, and responds at once. */
inline serve(c, r) {
	if
	:: runs[r]++; wire[c]!r, r, RAN; kind = RAN
	:: wire[c]!r, r, REJECTED; kind = REJECTED
	fi;
	if
	:: copies < COPIES && !owed[c] ->
		copies++;
		owed[c] = 1;
		owed_request[c] = r;
		owed_kind[c] = kind
	:: true
	fi;
}

proctype Sender(byte r) {
	byte c;
	byte id;
	byte cause;
	mtype kind;
	do
	:: atomic { (state[r] == WAITING && sent[r] < SENDS) ->
		if
		:: c = 0
		:: c = 1
		fi;
		if
#ifndef NO_ONCE
		:: busy[c] || (carried[c] & (1 << r))
#else
		:: busy[c]
#endif
			-> skip		/* takes the other connection, or waits */
		:: else ->
			busy[c] = 1;
			uses[c]++;
			carried[c] = carried[c] | (1 << r);
			conn[r] = c;
			sent[r]++;
			state[r] = SENT;
			serve(c, r)
		fi
	   }
	:: atomic { (state[r] == SENT && nempty(wire[conn[r]])) ->
		c = conn[r];
		wire[c]?id, cause, kind;
		if
#ifndef NO_ID
		:: id != r && id != NO_REQUEST
#else
		:: false
#endif
#ifndef NO_FIRST
		:: id == NO_REQUEST && uses[c] > 1
#endif
			-> state[r] = UNKNOWN;
			close(c)
		:: else ->
			busy[c] = 0;
			if
			:: kind == REJECTED && sent[r] < SENDS -> state[r] = WAITING
			:: kind == REJECTED && sent[r] == SENDS -> state[r] = REFUSED
			:: kind == RAN ->
				assert(cause == r);
				state[r] = DONE
			fi
		fi
	   }
	:: atomic { (state[r] == DONE || state[r] == REFUSED || state[r] == UNKNOWN) -> break }
	od
}

/* The second responses, and what happens to idle connections. */
active proctype Network() {
	byte c;
end:
	do
	:: atomic { (owed[0] || owed[1]) ->
		if
		:: owed[0] -> c = 0
		:: owed[1] -> c = 1
		fi;
		owed[c] = 0;
		if
		:: wire[c]!owed_request[c], owed_request[c], owed_kind[c]
		:: wire[c]!NO_REQUEST, owed_request[c], owed_kind[c]
		fi
	   }
	:: atomic { (opened < OPENED && !busy[0]) -> close(0) }
	:: atomic { (opened < OPENED && !busy[1]) -> close(1) }
	od
}

/* Checked in every state. */
active proctype Promises() {
end:
	do
	:: atomic { (runs[0] > 1 || runs[1] > 1) -> assert(false) }
	:: atomic { ((state[0] == REFUSED && runs[0] > 0) || (state[1] == REFUSED && runs[1] > 0)) ->
		assert(false) }
	od
}

init {
	atomic {
		run Sender(0);
		run Sender(1)
	}
}
