package main

import (
	"net"
	"sync"
)

// proxy is the network between one entry and a stand-in. While it is cut, no byte gets through
// and nobody is told, as behind a partition.
type proxy struct {
	target   string
	listener net.Listener
	onDial   func(local string) // called with the address of each connection to the target; may be nil

	mu     sync.Mutex
	isCut  bool
	healed *sync.Cond
	conns  map[net.Conn]bool
	closed bool
}

func newProxy(target string, onDial func(local string)) (*proxy, error) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: n, onDial: onDial, conns: map[net.Conn]bool{}}
	p.healed = sync.NewCond(&p.mu)
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setCut cuts the network or heals it.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	p.healed.Broadcast()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.healed.Broadcast()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *proxy) connect(c net.Conn) {
	if !p.pass() {
		_ = c.Close()
		return
	}
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	if p.onDial != nil {
		p.onDial(d.LocalAddr().String())
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	go p.copy(d, c)
	p.copy(c, d)
}

// pass waits until bytes get through. It returns false once the proxy is closed.
func (p *proxy) pass() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut && !p.closed {
		p.healed.Wait()
	}
	return !p.closed
}

func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !p.pass() {
			break
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	delete(p.conns, to)
	delete(p.conns, from)
	p.mu.Unlock()
}
