package dispatch

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const (
	claimRenewal    = 400 * time.Millisecond // between two renewals of a claim; two may be lost before it lapses after ownerTTL
	queryInterval   = 100 * time.Millisecond // between two questions to the witnesses whether another entry's claim has lapsed
	joinInterval    = 50 * time.Millisecond  // between two requests to join a batch at its owner
	membersPatience = time.Second            // after a pause of the process, for which claims wait for the list of entries
	maxClaimRounds  = 3                      // with witnesses that do not answer, after which an entry owns a batch all the same
)

// ownershipState is whether this entry may start tasks of a job.
type ownershipState int

const (
	claiming ownershipState = iota // its witnesses have not answered
	owned                          // it may
	joined                         // another entry owns the batch, and will tell the answer
)

// ownership is the state of the claim to a job's batch.
type ownership struct {
	state     ownershipState
	number    uint64 // of the claim
	round     uint64 // number of the present round of claims to the witnesses
	roundAt   time.Time
	roundRan  time.Duration         // runTime at roundAt
	waiting   bool                  // it is repeated once this entry knows the other entries again
	dropped   bool                  // a witness has not answered in it
	concluded bool                  // its answers have been acted on
	witnesses []witnessAnswer       // of the present round; once it is concluded, those that have answered
	missed    int                   // rounds in a row in which a witness has not answered
	letGo     cornelwall.BatchOwner // earlier owner that this entry replaces, or its own claim, which it has let go

	joinedTo   cornelwall.BatchOwner // owner, if joined
	joinSentAt time.Time
	accepted   bool // the owner has confirmed that it will answer
	ranBefore  bool // tasks may have run before this entry joined, of which the owner need not know
}

// witnessAnswer is what a witness has answered in a round.
type witnessAnswer struct {
	id       cornelwall.Incarnation
	timeout  time.Duration // for which it is waited for
	answered bool
	owner    cornelwall.BatchOwner
}

// claimState is what an entry needs as the owner and as the witness of batches.
type claimState struct {
	lastClaim    uint64 // number of the last claim of this entry
	claimsOut    map[cornelwall.Incarnation][]cornelwall.OwnershipClaim
	ownerRecords map[string]ownerRecord // by batch ID, as a witness
}

func newClaimState() claimState {
	return claimState{claimsOut: map[cornelwall.Incarnation][]cornelwall.OwnershipClaim{}, ownerRecords: map[string]ownerRecord{}}
}

// claimJob claims the batch of a new job. Its tasks are assigned once the witnesses have answered that no other
// entry owns it.
func (c *Core) claimJob(j *job) {
	j.claim.number = c.newClaimNumber()
	c.askWitnesses(j, false)
}

func (c *Core) newClaimNumber() uint64 {
	c.lastClaim++
	return c.lastClaim
}

// askWitnesses begins a round of claims, or of queries, to the witnesses of a job.
func (c *Core) askWitnesses(j *job, query bool) {
	o := &j.claim
	o.round, o.roundAt, o.roundRan = o.round+1, c.now, c.runTime()
	o.concluded, o.dropped, o.waiting, o.witnesses = false, false, false, o.witnesses[:0]
	m := cornelwall.OwnershipClaim{ID: j.id, Number: o.number, Round: o.round, Query: query, Held: o.state == owned, LetGo: o.letGo}
	for _, id := range c.witnessesOf(j.id) {
		c.claimsOut[id] = append(c.claimsOut[id], m)
		o.witnesses = append(o.witnesses, witnessAnswer{id: id, timeout: c.witnessTimeout(id)})
	}
	c.concludeRound(j)
}

// lacksMembers reports whether this entry has stood still and has not read the list of entries since. Who were its witnesses before
// may have ended, and others know of its batches now.
func (c *Core) lacksMembers() bool {
	return c.platformUp && c.membersReadAt.Before(c.resumedAt) && c.now.Sub(c.resumedAt) < membersPatience
}

// sendClaims sends the claims of this step, those to one witness in one message.
func (c *Core) sendClaims() {
	if len(c.claimsOut) == 0 {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.claimsOut), cornelwall.Incarnation.Compare) {
		c.timeClaim(id, &c.claimsOut[id][0])
		for list := range slices.Chunk(c.claimsOut[id], cornelwall.MaxOwnershipClaims) {
			c.send(id, cornelwall.Message{OwnershipClaims: &cornelwall.OwnershipClaims{List: list}})
		}
	}
	clear(c.claimsOut)
}

// handleOwnershipReplies notes the answers of a witness.
func (c *Core) handleOwnershipReplies(from cornelwall.Incarnation, m *cornelwall.OwnershipReplies) {
	if p := c.peers[from]; p != nil {
		p.witnessMissedAt, p.witnessMisses = time.Time{}, 0
		c.noteRoundTrip(p, m)
	}
	for i := range m.List {
		x := &m.List[i]
		j := c.jobs[x.ID]
		if j == nil || j.claim.round != x.Round {
			continue
		}
		k := slices.IndexFunc(j.claim.witnesses, func(a witnessAnswer) bool { return a.id == from })
		if k < 0 || j.claim.witnesses[k].answered {
			continue
		}
		j.claim.witnesses[k].answered, j.claim.witnesses[k].owner = true, x.Owner
		c.concludeRound(j)
	}
}

// noteWitnessMissed notes that a witness did not answer.
func (c *Core) noteWitnessMissed(id cornelwall.Incarnation) {
	p := c.peers[id]
	if p == nil || p.witnessMissedAt.Equal(c.now) {
		return
	}
	if p.heardAt.After(p.witnessMissedAt) {
		p.witnessMisses = 0
	}
	p.witnessMissedAt = c.now
	p.witnessMisses++
}

// noteClaimsUndelivered lets the claims that did not reach a witness count as unanswered.
func (c *Core) noteClaimsUndelivered(id cornelwall.Incarnation, m *cornelwall.OwnershipClaims) {
	c.noteWitnessMissed(id)
	for i := range m.List {
		j := c.jobs[m.List[i].ID]
		if j == nil || j.claim.round != m.List[i].Round {
			continue
		}
		c.dropWitnesses(&j.claim, func(a witnessAnswer) bool { return a.id == id })
		c.concludeRound(j)
	}
}

// dropSilentWitnesses leaves out the witnesses that have not answered in time. Time in which this process did not run does not count.
func (c *Core) dropSilentWitnesses(j *job) {
	waited := c.ran - j.claim.roundRan
	c.dropWitnesses(&j.claim, func(a witnessAnswer) bool { return waited >= a.timeout })
	c.concludeRound(j)
}

// concludeRound acts on the answers of a round once all witnesses that are not left out have answered.
func (c *Core) concludeRound(j *job) {
	o := &j.claim
	if o.concluded {
		return
	}
	if slices.ContainsFunc(o.witnesses, func(a witnessAnswer) bool { return !a.answered }) {
		return
	}
	o.concluded = true
	if o.missed++; !o.dropped {
		o.missed = 0
	}
	granted, other := o.result(c.cfg.Self)
	switch o.state {
	case owned:
		c.concludeRenewal(j, granted, other)
	case claiming:
		c.concludeClaim(j, other)
	case joined:
		c.concludeQuery(j, granted, other)
	}
}

// concludeClaim begins a job, joins the other owner of its batch, or asks further witnesses in place of silent ones.
func (c *Core) concludeClaim(j *job, other cornelwall.BatchOwner) {
	o := &j.claim
	if r := c.ownerByRecord(j.id); other.IsZero() && r != o.letGo {
		other = r
	}
	switch {
	case !other.IsZero():
		c.joinOwner(j, other)
	case o.dropped && o.missed < maxClaimRounds:
		c.askWitnesses(j, false)
	case c.lacksMembers():
		o.waiting = true
	default:
		c.becomeOwner(j)
	}
}

// concludeRenewal gives a job up that another entry owns by now, or renews the claim at further witnesses in place of silent ones.
func (c *Core) concludeRenewal(j *job, granted bool, other cornelwall.BatchOwner) {
	switch {
	case !other.IsZero() && (!granted || other.Entry.Compare(c.cfg.Self) < 0):
		c.loseJob(j, other)
	case j.claim.dropped && j.claim.missed < maxClaimRounds:
		c.askWitnesses(j, false)
	}
}

// concludeQuery claims the batch of a joined job itself once all claims have lapsed and their owner is silent. An owner that is not is
// asked again: it may have dropped this entry, or its answer may be lost.
func (c *Core) concludeQuery(j *job, granted bool, other cornelwall.BatchOwner) {
	switch {
	case !other.IsZero():
		c.joinOwner(j, other)
	case granted || len(j.claim.witnesses) == 0:
	case c.mayBeAlive(j.claim.joinedTo.Entry):
		j.claim.accepted = false
	default:
		c.reclaimJob(j, cornelwall.BatchOwner{})
	}
}

// dropWitnesses leaves out the witnesses that match and have not answered in this round.
func (c *Core) dropWitnesses(o *ownership, match func(witnessAnswer) bool) {
	o.witnesses = slices.DeleteFunc(o.witnesses, func(a witnessAnswer) bool {
		if a.answered || !match(a) {
			return false
		}
		c.noteWitnessMissed(a.id)
		o.dropped = true
		return true
	})
}

// result returns whether a witness has granted the claim, and another owner that one has named.
func (o *ownership) result(self cornelwall.Incarnation) (granted bool, other cornelwall.BatchOwner) {
	for _, a := range o.witnesses {
		switch {
		case a.owner.Entry == self && a.owner.Number == o.number:
			granted = true
		case !a.owner.IsZero():
			other = a.owner
		}
	}
	return granted, other
}

// becomeOwner lets a job begin.
func (c *Core) becomeOwner(j *job) {
	j.claim.state = owned
	if took := c.now.Sub(j.submittedAt); took >= minWitnessTimeout {
		c.log("batch-owned", "job", j.id, "took", took, "missed", j.claim.missed, "replaces", j.claim.letGo.Entry)
	}
	c.assignTasks(j)
}

// mayBeAlive reports whether another owner may go on, as far as its heartbeats tell.
func (c *Core) mayBeAlive(id cornelwall.Incarnation) bool {
	p := c.peers[id]
	return p != nil && !p.dead && c.unansweredFor(p) <= heartbeatTimeout
}

// keepLink keeps the link to a peer in use, so that its heartbeats tell whether it is alive.
func (c *Core) keepLink(id cornelwall.Incarnation) {
	if p := c.peers[id]; p != nil {
		c.useLink(p)
	}
}

// reclaimJob claims the batch of a job again, in place of an owner that has let it go, or whose claim has lapsed.
func (c *Core) reclaimJob(j *job, letGo cornelwall.BatchOwner) {
	c.leaveOwner(j)
	j.claim.state, j.claim.number, j.claim.letGo, j.claim.missed = claiming, c.newClaimNumber(), letGo, 0
	c.askWitnesses(j, false)
}

// loseJob gives up a job whose claim has lapsed at the witnesses, as this entry could not renew it, and which another entry owns.
func (c *Core) loseJob(j *job, other cornelwall.BatchOwner) {
	c.log("batch-lost", "job", j.id, "owner", other.Entry)
	c.finishJob(j, cornelwall.BatchAnswer{
		End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonTakenOver,
		Text: "the batch was sent to another entry, which runs it now; send it again for its answer",
	})
}

// checkOwnership renews the claim to a job's batch, or looks after the job if another entry owns that. It reports whether this
// entry decides about the job.
func (c *Core) checkOwnership(j *job) bool {
	o := &j.claim
	if o.waiting && !c.lacksMembers() {
		c.askWitnesses(j, false)
	}
	c.dropSilentWitnesses(j)
	age := c.now.Sub(o.roundAt)
	switch o.state {
	case owned:
		if c.jobs[j.id] == j && age >= claimRenewal {
			c.askWitnesses(j, false)
		}
	case joined:
		if c.now.After(j.deadline) {
			c.finishJob(j, cornelwall.BatchAnswer{End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonDeadline, Text: "the deadline has passed; the batch runs at another entry, to which it was sent too"})
			return false
		}
		if !o.accepted && c.now.Sub(o.joinSentAt) >= joinInterval {
			c.sendJoin(j)
		}
		if age >= queryInterval && o.concluded {
			c.keepLink(o.joinedTo.Entry)
			c.askWitnesses(j, true)
		}
	case claiming: // concludeRound decides
	}
	return c.jobs[j.id] == j && o.state != joined
}

// doubtOwnership claims all batches again after a pause of this process in which its claims may have lapsed. Until the
// witnesses have answered, nothing more of them starts.
func (c *Core) doubtOwnership(pause time.Duration) {
	c.extendOwnerRecords(pause)
	if pause <= proofTTL {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j == nil || j.claim.state != owned {
			continue
		}
		c.withdrawTasks(j, true)
		c.reclaimJob(j, j.claim.letGo)
	}
}
