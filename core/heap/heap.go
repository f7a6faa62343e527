// Package heap is a priority queue over container/heap whose items may know their place,
// so that one in the middle can be moved or taken out.
//
// # Usage
//
//	h := heap.New(func(a, b *job) bool { return a.rank.Before(b.rank) }, func(j *job) *int { return &j.index })
//	h.Push(j)
//	j.rank = later
//	h.Fix(j)
//	first := h.Top()
package heap

import "container/heap"

// Heap holds items, the one that goes before all others on top.
type Heap[T any] struct{ adapter adapter[T] }

// New returns an empty heap. Place returns where an item keeps its index, which is -1
// while the item is in no heap; nil is for items that are never moved or taken out.
func New[T any](before func(a, b T) bool, place func(T) *int) *Heap[T] {
	return &Heap[T]{adapter[T]{before: before, index: place}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.adapter.items) }

// All returns the items in no particular order. The caller does not change the slice.
func (h *Heap[T]) All() []T { return h.adapter.items }

// Top returns the first item of a heap that is not empty.
func (h *Heap[T]) Top() T { return h.adapter.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(x T) { heap.Push(&h.adapter, x) }

// Pop removes and returns the first item of a heap that is not empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.adapter).(T) }

// Fix moves an item of the heap whose order has changed.
func (h *Heap[T]) Fix(x T) { heap.Fix(&h.adapter, *h.adapter.index(x)) }

// Remove takes an item out of the heap.
func (h *Heap[T]) Remove(x T) { heap.Remove(&h.adapter, *h.adapter.index(x)) }

// adapter is what container/heap works on.
type adapter[T any] struct {
	items  []T
	before func(a, b T) bool
	index  func(T) *int
}

func (o *adapter[T]) Len() int           { return len(o.items) }
func (o *adapter[T]) Less(i, j int) bool { return o.before(o.items[i], o.items[j]) }

func (o *adapter[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.setIndex(i)
	o.setIndex(j)
}

// setIndex tells an item its place.
func (o *adapter[T]) setIndex(i int) {
	if o.index != nil {
		*o.index(o.items[i]) = i
	}
}

func (o *adapter[T]) Push(x any) {
	o.items = append(o.items, x.(T))
	o.setIndex(len(o.items) - 1)
}

func (o *adapter[T]) Pop() any {
	n := len(o.items) - 1
	last := o.items[n]
	var none T
	o.items[n] = none
	o.items = o.items[:n]
	if o.index != nil {
		*o.index(last) = -1
	}
	return last
}
