package dispatch

import (
	"time"

	"cornelwall"
)

const (
	listEvery   = time.Second      // between two readings of the list of endpoints, and two words of it
	spareEvery  = 10 * time.Second // between two readings by an entry that is told
	toldLife    = 3 * time.Second  // without word of a reader, an entry reads by itself
	tellRate    = 60               // entries that are told in a second, beyond which word goes out less often
	revsKept    = 4                // lists that each word covers, so that one that is lost costs nothing
	readAgain   = time.Second      // between two readings at once
	fewReaders  = 3                // entries of a data centre up to which all read for themselves
	spreadReads = 1000             // ms, over which entries that miss their readers begin to read
)

// lists is how an entry comes by the platform's list of endpoints. Few entries of each data
// centre read it and tell the others what has changed. The others read it by themselves
// now and then, and as soon as the readers fall silent.
type lists struct {
	listRev  int64 // of the store, as of which the endpoints are known; 0 before the first list
	revs     []int64
	every    time.Duration // between readings, as ordered last
	heardOf  time.Time     // last word of a reader
	toldAt   time.Time     // when the others were told last
	askedNow time.Time     // when a reading at once was ordered last
}

// setEndpoints takes the platform's list.
func (c *Core) setEndpoints(ev cornelwall.EndpointsListed) {
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
		if !now[ep.ID] && ep.absent.IsZero() {
			ep.absent, ep.changed = c.now, rev
			changed = true
		}
	}
	c.noteRev(rev)
	if c.ranking.reader {
		c.tellLists(changed)
	}
}

// setEndpoint takes what the list says of one endpoint and reports whether that is new.
func (c *Core) setEndpoint(info *cornelwall.Endpoint, rev int64) bool {
	ep := c.endpoints[info.ID]
	isNew := ep == nil
	if isNew {
		ep = c.addEndpoint(*info)
	}
	if !isNew && ep.absent.IsZero() && ep.Equal(info) {
		return false
	}
	moved := ep.DataCentre != info.DataCentre
	rebooted := ep.Boot != info.Boot // the list may lag behind what the endpoint itself has said
	if info.Leaving && !ep.Leaving && ep.lease != nil {
		c.log("endpoint-leaves", "endpoint", info.ID)
	}
	ep.Endpoint, ep.absent, ep.changed = *info, time.Time{}, rev
	if moved {
		c.place(ep)
	}
	if l := ep.lease; rebooted && l != nil && l.boot != 0 && info.Boot != 0 && info.Boot != l.boot {
		c.restarted(l, info.Boot)
	}
	return true
}

// tellLists tells the entries of this data centre what has changed lately. Without a change
// the word shows only that this entry reads, and goes out less often the more there are.
func (c *Core) tellLists(changed bool) {
	var to []*peer
	for _, p := range c.peersByID {
		if p.id.DataCentre == c.cfg.Self.DataCentre && c.alive(p) {
			to = append(to, p)
		}
	}
	if len(to) < fewReaders || !changed && c.now.Sub(c.toldAt) < time.Duration(len(to)/tellRate)*time.Second {
		return
	}
	c.toldAt = c.now
	m := c.knownSince(c.revs[0])
	for _, p := range to {
		c.send(p.id, cornelwall.Message{EndpointUpdate: m})
	}
}

// knownSince returns what has changed since a revision; 0 asks for all of this data centre.
func (c *Core) knownSince(from int64) *cornelwall.EndpointUpdate {
	m := &cornelwall.EndpointUpdate{FromRevision: from, ToRevision: c.listRev, Version: c.queueConfig.Version}
	for _, ep := range c.endpointsByName {
		switch {
		case from > 0 && ep.changed <= from:
		case from == 0 && ep.DataCentre != c.cfg.Self.DataCentre:
		case ep.absent.IsZero():
			m.Endpoints = append(m.Endpoints, ep.Endpoint)
		case from > 0:
			m.Removed = append(m.Removed, ep.ID)
		}
	}
	return m
}

// tellAll tells a peer without a list all that is known of its data centre.
func (c *Core) tellAll(p *peer) {
	if c.listRev == 0 || c.now.Sub(p.toldAll) < tellEvery {
		return
	}
	p.toldAll = c.now
	c.send(p.id, cornelwall.Message{EndpointUpdate: c.knownSince(0)})
}

// known takes word of the list of endpoints. What leaves a gap is not taken.
func (c *Core) known(from cornelwall.Incarnation, m *cornelwall.EndpointUpdate) {
	c.catchUp(from, m.Version)
	if m.FromRevision > 0 {
		c.heardOf = c.now
	}
	switch {
	case m.ToRevision <= c.listRev || m.FromRevision == 0 && c.listRev > 0:
		return
	case m.FromRevision > c.listRev:
		c.readNow()
		return
	}
	for i := range m.Endpoints {
		c.setEndpoint(&m.Endpoints[i], m.ToRevision)
	}
	for _, id := range m.Removed {
		if ep := c.endpoints[id]; ep != nil && ep.absent.IsZero() {
			ep.absent, ep.changed = c.now, m.ToRevision
		}
	}
	c.noteRev(m.ToRevision)
}

// noteRev takes note that the list is known as of a revision.
func (c *Core) noteRev(rev int64) {
	c.listRev = rev
	c.revs = append(c.revs, rev)
	c.revs = c.revs[max(0, len(c.revs)-revsKept):]
}

// readNow orders a reading of the list at once.
func (c *Core) readNow() {
	if c.now.Sub(c.askedNow) < readAgain {
		return
	}
	c.askedNow = c.now
	c.emit(cornelwall.ReadEndpoints{Every: c.every, Now: true})
}

// keepLists decides how often this entry reads the list.
func (c *Core) keepLists() {
	every := listEvery
	spread := time.Duration(c.nameHash%spreadReads) * time.Millisecond
	if c.listRev > 0 && len(c.ranking.byCentre[c.cfg.Self.DataCentre]) > fewReaders &&
		!c.ranking.reader && c.now.Sub(c.heardOf) < toldLife+spread {
		every = spareEvery + spread
	}
	if every != c.every {
		c.every = every
		c.emit(cornelwall.ReadEndpoints{Every: every, Now: every == listEvery && c.listRev > 0})
	}
}
