package explain

import "cornelwall"

//go:generate go tool enumer -type=Cause -text -transform=kebab -trimprefix=Cause -output=cause_gen.go

// Cause is why a batch was late or not served. Of several causes, the one that comes first in this
// list is given.
type Cause int

const (
	CauseNone             Cause = iota // it was served in time
	CauseCallerLeft                    // its caller disconnected or cancelled it
	CauseInvalid                       // the entry has no queue for it, or it is not a valid batch
	CauseTaskCrashed                   // endpoints have crashed while one of its tasks may have been at work there, and it is withheld
	CauseRefusedOnArrival              // it was refused at once
	CauseEntryLost                     // the entry that took it ended without an answer
	CauseEntryStopped                  // the entry that took it was stopped
	CauseOwnerUnproven                 // a holder stopped a run as it had no proof that the owner was alive
	CauseStartUnanswered               // an endpoint did not answer a start
	CauseHolderSilent                  // the holder of a run fell silent
	CauseEndpointLost                  // an endpoint lost a run
	CauseEndpointFailed                // a run failed
	CauseEndpointSlow                  // a run was stopped on a slow endpoint, or took far longer than estimated
	CauseNeverStarted                  // no task was started before its answer would have been of no use
	CauseBacklog                       // a task waited too long for free capacity
	CauseRunTime                       // the run alone took longer than the target
)

// slowRun is the ratio of run time to estimate from which a run counts as slow.
const slowRun = 2.5

// causeOf returns the cause that a line about a run is evidence of, or CauseNone.
func causeOf(l *Line) Cause {
	switch l.Event {
	case "owner-unproven":
		return CauseOwnerUnproven
	case "start-unanswered":
		return CauseStartUnanswered
	case "run-over":
		if l.Get("how") == cornelwall.RunLapsed.String() {
			return CauseEndpointLost
		}
	case "task-lost":
		if l.Get("how") == cornelwall.RunLapsed.String() {
			return CauseHolderSilent // unless the holder has logged the end
		}
	case "task-failed":
		return CauseEndpointFailed
	case "straggler-stopped":
		return CauseEndpointSlow
	}
	return CauseNone
}

// Cause returns why the batch was lost, or CauseNone if it was served in time.
func (b *Batch) Cause() Cause {
	switch {
	case b.EndedAt.IsZero():
		return CauseEntryLost
	case b.End == cornelwall.BatchDone && !b.Late():
		return CauseNone
	case b.End == cornelwall.BatchCancelled:
		return CauseCallerLeft
	case b.End == cornelwall.BatchInvalid || b.End == cornelwall.BatchUnknown:
		return CauseInvalid
	case b.Reason == cornelwall.ReasonCrash:
		return CauseTaskCrashed
	case b.refusedOnArrival:
		return CauseRefusedOnArrival
	case b.Reason == cornelwall.ReasonStopping:
		return CauseEntryStopped
	}
	if cause := b.causeOfRuns(); cause != CauseNone {
		return cause
	}
	switch {
	case b.End == cornelwall.BatchRefused:
		return CauseNeverStarted
	case b.Unserved() || b.Waited+b.Estimate > b.Target:
		return CauseBacklog
	case float64(b.Ran) >= slowRun*float64(b.Estimate):
		return CauseEndpointSlow
	case b.Ran > b.Target:
		return CauseRunTime
	}
	return CauseBacklog
}

// causeOfRuns returns the first cause for which there is evidence in the lines about runs.
func (b *Batch) causeOfRuns() Cause {
	first := CauseNone
	for i := range b.evidence {
		l := &b.evidence[i]
		cause := causeOf(l)
		if cause == CauseHolderSilent && b.endIsLogged(l) {
			cause = CauseEndpointLost
		}
		if first == CauseNone || cause < first {
			first = cause
		}
	}
	return first
}

// endIsLogged reports whether the holder of a lost run has logged its end, and thus was not silent.
func (b *Batch) endIsLogged(lost *Line) bool {
	for i := range b.evidence {
		if l := &b.evidence[i]; l.Event == "run-over" && l.Get("task") == lost.Get("task") && l.Get("run") == lost.Get("run") {
			return true
		}
	}
	return false
}
