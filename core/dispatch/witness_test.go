package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const startMargin = 5 * time.Millisecond // of a first start, beyond the round trip to the witnesses

// timeToFirstStart submits the batch at an entry and returns the time until its first task starts.
func (s *simulation) timeToFirstStart(id cornelwall.Incarnation) time.Duration {
	s.t.Helper()
	began := s.now
	s.submitTo(id, 1, 9*time.Second)
	for len(s.starts) == 0 && s.now.Sub(began) < 2*time.Second {
		s.advance(simDelay)
	}
	return s.now.Sub(began)
}

// TestFarWitnessesAreWaitedFor guards against witnesses that count as silent because they are far.
func TestFarWitnessesAreWaitedFor(t *testing.T) {
	for _, oneWay := range oneWayTimes {
		for from := range 4 {
			s, entries := distantOwnersSimulation(t, 4, oneWay)
			most := 2*oneWay + startMargin
			if s.cores[entries[from]].Held() == 0 {
				most += oneWay // to the holder
			}
			took := s.timeToFirstStart(entries[from])
			assert.Assert(t, took <= most, "%s one way, from %s: the first start takes %s", oneWay, entries[from].Entry, took)
		}
	}
}

// TestFarOwnerIsFound guards against two owners of a batch whose witnesses are far: a second entry gets the batch while the first runs it.
func TestFarOwnerIsFound(t *testing.T) {
	for _, oneWay := range oneWayTimes {
		for second := 1; second < 8; second++ {
			s, entries := distantOwnersSimulation(t, 8, oneWay)
			s.submitTo(entries[0], 1, 9*time.Second)
			s.advance(500 * time.Millisecond)
			s.submitTo(entries[second], 2, 9*time.Second)
			s.advance(2*oneWay + startMargin)
			claim := s.cores[entries[second]].jobs["00000000000000ab"].claim
			assert.Assert(t, claim.state == joined && claim.joinedTo.Entry == entries[0], "%s one way, second at %s: the owner is not known", oneWay, entries[second].Entry)
			s.advance(8 * time.Second)
			assert.Equal(t, len(s.starts), 2, "%s one way, second at %s: %v", oneWay, entries[second].Entry, s.starts)
		}
	}
}

// TestKilledWitnessIsLeftOut guards against batches that wait long for a witness that has been killed.
func TestKilledWitnessIsLeftOut(t *testing.T) {
	for _, x := range []struct{ oneWay, most time.Duration }{
		{simDelay, 85 * time.Millisecond},
		{30 * time.Millisecond, 200 * time.Millisecond},
		{70 * time.Millisecond, 360 * time.Millisecond},
	} {
		for which := range witnessesPerBatch {
			s, entries := distantOwnersSimulation(t, 4, x.oneWay)
			s.cores[s.cores[entries[0]].witnessesOf("00000000000000ab")[which]] = nil
			took := s.timeToFirstStart(entries[0])
			assert.Assert(t, took <= x.most, "%s one way, witness %d: the first start takes %s", x.oneWay, which, took)
		}
	}
}

// TestPauseCountsNotAgainstWitnesses guards against witnesses that count as silent because this process stood still: their answers
// are there when it resumes, and are read after its first tick.
func TestPauseCountsNotAgainstWitnesses(t *testing.T) {
	for _, before := range []time.Duration{0, 45 * time.Millisecond, 55 * time.Millisecond} {
		for _, pause := range []time.Duration{30 * time.Millisecond, 80 * time.Millisecond, 250 * time.Millisecond, 3 * time.Second} {
			s, entries := distantOwnersSimulation(t, 4, 30*time.Millisecond)
			s.submitTo(entries[0], 1, 9*time.Second)
			s.advance(before)
			s.freeze(entries[0])
			s.advance(pause)
			s.thaw(entries[0], func([]cornelwall.Event) {})
			s.advance(20 * time.Millisecond)
			claim := s.cores[entries[0]].jobs["00000000000000ab"].claim
			assert.Assert(t, claim.missed == 0 && !claim.dropped, "a witness counts as silent after a pause of %s that began %s after the claim", pause, before)
		}
	}
}

// TestStalledReplyLengthensNoWait guards against a wait for silent witnesses that grows with one message that has stalled.
func TestStalledReplyLengthensNoWait(t *testing.T) {
	s, entries := ownersSimulation(t)
	c := s.cores[entries[0]]
	witness := c.witnessesOf("00000000000000ab")[0]
	stalled := false
	s.extraDelay = func(from, _ cornelwall.Incarnation, m *cornelwall.Message) time.Duration {
		if from != witness || m.OwnershipReplies == nil || stalled {
			return 0
		}
		stalled = true
		return 800 * time.Millisecond
	}
	s.submitTo(entries[0], 1, 9*time.Second)
	s.advance(900 * time.Millisecond)
	assert.Assert(t, stalled)
	assert.Equal(t, c.witnessTimeout(witness), minWitnessTimeout)
}

// TestWitnessesThatHaveBecomeFarAreWaitedFor guards against bounds that stay as short as the links were.
func TestWitnessesThatHaveBecomeFarAreWaitedFor(t *testing.T) {
	const oneWay = 70 * time.Millisecond
	s, entries := ownersSimulation(t)
	s.submitTo(entries[0], 1, 9*time.Second)
	s.advance(100 * time.Millisecond)
	s.extraDelay = func(_, _ cornelwall.Incarnation, _ *cornelwall.Message) time.Duration { return oneWay - simDelay }
	s.advance(3 * claimRenewal)
	c := s.cores[entries[0]]
	for _, w := range c.witnessesOf("00000000000000ab") {
		assert.Assert(t, c.witnessTimeout(w) > 2*oneWay, "%s is waited for %s only", w.Entry, c.witnessTimeout(w))
	}
}

// TestWitnessTimeout checks how long a witness is waited for, by what is known of the round trips to it and to another entry of its
// data centre.
func TestWitnessTimeout(t *testing.T) {
	const ms = time.Millisecond
	for _, x := range []struct {
		name          string
		own, other    time.Duration
		heardBefore   time.Duration
		otherAtCentre bool
		want          time.Duration
	}{
		{"near", 2 * ms, 0, 0, true, 60 * ms},
		{"far", 140 * ms, 0, 0, true, 190 * ms},
		{"very far", 600 * ms, 0, 0, true, 300 * ms},
		{"unknown", 0, 0, 0, true, 300 * ms},
		{"unknown, the data centre is near", 0, 2 * ms, 0, true, 60 * ms},
		{"unknown, the data centre is far", 0, 70 * ms, 0, true, 120 * ms},
		{"unknown, another data centre is near", 0, 2 * ms, 0, false, 300 * ms},
		{"known, another entry of the data centre is slow", 2 * ms, 200 * ms, 0, true, 60 * ms},
		{"near, without a connection", 2 * ms, 0, time.Minute, true, 60 * ms},
		{"far, without a connection", 60 * ms, 0, time.Minute, true, 230 * ms},
	} {
		t.Run(x.name, func(t *testing.T) {
			now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
			witness := cornelwall.Incarnation{DataCentre: "dc1", Entry: "e2", Epoch: 1}
			other := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e3", Epoch: 1}
			if x.otherAtCentre {
				other.DataCentre = "dc1"
			}
			c := New(Config{Self: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1", Epoch: 1}}, now)
			c.Step(now, cornelwall.MembersListed{List: []cornelwall.Member{{ID: witness, RecordsOwners: true}, {ID: other, RecordsOwners: true}}})
			c.peers[witness].heardAt = now.Add(-x.heardBefore)
			if x.own > 0 {
				c.peers[witness].roundTrips.Record(x.own)
			}
			if x.other > 0 {
				c.peers[other].roundTrips.Record(x.other)
			}
			assert.Equal(t, c.witnessTimeout(witness), x.want)
		})
	}
}

// TestSlowProcessLeavesSilentWitnessOut guards against rounds that never end at a process all of whose ticks come late.
func TestSlowProcessLeavesSilentWitnessOut(t *testing.T) {
	s, entries := ownersSimulation(t)
	c := s.cores[entries[0]]
	s.cores[c.witnessesOf("00000000000000ab")[0]] = nil
	s.submitTo(entries[0], 1, 9*time.Second)
	for range 10 {
		s.freeze(entries[0])
		s.advance(45 * time.Millisecond)
		s.thaw(entries[0], func([]cornelwall.Event) {})
		s.step(entries[0], cornelwall.Tick{})
	}
	assert.Equal(t, c.jobs["00000000000000ab"].claim.state, owned)
}

// TestWitnessKilledDuringPauseIsLeftOut guards against an entry that waits long for a silent witness once it has resumed.
func TestWitnessKilledDuringPauseIsLeftOut(t *testing.T) {
	s, entries := ownersSimulation(t)
	c := s.cores[entries[0]]
	s.submitTo(entries[0], 1, 9*time.Second)
	s.advance(100 * time.Millisecond)
	s.freeze(entries[0])
	s.advance(time.Second)
	s.cores[c.witnessesOf("00000000000000ab")[0]] = nil
	s.thaw(entries[0], func([]cornelwall.Event) {})
	s.postMembers()
	assert.Equal(t, c.jobs["00000000000000ab"].claim.state, claiming)
	s.advance(130 * time.Millisecond)
	assert.Equal(t, c.jobs["00000000000000ab"].claim.state, owned)
}
