package dispatch

import (
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
	paceShare      = 0.3 // of one run in the pace of an endpoint
	slowPace       = 2.5 // run time to the estimate, from which an endpoint is slow
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
	probing bool // one run at a time until one goes well
	pace    float64
}

// usable reports whether one more run may start beside those that there are.
func (f *fitness) usable(now time.Time, runs int) bool {
	return !now.Before(f.paused) && (!f.probing || runs == 0)
}

// cost ranks endpoints: a slow one is taken last.
func (f *fitness) cost(time.Duration) int {
	if f.pace >= slowPace {
		return slowCost
	}
	return 0
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
		f.pace += paceShare * (float64(took)/float64(max(estimate, time.Millisecond)) - f.pace)
	case cornelwall.RunFailed:
		f.failed++
		if f.failed >= failuresToCut || f.probing {
			f.cut = min(max(2*f.cut, firstCut), maxCut)
			f.paused, f.probing = now.Add(f.cut), true
		}
	}
}
