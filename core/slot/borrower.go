package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// allocation is the capacity of one machine that this entry has on loan for tasks of one need. It
// counts in units of the need; a unit runs one task at a time. The totals granted and returned
// are reset with each series.
type allocation struct {
	place      cornelwall.Place
	lender     cornelwall.Incarnation // zero if it was lost
	series     uint64
	granted    uint64 // total of units lent, as far as this entry knows
	returned   uint64 // total of units returned
	idle       int
	inUse      int
	orphaned   int       // units in use that are in no lender's totals
	expires    time.Time // from then on no new tasks start
	idleSince  time.Time // when the last loan came or the first of the units became idle
	lastChange time.Time
	unreported cornelwall.LoanReturn // outcomes of starts that the lender was not sent yet
	listed     bool                  // in the idle list of the borrower
}

// borrower holds the allocations of this entry, those of its own machines included.
type borrower struct {
	allocations map[cornelwall.Place]*allocation
	byMachine   map[string][]*allocation
	idle        map[cornelwall.Need][]*allocation // may have idle units; the last one is used first
}

func newBorrower() *borrower {
	return &borrower{allocations: map[cornelwall.Place]*allocation{}, byMachine: map[string][]*allocation{}, idle: map[cornelwall.Need][]*allocation{}}
}

// allocation returns the allocation of the place, which it creates if there is none.
func (b *borrower) allocation(place cornelwall.Place) *allocation {
	al := b.allocations[place]
	if al == nil {
		al = &allocation{place: place}
		b.allocations[place] = al
		b.byMachine[place.Machine] = append(b.byMachine[place.Machine], al)
	}
	return al
}

// applyLoan adds the units of a loan that are not known yet. If the lender or the series is new, the
// totals are reset, idle units are dropped and units in use are orphaned.
func (b *borrower) applyLoan(now time.Time, from cornelwall.Incarnation, l *cornelwall.Loan) *allocation {
	al := b.allocation(cornelwall.Place{Machine: l.Machine, Need: l.Need})
	if al.lender != from || al.series != l.Series {
		al.lender, al.series = from, l.Series
		al.orphaned, al.idle = al.inUse, 0
		al.granted, al.returned = l.Returned, l.Returned
	}
	if l.Total > al.granted {
		al.idle += int(l.Total - al.granted)
		al.granted = l.Total
		al.idleSince = now
		b.listIdle(al)
	}
	al.expires = now.Add(time.Duration(l.TTL))
	al.lastChange = now
	return al
}

// listIdle adds an allocation with idle units to the idle list.
func (b *borrower) listIdle(al *allocation) {
	if !al.listed && al.idle > 0 {
		al.listed = true
		b.idle[al.place.Need] = append(b.idle[al.place.Need], al)
	}
}

// findIdle returns an allocation of the need with an idle unit that may be used, or nil.
func (b *borrower) findIdle(now time.Time, need cornelwall.Need) *allocation {
	list := b.idle[need]
	for i := len(list) - 1; i >= 0; i-- {
		if al := list[i]; al.idle > 0 && now.Before(al.expires) {
			return al
		}
	}
	return nil
}

// occupy marks one idle unit as used.
func (al *allocation) occupy(now time.Time) {
	al.idle--
	al.inUse++
	al.lastChange = now
}

// endTask releases the unit of a task and records its outcome. It reports whether the allocation is
// to be returned to its lender at once. While there are orphaned units, the task counts as one of
// them: its unit is not returned and its outcome is not reported.
func (al *allocation) endTask(now time.Time, r cornelwall.StartReport) (returnNow bool) {
	al.inUse--
	al.lastChange = now
	if al.orphaned > 0 {
		al.orphaned--
		return false
	}
	if al.idle == 0 {
		al.idleSince = now
	}
	al.idle++
	return al.addOutcome(r)
}

// addOutcome adds an outcome to those for the lender. It reports whether the machine failed, refused
// the start, was not reachable or is draining.
func (al *allocation) addOutcome(r cornelwall.StartReport) (faulty bool) {
	switch {
	case r.Started && r.Reason == cornelwall.ReasonNone:
		al.unreported.Done++
		al.unreported.SlowdownPercentSum += r.SlowdownPercent
	case r.Started && r.MachineFault:
		al.unreported.MachineFaults++
		faulty = true
	case r.Reason == cornelwall.ReasonBusy:
		al.unreported.Busy++
		faulty = true
	case r.Reason == cornelwall.ReasonConnect:
		al.unreported.ConnectFailures++
		faulty = true
	}
	if r.Draining {
		al.unreported.Draining = true
		faulty = true
	}
	return faulty
}

// returnIdle removes n idle units and returns the message that returns them to the lender, with the
// outcomes that were not reported yet.
func (al *allocation) returnIdle(now time.Time, n int) cornelwall.LoanReturn {
	al.idle -= n
	al.returned += uint64(n)
	al.lastChange = now
	r := al.unreported
	al.unreported = cornelwall.LoanReturn{}
	r.Machine, r.Need, r.Count, r.Series, r.Total = al.place.Machine, al.place.Need, n, al.series, al.returned
	return r
}

// reportTotals returns a message that repeats the totals. It carries the drain notice that was not
// reported yet, but no other outcome, since those must not count twice.
func (al *allocation) reportTotals() cornelwall.LoanReturn {
	r := cornelwall.LoanReturn{Machine: al.place.Machine, Need: al.place.Need, Series: al.series, Total: al.returned,
		Using: int(al.granted - al.returned), Draining: al.unreported.Draining}
	al.unreported.Draining = false
	return r
}

// restoreDraining makes the drain notice of a return that may not have arrived unreported again.
func (b *borrower) restoreDraining(place cornelwall.Place, draining bool) {
	if al := b.allocations[place]; al != nil && draining {
		al.unreported.Draining = true
	}
}

// changeLender moves the allocations of a machine to its new lender and a new series, in which the
// units held now count as granted. It returns the allocations that hold any.
func (b *borrower) changeLender(now time.Time, from cornelwall.Incarnation, machine string, series uint64) []*allocation {
	var held []*allocation
	for _, al := range b.byMachine[machine] {
		al.lender, al.series, al.orphaned = from, series, 0
		al.granted, al.returned = uint64(al.inUse+al.idle), 0
		al.lastChange = now
		if al.granted > 0 {
			held = append(held, al)
		}
	}
	return held
}

// removeLender drops the idle units of a lender that was lost. Running tasks continue on orphaned
// units.
func (b *borrower) removeLender(id cornelwall.Incarnation) {
	for _, al := range b.allocations {
		if al.lender == id {
			al.lender, al.idle, al.orphaned = cornelwall.Incarnation{}, 0, al.inUse
		}
	}
}

// prune drops allocations that have been empty for long.
func (b *borrower) prune(now time.Time) {
	for place, al := range b.allocations {
		if al.inUse == 0 && al.idle == 0 && !al.listed && now.Sub(al.lastChange) > 2*pruneAfter {
			delete(b.allocations, place)
			rest := slices.DeleteFunc(b.byMachine[place.Machine], func(other *allocation) bool { return other == al })
			if len(rest) == 0 {
				delete(b.byMachine, place.Machine)
			} else {
				b.byMachine[place.Machine] = rest
			}
		}
	}
}

// idleNeeds returns the needs in the idle list, in a stable order.
func (b *borrower) idleNeeds() []cornelwall.Need {
	if len(b.idle) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(b.idle), compareNeeds)
}

func compareNeeds(a, b cornelwall.Need) int {
	return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.Accelerators, b.Accelerators))
}
