package dispatch

import (
	"strings"
	"time"

	"cornelwall"
)

// startRun orders the endpoint of a lease to start a run.
func (c *Core) startRun(r *run, l *lease) {
	r.state, r.startedAt, r.startOpen = runStarting, c.now, true
	l.addRun(r)
	c.emit(cornelwall.StartRun{
		Endpoint: l.target(), Fence: l.fence, Run: r.id, Spec: r.spec, LeaseUntil: l.extend(c.now), Boot: l.boot,
	})
}

// handleOrderResult handles the answer of an endpoint to a start or stop.
func (c *Core) handleOrderResult(ev cornelwall.OrderResult) {
	r := c.runs[ev.Run]
	l := c.leaseForFence(ev.Endpoint, ev.Fence)
	if !ev.Stop {
		if r != nil {
			r.startOpen = false
		}
		c.settleStart(&ev, l)
	}
	if l == nil {
		return // the expiry of the lease or the next holder determines the ends of its runs
	}
	switch {
	case ev.Fence != l.fence:
	case ev.Refusal == cornelwall.RefusedFence:
		if r != nil && r.lease == l && !ev.Stop {
			c.handleStartResult(r, ev.Refusal)
		}
		c.handleFencedOut(l)
		return
	case ev.Refusal == cornelwall.RefusedBoot:
		if r != nil && r.lease == l && !ev.Stop && !r.startAnswered {
			c.handleStartResult(r, ev.Refusal)
		}
		c.handleReplaced(l)
		return
	case ev.Refusal == cornelwall.RefusedRestarted:
		if r != nil && r.lease == l {
			c.handleStartResult(r, ev.Refusal)
		}
		c.handleRestart(l, 0)
		return
	case ev.Clock > 0:
		c.detectRestart(l, r, &ev)
		c.updateClock(l, ev.Clock)
	}
	switch {
	case r == nil || r.lease != l:
	case ev.Stop:
		c.handleStopResult(r, ev.Refusal)
	default:
		if ev.Refusal == cornelwall.RefusedNone {
			r.startAnswered, r.seenAt = true, c.now
		}
		if r.startAnswered && ev.Clock > 0 {
			r.progress.Record(c.now, 0, ev.Clock)
		}
		c.handleStartResult(r, ev.Refusal)
	}
}

// detectRestart detects from the clock in an answer that the endpoint restarted before it handled
// the order: the clock is behind the time that it had certainly reached when the order was sent. A
// stop may be sent several times and the answer may be to the first, so the time of the first is
// used.
func (c *Core) detectRestart(l *lease, r *run, ev *cornelwall.OrderResult) {
	if r == nil || r.lease != l || l.clockAt.IsZero() {
		return
	}
	sent := r.startedAt
	if ev.Stop {
		sent = r.stopRequestedAt
	}
	if ev.Clock < l.minClock(sent)-clockResolution {
		c.handleRestart(l, 0)
	}
}

// handleStartResult handles the answer of an endpoint to a start, or its absence.
func (c *Core) handleStartResult(r *run, refusal cornelwall.Refusal) {
	health := &r.lease.ep.health
	switch refusal {
	case cornelwall.RefusedNone:
		health.RecordAnswer()
		c.startReplies.Record(c.now.Sub(r.startedAt))
		if r.endProofPoll == 0 {
			r.endProofPoll = r.lease.lastPoll + 1
		}
		if r.state == runStarting {
			c.reportStarted(r)
		}
		c.pollIfDue(r.lease)
		return
	case cornelwall.RefusedUnknown:
		c.abandonStart(r)
		return
	}
	health.RecordRefusal(c.now, refusal)
	c.log("start-refused", "task", r.id.Task, "run", r.id.Run, "endpoint", r.lease.ep.ID, "why", refusal)
	c.endRun(r, cornelwall.RunUnstarted, endRefused)
}

// abandonStart stops a run whose start got no answer, as the endpoint may still carry it out. A run
// that the endpoint has listed meanwhile goes on.
func (c *Core) abandonStart(r *run) {
	if r.state != runStarting {
		if r.state == runRunning && r.endProofPoll == 0 {
			r.endProofPoll = r.lease.lastPoll + 1
		}
		return
	}
	r.lease.ep.health.RecordSilence(c.now)
	c.log("start-unanswered", "task", r.id.Task, "run", r.id.Run, "endpoint", r.lease.ep.ID, "after", c.now.Sub(r.startedAt))
	c.stopRun(r)
}

// abandonUnansweredStarts stops the runs of a lease whose starts have got no answer within the time
// that answers usually take. Time in which this process did not run does not count.
func (c *Core) abandonUnansweredStarts(l *lease) {
	limit := c.startReplies.Timeout()
	for _, r := range filterRuns(l.runs, func(r *run) bool { return r.state == runStarting }) {
		r.unansweredTicks++
		if time.Duration(r.unansweredTicks-1)*tickInterval > limit {
			c.abandonStart(r)
		}
	}
}

// reportStarted reports to the owner where its task runs.
func (c *Core) reportStarted(r *run) {
	r.state, r.reportedAt = runRunning, c.now
	m := &cornelwall.RunsStarted{Endpoint: r.lease.ep.ID, Fence: r.lease.fence, Runs: []cornelwall.RunID{r.id}, Confirm: r.awaitsConfirm()}
	c.send(r.owner, cornelwall.Message{RunsStarted: m})
}

// stopRun orders a run to stop. A later poll of the endpoint confirms its end.
func (c *Core) stopRun(r *run) {
	if r.state == runStopping {
		return
	}
	r.state, r.stopRequestedAt, r.endProofPoll = runStopping, c.now, 0
	if r.lease.phase != phaseSuperseded {
		c.sendStop(r)
	}
}

func (c *Core) sendStop(r *run) {
	r.lastStopSent = c.now
	c.emit(cornelwall.StopRun{Endpoint: r.lease.target(), Fence: r.lease.fence, Run: r.id})
}

// handleStopResult handles the answer of an endpoint to a stop.
func (c *Core) handleStopResult(r *run, refusal cornelwall.Refusal) {
	if refusal != cornelwall.RefusedNone || r.state != runStopping || r.stopAcked {
		return // a stop without an answer is sent again by pollIfDue
	}
	r.lease.ep.health.RecordContact()
	r.stopAcked, r.endProofPoll = true, r.lease.lastPoll+1
	if r.lease.openPolls < maxOpenPolls {
		c.poll(r.lease, 0)
	}
}

// endRun records the end of a run and sends the result to its owner. An end that the endpoint did
// not report itself is logged with the evidence for it.
func (c *Core) endRun(r *run, end cornelwall.RunEnd, cause endCause) {
	l := r.lease
	if cause != endListed && cause != endRefused {
		c.log("run-over", "task", r.id.Task, "run", r.id.Run, "endpoint", l.ep.ID, "how", end, "cause", cause,
			"owner", r.owner, "started", c.now.Sub(r.startedAt), "answered", c.now.Sub(l.answeredAt))
	}
	l.removeRun(r)
	delete(c.runs, r.id)
	c.backlogChanged = true
	took := c.now.Sub(r.startedAt)
	l.ep.health.RecordEnd(c.now, end, c.endedSlowdown(r, end, took))
	result := cornelwall.RunResult{RunID: r.id, End: end, Endpoint: l.ep.ID, Took: took}
	c.endedRuns[r.id] = endedRun{result: result, endedAt: c.now}
	if end == cornelwall.RunDone {
		c.crashes.Clear(r.id.Task)
	}
	c.sendResult(r.owner, result)
}

func (c *Core) sendResult(to cornelwall.Incarnation, result cornelwall.RunResult) {
	c.send(to, cornelwall.Message{RunResults: &cornelwall.RunResults{Runs: []cornelwall.RunResult{result}}})
}

// stepName returns the part of a task's name that is common to all tasks of its step.
func stepName(task string) string {
	if i := strings.LastIndexByte(task, '.'); i >= 0 {
		return task[:i]
	}
	return task
}
