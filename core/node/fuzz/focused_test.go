package fuzz

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// submitKey submits a job under a key and returns the outcome.
func submitKey(r *rig, timeLeft, wait time.Duration) cornelwall.Outcome {
	op := &operation{profile: "holds", tasks: 1, deadline: timeLeft, key: "key"}
	req := r.addRequest(r.entries[0].host, &request{kind: submit, op: op})
	r.w.Post(r.entries[0].host, cornelwall.Submit{Req: req, Key: op.key, Job: &cornelwall.Job{
		Profile: op.profile, TimeLeft: cornelwall.Duration(timeLeft), Tasks: []cornelwall.Task{{Body: []byte(op.body(0, false))}}}})
	r.w.Advance(wait)
	return r.outcome[op.ticket].Outcome
}

// TestKeyDeadline checks that the time that it takes to claim a key is subtracted from the
// time left of a job only once. The claim is written, its reply is lost, and it is read
// back, which takes 2 s of 2.5 s.
func TestKeyDeadline(t *testing.T) {
	r := newRig(1, mutation{})
	r.w.Store.Delay, r.w.Store.LoseAnswers = time.Second, 1
	assert.Equal(t, submitKey(r, 2500*time.Millisecond, 4*time.Second), cornelwall.Done)
	assert.Equal(t, r.failure, "")
}

// TestKeyPastDeadline claims a key so slowly that the claim succeeds after the deadline of
// the job. No task may start.
func TestKeyPastDeadline(t *testing.T) {
	r := newRig(1, mutation{})
	r.w.Store.Delay = time.Second
	assert.Equal(t, submitKey(r, 500*time.Millisecond, 4*time.Second), cornelwall.NotRun)
	assert.Equal(t, len(r.starts), 0)
}

// TestChangedContentPolled loses the forward of a submission with changed content. The
// poll that follows must not be answered with the results of the first submission.
func TestChangedContentPolled(t *testing.T) {
	r := newRig(1, mutation{})
	owner, other := r.entries[0], r.entries[1]
	r.w.Post(owner.host, cornelwall.DrawTickets{Req: 1, Profile: "holds", N: 1})
	r.w.Advance(0)
	op := &operation{profile: "holds", tasks: 1, deadline: 20 * time.Second, ticket: r.unusedTickets[0].ticket}
	d := &driver{rig: r}
	d.send(owner, &request{kind: submit, op: op, ticket: op.ticket})
	r.w.Advance(time.Second)
	op.contentChanged = true
	r.w.Link = func(from, to cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
		for _, m := range e.Messages {
			if m.Forward != nil && m.Forward.Deed == cornelwall.DeedSubmit {
				return fake.Delivery{}
			}
		}
		return r.link(from, to, e)
	}
	d.send(other, &request{kind: submit, op: op, ticket: op.ticket, changed: true})
	r.w.Advance(20 * time.Second)
	assert.Equal(t, r.failure, "")
	assert.Equal(t, r.replies[cornelwall.Done], 1)
	assert.Equal(t, r.replies[cornelwall.Pending], 1)
}
