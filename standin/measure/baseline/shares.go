package baseline

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelwall"
)

// Shares gives each entry a fixed share of the slots of every executor.
type Shares struct {
	slotTable
	self       cornelwall.Incarnation
	machines   map[string]cornelwall.VM
	entryCount int // for which the slots were last assigned; 0 is never
}

var _ cornelwall.Placer = (*Shares)(nil)

// NewShares returns the placer for the entry self.
func NewShares(self cornelwall.Incarnation) *Shares {
	return &Shares{slotTable: newSlotTable(), self: self}
}

// SetMachines replaces the executors.
func (s *Shares) SetMachines(_ time.Time, all map[string]cornelwall.VM, _ []cornelwall.VM) {
	s.machines, s.entryCount = all, 0
}

// assignSlots assigns the slots of each executor to the entries round robin. The entry that gets
// the first slot depends on a hash of the name of the executor. It does nothing if the number of
// entries is unchanged.
func (s *Shares) assignSlots(peers []cornelwall.PeerCapacity) {
	if s.entryCount == len(peers)+1 {
		return
	}
	s.entryCount = len(peers) + 1
	index := 0
	for i := range peers {
		if peers[i].ID.Compare(s.self) < 0 {
			index++
		}
	}
	clear(s.capacity)
	for name, vm := range s.machines {
		if vm.Kind != cornelwall.Executor || vm.State != cornelwall.Live {
			continue
		}
		first := int(xxhash.Sum64String(name) % uint64(s.entryCount))
		for k := range vm.Slots {
			if (first+k)%s.entryCount == index {
				s.capacity[name]++
			}
		}
	}
	s.executors = slices.Sorted(maps.Keys(s.capacity))
}

// Place starts waiting tasks, each on the executor where this entry has most free slots.
func (s *Shares) Place(now time.Time, d cornelwall.PlacerHost) {
	s.retryAt = time.Time{}
	if d.Waiting(cornelwall.Need{}) == 0 {
		return
	}
	s.assignSlots(d.Peers())
	s.startTasks(d, func() (string, bool) {
		best, most := "", 0
		for _, name := range s.executors {
			if free := s.free(now, name); free > most {
				best, most = name, free
			}
		}
		return best, most > 0
	})
}
