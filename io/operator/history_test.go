package operator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/operator"
)

const (
	histories = 150
	operators = 4
	changes   = 6 // per operator
)

// simulation is a store and its operators, of whom one at a time takes a step between two
// calls of the store. The seed decides the order and the faults.
type simulation struct {
	rng               *rand.Rand
	pair              cornelwall.Pair
	highest           cornelwall.Profile
	delayedWrites     []func() // writes that take effect after their answer was lost
	ignoreRevision    bool     // writes do not compare
	rollbacks         int      // times that the store may go back
	previous          cornelwall.Pair
	rolledBackAt      int64  // when it went back
	versionAtRollback uint64 // the highest version written until then

	clock   int64
	history []porcupine.Operation
	waiting chan int
	resume  []chan struct{}
}

// request is what an operator asks for; a call without a change reads.
type request struct {
	change string
	expect uint64
}

// reply is what an operator was told.
type reply struct {
	accepted, unknown bool
	version           uint64
	change            string
}

// state is the profile in the model.
type state struct {
	version uint64
	change  string
}

// register is what operators may rely on: a change is made at once, on the version that
// it expects, or not at all, or it is not known which.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, in, out any) []any {
		st, c, o := s.(state), in.(request), out.(reply)
		next := state{st.version + 1, c.change}
		fits := c.expect == 0 || c.expect == st.version
		switch {
		case c.change == "" && (st != state{o.version, o.change}):
			return nil
		case c.change == "":
			return []any{st}
		case o.accepted && fits && o.version == next.version:
			return []any{next}
		case o.accepted:
			return nil
		case o.unknown && fits:
			return []any{st, next}
		}
		return []any{st}
	},
}).ToModel()

// operatorStore is one operator's way to the store.
type operatorStore struct {
	cornelwall.Store
	sim *simulation
	id  int
}

// waitForTurn waits until it is the operator's turn.
func (s *operatorStore) waitForTurn() {
	s.sim.waiting <- s.id
	<-s.sim.resume[s.id]
}

func (s *operatorStore) Get(_ context.Context, key string) (cornelwall.Pair, error) {
	s.waitForTurn()
	if s.sim.rng.IntN(8) == 0 {
		return cornelwall.Pair{}, cornelwall.ErrStore
	}
	p := s.sim.pair
	p.Key = key
	return p, nil
}

func (s *operatorStore) CompareAndSwap(_ context.Context, key string, old uint64, value []byte, _ int64) (bool, error) {
	s.waitForTurn()
	w := s.sim
	write := func() bool {
		if w.pair.Revision != old && !w.ignoreRevision {
			return false
		}
		w.previous = w.pair
		w.pair = cornelwall.Pair{Key: key, Value: value, Revision: w.pair.Revision + 1}
		if p, err := operator.Decode(w.pair); err == nil && p.Newer(&w.highest) {
			w.highest = p
		}
		return true
	}
	switch w.rng.IntN(6) {
	case 0:
		return false, cornelwall.ErrStore
	case 1:
		write()
		return false, cornelwall.ErrStore
	case 2:
		w.delayedWrites = append(w.delayedWrites, func() { write() })
		return false, cornelwall.ErrStore
	}
	return write(), nil
}

func (w *simulation) tick() int64 {
	w.clock++
	return w.clock
}

// runOperator makes the changes of one operator and records what it was told.
func (w *simulation) runOperator(id int) {
	s := &operatorStore{sim: w, id: id}
	c := &operator.Changer{Store: s, NewChangeID: func() string { return "" },
		LatestKnown: func(context.Context, string) (cornelwall.Profile, error) { return w.known(), nil }}
	s.waitForTurn()
	for i := range changes {
		in := request{change: fmt.Sprintf("operator-%d-%d", id, i)}
		if w.rng.IntN(3) == 0 {
			in.change = ""
		} else if w.rng.IntN(2) == 0 {
			in.expect = w.highest.Version
		}
		began := w.tick()
		out := w.send(c, s, in)
		ended := w.tick()
		if in.change == "" && out.unknown {
			continue // a read that failed tells nothing
		}
		if out.unknown {
			ended = 1 << 40 // it may take effect later
		}
		w.history = append(w.history, porcupine.Operation{ClientId: id, Input: in, Output: out, Call: began, Return: ended})
	}
	w.waiting <- -1
}

// known returns what the operator's entry knows: more than the store has only after the
// store went back in time.
func (w *simulation) known() cornelwall.Profile {
	if w.rollbacks < 0 {
		return w.highest
	}
	return cornelwall.Profile{Name: "holds"}
}

func (w *simulation) send(c *operator.Changer, s *operatorStore, in request) reply {
	if in.change == "" {
		pair, err := s.Get(context.Background(), operator.Prefix+"holds")
		if err != nil {
			return reply{unknown: true}
		}
		p, _ := operator.Decode(pair)
		return reply{version: p.Version, change: p.Change}
	}
	p := cornelwall.NewProfile()
	p.Name, p.Team = "holds", "bookings"
	p, err := c.Apply(context.Background(), p, operator.Preconditions{ChangeID: in.change, ExpectVersion: in.expect})
	return reply{accepted: err == nil, unknown: errors.Is(err, cornelwall.ErrStore), version: p.Version, change: p.Change}
}

// run lets the operators take turns until all have ended.
func (w *simulation) run() {
	w.waiting = make(chan int)
	var ready []int
	for range operators {
		w.resume = append(w.resume, make(chan struct{}))
	}
	for id := range operators {
		go w.runOperator(id)
		ready = append(ready, <-w.waiting)
	}
	for len(ready) > 0 {
		if len(w.delayedWrites) > 0 && w.rng.IntN(4) == 0 {
			w.delayedWrites[0]()
			w.delayedWrites = w.delayedWrites[1:]
		}
		if w.rollbacks > 0 && w.rng.IntN(10) == 0 {
			w.rollbacks = -1
			w.pair = w.previous
			w.rolledBackAt, w.versionAtRollback = w.tick(), w.highest.Version
		}
		i := w.rng.IntN(len(ready))
		w.resume[ready[i]] <- struct{}{}
		ready[i] = <-w.waiting
		if ready[i] < 0 {
			ready = append(ready[:i], ready[i+1:]...)
		}
	}
}

// simulate returns the worlds of all seeds after their histories.
func simulate(setup func(w *simulation)) []*simulation {
	var ws []*simulation
	for seed := range uint64(histories) {
		w := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), highest: cornelwall.Profile{Name: "holds"}}
		setup(w)
		w.run()
		ws = append(ws, w)
	}
	return ws
}

// TestHistoriesAreLinearizable checks that the changes of racing operators are linearizable, whatever
// happens to answers and writes.
func TestHistoriesAreLinearizable(t *testing.T) {
	accepted, unknown := 0, 0
	for seed, w := range simulate(func(*simulation) {}) {
		assert.Assert(t, porcupine.CheckOperations(registerModel, w.history), "seed %d: %+v", seed, w.history)
		for _, op := range w.history {
			if out := op.Output.(reply); out.accepted {
				accepted++
			} else if out.unknown {
				unknown++
			}
		}
	}
	t.Logf("%d histories: %d changes accepted, %d unknown", histories, accepted, unknown)
}

// TestHistoriesWithFaultsAreRejected checks that histories of deliberate faults are rejected.
func TestHistoriesWithFaultsAreRejected(t *testing.T) {
	for _, tt := range []struct {
		name  string
		setup func(w *simulation)
		alter func(out *reply)
	}{
		{"writes do not compare", func(w *simulation) { w.ignoreRevision = true }, func(*reply) {}},
		{"a lost answer is told as refused", func(*simulation) {}, func(out *reply) { out.unknown = false }},
		{"a lost answer is told as accepted", func(*simulation) {}, func(out *reply) { out.accepted = out.accepted || out.unknown }},
		{"the store goes back in time", func(w *simulation) { w.rollbacks = 1 }, func(*reply) {}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed, w := range simulate(tt.setup) {
				for i := range w.history {
					out := w.history[i].Output.(reply)
					tt.alter(&out)
					w.history[i].Output = out
				}
				if !porcupine.CheckOperations(registerModel, w.history) {
					t.Logf("rejected with seed %d", seed)
					return
				}
			}
			t.Error("no history was rejected")
		})
	}
}

// TestStoreRollback checks what is promised when the store goes back in time: a change that
// begins after that and is accepted has a higher version than all before it, so that it
// takes force at its entry. A change that is on its way meanwhile may be overwritten, since
// the store gives out its revisions again.
func TestStoreRollback(t *testing.T) {
	n := 0
	for seed, w := range simulate(func(w *simulation) { w.rollbacks = 1 }) {
		versions := map[uint64]bool{}
		for _, op := range w.history {
			out := op.Output.(reply)
			if w.rolledBackAt == 0 || !out.accepted || op.Call < w.rolledBackAt {
				continue
			}
			n++
			assert.Assert(t, out.version > w.versionAtRollback, "seed %d: accepted version %d, known was %d", seed, out.version, w.versionAtRollback)
			assert.Assert(t, !versions[out.version], "seed %d: version %d was accepted twice", seed, out.version)
			versions[out.version] = true
		}
	}
	assert.Assert(t, n > 0)
}
