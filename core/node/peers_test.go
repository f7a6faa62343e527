package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

const peerTimeout = 3 * time.Second // default of Config.PeerTimeout

var (
	delivered           = fake.Delivery{Delays: []time.Duration{time.Millisecond}}
	reportedUndelivered = fake.Delivery{ReportAfter: time.Millisecond}
)

// hasMessage reports whether the envelope contains a message that matches.
func hasMessage(e cornelwall.Envelope, match func(m *cornelwall.Message) bool) bool {
	for i := range e.Messages {
		if match(&e.Messages[i]) {
			return true
		}
	}
	return false
}

func isForward(m *cornelwall.Message) bool      { return m.Forward != nil }
func isForwardReply(m *cornelwall.Message) bool { return m.ForwardReply != nil }

// TestLostMessages loses, duplicates and delays forwards and the replies to them. The
// caller must still be answered, with few messages, and each task must start once.
func TestLostMessages(t *testing.T) {
	for _, tt := range []struct {
		name    string
		deliver func(e cornelwall.Envelope, nth int) fake.Delivery // of the nth envelope with a forward or a reply
		within  time.Duration
	}{
		{"forward lost", func(e cornelwall.Envelope, n int) fake.Delivery {
			if hasMessage(e, isForward) && n == 0 {
				return fake.Delivery{}
			}
			return delivered
		}, 10 * time.Second},
		{"reply lost", func(e cornelwall.Envelope, n int) fake.Delivery {
			if hasMessage(e, isForwardReply) && n < 2 {
				return fake.Delivery{}
			}
			return delivered
		}, 10 * time.Second},
		{"forward undelivered twice", func(e cornelwall.Envelope, n int) fake.Delivery {
			if hasMessage(e, isForward) && n < 2 {
				return reportedUndelivered
			}
			return delivered
		}, 2 * time.Second},
		{"reply undelivered four times", func(e cornelwall.Envelope, n int) fake.Delivery {
			if hasMessage(e, isForwardReply) && n < 5 {
				return reportedUndelivered
			}
			return delivered
		}, 5 * time.Second},
		{"delivered but reported undelivered", func(cornelwall.Envelope, int) fake.Delivery {
			return fake.Delivery{Delays: []time.Duration{time.Millisecond}, ReportAfter: 2 * time.Millisecond}
		}, 2 * time.Second},
		{"duplicated with delay", func(cornelwall.Envelope, int) fake.Delivery {
			return fake.Delivery{Delays: []time.Duration{time.Millisecond, 700 * time.Millisecond}}
		}, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 1, 2)
			nth := 0
			c.Link = func(_, _ cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
				if !hasMessage(e, isForward) && !hasMessage(e, isForwardReply) {
					return delivered
				}
				nth++
				return tt.deliver(e, nth-1)
			}
			a := c.awaitAnswer(c.submit("dc0-e1", c.draw("dc0-e0"), 3), tt.within)
			assert.Equal(t, a.Outcome, cornelwall.Done, "%+v", a)
			c.Advance(20 * time.Second)
			assert.Assert(t, nth <= 12, "%d envelopes with forwards and replies", nth)
			for task, n := range c.starts {
				assert.Equal(t, n, 1, task)
			}
		})
	}
}

// TestOneWayPartition cuts the link to the owner but not the link back. The owner still
// seems alive, and the caller must get an answer in time.
func TestOneWayPartition(t *testing.T) {
	c := newCluster(t, 1, 2)
	tk := c.draw("dc0-e0")
	owner := c.hosts["dc0-e0"].Self
	c.Link = func(_, to cornelwall.Incarnation, _ cornelwall.Envelope) fake.Delivery {
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

// TestFrozenOwner submits a job while its owner is frozen, and again after it is resumed.
// The caller must get an answer that is not final, and later the result of the job. No
// task may start twice.
func TestFrozenOwner(t *testing.T) {
	for _, tt := range []struct {
		name string
		via  string
	}{
		{"same data centre", "dc0-e1"},
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

// TestCrashedOwner fetches a job whose owner has crashed. The answer is final only once
// the owner is proven gone and no other entry knows a successor.
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

// TestLaggingVMList removes a live entry from the VM list of all others, which must still
// forward jobs to it. It then starts an entry that is not on the list yet. An entry that
// has never heard from that owner must not give a final answer about its job.
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
	restarted := c.start("dc0-e1") // reads a list without dc1-e0 and gets no heartbeat from it
	c.Link = func(_, to cornelwall.Incarnation, _ cornelwall.Envelope) fake.Delivery {
		if to == restarted.Self {
			return fake.Delivery{}
		}
		return delivered
	}
	a = c.awaitAnswer(c.submit("dc0-e1", tk, 1), peerTimeout+time.Second)
	assert.Assert(t, !a.Final, "%+v", a)
}

// TestLateHeartbeat repeatedly delivers heartbeats of incarnations that were replaced
// long ago to an entry that never heard from them. They must not replace the current
// incarnation, whose jobs must still be done.
func TestLateHeartbeat(t *testing.T) {
	c := newCluster(t, 1, 2)
	tk := c.draw("dc0-e0")
	current := c.hosts["dc0-e0"].Self
	for _, epoch := range []uint64{99, 98, 97} { // epochs are random, so their order says nothing about time
		past := current
		past.Epoch = epoch
		late := cornelwall.Envelope{From: past, To: c.hosts["dc0-e1"].Self,
			Messages: []cornelwall.Message{{Heartbeat: &cornelwall.Heartbeat{Addr: c.hosts["dc0-e0"].Addr}}}}
		c.Post(c.hosts["dc0-e1"], cornelwall.Receive{Envelope: late})
		c.Post(c.hosts["dc0-e1"], cornelwall.Receive{Envelope: late})
		c.Advance(time.Millisecond)
		a := c.awaitAnswer(c.submit("dc0-e1", tk, 1), time.Second)
		assert.Equal(t, a.Outcome, cornelwall.Done, "%+v", a)
	}
}

// TestStrayForwardReply sends replies that do not come from the owner, that are for
// another ticket, or that are addressed to an earlier incarnation. None may be taken for
// the answer.
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

// TestCallerGone submits jobs whose callers disconnect at once, at the owner and at
// another entry. Their requests must not be answered, but the jobs must still be done.
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

// TestFarEntries runs more entries than exchange heartbeats with each other. Requests
// must reach distant owners, including those that have closed, and a partition must be
// reported in time.
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
	c.Link = func(from, to cornelwall.Incarnation, _ cornelwall.Envelope) fake.Delivery {
		if (from.DataCentre == "dc0") != (to.DataCentre == "dc0") {
			return fake.Delivery{ReportAfter: 2 * time.Second}
		}
		return delivered
	}
	for _, tk := range tickets {
		a := c.awaitAnswer(c.fetch("dc0-e0", tk), peerTimeout+time.Second)
		if tk.Owner.Entry == "dc3-e1" || tk.Owner.Entry == "dc4-e2" {
			continue // this data centre may have a successor of it
		}
		if tk.Owner.DataCentre == "dc0" {
			assert.Equal(t, a.Outcome, cornelwall.Done)
			continue
		}
		assert.Equal(t, a.Outcome, cornelwall.Unknown)
		assert.Assert(t, !a.Final && a.RetryAfter > 0, "%+v", a)
	}
}

// TestFrozenEntryReadsBacklogFirst freezes an entry that waits for a reply to a
// forward. After it resumes it must handle the events that arrived during the freeze
// before it counts the reply as missing.
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

// TestOwnerGoneWhileRefused makes a forward undeliverable and then proves the owner gone,
// while an entry that might know a successor does not reply. The core must not
// request an immediate tick again and again, which would keep the virtual clock from
// advancing.
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

// TestIdleMessages counts what 48 entries in 16 data centres send when idle. A heartbeat
// with its HTTP headers and response is 517 bytes on the wire (BenchmarkHeartbeatBytes in
// io/peer), and an entry may spend 7 KB/s on control traffic.
func TestIdleMessages(t *testing.T) {
	c := newCluster(t, 16, 3)
	const seconds, heartbeatBytes, budget = 60, 517, 7000
	before := c.Envelopes
	c.Advance(seconds * time.Second)
	perSecond := float64(c.Envelopes-before) / seconds / 48
	t.Logf("%.1f envelopes per second and entry", perSecond)
	assert.Assert(t, perSecond*heartbeatBytes < budget, "%.1f envelopes per second and entry", perSecond)
}
