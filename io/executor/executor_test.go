package executor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cornelwall"
	"cornelwall/io/executor"
	standin "cornelwall/standin/executor"
	"cornelwall/standin/task"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(body string) cornelwall.Start {
	owner := cornelwall.Incarnation{DataCentre: "ikeja", Entry: "e1", Epoch: 1}
	return cornelwall.Start{Ticket: cornelwall.Ticket{Owner: owner, Seq: 1, Team: "booking"}, Body: []byte(body)}
}

func vmAt(addr string) cornelwall.VM {
	return cornelwall.VM{Name: "x1", Kind: cornelwall.Executor, DataCentre: "ikeja", Slots: 8,
		Conns: 64, Addr: netip.MustParseAddrPort(addr)}
}

// rawServer answers the given number of requests on each connection, reads one more and closes
// the connection without an answer. It counts the requests in seen.
func rawServer(t *testing.T, answered int) (addr string, seen *atomic.Int32) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	seen = new(atomic.Int32)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			serveRaw(conn, answered, seen)
		}
	}()
	t.Cleanup(func() { _ = lis.Close(); <-ended })
	return lis.Addr().String(), seen
}

func serveRaw(conn net.Conn, answered int, seen *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for i := 0; i <= answered; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		seen.Add(1)
		if i < answered {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func TestStartIsNeverSentAgain(t *testing.T) {
	tests := []struct {
		name     string
		answered int // starts before the one whose answer is lost
		body     string
	}{
		{"fresh connection", 0, "body"},
		{"fresh connection, no body", 0, ""},
		{"reused connection", 1, "body"},
		{"reused connection, no body", 1, ""},
		{"connection reused twice", 2, "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, seen := rawServer(t, tt.answered)
			b := executor.New(executor.Config{})
			defer b.Close()
			for range tt.answered {
				assert.Equal(t, b.Run(context.Background(), vmAt(addr), start(tt.body)).Outcome, cornelwall.Done)
			}
			got := b.Run(context.Background(), vmAt(addr), start(tt.body))
			assert.Equal(t, got.Outcome, cornelwall.Unknown)
			assert.Equal(t, got.Reason, cornelwall.ReasonLost)
			assert.Equal(t, int(seen.Load()), tt.answered+1)
		})
	}
}

func TestClassification(t *testing.T) {
	tests := []struct {
		name     string
		status   int
		header   string
		value    string
		outcome  cornelwall.Outcome
		reason   cornelwall.Reason
		draining bool
	}{
		{"done", 200, "", "", cornelwall.Done, cornelwall.ReasonNone, false},
		{"done while draining", 200, executor.HeaderDraining, "true", cornelwall.Done, cornelwall.ReasonNone, true},
		{"busy", 503, executor.HeaderNotRun, "busy", cornelwall.NotRun, cornelwall.ReasonBusy, false},
		{"draining", 503, executor.HeaderNotRun, "draining", cornelwall.NotRun, cornelwall.ReasonDraining, true},
		{"503 without Not-Run", 503, "", "", cornelwall.Failed, cornelwall.ReasonTask, false},
		{"503 with an unknown Not-Run", 503, executor.HeaderNotRun, "maybe", cornelwall.Failed, cornelwall.ReasonTask, false},
		{"500 with Not-Run", 500, executor.HeaderNotRun, "busy", cornelwall.Failed, cornelwall.ReasonTask, false},
		{"redirect is not followed", 307, "Location", "/run", cornelwall.Failed, cornelwall.ReasonTask, false},
		{"201", 201, "", "", cornelwall.Failed, cornelwall.ReasonTask, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var seen atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen.Add(1)
				if tt.header != "" {
					w.Header().Set(tt.header, tt.value)
				}
				w.WriteHeader(tt.status)
			}))
			defer server.Close()
			b := executor.New(executor.Config{})
			defer b.Close()
			got := b.Run(context.Background(), vmAt(server.Listener.Addr().String()), start("body"))
			assert.Equal(t, got.Outcome, tt.outcome)
			assert.Equal(t, got.Reason, tt.reason)
			assert.Equal(t, got.Draining, tt.draining)
			assert.Equal(t, int(seen.Load()), 1)
		})
	}
}

func TestTruncatedAndLargeAnswers(t *testing.T) {
	tests := []struct {
		name    string
		length  string
		body    string
		outcome cornelwall.Outcome
	}{
		{"truncated", "100", "part", cornelwall.Unknown},
		{"over the limit", "17", strings.Repeat("x", 17), cornelwall.Failed},
		{"at the limit", "16", strings.Repeat("x", 16), cornelwall.Done},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", tt.length)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer server.Close()
			b := executor.New(executor.Config{MaxBody: 16})
			defer b.Close()
			got := b.Run(context.Background(), vmAt(server.Listener.Addr().String()), start("body"))
			assert.Equal(t, got.Outcome, tt.outcome)
		})
	}
}

func TestNoConnectionIsNotRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, lis.Close())
	b := executor.New(executor.Config{})
	defer b.Close()
	got := b.Run(context.Background(), vmAt(lis.Addr().String()), start("body"))
	assert.Equal(t, got.Outcome, cornelwall.NotRun)
	assert.Equal(t, got.Reason, cornelwall.ReasonConnect)
}

func TestDeadlineAndConnectionLimit(t *testing.T) {
	e := standin.New(standin.Config{})
	e.SetControl(task.Control{Hang: true})
	server := httptest.NewServer(e)
	defer server.Close()
	defer e.Close()
	b := executor.New(executor.Config{})
	defer b.Close()
	vm := vmAt(server.Listener.Addr().String())
	vm.Conns = 1

	ctx, cancel := context.WithCancel(context.Background())
	running := make(chan cornelwall.Result, 1)
	go func() { running <- b.Run(ctx, vm, start("first")) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(e.Starts()) == 0 {
			return poll.Continue("no start yet")
		}
		return poll.Success()
	})
	waiting, cancelWaiting := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancelWaiting()
	got := b.Run(waiting, vm, start("second"))
	assert.Equal(t, got.Outcome, cornelwall.NotRun, "no connection was free")
	cancel()
	got = <-running
	assert.Equal(t, got.Outcome, cornelwall.Unknown)
	assert.Equal(t, got.Reason, cornelwall.ReasonDeadline)
	assert.Equal(t, e.Starts()[start("").Ticket.String()+"/0"], 1)
}

func TestStandIn(t *testing.T) {
	tests := []struct {
		name    string
		control task.Control
		body    string
		outcome cornelwall.Outcome
		echo    string
		starts  int
	}{
		{"text", task.Control{}, "hello", cornelwall.Done, "hello", 1},
		{"sleep", task.Control{SlowFactor: 2}, `{"sleep":"1ms","echo":"x"}`, cornelwall.Done, "x", 1},
		{"fail", task.Control{}, `{"fail":true}`, cornelwall.Failed, "", 1},
		{"fail all", task.Control{FailAll: true}, "hello", cornelwall.Failed, "", 1},
		{"drain", task.Control{Drain: true}, "hello", cornelwall.NotRun, "", 0},
		{"read and close", task.Control{}, `{"read-and-close":true}`, cornelwall.Unknown, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := standin.New(standin.Config{Slots: 1, RefuseWhenFull: true})
			e.SetControl(tt.control)
			server := httptest.NewServer(e)
			defer server.Close()
			defer e.Close()
			b := executor.New(executor.Config{})
			defer b.Close()
			got := b.Run(context.Background(), vmAt(server.Listener.Addr().String()), start(tt.body))
			assert.Equal(t, got.Outcome, tt.outcome)
			assert.Equal(t, string(got.Body), tt.echo)
			assert.Equal(t, e.Starts()[start("").Ticket.String()+"/0"], tt.starts)
		})
	}
}
