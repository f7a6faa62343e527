// Package queue orders the tasks that wait for a machine at the owner of their job.
//
// Tasks of a higher class go first, but a small share of the starts goes to the lowest class
// that waits, so that none starves. Within a class the teams share the starts by weighted fair
// queueing (start-time fair queueing over expected run time, weighted by quota). Within a team jobs are
// ranked by the time of submission plus a penalty in proportion to the work that is left: small
// jobs and jobs that are almost done overtake large ones, but aging ensures that every job starts.
//
// All operations take time logarithmic in the number of waiting jobs, except Forecast, which is
// linear in the number of teams and of the jobs of one team.
//
// # Usage
//
//	q := queue.New()
//	q.Push(queue.Group{Job: seq, Need: need, Class: class, Team: team, Weight: 1, Submitted: now, Tasks: []int{0, 1}})
//	job, task, ok := q.Pop(need)
//	q.Remove(seq)
package queue

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/heap"
)

const (
	// sizePenalty is the share of the slot time of a group that is added to its rank.
	sizePenalty = 0.05
	// lowClassInterval is the number of starts of a need of which one goes to the lowest class that
	// waits.
	lowClassInterval = 16
)

// Queue holds the waiting tasks, separated by need.
type Queue struct {
	byNeed   map[cornelwall.Need]*needQueue
	byJob    map[uint64][]*group
	profiles map[string]*profile
	len      int
}

// profile enforces the concurrency limit of a profile. Its waiting tasks that the limit allows to
// start are eligible, the others are blocked.
type profile struct {
	limit    int // tasks that may run at once; 0 is no limit
	running  int
	len      int                // waiting tasks
	eligible int                // waiting tasks that may start
	blocked  *heap.Heap[*group] // groups with tasks that are not eligible, in order of rank
}

// allowed returns how many of want further tasks may become eligible.
func (p *profile) allowed(want int) int {
	if p.limit == 0 {
		return want
	}
	return max(0, min(want, p.limit-p.running-p.eligible))
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{byNeed: map[cornelwall.Need]*needQueue{}, byJob: map[uint64][]*group{}, profiles: map[string]*profile{}}
}

// Len returns the number of waiting tasks, including blocked ones.
func (q *Queue) Len() int { return q.len }

// ProfileLen returns the number of waiting tasks of a profile.
func (q *Queue) ProfileLen(name string) int {
	if p := q.profiles[name]; p != nil {
		return p.len
	}
	return 0
}

// Waiting returns the number of eligible tasks of one need.
func (q *Queue) Waiting(need cornelwall.Need) int {
	if nq := q.byNeed[need]; nq != nil {
		return nq.len
	}
	return 0
}

// Needs returns the needs of the eligible tasks, the smallest first.
func (q *Queue) Needs() []cornelwall.Need {
	if len(q.byNeed) == 0 {
		return nil
	}
	needs := make([]cornelwall.Need, 0, len(q.byNeed))
	for need, nq := range q.byNeed {
		if nq.len > 0 {
			needs = append(needs, need)
		}
	}
	slices.SortFunc(needs, func(a, b cornelwall.Need) int {
		return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.Accelerators, b.Accelerators))
	})
	return needs
}

// Push adds tasks. If the job already has a group of the same need, they are appended to it. This is
// also how a task is queued again if its start did not happen.
func (q *Queue) Push(g Group) {
	for _, other := range q.byJob[g.Job] {
		if other.Need == g.Need {
			q.unlink(other)
			other.Tasks = append(other.Tasks, g.Tasks...)
			q.link(other)
			return
		}
	}
	g.Tasks = slices.Clone(g.Tasks)
	added := &group{Group: g, index: -1, blockedIndex: -1}
	q.byJob[g.Job] = append(q.byJob[g.Job], added)
	q.link(added)
}

// link adds a group to the counts and heaps.
func (q *Queue) link(g *group) {
	g.rank = g.Submitted.Add(time.Duration(sizePenalty * float64(len(g.Tasks)) * float64(g.RunTime)))
	q.len += len(g.Tasks)
	p := q.profile(g.Profile)
	p.len += len(g.Tasks)
	q.setLimit(p, g.Limit)
	g.eligible = p.allowed(len(g.Tasks))
	p.eligible += g.eligible
	if g.eligible < len(g.Tasks) {
		p.blocked.Push(g)
	}
	if g.eligible > 0 {
		q.schedule(g)
	}
}

// unlink is the reverse of link.
func (q *Queue) unlink(g *group) {
	q.len -= len(g.Tasks)
	p := q.profile(g.Profile)
	p.len -= len(g.Tasks)
	p.eligible -= g.eligible
	if g.blockedIndex >= 0 {
		p.blocked.Remove(g)
	}
	if g.eligible > 0 {
		q.unschedule(g)
	}
}

// setLimit sets the limit of a profile. Eligible tasks stay eligible even if the limit becomes lower;
// no more become eligible until it allows them.
func (q *Queue) setLimit(p *profile, n int) {
	if p.limit == n {
		return
	}
	p.limit = n
	q.unblock(p)
}

// unblock makes blocked tasks eligible as far as the limit of their profile allows.
func (q *Queue) unblock(p *profile) {
	for p.blocked.Len() > 0 && p.allowed(1) > 0 {
		g := p.blocked.Top()
		q.unlink(g)
		q.link(g)
	}
}

// Release records that a task of the profile that was popped has ended.
func (q *Queue) Release(name string) {
	p := q.profiles[name]
	if p == nil {
		return
	}
	p.running--
	q.unblock(p)
	q.dropProfile(name)
}

// dropProfile removes a profile that has no tasks.
func (q *Queue) dropProfile(name string) {
	if p := q.profiles[name]; p != nil && p.running <= 0 && p.len == 0 {
		delete(q.profiles, name)
	}
}

// profile returns the profile with the name, which it creates if there is none.
func (q *Queue) profile(name string) *profile {
	p := q.profiles[name]
	if p == nil {
		p = &profile{blocked: heap.New(ranksBefore, func(g *group) *int { return &g.blockedIndex })}
		q.profiles[name] = p
	}
	return p
}

// schedule adds the eligible tasks of a group to the queue of its class.
func (q *Queue) schedule(g *group) {
	nq := q.byNeed[g.Need]
	if nq == nil {
		nq = newNeedQueue()
		q.byNeed[g.Need] = nq
	}
	nq.len += g.eligible
	cq := &nq.classes[g.Class]
	cq.work += g.work()
	t := cq.teamOf(g.Team)
	t.weight = float64(max(1, g.Weight))
	t.work += g.work()
	g.team = t
	t.groups.Push(g)
	if t.index < 0 {
		t.startTag = max(t.startTag, cq.virtualTime)
		cq.byStartTag.Push(t)
	}
}

// unschedule is the reverse of schedule.
func (q *Queue) unschedule(g *group) {
	nq := q.byNeed[g.Need]
	nq.len -= g.eligible
	t := g.team
	t.work -= g.work()
	t.class.work -= g.work()
	t.groups.Remove(g)
	if t.groups.Len() == 0 {
		t.class.byStartTag.Remove(t)
	}
	if nq.len == 0 {
		delete(q.byNeed, g.Need) // with nothing waiting, no team is owed starts for those of another
	}
}

// Pop removes and returns the next eligible task of the need. It counts as running until
// Release is called for its profile.
func (q *Queue) Pop(need cornelwall.Need) (job uint64, task int, ok bool) {
	nq := q.byNeed[need]
	if nq == nil {
		return 0, 0, false
	}
	cq := nq.nextClass()
	nq.pops++
	t := cq.byStartTag.Top()
	g := t.groups.Top()
	cq.virtualTime = t.startTag
	t.startTag += g.RunTime.Seconds() / t.weight
	cq.byStartTag.Fix(t)
	q.unlink(g)
	q.profile(g.Profile).running++
	task = g.Tasks[0]
	g.Tasks = g.Tasks[1:]
	if len(g.Tasks) > 0 {
		q.link(g)
	} else {
		q.dropGroup(g)
	}
	return g.Job, task, true
}

// dropGroup removes an empty group from its job.
func (q *Queue) dropGroup(g *group) {
	groups := slices.DeleteFunc(q.byJob[g.Job], func(other *group) bool { return other == g })
	if len(groups) == 0 {
		delete(q.byJob, g.Job)
	} else {
		q.byJob[g.Job] = groups
	}
}

// Head returns the highest class with eligible tasks of the need, and the rank of its next
// job. It ignores the starts that go to the lowest class: the result ranks this entry's requests at
// lenders, and a request that was ranked by the lowest class could wait there for too long.
func (q *Queue) Head(need cornelwall.Need) (class cornelwall.Class, rank time.Time, ok bool) {
	nq := q.byNeed[need]
	if nq == nil {
		return 0, time.Time{}, false
	}
	high, _ := nq.extremes()
	g := high.byStartTag.Top().groups.Top()
	return g.Class, g.rank, true
}

// Remove drops the waiting tasks of a job and returns their number.
func (q *Queue) Remove(job uint64) int {
	n := 0
	for _, g := range q.byJob[job] {
		n += len(g.Tasks)
		q.unlink(g)
		q.unblock(q.profile(g.Profile))
		q.dropProfile(g.Profile)
	}
	delete(q.byJob, job)
	return n
}

// Groups returns the groups of a job that have waiting tasks.
func (q *Queue) Groups(job uint64) []Group {
	var groups []Group
	for _, g := range q.byJob[job] {
		groups = append(groups, g.Group)
	}
	return groups
}

// SetRunTime changes the expected run time of the waiting tasks of a job.
func (q *Queue) SetRunTime(job uint64, runTime time.Duration) {
	for _, g := range q.byJob[job] {
		q.unlink(g)
		g.RunTime = runTime
		q.link(g)
	}
}
