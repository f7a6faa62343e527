/*
 * One profile, changed by OPERATORS operators through the store and held by ENTRIES entries.
 *
 * A change reads the profile and writes the next version if it is still the one that was
 * read. The answer to a write may be lost; the operator then reads the profile back. Word of
 * a version reaches the entries late, in any order, more than once or never, from the store
 * or from each other. With STORE_GOES_BACK the store may return to an older state.
 */
#define OPERATORS 2
#define ENTRIES   2
#define CHANGES   4  /* at most, so that versions are bounded */
#define MAXV      6

/* A value is a version and the change that wrote it, in one number. */
#define value(v, c)  ((v) * 8 + (c))
#define version(x)   ((x) / 8)

/* A change at its operator. */
#define IDLE     0
#define READ     1
#define WRITTEN  2 /* the answer is open */
#define SETTLING 3

byte store;                /* the value held */
byte old;                  /* an older value, to which the store may return */
bit  restored;
bit  told[64];             /* values that word has been sent of */
byte entry[ENTRIES];       /* the value in force */
byte op[OPERATORS];
byte read[OPERATORS];      /* the value that was read */
byte base[OPERATORS];      /* the newest of what was read and what its entry knows */
byte mine[OPERATORS];      /* the value to write */
bit  done[OPERATORS];      /* the write took effect */
byte knew[OPERATORS];      /* what its entry had in force then */
bit  taken[MAXV + 1];      /* versions that were written */
byte changes;              /* identities drawn */

inline accept(o) {
	assert(done[o]);
	assert(restored || version(store) >= version(mine[o])); /* in force or replaced */
	assert(mine[o] > knew[o]); /* it takes force at an entry that knew no newer one */
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
	/* The write takes effect or not; the operator learns of it or not. */
	:: atomic { op[o] == READ && unchanged(o) ->
		if
		:: old = store
		:: skip
		fi;
		assert(restored || !taken[version(mine[o])]); /* nothing is overwritten unseen */
		taken[version(mine[o])] = 1;
		store = mine[o];
		told[mine[o]] = 1;
		done[o] = 1;
		op[o] = WRITTEN }
	:: atomic { op[o] == READ && !unchanged(o) -> conflict(o) }
	:: atomic { op[o] == READ -> op[o] = SETTLING } /* the write was lost on its way */
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
		/* Another change has this version, so that this one can never take effect. */
		:: store != mine[o] && version(store) == version(mine[o]) && !restored -> conflict(o)
#ifdef LATER_IS_CONFLICT
		:: version(store) > version(mine[o]) -> conflict(o)
#endif
		:: else -> op[o] = IDLE /* not known, and said so */
		fi }
	od
}

/* Word of a value reaches an entry. */
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
