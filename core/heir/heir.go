// Package heir answers for incarnations that have closed: it keeps the complete
// tables of outcomes that they handed over, and who answers for the others.
//
// A table arrives in parts, and may come from its incarnation and from another heir
// that stops in its turn, cut into other parts. Parts of different senders are
// therefore never put together.
//
// # Usage
//
//	k := heir.NewKeeper(ticketLife, maxBytes)
//	switch k.Receive(now, from, inherit) { case heir.Whole: ... }
//	record, ok := k.Lookup(now, ticket)
//	for _, id := range k.Heirs(ticket.Owner) { ... }
package heir

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const (
	maxKnown = 4096 // incarnations whose heirs are remembered
	maxHeirs = 8    // of one incarnation
)

// Keeper keeps inherited tables.
type Keeper struct {
	life     time.Duration
	maxBytes int
	bytes    int
	tables   map[cornelwall.Incarnation]*table
	arriving map[sender]*arrival
	known    map[cornelwall.Incarnation]known
}

// table is the complete table of a closed incarnation.
type table struct {
	closed  time.Duration // age of the incarnation at its close
	at      time.Time     // of its close, on this entry's clock
	records map[uint64]cornelwall.Record
	bytes   int
}

// sender tells tables on their way apart.
type sender struct{ of, from cornelwall.Incarnation }

// arrival is the parts of a table that have arrived.
type arrival struct {
	table
	parts   int
	arrived map[int]bool
	heard   time.Time
}

// known is the heirs of an incarnation.
type known struct {
	heirs []cornelwall.Incarnation
	at    time.Time // of the close
}

// NewKeeper returns an empty keeper for tickets that live for life. It takes tables up
// to so many bytes of answers.
func NewKeeper(life time.Duration, maxBytes int) *Keeper {
	return &Keeper{
		life:     life,
		maxBytes: maxBytes,
		tables:   map[cornelwall.Incarnation]*table{},
		arriving: map[sender]*arrival{},
		known:    map[cornelwall.Incarnation]known{},
	}
}

// Progress is how far a table has come with one of its parts.
type Progress int

const (
	// Part means that the part was taken and others are missing.
	Part Progress = iota
	// Whole means that the table is complete, now or since long.
	Whole
	// Full means that the table would take more memory than is allowed. What has come
	// of it is dropped.
	Full
)

// Receive takes one part of a table.
func (k *Keeper) Receive(now time.Time, from cornelwall.Incarnation, in *cornelwall.RecordTransfer) Progress {
	if k.tables[in.Predecessor] != nil {
		return Whole
	}
	key := sender{in.Predecessor, from}
	a := k.arriving[key]
	if a == nil || a.parts != in.Parts || a.closed != time.Duration(in.ClosedAfter) {
		k.drop(key)
		a = &arrival{parts: in.Parts, arrived: map[int]bool{}}
		a.closed, a.at = time.Duration(in.ClosedAfter), now.Add(-time.Duration(in.Since))
		a.records = map[uint64]cornelwall.Record{}
		k.arriving[key] = a
	}
	a.heard = now
	if a.arrived[in.Part] {
		return Part
	}
	size := 0
	for i := range in.Records {
		size += in.Records[i].Bytes()
	}
	if k.bytes+size > k.maxBytes {
		k.drop(key)
		return Full
	}
	k.bytes += size
	a.bytes += size
	a.arrived[in.Part] = true
	for _, r := range in.Records {
		a.records[r.Seq] = r
	}
	if len(a.arrived) < a.parts {
		return Part
	}
	k.complete(key, a)
	return Whole
}

// complete makes an arrival the table of its incarnation and drops the other arrivals.
func (k *Keeper) complete(key sender, a *arrival) {
	k.tables[key.of] = &a.table
	delete(k.arriving, key)
	for other := range k.arriving {
		if other.of == key.of {
			k.drop(other)
		}
	}
}

func (k *Keeper) drop(key sender) {
	if a := k.arriving[key]; a != nil {
		k.bytes -= a.bytes
		delete(k.arriving, key)
	}
}

// Lookup answers for a ticket of a closed incarnation whose table is here. A genuine
// ticket that is not in the complete table was never submitted, and is not run.
func (k *Keeper) Lookup(now time.Time, tk cornelwall.Ticket) (rec cornelwall.Record, ok bool) {
	t := k.tables[tk.Owner]
	if t == nil {
		return cornelwall.Record{}, false
	}
	if r, found := t.records[tk.Seq]; found {
		return r, true
	}
	a := cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonClosed, Final: true,
		Text: "the entry stopped before this job was submitted; submit it under a new ticket"}
	// The owner forgets a ticket at the end of its life, so that at this age the
	// absence proves nothing.
	if t.closed-tk.MintedAfter()+now.Sub(t.at) >= k.life {
		a.Outcome, a.Reason = cornelwall.Unknown, cornelwall.ReasonExpired
		a.Text = "the ticket is older than its life; its outcome is no longer known"
	}
	return cornelwall.Record{Seq: tk.Seq, Answer: a}, true
}

// Holds reports whether the complete table of the incarnation is here.
func (k *Keeper) Holds(of cornelwall.Incarnation) bool { return k.tables[of] != nil }

// Own returns the word that self answers for an incarnation whose table is here.
func (k *Keeper) Own(now time.Time, of, self cornelwall.Incarnation) cornelwall.Succession {
	h := cornelwall.Succession{Predecessor: of, Successor: self}
	if t := k.tables[of]; t != nil {
		h.Since = cornelwall.Duration(now.Sub(t.at))
	}
	return h
}

// Learn records who answers for a closed incarnation. It reports whether that was new.
func (k *Keeper) Learn(now time.Time, h cornelwall.Succession) bool {
	at := now.Add(-time.Duration(h.Since))
	v, ok := k.known[h.Predecessor]
	if now.Sub(at) > k.life || slices.Contains(v.heirs, h.Successor) || len(v.heirs) >= maxHeirs {
		return false
	}
	if !ok && len(k.known) >= maxKnown {
		k.forgetOldest()
	}
	if !ok || at.Before(v.at) {
		v.at = at
	}
	v.heirs = append(slices.Clone(v.heirs), h.Successor)
	k.known[h.Predecessor] = v
	return true
}

func (k *Keeper) forgetOldest() {
	ids := slices.Collect(maps.Keys(k.known))
	delete(k.known, slices.MinFunc(ids, func(a, b cornelwall.Incarnation) int {
		return cmp.Or(k.known[a].at.Compare(k.known[b].at), a.Compare(b))
	}))
}

// Heirs returns who answers for the incarnation: its heirs that have not closed, and
// the heirs of those that have, nearest first. It is empty if none is known.
func (k *Keeper) Heirs(of cornelwall.Incarnation) []cornelwall.Incarnation {
	var open []cornelwall.Incarnation
	for _, h := range k.chain(of) {
		if _, closed := k.known[h]; !closed {
			open = append(open, h)
		}
	}
	return open
}

// chain returns all heirs of the incarnation and theirs, nearest first.
func (k *Keeper) chain(of cornelwall.Incarnation) []cornelwall.Incarnation {
	chain := []cornelwall.Incarnation{of}
	for i := 0; i < len(chain); i++ {
		for _, h := range k.known[chain[i]].heirs {
			if !slices.Contains(chain, h) {
				chain = append(chain, h)
			}
		}
	}
	return chain[1:]
}

// Known returns every heir that is known, in a stable order.
func (k *Keeper) Known(now time.Time) []cornelwall.Succession {
	return k.list(now, slices.SortedFunc(maps.Keys(k.known), cornelwall.Incarnation.Compare))
}

// Chain returns what is known of the heirs of one incarnation and of theirs.
func (k *Keeper) Chain(now time.Time, of cornelwall.Incarnation) []cornelwall.Succession {
	return k.list(now, append([]cornelwall.Incarnation{of}, k.chain(of)...))
}

func (k *Keeper) list(now time.Time, ofs []cornelwall.Incarnation) []cornelwall.Succession {
	var hs []cornelwall.Succession
	for _, of := range ofs {
		v := k.known[of]
		for _, h := range v.heirs {
			hs = append(hs, cornelwall.Succession{Predecessor: of, Successor: h, Since: cornelwall.Duration(now.Sub(v.at))})
		}
	}
	return hs
}

// Tables calls f for each complete table, in a stable order, to hand it on. At is the
// time of the close on this entry's clock.
func (k *Keeper) Tables(f func(of cornelwall.Incarnation, closed time.Duration, at time.Time, records []cornelwall.Record)) {
	for _, of := range slices.SortedFunc(maps.Keys(k.tables), cornelwall.Incarnation.Compare) {
		t := k.tables[of]
		var rs []cornelwall.Record
		for _, seq := range slices.Sorted(maps.Keys(t.records)) {
			rs = append(rs, t.records[seq])
		}
		f(of, t.closed, t.at, rs)
	}
}

// Bytes returns the memory that the tables take, in bytes of answers.
func (k *Keeper) Bytes() int { return k.bytes }

// Forget drops the tables whose tickets have all expired, and parts that nothing has
// been added to for as long.
func (k *Keeper) Forget(now time.Time) {
	for of, t := range k.tables {
		if now.Sub(t.at) > k.life {
			k.bytes -= t.bytes
			delete(k.tables, of)
		}
	}
	for key, a := range k.arriving {
		if now.Sub(a.heard) > arrivalLife {
			k.drop(key)
		}
	}
	maps.DeleteFunc(k.known, func(_ cornelwall.Incarnation, h known) bool { return now.Sub(h.at) > k.life })
}

const arrivalLife = time.Minute // of parts that nothing is added to
