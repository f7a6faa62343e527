package measure

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// ideal returns when each job ends under the ideal dispatcher: one queue in the order
// of arrival over all healthy slots, without message delays. Cancelled jobs leave the
// queue at once; their running tasks go on.
func ideal(as []Arrival, slots int) []time.Duration {
	ends := make([]time.Duration, len(as))
	order := make([]int, len(as))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(as[i].At, as[j].At) })
	free := make(durationHeap, slots) // when each slot is free
	for _, i := range order {
		a := &as[i]
		for _, took := range a.Tasks {
			begin := max(free[0], a.At)
			if a.Cancel > 0 && begin >= a.Cancel {
				break
			}
			free[0] = begin + took
			heap.Fix(&free, 0)
			ends[i] = max(ends[i], begin+took)
		}
	}
	return ends
}

type durationHeap []time.Duration

func (h durationHeap) Len() int           { return len(h) }
func (h durationHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h durationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *durationHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *durationHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
