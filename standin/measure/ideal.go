package measure

import (
	"cmp"
	"slices"
	"time"

	"cornelwall/core/heap"
)

// ideal returns when each job ends under the ideal dispatcher: a single first-come, first-served
// queue for all healthy slots, without message delays. Cancelled jobs leave the queue at once;
// their running tasks run to the end.
func ideal(as []Arrival, slots int) []time.Duration {
	ends := make([]time.Duration, len(as))
	order := make([]int, len(as))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(as[i].At, as[j].At) })
	free := heap.New(func(a, b time.Duration) bool { return a < b }, nil) // the time at which each slot becomes free
	for range slots {
		free.Push(0)
	}
	for _, i := range order {
		a := &as[i]
		for _, took := range a.TaskTimes {
			begin := max(free.Top(), a.At)
			if a.CancelAt > 0 && begin >= a.CancelAt {
				break
			}
			free.Pop()
			free.Push(begin + took)
			ends[i] = max(ends[i], begin+took)
		}
	}
	return ends
}
