package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	quarantineFailures = 3 // failed runs in a row that cut an endpoint off
	minQuarantine      = time.Second
	maxQuarantine      = 8 * time.Second
	fullBackoff        = 20 * time.Millisecond // after a refusal for want of room
	unhealthyBackoff   = 150 * time.Millisecond
	minSilenceBackoff  = 200 * time.Millisecond // after an order without an answer
	maxSilenceBackoff  = 2 * time.Second
	slowSmoothing      = 0.3                    // of one run in the pace of an endpoint
	fastSmoothing      = 0.5                    // of one run that is faster than the pace
	slowdownLimit      = 2.5                    // run time to the estimate, from which an endpoint is slow
	slowProbeInterval  = time.Second            // between two tries of a slow endpoint
	minStopGain        = 100 * time.Millisecond // that a run must gain by starting again elsewhere
	slowCost           = 1 << 20
	avoidCost          = 1 << 18
	otherRackCost      = 1 << 16
)

// endpointHealth is how runs on an endpoint went.
type endpointHealth struct {
	failures       int
	pausedUntil    time.Time // no starts before
	quarantine     time.Duration
	silenceBackoff time.Duration
	probing        bool      // one run at a time until one goes well
	slowdown       float64   // run time to the estimate, mean of late; 0 is not known
	slowdownAt     time.Time // of the last run in it
}

// mayStart reports whether one more run may start beside those that there are.
func (f *endpointHealth) mayStart(now time.Time, runs int) bool {
	return !now.Before(f.pausedUntil) && (!f.probing || runs == 0)
}

// mayProbe reports whether a slow endpoint may be tried again.
func (f *endpointHealth) mayProbe(now time.Time, runs int) bool {
	return runs == 0 && now.Sub(f.slowdownAt) > slowProbeInterval
}

// smoothSlowdown returns the pace after one more run with the ratio of its time to the estimate.
func smoothSlowdown(pace, ratio float64) float64 {
	switch {
	case pace == 0:
		pace = 1
	case ratio < pace:
		return pace + fastSmoothing*(ratio-pace)
	}
	return pace + slowSmoothing*(ratio-pace)
}

func slowdownOf(took, estimate time.Duration) float64 {
	return float64(took) / float64(max(estimate, time.Millisecond))
}

// slowdown returns the pace of an endpoint by how its runs went and how long those take that
// have not ended.
func (l *lease) slowdown(now time.Time) float64 {
	var slow []float64
	for _, r := range l.runs {
		if ratio := slowdownOf(now.Sub(r.startedAt), r.Estimate); r.state == runRunning && ratio > 1 {
			slow = append(slow, ratio)
		}
	}
	slices.Sort(slow) // the same runs give the same pace
	pace := l.ep.health.slowdown
	for _, ratio := range slow {
		if ratio > pace {
			pace = smoothSlowdown(pace, ratio)
		}
	}
	return pace
}

// stopStragglers stops runs on a slow endpoint that would end sooner if they started
// again elsewhere.
func (c *Core) stopStragglers(l *lease) {
	pace := l.slowdown(c.now)
	if pace < slowdownLimit || l.phase != phaseReady {
		return
	}
	for _, r := range filterRuns(l.runs, func(r *run) bool {
		return r.state == runRunning && !r.StoppedAsStraggler && slowdownOf(c.now.Sub(r.startedAt), r.Estimate) >= slowdownLimit
	}) {
		took := c.now.Sub(r.startedAt)
		left := time.Duration(pace*float64(r.Estimate)) - took
		if left > r.Estimate+minStopGain || slowdownOf(took, r.Estimate) > 2*slowdownLimit {
			c.log("straggler-stopped", "task", r.id.Task, "run", r.id.Run, "endpoint", l.ep.ID, "took", took, "estimate", r.Estimate, "pace", pace)
			l.ep.health.recordRunTime(c.now, took, r.Estimate)
			c.stopRun(r)
		}
	}
}

func (f *endpointHealth) recordRunTime(now time.Time, took, estimate time.Duration) {
	f.slowdown, f.slowdownAt = smoothSlowdown(f.slowdown, slowdownOf(took, estimate)), now
}

func (f *endpointHealth) recordAnswer() { f.silenceBackoff = 0 }

// recordSilence takes note of an order that got no answer.
func (f *endpointHealth) recordSilence(now time.Time) {
	f.silenceBackoff = min(max(2*f.silenceBackoff, minSilenceBackoff), maxSilenceBackoff)
	f.pausedUntil = now.Add(f.silenceBackoff)
	f.probing = true
}

func (f *endpointHealth) recordRefusal(now time.Time, pause time.Duration) {
	f.pausedUntil = now.Add(pause)
}

func (f *endpointHealth) recordEnd(now time.Time, how cornelwall.RunEnd, took, estimate time.Duration) {
	switch how {
	case cornelwall.RunDone:
		f.failures, f.quarantine, f.probing = 0, 0, false
		f.recordRunTime(now, took, estimate)
	case cornelwall.RunFailed:
		f.failures++
		if f.failures >= quarantineFailures || f.probing {
			f.quarantine = min(max(2*f.quarantine, minQuarantine), maxQuarantine)
			f.pausedUntil, f.probing = now.Add(f.quarantine), true
		}
	}
}
