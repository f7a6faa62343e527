package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestPollSentBeforeStartReplyEndsNoRun answers looks at an endpoint that had not carried out the second start yet.
func TestPollSentBeforeStartReplyEndsNoRun(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	owner := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	for _, tc := range []struct {
		name  string
		late  time.Duration // of the look's answer
		after bool          // it is emitted after the start's answer was taken in
		over  bool
	}{
		{"answered at once", 0, false, false},
		{"answered later", 12 * time.Millisecond, false, false},
		{"emitted after the answer", 12 * time.Millisecond, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
			var starts []cornelwall.StartRun
			var looks []cornelwall.PollEndpoint
			over := map[cornelwall.RunID]cornelwall.RunEnd{}
			collect := func(cmds []cornelwall.Command) {
				for _, cmd := range cmds {
					switch cmd := cmd.(type) {
					case cornelwall.StartRun:
						starts = append(starts, cmd)
					case cornelwall.PollEndpoint:
						looks = append(looks, cmd)
					case cornelwall.Send:
						if cmd.Message.RunResults != nil {
							for _, o := range cmd.Message.RunResults.Runs {
								over[o.RunID] = o.End
							}
						}
					}
				}
			}
			step := func(ev cornelwall.Event) { collect(c.Step(now, ev)) }
			receive := func(m cornelwall.Message) {
				step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: owner, To: self, Messages: []cornelwall.Message{m}}})
			}
			listed := func(look cornelwall.PollEndpoint, running ...cornelwall.RunID) {
				now = now.Add(tc.late)
				ev := cornelwall.PollResult{Endpoint: "x1", Fence: look.Fence, Seq: look.Seq, Boot: 1, Clock: time.Second}
				for _, id := range running {
					ev.Running = append(ev.Running, cornelwall.RunState{RunID: id})
				}
				step(ev)
			}
			begun := func(start cornelwall.StartRun) {
				step(cornelwall.OrderResult{Endpoint: "x1", Fence: start.Fence, Run: start.Run, Clock: time.Second})
			}

			receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 1, Session: 7}})
			p := c.peers[owner]
			receive(cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 2, Session: 7, AckedSeq: p.sentSeq}})
			c.acquire(c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}}), nil)
			collect(c.commands)
			assert.Equal(t, len(looks), 1)
			listed(looks[0])
			now = now.Add(tickInterval)
			var tasks []cornelwall.AssignTask
			for _, name := range []string{"a.0.0.0", "a.0.0.1"} {
				tasks = append(tasks, cornelwall.AssignTask{RunID: cornelwall.RunID{Task: name, Run: 1}, Need: cornelwall.Resources{Cores: 6800}, Estimate: 5 * time.Second})
			}
			receive(cornelwall.Message{Assign: &cornelwall.Assign{Session: p.session, Service: "s", UsefulFor: 9 * time.Second, DueIn: 9 * time.Second, Tasks: tasks}})
			assert.Equal(t, len(starts), 2)
			first, second := starts[0], starts[1]

			looks = nil
			begun(first)
			assert.Equal(t, len(looks), 1, "the start's answer leads to a look")
			if tc.after {
				begun(second)
				listed(looks[0], first.Run, second.Run)
				assert.Equal(t, len(looks), 2)
				listed(looks[1], first.Run)
			} else {
				begun(second)
				listed(looks[0], first.Run)
			}
			want := map[cornelwall.RunID]cornelwall.RunEnd{}
			if tc.over {
				want[second.Run] = cornelwall.RunLapsed
			}
			assert.DeepEqual(t, over, want)
			assert.Equal(t, c.runs[second.Run] == nil, tc.over, "whether the run is gone")
		})
	}
}

// TestPollSentBeforeRestartIsNoSecondRestart answers a look of the old life after one of the new.
func TestPollSentBeforeRestartIsNoSecondRestart(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	c := New(Config{Self: self, Addr: addr, MaxMeshPeers: -1, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond}}, now)
	ep := c.addEndpoint(cornelwall.Endpoint{ID: "x1", Service: "s", Addr: addr, DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 16000}})
	looks := func(cmds []cornelwall.Command) (found []cornelwall.PollEndpoint) {
		for _, cmd := range cmds {
			if look, ok := cmd.(cornelwall.PollEndpoint); ok {
				found = append(found, look)
			}
		}
		return found
	}
	answer := func(look cornelwall.PollEndpoint, boot int64) {
		c.Step(now, cornelwall.PollResult{Endpoint: "x1", Fence: look.Fence, Seq: look.Seq, Boot: boot, Clock: time.Second})
	}
	c.acquire(ep, nil)
	first := looks(c.commands)
	assert.Equal(t, len(first), 1)
	answer(first[0], 1000)
	assert.Equal(t, ep.lease.phase, phaseReady)

	r := &run{id: cornelwall.RunID{Task: "a.0.0.0", Run: 1}, owner: self, state: runStarting, receivedAt: now, startedAt: now}
	r.Estimate = time.Second
	c.runs[r.id] = r
	ep.lease.addRun(r)
	var sent []cornelwall.PollEndpoint
	for range 40 { // until a second look is sent, the first having no answer
		if len(sent) == 2 {
			break
		}
		now = now.Add(tickInterval)
		sent = append(sent, looks(c.Step(now, cornelwall.Tick{}))...)
	}
	assert.Equal(t, len(sent), 2)
	answer(sent[1], 2000)
	assert.Equal(t, ep.lease.boot, int64(2000))
	answer(sent[0], 1000)
	assert.Equal(t, ep.lease.boot, int64(2000), "an answer to a look from before")
}
