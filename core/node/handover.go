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
	successorCount  = 2       // entries that a table is handed to
	maxPartBytes    = 1 << 20 // of answers in one part of a table
	maxUnackedParts = 8       // parts on their way to one heir

	forwardGrace = 20 * time.Second // after the handover, for requests to other owners
)

// handoff is the last part of a planned stop: the tables of this incarnation and of
// those that it is an heir of go to two other entries.
type handoff struct {
	jobsDeadline     time.Time // of open jobs; zero is none
	closedAt         time.Time
	parts            []tablePart
	transfers        []*transfer
	outOfMemoryAt    map[cornelwall.Incarnation]time.Time // when entries had not the memory
	firstCompleteAt  time.Time                            // when the first heir had everything
	noSuccessorSince time.Time                            // when there was no heir first
	handedOffAt      time.Time                            // when the handover ended
	done             bool
}

// tablePart is one part of a table. The tables are cut once, as an heir must not put parts
// of different cuts together.
type tablePart struct {
	message  cornelwall.RecordTransfer // Since is set when the part is sent
	closedAt time.Time                 // of the close of its incarnation
}

// transfer is the handover to one heir.
type transfer struct {
	successor     cornelwall.Incarnation
	nextPart      int               // first part that was not sent yet
	unacked       map[int]time.Time // when parts were sent that are not confirmed
	pendingTables map[cornelwall.Incarnation]bool
	complete      bool // every table is confirmed
}

// closeTables cuts the final tables into parts. From here on every ticket that has no
// record is not run, here as at the heirs.
func (n *Node) closeTables() {
	h := &n.handoff
	h.closedAt = n.now
	h.outOfMemoryAt = map[cornelwall.Incarnation]time.Time{}
	n.addTable(n.cfg.Self, n.now.Sub(n.start), n.now, n.records())
	n.archive.EachTable(n.addTable)
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

// addTable adds the parts of one table.
func (n *Node) addTable(of cornelwall.Incarnation, closed time.Duration, at time.Time, rs []cornelwall.Record) {
	cuts := splitRecords(rs)
	for i, records := range cuts {
		n.handoff.parts = append(n.handoff.parts, tablePart{closedAt: at, message: cornelwall.RecordTransfer{
			Predecessor: of, ClosedAfter: cornelwall.Duration(closed), Part: i, Parts: len(cuts), Records: records,
		}})
	}
}

// splitRecords cuts records into parts of a bounded size; there is at least one part.
func splitRecords(rs []cornelwall.Record) [][]cornelwall.Record {
	parts := [][]cornelwall.Record{nil}
	size := 0
	for _, r := range rs {
		if size > maxPartBytes {
			parts = append(parts, nil)
			size = 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], r)
		size += r.Bytes()
	}
	return parts
}

// chooseSuccessors drops the heirs that have failed and chooses others. An heir that leaves
// after it has everything hands it on itself.
func (n *Node) chooseSuccessors() {
	h := &n.handoff
	h.transfers = slices.DeleteFunc(h.transfers, func(t *transfer) bool {
		p := n.members.Find(t.successor)
		return n.members.Status(n.now, t.successor) != member.Alive || (p.Leaving && !t.complete) || n.outOfMemory(t.successor)
	})
	for len(h.transfers) < successorCount {
		heir, ok := n.nextSuccessor()
		if !ok {
			return
		}
		t := &transfer{successor: heir, unacked: map[int]time.Time{}, pendingTables: map[cornelwall.Incarnation]bool{}}
		for i := range h.parts {
			t.pendingTables[h.parts[i].message.Predecessor] = true
		}
		h.transfers = append(h.transfers, t)
	}
}

// outOfMemory reports whether an entry has lately not had the memory. Its tickets expire,
// so that it may have later.
func (n *Node) outOfMemory(id cornelwall.Incarnation) bool {
	at, ok := n.handoff.outOfMemoryAt[id]
	return ok && n.now.Sub(at) < n.cfg.PeerTimeout
}

// nextSuccessor returns another entry to hand the outcomes to: the first of this data
// centre, so that it can be reached when the data centre is cut off, and the second of
// another one, so that one data centre's end does not take both.
func (n *Node) nextSuccessor() (cornelwall.Incarnation, bool) {
	h := &n.handoff
	var here, there []cornelwall.Incarnation
	for _, p := range n.members.Alive(n.now) {
		taken := slices.ContainsFunc(h.transfers, func(t *transfer) bool { return t.successor == p.Incarnation })
		switch {
		case p.Leaving || taken || n.outOfMemory(p.Incarnation):
		case p.Incarnation.DataCentre == n.cfg.Self.DataCentre:
			here = append(here, p.Incarnation)
		default:
			there = append(there, p.Incarnation)
		}
	}
	hasHere := slices.ContainsFunc(h.transfers, func(t *transfer) bool { return t.successor.DataCentre == n.cfg.Self.DataCentre })
	choice := here
	if len(here) == 0 || hasHere && len(there) > 0 {
		choice = there
	}
	if len(choice) == 0 {
		return cornelwall.Incarnation{}, false
	}
	return member.Rendezvous(n.cfg.Self.String(), choice), true
}

// sendParts sends parts to an heir, a few at a time, and those again that were not confirmed.
func (n *Node) sendParts(t *transfer) {
	for _, i := range slices.Sorted(maps.Keys(t.unacked)) {
		if n.now.Sub(t.unacked[i]) >= n.cfg.PeerTimeout {
			n.countReason(cornelwall.ReasonPeer, true)
			n.sendPart(t, i)
		}
	}
	for t.nextPart < len(n.handoff.parts) && len(t.unacked) < maxUnackedParts {
		n.sendPart(t, t.nextPart)
		t.nextPart++
	}
}

func (n *Node) sendPart(t *transfer, i int) {
	t.unacked[i] = n.now
	p := &n.handoff.parts[i]
	in := p.message
	in.Since = cornelwall.Duration(n.now.Sub(p.closedAt))
	n.send(t.successor, cornelwall.Message{RecordTransfer: &in})
}

// partUndelivered lets a part that may not have arrived be sent again soon.
func (n *Node) partUndelivered(to cornelwall.Incarnation, in *cornelwall.RecordTransfer) {
	t, i := n.findTransfer(to, in.Predecessor, in.Part)
	if t != nil {
		t.unacked[i] = n.now.Add(maxBackoff - n.cfg.PeerTimeout)
		n.wakeBy(n.now.Add(maxBackoff))
	}
}

// findTransfer returns the transfer to an heir and the number of a part that it waits to
// have confirmed.
func (n *Node) findTransfer(heir, of cornelwall.Incarnation, part int) (*transfer, int) {
	for _, t := range n.handoff.transfers {
		if t.successor != heir {
			continue
		}
		for i := range t.unacked {
			if in := &n.handoff.parts[i].message; in.Predecessor == of && in.Part == part {
				return t, i
			}
		}
	}
	return nil, 0
}

// receiveTransferAck takes an heir's word on a part of a table.
func (n *Node) receiveTransferAck(from cornelwall.Incarnation, c *cornelwall.RecordTransferAck) {
	for _, t := range n.handoff.transfers {
		if t.successor == from && c.OutOfMemory {
			n.log("heir-full", "heir", from, "remedy", "give the entries more memory, or let tickets live shorter")
			n.handoff.outOfMemoryAt[from] = n.now
			return
		}
		if t.successor != from || !t.pendingTables[c.Predecessor] {
			continue
		}
		n.recordAck(t, c)
	}
}

func (n *Node) recordAck(t *transfer, c *cornelwall.RecordTransferAck) {
	for i := range n.handoff.parts {
		in := &n.handoff.parts[i].message
		if in.Predecessor != c.Predecessor || (in.Part != c.Part && !c.Complete) {
			continue
		}
		delete(t.unacked, i)
	}
	if !c.Complete {
		return
	}
	delete(t.pendingTables, c.Predecessor)
	for t.nextPart < len(n.handoff.parts) && !t.pendingTables[n.handoff.parts[t.nextPart].message.Predecessor] {
		t.nextPart++ // the heir had this table already
	}
	if len(t.pendingTables) == 0 {
		t.complete = true
	}
}

// checkHandoff ends the handover once the heirs have everything, or once there is nobody
// to wait for.
func (n *Node) checkHandoff() {
	h := &n.handoff
	whole := 0
	for _, t := range h.transfers {
		if t.complete {
			whole++
		}
	}
	switch {
	case whole > 0 && whole == len(h.transfers):
		n.endHandoff()
	case whole > 0 && h.firstCompleteAt.IsZero():
		h.firstCompleteAt = n.now
	case whole > 0 && n.now.Sub(h.firstCompleteAt) >= n.cfg.PeerTimeout:
		n.endHandoff()
	case len(h.transfers) > 0:
	case !n.members.HasNeighbours() || !h.noSuccessorSince.IsZero() && n.now.Sub(h.noSuccessorSince) >= n.cfg.SuccessorWait:
		n.log("no-heir", "remedy", "outcomes of this entry are unknown from now on; keep two entries up")
		n.endHandoff()
	case h.noSuccessorSince.IsZero():
		h.noSuccessorSince = n.now
		n.log("no-heir-yet", "remedy", "keep two entries up; waiting for one", "wait", n.cfg.SuccessorWait)
	}
}

// endHandoff tells the peers who the heirs are.
func (n *Node) endHandoff() {
	h := &n.handoff
	h.handedOffAt = n.now
	var hs []cornelwall.Succession
	for _, t := range h.transfers {
		if !t.complete {
			continue
		}
		for i := range h.parts {
			if p := &h.parts[i]; p.message.Part == 0 {
				hs = append(hs, cornelwall.Succession{Predecessor: p.message.Predecessor, Successor: t.successor, Since: cornelwall.Duration(n.now.Sub(p.closedAt))})
			}
		}
		n.log("handed-over", "heir", t.successor, "parts", len(h.parts))
	}
	n.announceSuccessions(hs)
}
