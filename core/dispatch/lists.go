package dispatch

import (
	"time"

	"cornelwall"
)

const (
	listInterval       = time.Second      // between two readings of the list of endpoints, and two words of it
	backupListInterval = 10 * time.Second // between two readings by an entry that is told
	readerTimeout      = 3 * time.Second  // without word of a reader, an entry reads by itself
	updatesPerSecond   = 60               // entries that are told in a second, beyond which word goes out less often
	revisionsKept      = 4                // lists that each word covers, so that one that is lost costs nothing
	minReadInterval    = time.Second      // between two readings at once
	maxAllReaders      = 3                // entries of a data centre up to which all read for themselves
	readJitterMs       = 1000             // ms, over which entries that miss their readers begin to read
)

// endpointList is how an entry comes by the platform's list of endpoints. Few entries of each data
// centre read it and tell the others what has changed. The others read it by themselves
// now and then, and as soon as the readers fall silent.
type endpointList struct {
	listRev       int64 // of the store, as of which the endpoints are known; 0 before the first list
	recentRevs    []int64
	readInterval  time.Duration // between readings, as ordered last
	readerHeardAt time.Time     // last word of a reader
	updateSentAt  time.Time     // when the others were told last
	readOrderedAt time.Time     // when a reading at once was ordered last
}

// handleEndpointsListed takes the platform's list.
func (c *Core) handleEndpointsListed(ev cornelwall.EndpointsListed) {
	rev := max(ev.Revision, 1)
	if rev < c.listRev {
		return // word that is newer has come meanwhile
	}
	now := make(map[string]bool, len(ev.List))
	changed := false
	for i := range ev.List {
		now[ev.List[i].ID] = true
		changed = c.setEndpoint(&ev.List[i], rev) || changed
	}
	for _, ep := range c.endpointsByName {
		if !now[ep.ID] && ep.absentSince.IsZero() {
			ep.absentSince, ep.changedRev = c.now, rev
			changed = true
		}
	}
	c.recordRevision(rev)
	if c.ranking.isReader {
		c.sendListUpdate(changed)
	}
}

// setEndpoint takes what the list says of one endpoint and reports whether that is new.
func (c *Core) setEndpoint(info *cornelwall.Endpoint, rev int64) bool {
	ep := c.endpoints[info.ID]
	isNew := ep == nil
	if isNew {
		ep = c.addEndpoint(*info)
	}
	if !isNew && ep.absentSince.IsZero() && ep.Equal(info) {
		return false
	}
	moved := ep.DataCentre != info.DataCentre
	rebooted := ep.Boot != info.Boot // the list may lag behind what the endpoint itself has said
	if info.Leaving && !ep.Leaving && ep.lease != nil {
		c.log("endpoint-leaves", "endpoint", info.ID)
	}
	ep.Endpoint, ep.absentSince, ep.changedRev = *info, time.Time{}, rev
	if moved {
		c.rankEndpoint(ep)
	}
	if l := ep.lease; rebooted && l != nil && l.boot != 0 && info.Boot != 0 && info.Boot != l.boot {
		c.handleRestart(l, info.Boot)
	}
	return true
}

// sendListUpdate tells the entries of this data centre what has changed lately. Without a change
// the word shows only that this entry reads, and goes out less often the more there are.
func (c *Core) sendListUpdate(changed bool) {
	var to []*peer
	for _, p := range c.peersByID {
		if p.id.DataCentre == c.cfg.Self.DataCentre && c.isAlive(p) {
			to = append(to, p)
		}
	}
	if len(to) < maxAllReaders || !changed && c.now.Sub(c.updateSentAt) < time.Duration(len(to)/updatesPerSecond)*time.Second {
		return
	}
	c.updateSentAt = c.now
	m := c.listChangesSince(c.recentRevs[0])
	for _, p := range to {
		c.send(p.id, cornelwall.Message{EndpointUpdate: m})
	}
}

// listChangesSince returns what has changed since a revision; 0 asks for all of this data centre.
func (c *Core) listChangesSince(from int64) *cornelwall.EndpointUpdate {
	m := &cornelwall.EndpointUpdate{FromRevision: from, ToRevision: c.listRev, Version: c.queueConfig.Version}
	for _, ep := range c.endpointsByName {
		switch {
		case from > 0 && ep.changedRev <= from:
		case from == 0 && ep.DataCentre != c.cfg.Self.DataCentre:
		case ep.absentSince.IsZero():
			m.Endpoints = append(m.Endpoints, ep.Endpoint)
		case from > 0:
			m.Removed = append(m.Removed, ep.ID)
		}
	}
	return m
}

// sendFullList tells a peer without a list all that is known of its data centre.
func (c *Core) sendFullList(p *peer) {
	if c.listRev == 0 || c.now.Sub(p.fullListAt) < fullListInterval {
		return
	}
	p.fullListAt = c.now
	c.send(p.id, cornelwall.Message{EndpointUpdate: c.listChangesSince(0)})
}

// handleEndpointUpdate takes word of the list of endpoints. What leaves a gap is not taken.
func (c *Core) handleEndpointUpdate(from cornelwall.Incarnation, m *cornelwall.EndpointUpdate) {
	c.requestNewerConfig(from, m.Version)
	if m.FromRevision > 0 {
		c.readerHeardAt = c.now
	}
	switch {
	case m.ToRevision <= c.listRev || m.FromRevision == 0 && c.listRev > 0:
		return
	case m.FromRevision > c.listRev:
		c.orderRead()
		return
	}
	for i := range m.Endpoints {
		c.setEndpoint(&m.Endpoints[i], m.ToRevision)
	}
	for _, id := range m.Removed {
		if ep := c.endpoints[id]; ep != nil && ep.absentSince.IsZero() {
			ep.absentSince, ep.changedRev = c.now, m.ToRevision
		}
	}
	c.recordRevision(m.ToRevision)
}

// recordRevision takes note that the list is known as of a revision.
func (c *Core) recordRevision(rev int64) {
	c.listRev = rev
	c.recentRevs = append(c.recentRevs, rev)
	c.recentRevs = c.recentRevs[max(0, len(c.recentRevs)-revisionsKept):]
}

// orderRead orders a reading of the list at once.
func (c *Core) orderRead() {
	if c.now.Sub(c.readOrderedAt) < minReadInterval {
		return
	}
	c.readOrderedAt = c.now
	c.emit(cornelwall.ReadEndpoints{Every: c.readInterval, Now: true})
}

// scheduleReads decides how often this entry reads the list.
func (c *Core) scheduleReads() {
	every := listInterval
	spread := time.Duration(c.nameHash%readJitterMs) * time.Millisecond
	if c.listRev > 0 && len(c.ranking.byCentre[c.cfg.Self.DataCentre]) > maxAllReaders &&
		!c.ranking.isReader && c.now.Sub(c.readerHeardAt) < readerTimeout+spread {
		every = backupListInterval + spread
	}
	if every != c.readInterval {
		c.readInterval = every
		c.emit(cornelwall.ReadEndpoints{Every: every, Now: every == listInterval && c.listRev > 0})
	}
}
