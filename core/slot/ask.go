package slot

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	requestTimeout     = 10 * time.Millisecond  // for the loans that an ask brings
	localThreshold     = time.Millisecond       // of waiting, from which asking this data centre pays
	remoteThreshold    = 20 * time.Millisecond  // and other data centres
	standingThreshold  = 600 * time.Millisecond // and standing in the queue of homes with nothing free
	standingTaskTimes  = 3                      // or as many task times, if that is less
	standingTTL        = 10 * time.Second       // life of a want that stands
	maxStandingLenders = 2                      // homes in whose queues the tasks of a need stand
	stragglerWait      = 200 * time.Millisecond // of waiting past its rank, from which a job waits for stragglers
	minFreeSlots       = 6                      // slots that a home must have had free, as the word of it is old
	requestInterval    = 2 * time.Millisecond   // between two looks for peers with room
)

// sentKey is a home and what it was asked for.
type sentKey struct {
	lender cornelwall.Incarnation
	need   cornelwall.Need
}

// sentRequest is a want that was sent.
type sentRequest struct {
	count    int
	expires  time.Time
	standing bool
}

// freeHint is what a home was last known to have free.
type freeHint struct {
	free int
	at   time.Time
}

// sentRequests holds the wants that were sent and what is known of the homes.
type sentRequests struct {
	open       map[sentKey]*sentRequest
	hints      map[cornelwall.Incarnation]freeHint
	nextSearch map[cornelwall.Need]time.Time // no look for peers before
}

func newSentRequests() *sentRequests {
	return &sentRequests{open: map[sentKey]*sentRequest{}, hints: map[cornelwall.Incarnation]freeHint{}, nextSearch: map[cornelwall.Need]time.Time{}}
}

// expected returns how many waiting tasks of the need have a loan on its way to them.
func (a *sentRequests) expected(now time.Time, need cornelwall.Need) int {
	n := 0
	for key, k := range a.open {
		if key.need == need && !k.standing && now.Before(k.expires) {
			n += k.count
		}
	}
	return n
}

// standing returns the number of homes in whose queues tasks of the need stand.
func (a *sentRequests) standing(need cornelwall.Need) int {
	n := 0
	for key, k := range a.open {
		if key.need == need && k.standing {
			n++
		}
	}
	return n
}

// fulfil takes a loan off what was asked for.
func (a *sentRequests) fulfil(from cornelwall.Incarnation, need cornelwall.Need, n int) {
	key := sentKey{from, need}
	k := a.open[key]
	if k == nil {
		return
	}
	if k.count -= n; k.count <= 0 {
		delete(a.open, key)
	}
}

// expire drops the asks that brought nothing.
func (a *sentRequests) expire(now time.Time) {
	for key, k := range a.open {
		if !now.Before(k.expires) {
			delete(a.open, key)
		}
	}
}

func (a *sentRequests) removeLender(id cornelwall.Incarnation) {
	delete(a.hints, id)
	for key := range a.open {
		if key.lender == id {
			delete(a.open, key)
		}
	}
}

// recordFree records what a home says to have free.
func (a *sentRequests) recordFree(now time.Time, from cornelwall.Incarnation, free int) {
	a.hints[from] = freeHint{free: free, at: now}
}

// estimateFree returns how many tasks of the need a peer is thought to have room for.
func (a *sentRequests) estimateFree(p *cornelwall.PeerCapacity, need cornelwall.Need) int {
	if need.Kind() == cornelwall.Worker {
		return capacityFor(p.Capacity.Workers, need)
	}
	if h, ok := a.hints[p.ID]; ok && h.at.After(p.At) {
		return h.free
	}
	return p.Capacity.Free
}

// capacityFor returns how often the need fits into the room.
func capacityFor(room, need cornelwall.Need) int {
	n := 1 << 20
	if need.Cores > 0 {
		n = min(n, room.Cores/need.Cores)
	}
	if need.Memory > 0 {
		n = min(n, room.Memory/need.Memory)
	}
	if need.Accelerators > 0 {
		n = min(n, room.Accelerators/need.Accelerators)
	}
	return n
}

// requestCapacity asks peers for machines if that ends the wait of tasks sooner than the
// machines at hand do: first those that have something free, the near ones before the
// far ones; if the wait is long then a few others, to stand in their queues.
func (s *Placer) requestCapacity(now time.Time, d cornelwall.PlacerHost, need cornelwall.Need) {
	if now.Before(s.sent.nextSearch[need]) {
		return
	}
	short := d.Waiting(need) - s.sent.expected(now, need)
	each := d.ExpectedRunTime()
	if s.expectedWait(now, d, short, each, need) < localThreshold {
		return
	}
	s.sent.nextSearch[need] = now.Add(requestInterval)
	peers := s.sortPeers(d.Peers(), need)
	for i := range peers {
		p := &peers[i]
		free := s.sent.estimateFree(p, need)
		if free < s.minFreeToAsk(p, need) || s.expectedWait(now, d, short, each, need) < s.waitThreshold(p) || s.sent.open[sentKey{p.ID, need}] != nil {
			continue
		}
		n := min(short, free)
		s.sendRequest(now, d, p, need, n, 0)
		short -= n
	}
	if s.expectedWait(now, d, short, each, need) > min(standingThreshold, standingTaskTimes*each) {
		s.sendStandingRequests(now, d, peers, need, short)
	}
}

// minFreeToAsk returns how much a peer must have free to be asked: less of a small home,
// and anything if this entry has no machines itself.
func (s *Placer) minFreeToAsk(p *cornelwall.PeerCapacity, need cornelwall.Need) int {
	if need.Kind() == cornelwall.Worker || s.lender.slots == 0 {
		return 1
	}
	return max(1, min(minFreeSlots, p.Capacity.Slots/4))
}

// waitThreshold returns the wait from which asking a peer pays.
func (s *Placer) waitThreshold(p *cornelwall.PeerCapacity) time.Duration {
	if p.ID.DataCentre == s.self.DataCentre {
		return localThreshold
	}
	return remoteThreshold
}

// queueWait returns how long so many tasks wait for the machines at hand.
func (s *Placer) queueWait(short int, each time.Duration, need cornelwall.Need) time.Duration {
	if short <= 0 {
		return 0
	}
	slots := s.inUse[need.Kind()]
	if need.Kind() == cornelwall.Executor {
		slots = max(slots, s.lender.slots)
	}
	return time.Duration(float64(short) * float64(each) / float64(max(1, slots)))
}

// expectedWait returns how long so many tasks wait: as long as is expected, or as the next job
// has waited already if the machines at hand are held by stragglers.
func (s *Placer) expectedWait(now time.Time, d cornelwall.PlacerHost, short int, each time.Duration, need cornelwall.Need) time.Duration {
	expected := s.queueWait(short, each, need)
	_, rank := d.Head(need)
	if waited := now.Sub(rank); short > 0 && waited >= stragglerWait {
		return max(expected, waited)
	}
	return expected
}

// sortPeers returns the peers that stay, the near ones first, and those with the most free first.
func (s *Placer) sortPeers(peers []cornelwall.PeerCapacity, need cornelwall.Need) []cornelwall.PeerCapacity {
	far := func(p *cornelwall.PeerCapacity) int {
		if p.ID.DataCentre == s.self.DataCentre {
			return 0
		}
		return 1
	}
	peers = slices.DeleteFunc(peers, func(p cornelwall.PeerCapacity) bool { return p.Leaving })
	slices.SortFunc(peers, func(p, q cornelwall.PeerCapacity) int {
		return cmp.Or(cmp.Compare(far(&p), far(&q)), cmp.Compare(s.sent.estimateFree(&q, need), s.sent.estimateFree(&p, need)), p.ID.Compare(q.ID))
	})
	return peers
}

// sendRequest sends a want.
func (s *Placer) sendRequest(now time.Time, d cornelwall.PlacerHost, p *cornelwall.PeerCapacity, need cornelwall.Need, n int, life time.Duration) {
	class, rank := d.Head(need)
	d.Send(p.ID, cornelwall.Message{LoanRequest: &cornelwall.LoanRequest{
		Need: need, Count: n, Class: class, Age: cornelwall.Duration(now.Sub(rank)),
		TTL: cornelwall.Duration(life), Free: s.lender.freeSlots(),
	}})
	k := &sentRequest{count: n, expires: now.Add(requestTimeout)}
	if life > 0 {
		k.expires, k.standing = now.Add(life), true
	} else {
		s.sent.recordFree(now, p.ID, max(0, s.sent.estimateFree(p, need)-n))
	}
	s.sent.open[sentKey{p.ID, need}] = k
}

// sendStandingRequests puts wants into the queues of a few peers, each for the share of the tasks
// that its machines are of all.
func (s *Placer) sendStandingRequests(now time.Time, d cornelwall.PlacerHost, peers []cornelwall.PeerCapacity, need cornelwall.Need, short int) {
	all := s.lender.slots
	for i := range peers {
		all += peers[i].Capacity.Slots
	}
	left := maxStandingLenders - s.sent.standing(need)
	for i := range peers {
		share := short
		if need.Kind() == cornelwall.Executor {
			share = short * peers[i].Capacity.Slots / max(1, all)
		}
		if left <= 0 || share == 0 || s.sent.open[sentKey{peers[i].ID, need}] != nil {
			continue
		}
		s.sendRequest(now, d, &peers[i], need, share, standingTTL)
		left--
	}
}

// withdrawRequests takes back the standing wants of needs that nothing waits for any longer.
func (s *Placer) withdrawRequests(now time.Time, d cornelwall.PlacerHost) {
	var gone []sentKey
	for key, k := range s.sent.open {
		if k.standing && d.Waiting(key.need) == 0 {
			gone = append(gone, key)
		}
	}
	slices.SortFunc(gone, func(a, b sentKey) int { return cmp.Or(a.lender.Compare(b.lender), compareNeeds(a.need, b.need)) })
	for _, key := range gone {
		delete(s.sent.open, key)
		d.Send(key.lender, cornelwall.Message{LoanRequest: &cornelwall.LoanRequest{Need: key.need, Free: s.lender.freeSlots()}})
	}
}
