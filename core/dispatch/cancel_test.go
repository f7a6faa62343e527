package dispatch

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const testCancelTime = 3 * time.Second

// cancelSystem is a system of four entries, of which the first holds the only endpoint.
type cancelSystem struct {
	*simulation
	ids []cornelwall.Incarnation
}

func newCancelSystem(t *testing.T, maxMeshPeers int) *cancelSystem {
	t.Helper()
	s := &cancelSystem{simulation: newSimulation(t)}
	s.cancelTime = testCancelTime
	info := cornelwall.Endpoint{ID: "x1", Service: "s", Addr: s.addr(100), DataCentre: "dc0", Capacity: cornelwall.Resources{Cores: 8000}}
	s.addEndpoint(info)
	for i := range 4 {
		id := cornelwall.Incarnation{DataCentre: "dc" + fmt.Sprint(min(i, 1)), Entry: fmt.Sprintf("e%d", i), Epoch: 1}
		s.ids = append(s.ids, id)
		s.addEntry(id)
		s.cores[id].cfg.MaxMeshPeers = cmp.Or(maxMeshPeers, fullMeshPeers)
		s.step(id, endpointsListed([]cornelwall.Endpoint{info}))
	}
	for range 15 {
		s.tickList(100 * time.Millisecond)
	}
	assert.Equal(t, s.cores[s.ids[0]].Held(), 1)
	return s
}

// tickList lets time pass, and then sends all entries the list of entries.
func (s *cancelSystem) tickList(d time.Duration) {
	s.advance(d)
	s.postMembers()
}

const cancelledBatch = "00000000000000ab"

func (s *cancelSystem) submitTo(i int, req uint64) {
	s.step(s.ids[i], cornelwall.SubmitBatch{Req: req, Host: "h", Path: "/q/" + cancelledBatch, TimeLeft: 9 * time.Second, Batch: &cornelwall.BatchJob{
		ID: cancelledBatch, Steps: []cornelwall.Step{{Count: 1, Need: cornelwall.Resources{Cores: 8000}, Estimate: 100 * time.Millisecond}},
	}})
}

func (s *cancelSystem) cancelAt(i int, req uint64) {
	s.step(s.ids[i], cornelwall.CancelBatch{Req: req, ID: cancelledBatch})
}

// checkEnd checks the answer to a request.
func (s *cancelSystem) checkEnd(req uint64, end cornelwall.BatchEnd) {
	s.t.Helper()
	r, ok := s.replies[req]
	assert.Assert(s.t, ok, "request %d is not answered", req)
	assert.Equal(s.t, r.answer.End, end, "request %d: %+v", req, r.answer)
	if end == cornelwall.BatchRefused {
		assert.Assert(s.t, r.answer.RetryAfter > 0)
	}
}

// TestCancelInCalm checks that the cancellation of a batch that another entry owns stops it, and is answered within a
// round trip; also of one that has ended, was never submitted, or is cancelled twice.
func TestCancelInCalm(t *testing.T) {
	s := newCancelSystem(t, 0)
	s.submitTo(1, 1)
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(s.running), 1)
	asked := s.now
	s.cancelAt(3, 2)
	s.advance(100 * time.Millisecond)
	s.checkEnd(1, cornelwall.BatchCancelled)
	s.checkEnd(2, cornelwall.BatchCancelled)
	assert.Assert(t, s.replies[2].at.Sub(asked) <= 4*simDelay, "answered after %s", s.replies[2].at.Sub(asked))
	assert.Equal(t, len(s.running), 0)

	for req := uint64(3); req < 5; req++ { // cancelled twice, at the same entry and at another
		s.cancelAt(int(5-req), req)
	}
	s.step(s.ids[3], cornelwall.CancelBatch{Req: 5, ID: "00000000000000ff"})
	s.step(s.ids[3], cornelwall.CancelBatch{Req: 6, ID: "not a batch"})
	s.advance(100 * time.Millisecond)
	for req := uint64(3); req <= 6; req++ {
		s.checkEnd(req, cornelwall.BatchCancelled)
	}
	s.submitTo(2, 7)
	s.advance(time.Second)
	s.checkEnd(7, cornelwall.BatchCancelled)
	assert.Equal(t, len(s.starts), 1, "a cancelled batch that is submitted again runs")
}

// TestCancellationReadBeforeItsBatch guards against an entry that forgets a cancellation that it reads before the
// batch: a frozen entry that resumes reads both in any order.
func TestCancellationReadBeforeItsBatch(t *testing.T) {
	for _, dropped := range []bool{false, true} {
		for _, first := range []bool{false, true} {
			t.Run(fmt.Sprintf("dropped=%t,batch first=%t", dropped, first), func(t *testing.T) {
				s := newCancelSystem(t, 0)
				s.freeze(s.ids[1])
				s.submitTo(1, 1)
				s.tickList(500 * time.Millisecond)
				s.cancelAt(3, 2)
				s.tickList(time.Second)
				_, answered := s.replies[2]
				assert.Assert(t, !answered, "acknowledged although a listed entry does not know it")
				s.unlisted[s.ids[1]] = dropped
				s.tickList(500 * time.Millisecond)
				s.tickList(500 * time.Millisecond)
				if dropped {
					s.checkEnd(2, cornelwall.BatchCancelled)
				}
				s.thaw(s.ids[1], func(events []cornelwall.Event) {
					slices.SortStableFunc(events, func(a, b cornelwall.Event) int {
						rank := func(ev cornelwall.Event) int {
							_, isBatch := ev.(cornelwall.SubmitBatch)
							return map[bool]int{isBatch: 1}[!first]
						}
						return cmp.Compare(rank(a), rank(b))
					})
				})
				s.unlisted[s.ids[1]] = false
				for range 30 {
					s.tickList(100 * time.Millisecond)
				}
				s.checkEnd(1, cornelwall.BatchCancelled)
				s.checkEnd(2, cornelwall.BatchCancelled)
				assert.Equal(t, len(s.starts), 0, "a batch starts after its cancellation was acknowledged")
			})
		}
	}
}

// TestCancelAtEntryThatKnowsNoOther guards against an entry that acknowledges a cancellation without a list of entries.
func TestCancelAtEntryThatKnowsNoOther(t *testing.T) {
	s := newCancelSystem(t, 0)
	s.submitTo(1, 1)
	s.advance(100 * time.Millisecond)
	restarted := s.ids[3]
	restarted.Epoch++
	s.cores[restarted] = New(Config{Self: restarted, Addr: s.addr(3), Limits: s.cores[s.ids[3]].cfg.Limits}, s.now)
	delete(s.cores, s.ids[3])
	s.ids[3], s.order[3] = restarted, restarted
	s.cancelAt(3, 2)
	s.advance(10 * time.Millisecond)
	s.checkEnd(2, cornelwall.BatchRefused)
	for range 5 {
		s.tickList(100 * time.Millisecond)
	}
	s.cancelAt(3, 3)
	s.tickList(500 * time.Millisecond)
	s.checkEnd(1, cornelwall.BatchCancelled)
	s.checkEnd(3, cornelwall.BatchCancelled)
}

// TestCancelWhilePeerIsSilent guards against a cancellation that is dropped because the peer that owns the batch is
// silent for longer than holderTimeout. It is acknowledged only once the peer has it.
func TestCancelWhilePeerIsSilent(t *testing.T) {
	for _, tc := range []struct {
		silence time.Duration
		end     cornelwall.BatchEnd
	}{{2 * time.Second, cornelwall.BatchCancelled}, {cancelWait + time.Second, cornelwall.BatchRefused}} {
		t.Run(tc.silence.String(), func(t *testing.T) {
			s := newCancelSystem(t, 0)
			cut := true
			s.messageLost = func(a, b cornelwall.Incarnation) bool {
				return cut && (a == s.ids[1] && b == s.ids[3] || a == s.ids[3] && b == s.ids[1])
			}
			s.submitTo(1, 1)
			s.tickList(200 * time.Millisecond)
			s.cancelAt(3, 2)
			for range int(tc.silence / (100 * time.Millisecond)) {
				s.tickList(100 * time.Millisecond)
			}
			cut = false
			for range 12 {
				s.tickList(100 * time.Millisecond)
			}
			s.checkEnd(2, tc.end)
			s.checkEnd(1, cornelwall.BatchCancelled)
			s.cancelAt(3, 3)
			s.advance(10 * time.Millisecond)
			s.checkEnd(3, cornelwall.BatchCancelled)
		})
	}
}

// TestUnlistedEntryStartsNothing guards against an entry that is missing from the list, and that other entries have
// forgotten, and runs batches whose cancellations it is not told of.
func TestUnlistedEntryStartsNothing(t *testing.T) {
	s := newCancelSystem(t, -1)
	s.unlisted[s.ids[1]] = true
	for range 150 {
		s.tickList(100 * time.Millisecond)
	}
	if p := s.cores[s.ids[3]].peers[s.ids[1]]; p != nil {
		s.cores[s.ids[3]].removePeer(p)
	}
	s.submitTo(1, 1)
	s.tickList(100 * time.Millisecond)
	s.cancelAt(3, 2)
	s.tickList(100 * time.Millisecond)
	s.checkEnd(2, cornelwall.BatchCancelled)
	s.checkEnd(1, cornelwall.BatchRefused)
	assert.Equal(t, len(s.starts), 0, "a batch starts although its cancellation was acknowledged")

	s.unlisted[s.ids[1]] = false
	s.tickList(100 * time.Millisecond)
	s.tickList(100 * time.Millisecond)
	s.submitTo(1, 3)
	s.tickList(100 * time.Millisecond)
	s.checkEnd(3, cornelwall.BatchCancelled)
}

// TestHolderKnowsCancellation guards against runs of an owner that does not know of the cancellation: it is cut off
// from the platform and from the canceller, and the holder of its runs is not.
func TestHolderKnowsCancellation(t *testing.T) {
	s := newCancelSystem(t, 0)
	owner := s.ids[1]
	s.messageLost = func(a, b cornelwall.Incarnation) bool {
		return (a == owner || b == owner) && a != s.ids[0] && b != s.ids[0]
	}
	s.step(owner, cornelwall.PlatformLost{})
	s.unlisted[owner] = true
	lose := func() {
		for range 5 {
			s.advance(100 * time.Millisecond)
			for _, id := range s.order {
				if id != owner {
					s.step(id, cornelwall.MembersListed{List: s.members()})
				}
			}
		}
	}
	lose()
	s.submitTo(1, 1)
	s.advance(50 * time.Millisecond)
	assert.Equal(t, len(s.starts), 1)
	s.cancelAt(3, 2)
	lose()
	s.checkEnd(2, cornelwall.BatchCancelled)
	s.checkEnd(1, cornelwall.BatchCancelled)
	assert.Equal(t, len(s.running), 0)
	assert.Equal(t, len(s.starts), 1, "the holder starts a task of a cancelled batch again")
}

// TestStoppingEntryConfirmsCancellation guards against a cancellation that is acknowledged although an entry that makes
// a planned stop, and has left the list, goes on with the batch.
func TestStoppingEntryConfirmsCancellation(t *testing.T) {
	s := newCancelSystem(t, 0)
	s.submitTo(1, 1)
	s.advance(100 * time.Millisecond)
	s.step(s.ids[1], cornelwall.Stop{})
	s.advance(10 * time.Millisecond)
	s.unlisted[s.ids[1]] = true
	s.tickList(100 * time.Millisecond)
	s.checkWaitsForStopping(3)
}

// checkWaitsForStopping cancels at an entry the batch of the stopping entry 1, which at first gets no messages. The cancellation must
// not be acknowledged before they arrive.
func (s *cancelSystem) checkWaitsForStopping(entry int) {
	s.t.Helper()
	lost := true
	s.messageLost = func(_, to cornelwall.Incarnation) bool { return lost && to == s.ids[1] }
	s.cancelAt(entry, 2)
	s.advance(300 * time.Millisecond)
	_, answered := s.replies[2]
	assert.Assert(s.t, !answered, "acknowledged although the stopping entry does not know it")
	lost = false
	s.advance(time.Second)
	s.checkEnd(2, cornelwall.BatchCancelled)
	s.checkEnd(1, cornelwall.BatchCancelled)
}

// TestStoppingEntryConfirmsToEntryThatHasJoined guards against a cancellation that an entry acknowledges although one that it has never seen
// on the list goes on with the batch: that one makes a planned stop, and left the list before.
func TestStoppingEntryConfirmsToEntryThatHasJoined(t *testing.T) {
	s := newCancelSystem(t, 0)
	s.submitTo(1, 1)
	s.advance(100 * time.Millisecond)
	s.step(s.ids[1], cornelwall.Stop{})
	s.unlisted[s.ids[1]] = true
	s.tickList(100 * time.Millisecond)
	joined := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e9", Epoch: 1}
	s.addEntry(joined)
	s.ids = append(s.ids, joined)
	s.tickList(300 * time.Millisecond)
	s.checkWaitsForStopping(4)
}

// TestCancelAmongVersions checks that an entry of an earlier version is told of a cancellation, and not waited for.
func TestCancelAmongVersions(t *testing.T) {
	s := newCancelSystem(t, 0)
	s.cancelTime = 0
	old := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e9", Epoch: 1}
	s.addEntry(old)
	s.cancelTime = testCancelTime
	s.ids = append(s.ids, old)
	s.advance(300 * time.Millisecond)
	s.submitTo(4, 1)
	s.advance(100 * time.Millisecond)
	s.cancelAt(3, 2)
	s.advance(100 * time.Millisecond)
	s.checkEnd(1, cornelwall.BatchCancelled)
	s.checkEnd(2, cornelwall.BatchCancelled)
}

// TestFullTableRefusesCancellations checks that an entry that cannot record a cancellation neither confirms it nor forgets
// another one for it.
func TestFullTableRefusesCancellations(t *testing.T) {
	s := newCancelSystem(t, 0)
	full := s.cores[s.ids[1]]
	for i := range cornelwall.MaxCancellations {
		full.cancelled[fmt.Sprintf("%016x", i+0x1000)] = s.now
	}
	s.cancelAt(3, 1)
	s.advance(cancelWait + 100*time.Millisecond)
	s.checkEnd(1, cornelwall.BatchRefused)
	assert.Equal(t, len(full.cancelled), cornelwall.MaxCancellations)
	s.advance(cancellationTTL)
	assert.Equal(t, len(full.cancelled), 0)
}

// TestFloodOfCancellationsIsBounded guards against cancellations that are kept to be sent although the table is full.
func TestFloodOfCancellationsIsBounded(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	c := New(Config{Self: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}, Limits: Limits{CancelTime: testCancelTime}}, now)
	c.Step(now, cornelwall.MembersListed{})
	for i := range cornelwall.MaxCancellations {
		id := fmt.Sprintf("%016x", i)
		c.recordCancellations([]cornelwall.Cancellation{{ID: id}})
		c.addCancellation(id)
	}
	refused := 0
	for i := range 10 {
		for _, cmd := range c.Step(now, cornelwall.CancelBatch{Req: uint64(i), ID: fmt.Sprintf("%016x", cornelwall.MaxCancellations+i)}) {
			if r, ok := cmd.(cornelwall.ReplyBatch); ok && r.Answer.End == cornelwall.BatchRefused {
				refused++
			}
		}
	}
	assert.Equal(t, refused, 10)
	assert.Equal(t, len(c.ownCancels), cornelwall.MaxCancellations)
}

// TestCancellationMemory bounds the memory of the records of a burst, a third of 850 batches a second for 12 s, and of a
// full table.
func TestCancellationMemory(t *testing.T) {
	const most = 160 // bytes for each record
	for _, n := range []int{850 / 3 * 12, cornelwall.MaxCancellations} {
		used := func() int64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return int64(m.HeapAlloc)
		}
		now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
		c := New(Config{Self: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}, Limits: Limits{CancelTime: testCancelTime}}, now)
		before := used()
		for i := range n {
			assert.Assert(t, c.recordCancellations([]cornelwall.Cancellation{{ID: fmt.Sprintf("%016x", i)}}))
		}
		took := used() - before
		t.Logf("%d records take %d bytes", n, took)
		assert.Assert(t, took <= int64(n)*most, "%d records take %d bytes", n, took)
		assert.Equal(t, c.recordCancellations([]cornelwall.Cancellation{{ID: "00000000ffffffff"}}), n < cornelwall.MaxCancellations)
		runtime.KeepAlive(c)
	}
}
