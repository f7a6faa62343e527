package peer

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall"
)

var (
	from = cornelwall.Incarnation{DataCentre: "ikeja", Entry: "a", Epoch: 7}
	to   = cornelwall.Incarnation{DataCentre: "lekki", Entry: "b", Epoch: 8}
	addr = netip.MustParseAddrPort("127.0.0.1:7001")
)

func ticket(seq uint64) cornelwall.Ticket {
	return cornelwall.Ticket{Owner: to, Seq: seq, MintMs: 12345, Team: "bookings", MAC: [16]byte{1, 2, 3}}
}

// forwardOf returns a Forward of a job with tasks that have a body of so many bytes each.
func forwardOf(tasks, bytes int) cornelwall.Message {
	job := &cornelwall.Job{Ticket: ticket(1), Profile: "holds", TimeLeft: 1e9}
	for i := range tasks {
		body := make([]byte, bytes)
		copy(body, fmt.Append(nil, i))
		job.Tasks = append(job.Tasks, cornelwall.Task{Body: body, Estimate: 5e7})
	}
	return cornelwall.Message{Forward: &cornelwall.Forward{Req: 3, Ticket: job.Ticket, Job: job}}
}

func heartbeat() cornelwall.Message {
	return cornelwall.Message{Heartbeat: &cornelwall.Heartbeat{Addr: addr, Digest: 1 << 60, ProfilesFresh: true}}
}

// samples returns one message of each kind.
func samples() []cornelwall.Message {
	answer := cornelwall.Answer{Ticket: ticket(1), Outcome: cornelwall.Done, Final: true,
		Tasks: []cornelwall.TaskAnswer{{Outcome: cornelwall.Done, Body: []byte("seat 4")}}}
	p := cornelwall.Profile{Name: "holds", Team: "bookings", Version: 3}
	p.Normalise()
	need := cornelwall.Need{Cores: 2, Memory: 512}
	return []cornelwall.Message{
		heartbeat(),
		{WrongIncarnation: &cornelwall.WrongIncarnation{Intended: to}},
		forwardOf(3, 10),
		{Forward: &cornelwall.Forward{Req: 4, Deed: cornelwall.DeedWait, Ticket: ticket(2)}},
		{ForwardReply: &cornelwall.ForwardReply{Req: 3, Answer: answer}},
		{LoanRequest: &cornelwall.LoanRequest{Need: need, Count: 4, Age: 1e6}},
		{Loan: &cornelwall.Loan{Machine: "x1", Need: need, Count: 2}},
		{LoanReturn: &cornelwall.LoanReturn{Machine: "x1", Need: need, Count: 2, Done: 1}},
		{Versions: &cornelwall.Versions{Have: map[string]uint64{"holds": 3}}},
		{Profiles: &cornelwall.Profiles{Profiles: []cornelwall.Profile{p}}},
		{VersionQuery: &cornelwall.VersionQuery{Req: 5, Name: "holds"}},
		{VersionReply: &cornelwall.VersionReply{Req: 5, Status: cornelwall.ProfileStatus{Entry: to, Version: 3}}},
		{Successions: &cornelwall.Successions{Successions: []cornelwall.Succession{{Predecessor: to, Successor: from, Since: 1e9}}}},
		{RecordTransfer: &cornelwall.RecordTransfer{Predecessor: to, ClosedAfter: 1e12, Since: 1e6, Parts: 1,
			Records: []cornelwall.Record{{Seq: 1, Digest: 9, Answer: answer}}}},
		{RecordTransferAck: &cornelwall.RecordTransferAck{Predecessor: to, Part: 2, Complete: true}},
		{SuccessorQuery: &cornelwall.SuccessorQuery{Incarnation: to}},
		{SuccessorReply: &cornelwall.SuccessorReply{Incarnation: to, Successions: []cornelwall.Succession{{Predecessor: to, Successor: from}}}},
	}
}

// TestCodec encodes and decodes one message of each kind.
func TestCodec(t *testing.T) {
	codec := NewCodec()
	e := cornelwall.Envelope{From: from, To: to, Messages: samples()}
	b, err := codec.Marshal(e)
	assert.NilError(t, err)
	var got cornelwall.Envelope
	assert.NilError(t, codec.Unmarshal(b, &got))
	assert.Assert(t, reflect.DeepEqual(got, e), "%+v", got)
}

// TestCodecUnknownEpoch encodes and decodes the messages that may be sent to an entry whose
// epoch is not known.
func TestCodecUnknownEpoch(t *testing.T) {
	codec := NewCodec()
	e := cornelwall.Envelope{From: from, To: cornelwall.Incarnation{DataCentre: "lekki", Entry: "b"},
		Messages: []cornelwall.Message{heartbeat(), {VersionQuery: &cornelwall.VersionQuery{Req: 5, Name: "holds"}}}}
	b, err := codec.Marshal(e)
	assert.NilError(t, err)
	var got cornelwall.Envelope
	assert.NilError(t, codec.Unmarshal(b, &got))
	assert.Assert(t, reflect.DeepEqual(got, e), "%+v", got)
}

// TestCodecRejectsInvalid decodes messages that are well-formed CBOR but not valid.
func TestCodecRejectsInvalid(t *testing.T) {
	codec := NewCodec()
	partial := cornelwall.Answer{Ticket: ticket(1), Outcome: cornelwall.Done, Final: true,
		Tasks: []cornelwall.TaskAnswer{{Outcome: cornelwall.NotRun}}}
	for _, tt := range []struct {
		want string
		from cornelwall.Incarnation
		to   cornelwall.Incarnation
		m    cornelwall.Message
	}{
		{"life 0", cornelwall.Incarnation{DataCentre: "ikeja", Entry: "a"}, to, heartbeat()},
		{"names no life", from, cornelwall.Incarnation{DataCentre: "lekki", Entry: "b"}, forwardOf(1, 1)},
		{"2 kinds", from, to, cornelwall.Message{SuccessorQuery: &cornelwall.SuccessorQuery{Incarnation: to}, WrongIncarnation: &cornelwall.WrongIncarnation{Intended: to}}},
		{"no address", from, to, cornelwall.Message{Heartbeat: &cornelwall.Heartbeat{}}},
		{"no job", from, to, cornelwall.Message{Forward: &cornelwall.Forward{Ticket: ticket(1)}}},
		{"deed 9", from, to, cornelwall.Message{Forward: &cornelwall.Forward{Deed: 9, Ticket: ticket(1)}}},
		{"another ticket", from, to, cornelwall.Message{Forward: &cornelwall.Forward{Ticket: ticket(2), Job: forwardOf(1, 1).Forward.Job}}},
		{"answer is done but", from, to, cornelwall.Message{ForwardReply: &cornelwall.ForwardReply{Answer: partial}}},
		{"inherit part 2", from, to, cornelwall.Message{RecordTransfer: &cornelwall.RecordTransfer{Predecessor: to, Part: 2, Parts: 2}}},
		{"not a final outcome", from, to, cornelwall.Message{RecordTransfer: &cornelwall.RecordTransfer{Predecessor: to, Parts: 1,
			Records: []cornelwall.Record{{Seq: 1, Answer: cornelwall.Answer{Ticket: ticket(1)}}}}}},
		{"negative", from, to, cornelwall.Message{Successions: &cornelwall.Successions{Successions: []cornelwall.Succession{{Predecessor: to, Successor: from, Since: -1}}}}},
	} {
		b, err := codec.Marshal(cornelwall.Envelope{From: tt.from, To: tt.to, Messages: []cornelwall.Message{tt.m}})
		assert.NilError(t, err)
		err = codec.Unmarshal(b, &cornelwall.Envelope{})
		assert.ErrorContains(t, err, tt.want)
	}
}

// TestCodecNewerVersion decodes an envelope of a later version: unknown fields and kinds of
// message are ignored, so that versions can be mixed during an upgrade.
func TestCodecNewerVersion(t *testing.T) {
	codec := NewCodec()
	type newMessage struct {
		Heartbeat *cornelwall.Heartbeat `json:"beat,omitempty"`
		NewKind   map[string]int        `json:"brand,omitempty"`
	}
	b, err := codec.Marshal(struct {
		From     cornelwall.Incarnation `json:"from"`
		To       cornelwall.Incarnation `json:"to"`
		Extra    string                 `json:"extra"`
		Messages []newMessage           `json:"messages"`
	}{from, to, "x", []newMessage{{Heartbeat: heartbeat().Heartbeat}, {NewKind: map[string]int{"a": 1}}}})
	assert.NilError(t, err)
	var e cornelwall.Envelope
	assert.NilError(t, codec.Unmarshal(b, &e))
	assert.Equal(t, len(e.Messages), 2)
	assert.Assert(t, e.Messages[0].Heartbeat != nil && e.Messages[1] == cornelwall.Message{})
}

// FuzzCodec decodes arbitrary bytes: a message that passes the checks is unchanged when it is
// encoded and decoded again.
func FuzzCodec(f *testing.F) {
	codec := NewCodec()
	for _, m := range samples() {
		b, err := codec.Marshal(cornelwall.Envelope{From: from, To: to, Messages: []cornelwall.Message{m}})
		assert.NilError(f, err)
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var e, again cornelwall.Envelope
		if err := codec.Unmarshal(b, &e); err != nil {
			assert.Assert(t, strings.HasPrefix(err.Error(), "message "))
			return
		}
		b, err := codec.Marshal(e)
		assert.NilError(t, err)
		assert.NilError(t, codec.Unmarshal(b, &again))
		b2, err := codec.Marshal(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, b2, b)
	})
}

func BenchmarkEncodeForward(b *testing.B)   { benchmarkEncode(b, forwardOf(770, 200)) }
func BenchmarkDecodeForward(b *testing.B)   { benchmarkDecode(b, forwardOf(770, 200)) }
func BenchmarkEncodeHeartbeat(b *testing.B) { benchmarkEncode(b, heartbeat()) }
func BenchmarkDecodeHeartbeat(b *testing.B) { benchmarkDecode(b, heartbeat()) }

func benchmarkEncode(b *testing.B, m cornelwall.Message) {
	codec := NewCodec()
	e := cornelwall.Envelope{From: from, To: to, Messages: []cornelwall.Message{m}}
	b.ReportAllocs()
	for b.Loop() {
		data, err := codec.Marshal(&e)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(data)))
	}
}

func benchmarkDecode(b *testing.B, m cornelwall.Message) {
	codec := NewCodec()
	data, err := codec.Marshal(cornelwall.Envelope{From: from, To: to, Messages: []cornelwall.Message{m}})
	assert.NilError(b, err)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		var e cornelwall.Envelope
		if err := codec.Unmarshal(data, &e); err != nil {
			b.Fatal(err)
		}
	}
}
