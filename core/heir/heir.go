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
	maxPredecessors = 4096 // incarnations whose heirs are remembered
	maxSuccessors   = 8    // of one incarnation
)

// Archive keeps inherited tables.
type Archive struct {
	ticketTTL  time.Duration
	maxBytes   int
	bytes      int
	tables     map[cornelwall.Incarnation]*table
	transfers  map[transferKey]*transfer
	successors map[cornelwall.Incarnation]successors
}

// table is the complete table of a closed incarnation.
type table struct {
	ageAtClose time.Duration // age of the incarnation at its close
	closedAt   time.Time     // of its close, on this entry's clock
	records    map[uint64]cornelwall.Record
	bytes      int
}

// transferKey tells tables on their way apart.
type transferKey struct{ of, from cornelwall.Incarnation }

// transfer is the parts of a table that have arrived.
type transfer struct {
	table
	parts    int
	received map[int]bool
	lastPart time.Time
}

// successors is the heirs of an incarnation.
type successors struct {
	ids      []cornelwall.Incarnation
	closedAt time.Time // of the close
}

// NewArchive returns an empty keeper for tickets that live for life. It takes tables up
// to so many bytes of answers.
func NewArchive(life time.Duration, maxBytes int) *Archive {
	return &Archive{
		ticketTTL:  life,
		maxBytes:   maxBytes,
		tables:     map[cornelwall.Incarnation]*table{},
		transfers:  map[transferKey]*transfer{},
		successors: map[cornelwall.Incarnation]successors{},
	}
}

// Progress is how far a table has come with one of its parts.
type Progress int

const (
	// Incomplete means that the part was taken and others are missing.
	Incomplete Progress = iota
	// Complete means that the table is complete, now or since long.
	Complete
	// OutOfMemory means that the table would take more memory than is allowed. What has come
	// of it is dropped.
	OutOfMemory
)

// Receive takes one part of a table.
func (k *Archive) Receive(now time.Time, from cornelwall.Incarnation, in *cornelwall.RecordTransfer) Progress {
	if k.tables[in.Predecessor] != nil {
		return Complete
	}
	key := transferKey{in.Predecessor, from}
	a := k.transfers[key]
	if a == nil || a.parts != in.Parts || a.ageAtClose != time.Duration(in.ClosedAfter) {
		k.dropTransfer(key)
		a = &transfer{parts: in.Parts, received: map[int]bool{}}
		a.ageAtClose, a.closedAt = time.Duration(in.ClosedAfter), now.Add(-time.Duration(in.Since))
		a.records = map[uint64]cornelwall.Record{}
		k.transfers[key] = a
	}
	a.lastPart = now
	if a.received[in.Part] {
		return Incomplete
	}
	size := 0
	for i := range in.Records {
		size += in.Records[i].Bytes()
	}
	if k.bytes+size > k.maxBytes {
		k.dropTransfer(key)
		return OutOfMemory
	}
	k.bytes += size
	a.bytes += size
	a.received[in.Part] = true
	for _, r := range in.Records {
		a.records[r.Seq] = r
	}
	if len(a.received) < a.parts {
		return Incomplete
	}
	k.complete(key, a)
	return Complete
}

// complete makes an arrival the table of its incarnation and drops the other arrivals.
func (k *Archive) complete(key transferKey, a *transfer) {
	k.tables[key.of] = &a.table
	delete(k.transfers, key)
	for other := range k.transfers {
		if other.of == key.of {
			k.dropTransfer(other)
		}
	}
}

func (k *Archive) dropTransfer(key transferKey) {
	if a := k.transfers[key]; a != nil {
		k.bytes -= a.bytes
		delete(k.transfers, key)
	}
}

// Lookup answers for a ticket of a closed incarnation whose table is here. A genuine
// ticket that is not in the complete table was never submitted, and is not run.
func (k *Archive) Lookup(now time.Time, tk cornelwall.Ticket) (rec cornelwall.Record, ok bool) {
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
	if t.ageAtClose-tk.MintedAfter()+now.Sub(t.closedAt) >= k.ticketTTL {
		a.Outcome, a.Reason = cornelwall.Unknown, cornelwall.ReasonExpired
		a.Text = "the ticket is older than its life; its outcome is no longer known"
	}
	return cornelwall.Record{Seq: tk.Seq, Answer: a}, true
}

// Has reports whether the complete table of the incarnation is here.
func (k *Archive) Has(of cornelwall.Incarnation) bool { return k.tables[of] != nil }

// OwnSuccession returns the word that self answers for an incarnation whose table is here.
func (k *Archive) OwnSuccession(now time.Time, of, self cornelwall.Incarnation) cornelwall.Succession {
	h := cornelwall.Succession{Predecessor: of, Successor: self}
	if t := k.tables[of]; t != nil {
		h.Since = cornelwall.Duration(now.Sub(t.closedAt))
	}
	return h
}

// AddSuccession records who answers for a closed incarnation. It reports whether that was new.
func (k *Archive) AddSuccession(now time.Time, h cornelwall.Succession) bool {
	at := now.Add(-time.Duration(h.Since))
	v, ok := k.successors[h.Predecessor]
	if now.Sub(at) > k.ticketTTL || slices.Contains(v.ids, h.Successor) || len(v.ids) >= maxSuccessors {
		return false
	}
	if !ok && len(k.successors) >= maxPredecessors {
		k.evictOldest()
	}
	if !ok || at.Before(v.closedAt) {
		v.closedAt = at
	}
	v.ids = append(slices.Clone(v.ids), h.Successor)
	k.successors[h.Predecessor] = v
	return true
}

func (k *Archive) evictOldest() {
	ids := slices.Collect(maps.Keys(k.successors))
	delete(k.successors, slices.MinFunc(ids, func(a, b cornelwall.Incarnation) int {
		return cmp.Or(k.successors[a].closedAt.Compare(k.successors[b].closedAt), a.Compare(b))
	}))
}

// Successors returns who answers for the incarnation: its heirs that have not closed, and
// the heirs of those that have, nearest first. It is empty if none is known.
func (k *Archive) Successors(of cornelwall.Incarnation) []cornelwall.Incarnation {
	var open []cornelwall.Incarnation
	for _, h := range k.successorsOf(of) {
		if _, closed := k.successors[h]; !closed {
			open = append(open, h)
		}
	}
	return open
}

// successorsOf returns all heirs of the incarnation and theirs, nearest first.
func (k *Archive) successorsOf(of cornelwall.Incarnation) []cornelwall.Incarnation {
	chain := []cornelwall.Incarnation{of}
	for i := 0; i < len(chain); i++ {
		for _, h := range k.successors[chain[i]].ids {
			if !slices.Contains(chain, h) {
				chain = append(chain, h)
			}
		}
	}
	return chain[1:]
}

// AllSuccessions returns every heir that is known, in a stable order.
func (k *Archive) AllSuccessions(now time.Time) []cornelwall.Succession {
	return k.successionsOf(now, slices.SortedFunc(maps.Keys(k.successors), cornelwall.Incarnation.Compare))
}

// SuccessionChain returns what is known of the heirs of one incarnation and of theirs.
func (k *Archive) SuccessionChain(now time.Time, of cornelwall.Incarnation) []cornelwall.Succession {
	return k.successionsOf(now, append([]cornelwall.Incarnation{of}, k.successorsOf(of)...))
}

func (k *Archive) successionsOf(now time.Time, ofs []cornelwall.Incarnation) []cornelwall.Succession {
	var hs []cornelwall.Succession
	for _, of := range ofs {
		v := k.successors[of]
		for _, h := range v.ids {
			hs = append(hs, cornelwall.Succession{Predecessor: of, Successor: h, Since: cornelwall.Duration(now.Sub(v.closedAt))})
		}
	}
	return hs
}

// EachTable calls f for each complete table, in a stable order, to hand it on. At is the
// time of the close on this entry's clock.
func (k *Archive) EachTable(f func(of cornelwall.Incarnation, closed time.Duration, at time.Time, records []cornelwall.Record)) {
	for _, of := range slices.SortedFunc(maps.Keys(k.tables), cornelwall.Incarnation.Compare) {
		t := k.tables[of]
		var rs []cornelwall.Record
		for _, seq := range slices.Sorted(maps.Keys(t.records)) {
			rs = append(rs, t.records[seq])
		}
		f(of, t.ageAtClose, t.closedAt, rs)
	}
}

// Bytes returns the memory that the tables take, in bytes of answers.
func (k *Archive) Bytes() int { return k.bytes }

// Expire drops the tables whose tickets have all expired, and parts that nothing has
// been added to for as long.
func (k *Archive) Expire(now time.Time) {
	for of, t := range k.tables {
		if now.Sub(t.closedAt) > k.ticketTTL {
			k.bytes -= t.bytes
			delete(k.tables, of)
		}
	}
	for key, a := range k.transfers {
		if now.Sub(a.lastPart) > transferTimeout {
			k.dropTransfer(key)
		}
	}
	maps.DeleteFunc(k.successors, func(_ cornelwall.Incarnation, h successors) bool { return now.Sub(h.closedAt) > k.ticketTTL })
}

const transferTimeout = time.Minute // of parts that nothing is added to
