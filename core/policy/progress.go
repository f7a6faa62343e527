package policy

import "time"

// MinProgressSpan is the time between two reports of progress that the speed of a run is taken from.
const MinProgressSpan = 20 * time.Millisecond

const (
	overdueFactor = 1.5                   // tolerated multiple of the time that remains by the progress of a run
	overdueSlack  = 50 * time.Millisecond // time added to it, for the endpoint to report the end
)

// progressResolution is the share to which endpoints round the progress of a run down.
const progressResolution = 0.01

// progressReport is the share of its work that a run has done, as of a time on its endpoint's clock.
type progressReport struct {
	share float64
	at    time.Duration
}

// Progress is what an endpoint has reported of how far a run has come. The start of the run counts as
// the first report. The speed of the run is that between earlier and latest, which are kept only
// about MinProgressSpan apart where reports are frequent, so that a run that stands still is noticed
// however far it had come before.
type Progress struct {
	earlier, middle, latest progressReport
	known                   bool      // there is a report
	receivedAt              time.Time // when latest was received
}

// Record adds a report. Those that are received out of order are dropped.
func (p *Progress) Record(now time.Time, share float64, at time.Duration) {
	r := progressReport{share, at}
	switch {
	case !p.known:
		p.earlier, p.middle, p.known = r, r, true
	case at <= p.latest.at:
		return
	case at-p.middle.at >= MinProgressSpan:
		p.earlier, p.middle = p.middle, r
	}
	p.latest, p.receivedAt = r, now
}

// SpeedKnown reports whether the reports are far enough apart to tell the speed.
func (p *Progress) SpeedKnown() bool { return p.latest.at-p.earlier.at >= MinProgressSpan }

// remaining returns a lower bound of how much longer the run takes from the latest report on, at
// the speed at which it has run lately.
func (p *Progress) remaining() time.Duration {
	span := p.latest.at - p.earlier.at
	done := p.latest.share - p.earlier.share + progressResolution
	left := max(1-p.latest.share-progressResolution, 0)
	return time.Duration(left / max(done, progressResolution) * float64(span))
}

// ExpectedTime returns a lower bound of how long a run takes in all that was started at a time, by
// the time that it has taken and the progress that was reported.
func (p *Progress) ExpectedTime(now, startedAt time.Time) time.Duration {
	took := now.Sub(startedAt)
	if !p.SpeedKnown() {
		return took
	}
	return max(took, p.receivedAt.Sub(startedAt)+p.remaining())
}

// IsOnCourse reports whether the run may still go on at the speed that its progress has shown. If not, its speed
// is not known, it stands still, or its endpoint reports nothing.
func (p *Progress) IsOnCourse(now time.Time) bool {
	return p.SpeedKnown() && now.Sub(p.receivedAt) <= time.Duration(overdueFactor*float64(p.remaining()))+overdueSlack
}
