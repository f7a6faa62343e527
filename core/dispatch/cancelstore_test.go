package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const simStoreTimeout = 600 * time.Millisecond // after which a call without an answer counts as failed

// cancelStore is a stand-in for what the platform's store keeps of cancellations.
type cancelStore struct {
	stored map[cornelwall.Incarnation][]cornelwall.Cancellation // by the entry that wrote them
	writes []time.Time                                          // when each began
	reads  int
	// storeLost reports whether the store does not answer an entry; a write is not carried out then.
	storeLost func(id cornelwall.Incarnation) bool
	keepsLate bool // writes are carried out although they are not answered
}

func newCancelStore() cancelStore {
	return cancelStore{
		stored:    map[cornelwall.Incarnation][]cornelwall.Cancellation{},
		storeLost: func(cornelwall.Incarnation) bool { return false },
	}
}

func (s *simulation) writeCancellations(id cornelwall.Incarnation, cmd cornelwall.StoreCancellations) {
	s.writes = append(s.writes, s.now)
	lost := s.storeLost(id)
	if !lost || s.keepsLate {
		s.after(simDelay, func() { s.stored[id] = cmd.List })
	}
	s.answerStoreCall(id, cornelwall.CancellationsStored{Number: cmd.Number, Done: !lost}, lost)
}

func (s *simulation) readCancellations(id cornelwall.Incarnation, cmd cornelwall.ReadCancellations) {
	s.reads++
	ev := cornelwall.CancellationsRead{Round: cmd.Round, Done: !s.storeLost(id)}
	for _, list := range s.stored {
		if ev.Done {
			ev.List = append(ev.List, list...)
		}
	}
	s.answerStoreCall(id, ev, !ev.Done)
}

// answerStoreCall posts the end of a call to the store.
func (s *simulation) answerStoreCall(id cornelwall.Incarnation, ev cornelwall.Event, lost bool) {
	wait := 2 * simDelay
	if lost {
		wait = simStoreTimeout
	}
	s.after(wait, func() { s.step(id, ev) })
}

// restartAll kills all entries at once, and starts others under their names.
func (s *cancelSystem) restartAll() {
	for i, id := range s.ids {
		s.cores[id] = nil
		delete(s.cores, id)
		s.ids[i].Epoch++
	}
	s.order = slices.Clone(s.ids)
	for i, id := range s.ids {
		s.cores[id] = New(Config{Self: id, Addr: s.addr(i), MaxMeshPeers: fullMeshPeers, Limits: Limits{MaxLease: time.Second, StopDelay: 50 * time.Millisecond, StopGrace: 6 * time.Second, CancelTime: s.cancelTime}}, s.now)
	}
	for _, id := range s.ids {
		s.step(id, cornelwall.QueueConfigRead{Config: &cornelwall.QueueConfig{Version: 1, Queues: []cornelwall.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Attempts: 2, Timeout: 9 * time.Second, Stretch: 40},
		}}})
	}
}

// TestCancellationOutlivesAllEntries guards against a cancellation that is lost with all entries after it was acknowledged (review/14).
func TestCancellationOutlivesAllEntries(t *testing.T) {
	s := newCancelSystem(t, 0)
	s.submitTo(1, 1)
	s.advance(100 * time.Millisecond)
	s.cancelAt(3, 2)
	for range 100 {
		if _, answered := s.replies[2]; answered {
			break
		}
		s.advance(simDelay)
	}
	s.checkEnd(2, cornelwall.BatchCancelled)
	s.restartAll()
	for range 10 {
		s.tickList(100 * time.Millisecond)
	}
	started := len(s.starts)
	s.submitTo(2, 3)
	s.advance(time.Second)
	s.checkEnd(3, cornelwall.BatchCancelled)
	assert.Equal(t, len(s.starts), started, "the batch starts after its cancellation was acknowledged")
}

// TestCancellationIsAcknowledgedOnceStored checks that a DELETE is refused in time while the store takes no write, also if it carries
// writes out without an answer, and acknowledged once it does.
func TestCancellationIsAcknowledgedOnceStored(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newCancelSystem(t, 0)
		s.keepsLate = late
		s.storeLost = func(id cornelwall.Incarnation) bool { return id == s.ids[3] }
		s.cancelAt(3, 1)
		s.tickList(cancelWait + 50*time.Millisecond)
		s.checkEnd(1, cornelwall.BatchRefused)
		n := len(s.writes)
		assert.Assert(t, n > 1 && n <= int(cancelWait/cancelWriteRetry)+1, "%d writes", n)
		s.advance(2 * time.Second)
		assert.Equal(t, len(s.writes), n, "writes that nobody waits for")
		s.cancelAt(3, 2)
		s.storeLost = func(cornelwall.Incarnation) bool { return false }
		s.tickList(cancelWriteRetry + simStoreTimeout)
		s.checkEnd(2, cornelwall.BatchCancelled)
		s.cancelAt(1, 3)
		s.advance(100 * time.Millisecond)
		s.checkEnd(3, cornelwall.BatchCancelled)
	}
}

// TestCancellationsShareWrites cancels batches at one entry every few milliseconds, and counts its writes. Nothing is written or read
// in calm.
func TestCancellationsShareWrites(t *testing.T) {
	s := newCancelSystem(t, 0)
	interval := time.Duration(len(s.ids)) * cancelWriteShare
	before := s.reads
	s.tickList(time.Second)
	assert.Equal(t, len(s.writes), 0)
	const cancels = 200
	began := s.now
	for i := range cancels {
		s.step(s.ids[3], cornelwall.CancelBatch{Req: uint64(100 + i), ID: fmt.Sprintf("%016x", 1000+i)})
		s.advance(5 * simDelay)
	}
	s.advance(2 * interval)
	for i := range cancels {
		s.checkEnd(uint64(100+i), cornelwall.BatchCancelled)
	}
	n := len(s.writes)
	most := int((s.now.Sub(began)+cancelWriteLead)/interval) + 1
	assert.Assert(t, n > 1 && n <= most, "%d writes in %s", n, s.now.Sub(began))
	assert.Equal(t, len(s.stored[s.ids[3]]), cancels)
	assert.Equal(t, s.reads, before)
	s.tickList(cancellationTTL + 10*time.Second)
	assert.Equal(t, len(s.writes), n)
	assert.Equal(t, len(s.cores[s.ids[3]].callerCancels), 0)
}

// TestCancelWriteInterval checks that the writes of all entries together stay below a quarter of what the store takes, as long as callers
// need not wait for more than maxCancelWriteInterval.
func TestCancelWriteInterval(t *testing.T) {
	for _, tc := range []struct {
		peers int
		want  time.Duration
	}{{0, 10 * time.Millisecond}, {7, 80 * time.Millisecond}, {146, 1470 * time.Millisecond}, {999, maxCancelWriteInterval}} {
		c := New(Config{}, time.Time{})
		c.peersByID = make([]*peer, tc.peers)
		assert.Equal(t, c.cancelWriteInterval(), tc.want, "%d peers", tc.peers)
	}
}

// TestStartedEntryReadsStoreOnlyInDoubt checks that an entry that starts asks its peers, and reads the store only if they cannot tell. It
// serves callers although the store does not answer, acknowledges nothing, and has what it missed once the store does.
func TestStartedEntryReadsStoreOnlyInDoubt(t *testing.T) {
	s := newCancelSystem(t, 0)
	s.cancelAt(3, 1)
	s.advance(100 * time.Millisecond)
	s.checkEnd(1, cornelwall.BatchCancelled)
	before := s.reads
	joined := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e9", Epoch: 1}
	s.addEntry(joined)
	s.tickList(100 * time.Millisecond)
	assert.Assert(t, s.cores[joined].isCancelled(cancelledBatch) && !s.cores[joined].mustCatchUp())
	assert.Equal(t, s.reads, before)

	s.storeLost = func(cornelwall.Incarnation) bool { return true }
	s.restartAll()
	s.tickList(100 * time.Millisecond)
	for range 50 {
		s.tickList(100 * time.Millisecond)
	}
	assert.Assert(t, !s.cores[s.ids[0]].catchingUp() && s.cores[s.ids[0]].mustCatchUp())
	s.cancelAt(0, 2)
	s.advance(cancelWait + 100*time.Millisecond)
	s.checkEnd(2, cornelwall.BatchRefused)
	delete(s.cores[s.ids[1]].cancelled, cancelledBatch) // that it is told of now
	s.storeLost = func(cornelwall.Incarnation) bool { return false }
	s.tickList(catchUpReadRetry + simStoreTimeout)
	assert.Assert(t, s.cores[s.ids[1]].isCancelled(cancelledBatch) && !s.cores[s.ids[1]].mustCatchUp())
}

// TestReadOfEarlierRoundCompletesNothing guards against a read that began before an entry was off the list: what was
// acknowledged meanwhile is not in it.
func TestReadOfEarlierRoundCompletesNothing(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	self := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}
	c := New(Config{Self: self, Limits: Limits{CancelTime: testCancelTime}}, now)
	listed := cornelwall.MembersListed{List: []cornelwall.Member{{ID: self, KeepsCancellations: true}}}
	read := func(commands []cornelwall.Command) cornelwall.ReadCancellations {
		for _, cmd := range commands {
			if r, ok := cmd.(cornelwall.ReadCancellations); ok {
				return r
			}
		}
		t.Fatal("nothing is read")
		return cornelwall.ReadCancellations{}
	}
	first := read(c.Step(now, listed))
	c.Step(now, cornelwall.MembersListed{})
	now = now.Add(catchUpReadRetry)
	second := read(c.Step(now, listed))
	c.Step(now, cornelwall.CancellationsRead{Round: first.Round, Done: true})
	assert.Assert(t, c.mustCatchUp())
	c.Step(now, cornelwall.CancellationsRead{Round: second.Round, Done: true, List: []cornelwall.Cancellation{{ID: cancelledBatch, Age: time.Second}}})
	assert.Assert(t, !c.mustCatchUp() && c.isCancelled(cancelledBatch))
}

// TestCancellationsAreStoredAgainAfterOutage checks that an entry stores its cancellations again once the platform is back: the store may
// have removed them meanwhile.
func TestCancellationsAreStoredAgainAfterOutage(t *testing.T) {
	s := newCancelSystem(t, 0)
	s.cancelAt(3, 1)
	s.advance(100 * time.Millisecond)
	s.checkEnd(1, cornelwall.BatchCancelled)
	for _, id := range s.ids {
		s.step(id, cornelwall.PlatformLost{})
	}
	s.advance(time.Second)
	clear(s.stored)
	n := len(s.writes)
	s.tickList(time.Second)
	s.tickList(100 * time.Millisecond)
	assert.Equal(t, len(s.writes), n+1)
	list := s.stored[s.ids[3]]
	assert.Assert(t, len(list) == 1 && list[0].ID == cancelledBatch && list[0].Age >= 2*time.Second, "%v", list)
}
