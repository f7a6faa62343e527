package dispatch

import (
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

// resumeDelay is the time after a pause of the process in which nothing is assigned or started.
// Events that arrived during the pause are handled first: a caller may have disconnected and sent
// its batch to another entry.
const resumeDelay = 100 * time.Millisecond

// resuming reports whether the process has resumed from a pause less than resumeDelay ago.
func (c *Core) resuming() bool { return c.now.Sub(c.resumedAt) < resumeDelay }

// holderOptions returns the holders that can be given tasks now, in a deterministic order.
func (c *Core) holderOptions() []policy.HolderOption {
	list := make([]policy.HolderOption, 0, len(c.links)+1)
	if !c.isStopping() {
		own := policy.HolderView{Capacity: c.freeCapacity(), Exact: true}
		list = append(list, policy.HolderOption{ID: c.cfg.Self, View: &own, IsSelf: true, SameCentre: true})
	}
	for _, p := range c.links {
		if c.canAssign(p) && !c.mayStartInEvacuated(p) {
			list = append(list, policy.HolderOption{ID: p.id, View: &p.view, SameCentre: p.id.DataCentre == c.cfg.Self.DataCentre})
		}
	}
	return list
}

// assignTasks assigns the idle tasks of a job whose dependencies are done to holders.
func (c *Core) assignTasks(j *job) {
	if j.claim.state != owned || j.refusing || c.resuming() || c.catchingUp() || c.pendingEnds.perBatch[j.id] > 0 {
		return
	}
	inTurn := c.crashes.InTurn(j.id)
	if inTurn && j.anyAssigned() {
		return
	}
	var holders []policy.HolderOption
	assigns := map[cornelwall.Incarnation]*cornelwall.Assign{}
	var order []cornelwall.Incarnation
	for _, t := range j.tasks {
		if t.state != taskIdle || c.now.Before(t.retryAt) || !j.stepReady(t.step) || c.crashes.Suspicion(c.now, t.name) >= policy.OnHold {
			continue
		}
		if holders == nil {
			if holders = c.holderOptions(); len(holders) == 0 {
				c.seekCapacity()
				return
			}
		}
		s := &j.batch.Steps[t.step]
		idle := policy.IdleTask{Need: s.Need, Class: j.queue.Priority, MissedStarts: t.missedStarts, MaxPace: c.maxPace(j, t.step)}
		best := policy.PickHolder(holders, &idle)
		if best == nil || best.View.FreePlaces(s.Need) == 0 {
			c.seekCapacity()
		}
		if best == nil {
			t.retryAt = c.now.Add(minRetryBackoff)
			continue
		}
		t.returnIfBusy = idle.ReturnIfBusy(best)
		best.View.Reserve(&idle, j.estimate(t.step))
		t.state, t.holder, t.changedAt, t.run = taskAssigned, best.ID, c.now, c.newRunID(t)
		c.tasksByRun[t.run] = t
		if assigns[best.ID] == nil {
			assigns[best.ID] = c.newAssign(j, best.ID)
			order = append(order, best.ID)
		}
		assigns[best.ID].Tasks = append(assigns[best.ID].Tasks, cornelwall.AssignTask{
			RunID: t.run, Need: s.Need, Estimate: j.estimate(t.step), Requires: s.Requires, Rack: s.Rack, PerEndpoint: s.PerEndpoint, AvoidEndpoint: t.avoidEndpoint, StoppedAsStraggler: t.wasStopped, ReturnIfBusy: t.returnIfBusy,
			Crashes: c.crashes.Count(t.name),
		})
		if inTurn {
			break
		}
	}
	for _, id := range order {
		c.log("assigned", "job", j.id, "to", id, "tasks", len(assigns[id].Tasks), "run", assigns[id].Tasks[0].Run)
		c.send(id, cornelwall.Message{Assign: assigns[id]})
	}
}

// anyAssigned reports whether a holder has a task of the job.
func (j *job) anyAssigned() bool {
	return slices.ContainsFunc(j.tasks, (*task).isAssigned)
}

// newAssign returns an assignment of a job to a holder, without tasks.
func (c *Core) newAssign(j *job, to cornelwall.Incarnation) *cornelwall.Assign {
	m := &cornelwall.Assign{
		Service: j.queue.Service, Spec: j.batch.Spec, Class: j.queue.Priority, Remaining: j.remaining(), Count: len(j.tasks),
		DueIn: j.due.Sub(c.now), UsefulFor: j.usefulUntil.Sub(c.now),
	}
	if p := c.peers[to]; p != nil {
		m.Session = p.theirSession
	}
	return m
}

// stepReady reports whether all steps that a step depends on are done.
func (j *job) stepReady(step int) bool {
	for _, k := range j.batch.Steps[step].After {
		if j.unfinished[k] > 0 {
			return false
		}
	}
	return true
}
