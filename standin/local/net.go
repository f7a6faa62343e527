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

const maxEnvelope = 32 << 20 // bytes

//go:generate go tool enumer -type=Fate -text -transform=kebab -output=fate_gen.go

// Fate is what becomes of an envelope between two entries.
type Fate int

const (
	// Deliver passes the envelope and its answer on.
	Deliver Fate = iota
	// Drop breaks the connection without passing the envelope on.
	Drop
	// LoseAck passes the envelope on and breaks the connection without an answer.
	LoseAck
	// Double passes the envelope on twice.
	Double
)

// Net is the network between the entries: a relay in front of each.
type Net struct {
	mu     sync.Mutex
	rule   func(from, to cornelwall.Incarnation) Fate
	relays map[string]*relay // by the name of the entry
}

// relay passes envelopes on to one entry.
type relay struct {
	net    *Net
	to     cornelwall.Incarnation // its life is not known
	addr   netip.AddrPort
	server http.Server
	client http.Transport
	ended  chan error

	mu     sync.Mutex
	target netip.AddrPort
}

func newNet() *Net { return &Net{relays: map[string]*relay{}} }

// Set replaces the rule that decides the fate of envelopes. The life of to is 0. Nil
// delivers all.
func (n *Net) Set(rule func(from, to cornelwall.Incarnation) Fate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// CutDataCentres cuts the data centres off from each other.
func (n *Net) CutDataCentres() {
	n.Set(func(from, to cornelwall.Incarnation) Fate {
		if from.DataCentre != to.DataCentre {
			return Drop
		}
		return Deliver
	})
}

// Isolate cuts one entry off from all others.
func (n *Net) Isolate(entry string) {
	n.Set(func(from, to cornelwall.Incarnation) Fate {
		if from.Entry == entry || to.Entry == entry {
			return Drop
		}
		return Deliver
	})
}

// Heal delivers all.
func (n *Net) Heal() { n.Set(nil) }

func (n *Net) fate(from, to cornelwall.Incarnation) Fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rule == nil {
		return Deliver
	}
	return n.rule(from, to)
}

// relay returns the relay in front of an entry. It stays when the entry restarts.
func (n *Net) relay(dc, entry string) (*relay, error) {
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
		net: n, to: cornelwall.Incarnation{DataCentre: dc, Entry: entry},
		addr: netip.MustParseAddrPort(lis.Addr().String()), ended: make(chan error, 1),
	}
	r.server.Handler = r
	go func() { r.ended <- r.server.Serve(lis) }()
	n.relays[entry] = r
	return r, nil
}

// close ends all relays.
func (n *Net) close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var errs []error
	for _, r := range n.relays {
		errs = append(errs, r.server.Close())
		if err := <-r.ended; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
		r.client.CloseIdleConnections()
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
	body, err := io.ReadAll(io.LimitReader(req.Body, maxEnvelope))
	var e cornelwall.Envelope
	if err == nil {
		err = peer.NewCodec().Unmarshal(body, &e)
	}
	fate := r.net.fate(e.From, r.to)
	if err != nil || fate == Drop {
		panic(http.ErrAbortHandler)
	}
	if fate == Double {
		_, _, _ = r.pass(req.Context(), req, body) // the second answer counts
	}
	resp, answer, err := r.pass(req.Context(), req, body)
	if err != nil || fate == LoseAck {
		panic(http.ErrAbortHandler)
	}
	for key, values := range resp.Header {
		w.Header()[key] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer) // the entry that sent the envelope may be gone
}

func (r *relay) pass(ctx context.Context, req *http.Request, body []byte) (*http.Response, []byte, error) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+target.String()+req.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	out.Header = req.Header.Clone()
	out.GetBody = nil // the relay doubles envelopes only where it is told to
	resp, err := r.client.RoundTrip(out)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp, answer, err
}
