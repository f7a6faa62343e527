package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall/core/policy"
)

// overloadEndDelay is the time without queued work after which an overload counts as over.
const overloadEndDelay = 500 * time.Millisecond

// overload is the state of the log lines on the load that this entry sheds.
type overload struct {
	since  time.Time      // start of the present overload; zero if there is none
	seenAt time.Time      // when queued work was last seen
	shed   map[string]int // batches that were shed since the start of the entry, by queue
	before map[string]int // shed as of since
}

// trackOverload logs when an overload begins and ends, judged by the queued work that holders report.
func (c *Core) trackOverload() {
	if !c.cfg.Shed {
		return
	}
	o := &c.overload
	if load := c.queueLoad(); load.IsCrowded(0) {
		if o.since.IsZero() {
			o.since, o.before = c.now, maps.Clone(o.shed)
			c.log("overload", "queued", load.Drain(), "millicores", load.Cores, "jobs", len(c.jobs))
		}
		o.seenAt = c.now
	}
	if o.since.IsZero() || c.now.Sub(o.seenAt) < overloadEndDelay {
		return
	}
	shed := maps.Clone(o.shed)
	for queue, n := range o.before {
		if shed[queue] -= n; shed[queue] == 0 {
			delete(shed, queue)
		}
	}
	c.log("overload-over", "lasted", o.seenAt.Sub(o.since), "shed", shed)
	o.since = time.Time{}
}

// overloadedFor returns for how long there has been an overload.
func (c *Core) overloadedFor() time.Duration {
	if c.overload.since.IsZero() {
		return 0
	}
	return c.now.Sub(c.overload.since)
}

// countShed counts a job that is refused to make way for others.
func (c *Core) countShed(j *job) {
	if c.overload.shed == nil {
		c.overload.shed = map[string]int{}
	}
	c.overload.shed[j.queue.Name]++
}

// admit returns whether to take a job on arrival.
func (c *Core) admit(j *job, b *policy.Batch) policy.Admission {
	if !c.cfg.Shed {
		return b.Admit(c.now, policy.ShortestWait(c.holderOptions(), j.batch.Steps[0].Need, j.queue.Priority))
	}
	load := c.serviceLoad(j.queue.Service)
	ahead := c.queueLoad().Ahead(j.queue.Priority)
	return b.AdmitQueued(c.now, load.Overtaken(ahead, j.queue.Priority))
}

// queueLoad returns the work that waits at the holders that this entry knows. It is computed once for each event,
// as both the admission of a batch and the answer to its caller use it.
func (c *Core) queueLoad() *policy.QueueLoad {
	if c.queued != nil {
		return c.queued
	}
	c.queued = new(policy.QueueLoad)
	own := c.freeCapacity()
	c.queued.Add(&own)
	for _, p := range c.links {
		if c.canAssign(p) {
			c.queued.Add(&p.view.Capacity)
		}
	}
	return c.queued
}

// waitingWork returns the work of the tasks of a job that wait at holders.
func (j *job) waitingWork() int {
	work := 0
	for _, t := range j.tasks {
		if t.state == taskAssigned {
			work += j.batch.Steps[t.step].Need.Cores * int(j.estimate(t.step).Milliseconds())
		}
	}
	return work
}

// countsAsQueued reports whether a waiting run is part of the queued work that this entry reports. An entry that
// sheds load leaves out late runs, as they go behind all others.
func (c *Core) countsAsQueued(r *run) bool {
	if c.cfg.Shed {
		return r.waiting().TimelinessAt(c.now) == policy.OnTime
	}
	return r.waiting().Value(c.now) > 0
}

// rankBacklog sorts the waiting runs by rank.
func (c *Core) rankBacklog() {
	siblings, total := c.waitingSiblings(), c.heldCores()
	ranks := make(map[*run]policy.Rank, len(c.backlog))
	for _, r := range c.backlog {
		share := float64(r.Need.Cores) / float64(total)
		ranks[r] = r.waiting().RankAmong(c.now, siblings[stepName(r.id.Task)], share, r.Need.Cores, c.classShares.IsStarved(c.now, r.class))
	}
	slices.SortFunc(c.backlog, func(a, b *run) int {
		return cmp.Or(ranks[a].Compare(ranks[b]), cmp.Compare(a.id.Task, b.id.Task))
	})
}

// reservations holds the reserved endpoints during one pass over the backlog.
type reservations map[*lease]policy.Reservation

// allow reports whether a run may start under a lease.
func (s reservations) allow(now time.Time, r *run, l *lease) bool {
	reservation, ok := s[l]
	return !ok || reservation.Allows(r.Need, l.ep.Capacity.Minus(l.used), now.Add(r.Estimate))
}

// reserveFor reserves the endpoint on which a run that found no place is expected to fit first.
func (c *Core) reserveFor(r *run, held []*endpoint, reserved reservations) {
	if !c.cfg.Shed || len(reserved) >= policy.MaxReservations(len(held)) || !r.waiting().MayReserve(c.now, r.receivedAt) {
		return
	}
	var best *lease
	var bestAt time.Time
	for _, ep := range held {
		l := ep.lease
		if _, taken := reserved[l]; taken || !c.usable(l) || !c.allowed(r, l) || c.isSlow(l) {
			continue
		}
		at, ok := policy.EarliestFit(c.now, r.Need, ep.Capacity.Minus(l.used), l.occupied())
		if ok && at.Before(r.due.Add(-r.Estimate)) && (best == nil || at.Before(bestAt)) {
			best, bestAt = l, at
		}
	}
	if best != nil {
		reserved[best] = policy.Reservation{Need: r.Need, At: bestAt}
	}
}

// occupied returns the needs of the runs of a lease, and when they are expected to end.
func (l *lease) occupied() []policy.Occupied {
	list := make([]policy.Occupied, 0, len(l.runs))
	for _, r := range l.sortedRuns() {
		list = append(list, policy.Occupied{Need: r.Need, Ends: r.startedAt.Add(r.Estimate)})
	}
	return list
}
