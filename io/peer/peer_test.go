package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/tcp"
)

const secret = "0123456789abcdef"

// inbox is an event sink that keeps all events.
type inbox chan cornelwall.Event

func (b inbox) Post(ev cornelwall.Event) { b <- ev }

// testEntry is one of two entries that send messages to each other.
type testEntry struct {
	*Peers
	inbox inbox
	addr  netip.AddrPort
	gate  sync.RWMutex // blocks incoming envelopes while it is held for writing
	stop  func()
}

func newEntry(t *testing.T, self cornelwall.Incarnation, token string) *testEntry {
	t.Helper()
	return newEntryAt(t, Config{Self: self, Secret: token, Timeout: 10 * time.Second}, nil)
}

// newEntryAt returns an entry whose listener is wrapped, if wrap is set.
func newEntryAt(t *testing.T, cfg Config, wrap func(net.Listener) net.Listener) *testEntry {
	t.Helper()
	e := &testEntry{inbox: make(inbox, 1<<17)}
	e.Peers = New(cfg, e.inbox, logr.Discard())
	mux := http.NewServeMux()
	path, h := e.Handler()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		e.gate.RLock()
		defer e.gate.RUnlock()
		h.ServeHTTP(w, r)
	})
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnContext = tcp.ConnContext
	if wrap != nil {
		server.Listener = wrap(server.Listener)
	}
	server.Start()
	e.addr = netip.MustParseAddrPort(server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = e.Run(ctx) }()
	e.stop = func() {
		cancel()
		<-e.Done()
		server.Close()
	}
	return e
}

// messages receives envelopes until they hold n messages or more. It returns the messages and
// the number of envelopes.
func (e *testEntry) messages(t *testing.T, n int) (ms []cornelwall.Message, envelopes int) {
	t.Helper()
	for len(ms) < n {
		r, ok := (<-e.inbox).(cornelwall.Receive)
		assert.Assert(t, ok)
		ms = append(ms, r.Envelope.Messages...)
		envelopes++
	}
	return ms, envelopes
}

// waitOutboxEmpty waits until no message is queued; some may still be in flight.
func (e *testEntry) waitOutboxEmpty() {
	for waiting := 1; waiting > 0; runtime.Gosched() {
		waiting = 0
		e.mu.Lock()
		for _, box := range e.outboxes {
			waiting += len(box.queue)
		}
		e.mu.Unlock()
	}
}

func versionQuery(req uint64) cornelwall.Message {
	return cornelwall.Message{VersionQuery: &cornelwall.VersionQuery{Req: req, Name: "holds"}}
}

// TestMessageOrder delays the first envelope: the messages that are queued meanwhile arrive in
// one envelope and in order.
func TestMessageOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, secret), newEntry(t, to, secret)
	defer a.stop()
	defer b.stop()
	b.gate.Lock()
	const n = 1000
	for i := range uint64(n) {
		a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: versionQuery(i)})
	}
	b.gate.Unlock()
	ms, envelopes := b.messages(t, n)
	for i, m := range ms {
		assert.Equal(t, m.VersionQuery.Req, uint64(i))
	}
	assert.Assert(t, envelopes <= 3, "%d envelopes", envelopes)
}

// TestSlowEntry checks that an entry that accepts no envelopes does not delay messages to
// another, and that messages which do not fit its outbox are reported as undelivered.
func TestSlowEntry(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, slow, quick := newEntry(t, from, secret), newEntry(t, to, secret), newEntry(t, to, secret)
	defer a.stop()
	defer slow.stop()
	defer quick.stop()
	slow.gate.Lock()
	defer slow.gate.Unlock()
	for i := range uint64(maxOutboxMessages + maxEnvelopeMessages + 10) {
		a.Handle(cornelwall.Send{To: to, Addr: slow.addr, Message: versionQuery(i)})
	}
	a.Handle(cornelwall.Send{To: to, Addr: quick.addr, Message: versionQuery(7)})
	ms, _ := quick.messages(t, 1)
	assert.Equal(t, ms[0].VersionQuery.Req, uint64(7))
	u, ok := (<-a.inbox).(cornelwall.Undelivered) // of a message that did not fit the outbox
	assert.Assert(t, ok)
	assert.Assert(t, u.Envelope.Messages[0].VersionQuery.Req >= maxOutboxMessages)
}

// TestLargestMessages sends several messages of the maximum size at once.
func TestLargestMessages(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, secret), newEntry(t, to, secret)
	defer a.stop()
	defer b.stop()
	answer := cornelwall.Answer{Ticket: ticket(1), Outcome: cornelwall.Done, Final: true}
	for range cornelwall.MaxTasks {
		answer.Tasks = append(answer.Tasks, cornelwall.TaskAnswer{Outcome: cornelwall.Done,
			Body: make([]byte, cornelwall.MaxAnswerBody/cornelwall.MaxTasks)})
	}
	b.gate.Lock()
	sending := false
	for range 3 {
		a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: cornelwall.Message{ForwardReply: &cornelwall.ForwardReply{Req: 1, Answer: answer}}})
		if !sending {
			a.waitOutboxEmpty() // all six together exceed the limit of an outbox
			sending = true
		}
		a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: forwardOf(cornelwall.MaxTasks, cornelwall.MaxJobBody/cornelwall.MaxTasks)})
	}
	b.gate.Unlock()
	ms, _ := b.messages(t, 6)
	assert.Equal(t, len(ms), 6)
	assert.Equal(t, len(a.inbox), 0, "undelivered messages")
}

// TestWrongSecret sends with a secret that differs from the receiver's.
func TestWrongSecret(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, "another-secret-of-16"), newEntry(t, to, secret)
	defer a.stop()
	defer b.stop()
	a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: versionQuery(1)})
	u, ok := (<-a.inbox).(cornelwall.Undelivered)
	assert.Assert(t, ok)
	assert.Equal(t, u.Envelope.Messages[0].VersionQuery.Req, uint64(1))
	assert.Equal(t, len(b.inbox), 0)
}

// TestFlushOnStop stops the sender right after its last message, which must still arrive.
func TestFlushOnStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, secret), newEntry(t, to, secret)
	defer b.stop()
	for i := range uint64(100) {
		a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: versionQuery(i)})
	}
	a.stop()
	ms, _ := b.messages(t, 100)
	assert.Equal(t, ms[99].VersionQuery.Req, uint64(99))
	a.Handle(cornelwall.Send{To: to, Addr: b.addr, Message: versionQuery(1)}) // does nothing
}
