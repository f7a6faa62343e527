//go:build caselab

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// gate forwards the connections to an address to the executor that has it. While it is silent, all bytes are lost and
// nobody is told, as with an executor that has lost its link.
type gate struct {
	listener net.Listener
	counts   *gateCounts

	mu       sync.Mutex
	target   string
	isSilent bool
	conns    map[net.Conn]bool
}

// gateCounts counts the orders that did not reach the executor that they were for.
type gateCounts struct {
	refused    atomic.Int64 // orders that another executor at the address has refused
	lostStarts atomic.Int64 // starts that were lost on the way
}

const gateBuffer = 32 << 10 // bytes that a gate reads at once

var (
	startLine   = []byte("POST /cornelwall/run-start")
	misdirected = []byte("HTTP/1.1 421")
)

func newGate(counts *gateCounts) (*gate, error) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: n, counts: counts, conns: map[net.Conn]bool{}}
	go g.serve()
	return g, nil
}

func (g *gate) addr() string { return g.listener.Addr().String() }

func (g *gate) close() {
	_ = g.listener.Close()
	g.heal()
}

// setTarget sets the address that later connections are forwarded to.
func (g *gate) setTarget(addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = addr
}

// silence cuts the gate.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isSilent = true
}

// heal ends a cut. All connections are reset, as after a crash.
func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isSilent = false
	for c := range g.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a hint only
	}
	_ = c.Close()
}

func (g *gate) serve() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.connect(c)
	}
}

// add registers a connection and returns the target and whether the gate is silent.
func (g *gate) add(c net.Conn) (target string, silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = true
	return g.target, g.isSilent
}

// remove resets a connection.
func (g *gate) remove(c net.Conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	reset(c)
}

func (g *gate) silent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isSilent
}

func (g *gate) connect(near net.Conn) {
	defer g.remove(near)
	target, silent := g.add(near)
	if silent {
		g.discard(near)
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer g.remove(far)
	g.add(far)
	go g.copyAnswers(near, far)
	g.copyRequests(far, near)
}

// discard reads what comes until the other side leaves or the gate is healed.
func (g *gate) discard(near net.Conn) {
	buf := make([]byte, gateBuffer)
	for {
		n, err := near.Read(buf)
		if err != nil {
			return
		}
		g.countLost(buf[:n])
	}
}

// countLost counts a request that is lost, if it is a start.
func (g *gate) countLost(request []byte) {
	if bytes.HasPrefix(request, startLine) {
		g.counts.lostStarts.Add(1)
	}
}

func (g *gate) copyRequests(far, near net.Conn) {
	buf := make([]byte, gateBuffer)
	for {
		n, err := near.Read(buf)
		if err != nil {
			return
		}
		if g.silent() {
			g.countLost(buf[:n])
			g.discard(near) // a connection that has lost bytes carries no more
			return
		}
		if _, err := far.Write(buf[:n]); err != nil {
			return
		}
	}
}

// copyAnswers forwards the answers and the close of a connection, unless the gate is silent.
func (g *gate) copyAnswers(near, far net.Conn) {
	buf := make([]byte, gateBuffer)
	for {
		n, err := far.Read(buf)
		if g.silent() {
			_, _ = io.Copy(io.Discard, far) // until the connection ends
			return
		}
		if err != nil {
			reset(near)
			return
		}
		if bytes.HasPrefix(buf[:n], misdirected) {
			g.counts.refused.Add(1)
		}
		if _, err := near.Write(buf[:n]); err != nil {
			reset(far)
			return
		}
	}
}
