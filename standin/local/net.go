package local

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"cornelwall"
	"cornelwall/io/peer"
)

const maxEnvelopeBytes = 32 << 20 // bytes

//go:generate go tool enumer -type=Delivery -text -transform=kebab -output=delivery_gen.go

// Delivery is what becomes of an envelope between two entries.
type Delivery int

const (
	// Deliver passes the envelope and its answer on.
	Deliver Delivery = iota
	// Drop breaks the connection without passing the envelope on.
	Drop
	// LoseAck passes the envelope on and breaks the connection without an answer.
	LoseAck
	// Double passes the envelope on twice.
	Double
)

// Network is the network between the entries: a relay in front of each.
type Network struct {
	mu     sync.Mutex
	rule   func(from, to cornelwall.Incarnation) Delivery
	relays map[string]*relay // by the name of the entry
}

// relay passes envelopes on to one entry.
type relay struct {
	network   *Network
	entry     cornelwall.Incarnation // its life is not known
	addr      netip.AddrPort
	server    http.Server
	transport http.Transport
	serveErr  chan error

	mu     sync.Mutex
	target netip.AddrPort
}

func newNetwork() *Network { return &Network{relays: map[string]*relay{}} }

// SetRule replaces the rule that decides the fate of envelopes. The life of to is 0. Nil
// delivers all.
func (n *Network) SetRule(rule func(from, to cornelwall.Incarnation) Delivery) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// PartitionDataCentres cuts the data centres off from each other.
func (n *Network) PartitionDataCentres() {
	n.SetRule(func(from, to cornelwall.Incarnation) Delivery {
		if from.DataCentre != to.DataCentre {
			return Drop
		}
		return Deliver
	})
}

// Isolate cuts one entry off from all others.
func (n *Network) Isolate(entry string) {
	n.SetRule(func(from, to cornelwall.Incarnation) Delivery {
		if from.Entry == entry || to.Entry == entry {
			return Drop
		}
		return Deliver
	})
}

// Heal delivers all.
func (n *Network) Heal() { n.SetRule(nil) }

func (n *Network) deliveryOf(from, to cornelwall.Incarnation) Delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rule == nil {
		return Deliver
	}
	return n.rule(from, to)
}

// relayFor returns the relay in front of an entry. It stays when the entry restarts.
func (n *Network) relayFor(dc, entry string) (*relay, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.relays[entry]; r != nil {
		return r, nil
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{
		network: n, entry: cornelwall.Incarnation{DataCentre: dc, Entry: entry},
		addr: netip.MustParseAddrPort(lis.Addr().String()), serveErr: make(chan error, 1),
	}
	r.server.Handler = r
	go func() { r.serveErr <- r.server.Serve(lis) }()
	n.relays[entry] = r
	return r, nil
}

// close ends all relays.
func (n *Network) close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var errs []error
	for _, r := range n.relays {
		errs = append(errs, r.server.Close())
		if err := <-r.serveErr; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
		r.transport.CloseIdleConnections()
	}
	return errors.Join(errs...)
}

func (r *relay) setTarget(target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// ServeHTTP takes one envelope. A connection that is to break is broken by a panic, as
// net/http provides.
func (r *relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxEnvelopeBytes))
	var e cornelwall.Envelope
	if err == nil {
		err = peer.NewCodec().Unmarshal(body, &e)
	}
	fate := r.network.deliveryOf(e.From, r.entry)
	if err != nil || fate == Drop {
		panic(http.ErrAbortHandler)
	}
	if fate == Double {
		_, _, _ = r.forward(req.Context(), req, body) // the second answer counts
	}
	resp, answer, err := r.forward(req.Context(), req, body)
	if err != nil || fate == LoseAck {
		panic(http.ErrAbortHandler)
	}
	for key, values := range resp.Header {
		w.Header()[key] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer) // the entry that sent the envelope may be gone
}

func (r *relay) forward(ctx context.Context, req *http.Request, body []byte) (*http.Response, []byte, error) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+target.String()+req.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	out.Header = req.Header.Clone()
	out.GetBody = nil // the relay doubles envelopes only where it is told to
	resp, err := r.transport.RoundTrip(out)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp, answer, err
}
