package fuzz

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const (
	burstEntries = 147
	burstRate    = 283             // cancellations a second: a third of 850 batches
	burstTime    = 3 * time.Second // of the 12 s that a burst lasts
	burstWait    = 2 * time.Second // for an acknowledgement, half of what callers wait for at most
	burstWrites  = 100             // a second, a quarter of what the platform's store takes
)

// TestCancellationCost cancels a third of the batches of a large system for a while and counts the messages and bytes, with
// confirmed cancellations and without. They must not need entries times entries messages each, nor more calls to the platform's store than
// it takes: each entry writes once at the beginning, and then as often as the rate of all of them lets it.
func TestCancellationCost(t *testing.T) {
	others := float64(burstEntries - 1)
	for _, confirmed := range []bool{false, true} {
		r := newSizedRig(1, mutation{cancellationMutation: cancellationMutation{cancels: confirmed}}, 0, size{entries: burstEntries, endpoints: burstEntries * 15 / 2, dataCentres: 5})
		r.changeQueueConfig()
		r.w.Advance(4 * time.Second)
		idle, burst := messageCounts{}, messageCounts{}
		r.sentMessages = idle
		r.w.Advance(burstTime)
		r.sentMessages = burst
		asked := int(burstRate * burstTime.Seconds())
		clients := make([]*client, asked)
		for i := range clients {
			clients[i] = &client{id: fmt.Sprintf("%016x", 1<<40+i)}
			r.cancel(clients[i], r.anyEntry())
			r.w.Advance(burstTime / time.Duration(asked))
		}
		r.w.Advance(100 * time.Millisecond)
		if r.sentMessages = nil; confirmed {
			r.w.Advance(burstWait - 100*time.Millisecond)
		}
		entrySeconds := burstEntries * burstTime.Seconds()
		t.Logf("confirmed=%t, for each entry and second: when idle %s", confirmed, idle.table(entrySeconds))
		t.Logf("confirmed=%t, in the burst %s", confirmed, burst.table(entrySeconds))
		t.Logf("confirmed=%t: answers %v, slowest %s", confirmed, r.cancelAnswers, r.slowestCancel)
		assert.Equal(t, r.cancelAnswers[cornelwall.BatchCancelled], asked)
		if !confirmed {
			continue
		}
		writes := r.cancelStore.writes
		t.Logf("%d writes to the platform's store", writes)
		assert.Assert(t, r.slowestCancel <= burstWait, "a cancellation is answered after %s", r.slowestCancel)
		assert.Assert(t, writes <= burstEntries+int(burstWrites*(burstTime+burstWait).Seconds()), "%d writes", writes)
		sent := burst.count("Cancellations") + burst.count("CancellationsKept")
		assert.Assert(t, sent <= 2.05*others*float64(asked), "%.0f messages for %d cancellations", sent, asked)
		assert.Assert(t, burst.count("SessionHeartbeat") <= 1.1*idle.count("SessionHeartbeat"), "heartbeats accompany cancellations")
	}
}
