package dispatch

import (
	"testing"
	"time"

	"cornelwall"
)

// TestReserveWithWrongNumberOfClasses reserves capacity of a peer that reports its queue by fewer
// or more classes than there are, which must not panic.
func TestReserveWithWrongNumberOfClasses(t *testing.T) {
	for _, queued := range [][]int{nil, {}, {1}, {1, 2, 3, 4, 5}} {
		v := holderView{freeCapacity: cornelwall.FreeCapacity{Total: 16000, Queued: queued}}
		v.reserve(cornelwall.Resources{Cores: 8000}, cornelwall.FreeCapacityClasses+1, time.Second)
	}
}
