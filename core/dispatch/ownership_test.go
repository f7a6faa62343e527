package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// oneWayTimes are the times that messages between entries take in the tests below.
var oneWayTimes = []time.Duration{simDelay, 30 * time.Millisecond, 70 * time.Millisecond}

// ownersSimulation returns a simulation of four entries in two data centres, each of which holds an endpoint with room for two tasks.
func ownersSimulation(t *testing.T) (s *simulation, entries []cornelwall.Incarnation) {
	t.Helper()
	return distantOwnersSimulation(t, 4, simDelay)
}

// distantOwnersSimulation returns such a simulation of n entries, between which messages take the given time one way.
func distantOwnersSimulation(t *testing.T, n int, oneWay time.Duration) (s *simulation, entries []cornelwall.Incarnation) {
	t.Helper()
	s = newSimulation(t)
	s.extraDelay = func(_, _ cornelwall.Incarnation, _ *cornelwall.Message) time.Duration { return oneWay - simDelay }
	var list []cornelwall.Endpoint
	for i := range n {
		dc := []string{"dc0", "dc1"}[i%2]
		info := cornelwall.Endpoint{ID: "x" + string(rune('0'+i)), Service: "s", Addr: s.addr(100 + i), DataCentre: dc, Capacity: cornelwall.Resources{Cores: 16000}}
		s.addEndpoint(info)
		list = append(list, info)
		entries = append(entries, cornelwall.Incarnation{DataCentre: dc, Entry: "e" + string(rune('0'+i)), Epoch: 1})
	}
	for _, id := range entries {
		s.addEntry(id)
	}
	for range 2 {
		for _, id := range entries {
			s.step(id, endpointsListed(list))
		}
		s.advance(1500 * time.Millisecond)
	}
	return s, entries
}

// submitTo submits the batch of the tests below, whose tasks run for 5 s, at an entry.
func (s *simulation) submitTo(id cornelwall.Incarnation, req uint64, timeLeft time.Duration) {
	s.step(id, cornelwall.SubmitBatch{Req: req, Host: "h", Path: "/q/1", TimeLeft: timeLeft, Batch: &cornelwall.BatchJob{
		ID: "00000000000000ab", Steps: []cornelwall.Step{{Count: 2, Need: cornelwall.Resources{Cores: 8000}, Estimate: 5 * time.Second}},
	}})
}

// TestRequestThatArrivesLateStartsNothing guards against two owners of a batch (review/12): the request of a client that has left
// arrives at one entry after the client has sent the batch again to another. The simulation fails if a task runs twice at once.
func TestRequestThatArrivesLateStartsNothing(t *testing.T) {
	for _, oneWay := range oneWayTimes {
		for _, gap := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
			for late := range 4 {
				s, entries := distantOwnersSimulation(t, 4, oneWay)
				s.submitTo(entries[0], 1, 9*time.Second)
				s.advance(gap)
				s.submitTo(entries[late], 2, 9*time.Second)
				s.advance(6 * time.Millisecond)
				s.step(entries[late], cornelwall.CallerGone{Req: 2}) // the end of its connection follows the request
				s.advance(8 * time.Second)
				assert.Equal(t, len(s.starts), 2, "%s one way, gap %s, late at %s: %v", oneWay, gap, entries[late].Entry, s.starts)
				assert.Equal(t, s.replies[1].answer.End, cornelwall.BatchDone, "%s one way, gap %s, late at %s", oneWay, gap, entries[late].Entry)
			}
		}
	}
}

// TestBatchOfHalfOpenCallerRunsOnce guards against two owners of a batch whose first one does not learn that its caller has left
// and has sent the batch to another entry.
func TestBatchOfHalfOpenCallerRunsOnce(t *testing.T) {
	for _, oneWay := range oneWayTimes {
		s, entries := distantOwnersSimulation(t, 4, oneWay)
		s.submitTo(entries[0], 1, 9*time.Second)
		s.advance(1300 * time.Millisecond)
		s.submitTo(entries[1], 2, 9*time.Second)
		s.advance(8 * time.Second)
		assert.Equal(t, len(s.starts), 2, "%s one way: %v", oneWay, s.starts)
		assert.Equal(t, s.replies[2].answer.End, cornelwall.BatchDone, "%s one way", oneWay)
		longer := s.replies[2].at.Sub(s.replies[1].at) - oneWay
		assert.Assert(t, longer < 9*time.Millisecond, "%s one way: the second caller waits %s longer than for the run at the first entry", oneWay, longer)
	}
}

// TestBatchGoesOnForTheCallerOfAnotherEntry guards against the end of a batch that another entry has joined when the first
// caller is found to have left.
func TestBatchGoesOnForTheCallerOfAnotherEntry(t *testing.T) {
	s, entries := ownersSimulation(t)
	s.submitTo(entries[0], 1, 9*time.Second)
	s.advance(1300 * time.Millisecond)
	s.submitTo(entries[1], 2, 9*time.Second)
	s.advance(time.Second)
	s.step(entries[0], cornelwall.CallerGone{Req: 1})
	s.advance(time.Second)
	assert.Equal(t, len(s.running), 2, "the batch has ended although a caller waits")
	s.step(entries[1], cornelwall.CallerGone{Req: 2})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(s.running), 0, "the batch goes on although no caller waits")
}

// TestBatchOfLostOwnerRunsAgain guards against batches that wait for an owner that has ended, and against a second run before the
// runs of that owner have.
func TestBatchOfLostOwnerRunsAgain(t *testing.T) {
	for _, oneWay := range oneWayTimes {
		s, entries := distantOwnersSimulation(t, 4, oneWay)
		s.submitTo(entries[0], 1, 9*time.Second)
		s.advance(time.Second)
		s.cores[entries[0]] = nil
		s.submitTo(entries[1], 2, 9*time.Second)
		s.advance(8500 * time.Millisecond)
		assert.Equal(t, len(s.starts), 4, "%s one way: %v", oneWay, s.starts)
		assert.Equal(t, s.replies[2].answer.End, cornelwall.BatchDone, "%s one way: %v", oneWay, s.replies[2].answer)
	}
}

// TestOwnerThatStoodStillDoesNotGoOn guards against an owner that resumes after another entry has taken its batch over.
func TestOwnerThatStoodStillDoesNotGoOn(t *testing.T) {
	s, entries := ownersSimulation(t)
	s.submitTo(entries[0], 1, 9*time.Second)
	s.advance(time.Second)
	s.freeze(entries[0])
	s.advance(2 * time.Second)
	s.submitTo(entries[1], 2, 9*time.Second)
	s.advance(100 * time.Millisecond)
	s.thaw(entries[0], func([]cornelwall.Event) {})
	s.advance(8 * time.Second)
	assert.Equal(t, s.replies[2].answer.End, cornelwall.BatchDone, "%v", s.replies[2].answer)
}

// TestBatchIsServedAlthoughNoWitnessAnswers guards against batches that wait for witnesses which don't answer.
func TestBatchIsServedAlthoughNoWitnessAnswers(t *testing.T) {
	s, entries := ownersSimulation(t)
	cut := entries[0]
	s.messageLost = func(from, to cornelwall.Incarnation) bool { return from == cut || to == cut }
	s.submitTo(cut, 1, 9*time.Second)
	s.advance(time.Second)
	assert.Assert(t, len(s.starts) > 0, "nothing has started at an entry that is cut off")
}
