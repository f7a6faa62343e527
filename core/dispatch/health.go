package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	failuresToCut  = 3 // failed runs in a row that cut an endpoint off
	firstCut       = time.Second
	maxCut         = 8 * time.Second
	roomPause      = 20 * time.Millisecond // after a refusal for want of room
	unhealthyPause = 150 * time.Millisecond
	firstSilence   = 200 * time.Millisecond // after an order without an answer
	maxSilence     = 2 * time.Second
	paceShare      = 0.3                    // of one run in the pace of an endpoint
	fastShare      = 0.5                    // of one run that is faster than the pace
	slowPace       = 2.5                    // run time to the estimate, from which an endpoint is slow
	probePause     = time.Second            // between two tries of a slow endpoint
	stopGain       = 100 * time.Millisecond // that a run must gain by starting again elsewhere
	slowCost       = 1 << 20
	avoidCost      = 1 << 18
	rackCost       = 1 << 16
)

// fitness is how runs on an endpoint went.
type fitness struct {
	failed  int
	paused  time.Time // no starts before
	cut     time.Duration
	silence time.Duration
	probing bool      // one run at a time until one goes well
	pace    float64   // run time to the estimate, mean of late; 0 is not known
	paceAt  time.Time // of the last run in it
}

// usable reports whether one more run may start beside those that there are.
func (f *fitness) usable(now time.Time, runs int) bool {
	return !now.Before(f.paused) && (!f.probing || runs == 0)
}

// probe reports whether a slow endpoint may be tried again.
func (f *fitness) probe(now time.Time, runs int) bool {
	return runs == 0 && now.Sub(f.paceAt) > probePause
}

// mix returns the pace after one more run with the ratio of its time to the estimate.
func mix(pace, ratio float64) float64 {
	switch {
	case pace == 0:
		pace = 1
	case ratio < pace:
		return pace + fastShare*(ratio-pace)
	}
	return pace + paceShare*(ratio-pace)
}

func ratio(took, estimate time.Duration) float64 {
	return float64(took) / float64(max(estimate, time.Millisecond))
}

// pace returns the pace of an endpoint by how its runs went and how long those take that
// have not ended.
func (l *lease) pace(now time.Time) float64 {
	var slow []float64
	for _, r := range l.runs {
		if ratio := ratio(now.Sub(r.startAt), r.Estimate); r.state == runRunning && ratio > 1 {
			slow = append(slow, ratio)
		}
	}
	slices.Sort(slow) // the same runs give the same pace
	pace := l.ep.fit.pace
	for _, ratio := range slow {
		if ratio > pace {
			pace = mix(pace, ratio)
		}
	}
	return pace
}

// stopStragglers stops runs on a slow endpoint that would end sooner if they started
// again elsewhere.
func (c *Core) stopStragglers(l *lease) {
	pace := l.pace(c.now)
	if pace < slowPace || l.phase != phaseReady {
		return
	}
	for _, r := range runsThat(l.runs, func(r *run) bool {
		return r.state == runRunning && !r.StoppedAsStraggler && ratio(c.now.Sub(r.startAt), r.Estimate) >= slowPace
	}) {
		took := c.now.Sub(r.startAt)
		left := time.Duration(pace*float64(r.Estimate)) - took
		if left > r.Estimate+stopGain || ratio(took, r.Estimate) > 2*slowPace {
			c.log("straggler-stopped", "task", r.id.Task, "run", r.id.Run, "endpoint", l.ep.ID, "took", took, "estimate", r.Estimate, "pace", pace)
			l.ep.fit.paced(c.now, took, r.Estimate)
			c.stopRun(r)
		}
	}
}

func (f *fitness) paced(now time.Time, took, estimate time.Duration) {
	f.pace, f.paceAt = mix(f.pace, ratio(took, estimate)), now
}

func (f *fitness) answered() { f.silence = 0 }

// silent takes note of an order that got no answer.
func (f *fitness) silent(now time.Time) {
	f.silence = min(max(2*f.silence, firstSilence), maxSilence)
	f.paused = now.Add(f.silence)
	f.probing = true
}

func (f *fitness) refused(now time.Time, pause time.Duration) {
	f.paused = now.Add(pause)
}

func (f *fitness) ended(now time.Time, how cornelwall.RunEnd, took, estimate time.Duration) {
	switch how {
	case cornelwall.RunDone:
		f.failed, f.cut, f.probing = 0, 0, false
		f.paced(now, took, estimate)
	case cornelwall.RunFailed:
		f.failed++
		if f.failed >= failuresToCut || f.probing {
			f.cut = min(max(2*f.cut, firstCut), maxCut)
			f.paused, f.probing = now.Add(f.cut), true
		}
	}
}
