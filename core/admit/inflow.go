package admit

import (
	"math"
	"time"
)

// inflowTime is the time over which the work that comes is averaged.
const loadWindow = 5 * time.Second

// OfferedLoad is how much work comes, in slots: slot time per time.
type OfferedLoad struct {
	slots     float64
	updatedAt time.Time
}

// Add records work that was admitted.
func (f *OfferedLoad) Add(now time.Time, work time.Duration) {
	f.slots = f.Slots(now) + work.Seconds()/loadWindow.Seconds()
	f.updatedAt = now
}

// Slots returns the slots that the work of the last seconds keeps busy.
func (f *OfferedLoad) Slots(now time.Time) float64 {
	return f.slots * math.Exp(-now.Sub(f.updatedAt).Seconds()/loadWindow.Seconds())
}
