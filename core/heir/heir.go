// Package heir answers for incarnations that have closed: it keeps the complete
// tables of outcomes that they handed over, and who answers for the others.
//
// # Usage
//
//	k := heir.NewKeeper(ticketLife)
//	complete := k.Receive(now, inherit)
//	answer, ok := k.Lookup(now, ticket)
package heir

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// maxKnown bounds the incarnations whose heir is remembered.
const maxKnown = 4096

// Keeper keeps inherited tables.
type Keeper struct {
	life   time.Duration
	tables map[cornelwall.Incarnation]*table
	known  map[cornelwall.Incarnation]known
}

// table is the complete table of a closed incarnation, or the parts of it that have
// arrived.
type table struct {
	closed  time.Duration // age of the incarnation at its close
	at      time.Time     // of its close, on this entry's clock
	parts   map[int]bool
	records map[uint64]cornelwall.Record
	whole   bool
}

// known is an heir that peers told of.
type known struct {
	heir cornelwall.Incarnation
	at   time.Time
}

// NewKeeper returns an empty keeper for tickets that live for life.
func NewKeeper(life time.Duration) *Keeper {
	return &Keeper{
		life:   life,
		tables: map[cornelwall.Incarnation]*table{},
		known:  map[cornelwall.Incarnation]known{},
	}
}

// Receive takes one part of a table and reports whether the table is complete.
func (k *Keeper) Receive(now time.Time, in *cornelwall.Inherit) bool {
	t := k.tables[in.Of]
	if t == nil {
		t = &table{
			closed:  time.Duration(in.Closed),
			at:      now.Add(-time.Duration(in.Since)),
			parts:   map[int]bool{},
			records: map[uint64]cornelwall.Record{},
		}
		k.tables[in.Of] = t
	}
	if t.whole {
		return true
	}
	t.parts[in.Part] = true
	for _, r := range in.Records {
		t.records[r.Seq] = r
	}
	t.whole = len(t.parts) == in.Parts
	return t.whole
}

// Lookup answers for a ticket of a closed incarnation whose table is here. A genuine
// ticket that is not in the complete table was never submitted, and is not run.
func (k *Keeper) Lookup(now time.Time, tk cornelwall.Ticket) (rec cornelwall.Record, ok bool) {
	t := k.tables[tk.Owner]
	if t == nil || !t.whole {
		return cornelwall.Record{}, false
	}
	if r, found := t.records[tk.Seq]; found {
		return r, true
	}
	a := cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonClosed, Final: true,
		Text: "the entry stopped before this job was submitted; submit it under a new ticket"}
	if t.closed-tk.MintedAfter()+now.Sub(t.at) > k.life {
		a.Outcome, a.Reason = cornelwall.Unknown, cornelwall.ReasonExpired
		a.Text = "the ticket is older than its life; its outcome is no longer known"
	}
	return cornelwall.Record{Seq: tk.Seq, Answer: a}, true
}

// Holds reports whether the complete table of the incarnation is here.
func (k *Keeper) Holds(of cornelwall.Incarnation) bool {
	t := k.tables[of]
	return t != nil && t.whole
}

// Learn records who answers for a closed incarnation.
func (k *Keeper) Learn(now time.Time, h cornelwall.Heir) {
	if _, ok := k.known[h.Of]; ok || len(k.known) < maxKnown {
		k.known[h.Of] = known{heir: h.Heir, at: now}
	}
}

// HeirOf returns who answers for the incarnation, following heirs that have closed in
// their turn.
func (k *Keeper) HeirOf(of cornelwall.Incarnation) (cornelwall.Incarnation, bool) {
	at := of
	for range len(k.known) {
		next, ok := k.known[at]
		if !ok {
			break
		}
		at = next.heir
		if k.Holds(of) {
			break
		}
	}
	return at, at != of
}

// Known returns every heir that is known, in a stable order.
func (k *Keeper) Known() []cornelwall.Heir {
	var hs []cornelwall.Heir
	for _, of := range slices.SortedFunc(maps.Keys(k.known), cornelwall.Incarnation.Compare) {
		hs = append(hs, cornelwall.Heir{Of: of, Heir: k.known[of].heir})
	}
	return hs
}

// Tables calls f for each complete table, in a stable order, to hand it on.
func (k *Keeper) Tables(now time.Time, f func(of cornelwall.Incarnation, closed, since time.Duration, records []cornelwall.Record)) {
	for _, of := range slices.SortedFunc(maps.Keys(k.tables), cornelwall.Incarnation.Compare) {
		t := k.tables[of]
		if !t.whole {
			continue
		}
		var rs []cornelwall.Record
		for _, seq := range slices.Sorted(maps.Keys(t.records)) {
			rs = append(rs, t.records[seq])
		}
		f(of, t.closed, now.Sub(t.at), rs)
	}
}

// Forget drops the tables whose tickets have all expired.
func (k *Keeper) Forget(now time.Time) {
	maps.DeleteFunc(k.tables, func(_ cornelwall.Incarnation, t *table) bool { return now.Sub(t.at) > k.life })
	maps.DeleteFunc(k.known, func(_ cornelwall.Incarnation, h known) bool { return now.Sub(h.at) > k.life })
}
