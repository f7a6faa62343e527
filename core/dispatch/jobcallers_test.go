package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// simSubmission returns the event that a caller submits a batch of one task.
func simSubmission(req uint64, id string, timeLeft, waited, estimate time.Duration) cornelwall.SubmitBatch {
	return cornelwall.SubmitBatch{Req: req, Host: "h", Path: "/q/" + id, TimeLeft: timeLeft, Waited: waited, Batch: &cornelwall.BatchJob{
		ID: id, Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 8000}, Estimate: estimate}},
	}}
}

// TestBatchRunsUntilDeadlineOfItsLastWaitingCaller guards against the deadline of one caller being applied to another.
func TestBatchRunsUntilDeadlineOfItsLastWaitingCaller(t *testing.T) {
	const (
		none     = cornelwall.BatchEnd(-1)
		joinAt   = 500 * time.Millisecond
		goneAt   = time.Second
		runTime  = 5 * time.Second
		estimate = time.Second
	)
	tests := []struct {
		name         string
		first        time.Duration // time to the first caller's deadline
		joined       time.Duration // time to the joined caller's deadline, from its request
		waited       time.Duration // before the joined request is read
		gone         uint64        // request whose caller leaves
		endsAt       time.Duration // by which the run has ended
		firstAnswer  cornelwall.BatchEnd
		joinedAnswer cornelwall.BatchEnd
	}{
		{"shorter, first gone", 4 * time.Second, 2 * time.Second, 0, 1, 2500 * time.Millisecond, none, cornelwall.BatchGivenUp},
		{"shorter, read late", 4 * time.Second, 2 * time.Second, 400 * time.Millisecond, 1, 2100 * time.Millisecond, none, cornelwall.BatchGivenUp},
		{"shorter", 9 * time.Second, 2 * time.Second, 0, 0, runTime, cornelwall.BatchDone, cornelwall.BatchGivenUp},
		{"passed", 9 * time.Second, 2 * time.Second, 3 * time.Second, 0, runTime, cornelwall.BatchDone, cornelwall.BatchGivenUp},
		{"passed, first gone", 9 * time.Second, 2 * time.Second, 3 * time.Second, 1, goneAt, none, cornelwall.BatchGivenUp},
		{"longer", 2 * time.Second, 8 * time.Second, 0, 0, runTime, cornelwall.BatchGivenUp, cornelwall.BatchDone},
		{"longer, first gone", 2 * time.Second, 8 * time.Second, 0, 1, runTime, none, cornelwall.BatchDone},
		{"longer, of the queue", 2 * time.Second, 0, 0, 0, runTime, cornelwall.BatchGivenUp, cornelwall.BatchDone},
		{"longer, joined gone", 2 * time.Second, 8 * time.Second, 0, 2, 2 * time.Second, cornelwall.BatchGivenUp, none},
		{"longer, both pass", 2 * time.Second, 3 * time.Second, 0, 0, 3500 * time.Millisecond, cornelwall.BatchGivenUp, cornelwall.BatchGivenUp},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const id = "00000000000000ab"
			s, owner, _ := newOwnerAndHolder(t)
			start := s.now
			s.step(owner, simSubmission(1, id, tt.first, 0, estimate))
			s.advance(joinAt)
			assert.Equal(t, len(s.running), 1)
			j := s.cores[owner].jobs[id]
			due, usefulUntil := j.due, j.usefulUntil
			s.step(owner, simSubmission(2, id, tt.joined, tt.waited, estimate))
			_, answered := s.replies[2]
			assert.Equal(t, answered, tt.waited > tt.joined, "a request whose deadline has passed is answered at once")
			assert.Equal(t, j.due, due)
			assert.Equal(t, j.usefulUntil, usefulUntil)
			s.advance(goneAt - joinAt)
			if tt.gone != 0 {
				s.step(owner, cornelwall.CallerGone{Req: tt.gone})
			}
			const stopTime = 80 * time.Millisecond // from the deadline until the run has stopped
			s.advance(tt.endsAt - goneAt + stopTime)
			assert.Equal(t, len(s.running), 0, "the batch still runs")
			assert.Equal(t, len(s.cores[owner].jobs), 0)
			assert.Equal(t, len(s.starts), 1)

			check := func(req uint64, want cornelwall.BatchEnd, deadline time.Time) {
				t.Helper()
				r, ok := s.replies[req]
				if want == none {
					assert.Assert(t, !ok, "request %d is answered after its caller has left", req)
					return
				}
				assert.Assert(t, ok, "request %d has no answer", req)
				assert.Equal(t, r.answer.End, want)
				if want != cornelwall.BatchGivenUp {
					return
				}
				assert.Equal(t, r.answer.Reason, cornelwall.ReasonDeadline)
				earliest := deadline.Add(-answerMargin)
				if read := start.Add(joinAt); req == 2 && earliest.Before(read) {
					earliest = read
				}
				assert.Assert(t, !r.at.Before(earliest), "request %d is given up %s early", req, earliest.Sub(r.at))
				assert.Assert(t, r.at.Sub(earliest) <= tickInterval, "request %d is given up %s late", req, r.at.Sub(earliest))
			}
			check(1, tt.firstAnswer, start.Add(tt.first))
			check(2, tt.joinedAnswer, start.Add(joinAt+tt.joined-tt.waited))
		})
	}
}

// TestJoinedCallerStopsRefusalThatHasBegun guards against a refusal by the deadline of the first caller alone.
func TestJoinedCallerStopsRefusalThatHasBegun(t *testing.T) {
	const (
		id       = "00000000000000ab"
		estimate = time.Second
		timeLeft = 3 * time.Second
	)
	s, owner, _ := newOwnerAndHolder(t)
	s.extraDelay = func(_, _ cornelwall.Incarnation, m *cornelwall.Message) time.Duration {
		if m.Withdraw != nil {
			return 100 * time.Millisecond
		}
		return 0
	}
	s.step(owner, simSubmission(1, "00000000000000cd", 9*time.Second, 0, estimate))
	s.advance(50 * time.Millisecond)
	s.step(owner, simSubmission(2, id, timeLeft, 0, estimate))
	j := s.cores[owner].jobs[id]
	s.advance(timeLeft - answerMargin - estimate/2 - 80*time.Millisecond)
	assert.Assert(t, j.refusing)
	s.step(owner, simSubmission(3, id, 10*time.Second, 0, estimate))
	s.advance(10 * time.Second)
	assert.Equal(t, s.replies[1].answer.End, cornelwall.BatchDone)
	assert.Equal(t, s.replies[2].answer.End, cornelwall.BatchGivenUp)
	assert.Equal(t, s.replies[3].answer.End, cornelwall.BatchDone)
	assert.Equal(t, len(s.starts), 2)
}
