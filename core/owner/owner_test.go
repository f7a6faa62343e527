package owner

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const ticketTTL = 10 * time.Minute

func ticketAt(seq uint64, minted time.Duration) cornelwall.Ticket {
	return cornelwall.Ticket{Seq: seq, MintMs: uint64(minted / time.Millisecond)}
}

func newJob(t *Table, seq uint64, tasks int) *Job {
	spec := &cornelwall.Job{Ticket: ticketAt(seq, 0), Tasks: make([]cornelwall.Task, tasks)}
	return t.Add(spec, 1, time.Time{}, time.Time{}, time.Time{})
}

// TestAbortOutcomes aborts jobs whose tasks are in different states, and checks the outcome at once
// and after the last running task has ended.
func TestAbortOutcomes(t *testing.T) {
	ran := cornelwall.Result{Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask}
	lost := cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonLost}
	refused := cornelwall.Result{Outcome: cornelwall.NotRun}
	for _, tt := range []struct {
		name          string
		before, after []cornelwall.Result // of the running tasks of a job of three
		running       int
		atAbort, last cornelwall.Outcome
	}{
		{"nothing started", nil, nil, 0, cornelwall.NotRun, cornelwall.NotRun},
		{"one running, which failed", nil, []cornelwall.Result{ran}, 1, cornelwall.Unknown, cornelwall.Failed},
		{"one running, which was refused", nil, []cornelwall.Result{refused}, 1, cornelwall.Unknown, cornelwall.NotRun},
		{"one running, which was lost", nil, []cornelwall.Result{lost}, 1, cornelwall.Unknown, cornelwall.Unknown},
		{"one done and one running", []cornelwall.Result{{Outcome: cornelwall.Done}}, []cornelwall.Result{refused}, 2, cornelwall.Failed, cornelwall.Failed},
		{"all running, which are done", nil, []cornelwall.Result{{Outcome: cornelwall.Done}, {Outcome: cornelwall.Done}, {Outcome: cornelwall.Done}}, 3, cornelwall.Unknown, cornelwall.Done},
		{"two running", nil, []cornelwall.Result{refused, ran}, 2, cornelwall.Unknown, cornelwall.Failed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			j := newJob(NewTable(ticketTTL, 10, 10), 1, 3)
			for i := range tt.running {
				assert.Assert(t, j.Start(i))
			}
			for i, r := range tt.before {
				j.End(i, r)
			}
			j.Abort(cornelwall.ReasonCancelled, 0, "")
			assert.Equal(t, j.Answer.Outcome, tt.atAbort)
			assert.Equal(t, j.Answer.Final, tt.atAbort != cornelwall.Unknown)
			for i, r := range tt.after {
				if r.Outcome == cornelwall.NotRun {
					j.UndoStart(len(tt.before) + i)
				} else {
					j.End(len(tt.before)+i, r)
				}
			}
			assert.Equal(t, j.Answer.Outcome, tt.last)
			assert.Assert(t, j.Answer.Final)
			assert.Assert(t, !j.Start(2), "a task started after the job ended")
		})
	}
}

func TestRefusals(t *testing.T) {
	table := NewTable(ticketTTL, 100, 10)
	at := func(i int) cornelwall.Ticket { return ticketAt(uint64(i+1), time.Duration(i)*time.Second) }
	for i := range 300 {
		table.Refuse(at(i), Refusal{cornelwall.ReasonQueueFull, 1500 * time.Millisecond})
		assert.Assert(t, table.Refusals() <= 100)
	}
	r, ok := table.Refused(at(299))
	assert.Assert(t, ok)
	assert.Equal(t, r, Refusal{cornelwall.ReasonQueueFull, 1500 * time.Millisecond})
	r, ok = table.Refused(at(0))
	assert.Assert(t, ok, "a refusal was lost when its bucket was dropped")
	assert.Equal(t, r.Reason, cornelwall.ReasonOverload)
	_, ok = table.Refused(at(301))
	assert.Assert(t, !ok)
	table.ExpireRefusals(300*time.Second + ticketTTL + ticketTTL/bucketsPerTTL)
	assert.Equal(t, table.Refusals(), 0)
}

// TestRefusalSize refuses 500 tickets a second for the TTL of a ticket and checks how much memory the
// refusals take.
func TestRefusalSize(t *testing.T) {
	const n, maxBytes = 300000, 8 << 20 // bytes
	var before, after runtime.MemStats
	table := NewTable(ticketTTL, 1<<20, 10)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range n {
		table.Refuse(ticketAt(uint64(i+1), time.Duration(i)*2*time.Millisecond), Refusal{Reason: cornelwall.ReasonQueueFull})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d refusals take %d bytes, %.1f each", table.Refusals(), size, float64(size)/n)
	assert.Equal(t, table.Refusals(), n)
	assert.Assert(t, size < maxBytes)
}

// TestDropResults ends jobs whose results exceed the limit and checks that the oldest results are
// dropped and replaced by an unknown outcome.
func TestDropResults(t *testing.T) {
	table := NewTable(ticketTTL, 10, 25)
	for seq := range uint64(4) {
		j := newJob(table, seq+1, 1)
		j.Start(0)
		assert.Assert(t, j.End(0, cornelwall.Result{Outcome: cornelwall.Done, Body: make([]byte, 10)}))
		table.Compact(j)
	}
	for seq, want := range []cornelwall.Outcome{cornelwall.Unknown, cornelwall.Unknown, cornelwall.Done, cornelwall.Done} {
		a := table.Get(uint64(seq + 1)).Answer
		assert.Equal(t, a.Outcome, want)
		assert.Equal(t, a.Tasks[0].Outcome, cornelwall.Done)
	}
	assert.Equal(t, table.ResultBytes(), 20)
	for seq := range uint64(4) {
		table.Remove(seq + 1)
	}
	assert.Equal(t, table.ResultBytes(), 0)
}
