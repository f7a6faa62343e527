package dispatch

import (
	"fmt"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/crash"
	"cornelwall/core/policy"
)

// maxOrderedCrashes is the number of crashes in a report that travels among the ordered messages.
const maxOrderedCrashes = 64

// suspicionOfRun returns what is concluded about the task of a run, whose owner may know of more crashes.
func (c *Core) suspicionOfRun(r *run) policy.Suspicion {
	return max(c.crashes.Suspicion(c.now, r.id.Task), policy.SuspicionOfCount(r.Crashes))
}

// suspicionAt returns how far other runs have to keep away from an endpoint: the highest suspicion of the
// runs there. A suspect whose start has not been answered may have crashed it, and is isolated until then.
func (c *Core) suspicionAt(l *lease) policy.Suspicion {
	highest := policy.Unsuspected
	for _, r := range l.runs {
		s := c.suspicionOfRun(r)
		if s == policy.Suspected && !r.startAnswered {
			s = policy.Isolated
		}
		highest = max(highest, s)
	}
	return highest
}

// recordCrash records that an endpoint has crashed under the runs of its lease or, unless the crash is
// confirmed, that it may have. All of them count, also those whose start got no answer. An endpoint that
// has announced that it leaves has not crashed.
func (c *Core) recordCrash(l *lease, boot int64, state cornelwall.CrashState) {
	if boot == 0 || l.leaveAnnounced || l.ep.Leaving || len(l.runs) == 0 {
		return
	}
	var found []string
	runs := l.sortedRuns()
	alone := len(runs) == 1 && len(l.orphans) == 0
	for _, r := range runs {
		rc := cornelwall.RunCrash{RunID: r.id, Endpoint: l.ep.ID, Boot: boot, Alone: alone, State: state, Find: c.crashes.NextFind(r.id)}
		if r.startOpen {
			rc.State = cornelwall.CrashSuspected // the answer to its start settles it
		}
		if !c.crashes.Merge(&rc, c.now, cornelwall.Incarnation{}) {
			continue
		}
		found = append(found, cornelwall.BatchOf(r.id.Task))
		c.log("task-suspect", "task", r.id.Task, "run", r.id.Run, "endpoint", l.ep.ID, "crashes", c.crashes.Count(r.id.Task), "alone", alone, "suspicion", c.crashes.Suspicion(c.now, r.id.Task),
			"begun", r.startAnswered, "seen", r.seenFor(), "silent", c.now.Sub(l.answeredAt))
	}
	if len(found) == 0 {
		return
	}
	l.suspectedAtPoll = l.lastPoll
	c.log("endpoint-crashed", "endpoint", l.ep.ID, "boot", boot, "runs", len(runs), "state", state, "silent", l.unansweredFor(c.now))
	c.sendCrashesToAll()
	c.actOnCrashes(found)
}

// seenFor returns the time from the start of a run until the endpoint last told that it runs, or 0 if it has not.
func (r *run) seenFor() time.Duration {
	if r.seenAt.IsZero() {
		return 0
	}
	return r.seenAt.Sub(r.startedAt)
}

// recordSilentCrash records that an endpoint whose lease has expired may have crashed, if it has given
// no answer for longer than the longest poll takes. Nothing more starts there until it answers. If it was this
// process that stood still, the answer that waits withdraws the crash.
func (c *Core) recordSilentCrash(l *lease) {
	if l.phase == phaseSuperseded || l.unansweredFor(c.now) <= pollWait+pollMargin {
		return
	}
	if l.phase == phaseReady {
		l.phase = phaseUnreachable
		c.log("endpoint-lost", "endpoint", l.ep.ID, "silent", l.unansweredFor(c.now))
	}
	c.recordCrash(l, l.boot, cornelwall.CrashSuspected)
}

// resolveCrashes withdraws the crashes of the boot that an endpoint has reported, as it was only cut off,
// and confirms those of other boots. The poll that it answered was sent after the crashes were recorded.
func (c *Core) resolveCrashes(id string, boot int64) {
	c.updateCrashes(id, boot, func(x *crash.Record) cornelwall.CrashState {
		r := c.runs[x.RunID]
		switch {
		case x.Boot == boot:
			return cornelwall.CrashWithdrawn
		case r != nil && r.startOpen:
			return x.State
		}
		return cornelwall.CrashConfirmed
	})
	c.sendCrashesToAll()
}

// confirmCrashesOf confirms the crashes of a boot of an endpoint that has ended.
func (c *Core) confirmCrashesOf(id string, boot int64) {
	c.updateCrashes(id, 0, func(x *crash.Record) cornelwall.CrashState {
		if x.Boot == boot {
			return cornelwall.CrashConfirmed
		}
		return x.State
	})
}

// confirmAllCrashes confirms the crashes of an endpoint that is gone.
func (c *Core) confirmAllCrashes(id string) {
	c.updateCrashes(id, 0, func(*crash.Record) cornelwall.CrashState { return cornelwall.CrashConfirmed })
}

// settleStart settles the crash under a run by the answer to its start: a run that was refused has not begun. Without a
// refusal the crash is confirmed if the boot has ended, as it has where the lease has.
func (c *Core) settleStart(ev *cornelwall.OrderResult, l *lease) {
	x := c.crashes.OfRun(ev.Run)
	if x == nil || x.State == cornelwall.CrashWithdrawn {
		return
	}
	switch {
	case ev.Refusal != cornelwall.RefusedNone && ev.Refusal != cornelwall.RefusedUnknown:
		c.settleCrash(x, cornelwall.CrashWithdrawn)
	case x.State == cornelwall.CrashSuspected && (l == nil || l.boot != 0 && l.boot != x.Boot):
		c.settleCrash(x, cornelwall.CrashConfirmed)
	}
}

func (c *Core) settleCrash(x *crash.Record, state cornelwall.CrashState) {
	c.log("crash-resolved", "task", x.Task, "run", x.Run, "endpoint", x.Endpoint, "boot", x.Boot, "state", state, "answered", 0)
	c.crashes.SetState(x, state)
	c.sendCrashesToAll()
	c.actOnCrashes([]string{cornelwall.BatchOf(x.Task)})
}

// awaitsSettling reports whether an answer of an endpoint can settle crashes there that no poll under way can.
func (c *Core) awaitsSettling(l *lease) bool {
	for _, x := range c.crashes.AtEndpoint(l.ep.ID) {
		if x.State == cornelwall.CrashSuspected || l.suspectedAtPoll >= l.lastPoll {
			return true
		}
	}
	return false
}

// updateCrashes sets the states of the crashes of an endpoint, and acts on those that have changed. The boot is the one that
// has answered, or 0 if none has.
func (c *Core) updateCrashes(id string, answered int64, state func(*crash.Record) cornelwall.CrashState) {
	var changed []string
	for _, x := range c.crashes.AtEndpoint(id) {
		s := state(x)
		if s <= x.State {
			continue
		}
		c.log("crash-resolved", "task", x.Task, "run", x.Run, "endpoint", id, "boot", x.Boot, "state", s, "answered", answered)
		c.crashes.SetState(x, s)
		changed = append(changed, cornelwall.BatchOf(x.Task))
	}
	c.actOnCrashes(changed)
}

// sendCrashesToAll sends the peers that are alive the crashes that they have not been sent.
func (c *Core) sendCrashesToAll() {
	for _, p := range c.peersByID {
		if c.isAlive(p) {
			c.sendCrashes(p)
		}
	}
}

// sendCrashes sends a peer the crashes that it has not been sent.
func (c *Core) sendCrashes(p *peer) {
	if p.crashSeq >= c.crashes.LastChange() {
		return
	}
	list := c.crashes.News(c.now, p.crashSeq, p.id)
	p.crashSeq = c.crashes.LastChange()
	c.reportCrashes(p.id, list)
}

func (c *Core) reportCrashes(to cornelwall.Incarnation, list []cornelwall.RunCrash) {
	for chunk := range slices.Chunk(list, cornelwall.MaxReportedCrashes) {
		c.send(to, cornelwall.Message{CrashReport: &cornelwall.CrashReport{Crashes: chunk}})
	}
}

// handleCrashReport adds the crashes that a peer knows of.
func (c *Core) handleCrashReport(from cornelwall.Incarnation, m *cornelwall.CrashReport) {
	var changed []string
	for i := range m.Crashes {
		rc := &m.Crashes[i]
		if c.crashes.Merge(rc, c.now.Add(-rc.Age), from) {
			changed = append(changed, cornelwall.BatchOf(rc.Task))
			c.awaitLaterPoll(rc.Endpoint)
		}
	}
	c.actOnCrashes(changed)
}

// awaitLaterPoll leaves the crashes of an endpoint to the polls that are still to be sent: an answer to an
// earlier one may be from before them.
func (c *Core) awaitLaterPoll(endpoint string) {
	if ep := c.endpoints[endpoint]; ep != nil && ep.lease != nil {
		ep.lease.suspectedAtPoll = ep.lease.lastPoll
	}
}

// actOnCrashes acts on what is new of the crashes under the runs of batches: it returns waiting runs that must
// not start, and gives up jobs of this entry that have a withheld task. Any other job of them counts as started: a
// refusal would tell its caller that it has not run.
func (c *Core) actOnCrashes(batches []string) {
	if len(batches) == 0 {
		return
	}
	c.backlogChanged = true
	for _, r := range slices.Clone(c.backlog) {
		if c.crashes.Suspicion(c.now, r.id.Task) >= policy.OnHold {
			c.withdrawRun(r, true)
		}
	}
	slices.Sort(batches)
	for _, batch := range slices.Compact(batches) {
		if j := c.jobs[batch]; j != nil {
			j.started = true
			c.giveUpIfWithheld(j)
		}
	}
}

// returnSuspect returns an assigned run that must not start, with the reason why.
func (c *Core) returnSuspect(owner cornelwall.Incarnation, id cornelwall.RunID) {
	c.reportCrashes(owner, c.crashes.OfTask(c.now, id.Task))
	c.sendResult(owner, cornelwall.RunResult{RunID: id, End: cornelwall.RunUnstarted})
}

// giveUpIfWithheld gives up a job of this entry that has a task which is withheld beyond the job's deadline, and reports
// whether it did.
func (c *Core) giveUpIfWithheld(j *job) bool {
	task := c.crashes.WithheldTask(c.now, j.id)
	if task == "" || !c.isWithheldAt(task, j.deadline) {
		return false
	}
	c.finishJob(j, c.withheldAnswer(task))
	return true
}

// isWithheldAt reports whether a task that is withheld still is at a time.
func (c *Core) isWithheldAt(task string, t time.Time) bool {
	return t.Before(c.now.Add(c.crashes.WithheldFor(c.now, task)))
}

// withheldAnswer tells a caller why its batch is not run for now.
func (c *Core) withheldAnswer(task string) cornelwall.BatchAnswer {
	d := c.crashes.WithheldFor(c.now, task)
	return cornelwall.BatchAnswer{
		End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonCrash, RetryAfter: d,
		Text: fmt.Sprintf("%d endpoints have crashed while task %s may have been at work there; it is not started again for %s", c.crashes.Count(task), task, d.Round(time.Second)),
	}
}

// reasonOfLoss returns why a run was lost.
func (c *Core) reasonOfLoss(id cornelwall.RunID) cornelwall.Reason {
	if x := c.crashes.OfRun(id); x != nil && x.State != cornelwall.CrashWithdrawn {
		return cornelwall.ReasonCrash
	}
	return cornelwall.ReasonLost
}
