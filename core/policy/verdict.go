package policy

import "time"

const (
	minRunTimeShare = 0.5                    // share of the estimated run time that is taken as the lower bound of the real one
	withdrawMargin  = 120 * time.Millisecond // before the last time to start, to withdraw tasks that have not started
)

//go:generate go tool enumer -type=Verdict -transform=kebab -output=verdict_gen.go
//go:generate go tool enumer -type=Admission -transform=kebab -output=admission_gen.go

// Verdict is what is to be done with a batch.
type Verdict int

const (
	Proceed          Verdict = iota // assign its idle tasks
	WithdrawWaiting                 // it has not started: withdraw the tasks that wait, so that it can be refused
	Refuse                          // no task runs or can start any more
	GiveUpAtDeadline                // the caller's deadline has passed
	GiveUpTooLate                   // it has started, and cannot end in time any more
)

// Batch is a batch that its owner has not answered, as far as its end depends on it.
type Batch struct {
	Due              time.Time     // target time
	UsefulUntil      time.Time     // after it the answer is of little use
	Deadline         time.Time     // after it the caller no longer waits
	CriticalPath     time.Duration // estimated run time of its longest chain of steps
	LongestUnstarted time.Duration // estimated run time of its longest task that has not started; negative if all have
	Started          bool          // a task may have run
	Unassigned       bool          // no holder has any of its tasks
	Withdrawn        bool          // WithdrawWaiting was decided before
	Crowded          bool          // work of others waits that can be on time; see IsCrowded
}

// cutoff returns the time after which the caller no longer waits or the answer is of little use,
// whichever comes first.
func (b *Batch) cutoff() time.Time {
	if b.UsefulUntil.Before(b.Deadline) {
		return b.UsefulUntil
	}
	return b.Deadline
}

func minRunTime(estimate time.Duration) time.Duration {
	return time.Duration(minRunTimeShare * float64(estimate))
}

// Judge returns what is to be done with a batch. Its caller is answered as soon as it is certain that
// it cannot be served in time.
func (b *Batch) Judge(now time.Time) Verdict {
	limit := b.Deadline
	if !b.Started {
		limit = b.cutoff().Add(-minRunTime(b.CriticalPath))
	}
	left := limit.Sub(now)
	switch {
	case !b.Started && b.Unassigned && (left <= 0 || b.Withdrawn || b.MakesWay(now)):
		return Refuse
	case left <= 0 && now.After(b.Deadline):
		return GiveUpAtDeadline
	case b.Started && b.LongestUnstarted >= 0 && now.Add(minRunTime(b.LongestUnstarted)).After(b.cutoff()):
		return GiveUpTooLate
	case !b.Started && !b.Withdrawn && (left <= withdrawMargin || b.MakesWay(now)):
		return WithdrawWaiting
	}
	return Proceed
}

// MakesWay reports whether a batch of which nothing has run can't be on time and has to make way for others.
func (b *Batch) MakesWay(now time.Time) bool {
	return b.Crowded && !b.Started && now.Add(minRunTime(b.CriticalPath)).After(b.Due)
}

// Admission is whether a new batch is taken.
type Admission int

const (
	Admit         Admission = iota
	RefuseTooLate           // its run time alone is too long
	RefuseFull              // the tasks before it take too long
	RefuseShed              // it would be late, and others wait that can be on time
)

// Admit returns whether to take a batch that is expected to wait for a time. One that cannot be served
// in time is refused at once.
func (b *Batch) Admit(now time.Time, wait time.Duration) Admission {
	switch end := b.cutoff(); {
	case now.Add(minRunTime(b.CriticalPath)).After(end):
		return RefuseTooLate
	case now.Add(wait + b.CriticalPath).After(end):
		return RefuseFull
	}
	return Admit
}

// FitsBefore reports whether an entry that stops at a time should still take the batch: there is
// twice the time that it needs at least.
func (b *Batch) FitsBefore(now, stop time.Time) bool {
	return !now.Add(2 * minRunTime(b.CriticalPath)).After(stop)
}
