package baseline

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cornelwall"
)

const (
	tries = 8                    // executors looked at for one start
	pause = 5 * time.Millisecond // when none of them is free
)

// Random tries executors at random, the better of two by what this entry has there, and
// others when they refuse.
type Random struct {
	slots
	rand *rand.Rand
}

var _ cornelwall.Placer = (*Random)(nil)

// NewRandom returns a placer whose choices follow from the seed.
func NewRandom(seed uint64) *Random {
	return &Random{slots: newSlots(), rand: rand.New(rand.NewPCG(seed, 3))}
}

// SetMachines replaces the executors.
func (s *Random) SetMachines(_ time.Time, all map[string]cornelwall.VM, _ []cornelwall.VM) {
	clear(s.room)
	for name, vm := range all {
		if vm.Kind == cornelwall.Executor && vm.State == cornelwall.Live {
			s.room[name] = vm.Slots
		}
	}
	s.order = slices.Sorted(maps.Keys(s.room))
}

// Place starts waiting tasks.
func (s *Random) Place(now time.Time, d cornelwall.PlacerHost) {
	s.wake = time.Time{}
	if len(s.order) == 0 {
		return
	}
	s.place(d, func() (string, bool) {
		for range tries {
			a, b := s.order[s.rand.IntN(len(s.order))], s.order[s.rand.IntN(len(s.order))]
			if s.free(now, b) > s.free(now, a) {
				a = b
			}
			if s.free(now, a) > 0 {
				return a, true
			}
		}
		return "", false
	})
	if d.Waiting(cornelwall.Need{}) > 0 && s.wake.IsZero() {
		s.wake = now.Add(pause)
	}
}
