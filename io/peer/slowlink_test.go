package peer

import (
	"net"
	"sync"
	"time"
)

const (
	linkChunk  = 4 << 10  // bytes that pass a slowLink at once
	linkBuffer = 32 << 10 // bytes that wait at each end of a slowLink
)

// slowLink is a listener whose connections share a link: each linkChunk takes it for pause, in either
// direction.
type slowLink struct {
	net.Listener
	pause time.Duration
	mu    sync.Mutex // held while a chunk passes
}

func (l *slowLink) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	nc := c.(*net.TCPConn)
	if err := nc.SetReadBuffer(linkBuffer); err != nil {
		return nil, err
	}
	if err := nc.SetWriteBuffer(linkBuffer); err != nil {
		return nil, err
	}
	return slowConn{c, l}, nil
}

func (l *slowLink) pass() {
	l.mu.Lock()
	defer l.mu.Unlock()
	time.Sleep(l.pause)
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), linkChunk)])
	if n > 0 {
		c.link.pass()
	}
	return n, err
}

func (c slowConn) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		c.link.pass()
		var m int
		m, err = c.Conn.Write(p[n:min(len(p), n+linkChunk)])
		n += m
	}
	return n, err
}

// slow returns a wrapper of listeners for newEntryAt.
func slow(pause time.Duration) func(net.Listener) net.Listener {
	return func(l net.Listener) net.Listener { return &slowLink{Listener: l, pause: pause} }
}
