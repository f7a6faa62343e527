package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestPollSentBeforeStartReplyEndsNoRun answers polls as an endpoint does that has not carried out
// the second of two starts yet. Only a poll that was sent after the start reply had been handled
// may end the run.
func TestPollSentBeforeStartReplyEndsNoRun(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	owner := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	for _, tc := range []struct {
		name           string
		delay          time.Duration // of the answer to the poll
		sentAfterReply bool          // the poll is sent after the start reply has been handled
		ends           bool
	}{
		{"answered at once", 0, false, false},
		{"answered later", 12 * time.Millisecond, false, false},
		{"sent after the start reply", 12 * time.Millisecond, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
			var starts []cornelwall.StartRun
			var polls []cornelwall.PollEndpoint
			results := map[cornelwall.RunID]cornelwall.RunEnd{}
			collect := func(cmds []cornelwall.Command) {
				for _, cmd := range cmds {
					switch cmd := cmd.(type) {
					case cornelwall.StartRun:
						starts = append(starts, cmd)
					case cornelwall.PollEndpoint:
						polls = append(polls, cmd)
					case cornelwall.Send:
						if cmd.Message.RunResults != nil {
							for _, r := range cmd.Message.RunResults.Runs {
								results[r.RunID] = r.End
							}
						}
					}
				}
			}
			step := func(ev cornelwall.Event) { collect(c.Step(now, ev)) }
			receive := func(m cornelwall.Message) {
				step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: owner, To: self, Messages: []cornelwall.Message{m}}})
			}
			answerPoll := func(poll cornelwall.PollEndpoint, running ...cornelwall.RunID) {
				now = now.Add(tc.delay)
				ev := cornelwall.PollResult{Endpoint: "x1", Fence: poll.Fence, Seq: poll.Seq, Boot: 1, Clock: time.Second}
				for _, id := range running {
					ev.Running = append(ev.Running, cornelwall.RunState{RunID: id})
				}
				step(ev)
			}
			acceptStart := func(start cornelwall.StartRun) {
				step(cornelwall.OrderResult{Endpoint: "x1", Fence: start.Fence, Run: start.Run, Clock: time.Second})
			}

			receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 7}})
			p := c.peers[owner]
			receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 2, Session: 7, AckedSeq: p.sentSeq}})
			c.acquire(c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}}), nil)
			collect(c.commands)
			assert.Equal(t, len(polls), 1)
			answerPoll(polls[0])
			now = now.Add(tickInterval)
			var tasks []cornelwall.AssignTask
			for _, name := range []string{"a.0.0.0", "a.0.0.1"} {
				tasks = append(tasks, cornelwall.AssignTask{RunID: cornelwall.RunID{Task: name, Run: 1}, Need: cornelwall.Resources{Cores: 6800}, Estimate: 5 * time.Second})
			}
			receive(cornelwall.Message{Assign: &cornelwall.Assign{Session: p.session, Service: "s", UsefulFor: 9 * time.Second, DueIn: 9 * time.Second, Tasks: tasks}})
			assert.Equal(t, len(starts), 2)
			first, second := starts[0], starts[1]

			polls = nil
			acceptStart(first)
			assert.Equal(t, len(polls), 1, "the start reply does not lead to one poll")
			if tc.sentAfterReply {
				acceptStart(second)
				answerPoll(polls[0], first.Run, second.Run)
				assert.Equal(t, len(polls), 2)
				answerPoll(polls[1], first.Run)
			} else {
				acceptStart(second)
				answerPoll(polls[0], first.Run)
			}
			want := map[cornelwall.RunID]cornelwall.RunEnd{}
			if tc.ends {
				want[second.Run] = cornelwall.RunLapsed
			}
			assert.DeepEqual(t, results, want)
			assert.Equal(t, c.runs[second.Run] == nil, tc.ends, "whether the run is gone")
		})
	}
}

// TestPollSentBeforeRestartIsNoSecondRestart answers two polls out of order: first the later one,
// from after a restart, then the earlier one, from before it. The latter must not count as another
// restart.
func TestPollSentBeforeRestartIsNoSecondRestart(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	polls := func(cmds []cornelwall.Command) (found []cornelwall.PollEndpoint) {
		for _, cmd := range cmds {
			if poll, ok := cmd.(cornelwall.PollEndpoint); ok {
				found = append(found, poll)
			}
		}
		return found
	}
	answer := func(poll cornelwall.PollEndpoint, boot int64) {
		c.Step(now, cornelwall.PollResult{Endpoint: "x1", Fence: poll.Fence, Seq: poll.Seq, Boot: boot, Clock: time.Second})
	}
	c.acquire(ep, nil)
	first := polls(c.commands)
	assert.Equal(t, len(first), 1)
	answer(first[0], 1000)
	assert.Equal(t, ep.lease.phase, phaseReady)

	r := &run{id: cornelwall.RunID{Task: "a.0.0.0", Run: 1}, owner: self, state: runStarting, receivedAt: now, startedAt: now}
	r.Estimate = time.Second
	c.runs[r.id] = r
	ep.lease.addRun(r)
	var sent []cornelwall.PollEndpoint
	for range 40 { // until a second poll is sent, as the first has no answer
		if len(sent) == 2 {
			break
		}
		now = now.Add(tickInterval)
		sent = append(sent, polls(c.Step(now, cornelwall.Tick{}))...)
	}
	assert.Equal(t, len(sent), 2)
	answer(sent[1], 2000)
	assert.Equal(t, ep.lease.boot, int64(2000))
	answer(sent[0], 1000)
	assert.Equal(t, ep.lease.boot, int64(2000), "the answer to a poll from before the restart counts as another restart")
}
