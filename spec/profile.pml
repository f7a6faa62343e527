/*
 * Changes of one profile by OPERATORS operators, through the store, with ENTRIES entries that
 * apply them.
 *
 * A change reads the profile and writes the next version with a compare-and-swap. The answer to
 * a write may be lost; the operator then reads the profile back. Updates with a version reach
 * the entries late, in any order, more than once or never, from the store or from each other.
 * With STORE_GOES_BACK the store may be restored to an older state.
 */
#define OPERATORS 2
#define ENTRIES   2
#define CHANGES   4  /* at most, to bound the versions */
#define MAXV      6

/* A value encodes a version and the ID of the change that wrote it in one number. */
#define value(v, c)  ((v) * 8 + (c))
#define version(x)   ((x) / 8)

/* State of a change at its operator. */
#define IDLE     0
#define READ     1
#define WRITTEN  2 /* the answer has not arrived */
#define SETTLING 3 /* the outcome of the write is not known; the profile is read back */

byte store;                /* the value in the store */
byte old;                  /* an older value, to which the store may be restored */
bit  restored;
bit  told[64];             /* values of which updates have been sent */
byte entry[ENTRIES];       /* the value in force */
byte op[OPERATORS];
byte read[OPERATORS];      /* the value that was read */
byte base[OPERATORS];      /* the newer of the value read and the value in force at its entry */
byte mine[OPERATORS];      /* the value to write */
bit  done[OPERATORS];      /* the write took effect */
byte knew[OPERATORS];      /* the value in force at its entry when the change began */
bit  taken[MAXV + 1];      /* versions that were written */
byte changes;              /* number of change IDs assigned */

inline accept(o) {
	assert(done[o]);
	assert(restored || version(store) >= version(mine[o])); /* in the store or replaced */
	assert(mine[o] > knew[o]); /* newer than what was in force at its entry */
	op[o] = IDLE
}

inline conflict(o) {
	assert(!done[o]); /* a refused change never takes effect */
	op[o] = IDLE
}

#ifdef KNOWN_IGNORED
#define known(o) 0
#else
#define known(o) entry[o]
#endif

#ifdef WRITE_WITHOUT_COMPARING
#define unchanged(o) true
#else
#define unchanged(o) (store == read[o])
#endif

proctype Operator(byte o) {
	do
	:: atomic { op[o] == IDLE && changes < CHANGES ->
		read[o] = store;
		base[o] = read[o];
		knew[o] = entry[o];
		if
		:: known(o) > base[o] -> base[o] = known(o)
		:: else -> skip
		fi;
		if
		:: version(base[o]) < MAXV ->
			changes++;
			mine[o] = value(version(base[o]) + 1, changes);
			done[o] = 0;
			op[o] = READ
		:: else -> skip
		fi }
	/* The write takes effect or not, and its answer arrives or is lost. */
	:: atomic { op[o] == READ && unchanged(o) ->
		if
		:: old = store
		:: skip
		fi;
		assert(restored || !taken[version(mine[o])]); /* no version is overwritten without having been read */
		taken[version(mine[o])] = 1;
		store = mine[o];
		told[mine[o]] = 1;
		done[o] = 1;
		op[o] = WRITTEN }
	:: atomic { op[o] == READ && !unchanged(o) -> conflict(o) }
	:: atomic { op[o] == READ -> op[o] = SETTLING } /* the write was lost in transit */
	:: atomic { op[o] == WRITTEN -> accept(o) }
	:: atomic { op[o] == WRITTEN ->
#ifdef LOST_IS_REFUSED
		conflict(o)
#else
		op[o] = SETTLING
#endif
		}
	:: atomic { op[o] == SETTLING ->
		if
		:: store == mine[o] -> accept(o)
		/* Another change wrote this version, so that this change can never take effect. */
		:: store != mine[o] && version(store) == version(mine[o]) && !restored -> conflict(o)
#ifdef LATER_IS_CONFLICT
		:: version(store) > version(mine[o]) -> conflict(o)
#endif
		:: else -> op[o] = IDLE /* answered as unknown */
		fi }
	od
}

/* An update with a value reaches an entry. */
proctype Entry(byte e) {
	byte v;
	do
	:: atomic {
		v = 0;
		do
		:: v < 63 -> v++
		:: break
		od;
		if
		:: told[v] ->
#ifdef LAST_WORD_COUNTS
			assert(version(v) >= version(entry[e]));
			entry[e] = v
#else
			if
			:: v > entry[e] -> entry[e] = v
			:: else -> skip
			fi
#endif
		:: else -> skip
		fi;
		v = 0 }
	od
}

#ifdef STORE_GOES_BACK
proctype Restore() {
	atomic { store != old -> store = old; restored = 1 }
}
#endif

init {
	atomic {
		run Operator(0); run Operator(1);
		run Entry(0); run Entry(1)
#ifdef STORE_GOES_BACK
		; run Restore()
#endif
	}
}
