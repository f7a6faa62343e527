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
type Heap[T any] struct{ order order[T] }

// New returns an empty heap. Place returns where an item keeps its index, which is -1
// while the item is in no heap; nil is for items that are never moved or taken out.
func New[T any](before func(a, b T) bool, place func(T) *int) *Heap[T] {
	return &Heap[T]{order[T]{before: before, place: place}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.order.items) }

// All returns the items in no particular order. The caller does not change the slice.
func (h *Heap[T]) All() []T { return h.order.items }

// Top returns the first item of a heap that is not empty.
func (h *Heap[T]) Top() T { return h.order.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(x T) { heap.Push(&h.order, x) }

// Pop removes and returns the first item of a heap that is not empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.order).(T) }

// Fix moves an item of the heap whose order has changed.
func (h *Heap[T]) Fix(x T) { heap.Fix(&h.order, *h.order.place(x)) }

// Remove takes an item out of the heap.
func (h *Heap[T]) Remove(x T) { heap.Remove(&h.order, *h.order.place(x)) }

// order is what container/heap works on.
type order[T any] struct {
	items  []T
	before func(a, b T) bool
	place  func(T) *int
}

func (o *order[T]) Len() int           { return len(o.items) }
func (o *order[T]) Less(i, j int) bool { return o.before(o.items[i], o.items[j]) }

func (o *order[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.put(i)
	o.put(j)
}

// put tells an item its place.
func (o *order[T]) put(i int) {
	if o.place != nil {
		*o.place(o.items[i]) = i
	}
}

func (o *order[T]) Push(x any) {
	o.items = append(o.items, x.(T))
	o.put(len(o.items) - 1)
}

func (o *order[T]) Pop() any {
	n := len(o.items) - 1
	last := o.items[n]
	var none T
	o.items[n] = none
	o.items = o.items[:n]
	if o.place != nil {
		*o.place(last) = -1
	}
	return last
}
