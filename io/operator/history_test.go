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

// world is a store and its operators, of whom one at a time takes a step between two
// calls of the store. The seed decides the order and the faults.
type world struct {
	rng     *rand.Rand
	pair    cornelwall.Pair
	highest cornelwall.Profile
	late    []func() // writes that take effect after their answer was lost
	blind   bool     // writes do not compare
	backs   int      // times that the store may go back
	old     cornelwall.Pair
	back    int64  // when it went back
	floor   uint64 // the highest version written until then

	clock   int64
	history []porcupine.Operation
	parked  chan int
	resume  []chan struct{}
}

// call is what an operator asks for; a call without a change reads.
type call struct {
	change string
	expect uint64
}

// told is what an operator was told.
type told struct {
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
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, in, out any) []any {
		st, c, o := s.(state), in.(call), out.(told)
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

// seat is one operator's way to the store.
type seat struct {
	cornelwall.Store
	w  *world
	id int
}

// turn waits until it is the operator's turn.
func (s *seat) turn() {
	s.w.parked <- s.id
	<-s.w.resume[s.id]
}

func (s *seat) Get(_ context.Context, key string) (cornelwall.Pair, error) {
	s.turn()
	if s.w.rng.IntN(8) == 0 {
		return cornelwall.Pair{}, cornelwall.ErrStore
	}
	p := s.w.pair
	p.Key = key
	return p, nil
}

func (s *seat) CompareAndSwap(_ context.Context, key string, old uint64, value []byte, _ int64) (bool, error) {
	s.turn()
	w := s.w
	write := func() bool {
		if w.pair.Revision != old && !w.blind {
			return false
		}
		w.old = w.pair
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
		w.late = append(w.late, func() { write() })
		return false, cornelwall.ErrStore
	}
	return write(), nil
}

func (w *world) tick() int64 {
	w.clock++
	return w.clock
}

// operate makes the changes of one operator and records what it was told.
func (w *world) operate(id int) {
	s := &seat{w: w, id: id}
	c := &operator.Changer{Store: s, Draw: func() string { return "" },
		Known: func(context.Context, string) (cornelwall.Profile, error) { return w.known(), nil }}
	s.turn()
	for i := range changes {
		in := call{change: fmt.Sprintf("operator-%d-%d", id, i)}
		if w.rng.IntN(3) == 0 {
			in.change = ""
		} else if w.rng.IntN(2) == 0 {
			in.expect = w.highest.Version
		}
		began := w.tick()
		out := w.make(c, s, in)
		ended := w.tick()
		if in.change == "" && out.unknown {
			continue // a read that failed tells nothing
		}
		if out.unknown {
			ended = 1 << 40 // it may take effect later
		}
		w.history = append(w.history, porcupine.Operation{ClientId: id, Input: in, Output: out, Call: began, Return: ended})
	}
	w.parked <- -1
}

// known returns what the operator's entry knows: more than the store has only after the
// store went back in time.
func (w *world) known() cornelwall.Profile {
	if w.backs < 0 {
		return w.highest
	}
	return cornelwall.Profile{Name: "holds"}
}

func (w *world) make(c *operator.Changer, s *seat, in call) told {
	if in.change == "" {
		pair, err := s.Get(context.Background(), operator.Prefix+"holds")
		if err != nil {
			return told{unknown: true}
		}
		p, _ := operator.Decode(pair)
		return told{version: p.Version, change: p.Change}
	}
	p := cornelwall.NewProfile()
	p.Name, p.Team = "holds", "bookings"
	p, err := c.Apply(context.Background(), p, operator.Terms{Change: in.change, Expect: in.expect})
	return told{accepted: err == nil, unknown: errors.Is(err, cornelwall.ErrStore), version: p.Version, change: p.Change}
}

// run lets the operators take turns until all have ended.
func (w *world) run() {
	w.parked = make(chan int)
	var ready []int
	for range operators {
		w.resume = append(w.resume, make(chan struct{}))
	}
	for id := range operators {
		go w.operate(id)
		ready = append(ready, <-w.parked)
	}
	for len(ready) > 0 {
		if len(w.late) > 0 && w.rng.IntN(4) == 0 {
			w.late[0]()
			w.late = w.late[1:]
		}
		if w.backs > 0 && w.rng.IntN(10) == 0 {
			w.backs = -1
			w.pair = w.old
			w.back, w.floor = w.tick(), w.highest.Version
		}
		i := w.rng.IntN(len(ready))
		w.resume[ready[i]] <- struct{}{}
		ready[i] = <-w.parked
		if ready[i] < 0 {
			ready = append(ready[:i], ready[i+1:]...)
		}
	}
}

// play returns the worlds of all seeds after their histories.
func play(setup func(w *world)) []*world {
	var ws []*world
	for seed := range uint64(histories) {
		w := &world{rng: rand.New(rand.NewPCG(seed, 2)), highest: cornelwall.Profile{Name: "holds"}}
		setup(w)
		w.run()
		ws = append(ws, w)
	}
	return ws
}

// TestHistories checks that the changes of racing operators are linearizable, whatever
// happens to answers and writes.
func TestHistories(t *testing.T) {
	accepted, unknown := 0, 0
	for seed, w := range play(func(*world) {}) {
		assert.Assert(t, porcupine.CheckOperations(register, w.history), "seed %d: %+v", seed, w.history)
		for _, op := range w.history {
			if out := op.Output.(told); out.accepted {
				accepted++
			} else if out.unknown {
				unknown++
			}
		}
	}
	t.Logf("%d histories: %d changes accepted, %d unknown", histories, accepted, unknown)
}

// TestHistoriesOfFaults checks that histories of deliberate faults are rejected.
func TestHistoriesOfFaults(t *testing.T) {
	for _, tt := range []struct {
		name  string
		setup func(w *world)
		alter func(out *told)
	}{
		{"writes do not compare", func(w *world) { w.blind = true }, func(*told) {}},
		{"a lost answer is told as refused", func(*world) {}, func(out *told) { out.unknown = false }},
		{"a lost answer is told as accepted", func(*world) {}, func(out *told) { out.accepted = out.accepted || out.unknown }},
		{"the store goes back in time", func(w *world) { w.backs = 1 }, func(*told) {}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed, w := range play(tt.setup) {
				for i := range w.history {
					out := w.history[i].Output.(told)
					tt.alter(&out)
					w.history[i].Output = out
				}
				if !porcupine.CheckOperations(register, w.history) {
					t.Logf("rejected with seed %d", seed)
					return
				}
			}
			t.Error("no history was rejected")
		})
	}
}

// TestStoreGoesBack checks what is promised when the store goes back in time: a change that
// begins after that and is accepted has a higher version than all before it, so that it
// takes force at its entry. A change that is on its way meanwhile may be overwritten, since
// the store gives out its revisions again.
func TestStoreGoesBack(t *testing.T) {
	n := 0
	for seed, w := range play(func(w *world) { w.backs = 1 }) {
		versions := map[uint64]bool{}
		for _, op := range w.history {
			out := op.Output.(told)
			if w.back == 0 || !out.accepted || op.Call < w.back {
				continue
			}
			n++
			assert.Assert(t, out.version > w.floor, "seed %d: accepted version %d, known was %d", seed, out.version, w.floor)
			assert.Assert(t, !versions[out.version], "seed %d: version %d was accepted twice", seed, out.version)
			versions[out.version] = true
		}
	}
	assert.Assert(t, n > 0)
}
