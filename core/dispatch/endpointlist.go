package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cornelwall"
)

const (
	maxListInterval    = time.Second           // between two reads of the endpoint list, and so between two updates for other entries
	backupListInterval = 10 * time.Second      // between two reads by an entry that receives updates
	defaultDrainTime   = 2 * time.Second       // if Limits.DrainTime is not set
	substituteStep     = 50 * time.Millisecond // by which each entry of a data centre waits longer for its readers than the one before it
	updatesPerSecond   = 60                    // to different entries; with more of them, updates without a change go out less often
	revisionsKept      = 4                     // latest revisions that each update covers, so that a lost update leaves no gap
	minReadInterval    = time.Second           // between two immediate reads
	maxAllReaders      = 3                     // entries of a data centre up to which all of them read the list
	maxListPatience    = 4 * time.Second       // for a peer to send its list, before another one is asked
	readJitterMs       = 1000                  // milliseconds over which entries spread their backup reads
)

// endpointList is the state of this entry's copy of the platform's list of endpoints, and how old that
// copy is. A few entries of each data centre, its readers, read the list every listInterval and send
// the changes to the others, with the age of what they know. The others read it every
// backupListInterval.
//
// An endpoint that leaves serves on for Limits.DrainTime only, so that no entry that can reach the
// platform may know less than that. An entry therefore does not rely on its readers to be there: once
// what it was told is older than readerTimeout, it reads the list itself, and sends the changes to
// the others as a reader does. The readers may have lost the platform and still be alive. The entries
// of a data centre do so one after the other, so that the first one spares the others their reads.
type endpointList struct {
	listRev       int64         // revision of the store as of which the list is known; 0 before the first list
	recentRevs    []int64       // the last revisionsKept values of listRev
	listPartial   bool          // the list came from a peer and has the endpoints of this data centre only
	readInterval  time.Duration // interval of reads that was ordered last
	knownAt       time.Time     // when the list was last certainly up to date
	toldAt        time.Time     // the same for what readers, and other entries that read before this one, have sent
	updateSentAt  time.Time     // when the last update was sent
	readOrderedAt time.Time     // when the last immediate read was ordered
	askForListAt  time.Time     // earliest time to ask a peer for its list
	listPatience  time.Duration // for which the peer that was asked last has time to send it
}

// handleEndpointsListed applies the platform's list of endpoints, as read by this entry.
func (c *Core) handleEndpointsListed(ev cornelwall.EndpointsListed) {
	rev := max(ev.Revision, 1)
	asOf := ev.AsOf
	if asOf.IsZero() {
		asOf = c.now
	}
	c.recordAge(asOf)
	if rev < c.listRev {
		return // a newer update has come meanwhile
	}
	listed := make(map[string]bool, len(ev.List))
	changed := false
	for i := range ev.List {
		listed[ev.List[i].ID] = true
		changed = c.setEndpoint(&ev.List[i], rev) || changed
	}
	for _, ep := range c.endpointsByName {
		changed = !listed[ep.ID] && c.removeFromList(ep, rev) || changed
	}
	if c.listPartial {
		c.listPartial, c.recentRevs = false, nil // what is new to this entry is no change for the others
	}
	c.recordRevision(rev)
	if c.ranking.isReader() || c.readersSilent() {
		c.sendListUpdate(changed)
	}
}

// setEndpoint applies the record of one endpoint and reports whether it has changed. An older record
// than the one that is known is ignored: lists are read page by page while records change, and
// entries send each other what they know.
func (c *Core) setEndpoint(info *cornelwall.Endpoint, rev int64) bool {
	ep := c.endpoints[info.ID]
	if ep == nil {
		ep = c.addEndpoint(*info)
		ep.changedRev = rev
		return true
	}
	if !ep.isNewer(info) || c.isOfUnknownService(ep, info) {
		return false
	}
	if ep.absentSince.IsZero() && ep.Equal(info) {
		ep.Revision, ep.Report, ep.Remaining = info.Revision, info.Report, info.Remaining
		return false
	}
	before := ep.Endpoint
	if before.Boot != 0 && info.Boot > before.Boot {
		c.confirmCrashesOf(ep.ID, before.Boot)
	}
	ep.Endpoint, ep.absentSince, ep.changedRev = *info, time.Time{}, rev
	if before.DataCentre != info.DataCentre {
		c.rankEndpoint(ep)
	}
	if ep.lease != nil {
		c.handleRecordChange(ep.lease, &before)
	}
	return true
}

// isOfUnknownService reports whether a record names a service that no queue does, while what is known of the endpoint names one
// of a queue. Such a record comes from another writer than the endpoint, or its queue is not in force here yet; then the next
// report of the endpoint will do.
func (c *Core) isOfUnknownService(ep *endpoint, info *cornelwall.Endpoint) bool {
	return info.Service != ep.Service && !c.queueConfig.NamesService(info.Service) && c.queueConfig.NamesService(ep.Service)
}

// isNewer reports whether a record of the endpoint is newer than what is known of it, or may be.
//
// The store may carry a report out late, after later ones. Its revision is the highest then, and its number is not.
func (ep *endpoint) isNewer(info *cornelwall.Endpoint) bool {
	if info.Boot != 0 && info.Boot == ep.Boot && info.Report > 0 && info.Report < ep.Report {
		return false
	}
	if info.Revision == 0 {
		return true
	}
	if !ep.absentSince.IsZero() && info.Revision <= ep.changedRev {
		return false
	}
	return info.Revision >= ep.Revision
}

// handleRecordChange acts on a new record of an endpoint that this entry holds. An endpoint with a new boot at the same address is
// acquired again, unless it is on offer. That alone is no restart: the platform may have carried out a report of an earlier boot
// late, and the endpoint itself tells. Orders follow a new boot to another address, unless the endpoint goes on answering at its own.
func (c *Core) handleRecordChange(l *lease, before *cornelwall.Endpoint) {
	ep := l.ep
	c.heldChanged, c.backlogChanged = true, true
	l.leaveAnnounced = l.leaveAnnounced || before.Leaving
	if ep.Leaving && !before.Leaving {
		c.log("endpoint-leaves", "endpoint", ep.ID, "listage", c.listAge(), "remaining", ep.Remaining)
	}
	switch {
	case before.Boot == ep.Boot || ep.Boot == 0:
	case l.boot == 0 && (len(l.runs) == 0 || l.handedOverBoot == 0): // none has answered yet
		c.moveTo(l, ep.Addr)
	case c.doubtsRecord(l):
		c.log("record-doubted", "endpoint", ep.ID, "runs", len(l.runs), "boot", ep.Boot, "addr", ep.Addr, "answers", l.addr)
	case l.isListedElsewhere():
		c.acquireAsListed(l)
	case l.boot != 0 && ep.Boot != l.boot && l.phase != phaseOffered:
		l.phase, l.fence = phaseAcquiring, c.nextFence()
		c.poll(l, 0) // its answer tells which boot is there
	}
}

// moveTo sends the orders under a lease to another address from now on. They carry a new fence, which tells their answers from those
// of the address before.
func (c *Core) moveTo(l *lease, addr netip.AddrPort) {
	if l.addr == addr {
		return
	}
	l.addr, l.fence, l.lastStalePoll = addr, c.nextFence(), l.lastPoll
	c.poll(l, 0)
}

// doubtsRecord reports whether the record of an endpoint names another boot at another address than the one whose runs go on
// there, as its answers show, or the address of another endpoint. Who answers at the other address can't tell of these runs.
func (c *Core) doubtsRecord(l *lease) bool {
	return l.isListedElsewhere() && len(l.runs) > 0 && (l.ep.Addr == l.refusedAddr || l.unansweredFor(c.now) <= pollWait+pollMargin)
}

// isListedElsewhere reports whether the record of the endpoint names another boot than the one that has answered this entry or, if none
// has, the previous holder, at another address.
func (l *lease) isListedElsewhere() bool {
	boot := cmp.Or(l.boot, l.handedOverBoot)
	return boot != 0 && l.ep.Boot != 0 && l.ep.Boot != boot && l.ep.Addr != l.addr
}

// followRecord acquires an endpoint at the address in its record once that is not doubted any more.
func (c *Core) followRecord(l *lease) {
	if l.isListedElsewhere() && !c.doubtsRecord(l) {
		c.acquireAsListed(l)
	}
}

// acquireAsListed acquires an endpoint again as its record names it. That boot has to answer before the one that has answered
// counts as ended.
func (c *Core) acquireAsListed(l *lease) {
	c.log("endpoint-moved", "endpoint", l.ep.ID, "runs", len(l.runs), "boot", l.ep.Boot, "addr", l.ep.Addr, "answered", l.addr)
	if l.answered == nil {
		l.answered = &answeredBoot{addr: l.addr, boot: l.boot, ackedEnd: l.ackedEnd, clock: l.clock, clockAt: l.clockAt, latestEnd: l.latestEnd}
		c.recordCrash(l, l.boot, cornelwall.CrashSuspected)
	}
	boot := l.ep.Boot
	if l.boot == 0 {
		boot = 0 // this entry has reached none
	}
	l.addr = l.ep.Addr
	c.acquireBoot(l, boot)
}

// returnToAnswered acquires an endpoint again at the address where it has answered, as another endpoint refuses at the listed one.
func (c *Core) returnToAnswered(l *lease) {
	a := l.answered
	c.log("record-refused", "endpoint", l.ep.ID, "runs", len(l.runs), "boot", l.ep.Boot, "addr", l.addr, "answered", a.addr)
	l.answered, l.refusedAddr, l.addr = nil, l.addr, a.addr
	c.acquireBoot(l, a.boot)
	l.ackedEnd, l.clock, l.clockAt, l.latestEnd = a.ackedEnd, a.clock, a.clockAt, a.latestEnd
}

// removeFromList records that an endpoint is not on the list of a revision, and reports whether that
// is new.
func (c *Core) removeFromList(ep *endpoint, rev int64) bool {
	if !ep.absentSince.IsZero() || ep.Revision > rev {
		return false
	}
	ep.absentSince, ep.changedRev = c.now, rev
	return true
}

// sendListUpdate sends the latest changes to the entries of this data centre. Without a change, an
// update only shows that this entry reads the list, and is sent less often the more entries there
// are.
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

// listChangesSince returns the changes since a revision, or all endpoints of this data centre if it
// is 0.
func (c *Core) listChangesSince(from int64) *cornelwall.EndpointUpdate {
	m := &cornelwall.EndpointUpdate{FromRevision: from, ToRevision: c.listRev, Age: max(c.now.Sub(c.knownAt), 0), Version: c.queueConfig.Version}
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

// takeListRequest reports whether a heartbeat to a peer is to ask it for its list of endpoints. If so,
// the peer counts as asked. An entry without a list asks one peer that has one, and another one if the list
// has not come after a while, which doubles each time up to maxListPatience.
func (c *Core) takeListRequest(p *peer) bool {
	if c.listRev > 0 || c.now.Before(c.askForListAt) || !c.hasList(p) {
		return false
	}
	if p.id.DataCentre != c.cfg.Self.DataCentre && c.hearsListInDataCentre() {
		return false // the list of a peer has the endpoints of its own data centre
	}
	c.listPatience = min(max(2*c.listPatience, fullListInterval), maxListPatience)
	c.askForListAt = c.now.Add(c.listPatience)
	return true
}

// hasList reports whether a peer that answers has a list of endpoints.
func (c *Core) hasList(p *peer) bool { return c.isResponsive(p) && !p.noEndpointList }

// hearsListInDataCentre reports whether a peer of this data centre has a list of endpoints.
func (c *Core) hearsListInDataCentre() bool {
	return slices.ContainsFunc(c.peersByID, func(p *peer) bool { return p.id.DataCentre == c.cfg.Self.DataCentre && c.hasList(p) })
}

// sendFullList sends a peer without a list all endpoints of this entry's data centre.
func (c *Core) sendFullList(p *peer) {
	if c.listRev == 0 || c.now.Sub(p.fullListAt) < fullListInterval {
		return
	}
	p.fullListAt = c.now
	c.send(p.id, cornelwall.Message{EndpointUpdate: c.listChangesSince(0)})
}

// handleEndpointUpdate applies the changes that a peer has sent. If revisions are missing before
// them, it orders a read instead. A complete list is applied only if this entry has none yet.
func (c *Core) handleEndpointUpdate(from cornelwall.Incarnation, m *cornelwall.EndpointUpdate) {
	c.noteVersion(c.peers[from], m.Version)
	switch {
	case m.FromRevision == 0 && c.listRev > 0:
		return
	case m.FromRevision > c.listRev:
		c.orderRead()
		return
	}
	if m.FromRevision == 0 {
		c.listPartial = true
	} else {
		c.recordTold(from, m.Age) // a complete list may be long on the way, and tells nothing about its age
	}
	if m.ToRevision <= c.listRev {
		return
	}
	for i := range m.Endpoints {
		c.setEndpoint(&m.Endpoints[i], m.ToRevision)
	}
	for _, id := range m.Removed {
		if ep := c.endpoints[id]; ep != nil {
			c.removeFromList(ep, m.ToRevision)
		}
	}
	c.recordRevision(m.ToRevision)
}

// recordAge records that the list was certainly up to date at a time. That holds for a list of an
// older revision than the one that is known, too.
func (c *Core) recordAge(at time.Time) {
	if at.After(c.knownAt) {
		c.knownAt = at
	}
}

// listAge returns the time since the list was certainly up to date, or since the start if it never was.
func (c *Core) listAge() time.Duration {
	if c.knownAt.Before(c.startedAt) {
		return c.now.Sub(c.startedAt)
	}
	return c.now.Sub(c.knownAt)
}

// recordTold records the age of the list that another entry has sent. After a pause of this process
// the message may have waited for any time, and tells nothing about the age.
func (c *Core) recordTold(from cornelwall.Incarnation, age time.Duration) {
	if c.resuming() {
		return
	}
	at := c.now.Add(-age)
	c.recordAge(at)
	if at.After(c.toldAt) && c.ranking.readsBefore(from) {
		c.toldAt = at
	}
}

// recordRevision records that the list is known as of a revision.
func (c *Core) recordRevision(rev int64) {
	c.listRev = rev
	c.recentRevs = append(c.recentRevs, rev)
	c.recentRevs = c.recentRevs[max(0, len(c.recentRevs)-revisionsKept):]
}

// orderRead orders an immediate read of the list, at most one per minReadInterval.
func (c *Core) orderRead() {
	if c.now.Sub(c.readOrderedAt) < minReadInterval {
		return
	}
	c.readOrderedAt = c.now
	c.emit(cornelwall.ReadEndpoints{Every: c.readInterval, Now: true})
}

// listInterval returns the interval at which readers read the list.
func (c *Core) listInterval() time.Duration { return min(maxListInterval, c.cfg.Limits.DrainTime/2) }

// readerTimeout returns the age of what readers have sent at which this entry reads the list itself.
// It leaves a sixth of DrainTime for the read.
func (c *Core) readerTimeout() time.Duration {
	drain := c.cfg.Limits.DrainTime
	ahead := max(c.ranking.readPosition-readersPerCentre, 0) // entries that do so before this one
	return drain*2/3 + min(time.Duration(ahead)*substituteStep, drain/6)
}

// readersSilent reports whether this entry has to read the list itself, as what it was told is too
// old.
func (c *Core) readersSilent() bool { return c.now.Sub(c.toldAt) >= c.readerTimeout() }

// scheduleReads sets how often this entry reads the list.
func (c *Core) scheduleReads() {
	every := c.listInterval()
	if c.listRev > 0 && len(c.ranking.byCentre[c.cfg.Self.DataCentre]) > maxAllReaders && !c.ranking.isReader() && !c.readersSilent() {
		every = backupListInterval + time.Duration(c.nameHash%readJitterMs)*time.Millisecond
	}
	if every != c.readInterval {
		c.readInterval = every
		c.emit(cornelwall.ReadEndpoints{Every: every, Now: every == c.listInterval() && c.listRev > 0})
	}
}
