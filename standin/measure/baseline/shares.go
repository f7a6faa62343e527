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
	slots
	self    cornelwall.Incarnation
	all     map[string]cornelwall.VM
	entries int // by which the slots were last dealt
}

var _ cornelwall.Placer = (*Shares)(nil)

// NewShares returns the placer of the entry self.
func NewShares(self cornelwall.Incarnation) *Shares { return &Shares{slots: newSlots(), self: self} }

// SetMachines replaces the executors.
func (s *Shares) SetMachines(_ time.Time, all map[string]cornelwall.VM, _ []cornelwall.VM) {
	s.all, s.entries = all, 0
}

// deal gives each slot of an executor to one of the entries in turn, beginning with
// another one for each executor.
func (s *Shares) deal(peers []cornelwall.PeerCapacity) {
	if s.entries == len(peers)+1 {
		return
	}
	s.entries = len(peers) + 1
	index := 0
	for i := range peers {
		if peers[i].ID.Compare(s.self) < 0 {
			index++
		}
	}
	clear(s.room)
	for name, vm := range s.all {
		if vm.Kind != cornelwall.Executor || vm.State != cornelwall.Live {
			continue
		}
		first := int(xxhash.Sum64String(name) % uint64(s.entries))
		for k := range vm.Slots {
			if (first+k)%s.entries == index {
				s.room[name]++
			}
		}
	}
	s.order = slices.Sorted(maps.Keys(s.room))
}

// Place starts waiting tasks on the executor with the most left of the share.
func (s *Shares) Place(now time.Time, d cornelwall.PlacerHost) {
	s.wake = time.Time{}
	if d.Waiting(cornelwall.Need{}) == 0 {
		return
	}
	s.deal(d.Peers())
	s.place(d, func() (string, bool) {
		best, most := "", 0
		for _, name := range s.order {
			if free := s.free(now, name); free > most {
				best, most = name, free
			}
		}
		return best, most > 0
	})
}
