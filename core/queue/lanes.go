package queue

import (
	"time"

	"cornelwall"
	"cornelwall/core/heap"
)

// needQueue holds the waiting tasks of one need, a lane per class.
type needQueue struct {
	classes [cornelwall.Urgent + 1]classQueue
	len     int // without the blocked
	pops    int
}

func newNeedQueue() *needQueue {
	ls := &needQueue{}
	for c := range ls.classes {
		ls.classes[c].teams = map[string]*team{}
		ls.classes[c].turns = heap.New(earlierFinish, func(t *team) *int { return &t.index })
	}
	return ls
}

// classQueue holds the waiting tasks of one class.
type classQueue struct {
	teams       map[string]*team
	turns       *heap.Heap[*team] // those with tasks that may start, the one whose turn it is on top
	virtualTime float64           // virtual time of the last pop
	work        time.Duration
}

// team holds the waiting jobs of one team in one lane.
type team struct {
	name      string
	class     *classQueue
	groups    *heap.Heap[*group]
	finishTag float64 // virtual time
	weight    float64
	work      time.Duration // of the lots
	index     int           // in the order of the lane; -1 without lots
}

// earlierFinish reports whether it is the turn of a before that of b. Ties go by name, so that
// the order does not depend on the order of a map.
func earlierFinish(a, b *team) bool {
	if a.finishTag != b.finishTag {
		return a.finishTag < b.finishTag
	}
	return a.name < b.name
}

// teamOf returns the team of the name.
func (ln *classQueue) teamOf(name string) *team {
	t := ln.teams[name]
	if t == nil {
		t = &team{name: name, class: ln, index: -1, groups: heap.New(ranksBefore, func(l *group) *int { return &l.index })}
		ln.teams[name] = t
	}
	return t
}

// extremes returns the lanes of the highest and of the lowest class that wait; the lowest
// is nil if there is only one.
func (ls *needQueue) extremes() (high, low *classQueue) {
	for c := range ls.classes {
		ln := &ls.classes[len(ls.classes)-1-c]
		if ln.turns.Len() == 0 {
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

// nextClass returns the lane whose turn it is: the highest class, but for a share of the
// starts the lowest that waits.
func (ls *needQueue) nextClass() *classQueue {
	high, low := ls.extremes()
	if low != nil && ls.pops%lowClassInterval == lowClassInterval-1 {
		return low
	}
	return high
}
