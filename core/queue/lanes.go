package queue

import (
	"time"

	"cornelwall"
	"cornelwall/core/heap"
)

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
