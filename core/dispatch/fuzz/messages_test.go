package fuzz

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/dispatch"
	"cornelwall/io/peer"
)

// TestCorruptedMessages changes random bytes of envelopes. What the codec still decodes must not
// make the core panic, whatever it contains.
func TestCorruptedMessages(t *testing.T) {
	const rounds = 60_000
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	addr := netip.MustParseAddrPort("10.0.0.1:7001")
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2", Epoch: 1}
	run := cornelwall.RunID{Task: "a.0.0.0", Run: 1}
	runs := []cornelwall.RunID{run}
	need := cornelwall.Resources{Cores: 8000, Memory: 1}
	ep := cornelwall.Endpoint{ID: "x1", Service: service, Addr: addr, DataCentre: "dc0", Capacity: endpointCapacity, Labels: []string{"r1"}, Boot: 5}
	heartbeat := cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{Addr: addr, Seq: 9, Session: 1, WantHeartbeats: true, Version: 1, MaxFence: 7, Waiting: map[string]int{"q": 1},
		FreeCapacity: cornelwall.FreeCapacity{Total: 16000, Free: []cornelwall.Resources{need}, Queued: []int{1, 2, 3, 4}}, Members: []cornelwall.Member{{ID: other, Addr: addr, Weight: 3}},
		Evacuations: []cornelwall.Evacuation{{DataCentre: "dc1", Revision: 5, Active: true}}, EvacuationsAsOf: 7}}
	messages := []cornelwall.Message{
		{Assign: &cornelwall.Assign{Service: service, Spec: "s", DueIn: 1, UsefulFor: 2, Remaining: 1, Count: 3, Tasks: []cornelwall.AssignTask{{RunID: run, Need: need, Estimate: 5, PerEndpoint: 1, AvoidEndpoint: "x1"}}}},
		{BatchProgress: &cornelwall.BatchProgress{Runs: runs, Remaining: 0.5, Estimates: []time.Duration{5}, DueIn: 1, UsefulFor: 2}},
		{Withdraw: &cornelwall.Withdraw{Runs: runs, MayHaveStarted: true}},
		{RunResults: &cornelwall.RunResults{Runs: []cornelwall.RunResult{{RunID: run, End: cornelwall.RunFailed, Endpoint: "x1", Took: 5}}}},
		{RunsStarted: &cornelwall.RunsStarted{Endpoint: "x1", Fence: 3, Runs: runs}},
		{EndpointAcquired: &cornelwall.EndpointAcquired{Endpoint: "x1", Fence: 3, Kept: runs, Ended: []cornelwall.RunResult{{RunID: run}}}},
		{Handover: &cornelwall.Handover{Endpoint: ep, Fence: 3, Offer: 1, Runs: []cornelwall.HandoverRun{{RunID: run, Owner: other, Need: need, Estimate: 5, Age: 1}}}},
		{HandoverDecline: &cornelwall.HandoverDecline{Endpoint: "x1", Holder: &other}},
		{HandoverRequest: &cornelwall.HandoverRequest{Endpoints: []string{"x1"}}},
		{EndpointUpdate: &cornelwall.EndpointUpdate{FromRevision: 1, ToRevision: 2, Endpoints: []cornelwall.Endpoint{ep}, Removed: []string{"x2"}, Version: 2}},
		{QueueConfigSync: &cornelwall.QueueConfigSync{Config: &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{{Name: "holds", Host: host, Prefix: prefix, Service: service, Attempts: 3, Timeout: time.Second, Objective: 1, Stretch: 1.6}}}}},
		{BatchCancellation: &cornelwall.BatchCancellation{ID: "00000000000000aa"}},
		{CrashReport: &cornelwall.CrashReport{Crashes: []cornelwall.RunCrash{{RunID: run, Endpoint: "x1", Boot: 5, Alone: true, State: cornelwall.CrashConfirmed, Age: 5}}}},
	}
	codec := peer.NewCodec()
	rng := rand.New(rand.NewPCG(1, 1))
	var core *dispatch.Core
	decoded, req := 0, uint64(0)
	step := func(ev cornelwall.Event) {
		for _, cmd := range core.Step(now, ev) {
			if s, ok := cmd.(cornelwall.Send); ok && s.To == other && s.Message.SessionHeartbeat != nil {
				heartbeat.SessionHeartbeat.AckedSeq = s.Message.SessionHeartbeat.Seq // so that tasks are assigned to it
			}
		}
	}
	for i := range rounds {
		heartbeat.SessionHeartbeat.Seq++
		heartbeat.SessionHeartbeat.FreeCapacity.Queued = []int{1, 2, 3, 4}[:rng.IntN(5)]
		if i%500 == 0 {
			core = dispatch.New(dispatch.Config{Self: self, Addr: addr, Limits: dispatch.Limits{MaxLease: time.Second}}, now)
			step(cornelwall.EndpointsListed{List: []cornelwall.Endpoint{ep}, Revision: 1})
			step(cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{heartbeat, messages[10]}}})
		}
		b, err := codec.Marshal(&cornelwall.Envelope{From: other, To: self, Messages: []cornelwall.Message{heartbeat, messages[rng.IntN(len(messages))]}})
		assert.NilError(t, err)
		for range rng.IntN(4) {
			b[rng.IntN(len(b))] = byte(rng.IntN(256))
		}
		var e cornelwall.Envelope
		if codec.Unmarshal(b, &e) != nil {
			continue
		}
		decoded++
		now = now.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
		req++
		for _, ev := range []cornelwall.Event{
			cornelwall.Receive{Envelope: e}, cornelwall.Tick{},
			cornelwall.SubmitBatch{Req: req, Host: host, Path: prefix + "1", TimeLeft: time.Second, Batch: &cornelwall.BatchJob{
				ID: fmt.Sprintf("%016x", req), Steps: []cornelwall.Step{{Count: 4, Need: need, Estimate: 5 * time.Millisecond}},
			}},
		} {
			step(ev)
		}
	}
	assert.Assert(t, decoded > rounds/10, "only %d envelopes were decoded", decoded)
	t.Logf("%d of %d envelopes were decoded", decoded, rounds)
}
