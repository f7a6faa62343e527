package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/tcp"
)

// fetchFrom fetches a queue configuration newer than version have and waits for the end.
func (e *testEntry) fetchFrom(t *testing.T, addr netip.AddrPort, have uint64) cornelwall.QueueConfigFetched {
	t.Helper()
	e.Handle(cornelwall.FetchQueueConfig{From: to, Addr: addr, Have: have})
	f, ok := (<-e.inbox).(cornelwall.QueueConfigFetched)
	assert.Assert(t, ok)
	assert.Equal(t, f.From, to)
	assert.Equal(t, f.Config != nil, f.Result == cornelwall.FetchDone)
	return f
}

// startServer starts a server in place of an entry.
func startServer(t *testing.T, path string, h http.Handler) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(path, h)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestLargeConfigArrives(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, secret), newEntry(t, to, secret)
	defer a.stop()
	defer b.stop()
	config := queueConfig(7, 3000)
	b.Handle(cornelwall.ServeQueueConfig{Config: config})
	f := a.fetchFrom(t, b.addr, 6)
	assert.Equal(t, f.Result, cornelwall.FetchDone)
	assert.DeepEqual(t, f.Config, config)
	assert.Equal(t, len(a.inbox), 0)
}

func TestSlowFetchIsNotGivenUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	const pause = 30 * time.Millisecond
	a := newEntry(t, from, secret)
	b := newEntryAt(t, Config{Self: to, Secret: secret, Timeout: time.Second}, slow(pause))
	defer a.stop()
	defer b.stop()
	config := queueConfig(7, 3000)
	data, err := NewCodec().Marshal(config)
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(len(data)/linkChunk)*pause > stallTimeout, "the configuration has %d bytes only", len(data))
	b.Handle(cornelwall.ServeQueueConfig{Config: config})
	assert.Equal(t, a.fetchFrom(t, b.addr, 6).Result, cornelwall.FetchDone)
}

func TestStalledFetchIsReportedOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, tc := range []struct {
		name   string
		answer string
	}{
		{"before the answer", ""},
		{"in the answer", "some bytes"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newEntry(t, from, secret)
			addr := startServer(t, fetchProcedure, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "application/cbor")
				w.Header().Set("Content-Length", "100000")
				if tc.answer != "" {
					_, _ = io.WriteString(w, tc.answer)
					w.(http.Flusher).Flush()
				}
				<-r.Context().Done()
			}))
			assert.Equal(t, a.fetchFrom(t, addr, 6).Result, cornelwall.FetchFailed)
			a.stop()
			assert.Equal(t, len(a.inbox), 0)
		})
	}
}

func TestBusyEntryAnswersAtOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, secret), newEntry(t, to, secret)
	defer a.stop()
	defer b.stop()
	b.Handle(cornelwall.ServeQueueConfig{Config: queueConfig(7, 3)})
	for range maxTransfers {
		b.transfers <- struct{}{}
	}
	assert.Equal(t, a.fetchFrom(t, b.addr, 6).Result, cornelwall.FetchBusy)
	assert.Equal(t, a.fetchFrom(t, b.addr, 7).Result, cornelwall.FetchNoNewer)
	<-b.transfers
	assert.Equal(t, a.fetchFrom(t, b.addr, 6).Result, cornelwall.FetchDone)
}

// listenTCP returns a listener in place of another, as the program has it.
func listenTCP(l net.Listener) net.Listener {
	_ = l.Close()
	got, err := tcp.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 16)
	if err != nil {
		panic(err)
	}
	return got
}

// askSilently sends a QueueConfigRequest and reads nothing.
func askSilently(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(linkBuffer))
	body, err := NewCodec().Marshal(QueueConfigRequest{})
	assert.NilError(t, err)
	r, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+fetchProcedure, bytes.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", bearerPrefix+secret)
	r.Header.Set("Content-Type", "application/cbor")
	assert.NilError(t, r.Write(c))
	return c
}

// TestSilentAskerLosesItsSlot has an asker that vanishes and one that reads nothing.
func TestSilentAskerLosesItsSlot(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := newEntry(t, from, secret)
	b := newEntryAt(t, Config{Self: to, Secret: secret, Timeout: time.Second}, listenTCP)
	defer a.stop()
	defer b.stop()
	b.Handle(cornelwall.ServeQueueConfig{Config: queueConfig(7, 3000)})
	ended := brokenConfigs.Get()
	for _, vanishes := range []bool{true, false} {
		asker := askSilently(t, b.addr)
		defer func() { _ = asker.Close() }()
		if vanishes {
			assert.NilError(t, asker.Close())
		}
		for brokenConfigs.Get() == ended {
			runtime.Gosched()
		}
		ended++
	}
	assert.Equal(t, len(b.transfers), 0)
	assert.Equal(t, a.fetchFrom(t, b.addr, 6).Result, cornelwall.FetchDone)
}

func TestFetchWithWrongSecretIsRefused(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, "another-secret-of-16"), newEntry(t, to, secret)
	defer a.stop()
	defer b.stop()
	b.Handle(cornelwall.ServeQueueConfig{Config: queueConfig(7, 3)})
	refused := wrongSecrets.Get()
	assert.Equal(t, a.fetchFrom(t, b.addr, 6).Result, cornelwall.FetchFailed)
	assert.Equal(t, wrongSecrets.Get(), refused+1)
}

func TestConfigThatIsNotNewerIsNotSent(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newEntry(t, from, secret), newEntry(t, to, secret)
	defer a.stop()
	defer b.stop()
	assert.Equal(t, a.fetchFrom(t, b.addr, 0).Result, cornelwall.FetchNoNewer)
	b.Handle(cornelwall.ServeQueueConfig{Config: queueConfig(7, 3)})
	for _, have := range []uint64{7, 8} {
		assert.Equal(t, a.fetchFrom(t, b.addr, have).Result, cornelwall.FetchNoNewer)
	}
}

// TestInvalidAnswerIsRefused fetches from entries that answer wrongly, among them one that does not know the procedure.
func TestInvalidAnswerIsRefused(t *testing.T) {
	defer goleak.VerifyNone(t)
	unnamed := queueConfig(7, 3)
	unnamed.Queues[1].Name = ""
	for _, tc := range []struct {
		name   string
		path   string
		config any
	}{
		{"an older version", fetchProcedure, queueConfig(5, 3)},
		{"the same version", fetchProcedure, queueConfig(6, 3)},
		{"a queue without a name", fetchProcedure, unnamed},
		{"no configuration", fetchProcedure, "text"},
		{"an entry that only delivers", deliverProcedure, queueConfig(7, 3)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newEntry(t, from, secret)
			defer a.stop()
			data, err := NewCodec().Marshal(tc.config)
			assert.NilError(t, err)
			addr := startServer(t, tc.path, newHandler(tc.path, func(context.Context, *connect.Request[QueueConfigRequest]) (*connect.Response[QueueConfigReply], error) {
				return connect.NewResponse(&QueueConfigReply{Config: data}), nil
			}))
			assert.Equal(t, a.fetchFrom(t, addr, 6).Result, cornelwall.FetchFailed)
		})
	}
}

// TestFetchDoesNotMixVersions fetches while the configuration changes; version n has n queues.
func TestFetchDoesNotMixVersions(t *testing.T) {
	defer goleak.VerifyNone(t)
	const fetchers, versions = 4, 100
	b := newEntry(t, to, secret)
	defer b.stop()
	var wg sync.WaitGroup
	for range fetchers {
		a := newEntry(t, from, secret)
		wg.Go(func() {
			defer a.stop()
			for have := uint64(0); have < versions; {
				a.Handle(cornelwall.FetchQueueConfig{From: to, Addr: b.addr, Have: have})
				f := (<-a.inbox).(cornelwall.QueueConfigFetched)
				if f.Result != cornelwall.FetchDone {
					assert.Check(t, f.Result != cornelwall.FetchFailed)
					continue
				}
				assert.Check(t, f.Config.Version > have && len(f.Config.Queues) == int(f.Config.Version))
				have = f.Config.Version
			}
		})
	}
	for v := range uint64(versions) {
		b.Handle(cornelwall.ServeQueueConfig{Config: queueConfig(v+1, int(v+1))})
		runtime.Gosched()
	}
	wg.Wait()
}

func TestFetchIsReportedOnStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	const n = 50
	a, b := newEntry(t, from, secret), newEntry(t, to, secret)
	defer b.stop()
	b.gate.Lock()
	for range n {
		a.Handle(cornelwall.FetchQueueConfig{From: to, Addr: b.addr})
	}
	a.stop()
	b.gate.Unlock()
	assert.Equal(t, len(a.inbox), n)
	for range n {
		assert.Equal(t, (<-a.inbox).(cornelwall.QueueConfigFetched).Result, cornelwall.FetchFailed)
	}
}
