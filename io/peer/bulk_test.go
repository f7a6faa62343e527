package peer

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cornelwall"
)

// endpointList returns an EndpointUpdate with n endpoints.
func endpointList(n int) cornelwall.Message {
	u := &cornelwall.EndpointUpdate{ToRevision: 7, Version: 3}
	for i := range n {
		u.Endpoints = append(u.Endpoints, cornelwall.Endpoint{
			ID: fmt.Sprintf("i-%010d", i), Service: "assessor", Addr: addr, DataCentre: "ikeja",
			Capacity: cornelwall.Resources{Cores: 8000, Memory: 16384}, Labels: []string{"small", "rack:r-0017"}, Boot: 1e12, Revision: int64(i),
		})
	}
	return cornelwall.Message{EndpointUpdate: u}
}

// TestLargeMessageDoesNotTakeOthersAlong sends a message that takes several times the timeout of an envelope.
func TestLargeMessageDoesNotTakeOthersAlong(t *testing.T) {
	defer goleak.VerifyNone(t)
	const timeout, pause, n = time.Second, 10 * time.Millisecond, 10
	a := newEntryAt(t, Config{Self: from, Secret: secret, Timeout: timeout}, nil)
	b := newEntryAt(t, Config{Self: to, Secret: secret, Timeout: timeout}, slow(pause))
	defer a.stop()
	defer b.stop()
	large := endpointList(10_000)
	size, err := NewCodec().Marshal(large)
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(len(size)/linkChunk)*pause > 3*timeout, "the message has %d bytes only", len(size))
	a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: large, Bulk: true})
	for i := range uint64(n) {
		a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: versionQuery(i)})
	}
	var got []cornelwall.Message
	for len(got) < n+1 {
		select {
		case ev := <-b.inbox:
			got = append(got, ev.(cornelwall.Receive).Envelope.Messages...)
		case ev := <-a.inbox:
			u := ev.(cornelwall.Undelivered).Envelope.Messages
			t.Fatalf("%d messages were given up, %d had arrived", len(u), len(got))
		}
	}
	for i, m := range got[:n] {
		assert.Assert(t, m.VersionQuery != nil, "the large message delayed number %d", i)
		assert.Equal(t, m.VersionQuery.Req, uint64(i))
	}
	assert.Equal(t, len(got[n].EndpointUpdate.Endpoints), 10_000)
}

func TestUnorderedMessageDoesNotWaitBehindBulk(t *testing.T) {
	for _, tc := range []struct {
		send cornelwall.Send
		want lane
	}{
		{cornelwall.Send{}, ordered},
		{cornelwall.Send{Unordered: true}, unordered},
		{cornelwall.Send{Bulk: true}, bulk},
		{cornelwall.Send{Unordered: true, Bulk: true}, unordered},
	} {
		assert.Equal(t, laneOf(&tc.send), tc.want)
	}
}

func TestStalledBulkMessageIsReported(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, secret), newEntry(t, to, secret)
	defer a.stop()
	defer b.stop()
	b.gate.Lock()
	a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: endpointList(3), Bulk: true})
	u, ok := (<-a.inbox).(cornelwall.Undelivered)
	b.gate.Unlock()
	assert.Assert(t, ok)
	assert.Equal(t, len(u.Envelope.Messages), 1)
}
