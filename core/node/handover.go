package node

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
	"cornelwall/core/owner"
)

const (
	heirCount  = 2       // entries that a table is handed to
	partBytes  = 1 << 20 // of answers in one part of a table
	partWindow = 8       // parts on their way to one heir

	forwardWait = 20 * time.Second // after the handover, for requests to other owners
)

// handover is the last part of a planned stop: the tables of this incarnation and of
// those that it is an heir of go to two other entries.
type handover struct {
	limit   time.Time // of open jobs; zero is none
	closed  time.Time
	parts   []part
	heirs   []*transfer
	refused map[cornelwall.Incarnation]time.Time // when entries had not the memory
	proven  time.Time                            // when the first heir had everything
	alone   time.Time                            // when there was no heir first
	handed  time.Time                            // when the handover ended
	done    bool
}

// part is one part of a table. The tables are cut once, as an heir must not put parts
// of different cuts together.
type part struct {
	inherit cornelwall.RecordTransfer // Since is set when the part is sent
	at      time.Time                 // of the close of its incarnation
}

// transfer is the handover to one heir.
type transfer struct {
	heir   cornelwall.Incarnation
	next   int               // first part that was not sent yet
	out    map[int]time.Time // when parts were sent that are not confirmed
	tables map[cornelwall.Incarnation]bool
	whole  bool // every table is confirmed
}

// closeTables cuts the final tables into parts. From here on every ticket that has no
// record is not run, here as at the heirs.
func (n *Node) closeTables() {
	h := &n.handover
	h.closed = n.now
	h.refused = map[cornelwall.Incarnation]time.Time{}
	n.cut(n.cfg.Self, n.now.Sub(n.start), n.now, n.records())
	n.heirs.Tables(n.cut)
}

// records returns the outcomes of all tickets of this incarnation.
func (n *Node) records() []cornelwall.Record {
	bySeq := map[uint64]cornelwall.Record{}
	n.jobs.All(func(j *owner.Job) {
		bySeq[j.Ticket.Seq] = cornelwall.Record{Seq: j.Ticket.Seq, Digest: j.Digest, Answer: j.Answer}
	})
	var rs []cornelwall.Record
	for _, seq := range slices.Sorted(maps.Keys(bySeq)) {
		rs = append(rs, bySeq[seq])
	}
	return rs
}

// cut adds the parts of one table.
func (n *Node) cut(of cornelwall.Incarnation, closed time.Duration, at time.Time, rs []cornelwall.Record) {
	cuts := split(rs)
	for i, records := range cuts {
		n.handover.parts = append(n.handover.parts, part{at: at, inherit: cornelwall.RecordTransfer{
			Predecessor: of, ClosedAfter: cornelwall.Duration(closed), Part: i, Parts: len(cuts), Records: records,
		}})
	}
}

// split cuts records into parts of a bounded size; there is at least one part.
func split(rs []cornelwall.Record) [][]cornelwall.Record {
	parts := [][]cornelwall.Record{nil}
	size := 0
	for _, r := range rs {
		if size > partBytes {
			parts = append(parts, nil)
			size = 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], r)
		size += r.Bytes()
	}
	return parts
}

// chooseHeirs drops the heirs that have failed and chooses others. An heir that leaves
// after it has everything hands it on itself.
func (n *Node) chooseHeirs() {
	h := &n.handover
	h.heirs = slices.DeleteFunc(h.heirs, func(t *transfer) bool {
		p := n.members.Find(t.heir)
		return n.members.Status(n.now, t.heir) != member.Alive || (p.Leaving && !t.whole) || n.refusedBy(t.heir)
	})
	for len(h.heirs) < heirCount {
		heir, ok := n.nextHeir()
		if !ok {
			return
		}
		t := &transfer{heir: heir, out: map[int]time.Time{}, tables: map[cornelwall.Incarnation]bool{}}
		for i := range h.parts {
			t.tables[h.parts[i].inherit.Predecessor] = true
		}
		h.heirs = append(h.heirs, t)
	}
}

// refusedBy reports whether an entry has lately not had the memory. Its tickets expire,
// so that it may have later.
func (n *Node) refusedBy(id cornelwall.Incarnation) bool {
	at, ok := n.handover.refused[id]
	return ok && n.now.Sub(at) < n.cfg.Away
}

// nextHeir returns another entry to hand the outcomes to: the first of this data
// centre, so that it can be reached when the data centre is cut off, and the second of
// another one, so that one data centre's end does not take both.
func (n *Node) nextHeir() (cornelwall.Incarnation, bool) {
	h := &n.handover
	var here, there []cornelwall.Incarnation
	for _, p := range n.members.Alive(n.now) {
		taken := slices.ContainsFunc(h.heirs, func(t *transfer) bool { return t.heir == p.Incarnation })
		switch {
		case p.Leaving || taken || n.refusedBy(p.Incarnation):
		case p.Incarnation.DataCentre == n.cfg.Self.DataCentre:
			here = append(here, p.Incarnation)
		default:
			there = append(there, p.Incarnation)
		}
	}
	hasHere := slices.ContainsFunc(h.heirs, func(t *transfer) bool { return t.heir.DataCentre == n.cfg.Self.DataCentre })
	choice := here
	if len(here) == 0 || hasHere && len(there) > 0 {
		choice = there
	}
	if len(choice) == 0 {
		return cornelwall.Incarnation{}, false
	}
	return member.Home(n.cfg.Self.String(), choice), true
}

// feed sends parts to an heir, a few at a time, and those again that were not confirmed.
func (n *Node) feed(t *transfer) {
	for _, i := range slices.Sorted(maps.Keys(t.out)) {
		if n.now.Sub(t.out[i]) >= n.cfg.Away {
			n.count(cornelwall.ReasonPeer, true)
			n.sendPart(t, i)
		}
	}
	for t.next < len(n.handover.parts) && len(t.out) < partWindow {
		n.sendPart(t, t.next)
		t.next++
	}
}

func (n *Node) sendPart(t *transfer, i int) {
	t.out[i] = n.now
	p := &n.handover.parts[i]
	in := p.inherit
	in.Since = cornelwall.Duration(n.now.Sub(p.at))
	n.send(t.heir, cornelwall.Message{RecordTransfer: &in})
}

// partLost lets a part that may not have arrived be sent again soon.
func (n *Node) partLost(to cornelwall.Incarnation, in *cornelwall.RecordTransfer) {
	t, i := n.transferOf(to, in.Predecessor, in.Part)
	if t != nil {
		t.out[i] = n.now.Add(lastRetry - n.cfg.Away)
		n.wake(n.now.Add(lastRetry))
	}
}

// transferOf returns the transfer to an heir and the number of a part that it waits to
// have confirmed.
func (n *Node) transferOf(heir, of cornelwall.Incarnation, part int) (*transfer, int) {
	for _, t := range n.handover.heirs {
		if t.heir != heir {
			continue
		}
		for i := range t.out {
			if in := &n.handover.parts[i].inherit; in.Predecessor == of && in.Part == part {
				return t, i
			}
		}
	}
	return nil, 0
}

// confirmed takes an heir's word on a part of a table.
func (n *Node) confirmed(from cornelwall.Incarnation, c *cornelwall.RecordTransferAck) {
	for _, t := range n.handover.heirs {
		if t.heir == from && c.OutOfMemory {
			n.log("heir-full", "heir", from, "remedy", "give the entries more memory, or let tickets live shorter")
			n.handover.refused[from] = n.now
			return
		}
		if t.heir != from || !t.tables[c.Predecessor] {
			continue
		}
		n.takeConfirmed(t, c)
	}
}

func (n *Node) takeConfirmed(t *transfer, c *cornelwall.RecordTransferAck) {
	for i := range n.handover.parts {
		in := &n.handover.parts[i].inherit
		if in.Predecessor != c.Predecessor || (in.Part != c.Part && !c.Complete) {
			continue
		}
		delete(t.out, i)
	}
	if !c.Complete {
		return
	}
	delete(t.tables, c.Predecessor)
	for t.next < len(n.handover.parts) && !t.tables[n.handover.parts[t.next].inherit.Predecessor] {
		t.next++ // the heir had this table already
	}
	if len(t.tables) == 0 {
		t.whole = true
	}
}

// endHandover ends the handover once the heirs have everything, or once there is nobody
// to wait for.
func (n *Node) endHandover() {
	h := &n.handover
	whole := 0
	for _, t := range h.heirs {
		if t.whole {
			whole++
		}
	}
	switch {
	case whole > 0 && whole == len(h.heirs):
		n.handedOver()
	case whole > 0 && h.proven.IsZero():
		h.proven = n.now
	case whole > 0 && n.now.Sub(h.proven) >= n.cfg.Away:
		n.handedOver()
	case len(h.heirs) > 0:
	case !n.members.Others() || !h.alone.IsZero() && n.now.Sub(h.alone) >= n.cfg.HeirWait:
		n.log("no-heir", "remedy", "outcomes of this entry are unknown from now on; keep two entries up")
		n.handedOver()
	case h.alone.IsZero():
		h.alone = n.now
		n.log("no-heir-yet", "remedy", "keep two entries up; waiting for one", "wait", n.cfg.HeirWait)
	}
}

// handedOver tells the peers who the heirs are.
func (n *Node) handedOver() {
	h := &n.handover
	h.handed = n.now
	var hs []cornelwall.Succession
	for _, t := range h.heirs {
		if !t.whole {
			continue
		}
		for i := range h.parts {
			if p := &h.parts[i]; p.inherit.Part == 0 {
				hs = append(hs, cornelwall.Succession{Predecessor: p.inherit.Predecessor, Successor: t.heir, Since: cornelwall.Duration(n.now.Sub(p.at))})
			}
		}
		n.log("handed-over", "heir", t.heir, "parts", len(h.parts))
	}
	n.tellHeirs(hs)
}
