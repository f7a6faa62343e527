// Package member tells which entries there are, which of them answer, and which of
// them an entry exchanges heartbeats with.
//
// An entry sends heartbeats to all entries of its data centre and to a few of other
// data centres, chosen by rendezvous hashing, so that the number of messages does not
// grow with the number of data centres.
//
// # Usage
//
//	t := member.NewTable(self, member.Limits{Away: away, ListLag: lag, Keep: ticketLife})
//	t.SetMachines(now, vms)
//	if t.Heard(now, from, beat, proven) == member.Unproven { ... } // ask it for an echo
//	for _, p := range t.Near() { ... }
//
// A heartbeat can be late, so that a life that differs from the one known counts only
// once it has echoed a number drawn after its heartbeat came. An incarnation is gone
// only when that is proven; see [Table.Status].
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
	maxRemoteNeighbours = 6  // entries of other data centres to exchange heartbeats with
	maxPastEpochs       = 64 // lives remembered per entry
)

// Status is what is known of an incarnation.
type Status int

const (
	// Suspect incarnations have not been heard of lately.
	Suspect Status = iota
	// Alive incarnations answer.
	Alive
	// Dead incarnations are proven to have ended.
	Dead
)

// entryKey identifies an entry VM across its lives.
type entryKey struct{ dataCentre, entry string }

// Peer is another entry. Its life is 0 until it was heard of.
type Peer struct {
	Incarnation     cornelwall.Incarnation
	Addr            netip.AddrPort
	Leaving         bool // the peer or the VM list says so
	Watching        bool
	ProfilesFresh   bool
	Digest          uint64
	Capacity        cornelwall.Capacity
	CapacityAt      time.Time // of the word of Room
	Probe           uint64    // number that another life has to echo; 0 is none
	HeartbeatSentAt time.Time // when a heartbeat was sent to it last
	heardAt         time.Time
	listed          bool
	unlistedSince   time.Time // since when the VM list has lacked the entry
	pastEpochs      []uint64
}

// Limits is the times that a table goes by.
type Limits struct {
	SilenceTimeout time.Duration // silence after which a peer does not count as alive
	ListLag        time.Duration // by which the VM list may be late
	Retention      time.Duration // for which a peer that is gone is remembered
}

// Table holds the other entries.
type Table struct {
	self       cornelwall.Incarnation
	limits     Limits
	peers      map[entryKey]*Peer
	neighbours []*Peer
	listRead   bool // a VM list has been read
}

// NewTable returns a table for the entry self.
func NewTable(self cornelwall.Incarnation, limits Limits) *Table {
	return &Table{self: self, limits: limits, peers: map[entryKey]*Peer{}}
}

// SetMachines takes over the entries of the VM list. An entry that has left the list
// is kept while it still answers.
func (t *Table) SetMachines(now time.Time, vms []cornelwall.VM) {
	t.listRead = true
	was := make(map[*Peer]bool, len(t.peers))
	for _, p := range t.peers {
		was[p] = p.listed
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
		p := t.peer(now, id)
		p.listed = true
		if !t.alive(now, p) { // else the peer's own word is newer
			p.Addr = vm.Addr
		}
		p.Leaving = p.Leaving || vm.State == cornelwall.Leaving
	}
	for _, p := range t.peers {
		if was[p] && !p.listed {
			p.unlistedSince = now
		}
	}
	t.selectNeighbours(now)
}

// Track starts to watch for an incarnation that the table may not know, so that its
// absence from the VM list counts from now on.
func (t *Table) Track(now time.Time, id cornelwall.Incarnation) {
	if !id.SameEntry(t.self) {
		t.peer(now, id)
	}
}

func (t *Table) peer(now time.Time, id cornelwall.Incarnation) *Peer {
	key := entryKey{id.DataCentre, id.Entry}
	p := t.peers[key]
	if p == nil {
		p = &Peer{
			Incarnation:   cornelwall.Incarnation{DataCentre: id.DataCentre, Entry: id.Entry},
			unlistedSince: now,
		}
		t.peers[key] = p
	}
	return p
}

// HeartbeatResult is what a heartbeat tells of its sender.
type HeartbeatResult int

const (
	// NoChange says that the sender is known, or that its life is past.
	NoChange HeartbeatResult = iota
	// Joined says that the sender is a new incarnation.
	Joined
	// NeedsProof says that the sender claims another life than the one known. It has to
	// echo a number before it counts.
	NeedsProof
)

// RecordHeartbeat takes a heartbeat. Proven says that the sender has echoed the peer's Probe.
func (t *Table) RecordHeartbeat(now time.Time, from cornelwall.Incarnation, b *cornelwall.Heartbeat, proven bool) HeartbeatResult {
	if from.SameEntry(t.self) {
		return NoChange
	}
	p := t.peer(now, from)
	if slices.Contains(p.pastEpochs, from.Epoch) {
		return NoChange
	}
	news := NoChange
	if known := p.Incarnation.Epoch; known != from.Epoch {
		if known != 0 && !proven {
			return NeedsProof
		}
		if known > from.Epoch && t.alive(now, p) {
			return NoChange // both live for a while, when a VM is replaced by one of the same name
		}
		p.retireEpoch(known)
		p.Incarnation.Epoch = from.Epoch
		p.Probe = 0
		news = Joined
	}
	p.heardAt = now
	p.Leaving, p.Watching, p.ProfilesFresh, p.Digest = b.Leaving, b.Watching, b.ProfilesFresh, b.Digest
	p.Capacity, p.CapacityAt = b.Capacity, now
	if b.Addr.IsValid() {
		p.Addr = b.Addr
	}
	if news == Joined {
		t.selectNeighbours(now)
	}
	return news
}

// retireEpoch records that a life of the peer is past.
func (p *Peer) retireEpoch(life uint64) {
	if life != 0 && !slices.Contains(p.pastEpochs, life) {
		p.pastEpochs = append(p.pastEpochs, life)
		p.pastEpochs = p.pastEpochs[max(0, len(p.pastEpochs)-maxPastEpochs):]
	}
}

// RecordReplacement takes the word of a sender that an envelope for the incarnation old came to
// it instead. It reports whether that proves that old is gone: another entry that has
// the address now proves nothing, and neither does an older life of the same entry.
func (t *Table) RecordReplacement(now time.Time, from, old cornelwall.Incarnation) bool {
	p := t.peer(now, old)
	if !from.SameEntry(old) {
		p.heardAt = time.Time{} // its address is wrong
		return false
	}
	if from == old || slices.Contains(p.pastEpochs, from.Epoch) || from.Epoch < old.Epoch && t.alive(now, p) {
		return false
	}
	p.retireEpoch(old.Epoch)
	if p.Incarnation.Epoch == old.Epoch {
		p.Incarnation.Epoch = 0
	}
	return true
}

// Status tells what is known of an incarnation. It is gone only if it is proven that a
// later life has taken its place, or if the VM list has lacked it for longer than the
// list may be late and it is silent.
func (t *Table) Status(now time.Time, id cornelwall.Incarnation) Status {
	if id == t.self {
		return Alive
	}
	if id.SameEntry(t.self) {
		return Dead
	}
	p := t.peers[entryKey{id.DataCentre, id.Entry}]
	switch {
	case p == nil:
		return Suspect
	case slices.Contains(p.pastEpochs, id.Epoch):
		return Dead
	case p.Incarnation.Epoch == id.Epoch && t.alive(now, p):
		return Alive
	case p.Incarnation.Epoch > id.Epoch:
		return Dead
	case t.departed(now, p):
		return Dead
	}
	return Suspect
}

// departed reports whether the VM list has lacked a silent peer for so long that the
// list cannot be late.
func (t *Table) departed(now time.Time, p *Peer) bool {
	return t.listRead && !p.listed && now.Sub(p.unlistedSince) > t.limits.ListLag && !t.alive(now, p)
}

// All returns every entry that is listed or answers, near or not, in a stable order.
func (t *Table) All(now time.Time) []*Peer {
	var ps []*Peer
	for _, p := range t.peers {
		if !t.departed(now, p) {
			ps = append(ps, p)
		}
	}
	slices.SortFunc(ps, func(p, q *Peer) int { return p.Incarnation.Compare(q.Incarnation) })
	return ps
}

// SuccessorQueryTargets returns the entries that may know what became of an incarnation of the data
// centre: the near ones and those of that data centre, unless they are gone. Whole is
// false if no VM list has been read, so that there may be more.
func (t *Table) SuccessorQueryTargets(now time.Time, dataCentre string) (ps []*Peer, whole bool) {
	ps = slices.Clone(t.neighbours)
	for _, p := range t.peers {
		if p.Incarnation.DataCentre == dataCentre && !slices.Contains(t.neighbours, p) {
			ps = append(ps, p)
		}
	}
	ps = slices.DeleteFunc(ps, func(p *Peer) bool { return t.departed(now, p) })
	slices.SortFunc(ps, func(p, q *Peer) int { return p.Incarnation.Compare(q.Incarnation) })
	return ps, t.listRead
}

// Find returns the peer of an incarnation's entry, or nil.
func (t *Table) Find(id cornelwall.Incarnation) *Peer {
	return t.peers[entryKey{id.DataCentre, id.Entry}]
}

// Neighbours returns the entries to exchange heartbeats with, in a stable order.
func (t *Table) Neighbours() []*Peer { return t.neighbours }

// HasNeighbours reports whether there is any other entry, answering or not.
func (t *Table) HasNeighbours() bool { return len(t.neighbours) > 0 }

// Alive returns the near incarnations that answer, in a stable order.
func (t *Table) Alive(now time.Time) []*Peer {
	var ps []*Peer
	for _, p := range t.neighbours {
		if t.alive(now, p) {
			ps = append(ps, p)
		}
	}
	return ps
}

// LocalActive returns the incarnations of this data centre that answer and are not leaving,
// this one included unless it is leaving.
func (t *Table) LocalActive(now time.Time, leaving bool) []cornelwall.Incarnation {
	var ids []cornelwall.Incarnation
	if !leaving {
		ids = append(ids, t.self)
	}
	for _, p := range t.neighbours {
		if p.Incarnation.DataCentre == t.self.DataCentre && t.alive(now, p) && !p.Leaving {
			ids = append(ids, p.Incarnation)
		}
	}
	return ids
}

func (t *Table) alive(now time.Time, p *Peer) bool {
	return p.Incarnation.Epoch != 0 && !p.heardAt.IsZero() && now.Sub(p.heardAt) <= t.limits.SilenceTimeout
}

// Prune drops peers that have been gone for long.
func (t *Table) Prune(now time.Time) {
	for key, p := range t.peers {
		if t.departed(now, p) && now.Sub(p.unlistedSince) > t.limits.ListLag+t.limits.Retention {
			delete(t.peers, key)
		}
	}
	t.selectNeighbours(now)
}

// selectNeighbours picks the near peers among those that are listed or answer.
func (t *Table) selectNeighbours(now time.Time) {
	var remote []*Peer
	t.neighbours = t.neighbours[:0:0]
	for _, p := range t.peers {
		switch {
		case !p.listed && !t.alive(now, p):
		case p.Incarnation.DataCentre == t.self.DataCentre:
			t.neighbours = append(t.neighbours, p)
		default:
			remote = append(remote, p)
		}
	}
	slices.SortFunc(remote, func(p, q *Peer) int {
		return cmp.Or(cmp.Compare(t.weight(q), t.weight(p)), p.Incarnation.Compare(q.Incarnation))
	})
	t.neighbours = append(t.neighbours, remote[:min(len(remote), maxRemoteNeighbours)]...)
	slices.SortFunc(t.neighbours, func(p, q *Peer) int { return p.Incarnation.Compare(q.Incarnation) })
}

// weight is symmetric, so that two entries choose each other.
func (t *Table) weight(p *Peer) uint64 {
	a, b := t.self.DataCentre+"."+t.self.Entry, p.Incarnation.DataCentre+"."+p.Incarnation.Entry
	return xxhash.Sum64String(min(a, b) + "/" + max(a, b))
}

// Rendezvous returns which of the incarnations is the home of a machine: the one with the
// highest rendezvous hash.
func Rendezvous(machine string, homes []cornelwall.Incarnation) cornelwall.Incarnation {
	var best cornelwall.Incarnation
	var high uint64
	for _, id := range homes {
		if h := xxhash.Sum64String(id.Entry + "/" + machine); best.IsZero() || h > high {
			best, high = id, h
		}
	}
	return best
}
