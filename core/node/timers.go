package node

import (
	"container/heap"
	"time"
)

// timer looks at a job again at a time.
type timer struct {
	at  time.Time
	seq uint64 // of the job's ticket
}

// timers is a heap of timers, the earliest first.
type timers struct{ heap timerHeap }

func (t *timers) add(at time.Time, seq uint64) { heap.Push(&t.heap, timer{at, seq}) }

func (t *timers) next() (time.Time, bool) {
	if len(t.heap) == 0 {
		return time.Time{}, false
	}
	return t.heap[0].at, true
}

// due removes and returns the next timer that is not after now.
func (t *timers) due(now time.Time) (uint64, bool) {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		return 0, false
	}
	return heap.Pop(&t.heap).(timer).seq, true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
