// Package member tracks the membership of the cluster: which entries exist, which of them
// are alive, and which of them an entry exchanges heartbeats with (its neighbours).
//
// The neighbours of an entry are all entries of its data centre and a few of other data
// centres, chosen by rendezvous hashing, so that the number of messages does not grow with
// the number of data centres.
//
// # Usage
//
//	t := member.NewTable(self, member.Timeouts{SilenceTimeout: timeout, ListLag: lag, Retention: ticketTTL})
//	t.SetMachines(now, vms)
//	if t.RecordHeartbeat(now, from, heartbeat, proven) == member.NeedsProof { ... } // send it a probe
//	for _, p := range t.Neighbours() { ... }
//
// A heartbeat can be delayed. A sender with an epoch other than the known one is therefore
// accepted only after it has echoed a random number (Probe) that was drawn after its heartbeat
// arrived. An incarnation is dead only when that is proven; see [Table.Status].
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
	maxPastEpochs       = 64 // superseded epochs remembered per entry
)

// Status is the state of an incarnation as this entry knows it.
type Status int

const (
	// Suspect incarnations are unknown or have sent no heartbeat lately, but are not proven dead.
	Suspect Status = iota
	// Alive incarnations have sent a heartbeat within the silence timeout.
	Alive
	// Dead incarnations are proven to have ended.
	Dead
)

// entryKey identifies an entry VM across restarts.
type entryKey struct{ dataCentre, entry string }

// Peer is another entry. Its epoch is 0 until its first heartbeat.
type Peer struct {
	Incarnation     cornelwall.Incarnation
	Addr            netip.AddrPort
	Leaving         bool // announced by the peer or by the VM list
	Watching        bool
	ProfilesFresh   bool
	Digest          uint64
	Capacity        cornelwall.Capacity
	CapacityAt      time.Time // when Capacity was received
	Probe           uint64    // number that a sender with another epoch has to echo; 0 is none
	HeartbeatSentAt time.Time // when the last heartbeat was sent to it
	heardAt         time.Time
	listed          bool
	unlistedSince   time.Time // since when the entry is missing from the VM list
	pastEpochs      []uint64
}

// Timeouts configures a Table.
type Timeouts struct {
	SilenceTimeout time.Duration // silence after which a peer does not count as alive
	ListLag        time.Duration // maximum delay of the VM list
	Retention      time.Duration // how long a departed peer is remembered
}

// Table holds the other entries.
type Table struct {
	self       cornelwall.Incarnation
	timeouts   Timeouts
	peers      map[entryKey]*Peer
	neighbours []*Peer
	listRead   bool // a VM list has been read
}

// NewTable returns a table for the entry self.
func NewTable(self cornelwall.Incarnation, timeouts Timeouts) *Table {
	return &Table{self: self, timeouts: timeouts, peers: map[entryKey]*Peer{}}
}

// SetMachines updates the table from the VM list. An entry that is no longer listed is kept
// while it is alive.
func (t *Table) SetMachines(now time.Time, vms []cornelwall.VM) {
	t.listRead = true
	wasListed := make(map[*Peer]bool, len(t.peers))
	for _, p := range t.peers {
		wasListed[p] = p.listed
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
		if !t.alive(now, p) { // a live peer announces its address itself, which is newer
			p.Addr = vm.Addr
		}
		p.Leaving = p.Leaving || vm.State == cornelwall.Leaving
	}
	for _, p := range t.peers {
		if wasListed[p] && !p.listed {
			p.unlistedSince = now
		}
	}
	t.selectNeighbours(now)
}

// Track adds the entry of an incarnation if the table does not have it, so that the time
// that it is missing from the VM list is measured from now on.
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

// HeartbeatResult is the effect of a heartbeat on the membership of its sender.
type HeartbeatResult int

const (
	// NoChange means that the sender is known already, or that its epoch is superseded.
	NoChange HeartbeatResult = iota
	// Joined means that the sender is a new incarnation.
	Joined
	// NeedsProof means that the sender has another epoch than the known one. It has to echo
	// a probe before it is accepted.
	NeedsProof
)

// RecordHeartbeat processes a heartbeat. Proven is true if the sender echoed the peer's Probe.
func (t *Table) RecordHeartbeat(now time.Time, from cornelwall.Incarnation, b *cornelwall.Heartbeat, proven bool) HeartbeatResult {
	if from.SameEntry(t.self) {
		return NoChange
	}
	p := t.peer(now, from)
	if slices.Contains(p.pastEpochs, from.Epoch) {
		return NoChange
	}
	result := NoChange
	if known := p.Incarnation.Epoch; known != from.Epoch {
		if known != 0 && !proven {
			return NeedsProof
		}
		if known > from.Epoch && t.alive(now, p) {
			return NoChange // both run for a while when a VM is replaced by one of the same name
		}
		p.retireEpoch(known)
		p.Incarnation.Epoch = from.Epoch
		p.Probe = 0
		result = Joined
	}
	p.heardAt = now
	p.Leaving, p.Watching, p.ProfilesFresh, p.Digest = b.Leaving, b.Watching, b.ProfilesFresh, b.Digest
	p.Capacity, p.CapacityAt = b.Capacity, now
	if b.Addr.IsValid() {
		p.Addr = b.Addr
	}
	if result == Joined {
		t.selectNeighbours(now)
	}
	return result
}

// retireEpoch records that an epoch of the peer is superseded.
func (p *Peer) retireEpoch(epoch uint64) {
	if epoch != 0 && !slices.Contains(p.pastEpochs, epoch) {
		p.pastEpochs = append(p.pastEpochs, epoch)
		p.pastEpochs = p.pastEpochs[max(0, len(p.pastEpochs)-maxPastEpochs):]
	}
}

// RecordReplacement processes a message in which from reports that it received an envelope
// addressed to the incarnation old. It reports whether that proves that old is dead. It proves
// nothing if from is another entry that now has the address of old, or an earlier incarnation
// of the same entry.
func (t *Table) RecordReplacement(now time.Time, from, old cornelwall.Incarnation) bool {
	p := t.peer(now, old)
	if !from.SameEntry(old) {
		p.heardAt = time.Time{} // the known address is not its address any more
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

// Status returns the state of an incarnation. It is dead only if another incarnation is proven
// to have replaced it, if one with a higher epoch has joined, or if it sends no heartbeats and has
// been missing from the VM list for longer than ListLag.
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

// departed reports whether a silent peer has been missing from the VM list for longer than the
// list can be out of date.
func (t *Table) departed(now time.Time, p *Peer) bool {
	return t.listRead && !p.listed && now.Sub(p.unlistedSince) > t.timeouts.ListLag && !t.alive(now, p)
}

// All returns every entry that has not departed, neighbour or not, in a stable order.
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

// SuccessorQueryTargets returns the entries that may know the successors of an incarnation of
// the data centre: the neighbours and the entries of that data centre, except departed ones.
// Complete is false if no VM list has been read, so that there may be more.
func (t *Table) SuccessorQueryTargets(now time.Time, dataCentre string) (ps []*Peer, complete bool) {
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

// Find returns the peer with the entry of the incarnation, whatever its epoch, or nil.
func (t *Table) Find(id cornelwall.Incarnation) *Peer {
	return t.peers[entryKey{id.DataCentre, id.Entry}]
}

// Neighbours returns the entries to exchange heartbeats with, in a stable order.
func (t *Table) Neighbours() []*Peer { return t.neighbours }

// HasNeighbours reports whether there is any neighbour, alive or not.
func (t *Table) HasNeighbours() bool { return len(t.neighbours) > 0 }

// Alive returns the neighbours that are alive, in a stable order.
func (t *Table) Alive(now time.Time) []*Peer {
	var ps []*Peer
	for _, p := range t.neighbours {
		if t.alive(now, p) {
			ps = append(ps, p)
		}
	}
	return ps
}

// LocalActive returns the incarnations of this data centre that are alive and not leaving,
// including this one unless it is leaving.
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
	return p.Incarnation.Epoch != 0 && !p.heardAt.IsZero() && now.Sub(p.heardAt) <= t.timeouts.SilenceTimeout
}

// Prune removes peers that departed more than Retention ago.
func (t *Table) Prune(now time.Time) {
	for key, p := range t.peers {
		if t.departed(now, p) && now.Sub(p.unlistedSince) > t.timeouts.ListLag+t.timeouts.Retention {
			delete(t.peers, key)
		}
	}
	t.selectNeighbours(now)
}

// selectNeighbours chooses the neighbours among the peers that are listed or alive.
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

// weight returns the rendezvous hash of this entry and the peer. It is symmetric, so that two
// entries choose each other.
func (t *Table) weight(p *Peer) uint64 {
	a, b := t.self.DataCentre+"."+t.self.Entry, p.Incarnation.DataCentre+"."+p.Incarnation.Entry
	return xxhash.Sum64String(min(a, b) + "/" + max(a, b))
}

// Rendezvous returns the candidate whose entry has the highest rendezvous hash with the key, for
// example the lender of the machine of that name. The epoch does not count, so that a restart of
// the entry changes nothing.
func Rendezvous(key string, candidates []cornelwall.Incarnation) cornelwall.Incarnation {
	var best cornelwall.Incarnation
	var highest uint64
	for _, id := range candidates {
		if h := xxhash.Sum64String(id.Entry + "/" + key); best.IsZero() || h > highest {
			best, highest = id, h
		}
	}
	return best
}
