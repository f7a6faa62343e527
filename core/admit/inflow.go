package admit

import (
	"math"
	"time"
)

// inflowTime is the time over which the work that comes is averaged.
const inflowTime = 5 * time.Second

// Inflow is how much work comes, in slots: slot time per time.
type Inflow struct {
	rate float64
	at   time.Time
}

// Add records work that was admitted.
func (f *Inflow) Add(now time.Time, work time.Duration) {
	f.rate = f.Rate(now) + work.Seconds()/inflowTime.Seconds()
	f.at = now
}

// Rate returns the slots that the work of the last seconds keeps busy.
func (f *Inflow) Rate(now time.Time) float64 {
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/inflowTime.Seconds())
}
