package owner

import (
	"time"

	"cornelwall"
)

// Table holds the jobs and refusals of one incarnation.
type Table struct {
	jobs     map[uint64]*Job // by the sequence number of the ticket
	refusals refusals

	maxResults  int      // bytes
	resultBytes int      // bytes of the results held
	withResults []uint64 // sequence numbers of jobs with results, the oldest first
}

// NewTable returns an empty table for tickets that expire after ticketTTL. It holds up to maxRefusals
// refusals and maxResults bytes of results.
func NewTable(ticketTTL time.Duration, maxRefusals, maxResults int) *Table {
	return &Table{
		jobs:       map[uint64]*Job{},
		refusals:   newRefusals(ticketTTL, maxRefusals),
		maxResults: maxResults,
	}
}

// Get returns the job of a ticket, or nil.
func (t *Table) Get(seq uint64) *Job { return t.jobs[seq] }

// Add records an accepted job.
func (t *Table) Add(spec *cornelwall.Job, digest uint64, now, deadline, expires time.Time) *Job {
	j := &Job{
		Ticket: spec.Ticket, Digest: digest, Profile: spec.Profile,
		Spec: spec.Tasks, Tasks: make([]Task, len(spec.Tasks)),
		Accepted: now, Deadline: deadline, Expires: expires,
	}
	t.jobs[spec.Ticket.Seq] = j
	return j
}

// Refuse records that the job of a ticket does not run. A refused ticket is never accepted later.
func (t *Table) Refuse(tk cornelwall.Ticket, r Refusal) { t.refusals.add(tk, r) }

// Refused returns the refusal of a ticket. A ticket that has neither a refusal nor a job was never
// submitted.
func (t *Table) Refused(tk cornelwall.Ticket) (Refusal, bool) { return t.refusals.get(tk) }

// Compact reduces the memory of a job whose answer is final: a job that did not run is replaced by a
// refusal, and the oldest results are dropped if there are too many bytes.
func (t *Table) Compact(j *Job) {
	switch {
	case !j.Answer.Final || j.running > 0:
	case j.Answer.Outcome == cornelwall.NotRun:
		delete(t.jobs, j.Ticket.Seq)
		t.Refuse(j.Ticket, Refusal{Reason: j.Answer.Reason, RetryAfter: time.Duration(j.Answer.RetryAfter)})
	case j.Answer.Outcome == cornelwall.Done:
		t.resultBytes += resultBytes(&j.Answer)
		t.withResults = append(t.withResults, j.Ticket.Seq)
		t.dropResults()
	}
}

// dropResults drops the oldest results until they are within maxResults.
func (t *Table) dropResults() {
	for len(t.withResults) > 0 {
		j := t.jobs[t.withResults[0]]
		switch {
		case j == nil: // removed in the meantime
		case t.resultBytes > t.maxResults:
			t.resultBytes -= resultBytes(&j.Answer)
			j.Answer = WithoutResults(j.Answer)
		default:
			return
		}
		t.withResults = t.withResults[1:]
	}
}

// WithoutResults returns the answer that remains of a job that is done once its results are dropped:
// it still lists that every task ran. An answer that is done carries all results, so without them
// the outcome becomes unknown, as it does when the ticket expires.
func WithoutResults(a cornelwall.Answer) cornelwall.Answer {
	tasks := make([]cornelwall.TaskAnswer, len(a.Tasks))
	for i := range a.Tasks {
		tasks[i] = cornelwall.TaskAnswer{Outcome: a.Tasks[i].Outcome, Reason: a.Tasks[i].Reason}
	}
	return cornelwall.Answer{Ticket: a.Ticket, Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonDropped, Final: true,
		Text: "every task ran, but the results are no longer held; do not run the job again", Tasks: tasks}
}

// resultBytes returns the size of the results in an answer.
func resultBytes(a *cornelwall.Answer) int {
	n := 0
	for i := range a.Tasks {
		n += len(a.Tasks[i].Body)
	}
	return n
}

// Remove drops the job of an expired ticket.
func (t *Table) Remove(seq uint64) {
	j := t.jobs[seq]
	if j == nil {
		return
	}
	delete(t.jobs, seq)
	if j.Answer.Outcome == cornelwall.Done {
		t.resultBytes -= resultBytes(&j.Answer)
	}
}

// ExpireRefusals drops the refusals of tickets that have expired when the incarnation has the given
// age.
func (t *Table) ExpireRefusals(age time.Duration) { t.refusals.expire(age) }

// Len returns the number of jobs, without refusals.
func (t *Table) Len() int { return len(t.jobs) }

// Refusals returns the number of refusals held.
func (t *Table) Refusals() int { return t.refusals.len }

// ResultBytes returns the size of the results held, in bytes.
func (t *Table) ResultBytes() int { return t.resultBytes }

// All calls f for each job.
func (t *Table) All(f func(*Job)) {
	for _, j := range t.jobs {
		f(j)
	}
}
