package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const (
	witnessesPerBatch   = 2           // of different data centres, if there are several
	ringPoints          = 8           // of each entry on the ring of witnesses
	witnessRetry        = time.Second // after which one that did not answer is asked again, unless it was heard meanwhile; doubles each time
	maxWitnessDoublings = 3           // of witnessRetry
	// ownerTTL is the time after the last renewal of a claim at which it lapses. The runs of an owner that is gone have
	// ended by then: see holderTimeout.
	ownerTTL = holderTimeout
)

// ownerRecord is the owner of a batch as its witness knows it.
type ownerRecord struct {
	owner     cornelwall.BatchOwner
	renewedAt time.Time
}

// ringPoint is a point of an entry on the ring of witnesses.
type ringPoint struct {
	hash uint64
	id   cornelwall.Incarnation
}

// newRing returns the ring of the entries that may be witnesses, in order of hash. The points of an entry depend on its name
// only, so that a restart moves no other batch.
func newRing(members []member) []ringPoint {
	ring := make([]ringPoint, 0, ringPoints*len(members))
	for i := range members {
		for n := range uint64(ringPoints) {
			ring = append(ring, ringPoint{hash: mixHash(members[i].hash, n), id: members[i].id})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Or(cmp.Compare(a.hash, b.hash), a.id.Compare(b.id)) })
	return ring
}

// witnessesOf returns the witnesses of a batch that this entry claims, which are the first other entries on the ring after the
// hash of its ID that can be asked. Two entries that see the same others have one witness in common at least, or are witnesses
// of each other.
func (c *Core) witnessesOf(batch string) []cornelwall.Incarnation {
	ring := c.ranking.ring
	from, _ := slices.BinarySearchFunc(ring, hashOf(batch), func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	var list []cornelwall.Incarnation
	var spare cornelwall.Incarnation // of the data centre of the first
	for i := range ring {
		id := ring[(from+i)%len(ring)].id
		if slices.Contains(list, id) || !c.canWitness(id) {
			continue
		}
		if len(list) > 0 && id.DataCentre == list[0].DataCentre {
			if spare.IsZero() {
				spare = id
			}
			continue
		}
		if list = append(list, id); len(list) == witnessesPerBatch {
			return list
		}
	}
	if !spare.IsZero() {
		list = append(list, spare)
	}
	return list
}

// canWitness reports whether an entry can be asked as a witness. What is known of silent peers counts only once they have had
// time to answer after a pause of this process.
func (c *Core) canWitness(id cornelwall.Incarnation) bool {
	p := c.peers[id] // nil for this entry itself
	if p == nil || !p.recordsOwners || p.dead {
		return false
	}
	retry := witnessRetry << min(max(p.witnessMisses-1, 0), maxWitnessDoublings)
	if !p.witnessMissedAt.IsZero() && c.now.Sub(p.witnessMissedAt) < retry && !p.heardAt.After(p.witnessMissedAt) {
		return false
	}
	return min(c.unansweredFor(p), c.now.Sub(c.resumedAt)) <= heartbeatTimeout
}

// recordOwner records a claim of an entry, unless it is a query or the batch has another owner that has not let it go, and
// returns the owner.
func (c *Core) recordOwner(from cornelwall.Incarnation, m *cornelwall.OwnershipClaim) cornelwall.BatchOwner {
	if owner := c.ownerByJob(from, m); !owner.IsZero() && owner.Entry != from && owner != m.LetGo {
		return owner
	}
	owner := c.ownerByRecord(m.ID)
	if owner == m.LetGo {
		delete(c.ownerRecords, m.ID)
		owner = cornelwall.BatchOwner{}
	}
	renews := owner.Entry == from && owner.Number <= m.Number
	if m.Query || !owner.IsZero() && !renews {
		return owner
	}
	owner = cornelwall.BatchOwner{Entry: from, Number: m.Number}
	c.ownerRecords[m.ID] = ownerRecord{owner: owner, renewedAt: c.now}
	return owner
}

// ownerByJob returns the owner of a batch that a peer claims and of which this entry has a job, if the peer is to leave the batch to
// that owner. Of two entries that both begin to claim it, the greater one does.
func (c *Core) ownerByJob(from cornelwall.Incarnation, m *cornelwall.OwnershipClaim) cornelwall.BatchOwner {
	j := c.jobs[m.ID]
	if j == nil {
		return cornelwall.BatchOwner{}
	}
	if j.claim.state == joined {
		return j.claim.joinedTo
	}
	if j.claim.state == claiming && (m.Held || m.Query || c.cfg.Self.Compare(from) > 0) {
		return cornelwall.BatchOwner{} // this entry is the one that joins, see concludeClaim
	}
	return cornelwall.BatchOwner{Entry: c.cfg.Self, Number: j.claim.number}
}

// ownerByRecord returns the owner of a batch that this entry knows as a witness, or zero.
func (c *Core) ownerByRecord(batch string) cornelwall.BatchOwner {
	r, ok := c.ownerRecords[batch]
	if !ok || c.now.Sub(r.renewedAt) > ownerTTL {
		return cornelwall.BatchOwner{}
	}
	return r.owner
}

// handleOwnershipClaims answers the claims of a peer as a witness.
func (c *Core) handleOwnershipClaims(from cornelwall.Incarnation, m *cornelwall.OwnershipClaims) {
	replies := &cornelwall.OwnershipReplies{}
	for i := range m.List {
		x := &m.List[i]
		replies.List = append(replies.List, cornelwall.OwnershipReply{ID: x.ID, Round: x.Round, Owner: c.recordOwner(from, x)})
	}
	c.send(from, cornelwall.Message{OwnershipReplies: replies})
}

// extendOwnerRecords lets the records outlast a pause of this process, in which it has missed renewals.
func (c *Core) extendOwnerRecords(pause time.Duration) {
	for id, r := range c.ownerRecords {
		r.renewedAt = r.renewedAt.Add(pause)
		c.ownerRecords[id] = r
	}
}

// expireOwnerRecords drops the records of claims that have lapsed.
func (c *Core) expireOwnerRecords() {
	maps.DeleteFunc(c.ownerRecords, func(_ string, r ownerRecord) bool { return c.now.Sub(r.renewedAt) > ownerTTL })
}
