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
	changes   = 6 // requests per operator, reads included
)

// simulation runs concurrent operators on a store. Only one operator runs at a time, until its
// next call of the store. The seed determines the schedule and the faults.
type simulation struct {
	rng               *rand.Rand
	pair              cornelwall.Pair
	highest           cornelwall.Profile
	delayedWrites     []func() // writes that take effect some time after their answer was lost
	ignoreRevision    bool     // writes do not compare the revision
	rollbacks         int      // 1 while the store is still to be rolled back, -1 once it was, 0 for no rollback
	previous          cornelwall.Pair
	rolledBackAt      int64  // time of the rollback; 0 before it
	versionAtRollback uint64 // the highest version written before it

	clock   int64
	history []porcupine.Operation
	waiting chan int
	resume  []chan struct{}
}

// request is an operator's change, or a read if change is empty.
type request struct {
	change string
	expect uint64
}

// reply is the result of a request, as the operator sees it.
type reply struct {
	accepted, unknown bool
	version           uint64
	change            string
}

// state is the state of the profile in the model.
type state struct {
	version uint64
	change  string
}

// registerModel is the specification: a change is made atomically on the version that it expects,
// or not at all, or it is unknown which of the two.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, in, out any) []any {
		st, req, rep := s.(state), in.(request), out.(reply)
		next := state{st.version + 1, req.change}
		fits := req.expect == 0 || req.expect == st.version
		switch {
		case req.change == "" && (st != state{rep.version, rep.change}):
			return nil
		case req.change == "":
			return []any{st}
		case rep.accepted && fits && rep.version == next.version:
			return []any{next}
		case rep.accepted:
			return nil
		case rep.unknown && fits:
			return []any{st, next}
		}
		return []any{st}
	},
}).ToModel()

// operatorStore is the store as one operator uses it.
type operatorStore struct {
	cornelwall.Store
	sim *simulation
	id  int
}

// waitForTurn yields to the simulation and waits until it resumes the operator.
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
	sim := s.sim
	write := func() bool {
		if sim.pair.Revision != old && !sim.ignoreRevision {
			return false
		}
		sim.previous = sim.pair
		sim.pair = cornelwall.Pair{Key: key, Value: value, Revision: sim.pair.Revision + 1}
		if p, err := operator.Decode(sim.pair); err == nil && p.Newer(&sim.highest) {
			sim.highest = p
		}
		return true
	}
	switch sim.rng.IntN(6) {
	case 0:
		return false, cornelwall.ErrStore
	case 1:
		write()
		return false, cornelwall.ErrStore
	case 2:
		sim.delayedWrites = append(sim.delayedWrites, func() { write() })
		return false, cornelwall.ErrStore
	}
	return write(), nil
}

func (sim *simulation) tick() int64 {
	sim.clock++
	return sim.clock
}

// runOperator sends the requests of one operator and records their replies.
func (sim *simulation) runOperator(id int) {
	s := &operatorStore{sim: sim, id: id}
	c := &operator.Changer{Store: s, NewChangeID: func() string { return "" },
		LatestKnown: func(context.Context, string) (cornelwall.Profile, error) { return sim.known(), nil }}
	s.waitForTurn()
	for i := range changes {
		in := request{change: fmt.Sprintf("operator-%d-%d", id, i)}
		if sim.rng.IntN(3) == 0 {
			in.change = ""
		} else if sim.rng.IntN(2) == 0 {
			in.expect = sim.highest.Version
		}
		called := sim.tick()
		out := sim.send(c, s, in)
		returned := sim.tick()
		if in.change == "" && out.unknown {
			continue // a failed read gives no information
		}
		if out.unknown {
			returned = 1 << 40 // it may take effect later
		}
		sim.history = append(sim.history, porcupine.Operation{ClientId: id, Input: in, Output: out, Call: called, Return: returned})
	}
	sim.waiting <- -1
}

// known returns the highest version that the operator's entry knows. Only after the rollback is
// that more than the store has.
func (sim *simulation) known() cornelwall.Profile {
	if sim.rollbacks < 0 {
		return sim.highest
	}
	return cornelwall.Profile{Name: "holds"}
}

func (sim *simulation) send(c *operator.Changer, s *operatorStore, in request) reply {
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

// run resumes the operators in random order, one at a time, until all have ended.
func (sim *simulation) run() {
	sim.waiting = make(chan int)
	var ready []int
	for range operators {
		sim.resume = append(sim.resume, make(chan struct{}))
	}
	for id := range operators {
		go sim.runOperator(id)
		ready = append(ready, <-sim.waiting)
	}
	for len(ready) > 0 {
		if len(sim.delayedWrites) > 0 && sim.rng.IntN(4) == 0 {
			sim.delayedWrites[0]()
			sim.delayedWrites = sim.delayedWrites[1:]
		}
		if sim.rollbacks > 0 && sim.rng.IntN(10) == 0 {
			sim.rollbacks = -1
			sim.pair = sim.previous
			sim.rolledBackAt, sim.versionAtRollback = sim.tick(), sim.highest.Version
		}
		i := sim.rng.IntN(len(ready))
		sim.resume[ready[i]] <- struct{}{}
		ready[i] = <-sim.waiting
		if ready[i] < 0 {
			ready = append(ready[:i], ready[i+1:]...)
		}
	}
}

// simulate runs a simulation for each seed and returns them.
func simulate(setup func(sim *simulation)) []*simulation {
	var sims []*simulation
	for seed := range uint64(histories) {
		sim := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), highest: cornelwall.Profile{Name: "holds"}}
		setup(sim)
		sim.run()
		sims = append(sims, sim)
	}
	return sims
}

// TestHistoriesAreLinearizable checks that the changes of concurrent operators are linearizable
// when writes fail, are delayed or lose their answers.
func TestHistoriesAreLinearizable(t *testing.T) {
	accepted, unknown := 0, 0
	for seed, sim := range simulate(func(*simulation) {}) {
		assert.Assert(t, porcupine.CheckOperations(registerModel, sim.history), "seed %d: %+v", seed, sim.history)
		for _, op := range sim.history {
			if out := op.Output.(reply); out.accepted {
				accepted++
			} else if out.unknown {
				unknown++
			}
		}
	}
	t.Logf("%d histories: %d changes accepted, %d unknown", histories, accepted, unknown)
}

// TestHistoriesWithFaultsAreRejected checks that the linearizability check finds injected faults.
func TestHistoriesWithFaultsAreRejected(t *testing.T) {
	for _, tt := range []struct {
		name  string
		setup func(sim *simulation)
		alter func(out *reply)
	}{
		{"writes do not compare the revision", func(sim *simulation) { sim.ignoreRevision = true }, func(*reply) {}},
		{"a lost answer is reported as rejected", func(*simulation) {}, func(out *reply) { out.unknown = false }},
		{"a lost answer is reported as accepted", func(*simulation) {}, func(out *reply) { out.accepted = out.accepted || out.unknown }},
		{"the store is rolled back", func(sim *simulation) { sim.rollbacks = 1 }, func(*reply) {}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed, sim := range simulate(tt.setup) {
				for i := range sim.history {
					out := sim.history[i].Output.(reply)
					tt.alter(&out)
					sim.history[i].Output = out
				}
				if !porcupine.CheckOperations(registerModel, sim.history) {
					t.Logf("rejected with seed %d", seed)
					return
				}
			}
			t.Error("no history was rejected")
		})
	}
}

// TestStoreRollback checks the guarantee after the store was rolled back: an accepted change that
// began after the rollback has a higher version than all before it, so that it comes into force
// at its entry. A change in progress during the rollback may be overwritten, since the store
// assigns the same revisions again.
func TestStoreRollback(t *testing.T) {
	accepted := 0
	for seed, sim := range simulate(func(sim *simulation) { sim.rollbacks = 1 }) {
		versions := map[uint64]bool{}
		for _, op := range sim.history {
			out := op.Output.(reply)
			if sim.rolledBackAt == 0 || !out.accepted || op.Call < sim.rolledBackAt {
				continue
			}
			accepted++
			assert.Assert(t, out.version > sim.versionAtRollback, "seed %d: accepted version %d, but version %d was known", seed, out.version, sim.versionAtRollback)
			assert.Assert(t, !versions[out.version], "seed %d: version %d was accepted twice", seed, out.version)
			versions[out.version] = true
		}
	}
	assert.Assert(t, accepted > 0)
}
