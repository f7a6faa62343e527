package explain

import (
	"cmp"
	"time"

	"cornelwall"
)

// Batch is a batch as one entry has taken or refused it.
type Batch struct {
	ID        string
	Queue     string
	Owner     string // entry that took or refused it
	ArrivedAt time.Time
	EndedAt   time.Time // when it was answered; zero if no answer is logged
	End       cornelwall.BatchEnd
	Reason    cornelwall.Reason

	// Of an answered batch, unless it was refused on arrival:
	Target   time.Duration // from its arrival until it was due
	Waited   time.Duration // from its arrival to the last start of the task that held it up
	Ran      time.Duration // time that the last run of that task took
	Estimate time.Duration // of that run

	refusedOnArrival bool
	evidence         []Line // of all entries, about runs that went wrong
}

// BatchesOf returns the batch that the lines are about, in the order of time, once for each entry that it
// was sent to.
func BatchesOf(lines []Line) []Batch {
	var list []Batch
	for i := range lines {
		l := &lines[i]
		id := l.batch()
		switch l.Event {
		case "batch":
			list = append(list, Batch{ID: id, Queue: l.Get("queue"), Owner: l.Entry, ArrivedAt: l.At})
		case "batch-refused":
			b := Batch{ID: id, Queue: l.Get("queue"), Owner: l.Entry, ArrivedAt: l.At, refusedOnArrival: true}
			b.setEnd(l)
			list = append(list, b)
		case "batch-end":
			for k := range list {
				if b := &list[k]; b.Owner == l.Entry && b.EndedAt.IsZero() {
					b.setEnd(l)
				}
			}
		}
	}
	for k := range list {
		list[k].setEvidence(lines)
	}
	return list
}

// setEnd sets how the batch ended. Ends and reasons that this version does not know count as a
// failure without a reason.
func (b *Batch) setEnd(l *Line) {
	var err error
	if b.End, err = cornelwall.BatchEndString(l.Get("end")); err != nil {
		b.End = cornelwall.BatchFailed
	}
	if b.Reason, err = cornelwall.ReasonString(l.Get("why")); err != nil {
		b.Reason = cornelwall.ReasonNone
	}
	b.EndedAt = l.At
	b.Target = l.duration("took") - l.duration("late")
	b.Waited, b.Ran, b.Estimate = l.duration("waited"), l.duration("ran"), l.duration("estimate")
}

// setEvidence sets the lines about runs of the batch that went wrong while this entry had it.
func (b *Batch) setEvidence(lines []Line) {
	for _, l := range lines {
		if causeOf(&l) == CauseNone || l.At.Before(b.ArrivedAt) || !b.EndedAt.IsZero() && l.At.After(b.EndedAt) {
			continue
		}
		b.evidence = append(b.evidence, l)
	}
}

// Late reports whether the batch was done, but after it was due.
func (b *Batch) Late() bool {
	return b.End == cornelwall.BatchDone && !b.EndedAt.IsZero() && b.EndedAt.Sub(b.ArrivedAt) > b.Target
}

// Unserved reports whether the batch was not done.
func (b *Batch) Unserved() bool { return b.EndedAt.IsZero() || b.End != cornelwall.BatchDone }

func (b *Batch) compare(other *Batch) int {
	return cmp.Or(b.ArrivedAt.Compare(other.ArrivedAt), cmp.Compare(b.ID, other.ID), cmp.Compare(b.Owner, other.Owner))
}
