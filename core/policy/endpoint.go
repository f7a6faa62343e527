package policy

import "time"

const (
	slowCost      = 1 << 20 // this and the next two are added to the thousandths of cores that are left over
	avoidCost     = 1 << 18
	otherRackCost = 1 << 16
)

// EndpointOption is an endpoint on which a run fits.
type EndpointOption struct {
	CoresLeft int     // once the run has started, in thousandths
	Slowdown  float64 // of the endpoint
	IsSlow    bool
	MayTry    bool // a trial run may start on the slow endpoint
	Avoid     bool // the last run of the task went wrong there
	OtherRack bool // the data of the task is elsewhere
}

// Cost returns the cost of starting a run on the endpoint. The choice is best fit, so that large tasks
// find room too; slow endpoints, the one to avoid and those of other racks come last. A slow
// endpoint gets a run only if that meets its target there, can't meet it anywhere, or is a trial;
// otherwise ok is false.
func (o *EndpointOption) Cost(now time.Time, w *Waiting) (cost int, ok bool) {
	cost = o.CoresLeft
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
