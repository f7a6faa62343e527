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
	// sizeShare puts a job off by this share of its work, in slot time.
	sizeShare = 0.05
	// lowShare is one in how many starts of a need goes to the lower classes.
	lowShare = 16
)

// Queue holds the waiting tasks, apart by need.
type Queue struct {
	needs    map[cornelwall.Need]*lanes
	jobs     map[uint64][]*lot
	profiles map[string]*profile
	len      int
}

// profile holds a profile to its limit.
type profile struct {
	limit   int // 0 is none
	running int
	len     int              // waiting tasks
	open    int              // of them, those that may start
	held    *heap.Heap[*lot] // those with tasks that may not, in the order in which they may go on
}

// room returns how many more tasks may be open.
func (p *profile) room(want int) int {
	if p.limit == 0 {
		return want
	}
	return max(0, min(want, p.limit-p.running-p.open))
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{needs: map[cornelwall.Need]*lanes{}, jobs: map[uint64][]*lot{}, profiles: map[string]*profile{}}
}

// Len returns the number of waiting tasks, those of blocked profiles included.
func (q *Queue) Len() int { return q.len }

// Profile returns the number of waiting tasks of a profile.
func (q *Queue) Profile(name string) int {
	if p := q.profiles[name]; p != nil {
		return p.len
	}
	return 0
}

// Waiting returns the number of tasks of one need that may start.
func (q *Queue) Waiting(need cornelwall.Need) int {
	if l := q.needs[need]; l != nil {
		return l.len
	}
	return 0
}

// Needs returns the needs of the tasks that may start, the smallest first.
func (q *Queue) Needs() []cornelwall.Need {
	if len(q.needs) == 0 {
		return nil
	}
	needs := make([]cornelwall.Need, 0, len(q.needs))
	for need, l := range q.needs {
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
func (q *Queue) Push(l Lot) {
	for _, have := range q.jobs[l.Job] {
		if have.Need == l.Need {
			q.take(have)
			have.Tasks = append(have.Tasks, l.Tasks...)
			q.put(have)
			return
		}
	}
	l.Tasks = slices.Clone(l.Tasks)
	added := &lot{Lot: l, index: -1, held: -1}
	q.jobs[l.Job] = append(q.jobs[l.Job], added)
	q.put(added)
}

// put enters a lot into the counts and heaps.
func (q *Queue) put(l *lot) {
	l.rank = l.Since.Add(time.Duration(sizeShare * float64(len(l.Tasks)) * float64(l.Each)))
	q.len += len(l.Tasks)
	p := q.profile(l.Profile)
	p.len += len(l.Tasks)
	q.limit(p, l.Limit)
	l.open = p.room(len(l.Tasks))
	p.open += l.open
	if l.open < len(l.Tasks) {
		p.held.Push(l)
	}
	if l.open > 0 {
		q.offer(l)
	}
}

// take is the reverse of put.
func (q *Queue) take(l *lot) {
	q.len -= len(l.Tasks)
	p := q.profile(l.Profile)
	p.len -= len(l.Tasks)
	p.open -= l.open
	if l.held >= 0 {
		p.held.Remove(l)
	}
	if l.open > 0 {
		q.withhold(l)
	}
}

// limit sets the limit of a profile. Tasks that are open already stay so, even if the
// limit becomes lower; no more are opened until it allows them.
func (q *Queue) limit(p *profile, n int) {
	if p.limit == n {
		return
	}
	p.limit = n
	q.open(p)
}

// open lets tasks start that the limit of their profile held back.
func (q *Queue) open(p *profile) {
	for p.held.Len() > 0 && p.room(1) > 0 {
		l := p.held.Top()
		q.take(l)
		q.put(l)
	}
}

// Release says that a task of the profile which was popped runs no longer.
func (q *Queue) Release(name string) {
	p := q.profiles[name]
	if p == nil {
		return
	}
	p.running--
	q.open(p)
	q.drop(name)
}

// drop forgets a profile that has no tasks.
func (q *Queue) drop(name string) {
	if p := q.profiles[name]; p != nil && p.running <= 0 && p.len == 0 {
		delete(q.profiles, name)
	}
}

func (q *Queue) profile(name string) *profile {
	p := q.profiles[name]
	if p == nil {
		p = &profile{held: heap.New(earlier, func(l *lot) *int { return &l.held })}
		q.profiles[name] = p
	}
	return p
}

// offer lets a lot start.
func (q *Queue) offer(l *lot) {
	ls := q.needs[l.Need]
	if ls == nil {
		ls = newLanes()
		q.needs[l.Need] = ls
	}
	ls.len += l.open
	ln := &ls.lane[l.Class]
	ln.work += l.work()
	t := ln.team(l.Team)
	t.weight = float64(max(1, l.Weight))
	t.work += l.work()
	l.team = t
	t.lots.Push(l)
	if t.index < 0 {
		t.finish = max(t.finish, ln.virtual)
		ln.order.Push(t)
	}
}

// withhold is the reverse of offer.
func (q *Queue) withhold(l *lot) {
	ls := q.needs[l.Need]
	ls.len -= l.open
	t := l.team
	t.work -= l.work()
	t.lane.work -= l.work()
	t.lots.Remove(l)
	if t.lots.Len() == 0 {
		t.lane.order.Remove(t)
	}
	if ls.len == 0 {
		delete(q.needs, l.Need) // with nothing waiting, no team owes another anything
	}
}

// Pop removes and returns the next task of the need that may start. It runs until
// Release is called for its profile.
func (q *Queue) Pop(need cornelwall.Need) (job uint64, task int, ok bool) {
	ls := q.needs[need]
	if ls == nil {
		return 0, 0, false
	}
	ln := ls.next()
	ls.pops++
	t := ln.order.Top()
	l := t.lots.Top()
	ln.virtual = t.finish
	t.finish += l.Each.Seconds() / t.weight
	ln.order.Fix(t)
	q.take(l)
	q.profile(l.Profile).running++
	task = l.Tasks[0]
	l.Tasks = l.Tasks[1:]
	if len(l.Tasks) > 0 {
		q.put(l)
	} else {
		q.forget(l)
	}
	return l.Job, task, true
}

// forget drops an empty lot from its job.
func (q *Queue) forget(l *lot) {
	lots := slices.DeleteFunc(q.jobs[l.Job], func(have *lot) bool { return have == l })
	if len(lots) == 0 {
		delete(q.jobs, l.Job)
	} else {
		q.jobs[l.Job] = lots
	}
}

// Head returns the highest class that waits for the need and the time by which its
// next job is ranked. It does not depend on whose turn it is, as an entry that stood in
// the queue of a home for a lower class would wait for a turn that never comes.
func (q *Queue) Head(need cornelwall.Need) (class cornelwall.Class, rank time.Time, ok bool) {
	ls := q.needs[need]
	if ls == nil {
		return 0, time.Time{}, false
	}
	high, _ := ls.ends()
	l := high.order.Top().lots.Top()
	return l.Class, l.rank, true
}

// Remove drops the waiting tasks of a job and returns their number.
func (q *Queue) Remove(job uint64) int {
	n := 0
	for _, l := range q.jobs[job] {
		n += len(l.Tasks)
		q.take(l)
		q.open(q.profile(l.Profile))
		q.drop(l.Profile)
	}
	delete(q.jobs, job)
	return n
}

// Lots returns what waits of a job.
func (q *Queue) Lots(job uint64) []Lot {
	var ls []Lot
	for _, l := range q.jobs[job] {
		ls = append(ls, l.Lot)
	}
	return ls
}

// Expect changes the expected run time of the waiting tasks of a job.
func (q *Queue) Expect(job uint64, each time.Duration) {
	for _, l := range q.jobs[job] {
		q.take(l)
		l.Each = each
		q.put(l)
	}
}
