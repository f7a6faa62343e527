package heap_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cornelwall/core/heap"
	_ "cornelwall/standin/seeded"
)

type item struct{ rank, index int }

// TestHeap runs random pushes, reorderings, removals and pops, and compares the heap with a
// sorted slice.
func TestHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := heap.New(func(a, b *item) bool { return a.rank < b.rank }, func(x *item) *int { return &x.index })
		var all []*item
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			action := rapid.IntRange(0, 3).Draw(t, "action")
			if len(all) == 0 || action == 0 {
				all = append(all, &item{rank: rapid.IntRange(0, 9).Draw(t, "rank"), index: -1})
				h.Push(all[len(all)-1])
				continue
			}
			slices.SortFunc(all, func(a, b *item) int { return a.rank - b.rank })
			assert.Equal(t, h.Top().rank, all[0].rank)
			x := rapid.SampledFrom(all).Draw(t, "item")
			switch action {
			case 1:
				x.rank = rapid.IntRange(0, 9).Draw(t, "rank")
				h.Fix(x)
				continue
			case 2:
				h.Remove(x)
			case 3:
				x = h.Pop()
				assert.Equal(t, x.rank, all[0].rank)
			}
			assert.Equal(t, x.index, -1)
			all = slices.DeleteFunc(all, func(y *item) bool { return y == x })
		}
		assert.Equal(t, h.Len(), len(all))
	})
}
