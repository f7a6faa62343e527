package dispatch

import (
	"testing"
	"time"

	"cornelwall"
)

// TestReserveWithWrongNumberOfClasses takes word of a peer that tells its queue by fewer classes than
// there are.
func TestReserveWithWrongNumberOfClasses(t *testing.T) {
	for _, queued := range [][]int{nil, {}, {1}, {1, 2, 3, 4, 5}} {
		v := holderView{freeCapacity: cornelwall.FreeCapacity{Total: 16000, Queued: queued}}
		v.reserve(cornelwall.Resources{Cores: 8000}, cornelwall.FreeCapacityClasses+1, time.Second)
	}
}
