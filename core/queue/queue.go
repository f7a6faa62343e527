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

// Lot is the waiting tasks of one need of one job.
type Lot struct {
	Job     uint64 // sequence number of the job's ticket
	Need    cornelwall.Need
	Class   cornelwall.Class
	Team    string
	Profile string
	Limit   int           // tasks of the profile that may run at once; 0 is no limit
	Weight  int           // of the team in fair sharing; at least 1
	Since   time.Time     // when the job was submitted
	Each    time.Duration // expected run time of a task
	Tasks   []int         // indices in the job; the first goes first
}

// lot is a Lot in the queue.
type lot struct {
	Lot
	rank  time.Time
	open  int // tasks that the limit of the profile allows to start
	team  *team
	index int // in the heap of its team; -1 if nothing is open
	held  int // in the heap of its profile; -1 if all is open
}

// earlier reports whether a goes before b.
func earlier(a, b *lot) bool {
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.Job < b.Job
}

// work returns the expected slot time of the tasks that may start.
func (l *lot) work() time.Duration { return time.Duration(l.open) * l.Each }

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

// lanes holds the waiting tasks of one need, a lane per class.
type lanes struct {
	lane [cornelwall.Urgent + 1]lane
	len  int // without the blocked
	pops int
}

func newLanes() *lanes {
	ls := &lanes{}
	for c := range ls.lane {
		ls.lane[c].teams = map[string]*team{}
		ls.lane[c].order = heap.New(sooner, func(t *team) *int { return &t.index })
	}
	return ls
}

// lane holds the waiting tasks of one class.
type lane struct {
	teams   map[string]*team
	order   *heap.Heap[*team] // those with tasks that may start, the one whose turn it is on top
	virtual float64           // virtual time of the last pop
	work    time.Duration
}

// team holds the waiting jobs of one team in one lane.
type team struct {
	name   string
	lane   *lane
	lots   *heap.Heap[*lot]
	finish float64 // virtual time
	weight float64
	work   time.Duration // of the lots
	index  int           // in the order of the lane; -1 without lots
}

// sooner reports whether it is the turn of a before that of b. Ties go by name, so that
// the order does not depend on the order of a map.
func sooner(a, b *team) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.name < b.name
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

// team returns the team of the name.
func (ln *lane) team(name string) *team {
	t := ln.teams[name]
	if t == nil {
		t = &team{name: name, lane: ln, index: -1, lots: heap.New(earlier, func(l *lot) *int { return &l.index })}
		ln.teams[name] = t
	}
	return t
}

// ends returns the lanes of the highest and of the lowest class that wait; the lowest
// is nil if there is only one.
func (ls *lanes) ends() (high, low *lane) {
	for c := range ls.lane {
		ln := &ls.lane[len(ls.lane)-1-c]
		if ln.order.Len() == 0 {
			continue
		}
		if high == nil {
			high = ln
		} else {
			low = ln
		}
	}
	return high, low
}

// next returns the lane whose turn it is: the highest class, but for a share of the
// starts the lowest that waits.
func (ls *lanes) next() *lane {
	high, low := ls.ends()
	if low != nil && ls.pops%lowShare == lowShare-1 {
		return low
	}
	return high
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

// Outlook is what a lot has before it.
type Outlook struct {
	Ahead time.Duration // slot time that goes before its end, its own included, if nothing else comes
	Team  time.Duration // of that, of its own team
	Share float64       // of the machines that its team gets at least, while others wait
}

// Ahead returns the outlook of a lot: all work of higher classes goes before it, the
// work of its team that is ranked before it, and of the other teams as much as their
// weight gives them while the team's own is done.
func (q *Queue) Ahead(l Lot) Outlook {
	own := time.Duration(len(l.Tasks)) * l.Each
	ls := q.needs[l.Need]
	if ls == nil {
		return Outlook{Ahead: own, Team: own, Share: 1}
	}
	sum := time.Duration(0)
	for c := l.Class + 1; int(c) < len(ls.lane); c++ {
		sum += ls.lane[c].work
	}
	rank := l.Since.Add(time.Duration(sizeShare * float64(own)))
	ln := &ls.lane[l.Class]
	if t := ln.teams[l.Team]; t != nil {
		for _, have := range t.lots.All() {
			if have.Job != l.Job && !have.rank.After(rank) {
				own += have.work()
			}
		}
	}
	weight := float64(max(1, l.Weight))
	all := weight
	for _, t := range ln.order.All() {
		if t.name != l.Team {
			sum += min(t.work, time.Duration(float64(own)*t.weight/weight))
			all += t.weight
		}
	}
	return Outlook{Ahead: sum + own, Team: own, Share: weight / all}
}
