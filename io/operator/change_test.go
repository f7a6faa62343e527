package operator_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cornelwall"
	"cornelwall/io/operator"
	_ "cornelwall/standin/seeded"
)

// faultyStore is a single key of the platform's store. Reads and writes fail at random, and writes
// may fail before or after they take effect. It records the history of written profiles.
type faultyStore struct {
	cornelwall.Store
	t                *rapid.T
	pair             cornelwall.Pair
	history          []cornelwall.Profile
	concurrentChange func() // runs once, before a write or after a write whose answer is lost
}

func (s *faultyStore) Get(_ context.Context, key string) (cornelwall.Pair, error) {
	if rapid.IntRange(0, 5).Draw(s.t, "read") == 0 {
		return cornelwall.Pair{}, cornelwall.ErrStore
	}
	p := s.pair
	p.Key = key
	return p, nil
}

func (s *faultyStore) CompareAndSwap(_ context.Context, key string, old uint64, value []byte, _ int64) (bool, error) {
	if s.concurrentChange != nil && rapid.Bool().Draw(s.t, "concurrent change first") {
		s.runConcurrentChange()
	}
	fault := rapid.SampledFrom([]string{"none", "none", "before", "after"}).Draw(s.t, "write")
	if fault == "before" {
		return false, cornelwall.ErrStore
	}
	if s.pair.Revision != old {
		return false, nil
	}
	s.pair = cornelwall.Pair{Key: key, Value: value, Revision: old + 1}
	p, err := operator.Decode(s.pair)
	assert.NilError(s.t, err)
	s.history = append(s.history, p)
	if fault == "after" {
		s.runConcurrentChange()
		return false, cornelwall.ErrStore
	}
	return true, nil
}

// runConcurrentChange runs the concurrent change if it has not run yet.
func (s *faultyStore) runConcurrentChange() {
	if change := s.concurrentChange; change != nil {
		s.concurrentChange = nil
		change()
	}
}

// timesWritten returns how many times a change was written.
func (s *faultyStore) timesWritten(change string) int {
	n := 0
	for _, p := range s.history {
		if p.Change == change {
			n++
		}
	}
	return n
}

// latest returns the newest version that was ever written.
func (s *faultyStore) latest() cornelwall.Profile {
	if len(s.history) == 0 {
		return cornelwall.Profile{Name: "holds"}
	}
	return s.history[len(s.history)-1]
}

// operatorChange is a change requested by an operator.
type operatorChange struct {
	profile cornelwall.Profile
	retire  bool
	pre     operator.Preconditions
}

func (a *operatorChange) send(c *operator.Changer) (cornelwall.Profile, error) {
	if a.retire {
		return c.Retire(context.Background(), "holds", a.pre)
	}
	return c.Apply(context.Background(), a.profile, a.pre)
}

// TestConcurrentChanges runs concurrent changes of operators on a store that fails and loses
// answers. It checks that the results are correct: an accepted change was made exactly once, a
// rejected one was not made, and versions only increase.
func TestConcurrentChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &faultyStore{t: t}
		rolledBack := false // the store was rolled back
		id := ""            // ID of a change without preconditions
		c := &operator.Changer{Store: s, NewChangeID: func() string { return id },
			LatestKnown: func(context.Context, string) (cornelwall.Profile, error) {
				if !rolledBack && rapid.Bool().Draw(t, "entry behind") {
					return cornelwall.Profile{Name: "holds"}, nil
				}
				return s.latest(), nil
			}}
		count := 0
		newChange := func() *operatorChange {
			count++
			a := &operatorChange{profile: cornelwall.NewProfile(), retire: rapid.IntRange(0, 15).Draw(t, "retire") == 0}
			a.profile.Name, a.profile.Team, a.profile.Queue = "holds", "bookings", count
			a.pre = operator.Preconditions{ChangeID: fmt.Sprint("c", count), ExpectVersion: s.latest().Version}
			if stale := rapid.Uint64Range(0, 2).Draw(t, "stale"); stale > 1 && a.pre.ExpectVersion > 1 {
				a.pre.ExpectVersion--
			}
			a.pre.Create = a.pre.ExpectVersion == 0
			if rapid.IntRange(0, 3).Draw(t, "no preconditions") == 0 {
				a.pre = operator.Preconditions{}
			}
			return a
		}
		send := func(a *operatorChange, again bool) {
			id = fmt.Sprint("d", count)
			change := cmp.Or(a.pre.ChangeID, id)
			p, err := a.send(c)
			written := s.timesWritten(change)
			switch {
			case err == nil:
				assert.Equal(t, written, 1, "accepted")
				assert.Equal(t, p.Change, change)
			case errors.Is(err, cornelwall.ErrStore):
				assert.Assert(t, written <= 1, "outcome unknown")
			case again:
				assert.Assert(t, written <= 1, "rejected when sent again")
				assert.Assert(t, rolledBack || s.latest().Change != change, "the newest change was rejected: %v", err)
			default:
				assert.Equal(t, written, 0, "rejected: %v", err)
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			a := newChange()
			if rapid.Bool().Draw(t, "race") {
				s.concurrentChange = func() { send(newChange(), false) }
			}
			send(a, false)
			for range rapid.IntRange(0, 2).Draw(t, "repeats") {
				if a.pre.ChangeID != "" {
					send(a, true)
				}
			}
			s.concurrentChange = nil
			if rapid.IntRange(0, 9).Draw(t, "rollback") == 0 {
				rolledBack = true
				s.pair.Value, s.pair.Revision = nil, 0
			}
		}
		for i := 1; i < len(s.history); i++ {
			assert.Equal(t, s.history[i].Version, s.history[i-1].Version+1)
			assert.Assert(t, !s.history[i-1].Retired, "a retired profile was changed")
		}
	})
}
