package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// answerJoined lets an entry that has joined the batch of ownersSimulation get an answer of its owner.
func (s *simulation) answerJoined(id, owner cornelwall.Incarnation, a cornelwall.BatchAnswer) {
	s.t.Helper()
	j := s.cores[id].jobs["00000000000000ab"]
	assert.Assert(s.t, j != nil && j.claim.state == joined && j.claim.joinedTo.Entry == owner, "%s has not joined %s", id, owner)
	s.step(id, cornelwall.Receive{Envelope: cornelwall.Envelope{From: owner, To: id, Messages: []cornelwall.Message{
		{JoinReply: &cornelwall.JoinReply{ID: j.id, Number: j.claim.number, State: cornelwall.JoinAnswered, Answer: a}},
	}}})
}

// TestRefusalOfOwnerIsNotPassedOnWhereTasksHaveRun guards against "not run" to a caller at whose entry tasks of the batch have
// run before another entry owned it, and refused it.
func TestRefusalOfOwnerIsNotPassedOnWhereTasksHaveRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		join func(s *simulation, first, second cornelwall.Incarnation) // lets first join second
		want cornelwall.BatchEnd
	}{
		{"it stood still while its tasks ran", func(s *simulation, first, second cornelwall.Incarnation) {
			s.submitTo(first, 1, 9*time.Second)
			s.advance(time.Second)
			s.freeze(first)
			s.advance(2 * time.Second)
			s.submitTo(second, 2, 9*time.Second)
			s.advance(100 * time.Millisecond)
			s.thaw(first, func([]cornelwall.Event) {})
			s.advance(100 * time.Millisecond)
		}, cornelwall.BatchGivenUp},
		{"nothing ran there", func(s *simulation, first, second cornelwall.Incarnation) {
			s.submitTo(second, 2, 9*time.Second)
			s.advance(100 * time.Millisecond)
			s.submitTo(first, 1, 9*time.Second)
			s.advance(100 * time.Millisecond)
		}, cornelwall.BatchRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, entries := ownersSimulation(t)
			tc.join(s, entries[0], entries[1])
			s.answerJoined(entries[0], entries[1], cornelwall.BatchAnswer{End: cornelwall.BatchRefused, Reason: cornelwall.ReasonTooLate, Text: "the batch has not run"})
			assert.Equal(t, s.replies[1].answer.End, tc.want)
		})
	}
}

// TestOwnerThatDroppedCallerIsAskedAgain guards against a caller that waits until its deadline, as the owner of its batch has accepted it
// and has dropped it since: a repeated message to leave arrives after the request to join.
func TestOwnerThatDroppedCallerIsAskedAgain(t *testing.T) {
	s, entries := ownersSimulation(t)
	owner, other := entries[0], entries[1]
	s.submitTo(owner, 1, 9*time.Second)
	s.advance(100 * time.Millisecond)
	s.submitTo(other, 2, 20*time.Second)
	s.advance(100 * time.Millisecond)
	o := &s.cores[other].jobs["00000000000000ab"].claim
	assert.Assert(t, o.state == joined && o.accepted)
	s.step(owner, cornelwall.Receive{Envelope: cornelwall.Envelope{From: other, To: owner, Messages: []cornelwall.Message{
		{LeaveBatch: &cornelwall.LeaveBatch{ID: "00000000000000ab", Number: o.number}},
	}}})
	s.step(owner, cornelwall.CallerGone{Req: 1})
	s.advance(9 * time.Second)
	reply, answered := s.replies[2]
	assert.Assert(t, answered, "the caller still waits")
	assert.Equal(t, reply.answer.End, cornelwall.BatchDone, "%v", reply.answer)
}
