package tcp

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

const stateTimeout = 5 * time.Second // for what the client does to reach the server's kernel

func newListener(t testing.TB, maxConns int) *Listener {
	t.Helper()
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), maxConns)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// connect returns both ends of a new connection, and a context of requests on it.
func connect(t testing.TB, l *Listener) (client *net.TCPConn, server net.Conn, ctx context.Context) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	server, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return c.(*net.TCPConn), server, ConnContext(context.Background(), server)
}

// waitClosed reports whether the state tells within stateTimeout that the peer has closed.
func waitClosed(ctx context.Context) bool {
	for end := time.Now().Add(stateTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if StateOf(ctx).PeerClosed {
			return true
		}
	}
	return false
}

// TestStateTellsThatPeerClosed closes connections in each way, also behind data that nobody has read.
func TestStateTellsThatPeerClosed(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn) error{
		"closed": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error {
			return errors.Join(c.SetLinger(0), c.Close())
		},
		"closed behind data": func(c *net.TCPConn) error {
			_, err := c.Write([]byte("unread"))
			return errors.Join(err, c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, _, ctx := connect(t, newListener(t, 1))
			_, err := client.Write([]byte("request"))
			assert.NilError(t, err)
			assert.Assert(t, !StateOf(ctx).PeerClosed)
			assert.NilError(t, leave(client))
			assert.Assert(t, waitClosed(ctx))
		})
	}
}

// TestStateDuringRead reads the state while another goroutine waits for data, as the HTTP server does.
func TestStateDuringRead(t *testing.T) {
	client, server, ctx := connect(t, newListener(t, 1))
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		read <- err
	}()
	for range 100 {
		assert.Assert(t, !StateOf(ctx).PeerClosed)
	}
	_, err := client.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, <-read)
}

// TestStateOfOtherContext checks that nothing is told of a connection that is closed or not of a Listener.
func TestStateOfOtherContext(t *testing.T) {
	assert.Equal(t, StateOf(context.Background()), State{})
	a, b := net.Pipe()
	assert.Equal(t, StateOf(ConnContext(context.Background(), a)), State{})
	assert.NilError(t, errors.Join(a.Close(), b.Close()))
	_, server, ctx := connect(t, newListener(t, 1))
	assert.NilError(t, server.Close())
	assert.Equal(t, StateOf(ctx), State{})
}

// TestListenerLimit checks that a connection is accepted only once another one has been closed, and
// that Close ends an Accept that waits for that.
func TestListenerLimit(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	l := newListener(t, 1)
	_, first, _ := connect(t, l)
	second, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.Check(t, second.Close()) }()
	accepted := make(chan net.Conn)
	go func() {
		c, err := l.Accept()
		assert.Check(t, err)
		accepted <- c
	}()
	select {
	case <-accepted:
		t.Fatal("a connection over the limit is accepted")
	case <-time.After(50 * time.Millisecond):
	}
	assert.NilError(t, first.Close())
	_ = first.Close() // must not count twice
	c := <-accepted
	defer func() { assert.Check(t, c.Close()) }()

	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	assert.NilError(t, l.Close())
	assert.Assert(t, errors.Is(<-ended, net.ErrClosed))
}

func BenchmarkStateOf(b *testing.B) {
	_, _, ctx := connect(b, newListener(b, 1))
	for b.Loop() {
		StateOf(ctx)
	}
}

// TestKernelTakesWholeAnswer writes an answer that nobody reads.
func TestKernelTakesWholeAnswer(t *testing.T) {
	const limit, answer = 64 << 10, 64 << 20 // bytes
	client, server, ctx := connect(t, newListener(t, 1))
	assert.NilError(t, client.SetReadBuffer(limit))
	assert.NilError(t, LimitWriteBuffer(ctx, limit))
	assert.NilError(t, server.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	n, err := server.Write(make([]byte, answer))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Assert(t, n <= 8*limit, "the kernel took %d bytes", n)
	assert.NilError(t, LimitWriteBuffer(context.Background(), limit))
}
