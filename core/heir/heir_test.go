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

// TestReceive receives parts out of order, duplicated and split in different ways. If a record were
// missing from a table that counts as complete, the answer for a job that ran would be "not run".
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
		{"duplicated", []step{{a, part(0, 2, 1, 2), heir.Incomplete}, {a, part(0, 2, 1, 2), heir.Incomplete}, {a, part(1, 2, 3), heir.Complete}}},
		{"two senders that split differently", []step{
			{a, part(0, 2, 1), heir.Incomplete}, {b, part(1, 2, 2), heir.Incomplete}, {a, part(1, 2, 2, 3), heir.Complete}}},
		{"one sender that splits differently", []step{
			{a, part(0, 3, 1), heir.Incomplete}, {a, part(1, 2, 3), heir.Incomplete}, {a, part(0, 2, 1, 2), heir.Complete}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ar := heir.NewArchive(ticketTTL, 1<<20)
			for _, s := range tt.steps {
				assert.Equal(t, ar.Receive(start, s.from, s.part), s.want)
				assert.Equal(t, ar.HasTable(a), s.want == heir.Complete)
			}
			for _, seq := range []uint64{1, 2, 3} {
				r, ok := ar.Lookup(start, cornelwall.Ticket{Owner: a, Seq: seq, MintMs: 3600_000})
				assert.Assert(t, ok)
				assert.Equal(t, r.Answer.Outcome, cornelwall.Done, "ticket %d", seq)
			}
		})
	}
}

// TestOutOfMemory refuses a table that is larger than the limit and frees the parts received.
func TestOutOfMemory(t *testing.T) {
	ar := heir.NewArchive(ticketTTL, 400)
	assert.Equal(t, ar.Receive(start, a, part(0, 2, 1, 2)), heir.Incomplete)
	assert.Equal(t, ar.Receive(start, a, part(1, 2, 3, 4)), heir.OutOfMemory)
	assert.Equal(t, ar.Bytes(), 0)
	assert.Assert(t, !ar.HasTable(a))
}

// TestLookupAge looks up tickets that are not in a table. The owner drops a record when its ticket
// expires, so that from then on the absence proves nothing.
func TestLookupAge(t *testing.T) {
	for _, tt := range []struct {
		mint  time.Duration // from the creation of the ticket to the close
		since time.Duration // from the close to the lookup
		want  cornelwall.Outcome
	}{
		{0, 0, cornelwall.NotRun},
		{ticketTTL - time.Millisecond, 0, cornelwall.NotRun},
		{ticketTTL, 0, cornelwall.Unknown},
		{time.Minute, ticketTTL - time.Minute, cornelwall.Unknown},
	} {
		ar := heir.NewArchive(ticketTTL, 1<<20)
		assert.Equal(t, ar.Receive(start, a, part(0, 1)), heir.Complete)
		tk := cornelwall.Ticket{Owner: a, Seq: 9, MintMs: uint64((time.Hour - tt.mint) / time.Millisecond)}
		r, ok := ar.Lookup(start.Add(tt.since), tk)
		assert.Assert(t, ok)
		assert.Equal(t, r.Answer.Outcome, tt.want, "%s %s", tt.mint, tt.since)
	}
}

// TestSuccessors follows successors that have closed as well.
func TestSuccessors(t *testing.T) {
	ar := heir.NewArchive(ticketTTL, 1<<20)
	add := func(of, successor cornelwall.Incarnation) bool {
		return ar.AddSuccession(start, cornelwall.Succession{Predecessor: of, Successor: successor})
	}
	assert.Equal(t, len(ar.Successors(a)), 0)
	assert.Assert(t, add(a, b) && add(a, c) && !add(a, b))
	assert.DeepEqual(t, ar.Successors(a), []cornelwall.Incarnation{b, c})
	assert.Assert(t, add(b, d))
	assert.DeepEqual(t, ar.Successors(a), []cornelwall.Incarnation{c, d})
	assert.Equal(t, len(ar.SuccessionChain(start, a)), 3)
}

// TestSuccessionExpiry passes a succession from entry to entry. This must not extend the time for
// which it is remembered.
func TestSuccessionExpiry(t *testing.T) {
	now := start
	succession := cornelwall.Succession{Predecessor: a, Successor: b}
	for range 3 {
		ar := heir.NewArchive(ticketTTL, 1<<20)
		ar.AddSuccession(now, succession)
		now = now.Add(4 * time.Minute)
		ar.Expire(now)
		if list := ar.AllSuccessions(now); len(list) > 0 {
			succession = list[0]
		} else {
			succession = cornelwall.Succession{}
		}
	}
	assert.Assert(t, succession.Successor.IsZero(), "still known after %s", now.Sub(start))
}
