// Package peer sends envelopes of messages between the entries, over connect with CBOR, and fetches
// the queue configurations of other entries.
//
// Messages to one entry are sent in order, many in one envelope: while an envelope is in flight,
// new messages are queued for the next one. An envelope whose delivery was not confirmed is
// reported to the core as Undelivered. Messages marked Unordered or Bulk go by ways of their own.
//
// A queue configuration is fetched by the entry that needs it, in a call of its own, and the entry
// that has it sends it to few others at a time. Such a transfer, and that of a Bulk message, is given
// up only when it makes no progress.
//
// # Usage
//
//	p := peer.New(cfg, loop, log)
//	mux.Handle(p.Handler())
//	p.Handle(cornelwall.Send{...})
//	p.Handle(cornelwall.ServeQueueConfig{...}) // what other entries get from this one
//	p.Handle(cornelwall.FetchQueueConfig{...}) // posts a QueueConfigFetched
package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"cornelwall"
	"cornelwall/io/http1"
)

const (
	pathPrefix       = "/cornelwall.Peer/"
	deliverProcedure = "/cornelwall.Peer/Deliver"
	maxEnvelopeBytes = 32 << 20 // bytes
	flushTimeout     = time.Second
	connectTimeout   = time.Second      // of a connection for transfers
	answerTimeout    = time.Second      // until the answer to a QueueConfigRequest begins
	stallTimeout     = 2 * time.Second  // without progress, after which a transfer is given up
	transferLimit    = 30 * time.Second // of one transfer, however steadily it goes
	idleConns        = 2                // kept per entry
	bearerPrefix     = "Bearer "
	gzip             = "gzip" // turned off: it costs more than it saves on small messages
)

var (
	sentEnvelopes = metrics.NewCounter("cornelwall_peer_envelopes_sent_total")
	sentMessages  = metrics.NewCounter("cornelwall_peer_messages_sent_total")
	lostEnvelopes = metrics.NewCounter("cornelwall_peer_envelopes_lost_total")
	fullOutboxes  = metrics.NewCounter("cornelwall_peer_messages_refused_total{reason=\"outbox-full\"}")
	wrongSecrets  = metrics.NewCounter("cornelwall_peer_envelopes_refused_total{reason=\"secret\"}")
)

// Config holds the settings of Peers.
type Config struct {
	Self    cornelwall.Incarnation
	Secret  string           // shared by all entries
	Timeout time.Duration    // of one envelope, unless its messages are marked Bulk
	Clock   cornelwall.Clock // nil is the system clock
}

// Ack acknowledges an envelope.
type Ack struct{}

// Peers sends envelopes to other entries and receives theirs.
type Peers struct {
	cfg        Config
	sink       cornelwall.EventSink
	log        logr.Logger
	client     *http1.HTTPClient
	bulkClient *http1.HTTPClient // for large messages

	served      atomic.Pointer[servedConfig] // nil before the first ServeQueueConfig
	transfers   chan struct{}                // holds an element for each configuration that is being sent
	fetchClient *http1.HTTPClient
	fetchCtx    context.Context // ends when Run begins to stop
	stopFetches context.CancelFunc

	mu       sync.Mutex
	closed   bool
	outboxes map[outboxKey]*outbox
	closing  chan struct{} // closed when outboxes must send their queues and end
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	done     chan struct{}
}

// New returns Peers that post to sink the envelopes received or undelivered and the queue configurations
// fetched.
func New(cfg Config, sink cornelwall.EventSink, log logr.Logger) *Peers {
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	fetchCtx, stopFetches := context.WithCancel(ctx)
	return &Peers{
		cfg: cfg, sink: sink, log: log,
		client:     http1.NewHTTPClient(http1.Config{MaxIdle: idleConns, DialTimeout: cfg.Timeout}),
		bulkClient: http1.NewHTTPClient(http1.Config{MaxIdle: idleConns, DialTimeout: connectTimeout, AnswerTimeout: stallTimeout, StallTimeout: stallTimeout}),
		transfers:  make(chan struct{}, maxTransfers),
		fetchClient: http1.NewHTTPClient(http1.Config{MaxIdle: fetchIdleConns, DialTimeout: connectTimeout, AnswerTimeout: answerTimeout,
			StallTimeout: stallTimeout, MaxBody: maxEnvelopeBytes}),
		fetchCtx: fetchCtx, stopFetches: stopFetches,
		outboxes: map[outboxKey]*outbox{},
		closing:  make(chan struct{}),
		ctx:      ctx, cancel: cancel,
		done: make(chan struct{}),
	}
}

// Handle carries out a Send, FetchQueueConfig or ServeQueueConfig without waiting for other entries.
// Once ctx of Run has ended, Handle sends and fetches nothing.
func (p *Peers) Handle(cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.Send:
		p.send(cmd)
	case cornelwall.FetchQueueConfig:
		p.startFetch(cmd)
	case cornelwall.ServeQueueConfig:
		p.served.Store(newServedConfig(cmd.Config))
	}
}

// send queues the message of a Send. If the outbox is full, the message is reported to the core as
// Undelivered.
func (p *Peers) send(s cornelwall.Send) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.outboxFor(outboxKey{s.Addr, laneOf(&s)}).add(s) {
		return
	}
	fullOutboxes.Inc()
	e := cornelwall.Envelope{From: p.cfg.Self, To: s.To, Messages: []cornelwall.Message{s.Message}}
	// The core is still carrying out a step here, in which Post must not be called.
	p.wg.Go(func() { p.reportUndelivered(e, false) })
}

// newClient returns a client of a procedure of the entry at addr.
func newClient[Req, Resp any](p *Peers, c *http1.HTTPClient, addr netip.AddrPort, procedure string) *connect.Client[Req, Resp] {
	return connect.NewClient[Req, Resp](c, "http://"+addr.String()+procedure,
		connect.WithCodec(NewCodec()), connect.WithReadMaxBytes(maxEnvelopeBytes), connect.WithInterceptors(p.auth()),
		connect.WithAcceptCompression(gzip, nil, nil))
}

// auth adds the shared secret to requests.
func (p *Peers) auth() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", bearerPrefix+p.cfg.Secret)
			return next(ctx, r)
		}
	})
}

// Handler returns the handler of requests from other entries, and the prefix of its paths.
func (p *Peers) Handler() (string, http.Handler) {
	mux := http.NewServeMux()
	mux.Handle(deliverProcedure, newHandler(deliverProcedure, p.receive))
	mux.Handle(fetchProcedure, p.serveHandler())
	return pathPrefix, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.authorised(r) { // checked before the body is read
			wrongSecrets.Inc()
			http.Error(w, "peer secret is wrong; set the same on all entries", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// newHandler returns the handler of a procedure.
func newHandler[Req, Resp any](procedure string, f func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) http.Handler {
	return connect.NewUnaryHandler(procedure, f,
		connect.WithCodec(NewCodec()), connect.WithReadMaxBytes(maxEnvelopeBytes), connect.WithCompression(gzip, nil, nil))
}

func (p *Peers) authorised(r *http.Request) bool {
	want := bearerPrefix + p.cfg.Secret
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) == 1
}

func (p *Peers) receive(_ context.Context, r *connect.Request[cornelwall.Envelope]) (*connect.Response[Ack], error) {
	p.sink.Post(cornelwall.Receive{Envelope: *r.Msg})
	return connect.NewResponse(&Ack{}), nil
}

// Run waits for ctx to end, then ends all fetches and gives the outboxes flushTimeout to send their queues.
func (p *Peers) Run(ctx context.Context) error {
	defer close(p.done)
	<-ctx.Done()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stopFetches()
	close(p.closing)
	timer := time.AfterFunc(flushTimeout, p.cancel)
	p.wg.Wait()
	timer.Stop()
	p.cancel()
	p.client.CloseIdleConnections()
	p.bulkClient.CloseIdleConnections()
	p.fetchClient.CloseIdleConnections()
	return nil
}

// Done is closed once Run has returned.
func (p *Peers) Done() <-chan struct{} { return p.done }
