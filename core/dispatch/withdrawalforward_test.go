package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestForwardedWithdrawalIsNotReportedUnstarted offers an endpoint with a run to an entry that
// never takes it over, and lets the lease lapse. The owner then withdraws the run. Neither the
// holder nor the entry that got the offer may report the run as unstarted.
func TestForwardedWithdrawalIsNotReportedUnstarted(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	owner := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e0", Epoch: 1}
	holder := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	next := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	limits := Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond, StopGrace: 6 * time.Second}
	from := func(id cornelwall.Incarnation, m cornelwall.Message) cornelwall.Event {
		return cornelwall.Receive{Envelope: cornelwall.Envelope{From: id, Messages: []cornelwall.Message{m}}}
	}
	heartbeat := func(n uint64) cornelwall.Message {
		return cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: n, Session: 7}}
	}

	c := New(Config{Self: holder, Addr: addr, Limits: limits}, now)
	c.Step(now, from(owner, heartbeat(1)))
	c.Step(now, from(next, heartbeat(1)))
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	c.acquire(ep, nil)
	l := ep.lease
	c.Step(now, cornelwall.PollResult{Endpoint: "x1", Fence: l.fence, Seq: l.lastPoll, Boot: 1, Clock: time.Second})
	r := &run{id: cornelwall.RunID{Task: "a.0.0.0", Run: 1}, owner: owner, state: runStarting, receivedAt: now, startedAt: now}
	c.runs[r.id] = r
	l.addRun(r)
	c.Step(now, cornelwall.Stop{})
	assert.Equal(t, l.offeredTo, next, "the endpoint is not offered")

	for end := now.Add(3 * time.Second); now.Before(end); {
		now = now.Add(tickInterval)
		c.Step(now, cornelwall.Tick{})
	}
	assert.Assert(t, c.runs[r.id] == nil, "the run is kept although the lease has lapsed")
	var forwarded *cornelwall.Withdraw
	for _, cmd := range c.Step(now, from(owner, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{r.id}}})) {
		if s, ok := cmd.(cornelwall.Send); ok && s.Message.Withdraw != nil {
			forwarded = s.Message.Withdraw
		}
	}
	assert.Assert(t, forwarded != nil, "the withdrawal is not forwarded to the entry that the endpoint was offered to")

	c = New(Config{Self: next, Addr: addr, Limits: limits}, now)
	c.Step(now, from(holder, heartbeat(1)))
	for _, cmd := range c.Step(now, from(holder, cornelwall.Message{Withdraw: forwarded})) {
		if s, ok := cmd.(cornelwall.Send); ok && s.Message.RunResults != nil {
			for _, result := range s.Message.RunResults.Runs {
				assert.Assert(t, result.End != cornelwall.RunUnstarted, "the run is reported as unstarted, which this entry cannot know")
			}
		}
	}
	// A delayed offer must not bring the withdrawn run back.
	kept := c.withoutWithdrawn([]cornelwall.HandoverRun{{RunID: r.id, Owner: owner}})
	assert.Equal(t, len(kept), 0)
}
