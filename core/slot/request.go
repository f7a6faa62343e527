package slot

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	// requestTimeout is how long loans are expected for a one-shot request.
	requestTimeout = 10 * time.Millisecond
	// localThreshold is the expected wait from which peers of this data centre are asked.
	localThreshold = time.Millisecond
	// remoteThreshold is the expected wait from which peers of other data centres are asked.
	remoteThreshold = 20 * time.Millisecond
	// Standing requests are sent if the expected wait exceeds standingThreshold or, if that is
	// less, standingTaskTimes times the expected run time of a task.
	standingThreshold = 600 * time.Millisecond
	standingTaskTimes = 3
	// standingTTL is how long a standing request stays in the queue of its lender.
	standingTTL = 10 * time.Second
	// maxStandingLenders is the number of lenders that hold a standing request for a need.
	maxStandingLenders = 2
	// stragglerWait is the waiting time of the next job, counted from its rank, from which on the
	// expected wait is at least that long: after it, slow tasks are assumed to hold up the
	// capacity that this entry has.
	stragglerWait = 200 * time.Millisecond
	// minFreeSlots is the number of free slots that a peer must have reported to be asked. It is
	// above 1 since reports are out of date.
	minFreeSlots = 6
	// requestInterval is the pause between two searches for peers with free capacity.
	requestInterval = 2 * time.Millisecond
)

// sentKey identifies a request by the lender it was sent to and its need.
type sentKey struct {
	lender cornelwall.Incarnation
	need   cornelwall.Need
}

// sentRequest is a loan request that was sent and is still open. A one-shot request asks for capacity
// that is free now; a standing request waits in the queue of the lender until its TTL is over.
type sentRequest struct {
	count    int // units still expected
	expires  time.Time
	standing bool
}

// freeHint is the number of free slots that a peer last reported with a message.
type freeHint struct {
	free int
	at   time.Time
}

// sentRequests tracks the open requests to lenders and the free capacity they reported.
type sentRequests struct {
	open       map[sentKey]*sentRequest
	hints      map[cornelwall.Incarnation]freeHint
	nextSearch map[cornelwall.Need]time.Time // earliest time of the next search for lenders
}

func newSentRequests() *sentRequests {
	return &sentRequests{open: map[sentKey]*sentRequest{}, hints: map[cornelwall.Incarnation]freeHint{}, nextSearch: map[cornelwall.Need]time.Time{}}
}

// expectedLoans returns the number of units of the need that open one-shot requests may still bring.
// That many waiting tasks are reserved for them.
func (sr *sentRequests) expectedLoans(now time.Time, need cornelwall.Need) int {
	n := 0
	for key, req := range sr.open {
		if key.need == need && !req.standing && now.Before(req.expires) {
			n += req.count
		}
	}
	return n
}

// countStanding returns the number of lenders that hold a standing request for the need.
func (sr *sentRequests) countStanding(need cornelwall.Need) int {
	n := 0
	for key, req := range sr.open {
		if key.need == need && req.standing {
			n++
		}
	}
	return n
}

// fulfil subtracts n units that were lent from the open request.
func (sr *sentRequests) fulfil(from cornelwall.Incarnation, need cornelwall.Need, n int) {
	key := sentKey{from, need}
	req := sr.open[key]
	if req == nil {
		return
	}
	if req.count -= n; req.count <= 0 {
		delete(sr.open, key)
	}
}

// expire drops the requests whose time is over.
func (sr *sentRequests) expire(now time.Time) {
	for key, req := range sr.open {
		if !now.Before(req.expires) {
			delete(sr.open, key)
		}
	}
}

// removeLender drops all state of a lender.
func (sr *sentRequests) removeLender(id cornelwall.Incarnation) {
	delete(sr.hints, id)
	for key := range sr.open {
		if key.lender == id {
			delete(sr.open, key)
		}
	}
}

// recordFree records the number of free slots that a peer reported.
func (sr *sentRequests) recordFree(now time.Time, from cornelwall.Incarnation, free int) {
	sr.hints[from] = freeHint{free: free, at: now}
}

// estimateFree estimates for how many tasks of the need a peer has free capacity. For executors the
// later of its last heartbeat and its last message counts.
func (sr *sentRequests) estimateFree(p *cornelwall.PeerCapacity, need cornelwall.Need) int {
	if need.Kind() == cornelwall.Worker {
		return capacityFor(p.Capacity.Workers, need)
	}
	if hint, ok := sr.hints[p.ID]; ok && hint.at.After(p.At) {
		return hint.free
	}
	return p.Capacity.Free
}

// capacityFor returns how many tasks of the need fit into the free capacity.
func capacityFor(free, need cornelwall.Need) int {
	n := 1 << 20
	if need.Cores > 0 {
		n = min(n, free.Cores/need.Cores)
	}
	if need.Memory > 0 {
		n = min(n, free.Memory/need.Memory)
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	return n
}

// requestCapacity sends loan requests to peers if tasks of the need would wait too long for the
// capacity that this entry has. Peers with free capacity are asked first, those of this data
// centre before others. If the expected wait is still long, standing requests go to a few more.
func (pl *Placer) requestCapacity(now time.Time, host cornelwall.PlacerHost, need cornelwall.Need) {
	if now.Before(pl.sent.nextSearch[need]) {
		return
	}
	unmet := host.Waiting(need) - pl.sent.expectedLoans(now, need)
	runTime := host.ExpectedRunTime()
	if pl.expectedWait(now, host, unmet, runTime, need) < localThreshold {
		return
	}
	pl.sent.nextSearch[need] = now.Add(requestInterval)
	peers := pl.sortPeers(host.Peers(), need)
	for i := range peers {
		p := &peers[i]
		free := pl.sent.estimateFree(p, need)
		if free < pl.minFreeToAsk(p, need) || pl.expectedWait(now, host, unmet, runTime, need) < pl.waitThreshold(p) || pl.sent.open[sentKey{p.ID, need}] != nil {
			continue
		}
		n := min(unmet, free)
		pl.sendRequest(now, host, p, need, n, 0)
		unmet -= n
	}
	if pl.expectedWait(now, host, unmet, runTime, need) > min(standingThreshold, standingTaskTimes*runTime) {
		pl.sendStandingRequests(now, host, peers, need, unmet)
	}
}

// minFreeToAsk returns how much a peer must have free to be asked. The minimum is lower for peers
// with few slots, and 1 for workers or if this entry has no executor slots of its own.
func (pl *Placer) minFreeToAsk(p *cornelwall.PeerCapacity, need cornelwall.Need) int {
	if need.Kind() == cornelwall.Worker || pl.lender.slots == 0 {
		return 1
	}
	return max(1, min(minFreeSlots, p.Capacity.Slots/4))
}

// waitThreshold returns the expected wait from which the peer is asked.
func (pl *Placer) waitThreshold(p *cornelwall.PeerCapacity) time.Duration {
	if p.ID.DataCentre == pl.self.DataCentre {
		return localThreshold
	}
	return remoteThreshold
}

// queueWait returns how long it takes to run the unmet tasks on the slots that this entry uses or,
// for executors, owns, whichever are more.
func (pl *Placer) queueWait(unmet int, runTime time.Duration, need cornelwall.Need) time.Duration {
	if unmet <= 0 {
		return 0
	}
	slots := pl.inUse[need.Kind()]
	if need.Kind() == cornelwall.Executor {
		slots = max(slots, pl.lender.slots)
	}
	return time.Duration(float64(unmet) * float64(runTime) / float64(max(1, slots)))
}

// expectedWait returns how long unmet tasks are expected to wait: their queueWait, or the time since
// the rank of the next job if that is longer and at least stragglerWait.
func (pl *Placer) expectedWait(now time.Time, host cornelwall.PlacerHost, unmet int, runTime time.Duration, need cornelwall.Need) time.Duration {
	expected := pl.queueWait(unmet, runTime, need)
	_, rank := host.Head(need)
	if waited := now.Sub(rank); unmet > 0 && waited >= stragglerWait {
		return max(expected, waited)
	}
	return expected
}

// sortPeers drops the peers that are leaving and sorts the rest: those of this data centre first,
// then by free capacity in descending order.
func (pl *Placer) sortPeers(peers []cornelwall.PeerCapacity, need cornelwall.Need) []cornelwall.PeerCapacity {
	remote := func(p *cornelwall.PeerCapacity) int {
		if p.ID.DataCentre == pl.self.DataCentre {
			return 0
		}
		return 1
	}
	peers = slices.DeleteFunc(peers, func(p cornelwall.PeerCapacity) bool { return p.Leaving })
	slices.SortFunc(peers, func(p, q cornelwall.PeerCapacity) int {
		return cmp.Or(cmp.Compare(remote(&p), remote(&q)), cmp.Compare(pl.sent.estimateFree(&q, need), pl.sent.estimateFree(&p, need)), p.ID.Compare(q.ID))
	})
	return peers
}

// sendRequest asks a peer for n units. With a TTL the request is a standing one.
func (pl *Placer) sendRequest(now time.Time, host cornelwall.PlacerHost, p *cornelwall.PeerCapacity, need cornelwall.Need, n int, ttl time.Duration) {
	class, rank := host.Head(need)
	host.Send(p.ID, cornelwall.Message{LoanRequest: &cornelwall.LoanRequest{
		Need: need, Count: n, Class: class, Age: cornelwall.Duration(now.Sub(rank)),
		TTL: cornelwall.Duration(ttl), Free: pl.lender.freeSlots(),
	}})
	req := &sentRequest{count: n, expires: now.Add(requestTimeout)}
	if ttl > 0 {
		req.expires, req.standing = now.Add(ttl), true
	} else {
		pl.sent.recordFree(now, p.ID, max(0, pl.sent.estimateFree(p, need)-n))
	}
	pl.sent.open[sentKey{p.ID, need}] = req
}

// sendStandingRequests queues requests at a few peers. For executors each peer is asked for a share
// of the tasks in proportion to its slots; for workers each is asked for all of them.
func (pl *Placer) sendStandingRequests(now time.Time, host cornelwall.PlacerHost, peers []cornelwall.PeerCapacity, need cornelwall.Need, unmet int) {
	all := pl.lender.slots
	for i := range peers {
		all += peers[i].Capacity.Slots
	}
	remaining := maxStandingLenders - pl.sent.countStanding(need)
	for i := range peers {
		share := unmet
		if need.Kind() == cornelwall.Executor {
			share = unmet * peers[i].Capacity.Slots / max(1, all)
		}
		if remaining <= 0 || share == 0 || pl.sent.open[sentKey{peers[i].ID, need}] != nil {
			continue
		}
		pl.sendRequest(now, host, &peers[i], need, share, standingTTL)
		remaining--
	}
}

// withdrawRequests cancels the standing requests of needs for which no task waits any longer.
func (pl *Placer) withdrawRequests(now time.Time, host cornelwall.PlacerHost) {
	var obsolete []sentKey
	for key, req := range pl.sent.open {
		if req.standing && host.Waiting(key.need) == 0 {
			obsolete = append(obsolete, key)
		}
	}
	slices.SortFunc(obsolete, func(a, b sentKey) int { return cmp.Or(a.lender.Compare(b.lender), compareNeeds(a.need, b.need)) })
	for _, key := range obsolete {
		delete(pl.sent.open, key)
		host.Send(key.lender, cornelwall.Message{LoanRequest: &cornelwall.LoanRequest{Need: key.need, Free: pl.lender.freeSlots()}})
	}
}
