package dispatch

import (
	"strings"

	"cornelwall"
)

// start orders a run to start.
func (c *Core) start(r *run, l *lease) {
	r.state, r.startAt = runStarting, c.now
	l.add(r)
	c.emit(cornelwall.StartRun{
		Endpoint: l.ep.Endpoint, Fence: l.fence, Run: r.id, Spec: r.spec, LeaseUntil: l.extend(c.now),
	})
}

// ordered takes the answer to a start or stop.
func (c *Core) ordered(ev cornelwall.OrderResult) {
	r := c.runs[ev.Run]
	l := c.leaseOf(ev.Endpoint, ev.Fence)
	if l == nil {
		return // what ran there is settled by the lease or the next holder
	}
	switch {
	case ev.Fence != l.fence:
	case ev.Refusal == cornelwall.RefusedFence:
		if r != nil && r.at == l && !ev.Stop {
			c.startAnswered(r, ev.Refusal)
		}
		c.yield(l)
		return
	case ev.Refusal == cornelwall.RefusedBoot:
		c.replaced(l)
		return
	case ev.Clock > 0:
		c.checkClock(l, r, &ev)
		c.setClock(l, ev.Clock)
	}
	switch {
	case r == nil || r.at != l:
	case ev.Stop:
		c.stopAnswered(r, ev.Refusal)
	default:
		c.startAnswered(r, ev.Refusal)
	}
}

// checkClock notices by its clock that an endpoint has started anew before it took an order.
// A stop may be sent several times, and the answer may be that to the first.
func (c *Core) checkClock(l *lease, r *run, ev *cornelwall.OrderResult) {
	if r == nil || r.at != l || l.clockAt.IsZero() {
		return
	}
	sent := r.startAt
	if ev.Stop {
		sent = r.stopAt
	}
	if ev.Clock < l.clockLow(sent)-clockGrain {
		c.restarted(l, 0)
	}
}

func (c *Core) startAnswered(r *run, refusal cornelwall.Refusal) {
	fit := &r.at.ep.fit
	switch refusal {
	case cornelwall.RefusedNone:
		fit.answered()
		if r.settledBy == 0 {
			r.settledBy = r.at.lastLook + 1
		}
		if r.state == runStarting {
			c.runBegan(r)
		}
		c.keepLease(r.at)
		return
	case cornelwall.RefusedUnknown:
		fit.silent(c.now)
		c.log("start-unanswered", "task", r.id.Task, "run", r.id.Run, "endpoint", r.at.ep.ID)
		c.stopRun(r)
		return
	case cornelwall.RefusedRoom:
		fit.refused(c.now, roomPause)
	case cornelwall.RefusedUnhealthy, cornelwall.RefusedInvalid:
		fit.refused(c.now, unhealthyPause)
	case cornelwall.RefusedConnect:
		fit.silent(c.now)
	}
	c.log("start-refused", "task", r.id.Task, "run", r.id.Run, "endpoint", r.at.ep.ID, "why", refusal)
	c.endRun(r, cornelwall.RunUnstarted, endRefused)
}

// runBegan tells the owner where its task runs.
func (c *Core) runBegan(r *run) {
	r.state = runRunning
	m := &cornelwall.RunsStarted{Endpoint: r.at.ep.ID, Fence: r.at.fence, Runs: []cornelwall.RunID{r.id}}
	c.send(r.owner, cornelwall.Message{RunsStarted: m})
}

// stopRun orders a run to stop. Its end comes with a look.
func (c *Core) stopRun(r *run) {
	if r.state == runStopping {
		return
	}
	r.state, r.stopAt, r.settledBy = runStopping, c.now, 0
	if r.at.phase != phaseYielded {
		c.sendStop(r)
	}
}

func (c *Core) sendStop(r *run) {
	r.stopSent = c.now
	c.emit(cornelwall.StopRun{Endpoint: r.at.ep.Endpoint, Fence: r.at.fence, Run: r.id})
}

func (c *Core) stopAnswered(r *run, refusal cornelwall.Refusal) {
	if refusal != cornelwall.RefusedNone || r.state != runStopping || r.stopped {
		return // it is sent again
	}
	r.stopped, r.settledBy = true, r.at.lastLook+1
	if r.at.looks < looksAtOnce {
		c.look(r.at, 0)
	}
}

// endRun takes note of the end of a run and tells its owner. An end that the endpoint itself
// has not told is logged with what it was concluded from.
func (c *Core) endRun(r *run, how cornelwall.RunEnd, cause endCause) {
	l := r.at
	if cause != endListed && cause != endRefused {
		c.log("run-over", "task", r.id.Task, "run", r.id.Run, "endpoint", l.ep.ID, "how", how, "cause", cause,
			"owner", r.owner, "started", c.now.Sub(r.startAt), "answered", c.now.Sub(l.answered))
	}
	l.remove(r)
	delete(c.runs, r.id)
	c.changed = true
	took := c.now.Sub(r.startAt)
	l.ep.fit.ended(c.now, how, took, r.Estimate)
	over := cornelwall.RunResult{RunID: r.id, End: how, Endpoint: l.ep.ID, Took: took}
	c.ended[r.id] = endedRun{over: over, at: c.now}
	c.tellOver(r.owner, over)
}

func (c *Core) tellOver(to cornelwall.Incarnation, o cornelwall.RunResult) {
	c.send(to, cornelwall.Message{RunResults: &cornelwall.RunResults{Runs: []cornelwall.RunResult{o}}})
}

// stepOf returns the part of a task's name that all tasks of its step share.
func stepOf(task string) string {
	if i := strings.LastIndexByte(task, '.'); i >= 0 {
		return task[:i]
	}
	return task
}
