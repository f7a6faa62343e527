package admit

import (
	"math"
	"time"
)

// loadWindow is the time constant of the moving average of the admitted load.
const loadWindow = 5 * time.Second

// AdmittedLoad is the moving average of the work that is admitted, in slots (slot time per unit of
// time).
type AdmittedLoad struct {
	slots     float64
	updatedAt time.Time
}

// Add records work that was admitted.
func (l *AdmittedLoad) Add(now time.Time, work time.Duration) {
	l.slots = l.Slots(now) + work.Seconds()/loadWindow.Seconds()
	l.updatedAt = now
}

// Slots returns the number of slots that the recently admitted work keeps busy.
func (l *AdmittedLoad) Slots(now time.Time) float64 {
	return l.slots * math.Exp(-now.Sub(l.updatedAt).Seconds()/loadWindow.Seconds())
}
