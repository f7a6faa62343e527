package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const (
	stepTime  = 40 * time.Millisecond
	stepCount = 50
	longStall = stepTime * stepCount / 2 // above any step, below a whole transfer
)

// serveOnce serves one connection: it reads the head of a request and calls answer. The done channel is
// closed when answer has returned.
func serveOnce(t *testing.T, answer func(nc *net.TCPConn, r *http.Request)) (netip.AddrPort, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			answer(nc.(*net.TCPConn), r)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return netip.MustParseAddrPort(l.Addr().String()), done
}

// writeSteps announces a body of stepCount bytes and sends the given number of them, one each stepTime.
func writeSteps(nc net.Conn, steps int) {
	_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(stepCount)+"\r\n\r\n")
	for range steps {
		_ = cornelwall.Wait(context.Background(), stepTime)
		if _, err := nc.Write([]byte{'x'}); err != nil {
			return
		}
	}
}

// waitForClose waits until the client has closed the connection.
func waitForClose(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) }

func TestSlowSteadyAnswerPasses(t *testing.T) {
	t.Parallel()
	addr, _ := serveOnce(t, func(nc *net.TCPConn, _ *http.Request) { writeSteps(nc, stepCount) })
	c := New(Config{AnswerTimeout: longStall, StallTimeout: longStall})
	defer c.Close()
	var status, seen int
	ctx := WithObserver(context.Background(), func(s, n int) { status, seen = s, seen+n })
	resp, _, err := c.Do(ctx, addr, 0, Request{Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Body), stepCount)
	assert.Equal(t, seen, stepCount)
	assert.Equal(t, status, http.StatusOK)
}

func TestAnswerThatStallsFails(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cfg   Config
		steps int // of the body; none is no answer at all
		want  error
	}{
		{"midway", Config{StallTimeout: longStall}, stepCount / 10, ErrStalled},
		{"before the first byte", Config{AnswerTimeout: longStall}, 0, ErrNoAnswer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			addr, _ := serveOnce(t, func(nc *net.TCPConn, _ *http.Request) {
				if tc.steps > 0 {
					writeSteps(nc, tc.steps)
				}
				waitForClose(nc)
			})
			c := New(tc.cfg)
			defer c.Close()
			_, sent, err := c.Do(context.Background(), addr, 0, Request{Method: http.MethodGet, Path: "/"})
			assert.ErrorIs(t, err, tc.want)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			assert.Assert(t, sent)
		})
	}
}

// TestContextEndsSteadyTransfer ends the context while bytes keep coming. A read that renews its deadline must not undo that.
func TestContextEndsSteadyTransfer(t *testing.T) {
	for name, end := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"canceled": context.WithCancel,
		"its deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, longStall)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, done := serveOnce(t, func(nc *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for {
					if _, err := io.WriteString(nc, "1\r\nx\r\n"); err != nil {
						return // only the end of the exchange ends the answer
					}
				}
			})
			c := New(Config{AnswerTimeout: time.Hour, StallTimeout: time.Hour})
			defer c.Close()
			ctx, cancel := end(context.Background())
			defer cancel()
			ctx = WithObserver(ctx, func(int, int) {
				if name == "canceled" {
					cancel()
				}
			})
			_, _, err := c.Do(ctx, addr, 0, Request{Method: http.MethodGet, Path: "/"})
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			assert.Assert(t, !errors.Is(err, ErrStalled), "%v", err)
			<-done
		})
	}
}

// TestInterruptedReadStaysInterrupted reads again after an interruption, which would wait for ever.
func TestInterruptedReadStaysInterrupted(t *testing.T) {
	addr, _ := serveOnce(t, func(nc *net.TCPConn, _ *http.Request) { waitForClose(nc) })
	nc, err := dial(context.Background(), Config{DialTimeout: time.Hour, AnswerTimeout: time.Hour, StallTimeout: time.Hour}, addr)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	nc.begin(time.Time{})
	nc.interrupt()
	_, err = nc.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Assert(t, !errors.Is(err, ErrNoAnswer), "%v", err)
}

// TestLargeRequestToSlowReader sends a request over a pipe, which holds nothing: what the system holds for a TCP
// connection, and when it tells of room, differ from run to run.
func TestLargeRequestToSlowReader(t *testing.T) {
	const bodySize = stepCount * writeChunk
	for _, tc := range []struct {
		name  string
		steps int // that the server reads, of writeChunk bytes each
		want  error
	}{
		{"that reads on", stepCount, nil},
		{"that stops", stepCount / 8, ErrStalled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			near, far := net.Pipe()
			served := make(chan struct{})
			go func() {
				defer close(served)
				r, err := http.ReadRequest(bufio.NewReader(far))
				if err != nil {
					return
				}
				for range tc.steps {
					_ = cornelwall.Wait(context.Background(), stepTime)
					_, _ = io.CopyN(io.Discard, r.Body, writeChunk)
				}
				if tc.want == nil {
					_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			nc := newConn(near, Config{AnswerTimeout: longStall, StallTimeout: longStall})
			nc.begin(time.Time{})
			req := Request{Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte{'x'}, bodySize)}
			_, _, err := nc.roundTrip(newRequest(netip.AddrPort{}, req), defaultMaxBody, func(int, int) {})
			assert.ErrorIs(t, err, tc.want)
			assert.Assert(t, nc.wrote)
			<-served
			assert.NilError(t, errors.Join(near.Close(), far.Close()))
		})
	}
}

// failureCounter is a connection that counts the reads that fail.
type failureCounter struct {
	net.Conn
	failed int
}

func (c *failureCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.failed++
	}
	return n, err
}

// TestStalledAnswerIsNotReadOn checks that an exchange ends with the first read that fails. The next would wait as long again.
func TestStalledAnswerIsNotReadOn(t *testing.T) {
	near, far := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			writeSteps(far, 1)
		}
	}()
	counter := &failureCounter{Conn: near}
	nc := newConn(counter, Config{StallTimeout: longStall})
	nc.begin(time.Time{})
	_, _, err := nc.roundTrip(newRequest(netip.AddrPort{}, Request{Method: http.MethodGet, Path: "/"}), defaultMaxBody, func(int, int) {})
	assert.ErrorIs(t, err, ErrStalled)
	assert.Equal(t, counter.failed, 1)
	<-served
	assert.NilError(t, errors.Join(near.Close(), far.Close()))
}
