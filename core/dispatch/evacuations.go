package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cornelwall"
)

const (
	// evacuationConfirmTimeout is how long an entry that has resumed from a long pause, and has lost the platform, waits for a
	// peer that confirms the evacuations.
	evacuationConfirmTimeout = time.Second
	// evacuationReadTimeout is the same for an entry that has not lost the platform. It exceeds the 2.6 s after which a watch on
	// a dead connection fails, and the 0.6 s that the list after it may take.
	evacuationReadTimeout = 4 * time.Second
	evacuationAsks        = 4 // peers that are asked to confirm the evacuations after a long pause
	// maxRevisionLead and maxRevisionRate bound by how much the revision that a peer reports may exceed the last one that this
	// entry has read from the platform's store. The store takes some 400 writes per second.
	maxRevisionLead = 10_000
	maxRevisionRate = 10_000 // per second since that read
	// longPauseShare is the share of Limits.EvacuateTime from which on a pause of the process is long. After a shorter one
	// enough of that time is left to learn what has changed.
	longPauseShare = 0.2
)

// evacuations is what this entry knows of the evacuation of data centres, from the platform's store or
// from peers. The higher revision wins.
//
// Every element of list is as of completeAsOf or later. A data centre that is not on the list counts as not evacuated as
// of completeAsOf, so that older states of it are ignored. Elements that are not active as of completeAsOf are therefore left out.
type evacuations struct {
	list         []cornelwall.Evacuation // sorted by data centre; never modified, as heartbeats share it
	completeAsOf int64                   // revision as of which no data centre is evacuated that is not on the list; 0 if not known
	confirmedAt  time.Time               // when the latest answered query to the store, or to a peer that reads it, was sent
	doubtedAt    time.Time               // end of the last long pause of the process
	storeRev     int64                   // greatest revision that was read from the store; 0 if none
	storeReadAt  time.Time
}

// isPlausible reports whether the platform's store may have reached a revision that a peer reports.
func (e *evacuations) isPlausible(rev int64, now time.Time) bool {
	return e.storeRev == 0 || rev-e.storeRev <= maxRevisionLead+int64(now.Sub(e.storeReadAt).Seconds()*maxRevisionRate)
}

// handleEvacuationsRead applies the state that was read from the platform's store.
func (c *Core) handleEvacuationsRead(ev cornelwall.EvacuationsRead) {
	rev := max(ev.Revision, 1)
	c.evacuations.storeRev, c.evacuations.storeReadAt = max(c.evacuations.storeRev, rev), c.now
	c.dropImplausible()
	if len(ev.List) > cornelwall.MaxEvacuations {
		c.log("evacuations-dropped", "keys", len(ev.List), "limit", cornelwall.MaxEvacuations)
	}
	list := slices.Clone(ev.List)
	for i := range list {
		list[i].Revision = max(list[i].Revision, rev)
	}
	c.applyEvacuations(list, rev, "store")
	if ev.AsOf.IsZero() {
		ev.AsOf = c.now
	}
	c.confirmEvacuations(ev.AsOf)
}

// noteEvacuations applies the state that a heartbeat of a peer carries.
func (c *Core) noteEvacuations(p *peer, m *cornelwall.SessionHeartbeat) {
	p.reportsEvacuations = len(m.Evacuations) > 0 || m.EvacuationsAsOf > 0
	if !c.readsEvacuations() || !p.reportsEvacuations {
		return // it does not know the state, or is of an older version
	}
	if !c.isPlausibleState(m) {
		if !p.implausible {
			c.log("evacuations-implausible", "source", p.id, "revision", m.EvacuationsAsOf, "read", c.evacuations.storeRev)
		}
		p.implausible = true
		return
	}
	p.implausible = false
	c.applyEvacuations(m.Evacuations, m.EvacuationsAsOf, p.id.String())
	if at, ok := p.sentTime(m.AckedSeq); ok && !m.PlatformLost && !m.EvacuationsDoubted && m.EvacuationsAsOf > 0 {
		c.confirmEvacuations(at)
	}
}

// isPlausibleState reports whether the platform's store may have reached the revisions in a heartbeat.
func (c *Core) isPlausibleState(m *cornelwall.SessionHeartbeat) bool {
	return c.evacuations.isPlausible(m.EvacuationsAsOf, c.now) && !slices.ContainsFunc(m.Evacuations, func(e cornelwall.Evacuation) bool {
		return !c.evacuations.isPlausible(e.Revision, c.now)
	})
}

// dropImplausible drops a state with revisions that the platform's store cannot have reached, as no read of the store would
// replace it. Peers can have reported it only before the first read.
func (c *Core) dropImplausible() {
	e := &c.evacuations
	if e.isPlausible(e.completeAsOf, c.now) && !slices.ContainsFunc(e.list, func(x cornelwall.Evacuation) bool { return !e.isPlausible(x.Revision, c.now) }) {
		return
	}
	c.log("evacuations-implausible", "source", "peers", "revision", e.completeAsOf, "read", e.storeRev)
	e.list, e.completeAsOf = nil, 0
}

// confirmEvacuations notes that the state is confirmed as of a time.
func (c *Core) confirmEvacuations(at time.Time) {
	if at.After(c.evacuations.confirmedAt) {
		c.evacuations.confirmedAt = at
	}
}

// applyEvacuations applies a list that is complete as of a revision, or not complete if that is 0. Source
// names where it came from.
func (c *Core) applyEvacuations(list []cornelwall.Evacuation, completeAsOf int64, source string) {
	next := c.evacuations.list
	var changes []cornelwall.Evacuation
	apply := func(e cornelwall.Evacuation) {
		i, known := slices.BinarySearchFunc(next, e.DataCentre, compareDataCentre)
		before := cornelwall.Evacuation{DataCentre: e.DataCentre, Revision: c.evacuations.completeAsOf}
		if known {
			before = next[i]
		}
		if !replaces(e, before) {
			return
		}
		next = slices.Clone(next)
		if known {
			next[i] = e
		} else {
			next = slices.Insert(next, i, e)
		}
		if e.Active != before.Active {
			changes = append(changes, e)
		}
	}
	for _, e := range list {
		apply(e)
	}
	for _, e := range next {
		if !slices.ContainsFunc(list, func(l cornelwall.Evacuation) bool { return l.DataCentre == e.DataCentre }) {
			apply(cornelwall.Evacuation{DataCentre: e.DataCentre, Revision: completeAsOf})
		}
	}
	c.evacuations.completeAsOf = max(c.evacuations.completeAsOf, completeAsOf)
	c.evacuations.list = c.neededEvacuations(next)
	for _, e := range changes {
		c.log("evacuation", "dc", e.DataCentre, "active", e.Active, "revision", e.Revision, "source", source, "runs", c.runsIn(e.DataCentre))
	}
	if len(changes) > 0 {
		c.backlogChanged = true
		c.returnUnplaceable()
	}
}

// neededEvacuations returns a list without the elements that completeAsOf implies. If it exceeds MaxEvacuations, data centres
// without entries or endpoints are left out first.
func (c *Core) neededEvacuations(list []cornelwall.Evacuation) []cornelwall.Evacuation {
	needed := slices.DeleteFunc(slices.Clone(list), func(e cornelwall.Evacuation) bool {
		return !e.Active && e.Revision <= c.evacuations.completeAsOf
	})
	if len(needed) > cornelwall.MaxEvacuations {
		slices.SortStableFunc(needed, func(a, b cornelwall.Evacuation) int {
			return cmp.Compare(c.rankOfCentre(a.DataCentre), c.rankOfCentre(b.DataCentre))
		})
		needed = needed[:cornelwall.MaxEvacuations]
		slices.SortFunc(needed, func(a, b cornelwall.Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	}
	return needed
}

// rankOfCentre returns 0 for a data centre that has entries or endpoints, and 1 for any other.
func (c *Core) rankOfCentre(dc string) int {
	if len(c.ranking.byCentre[dc]) > 0 || slices.ContainsFunc(c.endpointsByName, func(ep *endpoint) bool { return ep.DataCentre == dc }) {
		return 0
	}
	return 1
}

func compareDataCentre(e cornelwall.Evacuation, dc string) int { return cmp.Compare(e.DataCentre, dc) }

// replaces reports whether e is newer than what was known of its data centre. Of two states as of one revision, which
// a list that was read in pages may give, the evacuation counts.
func replaces(e, before cornelwall.Evacuation) bool {
	return e.Revision > before.Revision || e.Revision == before.Revision && e.Active && !before.Active
}

// runsIn returns how many runs there are at the endpoints of a data centre that this entry holds.
func (c *Core) runsIn(dc string) int {
	n := 0
	for _, ep := range c.held() {
		if ep.DataCentre == dc {
			n += len(ep.lease.runs)
		}
	}
	return n
}

// isEvacuated reports whether a data centre is evacuated.
func (c *Core) isEvacuated(dc string) bool {
	for i := range c.evacuations.list {
		if e := &c.evacuations.list[i]; e.DataCentre == dc {
			return e.Active
		}
	}
	return false
}

// readsEvacuations reports whether data centres can be evacuated.
func (c *Core) readsEvacuations() bool { return c.cfg.Limits.EvacuateTime > 0 }

// knowsEvacuations reports whether this entry has a complete list of the evacuated data centres, or needs none. An
// entry without it takes no endpoint, so that it starts nothing.
func (c *Core) knowsEvacuations() bool {
	return !c.readsEvacuations() || c.evacuations.completeAsOf > 0
}

// mayStartInEvacuated reports whether a peer may start tasks in its data centre although that is evacuated: it is of an older
// version that does not report evacuations.
func (c *Core) mayStartInEvacuated(p *peer) bool {
	return !p.reportsEvacuations && c.isEvacuated(p.id.DataCentre)
}

// mayStartIn reports whether a run may start in a data centre now. After a long pause of the process the state may
// be out of date, and is confirmed first.
func (c *Core) mayStartIn(dc string) bool { return !c.isEvacuated(dc) && !c.awaitsEvacuations() }

// awaitsEvacuations reports whether the state has still to be confirmed after a pause of the process. An entry that gets
// no answer goes on after a while.
func (c *Core) awaitsEvacuations() bool {
	timeout := evacuationReadTimeout
	if !c.platformUp {
		timeout = evacuationConfirmTimeout
	}
	return c.doubtsEvacuations() && c.now.Sub(c.evacuations.doubtedAt) < timeout
}

// doubtsEvacuations reports whether the state has not been confirmed since the last long pause of the process. It
// confirms no peer's state meanwhile, as two entries that have paused at the same time would confirm each other's.
func (c *Core) doubtsEvacuations() bool {
	return c.evacuations.confirmedAt.Before(c.evacuations.doubtedAt)
}

// doubtEvacuations has the state confirmed after a long pause of the process, by the platform's store or by peers.
func (c *Core) doubtEvacuations(pause time.Duration) {
	if !c.readsEvacuations() || float64(pause) < longPauseShare*float64(c.cfg.Limits.EvacuateTime) {
		return
	}
	c.evacuations.doubtedAt = c.now
	asked := 0
	for _, p := range slices.Clone(c.links) {
		if asked < evacuationAsks || c.wantsLink(p) {
			c.askForProof(p)
			asked++
		}
	}
	// The linked peers may not answer either, as a whole data centre may have paused. Unlinked peers, of other
	// data centres in any case, are therefore asked too.
	for i := range 2 * evacuationAsks {
		remote := i%2 == 0
		if asked >= evacuationAsks && (!remote || i >= evacuationAsks) {
			continue
		}
		c.seekSalt++
		if p := c.pickUnlinkedPeer(remote, false); p != nil {
			c.askForProof(p)
			asked++
		}
	}
}

// holdsOpenEndpoint reports whether this entry holds an endpoint outside the evacuated data centres.
func (c *Core) holdsOpenEndpoint() bool {
	return slices.ContainsFunc(c.held(), func(ep *endpoint) bool { return !c.isEvacuated(ep.DataCentre) })
}

// hasOpenCentre reports whether a data centre that is not evacuated has an entry that may hold endpoints.
func (c *Core) hasOpenCentre() bool {
	for dc := range c.ranking.byCentre {
		if !c.isEvacuated(dc) {
			return true
		}
	}
	return false
}

// isPassedOver reports whether free capacity is sought with the entries of a data centre only after all others: it
// is evacuated, and others are not.
func (c *Core) isPassedOver(dc string) bool { return c.isEvacuated(dc) && c.hasOpenCentre() }

// allEvacuated reports whether all data centres that have entries or endpoints are evacuated.
func (c *Core) allEvacuated() bool {
	return c.isAnyEvacuated() && !c.hasOpenCentre() && !slices.ContainsFunc(c.endpointsByName, func(ep *endpoint) bool {
		return ep.absentSince.IsZero() && !c.isEvacuated(ep.DataCentre)
	})
}

// isAnyEvacuated reports whether a data centre is evacuated.
func (c *Core) isAnyEvacuated() bool {
	return slices.ContainsFunc(c.evacuations.list, func(e cornelwall.Evacuation) bool { return e.Active })
}

// evacuatedNames returns the evacuated data centres for the log.
func (c *Core) evacuatedNames() string {
	if !c.knowsEvacuations() {
		return "unknown"
	}
	var names []string
	for _, e := range c.evacuations.list {
		if e.Active {
			names = append(names, e.DataCentre)
		}
	}
	return strings.Join(names, ",")
}
