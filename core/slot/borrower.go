package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// part is what this entry has of a machine for one need.
type part struct {
	place    cornelwall.Place
	home     cornelwall.Incarnation
	series   uint64
	seen     uint64 // lent in the series, as far as this entry knows
	returned uint64
	idle     int
	using    int
	orphans  int       // of those in use, that no home knows of any longer
	until    time.Time // no new tasks start after it
	since    time.Time // when it became idle
	touched  time.Time
	report   cornelwall.LoanReturn // of the starts since the last word to the home
	stacked  bool
}

// borrower holds the parts of machines that this entry may use.
type borrower struct {
	parts     map[cornelwall.Place]*part
	byMachine map[string][]*part
	idle      map[cornelwall.Need][]*part // parts that may be idle, the last one goes first
}

func newBorrower() *borrower {
	return &borrower{parts: map[cornelwall.Place]*part{}, byMachine: map[string][]*part{}, idle: map[cornelwall.Need][]*part{}}
}

func (b *borrower) part(place cornelwall.Place) *part {
	p := b.parts[place]
	if p == nil {
		p = &part{place: place}
		b.parts[place] = p
		b.byMachine[place.Machine] = append(b.byMachine[place.Machine], p)
	}
	return p
}

// credit takes a loan. A loan of a new series ends what was known of the last one.
func (b *borrower) credit(now time.Time, home cornelwall.Incarnation, l *cornelwall.Loan) *part {
	p := b.part(cornelwall.Place{Machine: l.Machine, Need: l.Need})
	if p.home != home || p.series != l.Series {
		p.home, p.series = home, l.Series
		p.orphans, p.idle = p.using, 0
		p.seen, p.returned = l.Returned, l.Returned
	}
	if l.Total > p.seen {
		p.idle += int(l.Total - p.seen)
		p.seen = l.Total
		p.since = now
		b.stack(p)
	}
	p.until = now.Add(time.Duration(l.TTL))
	p.touched = now
	return p
}

func (b *borrower) stack(p *part) {
	if !p.stacked && p.idle > 0 {
		p.stacked = true
		b.idle[p.place.Need] = append(b.idle[p.place.Need], p)
	}
}

// take returns a part of the need that is idle and may be used, or nil.
func (b *borrower) take(now time.Time, need cornelwall.Need) *part {
	stack := b.idle[need]
	for i := len(stack) - 1; i >= 0; i-- {
		if p := stack[i]; p.idle > 0 && now.Before(p.until) {
			return p
		}
	}
	return nil
}

// use marks one idle part as used.
func (p *part) use(now time.Time) {
	p.idle--
	p.using++
	p.touched = now
}

// ended takes a report of a start. It reports whether the part goes back to its home
// at once.
func (p *part) ended(now time.Time, r cornelwall.StartReport) (back bool) {
	p.using--
	p.touched = now
	if p.orphans > 0 {
		p.orphans--
		return false
	}
	if p.idle == 0 {
		p.since = now
	}
	p.idle++
	return p.note(r)
}

// note adds a report to the word for the home. It reports whether the machine is bad.
func (p *part) note(r cornelwall.StartReport) (bad bool) {
	switch {
	case r.Started && r.Reason == cornelwall.ReasonNone:
		p.report.Done++
		p.report.SlowdownPercentSum += r.SlowdownPercent
	case r.Started && r.MachineFault:
		p.report.MachineFaults++
		bad = true
	case r.Reason == cornelwall.ReasonBusy:
		p.report.Busy++
		bad = true
	case r.Reason == cornelwall.ReasonConnect:
		p.report.Lost++
		bad = true
	}
	if r.Draining {
		p.report.Draining = true
		bad = true
	}
	return bad
}

// settle makes the word that returns n idle parts.
func (p *part) settle(now time.Time, n int) cornelwall.LoanReturn {
	p.idle -= n
	p.returned += uint64(n)
	p.touched = now
	r := p.report
	p.report = cornelwall.LoanReturn{}
	r.Machine, r.Need, r.Count, r.Series, r.Total = p.place.Machine, p.place.Need, n, p.series, p.returned
	return r
}

// adopt continues what is held of a machine as a series of its new home. It returns
// the parts held.
func (b *borrower) adopt(now time.Time, home cornelwall.Incarnation, machine string, series uint64) []*part {
	var held []*part
	for _, p := range b.byMachine[machine] {
		p.home, p.series, p.orphans = home, series, 0
		p.seen, p.returned = uint64(p.using+p.idle), 0
		p.touched = now
		if p.seen > 0 {
			held = append(held, p)
		}
	}
	return held
}

// lost drops what an incarnation has lent that is gone. Tasks that run go on.
func (b *borrower) lost(id cornelwall.Incarnation) {
	for _, p := range b.parts {
		if p.home == id {
			p.home, p.idle, p.orphans = cornelwall.Incarnation{}, 0, p.using
		}
	}
}

// forget drops parts that were returned long ago.
func (b *borrower) forget(now time.Time) {
	for place, p := range b.parts {
		if p.using == 0 && p.idle == 0 && !p.stacked && now.Sub(p.touched) > 2*forgetAfter {
			delete(b.parts, place)
			left := slices.DeleteFunc(b.byMachine[place.Machine], func(q *part) bool { return q == p })
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
