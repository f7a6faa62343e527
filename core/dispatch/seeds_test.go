package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// seededPair is two entries that have each other as seeds.
type seededPair struct {
	now    time.Time
	ids    [2]cornelwall.Incarnation
	cores  map[cornelwall.Incarnation]*Core
	byAddr map[netip.AddrPort]cornelwall.Incarnation
	queue  []seededSend
	cut    bool // nothing that the second entry sends arrives
}

type seededSend struct {
	from cornelwall.Incarnation
	cornelwall.Send
}

func newSeededPair() *seededPair {
	p := &seededPair{
		now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC), ids: [2]cornelwall.Incarnation{{DataCentre: "dc0", Entry: "e1", Epoch: 1}, {DataCentre: "dc0", Entry: "e2", Epoch: 1}},
		cores: map[cornelwall.Incarnation]*Core{}, byAddr: map[netip.AddrPort]cornelwall.Incarnation{},
	}
	seeds := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7001"), netip.MustParseAddrPort("10.0.0.2:7001")}
	for i, id := range p.ids {
		p.byAddr[seeds[i]] = id
		p.cores[id] = New(Config{Self: id, Addr: seeds[i], Seeds: seeds, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, p.now)
	}
	return p
}

func (p *seededPair) step(id cornelwall.Incarnation, ev cornelwall.Event) {
	for _, cmd := range p.cores[id].Step(p.now, ev) {
		if s, ok := cmd.(cornelwall.Send); ok && !(p.cut && id == p.ids[1]) {
			p.queue = append(p.queue, seededSend{id, s})
		}
	}
}

func (p *seededPair) advance(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(5 * time.Millisecond)
		arrived := p.queue
		p.queue = nil
		for _, s := range arrived {
			p.step(p.byAddr[s.Addr], cornelwall.Receive{Envelope: cornelwall.Envelope{From: s.from, To: s.To, Messages: []cornelwall.Message{s.Message}}})
		}
		for _, id := range p.ids {
			p.step(id, cornelwall.Tick{})
		}
	}
}

// bringPlatform gives an entry what it reads from the platform.
func (p *seededPair) bringPlatform(id cornelwall.Incarnation) {
	var members []cornelwall.Member
	for addr, id := range p.byAddr {
		members = append(members, cornelwall.Member{ID: id, Addr: addr})
	}
	p.step(id, cornelwall.QueueConfigRead{Config: &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}}}})
	p.step(id, endpointsListed([]cornelwall.Endpoint{{ID: "x1", Service: "s", Addr: netip.MustParseAddrPort("10.0.1.1:80"), DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 8000}}}))
	p.step(id, cornelwall.MembersListed{List: members})
}

// inTouch reports whether each of the entries can assign tasks to the other.
func (p *seededPair) inTouch() bool {
	return p.cores[p.ids[0]].canAssign(p.cores[p.ids[0]].peers[p.ids[1]]) && p.cores[p.ids[1]].canAssign(p.cores[p.ids[1]].peers[p.ids[0]])
}

// TestEntriesThatAskedTheirSeedsStayInTouch lets entries contact each other as seeds after they have exchanged heartbeats. Those
// that follow must not count as delayed.
func TestEntriesThatAskedTheirSeedsStayInTouch(t *testing.T) {
	t.Run("started without the platform", func(t *testing.T) {
		p := newSeededPair()
		p.advance(5 * time.Second)
		for _, id := range p.ids {
			p.bringPlatform(id)
		}
		p.advance(time.Second)
		assert.Assert(t, p.inTouch())
	})
	t.Run("platform and peer lost for a moment", func(t *testing.T) {
		p := newSeededPair()
		for _, id := range p.ids {
			p.bringPlatform(id)
		}
		p.advance(5 * time.Second)
		p.step(p.ids[0], cornelwall.PlatformLost{})
		p.cut = true
		p.advance(600 * time.Millisecond)
		p.cut = false
		p.advance(2 * time.Second)
		assert.Assert(t, p.inTouch())
	})
}

// TestEntriesWithoutListsExchangeFewHeartbeats guards against heartbeats that answer each other without pause.
func TestEntriesWithoutListsExchangeFewHeartbeats(t *testing.T) {
	p := newSeededPair()
	sent := 0
	for range 400 {
		p.advance(5 * time.Millisecond)
		sent += len(p.queue)
	}
	assert.Assert(t, sent <= 2*2*int(time.Second/replyInterval), "%d heartbeats in 2 s", sent)
}
