// Package queue orders the tasks that wait at an owner for a machine.
//
// Tasks of a higher class go first. Within a class the teams share by the weight of
// their quota (start-time fair queueing), and within a team the jobs go in the order
// of their submission, so that a job which has begun is finished before the next one
// begins.
//
// # Usage
//
//	q := queue.New()
//	q.Push(queue.Item{Job: seq, Task: 0, Need: need, Class: class, Team: team, Weight: 1, Since: now})
//	item, ok := q.Pop(need)
package queue

import (
	"time"

	"cornelwall"
)

// Item is one waiting task.
type Item struct {
	Job    uint64 // sequence number of the job's ticket
	Task   int    // index in the job
	Need   cornelwall.Need
	Class  cornelwall.Class
	Team   string
	Weight int       // of the team in fair sharing; at least 1
	Since  time.Time // when the job was submitted
}

// Queue holds the waiting tasks, apart by need.
type Queue struct {
	needs map[cornelwall.Need]*lanes
	len   int
}

// lanes holds the waiting tasks of one need, a lane per class.
type lanes struct {
	lane [cornelwall.Urgent + 1]lane
	len  int
}

// lane holds the waiting tasks of one class.
type lane struct {
	teams   map[string]*team
	virtual float64 // virtual time of the last pop
	len     int
}

// team holds the waiting tasks of one team in one lane.
type team struct {
	items  []Item // in order; popped items are removed from the front
	finish float64
}

// New returns an empty queue.
func New() *Queue { return &Queue{needs: map[cornelwall.Need]*lanes{}} }

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.len }

// Waiting returns the number of waiting tasks of one need.
func (q *Queue) Waiting(need cornelwall.Need) int {
	if l := q.needs[need]; l != nil {
		return l.len
	}
	return 0
}

// Needs calls f for each need that has waiting tasks.
func (q *Queue) Needs(f func(need cornelwall.Need, waiting int)) {
	for need, l := range q.needs {
		f(need, l.len)
	}
}

// Push appends a task to its team.
func (q *Queue) Push(it Item) { q.insert(it, false) }

// PushFront puts a task back that was popped but did not start.
func (q *Queue) PushFront(it Item) { q.insert(it, true) }

func (q *Queue) insert(it Item, front bool) {
	l := q.needs[it.Need]
	if l == nil {
		l = &lanes{}
		q.needs[it.Need] = l
	}
	ln := &l.lane[it.Class]
	if ln.teams == nil {
		ln.teams = map[string]*team{}
	}
	t := ln.teams[it.Team]
	if t == nil {
		t = &team{}
		ln.teams[it.Team] = t
	}
	if len(t.items) == 0 {
		t.finish = max(t.finish, ln.virtual)
	}
	if front {
		t.items = append([]Item{it}, t.items...)
	} else {
		t.items = append(t.items, it)
	}
	ln.len++
	l.len++
	q.len++
}

// Pop removes and returns the next task of the need.
func (q *Queue) Pop(need cornelwall.Need) (Item, bool) {
	l := q.needs[need]
	if l == nil {
		return Item{}, false
	}
	for c := range l.lane {
		ln := &l.lane[len(l.lane)-1-c]
		if ln.len == 0 {
			continue
		}
		t := ln.next()
		it := t.items[0]
		t.items = t.items[1:]
		ln.virtual = t.finish
		t.finish += 1 / float64(max(1, it.Weight))
		q.shrink(need, l, ln, 1)
		return it, true
	}
	return Item{}, false
}

// Head returns the class of the next task of the need and when the oldest task of
// that class was submitted.
func (q *Queue) Head(need cornelwall.Need) (class cornelwall.Class, since time.Time, ok bool) {
	l := q.needs[need]
	if l == nil {
		return 0, time.Time{}, false
	}
	for c := range l.lane {
		class = cornelwall.Urgent - cornelwall.Class(c)
		ln := &l.lane[class]
		if ln.len == 0 {
			continue
		}
		for _, t := range ln.teams {
			if len(t.items) > 0 && (since.IsZero() || t.items[0].Since.Before(since)) {
				since = t.items[0].Since
			}
		}
		return class, since, true
	}
	return 0, time.Time{}, false
}

// Remove drops the waiting tasks of a job and returns them.
func (q *Queue) Remove(job uint64) []Item {
	var removed []Item
	for need, l := range q.needs {
		for c := range l.lane {
			ln := &l.lane[c]
			for _, t := range ln.teams {
				kept := t.items[:0:0]
				for _, it := range t.items {
					if it.Job == job {
						removed = append(removed, it)
					} else {
						kept = append(kept, it)
					}
				}
				n := len(t.items) - len(kept)
				t.items = kept
				q.shrink(need, l, ln, n)
			}
		}
	}
	return removed
}

func (q *Queue) shrink(need cornelwall.Need, l *lanes, ln *lane, n int) {
	ln.len -= n
	l.len -= n
	q.len -= n
	if l.len == 0 {
		delete(q.needs, need)
	}
}

// next returns the team with waiting tasks whose turn it is. Ties go by name, so that
// the order does not depend on the order of a map.
func (ln *lane) next() *team {
	var best *team
	var bestName string
	for name, t := range ln.teams {
		if len(t.items) == 0 {
			continue
		}
		if best == nil || t.finish < best.finish || (t.finish == best.finish && name < bestName) {
			best, bestName = t, name
		}
	}
	return best
}
