package baseline

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cornelwall"
)

const (
	pairsPerStart = 8                    // pairs of executors that are drawn for one start
	retryDelay    = 5 * time.Millisecond // when none of them has a free slot
)

// Random places each task by the power of two choices: it draws two executors and takes the one
// with more free slots in the view of this entry. A refused start is retried elsewhere.
type Random struct {
	slotTable
	rand *rand.Rand
}

var _ cornelwall.Placer = (*Random)(nil)

// NewRandom returns a placer whose random choices are determined by the seed.
func NewRandom(seed uint64) *Random {
	return &Random{slotTable: newSlotTable(), rand: rand.New(rand.NewPCG(seed, 3))}
}

// SetMachines replaces the executors.
func (s *Random) SetMachines(_ time.Time, all map[string]cornelwall.VM, _ []cornelwall.VM) {
	clear(s.capacity)
	for name, vm := range all {
		if vm.Kind == cornelwall.Executor && vm.State == cornelwall.Live {
			s.capacity[name] = vm.Slots
		}
	}
	s.executors = slices.Sorted(maps.Keys(s.capacity))
}

// Place starts waiting tasks.
func (s *Random) Place(now time.Time, d cornelwall.PlacerHost) {
	s.retryAt = time.Time{}
	if len(s.executors) == 0 {
		return
	}
	s.startTasks(d, func() (string, bool) {
		for range pairsPerStart {
			a, b := s.executors[s.rand.IntN(len(s.executors))], s.executors[s.rand.IntN(len(s.executors))]
			if s.free(now, b) > s.free(now, a) {
				a = b
			}
			if s.free(now, a) > 0 {
				return a, true
			}
		}
		return "", false
	})
	if d.Waiting(cornelwall.Need{}) > 0 && s.retryAt.IsZero() {
		s.retryAt = now.Add(retryDelay)
	}
}
