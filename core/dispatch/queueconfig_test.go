package dispatch

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// configFleet is an entry with peers that send it heartbeats.
type configFleet struct {
	now   time.Time
	core  *Core
	self  cornelwall.Incarnation
	peers []cornelwall.Member
	seq   uint64
	asked []cornelwall.Incarnation // entries that were asked for their queue configuration
	sent  []cornelwall.Send        // heartbeats
}

func queueConfig(version uint64, names ...string) *cornelwall.QueueConfig {
	cfg := &cornelwall.QueueConfig{Version: version}
	for _, name := range names {
		cfg.Queues = append(cfg.Queues, cornelwall.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Service: "s"})
	}
	return cfg
}

func newConfigFleet(peers int) *configFleet {
	f := &configFleet{
		now:  time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC),
		self: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e0", Epoch: 1},
	}
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7001)
	}
	f.core = New(Config{Self: f.self, Addr: addr(0), Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, f.now)
	for i := 1; i <= peers; i++ {
		f.peers = append(f.peers, cornelwall.Member{ID: cornelwall.Incarnation{DataCentre: "dc0", Entry: fmt.Sprintf("e%d", i), Epoch: 1}, Addr: addr(i)})
	}
	return f
}

// step passes an event to the entry and returns what it emits.
func (f *configFleet) step(ev cornelwall.Event) []cornelwall.Command {
	cmds := f.core.Step(f.now, ev)
	for _, cmd := range cmds {
		if fetch, ok := cmd.(cornelwall.FetchQueueConfig); ok {
			f.asked = append(f.asked, fetch.From)
		}
		if s, ok := cmd.(cornelwall.Send); ok && s.Message.SessionHeartbeat != nil {
			f.sent = append(f.sent, s)
		}
	}
	return cmds
}

func (f *configFleet) receive(from cornelwall.Member, m cornelwall.Message) []cornelwall.Command {
	return f.step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: from.ID, To: f.self, Messages: []cornelwall.Message{m}}})
}

// heartbeats sends the entry a heartbeat of each peer, with a version of the queue configuration.
func (f *configFleet) heartbeats(version uint64, platformLost bool) {
	f.seq++
	for _, p := range f.peers {
		f.receive(p, cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{
			Addr: p.Addr, Seq: f.seq, Session: 1, Version: version, PlatformLost: platformLost,
		}})
	}
}

// hear lets time pass, with a heartbeat of each peer every heartbeatInterval.
func (f *configFleet) hear(d time.Duration, version uint64, platformLost bool) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(heartbeatInterval) {
		f.heartbeats(version, platformLost)
		f.step(cornelwall.Tick{})
	}
}

// count asks for the number of waiting batches under a path.
func (f *configFleet) count(path string) (reply cornelwall.ReplyWaiting) {
	for _, cmd := range f.step(cornelwall.CountWaiting{Req: 1, Host: "h", Path: path}) {
		if r, ok := cmd.(cornelwall.ReplyWaiting); ok {
			reply = r
		}
	}
	return reply
}

// submit submits a batch under a path and returns the answer.
func (f *configFleet) submit(path string) (answer cornelwall.BatchAnswer) {
	for _, cmd := range f.step(cornelwall.SubmitBatch{Req: 2, Host: "h", Path: path + "00000000000000ab", TimeLeft: time.Second, Batch: &cornelwall.BatchJob{
		ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 1000}, Estimate: 10 * time.Millisecond}},
	}}) {
		if r, ok := cmd.(cornelwall.ReplyBatch); ok {
			answer = r.Answer
		}
	}
	return answer
}

// TestEntryThatIsBehindAsksOnePeerAtATime guards against answers of many peers that fill the link of the entry that asked.
func TestEntryThatIsBehindAsksOnePeerAtATime(t *testing.T) {
	f := newConfigFleet(30)
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
	f.hear(2*time.Second, 2, false)
	assert.Equal(t, len(f.asked), 1, "requests that wait for an answer at the same time")
}

// TestServedConfigKeepsItsContent guards against a version that reaches a peer with the queues of another.
func TestServedConfigKeepsItsContent(t *testing.T) {
	f := newConfigFleet(1)
	var served []*cornelwall.QueueConfig
	for _, cfg := range []*cornelwall.QueueConfig{queueConfig(1, "a"), queueConfig(2, "a", "b")} {
		for _, cmd := range f.step(cornelwall.QueueConfigRead{Config: cfg}) {
			if s, ok := cmd.(cornelwall.ServeQueueConfig); ok {
				served = append(served, s.Config)
			}
		}
	}
	assert.DeepEqual(t, served, []*cornelwall.QueueConfig{queueConfig(1, "a"), queueConfig(2, "a", "b")})
}

// TestCountWithoutConfigIsNotAnsweredAsUnknownQueue guards against an entry that has just started and denies every queue.
func TestCountWithoutConfigIsNotAnsweredAsUnknownQueue(t *testing.T) {
	f := newConfigFleet(1)
	assert.Assert(t, f.count("/a/").RetryAfter > 0)
}

// TestUnknownQueueIsRefusedWhileConfigMayBeOld guards against a final answer by an entry that lacks the newest configuration.
func TestUnknownQueueIsRefusedWhileConfigMayBeOld(t *testing.T) {
	for _, tc := range []struct {
		name    string
		do      func(*configFleet)
		unknown bool // the queue is certainly unknown
	}{
		{"in touch", func(f *configFleet) { f.hear(time.Second, 1, false) }, true},
		{"a peer has a newer one", func(f *configFleet) { f.hear(time.Second, 2, false) }, false},
		{"platform lost, peers read it", func(f *configFleet) {
			f.step(cornelwall.PlatformLost{})
			f.hear(time.Second, 1, false)
		}, true},
		{"platform lost, peers have lost it too", func(f *configFleet) {
			f.step(cornelwall.PlatformLost{})
			f.hear(time.Second, 1, true)
		}, false},
		{"platform lost, no peer", func(f *configFleet) {
			f.step(cornelwall.PlatformLost{})
			f.now = f.now.Add(time.Second)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newConfigFleet(3)
			f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
			f.step(cornelwall.MembersListed{List: f.peers})
			tc.do(f)
			count, answer := f.count("/b/"), f.submit("/b/")
			if tc.unknown {
				assert.Equal(t, count.RetryAfter, time.Duration(0))
				assert.Equal(t, answer.End, cornelwall.BatchUnknown)
				return
			}
			assert.Assert(t, count.RetryAfter > 0)
			assert.Equal(t, answer.End, cornelwall.BatchRefused)
			assert.Assert(t, answer.RetryAfter > 0)
		})
	}
}

// fetched reports the end of the last fetch to the entry.
func (f *configFleet) fetched(result cornelwall.FetchResult, cfg *cornelwall.QueueConfig) {
	f.step(cornelwall.QueueConfigFetched{From: f.asked[len(f.asked)-1], Result: result, Config: cfg})
}

// TestStoreIsLeftTimeBeforePeerIsAsked guards against a configuration that crosses every link twice on each change.
func TestStoreIsLeftTimeBeforePeerIsAsked(t *testing.T) {
	for _, tc := range []struct {
		name         string
		platformLost bool
		after        time.Duration // of hearing of the newer version
		asked        int
	}{
		{"the platform answers", false, storeHeadStart / 2, 0},
		{"the store did not bring it", false, 2 * storeHeadStart, 1},
		{"the platform is lost", true, storeHeadStart / 2, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newConfigFleet(3)
			f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
			f.step(cornelwall.MembersListed{List: f.peers})
			if tc.platformLost {
				f.step(cornelwall.PlatformLost{})
			}
			f.hear(tc.after, 2, false)
			assert.Equal(t, len(f.asked), tc.asked)
		})
	}
}

// TestFetchThatFailsGoesToAnotherPeer guards against an entry that waits for a peer that cannot answer.
func TestFetchThatFailsGoesToAnotherPeer(t *testing.T) {
	for _, result := range []cornelwall.FetchResult{cornelwall.FetchBusy, cornelwall.FetchFailed} {
		t.Run(result.String(), func(t *testing.T) {
			f := newConfigFleet(3)
			f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
			f.hear(time.Second, 2, false)
			f.fetched(result, nil)
			f.hear(time.Second, 2, false)
			assert.Equal(t, len(f.asked), 2)
			assert.Assert(t, f.asked[0] != f.asked[1])
			f.fetched(cornelwall.FetchDone, queueConfig(2, "a", "b"))
			assert.Assert(t, f.count("/b/").Found)
			f.hear(time.Second, 2, false)
			assert.Equal(t, len(f.asked), 2, "asks although nobody has a newer version")
		})
	}
}

// TestFetchesThatFailGetRarer guards against requests without pause while no peer can answer.
func TestFetchesThatFailGetRarer(t *testing.T) {
	f := newConfigFleet(30)
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
	f.hear(time.Second, 2, false)
	for range 100 {
		f.hear(heartbeatInterval, 2, false)
		if len(f.core.fetchingFrom) > 0 {
			f.fetched(cornelwall.FetchFailed, nil)
		}
	}
	assert.Assert(t, len(f.asked) <= 15, "%d fetches in 10 s", len(f.asked))
}

// TestFetchedConfigThatIsOlderIsIgnored guards against a version that comes back.
func TestFetchedConfigThatIsOlderIsIgnored(t *testing.T) {
	f := newConfigFleet(1)
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
	f.hear(time.Second, 2, false)
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(3, "c")})
	f.fetched(cornelwall.FetchDone, queueConfig(2, "b"))
	assert.Assert(t, f.count("/c/").Found)
	assert.Assert(t, !f.count("/b/").Found)
}

// TestNewerVersionDuringFetchIsFetchedNext guards against an entry that stays behind when a newer version appears during a fetch.
func TestNewerVersionDuringFetchIsFetchedNext(t *testing.T) {
	f := newConfigFleet(1)
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
	f.hear(time.Second, 2, false)
	f.hear(time.Second, 3, false)
	f.fetched(cornelwall.FetchDone, queueConfig(2, "b"))
	f.hear(time.Second, 3, false)
	assert.Equal(t, len(f.asked), 2)
}

// TestEntryWhoseDataCentreLostPlatformAsksOthers guards against entries that are all behind, and hear only each other.
func TestEntryWhoseDataCentreLostPlatformAsksOthers(t *testing.T) {
	f := newConfigFleet(20)
	for i := 10; i < 20; i++ {
		f.peers[i].ID.DataCentre = "dc1"
	}
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
	f.step(cornelwall.MembersListed{List: f.peers})
	f.step(cornelwall.PlatformLost{})
	f.peers = f.peers[:10]
	f.hear(time.Second, 1, true)
	assert.Assert(t, slices.ContainsFunc(f.sent, func(s cornelwall.Send) bool { return s.To.DataCentre != f.self.DataCentre }))
}

// TestSecondPeerIsAskedBesideOneThatIsSlow guards against a supplier on a bad link that holds up an entry for as long as bytes trickle.
func TestSecondPeerIsAskedBesideOneThatIsSlow(t *testing.T) {
	f := newConfigFleet(30)
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
	f.hear(10*slowFetchTime, 2, false)
	assert.Equal(t, len(f.asked), maxFetches)
	assert.Assert(t, f.asked[0] != f.asked[1])
}

// TestBusyPeerIsAskedAgainBesideSilentOnes guards against an entry that waits for peers that are gone, as the only live one is busy.
func TestBusyPeerIsAskedAgainBesideSilentOnes(t *testing.T) {
	f := newConfigFleet(20)
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
	f.heartbeats(2, true)
	f.peers = f.peers[:1]
	f.hear(2*deadTimeout, 2, true)
	live := f.peers[0].ID
	for i := range 5 {
		f.step(cornelwall.QueueConfigFetched{From: f.asked[len(f.asked)-1], Result: cornelwall.FetchBusy})
		f.hear(2*time.Second, 2, true)
		assert.Equal(t, f.asked[len(f.asked)-1], live, "fetch %d", i)
	}
}

// TestVersionThatNobodyHasIsForgotten guards against an entry that refuses unknown queues for good since a peer told of a version wrongly.
func TestVersionThatNobodyHasIsForgotten(t *testing.T) {
	newFleet := func() *configFleet {
		f := newConfigFleet(3)
		f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
		f.step(cornelwall.MembersListed{List: f.peers})
		f.hear(time.Second, 1, false)
		f.seq++
		f.receive(f.peers[0], cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: f.peers[0].Addr, Seq: f.seq, Session: 1, Version: 100}})
		assert.Assert(t, f.count("/b/").RetryAfter > 0)
		return f
	}
	t.Run("the peer has none", func(t *testing.T) {
		f := newFleet()
		f.hear(time.Second, 1, false)
		f.fetched(cornelwall.FetchNoNewer, nil)
		assert.Equal(t, f.count("/b/").RetryAfter, time.Duration(0))
	})
	t.Run("the peer is gone", func(t *testing.T) {
		f := newFleet()
		f.peers = f.peers[1:]
		f.step(cornelwall.MembersListed{List: f.peers})
		f.hear(2*forgetAfter, 1, false)
		assert.Equal(t, f.count("/b/").RetryAfter, time.Duration(0))
	})
}

// TestPeerThatFailedIsAskedLast guards against time that is lost on a peer that has just failed, while another is only busy.
func TestPeerThatFailedIsAskedLast(t *testing.T) {
	f := newConfigFleet(2)
	f.step(cornelwall.QueueConfigRead{Config: queueConfig(1, "a")})
	f.hear(time.Second, 2, false)
	failed := f.asked[0]
	f.fetched(cornelwall.FetchFailed, nil)
	for i := range 3 {
		f.hear(4*heartbeatInterval, 2, false)
		assert.Equal(t, len(f.asked), i+2)
		assert.Assert(t, f.asked[i+1] != failed)
		f.fetched(cornelwall.FetchBusy, nil)
	}
}

// TestMembersAreSentRarely guards against lists of all members that fill the link of an entry without a list of endpoints.
func TestMembersAreSentRarely(t *testing.T) {
	f := newConfigFleet(1)
	for range 100 {
		f.seq++
		f.receive(f.peers[0], cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: f.peers[0].Addr, Seq: f.seq, Session: 1, NoEndpointList: true}})
		f.now = f.now.Add(replyInterval)
	}
	withMembers := 0
	for _, s := range f.sent {
		if len(s.Message.SessionHeartbeat.Members) > 0 {
			withMembers++
		}
	}
	assert.Assert(t, withMembers > 1)
	assert.Assert(t, withMembers <= 1+int(100*replyInterval/membersInterval), "%d of %d heartbeats", withMembers, len(f.sent))
}
