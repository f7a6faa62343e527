// Package heir lets an entry act as the successor of incarnations that have closed. It holds the
// records of jobs that they handed over, as one table for each, and knows the successors of other
// closed incarnations.
//
// A table is transferred in parts. It may come from the closed incarnation itself and from another
// successor that stops later and splits the table differently. Parts from different senders are
// therefore never combined.
//
// # Usage
//
//	ar := heir.NewArchive(ticketTTL, maxBytes)
//	switch ar.Receive(now, from, transfer) { case heir.Complete: ... }
//	record, ok := ar.Lookup(now, ticket)
//	for _, id := range ar.Successors(ticket.Owner) { ... }
package heir

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const (
	maxPredecessors = 4096 // incarnations whose successors are remembered
	maxSuccessors   = 8    // of one incarnation
)

// Archive holds the tables of closed incarnations and the directory of their successors.
type Archive struct {
	ticketTTL  time.Duration
	maxBytes   int
	bytes      int // size of the records in tables and transfers
	tables     map[cornelwall.Incarnation]*table
	transfers  map[transferKey]*transfer
	successors map[cornelwall.Incarnation]successors
}

// table holds all records of a closed incarnation.
type table struct {
	ageAtClose time.Duration // from the start of the incarnation to its close
	closedAt   time.Time     // on this entry's clock
	records    map[uint64]cornelwall.Record
	bytes      int
}

// transferKey identifies the transfer of a table by the closed incarnation and the sender.
type transferKey struct{ of, from cornelwall.Incarnation }

// transfer is a table of which some parts have arrived.
type transfer struct {
	table
	parts    int
	received map[int]bool
	lastPart time.Time // when the last part arrived
}

// successors lists the successors of a closed incarnation.
type successors struct {
	ids      []cornelwall.Incarnation
	closedAt time.Time
}

// NewArchive returns an empty archive for tickets that expire after ticketTTL. It accepts tables of
// up to maxBytes in total.
func NewArchive(ticketTTL time.Duration, maxBytes int) *Archive {
	return &Archive{
		ticketTTL:  ticketTTL,
		maxBytes:   maxBytes,
		tables:     map[cornelwall.Incarnation]*table{},
		transfers:  map[transferKey]*transfer{},
		successors: map[cornelwall.Incarnation]successors{},
	}
}

// Progress is the state of a transfer after a part was received.
type Progress int

const (
	// Incomplete means that the part was accepted and others are missing.
	Incomplete Progress = iota
	// Complete means that the table is complete, with this part or already before it.
	Complete
	// OutOfMemory means that the table would exceed the memory limit. The parts received so far
	// are dropped.
	OutOfMemory
)

// Receive adds one part of a table. A part that was split differently restarts the transfer.
func (ar *Archive) Receive(now time.Time, from cornelwall.Incarnation, part *cornelwall.RecordTransfer) Progress {
	if ar.tables[part.Predecessor] != nil {
		return Complete
	}
	key := transferKey{part.Predecessor, from}
	tr := ar.transfers[key]
	if tr == nil || tr.parts != part.Parts || tr.ageAtClose != time.Duration(part.ClosedAfter) {
		ar.dropTransfer(key)
		tr = &transfer{parts: part.Parts, received: map[int]bool{}}
		tr.ageAtClose, tr.closedAt = time.Duration(part.ClosedAfter), now.Add(-time.Duration(part.Since))
		tr.records = map[uint64]cornelwall.Record{}
		ar.transfers[key] = tr
	}
	tr.lastPart = now
	if tr.received[part.Part] {
		return Incomplete
	}
	size := 0
	for i := range part.Records {
		size += part.Records[i].Bytes()
	}
	if ar.bytes+size > ar.maxBytes {
		ar.dropTransfer(key)
		return OutOfMemory
	}
	ar.bytes += size
	tr.bytes += size
	tr.received[part.Part] = true
	for _, r := range part.Records {
		tr.records[r.Seq] = r
	}
	if len(tr.received) < tr.parts {
		return Incomplete
	}
	ar.complete(key, tr)
	return Complete
}

// complete stores a transfer as the table of its incarnation and drops the other transfers of it.
func (ar *Archive) complete(key transferKey, tr *transfer) {
	ar.tables[key.of] = &tr.table
	delete(ar.transfers, key)
	for other := range ar.transfers {
		if other.of == key.of {
			ar.dropTransfer(other)
		}
	}
}

// dropTransfer drops a transfer and frees its memory.
func (ar *Archive) dropTransfer(key transferKey) {
	if tr := ar.transfers[key]; tr != nil {
		ar.bytes -= tr.bytes
		delete(ar.transfers, key)
	}
}

// Lookup returns the outcome of a ticket of a closed incarnation whose table is held. A genuine
// ticket that is not in the complete table was never submitted and is not run.
func (ar *Archive) Lookup(now time.Time, tk cornelwall.Ticket) (rec cornelwall.Record, ok bool) {
	t := ar.tables[tk.Owner]
	if t == nil {
		return cornelwall.Record{}, false
	}
	if r, found := t.records[tk.Seq]; found {
		return r, true
	}
	a := cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonClosed, Final: true,
		Text: "the entry stopped before this job was submitted; submit it under a new ticket"}
	// The owner dropped the records of expired tickets, so that the absence of an expired ticket
	// proves nothing.
	if t.ageAtClose-tk.MintedAfter()+now.Sub(t.closedAt) >= ar.ticketTTL {
		a.Outcome, a.Reason = cornelwall.Unknown, cornelwall.ReasonExpired
		a.Text = "the ticket is older than its life; its outcome is no longer known"
	}
	return cornelwall.Record{Seq: tk.Seq, Answer: a}, true
}

// HasTable reports whether all parts of the table of the incarnation have arrived.
func (ar *Archive) HasTable(of cornelwall.Incarnation) bool { return ar.tables[of] != nil }

// OwnSuccession returns the announcement that self is a successor of an incarnation whose table is
// held.
func (ar *Archive) OwnSuccession(now time.Time, of, self cornelwall.Incarnation) cornelwall.Succession {
	s := cornelwall.Succession{Predecessor: of, Successor: self}
	if t := ar.tables[of]; t != nil {
		s.Since = cornelwall.Duration(now.Sub(t.closedAt))
	}
	return s
}

// AddSuccession records a successor of a closed incarnation. It reports whether that was new.
func (ar *Archive) AddSuccession(now time.Time, s cornelwall.Succession) bool {
	closedAt := now.Add(-time.Duration(s.Since))
	known, ok := ar.successors[s.Predecessor]
	if now.Sub(closedAt) > ar.ticketTTL || slices.Contains(known.ids, s.Successor) || len(known.ids) >= maxSuccessors {
		return false
	}
	if !ok && len(ar.successors) >= maxPredecessors {
		ar.evictOldest()
	}
	if !ok || closedAt.Before(known.closedAt) {
		known.closedAt = closedAt
	}
	known.ids = append(slices.Clone(known.ids), s.Successor)
	ar.successors[s.Predecessor] = known
	return true
}

// evictOldest drops the successors of the incarnation that closed first.
func (ar *Archive) evictOldest() {
	ids := slices.Collect(maps.Keys(ar.successors))
	delete(ar.successors, slices.MinFunc(ids, func(a, b cornelwall.Incarnation) int {
		return cmp.Or(ar.successors[a].closedAt.Compare(ar.successors[b].closedAt), a.Compare(b))
	}))
}

// Successors returns the open successors of an incarnation, nearest first: for a successor that has
// closed, its own successors follow. It is empty if none is known.
func (ar *Archive) Successors(of cornelwall.Incarnation) []cornelwall.Incarnation {
	var open []cornelwall.Incarnation
	for _, id := range ar.successorsOf(of) {
		if _, closed := ar.successors[id]; !closed {
			open = append(open, id)
		}
	}
	return open
}

// successorsOf returns all successors of the incarnation, closed ones and their successors included,
// nearest first.
func (ar *Archive) successorsOf(of cornelwall.Incarnation) []cornelwall.Incarnation {
	chain := []cornelwall.Incarnation{of}
	for i := 0; i < len(chain); i++ {
		for _, id := range ar.successors[chain[i]].ids {
			if !slices.Contains(chain, id) {
				chain = append(chain, id)
			}
		}
	}
	return chain[1:]
}

// AllSuccessions returns every known succession, in a stable order.
func (ar *Archive) AllSuccessions(now time.Time) []cornelwall.Succession {
	return ar.successionsOf(now, slices.SortedFunc(maps.Keys(ar.successors), cornelwall.Incarnation.Compare))
}

// SuccessionChain returns the known successions of one incarnation and of its successors.
func (ar *Archive) SuccessionChain(now time.Time, of cornelwall.Incarnation) []cornelwall.Succession {
	return ar.successionsOf(now, append([]cornelwall.Incarnation{of}, ar.successorsOf(of)...))
}

// successionsOf returns the known successions of the incarnations.
func (ar *Archive) successionsOf(now time.Time, predecessors []cornelwall.Incarnation) []cornelwall.Succession {
	var list []cornelwall.Succession
	for _, of := range predecessors {
		known := ar.successors[of]
		for _, id := range known.ids {
			list = append(list, cornelwall.Succession{Predecessor: of, Successor: id, Since: cornelwall.Duration(now.Sub(known.closedAt))})
		}
	}
	return list
}

// EachTable calls f for each complete table, in a stable order. The caller hands the tables over when
// this entry stops in turn. Age is the time from the start of the incarnation to its close, closedAt
// the time of the close on this entry's clock.
func (ar *Archive) EachTable(f func(of cornelwall.Incarnation, age time.Duration, closedAt time.Time, records []cornelwall.Record)) {
	for _, of := range slices.SortedFunc(maps.Keys(ar.tables), cornelwall.Incarnation.Compare) {
		t := ar.tables[of]
		var records []cornelwall.Record
		for _, seq := range slices.Sorted(maps.Keys(t.records)) {
			records = append(records, t.records[seq])
		}
		f(of, t.ageAtClose, t.closedAt, records)
	}
}

// Bytes returns the size of the records in tables and transfers, in bytes.
func (ar *Archive) Bytes() int { return ar.bytes }

// Expire drops the tables and successions of incarnations whose tickets have all expired, and the
// transfers that have timed out.
func (ar *Archive) Expire(now time.Time) {
	for of, t := range ar.tables {
		if now.Sub(t.closedAt) > ar.ticketTTL {
			ar.bytes -= t.bytes
			delete(ar.tables, of)
		}
	}
	for key, tr := range ar.transfers {
		if now.Sub(tr.lastPart) > transferTimeout {
			ar.dropTransfer(key)
		}
	}
	maps.DeleteFunc(ar.successors, func(_ cornelwall.Incarnation, s successors) bool { return now.Sub(s.closedAt) > ar.ticketTTL })
}

// transferTimeout is how long a transfer is kept after its last part.
const transferTimeout = time.Minute
