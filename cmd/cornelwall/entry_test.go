package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cornelwall"
	"cornelwall/io/caller"
	"cornelwall/standin/executor"
	"cornelwall/standin/platform"
	"cornelwall/standin/task"
)

const (
	testSecret = "secret-of-all-entries"
)

// testSystem is a stand-in platform and executor, with entries that run in this process.
type testSystem struct {
	t        *testing.T
	client   *http.Client
	platform *platform.Platform
	url      string
	log      *syncBuffer
}

// syncBuffer is a buffer for log lines that is safe for concurrent writes.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// runningEntry is an entry on which run was called.
type runningEntry struct {
	*entry
	stop  context.CancelFunc
	ended chan error
}

func newTestSystem(t *testing.T) *testSystem {
	t.Helper()
	s := &testSystem{t: t, client: &http.Client{Transport: &http.Transport{}}, platform: platform.New(platform.Config{}), log: &syncBuffer{}}
	server := httptest.NewServer(s.platform)
	s.url = server.URL
	x := executor.New(executor.Config{})
	worker := httptest.NewServer(x)
	s.platform.PutVM(cornelwall.VM{Name: "x1", Kind: cornelwall.Executor, DataCentre: "ikeja", Slots: 8, Conns: 64,
		Addr: netip.MustParseAddrPort(worker.Listener.Addr().String())})
	t.Cleanup(func() {
		s.client.CloseIdleConnections()
		x.Close()
		s.platform.Close()
		worker.Close()
		server.Close()
	})
	return s
}

// startEntry builds an entry and runs it.
func (s *testSystem) startEntry(name string) *runningEntry {
	s.t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := buildEntry(settings{
		Name: name, DataCentre: "ikeja", Callers: loopback, Peers: loopback, Operators: loopback,
		StoreURLs: []string{s.url}, VMListURL: s.url + "/vms", Secret: testSecret, Token: testToken,
		ListPoll: 20 * time.Millisecond, PlatformTimeout: time.Second, PeerTimeout: time.Second,
		StopTimeout: 20 * time.Second, Linger: 300 * time.Millisecond,
	}, logr.FromSlogHandler(slog.NewTextHandler(s.log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	assert.NilError(s.t, err)
	s.platform.PutVM(cornelwall.VM{Name: name, Kind: cornelwall.Entry, DataCentre: "ikeja", Addr: e.peers.addr()})
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningEntry{entry: e, stop: cancel, ended: make(chan error, 1)}
	go func() { r.ended <- e.run(ctx) }()
	return r
}

// call sends a request and decodes the response into out unless it is nil.
func (s *testSystem) call(method, url string, in, out any) *http.Response {
	s.t.Helper()
	body, err := json.Marshal(in)
	assert.NilError(s.t, err)
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	assert.NilError(s.t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := s.client.Do(r)
	assert.NilError(s.t, err)
	defer func() { assert.Check(s.t, resp.Body.Close()) }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(s.t, err)
	if out != nil {
		assert.NilError(s.t, json.Unmarshal(text, out), "%s", text)
	}
	return resp
}

func (s *testSystem) callersURL(e *runningEntry, path string) string {
	return "http://" + e.callers.addr().String() + path
}

// waitForReadiness waits until the readiness page of the entry has the status.
func (s *testSystem) waitForReadiness(e *runningEntry, status int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		var page caller.Readiness
		if resp := s.call(http.MethodGet, s.callersURL(e, "/readyz"), nil, &page); resp.StatusCode != status {
			return poll.Continue("status %d: %v", resp.StatusCode, page.Reasons)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// TestPlannedStop stops an entry while a job runs. The job must be answered, and its outcome must
// be available at the other entry and after a restart.
func TestPlannedStop(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("system", func(t *testing.T) {
		s := newTestSystem(t)
		a, b := s.startEntry("a"), s.startEntry("b")
		s.waitForReadiness(a, http.StatusServiceUnavailable)
		profile := cornelwall.Profile{Name: "holds", Team: "bookings"}
		resp := s.call(http.MethodPut, "http://"+a.operators.addr().String()+"/v1/profiles/holds", profile, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		s.waitForReadiness(a, http.StatusOK)
		s.waitForReadiness(b, http.StatusOK)

		var drawn caller.TicketsReply
		s.call(http.MethodPost, s.callersURL(a, "/v1/tickets"), caller.TicketsRequest{Profile: "holds", Count: 2}, &drawn)
		job := cornelwall.Job{Ticket: drawn.Tickets[0], Profile: "holds", Tasks: []cornelwall.Task{
			{Body: task.Task{Sleep: cornelwall.Duration(400 * time.Millisecond), Echo: "seat 4"}.Body()}}}
		answered := make(chan cornelwall.Answer)
		go func() {
			var answer cornelwall.Answer
			s.call(http.MethodPost, s.callersURL(a, "/v1/jobs"), job, &answer)
			answered <- answer
		}()
		status := func(e *runningEntry) (answer cornelwall.Answer) {
			s.call(http.MethodGet, s.callersURL(e, "/v1/jobs/"+job.Ticket.String()), nil, &answer)
			return answer
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if st, err := a.loop.Status(context.Background()); err != nil || st.Running == 0 {
				return poll.Continue("%+v %v", st, err)
			}
			return poll.Success()
		}, poll.WithDelay(5*time.Millisecond))

		a.stop()
		s.waitForReadiness(a, http.StatusServiceUnavailable)
		resp = s.call(http.MethodGet, s.callersURL(a, "/readyz"), nil, nil)
		assert.Assert(t, resp.Close, "a stopping entry keeps the connection open")
		answer := <-answered
		assert.Equal(t, answer.Outcome, cornelwall.Done, "%+v", answer)
		assert.Equal(t, string(answer.Tasks[0].Body), "seat 4")
		assert.NilError(t, <-a.ended)

		assert.Equal(t, status(b).Outcome, cornelwall.Done)
		job.Ticket = drawn.Tickets[1]
		s.call(http.MethodPost, s.callersURL(b, "/v1/jobs"), job, &answer)
		assert.Equal(t, answer.Outcome, cornelwall.NotRun, "%+v", answer)
		job.Ticket = drawn.Tickets[0]

		a = s.startEntry("a")
		s.waitForReadiness(a, http.StatusOK)
		assert.Equal(t, status(a).Outcome, cornelwall.Done)
		b.stop()
		assert.NilError(t, <-b.ended)
		assert.Equal(t, status(a).Outcome, cornelwall.Done)
		s.platform.RemoveVM("b")
		a.stop() // there is no other entry to hand over to
		assert.NilError(t, <-a.ended)
		logged := s.log.text.String()
		assert.Assert(t, strings.Contains(logged, "msg=handed-over"))
		assert.Assert(t, !strings.Contains(logged, testSecret) && !strings.Contains(logged, testToken), "a secret is logged")
	})
}

// TestHandlerPanic checks that a panic in a handler fails only its request.
func TestHandlerPanic(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s, err := listen(listenConfig{Addr: netip.MustParseAddrPort("127.0.0.1:0"), MaxConns: 1, Log: logr.Discard()},
		http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/panic" {
				panic("of the test")
			}
		}))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	defer func() {
		cancel()
		<-s.Done()
	}()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for path, status := range map[string]int{"/panic": 500, "/": 200} {
		resp, err := client.Get("http://" + s.addr().String() + path)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, status)
	}
}

// TestBuildEntryClosesListenersOnError builds an entry with a callers' address that is in use. The
// error must name the flag, and the listener opened before must be closed.
func TestBuildEntryClosesListenersOnError(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	listenAny := func(addr string) net.Listener {
		l, err := net.Listen("tcp", addr)
		assert.NilError(t, err)
		return l
	}
	inUse, free := listenAny("127.0.0.1:0"), listenAny("127.0.0.1:0")
	defer func() { assert.Check(t, inUse.Close()) }()
	assert.NilError(t, free.Close())
	_, err := buildEntry(settings{
		Name: "a", DataCentre: "ikeja", Secret: testSecret,
		Peers: netip.MustParseAddrPort(free.Addr().String()), Callers: netip.MustParseAddrPort(inUse.Addr().String()),
	}, logr.Discard())
	assert.ErrorContains(t, err, "--callers")
	assert.NilError(t, listenAny(free.Addr().String()).Close())
}

// TestServerHeaderLimit checks that requests with headers over maxHeaderBytes are rejected.
func TestServerHeaderLimit(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s, err := listen(listenConfig{Addr: netip.MustParseAddrPort("127.0.0.1:0"), MaxConns: 1, Log: logr.Discard()},
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	defer func() {
		cancel()
		<-s.Done()
	}()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for size, status := range map[int]int{maxHeaderBytes / 2: 200, 2 * maxHeaderBytes: 431} {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.addr().String(), nil)
		assert.NilError(t, err)
		r.Header.Set("X", strings.Repeat("x", size))
		resp, err := client.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, status)
	}
}
