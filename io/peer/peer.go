// Package peer carries envelopes between the entries, over connect with CBOR.
//
// Messages to one entry leave in order and in batches: while one envelope is on its
// way, the next one fills up. An envelope that may not have arrived goes back to the
// core.
//
// # Usage
//
//	p := peer.New(cfg, loop, log)
//	mux.Handle(p.Handler())
//	p.Act(cornelwall.Send{...})
package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"cornelwall"
)

const (
	procedure    = "/cornelwall.Peer/Deliver"
	maxEnvelope  = 32 << 20 // bytes
	batchBytes   = 4 << 20  // of task bodies in one envelope
	maxOutbox    = 1 << 14  // messages that wait for one entry
	batchCount   = 4096     // messages in one envelope
	idleOutbox   = time.Minute
	dialTimeout  = time.Second
	bearerPrefix = "Bearer "
)

var (
	sentEnvelopes = metrics.NewCounter("cornelwall_peer_envelopes_sent_total")
	sentMessages  = metrics.NewCounter("cornelwall_peer_messages_sent_total")
	lostEnvelopes = metrics.NewCounter("cornelwall_peer_envelopes_lost_total")
)

// Config is the settings of the peers.
type Config struct {
	Self    cornelwall.Incarnation
	Token   string        // shared by all entries
	Timeout time.Duration // of one envelope
}

// Ack answers an envelope.
type Ack struct{}

// Peers sends to and receives from other entries.
type Peers struct {
	cfg    Config
	post   cornelwall.Poster
	log    logr.Logger
	client *http.Client

	mu     sync.Mutex
	boxes  map[netip.AddrPort]*outbox
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	done   chan struct{}
}

// outbox holds what waits to be sent to one address.
type outbox struct {
	addr    netip.AddrPort
	client  *connect.Client[cornelwall.Envelope, Ack]
	waiting []cornelwall.Send
	wake    chan struct{}
}

// New returns peers that hand what they receive to post.
func New(cfg Config, post cornelwall.Poster, log logr.Logger) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{
		cfg: cfg, post: post, log: log,
		client: newClient(),
		boxes:  map[netip.AddrPort]*outbox{},
		ctx:    ctx, cancel: cancel,
		done: make(chan struct{}),
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleOutbox,
		DisableCompression:  true,
	}}
}

// Act queues a message.
func (p *Peers) Act(cmd cornelwall.Command) {
	s, ok := cmd.(cornelwall.Send)
	if !ok {
		return
	}
	p.mu.Lock()
	box := p.box(s.Addr)
	full := box == nil || len(box.waiting) >= maxOutbox
	if !full {
		box.waiting = append(box.waiting, s)
	}
	p.mu.Unlock()
	if full {
		// The core is inside Step now and must not be posted to from here.
		e := cornelwall.Envelope{From: p.cfg.Self, To: s.To, Messages: []cornelwall.Message{s.Message}}
		p.wg.Go(func() { p.giveBack(e) })
		return
	}
	select {
	case box.wake <- struct{}{}:
	default:
	}
}

// box returns the outbox of an address, nil after the end. The caller holds mu.
func (p *Peers) box(addr netip.AddrPort) *outbox {
	if p.ctx.Err() != nil {
		return nil
	}
	box := p.boxes[addr]
	if box == nil {
		box = &outbox{
			addr: addr,
			client: connect.NewClient[cornelwall.Envelope, Ack](p.client, "http://"+addr.String()+procedure,
				connect.WithCodec(NewCodec()), connect.WithReadMaxBytes(maxEnvelope), connect.WithInterceptors(p.auth())),
			wake: make(chan struct{}, 1),
		}
		p.boxes[addr] = box
		p.wg.Go(func() { p.drain(box) })
	}
	return box
}

// drain sends what waits in an outbox until it has been idle for long.
func (p *Peers) drain(box *outbox) {
	idle := time.NewTimer(idleOutbox)
	defer idle.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-box.wake:
		case <-idle.C:
			if p.drop(box) {
				return
			}
		}
		for {
			e, ok := p.take(box)
			if !ok {
				break
			}
			p.deliver(box, e)
		}
		idle.Reset(idleOutbox)
	}
}

// drop removes an empty outbox.
func (p *Peers) drop(box *outbox) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(box.waiting) > 0 {
		return false
	}
	delete(p.boxes, box.addr)
	return true
}

// take removes the next batch: messages in order to the same incarnation.
func (p *Peers) take(box *outbox) (cornelwall.Envelope, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(box.waiting) == 0 {
		return cornelwall.Envelope{}, false
	}
	e := cornelwall.Envelope{From: p.cfg.Self, To: box.waiting[0].To}
	size := 0
	for len(box.waiting) > 0 && box.waiting[0].To == e.To && size < batchBytes && len(e.Messages) < batchCount {
		m := box.waiting[0].Message
		box.waiting = box.waiting[1:]
		e.Messages = append(e.Messages, m)
		size += bodyBytes(&m)
	}
	return e, true
}

// bodyBytes returns the size of the task bodies in a message.
func bodyBytes(m *cornelwall.Message) int {
	size := 0
	count := func(a *cornelwall.Answer) {
		for i := range a.Tasks {
			size += len(a.Tasks[i].Body)
		}
	}
	switch {
	case m.Forward != nil && m.Forward.Job != nil:
		for i := range m.Forward.Job.Tasks {
			size += len(m.Forward.Job.Tasks[i].Body)
		}
	case m.Back != nil:
		count(&m.Back.Answer)
	case m.Inherit != nil:
		for i := range m.Inherit.Records {
			count(&m.Inherit.Records[i].Answer)
		}
	}
	return size
}

func (p *Peers) deliver(box *outbox, e cornelwall.Envelope) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.Timeout)
	defer cancel()
	sentEnvelopes.Inc()
	sentMessages.Add(len(e.Messages))
	if _, err := box.client.CallUnary(ctx, connect.NewRequest(&e)); err != nil {
		lostEnvelopes.Inc()
		p.log.V(1).Info("undelivered", "to", e.To, "addr", box.addr, "messages", len(e.Messages), "err", err)
		p.giveBack(e)
	}
}

func (p *Peers) giveBack(e cornelwall.Envelope) { p.post.Post(cornelwall.Undelivered{Envelope: e}) }

// auth adds the shared token to requests.
func (p *Peers) auth() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", bearerPrefix+p.cfg.Token)
			return next(ctx, r)
		}
	})
}

// Handler returns the path and the handler that takes envelopes.
func (p *Peers) Handler() (string, http.Handler) {
	return procedure, connect.NewUnaryHandler(procedure, p.receive,
		connect.WithCodec(NewCodec()), connect.WithReadMaxBytes(maxEnvelope))
}

func (p *Peers) receive(_ context.Context, r *connect.Request[cornelwall.Envelope]) (*connect.Response[Ack], error) {
	want := bearerPrefix + p.cfg.Token
	if subtle.ConstantTimeCompare([]byte(r.Header().Get("Authorization")), []byte(want)) != 1 {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("peer secret is wrong; set the same on all entries"))
	}
	p.post.Post(cornelwall.Receive{Envelope: *r.Msg})
	return connect.NewResponse(&Ack{}), nil
}

// Run waits for ctx to end, then ends all outboxes.
func (p *Peers) Run(ctx context.Context) error {
	defer close(p.done)
	<-ctx.Done()
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.wg.Wait()
	p.client.CloseIdleConnections()
	return nil
}

// Done is closed once Run has returned.
func (p *Peers) Done() <-chan struct{} { return p.done }
