package dispatch

import "time"

const (
	progressResolution = 0.01                  // to which endpoints round the progress of a run down
	minProgressSpan    = 20 * time.Millisecond // between the reports that the speed of a run is taken from
	progressCheckShare = 0.5                   // of the estimated run time, after which the speed of a run should be known
)

// progressReport is the share of its work that a run has done, as of a time on its endpoint's clock.
type progressReport struct {
	share float64
	at    time.Duration
}

// progress is what an endpoint has reported of how far a run has come. The start of the run counts as
// the first report. The speed of the run is that between earlier and latest, which are kept only
// about minProgressSpan apart where reports are frequent, so that a run that stands still is noticed
// however far it had come before.
type progress struct {
	earlier, middle, latest progressReport
	known                   bool      // there is a report
	receivedAt              time.Time // when latest was received
}

// record adds a report. Those that are received out of order are dropped.
func (p *progress) record(now time.Time, share float64, at time.Duration) {
	r := progressReport{share, at}
	switch {
	case !p.known:
		p.earlier, p.middle, p.known = r, r, true
	case at <= p.latest.at:
		return
	case at-p.middle.at >= minProgressSpan:
		p.earlier, p.middle = p.middle, r
	}
	p.latest, p.receivedAt = r, now
}

// speedKnown reports whether the reports are far enough apart to tell the speed.
func (p *progress) speedKnown() bool { return p.latest.at-p.earlier.at >= minProgressSpan }

// remaining returns a lower bound of how much longer the run takes from the latest report on, at
// the speed at which it has run lately.
func (p *progress) remaining() time.Duration {
	span := p.latest.at - p.earlier.at
	done := p.latest.share - p.earlier.share + progressResolution
	left := max(1-p.latest.share-progressResolution, 0)
	return time.Duration(left / max(done, progressResolution) * float64(span))
}

// expectedTime returns a lower bound of how long a run takes in all, by the time that it has taken
// and the progress that its endpoint has reported.
func (r *run) expectedTime(now time.Time) time.Duration {
	took := now.Sub(r.startedAt)
	if !r.lease.ep.reportsProgress || !r.progress.speedKnown() {
		return took
	}
	return max(took, r.progress.receivedAt.Sub(r.startedAt)+r.progress.remaining())
}

// wantsProgress reports whether a run has lasted for progressCheckShare of its estimate and its speed is
// still not known.
func (l *lease) wantsProgress(now time.Time) bool {
	if !l.ep.reportsProgress {
		return false
	}
	for _, r := range l.runs {
		if r.state == runRunning && !r.progress.speedKnown() && now.Sub(r.startedAt) >= time.Duration(progressCheckShare*float64(r.Estimate)) {
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
	r.progress.record(now, share, at)
}
