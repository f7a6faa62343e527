package dispatch

import (
	"math"
	"slices"
	"time"

	"cornelwall"
)

// resumeDelay is the time after a pause of the process in which nothing is assigned or started.
// Events that arrived during the pause are handled first: a caller may have disconnected and sent
// its batch to another entry.
const resumeDelay = 100 * time.Millisecond

// resuming reports whether the process has resumed from a pause less than resumeDelay ago.
func (c *Core) resuming() bool { return c.now.Sub(c.resumedAt) < resumeDelay }

const (
	sameCentreCost  = 1.0   // ms, for another holder in the same data centre
	otherCentreCost = 4.0   // ms, for a holder in another data centre
	staleViewCost   = 8.0   // ms, divided by the places free at another entry, as its report may be outdated
	releaseTime     = 150.0 // ms, assumed wait until an occupied place becomes free
	missedStartCost = 40.0  // ms, for each time in a row that a task did not start, at its last holder
	maxBusyReturns  = 2     // times that a busy holder may return a task before the task waits there
)

// holderView is an owner's estimate of the free capacity of a holder: what the holder last
// reported, less the tasks assigned to it since.
type holderView struct {
	freeCapacity cornelwall.FreeCapacity
	exact        bool // it is this entry's own capacity
}

// freePlaces returns how many tasks with the need fit, judged by their cores alone. For a task that
// needs no cores, each endpoint with free capacity counts once.
func (v *holderView) freePlaces(need cornelwall.Resources) int {
	n := 0
	for _, free := range v.freeCapacity.Free {
		if need.Cores > 0 {
			n += free.Cores / need.Cores
		} else {
			n++
		}
	}
	return n
}

// reserve deducts a task that is assigned. Like the holder it is best fit: it uses the endpoint
// with the least free cores on which the task fits.
func (v *holderView) reserve(need cornelwall.Resources, class int, estimate time.Duration) {
	best := -1
	for i, free := range v.freeCapacity.Free {
		if need.Fits(free) && (best < 0 || free.Cores < v.freeCapacity.Free[best].Cores) {
			best = i
		}
	}
	if best >= 0 {
		v.freeCapacity.Free[best] = v.freeCapacity.Free[best].Minus(need)
		return
	}
	v.freeCapacity.Queued = addQueued(v.freeCapacity.Queued, class, need, estimate)
}

// addQueued adds a task to the queued work of its class.
func addQueued(queued []int, class int, need cornelwall.Resources, estimate time.Duration) []int {
	if len(queued) < cornelwall.FreeCapacityClasses { // empty, or from an entry of another version
		queued = append(slices.Clone(queued), make([]int, cornelwall.FreeCapacityClasses-len(queued))...)
	}
	queued[min(max(class, 0), cornelwall.FreeCapacityClasses-1)] += need.Cores * int(estimate.Milliseconds())
	return queued
}

// expectedWait estimates how long a task with the need waits, in milliseconds: for a place to
// become free, and for the queued tasks of its own and of higher classes to go first.
func (v *holderView) expectedWait(need cornelwall.Resources, class int) float64 {
	ahead := 0
	for k, n := range v.freeCapacity.Queued {
		if k <= class {
			ahead += n
		}
	}
	if n := v.freePlaces(need); n > 0 && ahead == 0 {
		if v.exact {
			return 0
		}
		return staleViewCost / float64(n)
	}
	if v.freeCapacity.Total == 0 {
		return math.Inf(1)
	}
	return (float64(need.Cores)*releaseTime + float64(ahead)) / float64(v.freeCapacity.Total)
}

// candidate is a holder that tasks may be assigned to.
type candidate struct {
	id           cornelwall.Incarnation
	view         *holderView
	distanceCost float64
}

// candidates returns the holders that can be given tasks now, in a deterministic order.
func (c *Core) candidates() []candidate {
	var list []candidate
	if !c.isStopping() {
		own := holderView{freeCapacity: c.freeCapacity(), exact: true}
		list = append(list, candidate{id: c.cfg.Self, view: &own})
	}
	for _, p := range c.links {
		if !c.canAssign(p) {
			continue
		}
		cost := otherCentreCost
		if p.id.DataCentre == c.cfg.Self.DataCentre {
			cost = sameCentreCost
		}
		list = append(list, candidate{id: p.id, view: &p.view, distanceCost: cost})
	}
	return list
}

// assignTasks assigns the idle tasks of a job whose dependencies are done to holders.
func (c *Core) assignTasks(j *job) {
	if j.refusing || c.resuming() || c.pendingEnds.perBatch[j.id] > 0 {
		return
	}
	var holders []candidate
	assigns := map[cornelwall.Incarnation]*cornelwall.Assign{}
	var order []cornelwall.Incarnation
	for _, t := range j.tasks {
		if t.state != taskIdle || c.now.Before(t.retryAt) || !j.stepReady(t.step) {
			continue
		}
		if holders == nil {
			if holders = c.candidates(); len(holders) == 0 {
				c.seekCapacity()
				return
			}
		}
		s := &j.batch.Steps[t.step]
		best := pickHolder(holders, s, t)
		if best == nil || best.view.freePlaces(s.Need) == 0 {
			c.seekCapacity()
		}
		if best == nil {
			t.retryAt = c.now.Add(minRetryBackoff)
			continue
		}
		t.returnIfBusy = best.id != c.cfg.Self && t.missedStarts < maxBusyReturns && best.view.freePlaces(s.Need) > 0
		best.view.reserve(s.Need, j.queue.Priority, j.estimate(t.step))
		t.state, t.holder, t.changedAt, t.run = taskAssigned, best.id, c.now, c.newRunID(t)
		c.tasksByRun[t.run] = t
		if assigns[best.id] == nil {
			assigns[best.id] = c.newAssign(j, best.id)
			order = append(order, best.id)
		}
		assigns[best.id].Tasks = append(assigns[best.id].Tasks, cornelwall.AssignTask{
			RunID: t.run, Need: s.Need, Estimate: j.estimate(t.step), Requires: s.Requires, Rack: s.Rack, PerEndpoint: s.PerEndpoint, AvoidEndpoint: t.avoidEndpoint, StoppedAsStraggler: t.wasStopped, ReturnIfBusy: t.returnIfBusy,
		})
	}
	for _, id := range order {
		c.log("assigned", "job", j.id, "to", id, "tasks", len(assigns[id].Tasks), "run", assigns[id].Tasks[0].Run)
		c.send(id, cornelwall.Message{Assign: assigns[id]})
	}
}

// expectedWait estimates how long the tasks of a job wait at the holder with the shortest wait. It
// is 0 if no holder is known.
func (c *Core) expectedWait(j *job) time.Duration {
	least := math.Inf(1)
	for _, h := range c.candidates() {
		if h.view.freeCapacity.Total > 0 {
			least = min(least, h.view.expectedWait(j.batch.Steps[0].Need, j.queue.Priority))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return time.Duration(least * float64(time.Millisecond))
}

// pickHolder returns the holder with the lowest cost for a task, or nil if none has any capacity.
func pickHolder(holders []candidate, s *cornelwall.Step, t *task) *candidate {
	var best *candidate
	var bestCost float64
	for i := range holders {
		h := &holders[i]
		if h.view.freeCapacity.Total == 0 {
			continue
		}
		cost := h.distanceCost + h.view.expectedWait(s.Need, t.job.queue.Priority)
		if h.id == t.holder {
			cost += missedStartCost * float64(t.missedStarts)
		}
		if best == nil || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	return best
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
