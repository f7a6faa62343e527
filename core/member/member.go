// Package member tells which entries there are, which of them answer, and which of
// them an entry exchanges heartbeats with.
//
// An entry sends heartbeats to all entries of its data centre and to a few of other
// data centres, chosen by rendezvous hashing, so that the number of messages does not
// grow with the number of data centres.
//
// # Usage
//
//	t := member.NewTable(self, away)
//	t.SetMachines(vms)
//	t.Heard(now, from, beat)
//	for _, p := range t.Near() { ... }
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelwall"
)

const (
	maxRemote = 12 // entries of other data centres to exchange heartbeats with
	maxPast   = 64 // lives remembered per entry
)

// Status is what is known of an incarnation.
type Status int

const (
	// Away incarnations have not been heard of lately.
	Away Status = iota
	// Alive incarnations answer.
	Alive
	// Gone incarnations were replaced by another life or left the VM list.
	Gone
)

// name identifies an entry VM across its lives.
type name struct{ dataCentre, entry string }

// Peer is another entry. Its life is 0 until it was heard of.
type Peer struct {
	Incarnation cornelwall.Incarnation
	Addr        netip.AddrPort
	Leaving     bool // the peer or the VM list says so
	Watcher     bool
	Fresh       bool
	Digest      uint64
	Room        cornelwall.Room
	RoomAt      time.Time // of the word of Room
	heard       time.Time
	listed      bool
	past        []uint64
}

// Table holds the other entries.
type Table struct {
	self  cornelwall.Incarnation
	away  time.Duration
	peers map[name]*Peer
	near  []*Peer
	known bool // a VM list has been read
}

// NewTable returns a table for the entry self; a peer that is silent for longer than
// away is not alive.
func NewTable(self cornelwall.Incarnation, away time.Duration) *Table {
	return &Table{self: self, away: away, peers: map[name]*Peer{}}
}

// SetMachines takes over the entries of the VM list. An entry that has left the list
// is kept while it still answers.
func (t *Table) SetMachines(vms []cornelwall.VM) {
	t.known = true
	for _, p := range t.peers {
		p.listed = false
	}
	for _, vm := range vms {
		if vm.Kind != cornelwall.Entry {
			continue
		}
		id := cornelwall.Incarnation{DataCentre: vm.DataCentre, Entry: vm.Name}
		if id.SameEntry(t.self) {
			continue
		}
		p := t.peer(id)
		p.listed = true
		p.Addr = vm.Addr
		p.Leaving = p.Leaving || vm.State == cornelwall.Leaving
	}
	t.choose()
}

func (t *Table) peer(id cornelwall.Incarnation) *Peer {
	key := name{id.DataCentre, id.Entry}
	p := t.peers[key]
	if p == nil {
		p = &Peer{Incarnation: cornelwall.Incarnation{DataCentre: id.DataCentre, Entry: id.Entry}}
		t.peers[key] = p
	}
	return p
}

// Heard takes a heartbeat. It reports whether the sender is a new incarnation.
func (t *Table) Heard(now time.Time, from cornelwall.Incarnation, b *cornelwall.Beat) (fresh bool) {
	if from.SameEntry(t.self) {
		return false
	}
	p := t.peer(from)
	if slices.Contains(p.past, from.Life) {
		return false
	}
	if p.Incarnation.Life != from.Life {
		if p.Incarnation.Life != 0 {
			p.past = append(p.past, p.Incarnation.Life)
			p.past = p.past[max(0, len(p.past)-maxPast):]
		}
		p.Incarnation.Life = from.Life
		fresh = true
	}
	p.heard = now
	p.Leaving, p.Watcher, p.Fresh, p.Digest = b.Leaving, b.Watcher, b.Fresh, b.Digest
	p.Room, p.RoomAt = b.Room, now
	if b.Addr.IsValid() {
		p.Addr = b.Addr
	}
	if fresh {
		t.choose()
	}
	return fresh
}

// Replaced records that an incarnation no longer lives at its address.
func (t *Table) Replaced(old cornelwall.Incarnation) {
	p := t.peer(old)
	if !slices.Contains(p.past, old.Life) {
		p.past = append(p.past, old.Life)
	}
	if p.Incarnation.Life == old.Life {
		p.Incarnation.Life = 0
	}
}

// Status tells what is known of an incarnation.
func (t *Table) Status(now time.Time, id cornelwall.Incarnation) Status {
	if id == t.self {
		return Alive
	}
	if id.SameEntry(t.self) {
		return Gone
	}
	p := t.peers[name{id.DataCentre, id.Entry}]
	switch {
	case p == nil && t.known:
		return Gone
	case p == nil:
		return Away
	case slices.Contains(p.past, id.Life):
		return Gone
	case p.Incarnation.Life == id.Life && t.alive(now, p):
		return Alive
	case p.Incarnation.Life != 0 && p.Incarnation.Life != id.Life:
		return Gone
	case !p.listed && t.known:
		return Gone
	}
	return Away
}

// Find returns the peer of an incarnation's entry, or nil.
func (t *Table) Find(id cornelwall.Incarnation) *Peer {
	return t.peers[name{id.DataCentre, id.Entry}]
}

// Near returns the entries to exchange heartbeats with, in a stable order.
func (t *Table) Near() []*Peer { return t.near }

// Alive returns the near incarnations that answer, in a stable order.
func (t *Table) Alive(now time.Time) []*Peer {
	var ps []*Peer
	for _, p := range t.near {
		if t.alive(now, p) {
			ps = append(ps, p)
		}
	}
	return ps
}

// Homes returns the incarnations of this data centre that answer and are not leaving,
// this one included unless it is leaving.
func (t *Table) Homes(now time.Time, leaving bool) []cornelwall.Incarnation {
	var ids []cornelwall.Incarnation
	if !leaving {
		ids = append(ids, t.self)
	}
	for _, p := range t.near {
		if p.Incarnation.DataCentre == t.self.DataCentre && t.alive(now, p) && !p.Leaving {
			ids = append(ids, p.Incarnation)
		}
	}
	return ids
}

func (t *Table) alive(now time.Time, p *Peer) bool {
	return p.Incarnation.Life != 0 && !p.heard.IsZero() && now.Sub(p.heard) <= t.away
}

// Forget drops peers that are neither listed nor answer.
func (t *Table) Forget(now time.Time) {
	for key, p := range t.peers {
		if !p.listed && now.Sub(p.heard) > 2*t.away {
			delete(t.peers, key)
		}
	}
	t.choose()
}

// choose picks the near peers.
func (t *Table) choose() {
	var remote []*Peer
	t.near = t.near[:0:0]
	for _, p := range t.peers {
		if p.Incarnation.DataCentre == t.self.DataCentre {
			t.near = append(t.near, p)
		} else {
			remote = append(remote, p)
		}
	}
	slices.SortFunc(remote, func(p, q *Peer) int {
		return cmp.Or(cmp.Compare(t.weight(q), t.weight(p)), p.Incarnation.Compare(q.Incarnation))
	})
	t.near = append(t.near, remote[:min(len(remote), maxRemote)]...)
	slices.SortFunc(t.near, func(p, q *Peer) int { return p.Incarnation.Compare(q.Incarnation) })
}

// weight is symmetric, so that two entries choose each other.
func (t *Table) weight(p *Peer) uint64 {
	a, b := t.self.DataCentre+"."+t.self.Entry, p.Incarnation.DataCentre+"."+p.Incarnation.Entry
	return xxhash.Sum64String(min(a, b) + "/" + max(a, b))
}

// Home returns which of the incarnations is the home of a machine: the one with the
// highest rendezvous hash.
func Home(machine string, homes []cornelwall.Incarnation) cornelwall.Incarnation {
	var best cornelwall.Incarnation
	var high uint64
	for _, id := range homes {
		if h := xxhash.Sum64String(id.Entry + "/" + machine); best.IsZero() || h > high {
			best, high = id, h
		}
	}
	return best
}
