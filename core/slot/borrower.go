package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// allocation is what this entry has of a machine for one need.
type allocation struct {
	place      cornelwall.Place
	lender     cornelwall.Incarnation
	series     uint64
	granted    uint64 // lent in the series, as far as this entry knows
	returned   uint64
	idle       int
	inUse      int
	orphaned   int       // of those in use, that no home knows of any longer
	expires    time.Time // no new tasks start after it
	idleSince  time.Time // when it became idle
	lastChange time.Time
	unreported cornelwall.LoanReturn // of the starts since the last word to the home
	listed     bool
}

// borrower holds the parts of machines that this entry may use.
type borrower struct {
	allocations map[cornelwall.Place]*allocation
	byMachine   map[string][]*allocation
	idle        map[cornelwall.Need][]*allocation // parts that may be idle, the last one goes first
}

func newBorrower() *borrower {
	return &borrower{allocations: map[cornelwall.Place]*allocation{}, byMachine: map[string][]*allocation{}, idle: map[cornelwall.Need][]*allocation{}}
}

func (b *borrower) allocation(place cornelwall.Place) *allocation {
	p := b.allocations[place]
	if p == nil {
		p = &allocation{place: place}
		b.allocations[place] = p
		b.byMachine[place.Machine] = append(b.byMachine[place.Machine], p)
	}
	return p
}

// applyLoan takes a loan. A loan of a new series ends what was known of the last one.
func (b *borrower) applyLoan(now time.Time, home cornelwall.Incarnation, l *cornelwall.Loan) *allocation {
	p := b.allocation(cornelwall.Place{Machine: l.Machine, Need: l.Need})
	if p.lender != home || p.series != l.Series {
		p.lender, p.series = home, l.Series
		p.orphaned, p.idle = p.inUse, 0
		p.granted, p.returned = l.Returned, l.Returned
	}
	if l.Total > p.granted {
		p.idle += int(l.Total - p.granted)
		p.granted = l.Total
		p.idleSince = now
		b.listIdle(p)
	}
	p.expires = now.Add(time.Duration(l.TTL))
	p.lastChange = now
	return p
}

func (b *borrower) listIdle(p *allocation) {
	if !p.listed && p.idle > 0 {
		p.listed = true
		b.idle[p.place.Need] = append(b.idle[p.place.Need], p)
	}
}

// findIdle returns a part of the need that is idle and may be used, or nil.
func (b *borrower) findIdle(now time.Time, need cornelwall.Need) *allocation {
	stack := b.idle[need]
	for i := len(stack) - 1; i >= 0; i-- {
		if p := stack[i]; p.idle > 0 && now.Before(p.expires) {
			return p
		}
	}
	return nil
}

// occupy marks one idle part as used.
func (p *allocation) occupy(now time.Time) {
	p.idle--
	p.inUse++
	p.lastChange = now
}

// endTask takes a report of a start. It reports whether the part goes back to its home
// at once.
func (p *allocation) endTask(now time.Time, r cornelwall.StartReport) (back bool) {
	p.inUse--
	p.lastChange = now
	if p.orphaned > 0 {
		p.orphaned--
		return false
	}
	if p.idle == 0 {
		p.idleSince = now
	}
	p.idle++
	return p.addOutcome(r)
}

// addOutcome adds a report to the word for the home. It reports whether the machine is bad.
func (p *allocation) addOutcome(r cornelwall.StartReport) (bad bool) {
	switch {
	case r.Started && r.Reason == cornelwall.ReasonNone:
		p.unreported.Done++
		p.unreported.SlowdownPercentSum += r.SlowdownPercent
	case r.Started && r.MachineFault:
		p.unreported.MachineFaults++
		bad = true
	case r.Reason == cornelwall.ReasonBusy:
		p.unreported.Busy++
		bad = true
	case r.Reason == cornelwall.ReasonConnect:
		p.unreported.Lost++
		bad = true
	}
	if r.Draining {
		p.unreported.Draining = true
		bad = true
	}
	return bad
}

// returnIdle makes the word that returns n idle parts.
func (p *allocation) returnIdle(now time.Time, n int) cornelwall.LoanReturn {
	p.idle -= n
	p.returned += uint64(n)
	p.lastChange = now
	r := p.unreported
	p.unreported = cornelwall.LoanReturn{}
	r.Machine, r.Need, r.Count, r.Series, r.Total = p.place.Machine, p.place.Need, n, p.series, p.returned
	return r
}

// changeLender continues what is held of a machine as a series of its new home. It returns
// the parts held.
func (b *borrower) changeLender(now time.Time, home cornelwall.Incarnation, machine string, series uint64) []*allocation {
	var held []*allocation
	for _, p := range b.byMachine[machine] {
		p.lender, p.series, p.orphaned = home, series, 0
		p.granted, p.returned = uint64(p.inUse+p.idle), 0
		p.lastChange = now
		if p.granted > 0 {
			held = append(held, p)
		}
	}
	return held
}

// removeLender drops what an incarnation has lent that is gone. Tasks that run go on.
func (b *borrower) removeLender(id cornelwall.Incarnation) {
	for _, p := range b.allocations {
		if p.lender == id {
			p.lender, p.idle, p.orphaned = cornelwall.Incarnation{}, 0, p.inUse
		}
	}
}

// prune drops parts that were returned long ago.
func (b *borrower) prune(now time.Time) {
	for place, p := range b.allocations {
		if p.inUse == 0 && p.idle == 0 && !p.listed && now.Sub(p.lastChange) > 2*pruneAfter {
			delete(b.allocations, place)
			left := slices.DeleteFunc(b.byMachine[place.Machine], func(q *allocation) bool { return q == p })
			if len(left) == 0 {
				delete(b.byMachine, place.Machine)
			} else {
				b.byMachine[place.Machine] = left
			}
		}
	}
}

// idleNeeds returns the needs that have idle parts, in a stable order.
func (b *borrower) idleNeeds() []cornelwall.Need {
	if len(b.idle) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(b.idle), compareNeeds)
}

func compareNeeds(a, c cornelwall.Need) int {
	return cmp.Or(cmp.Compare(a.Cores, c.Cores), cmp.Compare(a.Memory, c.Memory), cmp.Compare(a.Accelerators, c.Accelerators))
}
