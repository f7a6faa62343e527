package node

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/owner"
)

const partBytes = 1 << 20 // of answers in one part of a table

// handover is the last part of a planned stop.
type handover struct {
	heir    cornelwall.Incarnation
	closed  time.Time // when the table was complete
	pending map[cornelwall.Incarnation]bool
	sent    time.Time
	done    bool
}

// stop begins a planned stop: no new jobs, and the machines go to other homes.
func (n *Node) stop() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.log("stopping", "jobs", n.jobs.Len(), "running", len(n.attempts))
	n.nextBeat = n.now
	n.beat()
}

// advanceStop hands the outcomes to an heir once nothing is in flight.
func (n *Node) advanceStop() {
	h := &n.handover
	if !n.leaving || h.done {
		return
	}
	if h.closed.IsZero() {
		if len(n.attempts) > 0 || n.queue.Len() > 0 || len(n.forwards) > 0 || n.claims.Len() > 0 {
			return
		}
		h.closed = n.now
	}
	if h.pending != nil && len(h.pending) == 0 {
		n.stopped()
		return
	}
	heir, ok := n.chooseHeir()
	if !ok {
		n.log("no-heir", "remedy", "outcomes of this entry are unknown from now on; keep two entries up")
		n.stopped()
		return
	}
	if heir != h.heir || n.now.Sub(h.sent) >= n.cfg.Away {
		n.handOver(heir)
	}
}

func (n *Node) stopped() {
	n.handover.done = true
	n.log("stopped", "heir", n.handover.heir)
	n.emit(cornelwall.Stopped{})
}

// chooseHeir returns the entry to hand the outcomes to, of this data centre if
// possible. It keeps to the one chosen while that one answers.
func (n *Node) chooseHeir() (cornelwall.Incarnation, bool) {
	var best cornelwall.Incarnation
	for _, p := range n.members.Alive(n.now) {
		switch {
		case p.Leaving:
		case p.Incarnation == n.handover.heir:
			return p.Incarnation, true
		case best.IsZero(), best.DataCentre != n.cfg.Self.DataCentre && p.Incarnation.DataCentre == n.cfg.Self.DataCentre:
			best = p.Incarnation
		}
	}
	return best, !best.IsZero()
}

// handOver sends this entry's table and those that it inherited.
func (n *Node) handOver(heir cornelwall.Incarnation) {
	n.handover.heir = heir
	n.handover.sent = n.now
	n.handover.pending = map[cornelwall.Incarnation]bool{}
	n.sendTable(n.cfg.Self, n.handover.closed.Sub(n.start), n.now.Sub(n.handover.closed), n.records())
	n.heirs.Tables(n.now, n.sendTable)
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

// sendTable sends one table in parts.
func (n *Node) sendTable(of cornelwall.Incarnation, closed, since time.Duration, rs []cornelwall.Record) {
	n.handover.pending[of] = true
	parts := split(rs)
	for i, part := range parts {
		n.send(n.handover.heir, cornelwall.Message{Inherit: &cornelwall.Inherit{
			Of: of, Closed: cornelwall.Duration(closed), Since: cornelwall.Duration(since),
			Part: i, Parts: len(parts), Records: part,
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
		for _, t := range r.Answer.Tasks {
			size += len(t.Body) + recordBytes
		}
		size += recordBytes
	}
	return parts
}

const recordBytes = 128 // of a record or task without its body

// inherit takes a part of the table of a stopping entry.
func (n *Node) inherit(from cornelwall.Incarnation, in *cornelwall.Inherit) {
	held := n.heirs.Holds(in.Of)
	if !n.heirs.Receive(n.now, in) {
		return
	}
	n.send(from, cornelwall.Message{Inherited: &cornelwall.Inherited{Of: in.Of}})
	if held {
		return
	}
	h := cornelwall.Heir{Of: in.Of, Heir: n.cfg.Self}
	n.heirs.Learn(n.now, h)
	n.log("inherited", "of", in.Of, "from", from)
	for _, p := range n.members.Alive(n.now) {
		n.send(p.Incarnation, cornelwall.Message{Heirs: &cornelwall.Heirs{Heirs: []cornelwall.Heir{h}}})
	}
}

// confirmed takes an heir's word that a table has arrived.
func (n *Node) confirmed(from cornelwall.Incarnation, c *cornelwall.Inherited) {
	if from == n.handover.heir {
		delete(n.handover.pending, c.Of)
	}
}

// learn records who answers for closed incarnations.
func (n *Node) learn(hs []cornelwall.Heir) {
	for _, h := range hs {
		if h.Of != n.cfg.Self {
			n.heirs.Learn(n.now, h)
		}
	}
	n.checkForwards()
}
