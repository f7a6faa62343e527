package slot

import (
	"cmp"
	"maps"
	"slices"

	"cornelwall"
)

// Held is a loan that a borrower has.
type Held struct {
	Home    cornelwall.Incarnation
	Machine string
	Need    cornelwall.Need
}

// Compare orders loans.
func (h Held) Compare(g Held) int {
	return cmp.Or(
		cmp.Compare(h.Machine, g.Machine),
		h.Home.Compare(g.Home),
		cmp.Compare(h.Need.Cores, g.Need.Cores),
		cmp.Compare(h.Need.Memory, g.Need.Memory),
		cmp.Compare(h.Need.Accelerators, g.Need.Accelerators))
}

// Pool holds the loans of a borrower that no task uses at the moment.
type Pool struct {
	free map[Held]int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{free: map[Held]int{}} }

// Put adds n loans.
func (p *Pool) Put(h Held, n int) { p.free[h] += n }

// Take removes one loan for the need.
func (p *Pool) Take(need cornelwall.Need) (Held, bool) {
	var best Held
	found := false
	for h, n := range p.free {
		if n > 0 && h.Need == need && (!found || h.Compare(best) < 0) {
			best, found = h, true
		}
	}
	if !found {
		return Held{}, false
	}
	if p.free[best]--; p.free[best] == 0 {
		delete(p.free, best)
	}
	return best, true
}

// Drain removes all loans and calls f for each, in a stable order.
func (p *Pool) Drain(f func(h Held, n int)) {
	for _, h := range slices.SortedFunc(maps.Keys(p.free), Held.Compare) {
		f(h, p.free[h])
	}
	clear(p.free)
}
