package dispatch

import (
	"math"
	"slices"
	"time"

	"cornelwall"
)

// wakeTime is how long nothing is assigned or started after a pause of the process. What
// came while it lasted is read first: a caller may have left, and have sent its batch
// elsewhere.
const wakeTime = 100 * time.Millisecond

// waking reports whether the process has paused just now.
func (c *Core) waking() bool { return c.now.Sub(c.woke) < wakeTime }

const (
	nearCost    = 1.0   // ms, of a holder in the same data centre
	farCost     = 4.0   // ms, of one in another
	spreadCost  = 8.0   // ms, by the number of places that are free at another entry, as word of them is old
	releaseTime = 150.0 // ms, after which a place that is taken becomes free
	missCost    = 40.0  // ms, of each time that a holder did not start a task of late
	maxEager    = 2     // times that a task may come back for want of room before it waits where it is
)

// view is what an owner believes a holder has free: its last word, less what was
// assigned to it since.
type view struct {
	vacancy cornelwall.FreeCapacity
	exact   bool // it is of this entry itself
}

// places returns how many tasks of the need fit.
func (v *view) places(need cornelwall.Resources) int {
	n := 0
	for _, free := range v.vacancy.Free {
		if need.Cores > 0 {
			n += free.Cores / need.Cores
		} else {
			n++
		}
	}
	return n
}

// deduct takes note of a task that is assigned. It fills the place that is left with the
// least, as the holder does.
func (v *view) deduct(need cornelwall.Resources, class int, estimate time.Duration) {
	best := -1
	for i, free := range v.vacancy.Free {
		if need.Fits(free) && (best < 0 || free.Cores < v.vacancy.Free[best].Cores) {
			best = i
		}
	}
	if best >= 0 {
		v.vacancy.Free[best] = v.vacancy.Free[best].Minus(need)
		return
	}
	v.vacancy.Queued = addQueued(v.vacancy.Queued, class, need, estimate)
}

// addQueued adds a task to the work that waits by class.
func addQueued(queued []int, class int, need cornelwall.Resources, estimate time.Duration) []int {
	if len(queued) < cornelwall.FreeCapacityClasses { // none, or word of another version
		queued = append(slices.Clone(queued), make([]int, cornelwall.FreeCapacityClasses-len(queued))...)
	}
	queued[min(max(class, 0), cornelwall.FreeCapacityClasses-1)] += need.Cores * int(estimate.Milliseconds())
	return queued
}

// wait returns about how long a task of the need waits, in milliseconds: until a place
// becomes free, and until the tasks of its class and those before it have had theirs.
func (v *view) wait(need cornelwall.Resources, class int) float64 {
	ahead := 0
	for k, n := range v.vacancy.Queued {
		if k <= class {
			ahead += n
		}
	}
	if n := v.places(need); n > 0 && ahead == 0 {
		if v.exact {
			return 0
		}
		return spreadCost / float64(n)
	}
	if v.vacancy.Total == 0 {
		return math.Inf(1)
	}
	return (float64(need.Cores)*releaseTime + float64(ahead)) / float64(v.vacancy.Total)
}

// candidate is a holder that tasks may be assigned to.
type candidate struct {
	id   cornelwall.Incarnation
	view *view
	near float64
}

// candidates returns the holders that answer, in a stable order.
func (c *Core) candidates() []candidate {
	var list []candidate
	if !c.leaving() {
		own := view{vacancy: c.vacancy(), exact: true}
		list = append(list, candidate{id: c.cfg.Self, view: &own})
	}
	for _, p := range c.links {
		if !c.linked(p) {
			continue
		}
		near := farCost
		if p.id.DataCentre == c.cfg.Self.DataCentre {
			near = nearCost
		}
		list = append(list, candidate{id: p.id, view: &p.view, near: near})
	}
	return list
}

// assignIdle hands the tasks of a job that may start to holders.
func (c *Core) assignIdle(j *job) {
	if j.closing || c.waking() || c.endings.batch[j.id] > 0 {
		return
	}
	var holders []candidate
	assigns := map[cornelwall.Incarnation]*cornelwall.Assign{}
	var order []cornelwall.Incarnation
	for _, t := range j.tasks {
		if t.state != taskIdle || c.now.Before(t.next) || !j.ready(t.step) {
			continue
		}
		if holders == nil {
			if holders = c.candidates(); len(holders) == 0 {
				c.seek()
				return
			}
		}
		s := &j.batch.Steps[t.step]
		best := pick(holders, s, t)
		if best == nil || best.view.places(s.Need) == 0 {
			c.seek()
		}
		if best == nil {
			t.next = c.now.Add(retryPause)
			continue
		}
		t.eager = best.id != c.cfg.Self && t.misses < maxEager && best.view.places(s.Need) > 0
		best.view.deduct(s.Need, j.queue.Priority, s.Estimate)
		t.state, t.holder, t.since, t.run = taskAssigned, best.id, c.now, c.newRun(t)
		c.tasks[t.run] = t
		if assigns[best.id] == nil {
			assigns[best.id] = c.newAssign(j, best.id)
			order = append(order, best.id)
		}
		assigns[best.id].Tasks = append(assigns[best.id].Tasks, cornelwall.AssignTask{
			RunID: t.run, Need: s.Need, Estimate: s.Estimate, Requires: s.Requires, Rack: s.Rack, PerEndpoint: s.PerEndpoint, AvoidEndpoint: t.avoid, StoppedAsStraggler: t.stopped, ReturnIfBusy: t.eager,
		})
	}
	for _, id := range order {
		c.log("assigned", "job", j.id, "to", id, "tasks", len(assigns[id].Tasks), "run", assigns[id].Tasks[0].Run)
		c.send(id, cornelwall.Message{Assign: assigns[id]})
	}
}

// expectedWait returns how long the tasks of a job wait for a place at the holder where
// they wait least, or 0 if no holder is known.
func (c *Core) expectedWait(j *job) time.Duration {
	least := math.Inf(1)
	for _, h := range c.candidates() {
		if h.view.vacancy.Total > 0 {
			least = min(least, h.view.wait(j.batch.Steps[0].Need, j.queue.Priority))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return time.Duration(least * float64(time.Millisecond))
}

// pick returns the holder at which a task should start first, or nil.
func pick(holders []candidate, s *cornelwall.Step, t *task) *candidate {
	var best *candidate
	var bestCost float64
	for i := range holders {
		h := &holders[i]
		if h.view.vacancy.Total == 0 {
			continue
		}
		cost := h.near + h.view.wait(s.Need, t.job.queue.Priority)
		if h.id == t.holder {
			cost += missCost * float64(t.misses)
		}
		if best == nil || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	return best
}

func (c *Core) newAssign(j *job, to cornelwall.Incarnation) *cornelwall.Assign {
	m := &cornelwall.Assign{
		Service: j.queue.Service, Spec: j.batch.Spec, Class: j.queue.Priority, Remaining: j.rest(), Count: len(j.tasks),
		DueIn: j.due.Sub(c.now), UsefulFor: j.last.Sub(c.now),
	}
	if p := c.peers[to]; p != nil {
		m.Session = p.theirSession
	}
	return m
}

// ready reports whether all steps before one are done.
func (j *job) ready(step int) bool {
	for _, k := range j.batch.Steps[step].After {
		if j.left[k] > 0 {
			return false
		}
	}
	return true
}
