package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJudge judges a batch of a task of 100 ms whose answer is of use for 600 ms. Its run time is taken
// to be half of that at least.
func TestJudge(t *testing.T) {
	base := Batch{UsefulUntil: now.Add(600 * ms), Deadline: now.Add(2 * time.Second), CriticalPath: 100 * ms, LongestUnstarted: 100 * ms}
	for _, tc := range []struct {
		name   string
		change func(*Batch)
		after  time.Duration
		want   Verdict
	}{
		{"there is time", func(*Batch) {}, 400 * ms, Proceed},
		{"last chance to withdraw", func(*Batch) {}, 430 * ms, WithdrawWaiting},
		{"withdrawn, tasks not all back", func(b *Batch) { b.Withdrawn = true }, 440 * ms, Proceed},
		{"withdrawn, all back", func(b *Batch) { b.Withdrawn, b.Unassigned = true, true }, 440 * ms, Refuse},
		{"nothing assigned, too late", func(b *Batch) { b.Unassigned = true }, 550 * ms, Refuse},
		{"started, the rest can end in time", func(b *Batch) { b.Started = true }, 550 * ms, Proceed},
		{"started, the rest can't", func(b *Batch) { b.Started = true }, 551 * ms, GiveUpTooLate},
		{"all started", func(b *Batch) { b.Started, b.LongestUnstarted = true, -1 }, 551 * ms, Proceed},
		{"past the deadline", func(b *Batch) { b.Started, b.LongestUnstarted = true, -1 }, 2001 * ms, GiveUpAtDeadline},
		{"the caller waits less long than the answer is of use", func(b *Batch) { b.Unassigned, b.Deadline = true, now.Add(300*ms) }, 260 * ms, Refuse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := base
			tc.change(&b)
			assert.Equal(t, b.Judge(now.Add(tc.after)), tc.want)
		})
	}
}

func TestAdmit(t *testing.T) {
	b := Batch{UsefulUntil: now.Add(600 * ms), Deadline: now.Add(2 * time.Second), CriticalPath: 400 * ms}
	assert.Equal(t, b.Admit(now, 200*ms), Admit)
	assert.Equal(t, b.Admit(now, 201*ms), RefuseFull)
	assert.Equal(t, b.Admit(now.Add(401*ms), 0), RefuseTooLate)
	assert.Assert(t, b.FitsBefore(now, now.Add(400*ms)))
	assert.Assert(t, !b.FitsBefore(now, now.Add(399*ms)))
}
