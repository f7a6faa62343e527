package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

const peerTimeout = 3 * time.Second // of the default settings

var (
	delivered           = fake.Fate{Delays: []time.Duration{time.Millisecond}}
	reportedUndelivered = fake.Fate{Told: time.Millisecond}
)

// hasMessage reports whether one of the messages is of the kind.
func hasMessage(e cornelwall.Envelope, kind func(m *cornelwall.Message) bool) bool {
	for i := range e.Messages {
		if kind(&e.Messages[i]) {
			return true
		}
	}
	return false
}

func isForward(m *cornelwall.Message) bool      { return m.Forward != nil }
func isForwardReply(m *cornelwall.Message) bool { return m.ForwardReply != nil }

// TestLostMessages loses, doubles and delays the forwards and the answers to them. The
// caller is answered all the same, without many messages, and tasks start once.
func TestLostMessages(t *testing.T) {
	for _, tt := range []struct {
		name   string
		fate   func(e cornelwall.Envelope, nth int) fake.Fate // of the nth envelope with a forward or an answer
		within time.Duration
	}{
		{"forward lost", func(e cornelwall.Envelope, n int) fake.Fate {
			if hasMessage(e, isForward) && n == 0 {
				return fake.Fate{}
			}
			return delivered
		}, 10 * time.Second},
		{"answer lost", func(e cornelwall.Envelope, n int) fake.Fate {
			if hasMessage(e, isForwardReply) && n < 2 {
				return fake.Fate{}
			}
			return delivered
		}, 10 * time.Second},
		{"forward refused twice", func(e cornelwall.Envelope, n int) fake.Fate {
			if hasMessage(e, isForward) && n < 2 {
				return reportedUndelivered
			}
			return delivered
		}, 2 * time.Second},
		{"answer refused four times", func(e cornelwall.Envelope, n int) fake.Fate {
			if hasMessage(e, isForwardReply) && n < 5 {
				return reportedUndelivered
			}
			return delivered
		}, 5 * time.Second},
		{"arrived and told as lost", func(cornelwall.Envelope, int) fake.Fate {
			return fake.Fate{Delays: []time.Duration{time.Millisecond}, Told: 2 * time.Millisecond}
		}, 2 * time.Second},
		{"doubled and late", func(cornelwall.Envelope, int) fake.Fate {
			return fake.Fate{Delays: []time.Duration{time.Millisecond, 700 * time.Millisecond}}
		}, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 1, 2)
			nth := 0
			c.Link = func(_, _ cornelwall.Incarnation, e cornelwall.Envelope) fake.Fate {
				if !hasMessage(e, isForward) && !hasMessage(e, isForwardReply) {
					return delivered
				}
				nth++
				return tt.fate(e, nth-1)
			}
			a := c.awaitAnswer(c.submit("dc0-e1", c.draw("dc0-e0"), 3), tt.within)
			assert.Equal(t, a.Outcome, cornelwall.Done, "%+v", a)
			c.Advance(20 * time.Second)
			assert.Assert(t, nth <= 12, "%d envelopes with forwards and answers", nth)
			for task, n := range c.starts {
				assert.Equal(t, n, 1, task)
			}
		})
	}
}

// TestOneWayPartition cuts the way to the owner but not the way back: the owner seems alive,
// and the caller is told in time all the same.
func TestOneWayPartition(t *testing.T) {
	c := newCluster(t, 1, 2)
	tk := c.draw("dc0-e0")
	owner := c.hosts["dc0-e0"].Self
	c.Link = func(_, to cornelwall.Incarnation, _ cornelwall.Envelope) fake.Fate {
		if to == owner {
			return reportedUndelivered
		}
		return delivered
	}
	a := c.awaitAnswer(c.submit("dc0-e1", tk, 1), peerTimeout+time.Second)
	assert.Equal(t, a.Outcome, cornelwall.Unknown)
	assert.Assert(t, !a.Final && a.RetryAfter > 0, "%+v", a)
	before := c.Envelopes
	c.Advance(10 * time.Second)
	assert.Assert(t, c.Envelopes-before < 100, "%d envelopes in 10 s", c.Envelopes-before)
	assert.Assert(t, c.retries[cornelwall.ReasonOwnerAway] > 0)
}

// TestFrozenOwner asks for a job while its owner is frozen, and once it goes on.
func TestFrozenOwner(t *testing.T) {
	for _, tt := range []struct {
		name string
		via  string
	}{
		{"near", "dc0-e1"},
		{"other data centre", "dc1-e0"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 2, 2)
			tk := c.draw("dc0-e0")
			owner := c.hosts["dc0-e0"]
			c.Freeze(owner)
			a := c.awaitAnswer(c.submit(tt.via, tk, 1), peerTimeout+time.Second)
			assert.Equal(t, a.Outcome, cornelwall.Unknown)
			assert.Assert(t, !a.Final && a.RetryAfter > 0, "%+v", a)
			a = c.awaitAnswer(c.submit(tt.via, tk, 1), time.Second+peerTimeout)
			assert.Assert(t, !a.Final)
			c.Thaw(owner)
			c.Advance(time.Second)
			a = c.awaitAnswer(c.submit(tt.via, tk, 1), 2*time.Second)
			assert.Equal(t, a.Outcome, cornelwall.Done, "%+v", a)
			for task, n := range c.starts {
				assert.Equal(t, n, 1, task)
			}
		})
	}
}

// TestCrashedOwner asks for a job whose owner has crashed: the answer is final only
// once the owner is proven gone and no other entry knows an heir.
func TestCrashedOwner(t *testing.T) {
	c := newCluster(t, 2, 2)
	tk := c.draw("dc0-e0")
	c.hosts["dc0-e0"].Dead = true
	for range 2 {
		a := c.awaitAnswer(c.fetch("dc1-e1", tk), peerTimeout+time.Second)
		assert.Equal(t, a.Outcome, cornelwall.Unknown)
		assert.Assert(t, !a.Final && a.RetryAfter > 0, "%+v", a)
	}
	c.start("dc0-e0")
	c.Advance(time.Second)
	for _, name := range c.names() {
		a := c.awaitAnswer(c.fetch(name, tk), 2*time.Second)
		assert.Equal(t, a.Outcome, cornelwall.Unknown)
		assert.Assert(t, a.Final, "%s: %+v", name, a)
	}
}

// TestLaggingVMList takes a live entry off the VM list of all others, and puts an entry
// into service that the list does not name yet.
func TestLaggingVMList(t *testing.T) {
	c := newCluster(t, 2, 2)
	tk := c.draw("dc0-e0")
	c.unlisted["dc0-e0"] = true
	c.postMachines()
	c.Advance(5 * time.Second)
	a := c.awaitAnswer(c.submit("dc1-e1", tk, 1), 2*time.Second)
	assert.Equal(t, a.Outcome, cornelwall.Done, "%+v", a)

	c.unlisted["dc1-e0"] = true
	c.start("dc1-e0")
	tk = c.draw("dc1-e0")
	young := c.start("dc0-e1") // reads a list without dc1-e0 and has not heard of it
	c.Link = func(_, to cornelwall.Incarnation, _ cornelwall.Envelope) fake.Fate {
		if to == young.Self {
			return fake.Fate{}
		}
		return delivered
	}
	a = c.awaitAnswer(c.submit("dc0-e1", tk, 1), peerTimeout+time.Second)
	assert.Assert(t, !a.Final, "%+v", a)
}

// TestLateHeartbeat delivers a heartbeat of a life that has long been replaced to an entry
// that never heard of it, many times.
func TestLateHeartbeat(t *testing.T) {
	c := newCluster(t, 1, 2)
	tk := c.draw("dc0-e0")
	now := c.hosts["dc0-e0"].Self
	for _, life := range []uint64{99, 98, 97} { // random lives have no order in time
		past := now
		past.Epoch = life
		late := cornelwall.Envelope{From: past, To: c.hosts["dc0-e1"].Self,
			Messages: []cornelwall.Message{{Heartbeat: &cornelwall.Heartbeat{Addr: c.hosts["dc0-e0"].Addr}}}}
		c.Post(c.hosts["dc0-e1"], cornelwall.Receive{Envelope: late})
		c.Post(c.hosts["dc0-e1"], cornelwall.Receive{Envelope: late})
		c.Advance(time.Millisecond)
		a := c.awaitAnswer(c.submit("dc0-e1", tk, 1), time.Second)
		assert.Equal(t, a.Outcome, cornelwall.Done, "%+v", a)
	}
}

// TestStrayForwardReply sends answers that are not of the owner, or that belong to a request of
// an earlier life.
func TestStrayForwardReply(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.taskTime = time.Second
	tk, other := c.draw("dc0-e0"), c.draw("dc0-e0")
	req := c.submit("dc0-e1", tk, 1)
	c.Advance(10 * time.Millisecond)
	self := c.hosts["dc0-e1"].Self
	past := self
	past.Epoch = 99
	for _, e := range []cornelwall.Envelope{
		{From: c.hosts["dc0-e2"].Self, To: self, Messages: []cornelwall.Message{{ForwardReply: &cornelwall.ForwardReply{Req: req,
			Answer: cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Final: true}}}}},
		{From: c.hosts["dc0-e0"].Self, To: self, Messages: []cornelwall.Message{{ForwardReply: &cornelwall.ForwardReply{Req: req,
			Answer: cornelwall.Answer{Ticket: other, Outcome: cornelwall.NotRun, Final: true}}}}},
		{From: c.hosts["dc0-e0"].Self, To: past, Messages: []cornelwall.Message{{ForwardReply: &cornelwall.ForwardReply{Req: req,
			Answer: cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Final: true}}}}},
	} {
		c.Post(c.hosts["dc0-e1"], cornelwall.Receive{Envelope: e})
	}
	assert.Equal(t, c.awaitAnswer(req, 3*time.Second).Outcome, cornelwall.Done)
}

// TestCallerGone submits jobs whose callers go away at once, here and at another entry.
func TestCallerGone(t *testing.T) {
	c := newCluster(t, 1, 2)
	for _, via := range []string{"dc0-e0", "dc0-e1"} {
		tk := c.draw("dc0-e0")
		req := c.submit(via, tk, 3)
		c.Post(c.hosts[via], cornelwall.CallerGone{Req: req})
		c.Advance(time.Second)
		_, answered := c.answers[req]
		assert.Assert(t, !answered)
		assert.Equal(t, c.awaitAnswer(c.fetch(via, tk), time.Second).Outcome, cornelwall.Done)
	}
}

// TestFarEntries has more entries than exchange heartbeats with each other: requests
// reach owners that are far, also those that have closed, and a cut is told in time.
func TestFarEntries(t *testing.T) {
	c := newCluster(t, 6, 3)
	var tickets []cornelwall.Ticket
	for _, name := range c.names() {
		tk := c.draw(name)
		tickets = append(tickets, tk)
		assert.Equal(t, c.awaitAnswer(c.submit("dc0-e0", tk, 1), time.Second).Outcome, cornelwall.Done, name)
	}
	c.stop("dc3-e1")
	c.stop("dc4-e2")
	c.start("dc4-e2")
	for _, name := range c.names() {
		if c.hosts[name].Dead {
			continue
		}
		for _, tk := range tickets {
			a := c.awaitAnswer(c.fetch(name, tk), 3*time.Second)
			assert.Equal(t, a.Outcome, cornelwall.Done, "%s asked for %s: %+v", name, tk, a)
		}
	}
	c.Link = func(from, to cornelwall.Incarnation, _ cornelwall.Envelope) fake.Fate {
		if (from.DataCentre == "dc0") != (to.DataCentre == "dc0") {
			return fake.Fate{Told: 2 * time.Second}
		}
		return delivered
	}
	for _, tk := range tickets {
		a := c.awaitAnswer(c.fetch("dc0-e0", tk), peerTimeout+time.Second)
		if tk.Owner.Entry == "dc3-e1" || tk.Owner.Entry == "dc4-e2" {
			continue // of which this data centre may have an heir
		}
		if tk.Owner.DataCentre == "dc0" {
			assert.Equal(t, a.Outcome, cornelwall.Done)
			continue
		}
		assert.Equal(t, a.Outcome, cornelwall.Unknown)
		assert.Assert(t, !a.Final && a.RetryAfter > 0, "%+v", a)
	}
}

// TestFrozenEntryReadsBacklogFirst freezes an entry that waits for an answer: what came meanwhile counts before
// the entry gives up.
func TestFrozenEntryReadsBacklogFirst(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.taskTime = time.Second
	req := c.submit("dc0-e1", c.draw("dc0-e2"), 1)
	c.Advance(100 * time.Millisecond)
	c.Freeze(c.hosts["dc0-e1"])
	c.Advance(10 * time.Second)
	c.Thaw(c.hosts["dc0-e1"])
	assert.Equal(t, c.awaitAnswer(req, time.Second).Outcome, cornelwall.Done)
}

// TestOwnerGoneWhileRefused refuses a forward and then proves the owner gone, while one
// entry that might know an heir is silent. The core must not ask to be woken at once for
// ever, which would never let the clock advance here.
func TestOwnerGoneWhileRefused(t *testing.T) {
	c := newCluster(t, 1, 3)
	tk := c.draw("dc0-e0")
	c.hosts["dc0-e2"].Dead = true
	c.hosts["dc0-e0"].Dead = true
	req := c.submit("dc0-e1", tk, 1)
	c.Advance(10 * time.Millisecond)
	c.start("dc0-e0")
	a := c.awaitAnswer(req, peerTimeout+time.Second)
	assert.Equal(t, a.Outcome, cornelwall.Unknown)
	assert.Assert(t, !a.Final, "%+v", a)
}

// TestIdleMessages counts what 48 entries of 16 data centres send when nothing happens. A
// heartbeat with its HTTP headers and answer is 517 bytes on the wire (BenchmarkBeatOnWire
// in io/peer), and a node may spend 7 KB a second on control.
func TestIdleMessages(t *testing.T) {
	c := newCluster(t, 16, 3)
	const seconds, beatBytes, budget = 60, 517, 7000
	before := c.Envelopes
	c.Advance(seconds * time.Second)
	perSecond := float64(c.Envelopes-before) / seconds / 48
	t.Logf("%.1f envelopes a second and entry", perSecond)
	assert.Assert(t, perSecond*beatBytes < budget, "%.1f envelopes a second and entry", perSecond)
}
