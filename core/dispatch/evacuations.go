package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cornelwall"
)

const (
	// evacuationConfirmTimeout is how long an entry that has resumed from a long pause waits for newer word of the
	// evacuations. A watch of the store that was sent after the pause is answered at once if there is any.
	evacuationConfirmTimeout = time.Second
	// longPauseShare is the share of Limits.EvacuateTime from which on a pause of the process is long. After a shorter one there
	// is time enough to hear of what has changed.
	longPauseShare = 0.2
)

// evacuations is what this entry knows of the evacuation of data centres, from the platform's store or
// from peers. The higher revision wins.
//
// Every element of list is as of completeAsOf or later: with each complete state, the data centres that are
// missing from it count as not evacuated as of its revision. So an old state of a data centre that is not on the list is
// told from a new one, too.
type evacuations struct {
	list         []cornelwall.Evacuation // sorted by data centre; never modified, as heartbeats share it
	completeAsOf int64                   // revision as of which no data centre is evacuated that is not on the list; 0 if not known
	confirmedAt  time.Time               // when the store, or a peer that reads it, was last asked and has answered since
	doubtedAt    time.Time               // end of the last long pause of the process
}

// handleEvacuationsRead applies the state that was read from the platform's store.
func (c *Core) handleEvacuationsRead(ev cornelwall.EvacuationsRead) {
	rev := max(ev.Revision, 1)
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
	if len(m.Evacuations) == 0 && m.EvacuationsAsOf <= 0 {
		return // it does not know the state, or is of an older version
	}
	c.applyEvacuations(m.Evacuations, m.EvacuationsAsOf, p.id.String())
	if at, ok := p.sentTime(m.AckedSeq); ok && !m.PlatformLost {
		c.confirmEvacuations(at)
	}
}

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
	c.evacuations.list, c.evacuations.completeAsOf = next, max(c.evacuations.completeAsOf, completeAsOf)
	for _, e := range changes {
		c.log("evacuation", "dc", e.DataCentre, "active", e.Active, "revision", e.Revision, "source", source, "runs", c.runsIn(e.DataCentre))
	}
	if len(changes) > 0 {
		c.backlogChanged = true
		c.returnUnplaceable()
	}
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

// knowsEvacuations reports whether the store or a peer has told which data centres are evacuated, if
// that is to be known. An entry that does not know takes no endpoint, so that it starts nothing.
func (c *Core) knowsEvacuations() bool {
	return !c.readsEvacuations() || c.evacuations.completeAsOf > 0 || len(c.evacuations.list) > 0
}

// mayStartIn reports whether a run may start in a data centre now. After a long pause of the process the state may
// be out of date, and is confirmed first.
func (c *Core) mayStartIn(dc string) bool { return !c.isEvacuated(dc) && !c.awaitsEvacuations() }

// awaitsEvacuations reports whether the state has still to be confirmed after a pause of the process.
func (c *Core) awaitsEvacuations() bool {
	return c.evacuations.confirmedAt.Before(c.evacuations.doubtedAt) && c.now.Sub(c.evacuations.doubtedAt) < evacuationConfirmTimeout
}

// doubtEvacuations has the state confirmed after a long pause of the process. The next heartbeats ask for
// replies, which do so.
func (c *Core) doubtEvacuations(pause time.Duration) {
	if !c.readsEvacuations() || float64(pause) < longPauseShare*float64(c.cfg.Limits.EvacuateTime) {
		return
	}
	c.evacuations.doubtedAt = c.now
	for _, p := range c.links {
		p.replyNow = true
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
