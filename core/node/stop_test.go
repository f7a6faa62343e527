package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// TestRollingRestart restarts every entry twice under load. No request may be left
// unanswered or get an unknown outcome, no outcome may change, and no task may start
// twice.
func TestRollingRestart(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.exitDelay = time.Second
	c.Link = func(_, _ cornelwall.Incarnation, _ cornelwall.Envelope) fake.Delivery {
		return fake.Delivery{Delays: []time.Duration{time.Millisecond}}
	}
	names := c.names()
	outcomes := map[cornelwall.Ticket]cornelwall.Outcome{}
	var reqs []uint64
	var ended []cornelwall.Ticket
	load := func(i int) {
		from, to := names[i%len(names)], names[(i/2+i)%len(names)]
		c.req++
		draw := c.req
		c.Post(c.hosts[from], cornelwall.DrawTickets{Req: draw, Profile: "holds", N: 1})
		c.CallAfter(3*time.Millisecond, func() {
			if tk, ok := c.tickets[draw]; ok && c.serving(to) {
				reqs = append(reqs, c.submit(to, tk, 4))
			}
		})
		if len(ended) > 0 && c.serving(to) { // an earlier job, fetched at any entry
			reqs = append(reqs, c.fetch(to, ended[i*7%len(ended)]))
		}
	}
	check := func() {
		for _, req := range reqs {
			a := c.awaitAnswer(req, 10*time.Second)
			assert.Assert(t, a.Outcome != cornelwall.Unknown, "request %d: %+v", req, a)
			if a.Final {
				if o, ok := outcomes[a.Ticket]; ok {
					assert.Equal(t, a.Outcome, o, "%+v", a)
				} else {
					ended = append(ended, a.Ticket)
				}
				outcomes[a.Ticket] = a.Outcome
			}
		}
		reqs = nil
	}
	i := 0
	for range 2 {
		for _, name := range names {
			h := c.hosts[name]
			c.Post(h, cornelwall.Stop{})
			for !h.Dead {
				i++
				load(i)
				c.Advance(10 * time.Millisecond)
			}
			c.start(name)
			for range 20 {
				i++
				load(i)
				c.Advance(10 * time.Millisecond)
			}
			check()
		}
	}
	assert.Assert(t, len(outcomes) > 200, "only %d jobs", len(outcomes))
	for task, n := range c.starts {
		assert.Equal(t, n, 1, task)
	}
}

// TestSuccessorsOfSuccessors submits jobs again whose owner has stopped, after its
// successors have stopped or crashed. Every entry must still answer that the job that has
// run is done, and that the one whose ticket was only drawn has not run.
func TestSuccessorsOfSuccessors(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after func(c *cluster)
	}{
		{"at once", func(*cluster) {}},
		{"owner restarts", func(c *cluster) { c.start("dc0-e0") }},
		{"every other entry restarts in turn", func(c *cluster) {
			for _, name := range c.names()[1:] {
				c.stop(name)
				c.start(name)
				c.Advance(time.Second)
			}
		}},
		{"one successor crashes", func(c *cluster) { c.hosts["dc0-e1"].Dead = true; c.Advance(5 * time.Second) }},
		{"all entries of the data centre restart", func(c *cluster) {
			c.start("dc0-e0")
			c.Advance(time.Second)
			c.stop("dc0-e1")
			c.start("dc0-e1")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 2, 2)
			ran, drawn := c.draw("dc0-e0"), c.draw("dc0-e0")
			assert.Equal(t, c.awaitAnswer(c.submit("dc0-e1", ran, 3), time.Second).Outcome, cornelwall.Done)
			c.stop("dc0-e0")
			tt.after(c)
			for _, name := range c.names() {
				if c.hosts[name].Dead {
					continue
				}
				a := c.awaitAnswer(c.submit(name, ran, 3), 5*time.Second)
				assert.Equal(t, a.Outcome, cornelwall.Done, "%s: %+v", name, a)
				a = c.awaitAnswer(c.submit(name, drawn, 3), 5*time.Second)
				assert.Equal(t, a.Outcome, cornelwall.NotRun, "%s: %+v", name, a)
			}
		})
	}
}

// TestStopUnderForwards stops an entry whose callers keep sending requests for jobs of
// other owners. They must not keep it from stopping.
func TestStopUnderForwards(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.taskTime = time.Second
	h := c.hosts["dc0-e0"]
	c.Post(h, cornelwall.Stop{})
	for range 300 {
		if h.Dead {
			break
		}
		c.submit("dc0-e0", c.draw("dc0-e1"), 1)
		c.Advance(100 * time.Millisecond)
	}
	assert.Assert(t, h.Dead, "the entry does not stop")
}

// TestLostTableParts loses the first transmission of every part of the job table that a
// stopping entry sends to its successor. The parts must be retransmitted, and the
// successor must answer for every job.
func TestLostTableParts(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.taskTime = time.Millisecond
	var tickets []cornelwall.Ticket
	for range 40 {
		tk := c.draw("dc0-e0")
		tickets = append(tickets, tk)
		c.req++
		c.Post(c.hosts["dc0-e0"], cornelwall.Submit{Req: c.req, Job: &cornelwall.Job{
			Ticket: tk, Profile: "holds", Tasks: []cornelwall.Task{{Body: make([]byte, 512<<10)}}}})
		assert.Equal(t, c.awaitAnswer(c.req, time.Second).Outcome, cornelwall.Done)
	}
	lost := map[int]bool{}
	c.Link = func(_, _ cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
		delivery := fake.Delivery{Delays: []time.Duration{0}}
		for _, m := range e.Messages {
			if m.RecordTransfer != nil && !lost[m.RecordTransfer.Part] {
				lost[m.RecordTransfer.Part] = true
				delivery = fake.Delivery{}
			}
		}
		return delivery
	}
	c.stop("dc0-e0")
	assert.Assert(t, len(lost) > 10, "%d parts", len(lost))
	for _, tk := range tickets {
		assert.Equal(t, c.awaitAnswer(c.fetch("dc0-e1", tk), time.Second).Outcome, cornelwall.Done)
	}
}

// TestStoppingSuccessor stops two entries at once. Neither may accept the other's job
// table after it has handed off its own.
func TestStoppingSuccessor(t *testing.T) {
	c := newCluster(t, 1, 3)
	a, b := c.draw("dc0-e0"), c.draw("dc0-e1")
	for _, tk := range []cornelwall.Ticket{a, b} {
		assert.Equal(t, c.awaitAnswer(c.submit("dc0-e2", tk, 1), time.Second).Outcome, cornelwall.Done)
	}
	c.Post(c.hosts["dc0-e0"], cornelwall.Stop{})
	c.Post(c.hosts["dc0-e1"], cornelwall.Stop{})
	c.Advance(5 * time.Second)
	assert.Assert(t, c.hosts["dc0-e0"].Dead && c.hosts["dc0-e1"].Dead)
	for _, tk := range []cornelwall.Ticket{a, b} {
		assert.Equal(t, c.awaitAnswer(c.fetch("dc0-e2", tk), time.Second).Outcome, cornelwall.Done)
	}
}

// TestStopWaitsForSuccessor stops an entry while the only other one restarts. The stop
// must wait for that one and hand off its jobs to it.
func TestStopWaitsForSuccessor(t *testing.T) {
	c := newCluster(t, 1, 2)
	tk := c.draw("dc0-e0")
	assert.Equal(t, c.awaitAnswer(c.submit("dc0-e0", tk, 1), time.Second).Outcome, cornelwall.Done)
	c.hosts["dc0-e1"].Dead = true
	c.Advance(4 * time.Second)
	c.Post(c.hosts["dc0-e0"], cornelwall.Stop{})
	c.Advance(2 * time.Second)
	c.start("dc0-e1")
	c.Advance(2 * time.Second)
	assert.Assert(t, c.hosts["dc0-e0"].Dead)
	assert.Equal(t, c.awaitAnswer(c.fetch("dc0-e1", tk), time.Second).Outcome, cornelwall.Done)
}

// TestStopLimit stops an entry with an open job. If the task is still running at the time
// limit, the job ends as unknown, since the start has no result. The successor must give
// the same outcome.
func TestStopLimit(t *testing.T) {
	for _, tt := range []struct {
		name    string
		took    time.Duration
		outcome cornelwall.Outcome
	}{
		{"ends in time", time.Second, cornelwall.Done},
		{"never ends", time.Hour, cornelwall.Unknown}, // it is not known whether its only task ran
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 1, 2)
			c.taskTime = tt.took
			tk := c.draw("dc0-e0")
			req := c.submit("dc0-e0", tk, 1)
			c.Advance(100 * time.Millisecond)
			c.Post(c.hosts["dc0-e0"], cornelwall.Stop{TimeLeft: 5 * time.Second})
			c.Advance(6 * time.Second)
			assert.Assert(t, c.hosts["dc0-e0"].Dead, "the entry does not stop")
			assert.Equal(t, c.awaitAnswer(req, 0).Outcome, tt.outcome)
			assert.Equal(t, c.awaitAnswer(c.fetch("dc0-e1", tk), time.Second).Outcome, tt.outcome)
		})
	}
}

// TestTwoEntriesStopTogether stops two entries at once while the third restarts, and
// loses the heartbeats that announce the stops. Neither may become a successor of the
// other, as the job table would be lost when it exits.
func TestTwoEntriesStopTogether(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.taskTime = 200 * time.Millisecond
	c.hosts["dc0-e2"].Dead = true
	c.Advance(2 * peerTimeout)
	a, b := c.draw("dc0-e0"), c.draw("dc0-e1")
	for _, tk := range []cornelwall.Ticket{a, b} {
		c.submit(tk.Owner.Entry, tk, 1)
	}
	c.Advance(50 * time.Millisecond) // the tasks are running
	c.Post(c.hosts["dc0-e0"], cornelwall.Stop{})
	c.Post(c.hosts["dc0-e1"], cornelwall.Stop{})
	announced := c.Now.Add(900 * time.Millisecond)
	c.Link = func(_, _ cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
		if c.Now.Before(announced) && hasMessage(e, func(m *cornelwall.Message) bool { return m.Heartbeat != nil }) {
			return fake.Delivery{}
		}
		if hasMessage(e, func(m *cornelwall.Message) bool { return m.RecordTransfer != nil }) {
			return fake.Delivery{Delays: []time.Duration{100 * time.Millisecond}} // delivered after both have closed
		}
		return delivered
	}
	c.Advance(2 * time.Second)
	c.start("dc0-e2")
	c.Advance(5 * time.Second)
	assert.Assert(t, c.hosts["dc0-e0"].Dead && c.hosts["dc0-e1"].Dead)
	for _, tk := range []cornelwall.Ticket{a, b} {
		assert.Equal(t, c.awaitAnswer(c.fetch("dc0-e2", tk), time.Second).Outcome, cornelwall.Done)
	}
}
