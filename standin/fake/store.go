package fake

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"cornelwall"
)

var errDown = errors.New("store is down")

// Store is a fake of the platform's key-value service. Tests inject faults through its fields.
type Store struct {
	Delay       time.Duration      // of each answer
	Down        bool               // every call fails without effect
	LoseAnswers int                // number of next writes that take effect but report an error
	Unreachable func(h *Host) bool // reports the hosts that cannot reach the store; nil is none
	Decode      func(cornelwall.Pair) (cornelwall.Profile, error)
	Prefix      string // of the keys of profiles; empty: watches get no profiles
	Gets, Swaps int    // StoreGet and StoreCreate commands of hosts

	revision uint64
	pairs    map[string]cornelwall.Pair
	watchers []*Host
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{pairs: map[string]cornelwall.Pair{}} }

// Get reads a key.
func (s *Store) Get(key string) cornelwall.Pair {
	p := s.pairs[key]
	p.Key = key
	return p
}

// CompareAndSwap writes a key if its revision equals old, and reports whether it did. A key that
// does not exist has revision 0.
func (s *Store) CompareAndSwap(key string, old uint64, value []byte) bool {
	if s.pairs[key].Revision != old {
		return false
	}
	s.revision++
	s.pairs[key] = cornelwall.Pair{Key: key, Value: value, Revision: s.revision}
	return true
}

// Snapshot returns a copy of the content, for Restore.
func (s *Store) Snapshot() map[string]cornelwall.Pair { return maps.Clone(s.pairs) }

// Restore resets the content to a snapshot. Revisions keep growing.
func (s *Store) Restore(pairs map[string]cornelwall.Pair) { s.pairs = maps.Clone(pairs) }

// NotifyWatchers sends a changed profile to the watching hosts that reach the store.
func (s *Store) NotifyWatchers(w *World, key string) {
	for _, h := range s.watchers {
		if h.watching && s.reachableFrom(h) {
			if p, err := s.Decode(s.pairs[key]); err == nil {
				w.PostAfter(s.Delay, h, cornelwall.WatchUpdate{Profiles: []cornelwall.Profile{p}})
			}
		}
	}
}

func (s *Store) reachableFrom(h *Host) bool {
	return !s.Down && (s.Unreachable == nil || !s.Unreachable(h))
}

// ResyncWatchers sends all profiles to every watching host that reaches the store, as the
// periodic probe of the real watch does.
func (s *Store) ResyncWatchers(w *World) {
	for _, h := range s.watchers {
		if h.watching && s.reachableFrom(h) {
			w.PostAfter(s.Delay, h, cornelwall.WatchUpdate{Profiles: s.profiles(), All: true})
		}
	}
}

func (s *Store) profiles() []cornelwall.Profile {
	var ps []cornelwall.Profile
	for _, key := range slices.Sorted(maps.Keys(s.pairs)) {
		if s.Prefix == "" || !strings.HasPrefix(key, s.Prefix) {
			continue
		}
		if p, err := s.Decode(s.pairs[key]); err == nil {
			ps = append(ps, p)
		}
	}
	slices.SortFunc(ps, func(p, q cornelwall.Profile) int { return cmp.Compare(p.Name, q.Name) })
	return ps
}

// handle executes a command of a host.
func (s *Store) handle(w *World, h *Host, cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.SetWatch:
		if !h.watching && cmd.On {
			s.watchers = append(slices.DeleteFunc(s.watchers, func(v *Host) bool { return v == h }), h)
		}
		h.watching = cmd.On
		if cmd.On && s.reachableFrom(h) {
			w.PostAfter(s.Delay, h, cornelwall.WatchUpdate{Profiles: s.profiles(), All: true})
		}
	case cornelwall.StoreGet:
		s.Gets++
		ev := cornelwall.StoreResult{ID: cmd.ID, Pair: s.Get(cmd.Key)}
		if !s.reachableFrom(h) {
			ev = cornelwall.StoreResult{ID: cmd.ID, Err: errDown}
		}
		w.PostAfter(s.Delay, h, ev)
	case cornelwall.StoreCreate:
		s.Swaps++
		ev := cornelwall.StoreResult{ID: cmd.ID, Err: errDown}
		if s.reachableFrom(h) {
			ev = cornelwall.StoreResult{ID: cmd.ID, Created: s.CompareAndSwap(cmd.Key, 0, cmd.Value)}
			if ev.Created && cmd.TTL > 0 {
				s.scheduleExpiry(w, cmd.Key, cmd.TTL)
			}
			if s.LoseAnswers > 0 {
				s.LoseAnswers--
				ev = cornelwall.StoreResult{ID: cmd.ID, Err: errDown}
			}
		}
		w.PostAfter(s.Delay, h, ev)
	}
}

// scheduleExpiry deletes a key after its TTL, unless it has been written again.
func (s *Store) scheduleExpiry(w *World, key string, ttl time.Duration) {
	revision := s.pairs[key].Revision
	w.CallAfter(ttl, func() {
		if s.pairs[key].Revision == revision {
			delete(s.pairs, key)
		}
	})
}
