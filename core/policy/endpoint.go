package policy

import "time"

const (
	// Costs that are added to the thousandths of cores that are left over. Each outweighs those below it.
	sharedSuspectCost = 1 << 22 // of a suspected task beside others
	slowCost          = 1 << 20
	besideSuspectCost = 1 << 19 // of a task beside a suspected one
	avoidCost         = 1 << 18
	otherRackCost     = 1 << 16
)

// EndpointOption is an endpoint on which a run fits.
type EndpointOption struct {
	CoresLeft int     // once the run has started, in thousandths
	Slowdown  float64 // of the endpoint
	IsSlow    bool
	MayTry    bool      // a trial run may start on the slow endpoint
	Avoid     bool      // the last run of the task went wrong there
	OtherRack bool      // the data of the task is elsewhere
	Runs      int       // that are there
	Suspicion Suspicion // of the task
	Beside    Suspicion // highest of the runs there
}

// Cost returns the cost of starting a run on the endpoint. The choice is best fit, so that large tasks
// find room too; slow endpoints, the one to avoid and those of other racks come last. A slow
// endpoint gets a run only if that meets its target there, can't meet it anywhere, or is a trial;
// otherwise ok is false. A suspected task gets an empty endpoint if there is one, and one that is to be
// isolated gets no other.
func (o *EndpointOption) Cost(now time.Time, w *Waiting) (cost int, ok bool) {
	cost = o.CoresLeft
	if o.Runs > 0 {
		if max(o.Suspicion, o.Beside) >= Isolated {
			return 0, false
		}
		if o.Suspicion == Suspected {
			cost += sharedSuspectCost
		}
		if o.Beside == Suspected {
			cost += besideSuspectCost
		}
	}
	if o.IsSlow {
		end := now.Add(time.Duration(o.Slowdown * float64(w.Estimate)))
		if !o.MayTry && end.After(w.targetEnd(now)) {
			return 0, false
		}
		cost += slowCost
	}
	if o.Avoid {
		cost += avoidCost
	}
	if o.OtherRack {
		cost += otherRackCost
	}
	return cost, true
}
