package queue

import (
	"time"

	"cornelwall"
	"cornelwall/core/heap"
)

// needQueue holds the waiting tasks of one need, in a queue per class.
type needQueue struct {
	classes [cornelwall.Urgent + 1]classQueue
	len     int // eligible tasks, see profile
	pops    int // tasks started so far
}

func newNeedQueue() *needQueue {
	nq := &needQueue{}
	for c := range nq.classes {
		nq.classes[c].teams = map[string]*team{}
		nq.classes[c].byStartTag = heap.New(earlierStart, func(t *team) *int { return &t.index })
	}
	return nq
}

// classQueue holds the waiting tasks of one class and shares the starts among its teams.
type classQueue struct {
	teams       map[string]*team
	byStartTag  *heap.Heap[*team] // teams with eligible tasks, the one that starts next on top
	virtualTime float64           // start tag of the last task that was started
	work        time.Duration     // expected slot time of the eligible tasks
}

// team holds the waiting groups of one team in one class.
type team struct {
	name     string
	class    *classQueue
	groups   *heap.Heap[*group]
	startTag float64 // virtual time of its next start; the smallest in the class goes first
	weight   float64
	work     time.Duration // expected slot time of the eligible tasks
	index    int           // in byStartTag of the class; -1 without groups
}

// earlierStart reports whether a has the smaller start tag. Ties are broken by name, so that the
// order does not depend on map iteration.
func earlierStart(a, b *team) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.name < b.name
}

// teamOf returns the team with the name, which it creates if there is none.
func (cq *classQueue) teamOf(name string) *team {
	t := cq.teams[name]
	if t == nil {
		t = &team{name: name, class: cq, index: -1, groups: heap.New(ranksBefore, func(g *group) *int { return &g.index })}
		cq.teams[name] = t
	}
	return t
}

// extremes returns the queues of the highest and of the lowest class with waiting tasks; the lowest
// is nil if there is only one.
func (nq *needQueue) extremes() (high, low *classQueue) {
	for c := range nq.classes {
		cq := &nq.classes[len(nq.classes)-1-c]
		if cq.byStartTag.Len() == 0 {
			continue
		}
		if high == nil {
			high = cq
		} else {
			low = cq
		}
	}
	return high, low
}

// nextClass returns the queue of the class that goes next: the highest with eligible tasks, but the
// lowest once in lowClassInterval starts.
func (nq *needQueue) nextClass() *classQueue {
	high, low := nq.extremes()
	if low != nil && nq.pops%lowClassInterval == lowClassInterval-1 {
		return low
	}
	return high
}
