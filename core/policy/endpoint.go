package policy

import (
	"math"
	"slices"
	"time"
)

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
	Pace      float64   // slowdown that a run there is expected to have; used by EndpointChoice only
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

// EndpointChoice chooses the endpoint for a run among those on which it fits. Without placement by speed
// it takes the endpoint with the lowest cost.
//
// With placement by speed it compares, in this order:
//   - the part of the cost that outweighs the cores left over;
//   - the slowdown: the slowest endpoint on which the run is in time, so that fast ones are left to runs
//     that need them, or the fastest if the run is in time on none;
//   - best fit, among endpoints whose slowdowns differ by less than alikeFactor.
//
// A choice can be used again after Reset.
type EndpointChoice struct {
	now       time.Time
	run       *Waiting
	bySpeed   bool
	usualNeed int     // in thousandths of cores; 0 if not known
	maxPace   float64 // up to which the run is in time
	options   []choiceOption
}

// choiceOption is an endpoint that may be chosen.
type choiceOption struct {
	index int // of the caller
	tier  int // part of the cost that outweighs the slowdown
	cost  int // with placement by speed, fitCost of the cores left over; otherwise the whole cost
	pace  float64
}

// Reset starts the choice for a run. UsualNeed is in thousandths of cores, or 0 if it is not known.
func (c *EndpointChoice) Reset(now time.Time, w *Waiting, bySpeed bool, usualNeed int) {
	c.now, c.run, c.bySpeed, c.usualNeed, c.options = now, w, bySpeed, usualNeed, c.options[:0]
	c.maxPace = MaxPace(now, w.Due, w.Estimate)
}

// Add adds an endpoint unless the run may not start there. Best returns its index, which the caller assigns.
func (c *EndpointChoice) Add(index int, o *EndpointOption) {
	cost, ok := o.Cost(c.now, c.run)
	switch {
	case !ok:
	case c.bySpeed:
		c.options = append(c.options, choiceOption{index, cost - o.CoresLeft, fitCost(o.CoresLeft, c.usualNeed), o.Pace})
	case len(c.options) == 0:
		c.options = append(c.options, choiceOption{index: index, cost: cost})
	case cost < c.options[0].cost:
		c.options[0] = choiceOption{index: index, cost: cost}
	}
}

// Best returns the index of the chosen endpoint, or -1 if there is none.
func (c *EndpointChoice) Best() int {
	if len(c.options) == 0 {
		return -1
	}
	tier := c.options[0].tier
	for i := range c.options {
		tier = min(tier, c.options[i].tier)
	}
	target := c.targetPace(tier)
	best := -1
	for i := range c.options {
		o := &c.options[i]
		if o.tier == tier && c.isAlike(o.pace, target) && (best < 0 || o.cost < c.options[best].cost) {
			best = i
		}
	}
	return c.options[best].index
}

// IsInTime reports whether the run is expected to be in time on an endpoint with a slowdown.
func (c *EndpointChoice) IsInTime(pace float64) bool { return pace <= c.maxPace }

// IsLate reports whether the run is in time on none of the endpoints that were added.
func (c *EndpointChoice) IsLate() bool {
	return !slices.ContainsFunc(c.options, func(o choiceOption) bool { return c.IsInTime(o.pace) })
}

// targetPace returns the slowdown to choose among the endpoints of a tier: the highest at which the run
// is in time or, if there is none, the lowest.
func (c *EndpointChoice) targetPace(tier int) float64 {
	slowest, fastest := -1.0, math.Inf(1)
	for i := range c.options {
		o := &c.options[i]
		if o.tier != tier {
			continue
		}
		fastest = min(fastest, o.pace)
		if c.IsInTime(o.pace) {
			slowest = max(slowest, o.pace)
		}
	}
	if slowest >= 0 {
		return slowest
	}
	return fastest
}

// isAlike reports whether an endpoint is as good as one with the target pace: the slowdowns are alike, and the
// run is in time on both or late on both.
func (c *EndpointChoice) isAlike(pace, target float64) bool {
	if c.IsInTime(target) && !c.IsInTime(pace) {
		return false
	}
	return pace <= alikeFactor*target && target <= alikeFactor*pace
}
