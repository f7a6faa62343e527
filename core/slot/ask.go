package slot

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	askWait     = 10 * time.Millisecond  // for the loans that an ask brings
	payNear     = time.Millisecond       // of waiting, from which asking this data centre pays
	payFar      = 20 * time.Millisecond  // and other data centres
	payStanding = 600 * time.Millisecond // and standing in the queue of homes with nothing free
	payTasks    = 3                      // or as many task times, if that is less
	standing    = 10 * time.Second       // life of a want that stands
	maxStanding = 2                      // homes in whose queues the tasks of a need stand
	heldUp      = 200 * time.Millisecond // of waiting past its rank, from which a job waits for stragglers
	minFree     = 6                      // slots that a home must have had free, as the word of it is old
	askPause    = 2 * time.Millisecond   // between two looks for peers with room
)

// askKey is a home and what it was asked for.
type askKey struct {
	to   cornelwall.Incarnation
	need cornelwall.Need
}

// ask is a want that was sent.
type ask struct {
	count    int
	until    time.Time
	standing bool
}

// hint is what a home was last known to have free.
type hint struct {
	free int
	at   time.Time
}

// asks holds the wants that were sent and what is known of the homes.
type asks struct {
	open  map[askKey]*ask
	hints map[cornelwall.Incarnation]hint
	next  map[cornelwall.Need]time.Time // no look for peers before
}

func newAsks() *asks {
	return &asks{open: map[askKey]*ask{}, hints: map[cornelwall.Incarnation]hint{}, next: map[cornelwall.Need]time.Time{}}
}

// spoken returns how many waiting tasks of the need have a loan on its way to them.
func (a *asks) spoken(now time.Time, need cornelwall.Need) int {
	n := 0
	for key, k := range a.open {
		if key.need == need && !k.standing && now.Before(k.until) {
			n += k.count
		}
	}
	return n
}

// standing returns the number of homes in whose queues tasks of the need stand.
func (a *asks) standing(need cornelwall.Need) int {
	n := 0
	for key, k := range a.open {
		if key.need == need && k.standing {
			n++
		}
	}
	return n
}

// met takes a loan off what was asked for.
func (a *asks) met(from cornelwall.Incarnation, need cornelwall.Need, n int) {
	key := askKey{from, need}
	k := a.open[key]
	if k == nil {
		return
	}
	if k.count -= n; k.count <= 0 {
		delete(a.open, key)
	}
}

// expire drops the asks that brought nothing.
func (a *asks) expire(now time.Time) {
	for key, k := range a.open {
		if !now.Before(k.until) {
			delete(a.open, key)
		}
	}
}

func (a *asks) lost(id cornelwall.Incarnation) {
	delete(a.hints, id)
	for key := range a.open {
		if key.to == id {
			delete(a.open, key)
		}
	}
}

// heard records what a home says to have free.
func (a *asks) heard(now time.Time, from cornelwall.Incarnation, free int) {
	a.hints[from] = hint{free: free, at: now}
}

// free returns how many tasks of the need a peer is thought to have room for.
func (a *asks) free(p *cornelwall.PeerCapacity, need cornelwall.Need) int {
	if need.Kind() == cornelwall.Worker {
		return units(p.Capacity.Workers, need)
	}
	if h, ok := a.hints[p.ID]; ok && h.at.After(p.At) {
		return h.free
	}
	return p.Capacity.Free
}

// units returns how often the need fits into the room.
func units(room, need cornelwall.Need) int {
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

// lookAround asks peers for machines if that ends the wait of tasks sooner than the
// machines at hand do: first those that have something free, the near ones before the
// far ones; if the wait is long then a few others, to stand in their queues.
func (s *Loans) lookAround(now time.Time, d cornelwall.PlacerHost, need cornelwall.Need) {
	if now.Before(s.asks.next[need]) {
		return
	}
	short := d.Waiting(need) - s.asks.spoken(now, need)
	each := d.ExpectedRunTime()
	if s.waits(now, d, short, each, need) < payNear {
		return
	}
	s.asks.next[need] = now.Add(askPause)
	peers := s.inOrder(d.Peers(), need)
	for i := range peers {
		p := &peers[i]
		free := s.asks.free(p, need)
		if free < s.leastFree(p, need) || s.waits(now, d, short, each, need) < s.pays(p) || s.asks.open[askKey{p.ID, need}] != nil {
			continue
		}
		n := min(short, free)
		s.ask(now, d, p, need, n, 0)
		short -= n
	}
	if s.waits(now, d, short, each, need) > min(payStanding, payTasks*each) {
		s.stand(now, d, peers, need, short)
	}
}

// leastFree returns how much a peer must have free to be asked: less of a small home,
// and anything if this entry has no machines itself.
func (s *Loans) leastFree(p *cornelwall.PeerCapacity, need cornelwall.Need) int {
	if need.Kind() == cornelwall.Worker || s.home.slots == 0 {
		return 1
	}
	return max(1, min(minFree, p.Capacity.Slots/4))
}

// pays returns the wait from which asking a peer pays.
func (s *Loans) pays(p *cornelwall.PeerCapacity) time.Duration {
	if p.ID.DataCentre == s.self.DataCentre {
		return payNear
	}
	return payFar
}

// wait returns how long so many tasks wait for the machines at hand.
func (s *Loans) wait(short int, each time.Duration, need cornelwall.Need) time.Duration {
	if short <= 0 {
		return 0
	}
	slots := s.using[need.Kind()]
	if need.Kind() == cornelwall.Executor {
		slots = max(slots, s.home.slots)
	}
	return time.Duration(float64(short) * float64(each) / float64(max(1, slots)))
}

// waits returns how long so many tasks wait: as long as is expected, or as the next job
// has waited already if the machines at hand are held by stragglers.
func (s *Loans) waits(now time.Time, d cornelwall.PlacerHost, short int, each time.Duration, need cornelwall.Need) time.Duration {
	expected := s.wait(short, each, need)
	_, rank := d.Head(need)
	if waited := now.Sub(rank); short > 0 && waited >= heldUp {
		return max(expected, waited)
	}
	return expected
}

// inOrder returns the peers that stay, the near ones first, and those with the most free first.
func (s *Loans) inOrder(peers []cornelwall.PeerCapacity, need cornelwall.Need) []cornelwall.PeerCapacity {
	far := func(p *cornelwall.PeerCapacity) int {
		if p.ID.DataCentre == s.self.DataCentre {
			return 0
		}
		return 1
	}
	peers = slices.DeleteFunc(peers, func(p cornelwall.PeerCapacity) bool { return p.Leaving })
	slices.SortFunc(peers, func(p, q cornelwall.PeerCapacity) int {
		return cmp.Or(cmp.Compare(far(&p), far(&q)), cmp.Compare(s.asks.free(&q, need), s.asks.free(&p, need)), p.ID.Compare(q.ID))
	})
	return peers
}

// ask sends a want.
func (s *Loans) ask(now time.Time, d cornelwall.PlacerHost, p *cornelwall.PeerCapacity, need cornelwall.Need, n int, life time.Duration) {
	class, rank := d.Head(need)
	d.Send(p.ID, cornelwall.Message{LoanRequest: &cornelwall.LoanRequest{
		Need: need, Count: n, Class: class, Age: cornelwall.Duration(now.Sub(rank)),
		TTL: cornelwall.Duration(life), Free: s.home.free(),
	}})
	k := &ask{count: n, until: now.Add(askWait)}
	if life > 0 {
		k.until, k.standing = now.Add(life), true
	} else {
		s.asks.heard(now, p.ID, max(0, s.asks.free(p, need)-n))
	}
	s.asks.open[askKey{p.ID, need}] = k
}

// stand puts wants into the queues of a few peers, each for the share of the tasks
// that its machines are of all.
func (s *Loans) stand(now time.Time, d cornelwall.PlacerHost, peers []cornelwall.PeerCapacity, need cornelwall.Need, short int) {
	all := s.home.slots
	for i := range peers {
		all += peers[i].Capacity.Slots
	}
	left := maxStanding - s.asks.standing(need)
	for i := range peers {
		share := short
		if need.Kind() == cornelwall.Executor {
			share = short * peers[i].Capacity.Slots / max(1, all)
		}
		if left <= 0 || share == 0 || s.asks.open[askKey{peers[i].ID, need}] != nil {
			continue
		}
		s.ask(now, d, &peers[i], need, share, standing)
		left--
	}
}

// withdraw takes back the standing wants of needs that nothing waits for any longer.
func (s *Loans) withdraw(now time.Time, d cornelwall.PlacerHost) {
	var gone []askKey
	for key, k := range s.asks.open {
		if k.standing && d.Waiting(key.need) == 0 {
			gone = append(gone, key)
		}
	}
	slices.SortFunc(gone, func(a, b askKey) int { return cmp.Or(a.to.Compare(b.to), compareNeeds(a.need, b.need)) })
	for _, key := range gone {
		delete(s.asks.open, key)
		d.Send(key.to, cornelwall.Message{LoanRequest: &cornelwall.LoanRequest{Need: key.need, Free: s.home.free()}})
	}
}
