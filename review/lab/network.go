package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	firstRetransmit = 200 * time.Millisecond // of a lost packet; doubles with each further loss
	lastRetransmit  = 1600 * time.Millisecond
	firstReads      = 3                    // of a connection, to learn which machine it comes from
	openCheck       = 5 * time.Millisecond // between two checks of a cut
)

// impairment is what is wrong with the links of a machine, or with the way from one machine to another.
type impairment struct {
	cut  bool
	loss float64       // share of the packets that are lost
	lag  time.Duration // that each packet waits
}

// way is the way of bytes from one machine to another. Clients and stand-ins have no name.
type way struct{ from, to string }

// network carries the connections of entries with each other, with clients and with executors, and
// impairs them. Bytes are delayed and never lost, as TCP sends them again.
type network struct {
	mu       sync.Mutex
	machines map[string]impairment
	ways     map[way]impairment
	conns    map[*relayed]bool
	relays   []*relay
	closed   bool
}

func newNetwork() *network {
	return &network{machines: map[string]impairment{}, ways: map[way]impairment{}, conns: map[*relayed]bool{}}
}

// impair sets what is wrong with all links of a machine.
func (n *network) impair(machine string, im impairment) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[machine] = im
}

// isImpaired reports whether anything is wrong with the links of a machine.
func (n *network) isImpaired(machine string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machines[machine] != impairment{}
}

// impairWay sets what is wrong with one way.
func (n *network) impairWay(w way, im impairment) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ways[w] = im
}

// reset resets all connections of a machine: both ends notice.
func (n *network) reset(machine string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == machine || c.to == machine {
			c.reset()
		}
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, r := range n.relays {
		_ = r.listener.Close()
	}
	for c := range n.conns {
		c.reset()
	}
}

// delay returns how long a packet waits, and whether it does not get through now.
func (n *network) delay(w way) (d time.Duration, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, im := range []impairment{n.machines[w.from], n.machines[w.to], n.ways[w]} {
		cut = cut || im.cut
		d += im.lag
		for wait := firstRetransmit; rand.Float64() < im.loss && wait <= lastRetransmit; wait *= 2 {
			d += wait
		}
	}
	return d, cut && !n.closed
}

// pass waits until a packet gets through.
func (n *network) pass(w way) {
	d, cut := n.delay(w)
	time.Sleep(d)
	for cut {
		time.Sleep(openCheck)
		_, cut = n.delay(w)
	}
}

// relay forwards connections to an address.
type relay struct {
	net      *network
	listener net.Listener
	target   string
	to       string                               // machine at the target
	from     func(first []byte) string            // machine that connects
	closeLag func() (d time.Duration, never bool) // by which the target learns late that the other side has closed
}

// relayed is a connection through a relay.
type relayed struct {
	from, to string
	near     net.Conn // with the side that connects
	far      net.Conn // with the target
}

func (c *relayed) reset() {
	for _, x := range []net.Conn{c.near, c.far} {
		if t, ok := x.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = x.Close()
	}
}

// relayTo opens a relay to an address of a machine.
func (n *network) relayTo(target, to string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{net: n, listener: l, target: target, to: to}
	n.mu.Lock()
	n.relays = append(n.relays, r)
	n.mu.Unlock()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(c)
	}
}

func (r *relay) connect(near net.Conn) {
	buf := make([]byte, 32<<10)
	c, size := &relayed{to: r.to, near: near}, 0
	for range firstReads {
		n, err := near.Read(buf[size:])
		if err != nil {
			_ = near.Close()
			return
		}
		if size += n; r.from == nil {
			break
		}
		if c.from = r.from(buf[:size]); c.from != "" {
			break
		}
	}
	r.net.pass(way{c.from, c.to})
	var err error
	if c.far, err = net.Dial("tcp", r.target); err != nil {
		_ = near.Close()
		return
	}
	r.net.mu.Lock()
	r.net.conns[c] = true
	r.net.mu.Unlock()
	if _, err = c.far.Write(buf[:size]); err == nil {
		go r.copy(near, c.far, way{c.to, c.from}, nil)
		r.copy(c.far, near, way{c.from, c.to}, r.closeLag)
	}
	_ = c.far.Close()
	_ = near.Close()
	r.net.mu.Lock()
	delete(r.net.conns, c)
	r.net.mu.Unlock()
}

// copy forwards bytes and, last, the close of the connection.
func (r *relay) copy(to, from net.Conn, w way, closeLag func() (time.Duration, bool)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			break
		}
		r.net.pass(w)
		if _, err := to.Write(buf[:n]); err != nil {
			break
		}
	}
	if closeLag != nil {
		d, never := closeLag()
		for until := time.Now().Add(d); never || time.Now().Before(until); time.Sleep(openCheck) {
			r.net.mu.Lock()
			closed := r.net.closed
			r.net.mu.Unlock()
			if closed {
				break
			}
		}
	}
	r.net.pass(w)
	_ = to.Close()
	_ = from.Close()
}

// nameIn returns the entry whose name comes first in the bytes of an envelope, which is its sender.
func (l *lab) nameIn(b []byte) string {
	name, at := "", len(b)
	for _, e := range l.entries {
		if i := bytes.Index(b, []byte(e.name)); i >= 0 && i < at {
			name, at = e.name, i
		}
	}
	return name
}
