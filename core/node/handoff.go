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
	successorCount  = 2       // successors that each table is sent to
	maxPartBytes    = 1 << 20 // of answers in one part of a table, after which a new part begins
	maxUnackedParts = 8       // parts sent to one successor and not acknowledged

	forwardGrace = 20 * time.Second // time after the hand-off for forwarded requests to be answered
)

// handoff is the last stage of a planned stop: the outcome tables of this incarnation,
// and those that it inherited, are sent to two successors.
type handoff struct {
	jobsDeadline     time.Time // when open jobs are ended; zero is never
	closedAt         time.Time
	parts            []tablePart
	transfers        []*transfer
	outOfMemoryAt    map[cornelwall.Incarnation]time.Time // when entries last lacked the memory for a table
	firstCompleteAt  time.Time                            // when a successor first had all tables
	noSuccessorSince time.Time                            // when no successor was available for the first time
	handedOffAt      time.Time                            // when the hand-off ended
	done             bool
}

// tablePart is one part of an outcome table. Each table is split only once, because a
// successor must not combine parts of different splits.
type tablePart struct {
	message  cornelwall.RecordTransfer // Since is set when the part is sent
	closedAt time.Time                 // when the incarnation of the table closed
}

// transfer is the transfer of all tables to one successor.
type transfer struct {
	successor     cornelwall.Incarnation
	nextPart      int               // first part that has not been sent
	unacked       map[int]time.Time // by unacknowledged part: PeerTimeout before it is due again; usually when it was last sent
	pendingTables map[cornelwall.Incarnation]bool
	complete      bool // every table is acknowledged
}

// closeTables splits the final tables into parts. From here on a ticket without a record
// is answered as not run, both here and by the successors.
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

// addTable adds the parts of the table of one incarnation. ClosedAfter is the age of the
// incarnation at its close.
func (n *Node) addTable(predecessor cornelwall.Incarnation, closedAfter time.Duration, closedAt time.Time, table []cornelwall.Record) {
	parts := splitRecords(table)
	for i, records := range parts {
		n.handoff.parts = append(n.handoff.parts, tablePart{closedAt: closedAt, message: cornelwall.RecordTransfer{
			Predecessor: predecessor, ClosedAfter: cornelwall.Duration(closedAfter), Part: i, Parts: len(parts), Records: records,
		}})
	}
}

// splitRecords splits records into parts. A part exceeds maxPartBytes by one record at
// most. There is at least one part.
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

// chooseSuccessors drops successors that have failed and chooses replacements. A
// successor that stops after it has received all tables is kept, as it hands them off
// itself.
func (n *Node) chooseSuccessors() {
	h := &n.handoff
	h.transfers = slices.DeleteFunc(h.transfers, func(t *transfer) bool {
		p := n.members.Find(t.successor)
		return n.members.Status(n.now, t.successor) != member.Alive || (p.Leaving && !t.complete) || n.outOfMemory(t.successor)
	})
	for len(h.transfers) < successorCount {
		id, ok := n.nextSuccessor()
		if !ok {
			return
		}
		t := &transfer{successor: id, unacked: map[int]time.Time{}, pendingTables: map[cornelwall.Incarnation]bool{}}
		for i := range h.parts {
			t.pendingTables[h.parts[i].message.Predecessor] = true
		}
		h.transfers = append(h.transfers, t)
	}
}

// outOfMemory reports whether an entry has recently lacked the memory for a table. It may
// have the memory later, when tickets have expired.
func (n *Node) outOfMemory(id cornelwall.Incarnation) bool {
	at, ok := n.handoff.outOfMemoryAt[id]
	return ok && n.now.Sub(at) < n.cfg.PeerTimeout
}

// nextSuccessor returns another entry to send the tables to. The first one is in this
// data centre, so that it can be reached while the data centre is partitioned off; the
// second one is in another, so that the loss of one data centre does not lose both
// copies.
func (n *Node) nextSuccessor() (cornelwall.Incarnation, bool) {
	h := &n.handoff
	var local, remote []cornelwall.Incarnation
	for _, p := range n.members.Alive(n.now) {
		taken := slices.ContainsFunc(h.transfers, func(t *transfer) bool { return t.successor == p.Incarnation })
		switch {
		case p.Leaving || taken || n.outOfMemory(p.Incarnation):
		case p.Incarnation.DataCentre == n.cfg.Self.DataCentre:
			local = append(local, p.Incarnation)
		default:
			remote = append(remote, p.Incarnation)
		}
	}
	hasLocal := slices.ContainsFunc(h.transfers, func(t *transfer) bool { return t.successor.DataCentre == n.cfg.Self.DataCentre })
	choice := local
	if len(local) == 0 || hasLocal && len(remote) > 0 {
		choice = remote
	}
	if len(choice) == 0 {
		return cornelwall.Incarnation{}, false
	}
	return member.Rendezvous(n.cfg.Self.String(), choice), true
}

// sendParts sends the next parts to a successor, with at most maxUnackedParts
// unacknowledged, and retransmits parts whose acknowledgement is overdue.
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
	msg := p.message
	msg.Since = cornelwall.Duration(n.now.Sub(p.closedAt))
	n.send(t.successor, cornelwall.Message{RecordTransfer: &msg})
}

// partUndelivered schedules the retransmission of a part that may not have arrived, after
// maxBackoff instead of PeerTimeout.
func (n *Node) partUndelivered(to cornelwall.Incarnation, msg *cornelwall.RecordTransfer) {
	t, i := n.findTransfer(to, msg.Predecessor, msg.Part)
	if t != nil {
		t.unacked[i] = n.now.Add(maxBackoff - n.cfg.PeerTimeout)
		n.wakeBy(n.now.Add(maxBackoff))
	}
}

// findTransfer returns the transfer to a successor and the index of the given
// unacknowledged part, or nil if there is none.
func (n *Node) findTransfer(successor, predecessor cornelwall.Incarnation, part int) (*transfer, int) {
	for _, t := range n.handoff.transfers {
		if t.successor != successor {
			continue
		}
		for i := range t.unacked {
			if msg := &n.handoff.parts[i].message; msg.Predecessor == predecessor && msg.Part == part {
				return t, i
			}
		}
	}
	return nil, 0
}

// receiveTransferAck handles a successor's acknowledgement of a part.
func (n *Node) receiveTransferAck(from cornelwall.Incarnation, ack *cornelwall.RecordTransferAck) {
	for _, t := range n.handoff.transfers {
		if t.successor == from && ack.OutOfMemory {
			n.log("heir-full", "heir", from, "remedy", "give the entries more memory, or shorten the ticket lifetime")
			n.handoff.outOfMemoryAt[from] = n.now
			return
		}
		if t.successor != from || !t.pendingTables[ack.Predecessor] {
			continue
		}
		n.recordAck(t, ack)
	}
}

func (n *Node) recordAck(t *transfer, ack *cornelwall.RecordTransferAck) {
	for i := range n.handoff.parts {
		msg := &n.handoff.parts[i].message
		if msg.Predecessor != ack.Predecessor || (msg.Part != ack.Part && !ack.Complete) {
			continue
		}
		delete(t.unacked, i)
	}
	if !ack.Complete {
		return
	}
	delete(t.pendingTables, ack.Predecessor)
	for t.nextPart < len(n.handoff.parts) && !t.pendingTables[n.handoff.parts[t.nextPart].message.Predecessor] {
		t.nextPart++ // the successor already had this table
	}
	if len(t.pendingTables) == 0 {
		t.complete = true
	}
}

// checkHandoff ends the hand-off once every chosen successor has all tables, or once
// PeerTimeout has passed since one of them had. Without any successor it ends after
// SuccessorWait, or at once if there is no other entry.
func (n *Node) checkHandoff() {
	h := &n.handoff
	complete := 0
	for _, t := range h.transfers {
		if t.complete {
			complete++
		}
	}
	switch {
	case complete > 0 && complete == len(h.transfers):
		n.endHandoff()
	case complete > 0 && h.firstCompleteAt.IsZero():
		h.firstCompleteAt = n.now
	case complete > 0 && n.now.Sub(h.firstCompleteAt) >= n.cfg.PeerTimeout:
		n.endHandoff()
	case len(h.transfers) > 0:
	case !n.members.HasNeighbours() || !h.noSuccessorSince.IsZero() && n.now.Sub(h.noSuccessorSince) >= n.cfg.SuccessorWait:
		n.log("no-heir", "remedy", "outcomes of this entry are unknown from now on; keep two entries running")
		n.endHandoff()
	case h.noSuccessorSince.IsZero():
		h.noSuccessorSince = n.now
		n.log("no-heir-yet", "remedy", "keep two entries running; waiting for another one", "wait", n.cfg.SuccessorWait)
	}
}

// endHandoff ends the hand-off and announces the successors to the peers.
func (n *Node) endHandoff() {
	h := &n.handoff
	h.handedOffAt = n.now
	var successions []cornelwall.Succession
	for _, t := range h.transfers {
		if !t.complete {
			continue
		}
		for i := range h.parts {
			if p := &h.parts[i]; p.message.Part == 0 {
				successions = append(successions, cornelwall.Succession{Predecessor: p.message.Predecessor, Successor: t.successor, Since: cornelwall.Duration(n.now.Sub(p.closedAt))})
			}
		}
		n.log("handed-over", "heir", t.successor, "parts", len(h.parts))
	}
	n.announceSuccessions(successions)
}
