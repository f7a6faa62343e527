package node

import (
	"time"

	"cornelwall/core/heap"
)

// timer makes the node check a job at a time.
type timer struct {
	at  time.Time
	seq uint64 // of the job's ticket
}

// timers is a heap of timers, earliest first.
type timers struct{ heap *heap.Heap[timer] }

func newTimers() timers {
	return timers{heap.New(func(a, b timer) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.seq < b.seq
	}, nil)}
}

func (t *timers) add(at time.Time, seq uint64) { t.heap.Push(timer{at, seq}) }

func (t *timers) next() (time.Time, bool) {
	if t.heap.Len() == 0 {
		return time.Time{}, false
	}
	return t.heap.Top().at, true
}

// due removes and returns the next timer that is not after now.
func (t *timers) due(now time.Time) (uint64, bool) {
	if t.heap.Len() == 0 || t.heap.Top().at.After(now) {
		return 0, false
	}
	return t.heap.Pop().seq, true
}
