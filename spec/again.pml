/*
 * Second run of one task on another endpoint.
 *
 * The owner of the job assigns the task to the entry that holds endpoint x (the holder), which
 * starts it on x under a lease. Once the owner considers the run ended, it starts the task on
 * another endpoint, y. The task must never run on both at the same time.
 *
 * The holder sends session heartbeats (here: pulses) to the owner. Each reply carries the age of
 * the last pulse that the owner received; it is the holder's proof of contact. Pulses and replies
 * are delayed or lost. The holder checks the age of its proof before any other action, and may
 * be paused for any time. Requests to the endpoint, its answers and messages are delayed without
 * a bound. Another entry may take over the endpoint at any time, under a higher fence.
 *
 * With GIVING_UP the owner may also give the task up: it answers its caller, which hands the task to another
 * owner once PATIENCE has passed. The request to stop the run may be lost, but each reply that is sent after
 * it carries it too.
 *
 * Time passes in ticks. Ages and remaining lease times are counted in ticks, up to CAP.
 */
#define LEASE    2 /* that a request grants at most */
#define PROOF    1 /* the holder stops the run once its last proof is older */
#ifdef SHORT_PATIENCE
#define PATIENCE (PROOF + 1)
#else
#define PATIENCE (PROOF + LEASE + 1) /* the owner considers the run ended after this long without a pulse */
#endif
#define CAP      (PROOF + LEASE + 2)
#define NONE     (CAP + 1) /* no message is in transit */

/* The task at its owner. */
#define ASSIGNED 0
#define OVER     1
#define AGAIN    2
#define GIVENUP  3
byte task = ASSIGNED;

/* The run at the holder. */
#define AWAITED  0 /* the assignment has not arrived */
#define STARTED  1 /* the start request was sent */
#define STOPPING 2
#define ENDED    3
byte state = AWAITED;
byte rest;          /* upper bound of the remaining lease, as known to the holder */
bit  newSession;    /* the holder has begun a new session, and has started nothing since */
bit  taken;         /* the endpoint has acknowledged the start */

bit x, y;           /* the task runs on this endpoint */
byte lease;         /* remaining lease at x */
bit stopped;        /* x has received the stop request and will not start the run */
bit fenced;         /* another entry has taken over x, under a higher fence */

/* Messages in transit. */
bit  assign = 1, startOut, extendOut, stopOut, answerOut, endOut, takenOut;
byte startRest, extendRest;
bit  lookOut, lookBack;
bit  lookSettled;   /* the start was acknowledged when the poll (look) was sent */
bit  lookLists;     /* the poll result lists the run */
byte pulse = NONE, proof = NONE; /* age of the pulse in transit; age that the reply in transit carries */
#ifdef GIVING_UP
bit  proofStops;    /* the reply in transit carries that the task was given up */
byte givenUp;       /* ticks since the owner gave the task up */
#endif

byte heard;         /* ticks since the owner last received a pulse */
byte seen;          /* age of the last pulse that the owner received */
byte proven;        /* age of the last pulse that the holder knows the owner received */

#define unproven (proven > PROOF && !newSession)
#ifdef ACTS_BEFORE_CHECK
#define inTouch  true
#else
#define inTouch  !unproven
#endif

inline older(age) {
	if
	:: age < CAP -> age++
	:: else -> skip
	fi
}

inline shorter(left) {
	if
	:: left > 0 -> left--
	:: else -> skip
	fi
}

inline begin() {
	assert(!y);
	x = 1
}

active proctype System() {
	do
	/* Time passes. The run at x ends when its lease expires. */
	:: atomic {
		shorter(lease);
		if
		:: lease == 0 -> x = 0
		:: else -> skip
		fi;
		shorter(startRest); shorter(extendRest); shorter(rest);
		older(heard); older(seen); older(proven);
#ifdef GIVING_UP
		if
		:: task == GIVENUP -> older(givenUp)
		:: else -> skip
		fi;
#endif
		if
		:: pulse < CAP -> pulse++
		:: else -> skip
		fi;
		if
		:: proof < CAP -> proof++
		:: else -> skip
		fi }

	/* Pulses and their replies. */
	:: atomic { pulse == NONE && inTouch -> pulse = 0 }
	:: atomic { pulse != NONE -> heard = 0; seen = pulse; pulse = NONE }
	:: atomic { pulse != NONE -> pulse = NONE }
#ifdef GIVING_UP
	:: atomic { proof == NONE && seen < CAP -> proof = seen;
#ifndef SILENT_GIVING_UP
		proofStops = (task == GIVENUP)
#endif
		}
	:: atomic { proof != NONE && inTouch ->
		if
		:: proof < proven -> proven = proof
		:: else -> skip
		fi;
		if
		:: proofStops && state == STARTED -> state = STOPPING; stopOut = 1
		:: proofStops && state == AWAITED -> state = ENDED; assign = 0
		:: else -> skip
		fi;
		proof = NONE; proofStops = 0 }
	:: atomic { proof != NONE -> proof = NONE; proofStops = 0 }
#else
	:: atomic { proof == NONE && seen < CAP -> proof = seen }
	:: atomic { proof != NONE && inTouch ->
		if
		:: proof < proven -> proven = proof
		:: else -> skip
		fi;
		proof = NONE }
	:: atomic { proof != NONE -> proof = NONE }
#endif

	/* The holder. */
	:: atomic { unproven -> newSession = 1;
		if
		:: state == STARTED -> state = STOPPING; stopOut = 1
		:: else -> skip
		fi }
	:: atomic { assign && inTouch ->
		assign = 0;
#ifdef OLD_SESSION
		state = STARTED; startOut = 1; startRest = LEASE; rest = LEASE
#else
		if
		:: !newSession -> state = STARTED; startOut = 1; startRest = LEASE; rest = LEASE
		:: else -> state = ENDED; endOut = 1
		fi
#endif
		}
	:: atomic { state == STARTED && !extendOut && inTouch -> extendOut = 1; extendRest = LEASE; rest = LEASE }
	:: atomic { answerOut && inTouch -> answerOut = 0; taken = 1 }
	:: atomic { (state == STARTED || state == STOPPING) && !lookOut && !lookBack && inTouch -> lookOut = 1; lookSettled = taken }
	:: atomic { lookBack && inTouch ->
		lookBack = 0;
		if
#ifdef EARLY_LOOK
		:: !lookLists && (state == STARTED || state == STOPPING) -> state = ENDED; endOut = 1
#else
		:: !lookLists && lookSettled && (state == STARTED || state == STOPPING) -> state = ENDED; endOut = 1
#endif
		:: else -> skip
		fi }
	:: atomic { (state == STARTED || state == STOPPING) && rest == 0 && inTouch -> state = ENDED; endOut = 1 }

	/* The endpoint. */
	:: atomic { startOut ->
		startOut = 0;
		if
#ifdef NO_FENCE
		:: startRest > 0 && !stopped ->
#else
#ifdef LATE_STARTS
		:: !stopped && !fenced ->
#else
		:: startRest > 0 && !stopped && !fenced ->
#endif
#endif
			begin();
			answerOut = 1;
			if
			:: lease < startRest -> lease = startRest
			:: else -> skip
			fi;
			if
			:: lease == 0 -> lease = 1
			:: else -> skip
			fi
		:: else -> skip
		fi }
	:: atomic { extendOut ->
		extendOut = 0;
		if
		:: x && !fenced && lease < extendRest -> lease = extendRest
		:: else -> skip
		fi }
	:: atomic { stopOut -> stopOut = 0; stopped = 1; x = 0 }
	:: atomic { stopOut -> stopOut = 0 } /* the request is lost */
	:: atomic { lookOut -> lookOut = 0;
		if
		:: !fenced -> lookBack = 1; lookLists = x
		:: else -> skip
		fi }

	/* Another entry takes over the endpoint: it stops runs that it does not know, and reports
	 * the takeover once a poll lists none of them. */
	:: atomic { !fenced -> fenced = 1 }
	:: atomic { fenced && x -> x = 0 }
#ifdef TAKEN_AT_ONCE
	:: atomic { fenced && !takenOut -> takenOut = 1 }
#else
	:: atomic { fenced && !x && !takenOut -> takenOut = 1 }
#endif

	/* The owner. */
	:: atomic { task == ASSIGNED && endOut -> endOut = 0; task = OVER }
	:: atomic { task == ASSIGNED && takenOut && state != AWAITED -> takenOut = 0; task = OVER }
	:: atomic { task == ASSIGNED && heard >= PATIENCE -> task = OVER }
#ifdef GIVING_UP
	:: atomic { task == ASSIGNED -> task = GIVENUP }
	:: atomic { task == GIVENUP && givenUp >= PATIENCE -> givenUp = 0; task = OVER }
#endif
	:: atomic { task == OVER -> task = AGAIN; assert(!x); y = 1 }
	od
}
