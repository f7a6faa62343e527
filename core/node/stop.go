package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/heir"
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
	inherit cornelwall.Inherit // Since is set when the part is sent
	at      time.Time          // of the close of its incarnation
}

// transfer is the handover to one heir.
type transfer struct {
	heir   cornelwall.Incarnation
	next   int               // first part that was not sent yet
	out    map[int]time.Time // when parts were sent that are not confirmed
	tables map[cornelwall.Incarnation]bool
	whole  bool // every table is confirmed
}

// stop begins a planned stop: no new jobs, and the machines go to other homes.
func (n *Node) stop(left time.Duration) {
	if n.leaving {
		return
	}
	n.leaving = true
	if left > 0 {
		n.handover.limit = n.now.Add(left)
		n.wake(n.handover.limit)
	}
	n.log("stopping", "jobs", n.jobs.Len(), "running", len(n.attempts))
	for _, p := range n.members.Near() {
		p.Beaten = time.Time{} // so that all learn of it at once
	}
	n.nextBeat = n.now
	n.beat()
}

// advanceStop hands the outcomes to heirs once none of this incarnation's own jobs is
// in flight. Requests that wait for other owners go on meanwhile; the stop is complete
// when they have been answered too, unless new ones never cease to come.
func (n *Node) advanceStop() {
	h := &n.handover
	if !n.leaving || h.done {
		return
	}
	if h.closed.IsZero() {
		if !h.limit.IsZero() && !n.now.Before(h.limit) {
			n.endJobs()
		} else if n.busy() {
			return
		}
		n.closeTables()
	}
	if h.handed.IsZero() {
		n.chooseHeirs()
		for _, t := range h.heirs {
			n.feed(t)
		}
		n.endHandover()
	}
	if !h.handed.IsZero() && (len(n.forwards) == 0 || n.now.Sub(h.handed) >= forwardWait) {
		h.done = true
		n.log("stopped")
		n.emit(cornelwall.Stopped{})
	}
}

// busy reports whether a job of this incarnation is open. A task of a job that has ended
// may still run, but changes nothing.
func (n *Node) busy() bool {
	if n.queue.Len() > 0 || n.claims.Len() > 0 {
		return true
	}
	for _, a := range n.attempts {
		if !a.job.Ended() {
			return true
		}
	}
	return false
}

// endJobs ends the open jobs without an answer, each with what is known of its tasks, so
// that the heirs can tell it.
func (n *Node) endJobs() {
	var open []*owner.Job
	n.jobs.All(func(j *owner.Job) {
		if !j.Ended() {
			open = append(open, j)
		}
	})
	slices.SortFunc(open, func(a, b *owner.Job) int { return cmp.Compare(a.Ticket.Seq, b.Ticket.Seq) })
	for _, j := range open {
		n.count(cornelwall.ReasonStopping, false)
		j.Finish(cornelwall.ReasonStopping, 0, "the entry had to stop before the job ended; the outcome of each task tells what ran")
		n.settle(j)
	}
	n.log("stop-limit", "jobs", len(open), "remedy", "raise --stop-timeout above the longest deadline")
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
		n.handover.parts = append(n.handover.parts, part{at: at, inherit: cornelwall.Inherit{
			Of: of, Closed: cornelwall.Duration(closed), Part: i, Parts: len(cuts), Records: records,
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
			t.tables[h.parts[i].inherit.Of] = true
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
	n.send(t.heir, cornelwall.Message{Inherit: &in})
}

// partLost lets a part that may not have arrived be sent again soon.
func (n *Node) partLost(to cornelwall.Incarnation, in *cornelwall.Inherit) {
	t, i := n.transferOf(to, in.Of, in.Part)
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
			if in := &n.handover.parts[i].inherit; in.Of == of && in.Part == part {
				return t, i
			}
		}
	}
	return nil, 0
}

// confirmed takes an heir's word on a part of a table.
func (n *Node) confirmed(from cornelwall.Incarnation, c *cornelwall.Inherited) {
	for _, t := range n.handover.heirs {
		if t.heir == from && c.Full {
			n.log("heir-full", "heir", from, "remedy", "give the entries more memory, or let tickets live shorter")
			n.handover.refused[from] = n.now
			return
		}
		if t.heir != from || !t.tables[c.Of] {
			continue
		}
		n.takeConfirmed(t, c)
	}
}

func (n *Node) takeConfirmed(t *transfer, c *cornelwall.Inherited) {
	for i := range n.handover.parts {
		in := &n.handover.parts[i].inherit
		if in.Of != c.Of || (in.Part != c.Part && !c.Whole) {
			continue
		}
		delete(t.out, i)
	}
	if !c.Whole {
		return
	}
	delete(t.tables, c.Of)
	for t.next < len(n.handover.parts) && !t.tables[n.handover.parts[t.next].inherit.Of] {
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
	var hs []cornelwall.Heir
	for _, t := range h.heirs {
		if !t.whole {
			continue
		}
		for i := range h.parts {
			if p := &h.parts[i]; p.inherit.Part == 0 {
				hs = append(hs, cornelwall.Heir{Of: p.inherit.Of, Heir: t.heir, Since: cornelwall.Duration(n.now.Sub(p.at))})
			}
		}
		n.log("handed-over", "heir", t.heir, "parts", len(h.parts))
	}
	n.tellHeirs(hs)
}

// tellHeirs tells all near entries who answers for closed incarnations.
func (n *Node) tellHeirs(hs []cornelwall.Heir) {
	if len(hs) == 0 {
		return
	}
	for _, p := range n.members.Alive(n.now) {
		n.send(p.Incarnation, cornelwall.Message{Heirs: &cornelwall.Heirs{Heirs: hs}})
	}
}

// inherit takes a part of the table of a stopping entry. An entry that stops itself
// takes nothing, as it may have handed on its own tables already.
func (n *Node) inherit(from cornelwall.Incarnation, in *cornelwall.Inherit) {
	if n.leaving {
		n.sendBeat(n.members.Find(from), cornelwall.Beat{Answer: true})
		return
	}
	held := n.heirs.Holds(in.Of)
	progress := n.heirs.Receive(n.now, from, in)
	n.send(from, cornelwall.Message{Inherited: &cornelwall.Inherited{
		Of: in.Of, Part: in.Part, Whole: progress == heir.Whole, Full: progress == heir.Full,
	}})
	if held || progress != heir.Whole {
		return
	}
	h := n.heirs.Own(n.now, in.Of, n.cfg.Self)
	n.heirs.Learn(n.now, h)
	n.log("inherited", "of", in.Of, "from", from)
	n.tellHeirs([]cornelwall.Heir{h})
	n.checkForwards()
}

// learn records who answers for closed incarnations.
func (n *Node) learn(hs []cornelwall.Heir) {
	fresh := false
	for _, h := range hs {
		if h.Of != n.cfg.Self && n.heirs.Learn(n.now, h) {
			fresh = true
		}
	}
	if fresh {
		n.checkForwards()
	}
}
