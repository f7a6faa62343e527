package dispatch

import "time"

// progressCheckShare is the share of the estimated run time after which the speed of a run should be
// known.
const progressCheckShare = 0.5

// expectedTime returns a lower bound of how long a run takes in all.
func (r *run) expectedTime(now time.Time) time.Duration {
	if !r.lease.ep.reportsProgress {
		return now.Sub(r.startedAt)
	}
	return r.progress.ExpectedTime(now, r.startedAt)
}

// wantsProgress reports whether a run has lasted for progressCheckShare of its estimate and its speed is
// still not known.
func (l *lease) wantsProgress(now time.Time) bool {
	if !l.ep.reportsProgress {
		return false
	}
	for _, r := range l.runs {
		if r.state == runRunning && !r.progress.SpeedKnown() && now.Sub(r.startedAt) >= time.Duration(progressCheckShare*float64(r.Estimate)) {
			return true
		}
	}
	return false
}

// recordProgress records the progress of a run as its endpoint has reported it. A share of 0 may mean
// that the endpoint reports none, so that its reports count from the first other share on.
func (r *run) recordProgress(now time.Time, share float64, at time.Duration) {
	if share > 0 {
		r.lease.ep.reportsProgress = true
	}
	r.progress.Record(now, share, at)
}
