package policy

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	maxReservedShare  = 0.25 // of the endpoints of a holder that may be reserved at a time
	reserveAfterShare = 0.25 // of the time that a run may wait; after it an endpoint is reserved
)

// Occupied is a run on an endpoint: what it takes, and when it is expected to end.
type Occupied struct {
	Need cornelwall.Resources
	Ends time.Time
}

// EarliestFit returns when a need fits on an endpoint with free resources, given the expected ends of the runs
// there. It is never before now. If the need does not fit even without the runs, ok is false. It sorts runs.
func EarliestFit(now time.Time, need, free cornelwall.Resources, runs []Occupied) (at time.Time, ok bool) {
	slices.SortFunc(runs, func(a, b Occupied) int { return a.Ends.Compare(b.Ends) })
	at = now
	for i := 0; !need.Fits(free); i++ {
		if i == len(runs) {
			return at, false
		}
		free = free.Plus(runs[i].Need)
		if runs[i].Ends.After(at) {
			at = runs[i].Ends
		}
	}
	return at, true
}

// Reservation keeps an endpoint free for a large run, as small ones would otherwise take each place that becomes
// free before enough of them are free at once.
type Reservation struct {
	Need cornelwall.Resources
	At   time.Time // when the run is expected to fit
}

// Allows reports whether another run may start on the reserved endpoint: it fits beside the one that the endpoint is
// reserved for, or ends before that can start.
func (r *Reservation) Allows(need, free cornelwall.Resources, ends time.Time) bool {
	return need.Plus(r.Need).Fits(free) || !ends.After(r.At)
}

// MayReserve reports whether an endpoint may be reserved for a run that waits since a time: the run can still be on
// time, and has waited for reserveAfterShare of the time that it may wait.
func (w *Waiting) MayReserve(now, since time.Time) bool {
	latest := w.Due.Add(-w.Estimate)
	return !now.After(latest) && now.Sub(since) >= time.Duration(reserveAfterShare*float64(latest.Sub(since)))
}

// MaxReservations returns how many endpoints of a holder may be reserved at a time.
func MaxReservations(held int) int { return int(maxReservedShare * float64(held)) }
