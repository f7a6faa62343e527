// Package heap is a generic priority queue based on container/heap. Items can store their index
// in the heap, so that an item in the middle can be reordered or removed.
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

// Heap is a priority queue with the first item, by its ordering function, on top.
type Heap[T any] struct{ adapter adapter[T] }

// New returns an empty heap. Index returns a pointer to the field in which an item stores its
// index; the heap sets it to -1 when it removes the item. Index may be nil if Fix and Remove are
// not used.
func New[T any](before func(a, b T) bool, index func(T) *int) *Heap[T] {
	return &Heap[T]{adapter[T]{before: before, index: index}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.adapter.items) }

// All returns the items in no particular order. The caller must not modify the slice.
func (h *Heap[T]) All() []T { return h.adapter.items }

// Top returns the first item. The heap must not be empty.
func (h *Heap[T]) Top() T { return h.adapter.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(x T) { heap.Push(&h.adapter, x) }

// Pop removes and returns the first item. The heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.adapter).(T) }

// Fix restores the order of the heap after the rank of the item x has changed.
func (h *Heap[T]) Fix(x T) { heap.Fix(&h.adapter, *h.adapter.index(x)) }

// Remove removes an item from the heap.
func (h *Heap[T]) Remove(x T) { heap.Remove(&h.adapter, *h.adapter.index(x)) }

// adapter implements the interface of container/heap.
type adapter[T any] struct {
	items  []T
	before func(a, b T) bool
	index  func(T) *int
}

func (a *adapter[T]) Len() int           { return len(a.items) }
func (a *adapter[T]) Less(i, j int) bool { return a.before(a.items[i], a.items[j]) }

func (a *adapter[T]) Swap(i, j int) {
	a.items[i], a.items[j] = a.items[j], a.items[i]
	a.setIndex(i)
	a.setIndex(j)
}

// setIndex stores the index of the item at position i in the item.
func (a *adapter[T]) setIndex(i int) {
	if a.index != nil {
		*a.index(a.items[i]) = i
	}
}

func (a *adapter[T]) Push(x any) {
	a.items = append(a.items, x.(T))
	a.setIndex(len(a.items) - 1)
}

func (a *adapter[T]) Pop() any {
	n := len(a.items) - 1
	last := a.items[n]
	var zero T
	a.items[n] = zero
	a.items = a.items[:n]
	if a.index != nil {
		*a.index(last) = -1
	}
	return last
}
