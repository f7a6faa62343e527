package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	quarantineFailures = 3           // failed runs in a row after which an endpoint is quarantined
	minQuarantine      = time.Second // doubles with each further failure
	maxQuarantine      = 8 * time.Second
	fullBackoff        = 20 * time.Millisecond  // after an endpoint refused a run for lack of room
	unhealthyBackoff   = 150 * time.Millisecond // after it refused a run as unhealthy or invalid
	minSilenceBackoff  = 200 * time.Millisecond // after a start without an answer; doubles with each further one
	maxSilenceBackoff  = 2 * time.Second
	slowSmoothing      = 0.3                    // weight of one run in the moving average of the slowdown
	fastSmoothing      = 0.5                    // the same, of a run that is faster than the average
	slowdownLimit      = 2.5                    // slowdown from which an endpoint counts as slow
	unusualFactor      = 1.7                    // times the usual slowdown, which a slow endpoint exceeds as well
	maxSlowdown        = 10                     // relative to the usual one, up to which a run that stands still counts
	slowTryInterval    = time.Second            // between two trial runs on a slow endpoint
	minStopGain        = 100 * time.Millisecond // that a restart elsewhere must save at least
	slowCost           = 1 << 20                // this and the next two are added to the cores left over in chooseLease
	avoidCost          = 1 << 18
	otherRackCost      = 1 << 16
)

// endpointHealth records how well an endpoint runs tasks. It works as a circuit breaker with
// exponential backoff, and tracks how much longer than estimated the runs take.
type endpointHealth struct {
	failures       int           // in a row
	pausedUntil    time.Time     // no run starts before
	quarantine     time.Duration // last backoff after failed runs
	silenceBackoff time.Duration // last backoff after a start without an answer
	unanswered     int           // starts without an answer in a row
	probing        bool          // only one run at a time until one succeeds
	slowdown       float64       // moving average of run time / estimate; 0 if not known
	slowdownAt     time.Time     // last update of slowdown
}

// mayStart reports whether one more run may start beside the given number of runs.
func (h *endpointHealth) mayStart(now time.Time, runs int) bool {
	return !now.Before(h.pausedUntil) && (!h.probing || runs == 0)
}

// mayTrySlow reports whether a trial run may start on a slow endpoint, to measure its slowdown
// again.
func (h *endpointHealth) mayTrySlow(now time.Time, runs int) bool {
	return runs == 0 && now.Sub(h.slowdownAt) > slowTryInterval
}

// smoothSlowdown returns the moving average after one more run with the ratio of run time to
// estimate. An average of 0, which means not known, counts as 1.
func smoothSlowdown(average, ratio float64) float64 {
	switch {
	case average == 0:
		average = 1
	case ratio < average:
		return average + fastSmoothing*(ratio-average)
	}
	return average + slowSmoothing*(ratio-average)
}

func slowdownOf(took, estimate time.Duration) float64 {
	return float64(took) / float64(max(estimate, time.Millisecond))
}

// runSlowdown returns how much longer than estimated a run takes, at least.
func (c *Core) runSlowdown(r *run) float64 {
	return min(slowdownOf(r.expectedTime(c.now), r.Estimate), maxSlowdown*c.usualSlowdown)
}

// slowdown returns the slowdown of an endpoint. Runs that have not ended count if they take longer
// than the average.
func (c *Core) slowdown(l *lease) float64 {
	var slow []float64
	for _, r := range l.runs {
		if ratio := c.runSlowdown(r); r.state == runRunning && ratio > 1 {
			slow = append(slow, ratio)
		}
	}
	slices.Sort(slow) // for a deterministic result, as the order matters
	slowdown := l.ep.health.slowdown
	for _, ratio := range slow {
		if ratio > slowdown {
			slowdown = smoothSlowdown(slowdown, ratio)
		}
	}
	return slowdown
}

// updateUsualSlowdown determines the slowdown that is usual at the endpoints of this entry and of its
// peers: the median of their medians, but at least 1. Where all estimates are too low, no endpoint
// is slow for that.
func (c *Core) updateUsualSlowdown() {
	var own []float64
	for _, ep := range c.held() {
		if ep.health.slowdown > 0 {
			own = append(own, ep.health.slowdown)
		}
	}
	c.medianSlowdown = median(own)
	all := []float64{}
	if c.medianSlowdown > 0 {
		all = append(all, c.medianSlowdown)
	}
	for _, p := range c.links {
		if p.slowdown > 0 && c.isResponsive(p) {
			all = append(all, p.slowdown)
		}
	}
	c.usualSlowdown = max(median(all), 1)
}

// median returns the median of some values, the lower one of two, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// isSlow reports whether a slowdown is high, also in comparison with the usual one.
func (c *Core) isSlow(slowdown float64) bool {
	return slowdown >= max(slowdownLimit, unusualFactor*c.usualSlowdown)
}

// stopStragglers stops runs on a slow endpoint that are expected to end sooner if they are started
// again elsewhere, and those that have taken more than 2*slowdownLimit times their estimate.
func (c *Core) stopStragglers(l *lease) {
	slowdown := c.slowdown(l)
	if !c.isSlow(slowdown) || l.phase != phaseReady {
		return
	}
	for _, r := range filterRuns(l.runs, func(r *run) bool {
		return r.state == runRunning && !r.StoppedAsStraggler && c.isSlow(c.runSlowdown(r))
	}) {
		took, expected := c.now.Sub(r.startedAt), r.expectedTime(c.now)
		remaining := expected - took
		if remaining == 0 {
			remaining = time.Duration(slowdown*float64(r.Estimate)) - took
		}
		if remaining > r.Estimate+minStopGain || c.isSlow(slowdownOf(took, r.Estimate)/2) {
			c.log("straggler-stopped", "task", r.id.Task, "run", r.id.Run, "endpoint", l.ep.ID, "took", took, "estimate", r.Estimate, "expected", expected, "pace", slowdown)
			l.ep.health.recordSlowdown(c.now, c.runSlowdown(r))
			c.stopRun(r)
		}
	}
}

func (h *endpointHealth) recordSlowdown(now time.Time, ratio float64) {
	h.slowdown, h.slowdownAt = smoothSlowdown(h.slowdown, ratio), now
}

// recordAnswer records that the endpoint has answered a start.
func (h *endpointHealth) recordAnswer() { h.silenceBackoff, h.unanswered = 0, 0 }

// recordSilence records a start that got no answer or no connection.
func (h *endpointHealth) recordSilence(now time.Time) {
	h.silenceBackoff = min(max(2*h.silenceBackoff, minSilenceBackoff), maxSilenceBackoff)
	h.pausedUntil = now.Add(h.silenceBackoff)
	h.probing = true
	h.unanswered++
}

// recordContact records that the endpoint has answered an order other than a start. If a single
// start before it got no answer, only that order was lost, and the endpoint is used as before.
func (h *endpointHealth) recordContact(now time.Time) {
	if h.unanswered == 1 && h.failures < quarantineFailures && h.quarantine == 0 {
		h.pausedUntil, h.probing = now, false
	}
}

// recordRefusal records that the endpoint refused a start.
func (h *endpointHealth) recordRefusal(now time.Time, pause time.Duration) {
	h.pausedUntil = now.Add(pause)
}

func (h *endpointHealth) recordEnd(now time.Time, end cornelwall.RunEnd, took, estimate time.Duration) {
	switch end {
	case cornelwall.RunDone:
		h.failures, h.quarantine, h.probing = 0, 0, false
		h.recordSlowdown(now, slowdownOf(took, estimate))
	case cornelwall.RunFailed:
		h.failures++
		if h.failures >= quarantineFailures || h.probing {
			h.quarantine = min(max(2*h.quarantine, minQuarantine), maxQuarantine)
			h.pausedUntil, h.probing = now.Add(h.quarantine), true
		}
	}
}
