package dispatch

import (
	"time"

	"cornelwall"
)

// jobCaller is a request that waits for the answer to a job, or a peer that does.
type jobCaller struct {
	req      uint64                 // or, of a peer, the number of its claim
	peer     cornelwall.Incarnation // that has joined the batch for its own callers; zero for a caller of this entry
	deadline time.Time              // by which it is answered
}

// callerDeadline returns the time by which the caller of a batch is answered.
func (c *Core) callerDeadline(q *cornelwall.Queue, ev *cornelwall.SubmitBatch) time.Time {
	timeLeft := ev.TimeLeft
	if timeLeft <= 0 {
		timeLeft = q.Timeout
	}
	return c.now.Add(timeLeft - ev.Waited - answerMargin)
}

// joinJob adds a caller of this entry to a job.
func (c *Core) joinJob(j *job, w jobCaller) {
	j.addCaller(w)
	c.jobsByReq[w.req] = j
	c.log("batch-joined", "job", j.id, "left", w.deadline.Sub(c.now))
	if j.claim.state == joined {
		c.sendJoin(j) // with the new deadline
	}
	c.answerExpiredCallers(j)
}

// addCaller adds a caller. If it waits longer than the others, a refusal that has begun is dropped, and decided anew by the
// later deadline.
func (j *job) addCaller(w jobCaller) {
	before := j.deadline
	j.callers = append(j.callers, w)
	j.setDeadline()
	j.refusing = j.refusing && !j.deadline.After(before)
}

// setDeadline sets the deadline of a job to the latest one of its callers.
func (j *job) setDeadline() {
	j.deadline = time.Time{}
	for _, w := range j.callers {
		if w.deadline.After(j.deadline) {
			j.deadline = w.deadline
		}
	}
}

// answerExpiredCallers answers the callers whose deadline has passed while the job goes on for others.
func (c *Core) answerExpiredCallers(j *job) {
	if c.now.After(j.deadline) {
		return
	}
	waiting := j.callers[:0]
	for _, w := range j.callers {
		if !c.now.After(w.deadline) {
			waiting = append(waiting, w)
			continue
		}
		c.log("caller-expired", "job", j.id, "begun", j.started)
		c.emit(cornelwall.CountReason{Reason: cornelwall.ReasonDeadline, N: 1})
		c.answerCaller(j, w, cornelwall.BatchAnswer{
			End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonDeadline,
			Text: "the deadline of this request has passed; the batch goes on for another one",
		})
	}
	j.callers = waiting
}

// answerCaller sends a caller its final answer.
func (c *Core) answerCaller(j *job, w jobCaller, a cornelwall.BatchAnswer) {
	if !w.peer.IsZero() {
		c.send(w.peer, cornelwall.Message{JoinReply: &cornelwall.JoinReply{ID: j.id, Number: w.req, State: cornelwall.JoinAnswered, Answer: a}})
		return
	}
	delete(c.jobsByReq, w.req)
	c.emit(cornelwall.ReplyBatch{Req: w.req, Answer: a})
}

// handleCallerGone removes a caller that has disconnected. A batch without callers is cancelled,
// since its caller may send it to another entry.
func (c *Core) handleCallerGone(req uint64) {
	j := c.jobsByReq[req]
	if j == nil {
		c.forgetCanceller(req)
		return
	}
	delete(c.jobsByReq, req)
	c.removeCallers(j, func(w jobCaller) bool { return w.peer.IsZero() && w.req == req })
}
