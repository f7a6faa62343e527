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

const maxEnvelopeBytes = 32 << 20

//go:generate go tool enumer -type=Delivery -text -transform=kebab -output=delivery_gen.go

// Delivery is how a relay treats an envelope between two entries.
type Delivery int

const (
	// Deliver forwards the envelope and returns the response.
	Deliver Delivery = iota
	// Drop closes the connection without forwarding the envelope.
	Drop
	// LoseAck forwards the envelope and closes the connection without a response.
	LoseAck
	// Double forwards the envelope twice.
	Double
)

// Network injects faults into the connections between the entries. It puts a relay in front of each
// entry, which can drop or duplicate envelopes.
type Network struct {
	mu     sync.Mutex
	rule   func(from, to cornelwall.Incarnation) Delivery
	relays map[string]*relay // keyed by the name of the entry
}

// relay is a proxy that forwards envelopes to one entry.
type relay struct {
	network   *Network
	entry     cornelwall.Incarnation // without its epoch, which is unknown here
	addr      netip.AddrPort
	server    http.Server
	transport http.Transport
	serveErr  chan error

	mu     sync.Mutex
	target netip.AddrPort
}

func newNetwork() *Network { return &Network{relays: map[string]*relay{}} }

// SetRule replaces the rule that decides how envelopes are treated. The rule gets the receiver (to)
// with epoch 0. A nil rule delivers all envelopes.
func (n *Network) SetRule(rule func(from, to cornelwall.Incarnation) Delivery) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// PartitionDataCentres drops all envelopes between different data centres.
func (n *Network) PartitionDataCentres() {
	n.SetRule(func(from, to cornelwall.Incarnation) Delivery {
		if from.DataCentre != to.DataCentre {
			return Drop
		}
		return Deliver
	})
}

// Isolate drops all envelopes from and to one entry.
func (n *Network) Isolate(entry string) {
	n.SetRule(func(from, to cornelwall.Incarnation) Delivery {
		if from.Entry == entry || to.Entry == entry {
			return Drop
		}
		return Deliver
	})
}

// Heal removes the rule, so that all envelopes are delivered.
func (n *Network) Heal() { n.SetRule(nil) }

// deliveryOf applies the rule to an envelope between two entries.
func (n *Network) deliveryOf(from, to cornelwall.Incarnation) Delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rule == nil {
		return Deliver
	}
	return n.rule(from, to)
}

// relayFor returns the relay in front of an entry and creates it if necessary. A restarted entry
// keeps its relay and so its advertised address.
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

// close stops all relays.
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

// setTarget sets the address of the entry's peer listener.
func (r *relay) setTarget(target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// ServeHTTP handles one envelope as the rule says. It panics with http.ErrAbortHandler to close the
// connection without a response.
func (r *relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxEnvelopeBytes))
	var e cornelwall.Envelope
	if err == nil {
		err = peer.NewCodec().Unmarshal(body, &e)
	}
	delivery := r.network.deliveryOf(e.From, r.entry)
	if err != nil || delivery == Drop {
		panic(http.ErrAbortHandler)
	}
	if delivery == Double {
		_, _, _ = r.forward(req.Context(), req, body) // the sender gets the second response
	}
	resp, respBody, err := r.forward(req.Context(), req, body)
	if err != nil || delivery == LoseAck {
		panic(http.ErrAbortHandler)
	}
	for key, values := range resp.Header {
		w.Header()[key] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(respBody) // fails if the sender has disconnected
}

// forward sends the request to the entry and reads the whole response.
func (r *relay) forward(ctx context.Context, req *http.Request, body []byte) (*http.Response, []byte, error) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+target.String()+req.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	out.Header = req.Header.Clone()
	out.GetBody = nil // keeps net/http from resending: only the rule may duplicate envelopes
	resp, err := r.transport.RoundTrip(out)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	return resp, respBody, err
}
