// Package queue orders the tasks that wait at an owner for a machine.
//
// Tasks of a higher class go first, but a small share of the starts goes to the lower
// classes, so that none starves. Within a class the teams share by the weight of their
// quota (start-time fair queueing over expected run time). Within a team the job goes
// first whose submission, put off by a share of the work that it has left, is the
// earliest: small jobs and jobs that are nearly through pass large ones, but no job
// waits for ever.
//
// All operations but Ahead take time logarithmic in the number of waiting jobs; Ahead
// is linear in the number of teams and of the jobs of one team.
//
// # Usage
//
//	q := queue.New()
//	q.Push(queue.Lot{Job: seq, Need: need, Class: class, Team: team, Weight: 1, Since: now, Tasks: []int{0, 1}})
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
	// sizePenalty puts a job off by this share of its work, in slot time.
	sizePenalty = 0.05
	// lowClassInterval is one in how many starts of a need goes to the lower classes.
	lowClassInterval = 16
)

// Queue holds the waiting tasks, apart by need.
type Queue struct {
	byNeed   map[cornelwall.Need]*needQueue
	byJob    map[uint64][]*group
	profiles map[string]*profile
	len      int
}

// profile holds a profile to its limit.
type profile struct {
	limit    int // 0 is none
	running  int
	len      int                // waiting tasks
	eligible int                // of them, those that may start
	blocked  *heap.Heap[*group] // those with tasks that may not, in the order in which they may go on
}

// allowed returns how many more tasks may be open.
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

// Len returns the number of waiting tasks, those of blocked profiles included.
func (q *Queue) Len() int { return q.len }

// ProfileLen returns the number of waiting tasks of a profile.
func (q *Queue) ProfileLen(name string) int {
	if p := q.profiles[name]; p != nil {
		return p.len
	}
	return 0
}

// Waiting returns the number of tasks of one need that may start.
func (q *Queue) Waiting(need cornelwall.Need) int {
	if l := q.byNeed[need]; l != nil {
		return l.len
	}
	return 0
}

// Needs returns the needs of the tasks that may start, the smallest first.
func (q *Queue) Needs() []cornelwall.Need {
	if len(q.byNeed) == 0 {
		return nil
	}
	needs := make([]cornelwall.Need, 0, len(q.byNeed))
	for need, l := range q.byNeed {
		if l.len > 0 {
			needs = append(needs, need)
		}
	}
	slices.SortFunc(needs, func(a, b cornelwall.Need) int {
		return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.Accelerators, b.Accelerators))
	})
	return needs
}

// Push adds tasks. They join the lot that the job has already, which is how a task
// goes back whose start did not happen.
func (q *Queue) Push(l Group) {
	for _, have := range q.byJob[l.Job] {
		if have.Need == l.Need {
			q.unlink(have)
			have.Tasks = append(have.Tasks, l.Tasks...)
			q.link(have)
			return
		}
	}
	l.Tasks = slices.Clone(l.Tasks)
	added := &group{Group: l, index: -1, blockedIndex: -1}
	q.byJob[l.Job] = append(q.byJob[l.Job], added)
	q.link(added)
}

// link enters a lot into the counts and heaps.
func (q *Queue) link(l *group) {
	l.rank = l.Submitted.Add(time.Duration(sizePenalty * float64(len(l.Tasks)) * float64(l.RunTime)))
	q.len += len(l.Tasks)
	p := q.profile(l.Profile)
	p.len += len(l.Tasks)
	q.setLimit(p, l.Limit)
	l.eligible = p.allowed(len(l.Tasks))
	p.eligible += l.eligible
	if l.eligible < len(l.Tasks) {
		p.blocked.Push(l)
	}
	if l.eligible > 0 {
		q.schedule(l)
	}
}

// unlink is the reverse of put.
func (q *Queue) unlink(l *group) {
	q.len -= len(l.Tasks)
	p := q.profile(l.Profile)
	p.len -= len(l.Tasks)
	p.eligible -= l.eligible
	if l.blockedIndex >= 0 {
		p.blocked.Remove(l)
	}
	if l.eligible > 0 {
		q.unschedule(l)
	}
}

// setLimit sets the limit of a profile. Tasks that are open already stay so, even if the
// setLimit becomes lower; no more are opened until it allows them.
func (q *Queue) setLimit(p *profile, n int) {
	if p.limit == n {
		return
	}
	p.limit = n
	q.unblock(p)
}

// unblock lets tasks start that the limit of their profile held back.
func (q *Queue) unblock(p *profile) {
	for p.blocked.Len() > 0 && p.allowed(1) > 0 {
		l := p.blocked.Top()
		q.unlink(l)
		q.link(l)
	}
}

// Release says that a task of the profile which was popped runs no longer.
func (q *Queue) Release(name string) {
	p := q.profiles[name]
	if p == nil {
		return
	}
	p.running--
	q.unblock(p)
	q.dropProfile(name)
}

// dropProfile forgets a profile that has no tasks.
func (q *Queue) dropProfile(name string) {
	if p := q.profiles[name]; p != nil && p.running <= 0 && p.len == 0 {
		delete(q.profiles, name)
	}
}

func (q *Queue) profile(name string) *profile {
	p := q.profiles[name]
	if p == nil {
		p = &profile{blocked: heap.New(ranksBefore, func(l *group) *int { return &l.blockedIndex })}
		q.profiles[name] = p
	}
	return p
}

// schedule lets a lot start.
func (q *Queue) schedule(l *group) {
	ls := q.byNeed[l.Need]
	if ls == nil {
		ls = newNeedQueue()
		q.byNeed[l.Need] = ls
	}
	ls.len += l.eligible
	ln := &ls.classes[l.Class]
	ln.work += l.work()
	t := ln.teamOf(l.Team)
	t.weight = float64(max(1, l.Weight))
	t.work += l.work()
	l.team = t
	t.groups.Push(l)
	if t.index < 0 {
		t.finishTag = max(t.finishTag, ln.virtualTime)
		ln.turns.Push(t)
	}
}

// unschedule is the reverse of offer.
func (q *Queue) unschedule(l *group) {
	ls := q.byNeed[l.Need]
	ls.len -= l.eligible
	t := l.team
	t.work -= l.work()
	t.class.work -= l.work()
	t.groups.Remove(l)
	if t.groups.Len() == 0 {
		t.class.turns.Remove(t)
	}
	if ls.len == 0 {
		delete(q.byNeed, l.Need) // with nothing waiting, no team owes another anything
	}
}

// Pop removes and returns the next task of the need that may start. It runs until
// Release is called for its profile.
func (q *Queue) Pop(need cornelwall.Need) (job uint64, task int, ok bool) {
	ls := q.byNeed[need]
	if ls == nil {
		return 0, 0, false
	}
	ln := ls.nextClass()
	ls.pops++
	t := ln.turns.Top()
	l := t.groups.Top()
	ln.virtualTime = t.finishTag
	t.finishTag += l.RunTime.Seconds() / t.weight
	ln.turns.Fix(t)
	q.unlink(l)
	q.profile(l.Profile).running++
	task = l.Tasks[0]
	l.Tasks = l.Tasks[1:]
	if len(l.Tasks) > 0 {
		q.link(l)
	} else {
		q.dropGroup(l)
	}
	return l.Job, task, true
}

// dropGroup drops an empty lot from its job.
func (q *Queue) dropGroup(l *group) {
	lots := slices.DeleteFunc(q.byJob[l.Job], func(have *group) bool { return have == l })
	if len(lots) == 0 {
		delete(q.byJob, l.Job)
	} else {
		q.byJob[l.Job] = lots
	}
}

// Head returns the highest class that waits for the need and the time by which its
// next job is ranked. It does not depend on whose turn it is, as an entry that stood in
// the queue of a home for a lower class would wait for a turn that never comes.
func (q *Queue) Head(need cornelwall.Need) (class cornelwall.Class, rank time.Time, ok bool) {
	ls := q.byNeed[need]
	if ls == nil {
		return 0, time.Time{}, false
	}
	high, _ := ls.extremes()
	l := high.turns.Top().groups.Top()
	return l.Class, l.rank, true
}

// Remove drops the waiting tasks of a job and returns their number.
func (q *Queue) Remove(job uint64) int {
	n := 0
	for _, l := range q.byJob[job] {
		n += len(l.Tasks)
		q.unlink(l)
		q.unblock(q.profile(l.Profile))
		q.dropProfile(l.Profile)
	}
	delete(q.byJob, job)
	return n
}

// Groups returns what waits of a job.
func (q *Queue) Groups(job uint64) []Group {
	var ls []Group
	for _, l := range q.byJob[job] {
		ls = append(ls, l.Group)
	}
	return ls
}

// SetRunTime changes the expected run time of the waiting tasks of a job.
func (q *Queue) SetRunTime(job uint64, each time.Duration) {
	for _, l := range q.byJob[job] {
		q.unlink(l)
		l.RunTime = each
		q.link(l)
	}
}
