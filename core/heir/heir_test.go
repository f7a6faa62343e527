package heir_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/heir"
)

const ticketTTL = 10 * time.Minute

var (
	start = time.Unix(1700000000, 0)
	a     = cornelwall.Incarnation{DataCentre: "ikeja", Entry: "a", Epoch: 1}
	b     = cornelwall.Incarnation{DataCentre: "ikeja", Entry: "b", Epoch: 2}
	c     = cornelwall.Incarnation{DataCentre: "ikeja", Entry: "c", Epoch: 3}
	d     = cornelwall.Incarnation{DataCentre: "ikeja", Entry: "d", Epoch: 4}
)

func record(seq uint64) cornelwall.Record {
	return cornelwall.Record{Seq: seq, Answer: cornelwall.Answer{
		Ticket: cornelwall.Ticket{Owner: a, Seq: seq}, Outcome: cornelwall.Done, Final: true}}
}

func part(i, of int, seqs ...uint64) *cornelwall.RecordTransfer {
	in := &cornelwall.RecordTransfer{Predecessor: a, ClosedAfter: cornelwall.Duration(time.Hour), Part: i, Parts: of}
	for _, seq := range seqs {
		in.Records = append(in.Records, record(seq))
	}
	return in
}

// TestReceive puts parts together in every way in which they can come. A table that
// lacks a record would answer "not run" for a job that ran.
func TestReceive(t *testing.T) {
	type step struct {
		from cornelwall.Incarnation
		part *cornelwall.RecordTransfer
		want heir.Progress
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"in order", []step{{a, part(0, 2, 1, 2), heir.Incomplete}, {a, part(1, 2, 3), heir.Complete}}},
		{"out of order", []step{{a, part(1, 2, 3), heir.Incomplete}, {a, part(0, 2, 1, 2), heir.Complete}}},
		{"doubled", []step{{a, part(0, 2, 1, 2), heir.Incomplete}, {a, part(0, 2, 1, 2), heir.Incomplete}, {a, part(1, 2, 3), heir.Complete}}},
		{"two senders with other cuts", []step{
			{a, part(0, 2, 1), heir.Incomplete}, {b, part(1, 2, 2), heir.Incomplete}, {a, part(1, 2, 2, 3), heir.Complete}}},
		{"one sender with another cut", []step{
			{a, part(0, 3, 1), heir.Incomplete}, {a, part(1, 2, 3), heir.Incomplete}, {a, part(0, 2, 1, 2), heir.Complete}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := heir.NewArchive(ticketTTL, 1<<20)
			for _, s := range tt.steps {
				assert.Equal(t, k.Receive(start, s.from, s.part), s.want)
				assert.Equal(t, k.Has(a), s.want == heir.Complete)
			}
			for _, seq := range []uint64{1, 2, 3} {
				r, ok := k.Lookup(start, cornelwall.Ticket{Owner: a, Seq: seq, MintMs: 3600_000})
				assert.Assert(t, ok)
				assert.Equal(t, r.Answer.Outcome, cornelwall.Done, "ticket %d", seq)
			}
		})
	}
}

// TestOutOfMemory refuses a table that is larger than the limit and frees what came of it.
func TestOutOfMemory(t *testing.T) {
	k := heir.NewArchive(ticketTTL, 400)
	assert.Equal(t, k.Receive(start, a, part(0, 2, 1, 2)), heir.Incomplete)
	assert.Equal(t, k.Receive(start, a, part(1, 2, 3, 4)), heir.OutOfMemory)
	assert.Equal(t, k.Bytes(), 0)
	assert.Assert(t, !k.Has(a))
}

// TestLookupAge asks for tickets that are not in a table. The owner forgets a record at
// the end of the ticket's life, so that from then on its absence proves nothing.
func TestLookupAge(t *testing.T) {
	for _, tt := range []struct {
		mint  time.Duration // before the close
		since time.Duration // from the close to the question
		want  cornelwall.Outcome
	}{
		{0, 0, cornelwall.NotRun},
		{ticketTTL - time.Millisecond, 0, cornelwall.NotRun},
		{ticketTTL, 0, cornelwall.Unknown},
		{time.Minute, ticketTTL - time.Minute, cornelwall.Unknown},
	} {
		k := heir.NewArchive(ticketTTL, 1<<20)
		assert.Equal(t, k.Receive(start, a, part(0, 1)), heir.Complete)
		tk := cornelwall.Ticket{Owner: a, Seq: 9, MintMs: uint64((time.Hour - tt.mint) / time.Millisecond)}
		r, ok := k.Lookup(start.Add(tt.since), tk)
		assert.Assert(t, ok)
		assert.Equal(t, r.Answer.Outcome, tt.want, "%s %s", tt.mint, tt.since)
	}
}

// TestSuccessors follows heirs that have closed in their turn.
func TestSuccessors(t *testing.T) {
	k := heir.NewArchive(ticketTTL, 1<<20)
	learn := func(of, h cornelwall.Incarnation) bool {
		return k.AddSuccession(start, cornelwall.Succession{Predecessor: of, Successor: h})
	}
	assert.Equal(t, len(k.Successors(a)), 0)
	assert.Assert(t, learn(a, b) && learn(a, c) && !learn(a, b))
	assert.DeepEqual(t, k.Successors(a), []cornelwall.Incarnation{b, c})
	assert.Assert(t, learn(b, d))
	assert.DeepEqual(t, k.Successors(a), []cornelwall.Incarnation{c, d})
	assert.Equal(t, len(k.SuccessionChain(start, a)), 3)
}

// TestSuccessionExpiry hands the word of an heir from entry to entry. It must not live longer
// for that.
func TestSuccessionExpiry(t *testing.T) {
	now := start
	word := cornelwall.Succession{Predecessor: a, Successor: b}
	for range 3 {
		k := heir.NewArchive(ticketTTL, 1<<20)
		k.AddSuccession(now, word)
		now = now.Add(4 * time.Minute)
		k.Expire(now)
		if hs := k.AllSuccessions(now); len(hs) > 0 {
			word = hs[0]
		} else {
			word = cornelwall.Succession{}
		}
	}
	assert.Assert(t, word.Successor.IsZero(), "known for %s", now.Sub(start))
}
