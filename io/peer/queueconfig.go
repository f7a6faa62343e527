package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"cornelwall"
	"cornelwall/io/tcp"
)

const (
	fetchProcedure = "/cornelwall.Peer/FetchQueueConfig"
	maxTransfers   = 2        // queue configurations that are sent at a time; more would share the link
	transferChunk  = 16 << 10 // bytes of an answer that are written under one deadline
	transferBuffer = 64 << 10 // bytes of an answer that the kernel takes before it has sent them
	fetchIdleConns = 1        // kept per entry
)

var (
	fetchEnds     = newFetchCounters()
	fetchedBytes  = metrics.NewCounter("cornelwall_config_fetched_bytes_total")
	fetchDuration = metrics.NewHistogram("cornelwall_config_fetch_seconds")

	sentConfigs   = metrics.NewCounter(`cornelwall_config_served_total{result="sent"}`)
	brokenConfigs = metrics.NewCounter(`cornelwall_config_served_total{result="failed"}`)
	noNewerConfig = metrics.NewCounter(`cornelwall_config_served_total{result="no-newer"}`)
	busyTransfers = metrics.NewCounter(`cornelwall_config_served_total{result="busy"}`)
	servedBytes   = metrics.NewCounter("cornelwall_config_served_bytes_total")
)

func newFetchCounters() map[cornelwall.FetchResult]*metrics.Counter {
	counters := map[cornelwall.FetchResult]*metrics.Counter{}
	for _, r := range cornelwall.FetchResultValues() {
		counters[r] = metrics.NewCounter(fmt.Sprintf("cornelwall_config_fetches_total{result=%q}", r))
	}
	return counters
}

// QueueConfigRequest asks an entry for its queue configuration if that is newer than version Have.
type QueueConfigRequest struct {
	Have uint64 `json:"have"`
}

// QueueConfigReply answers a QueueConfigRequest.
type QueueConfigReply struct {
	Busy   bool            `json:"busy,omitempty"`        // the entry sends as many configurations as it may at a time
	Config cbor.RawMessage `json:"declaration,omitempty"` // a [cornelwall.QueueConfig]; empty if there is no newer one
}

// servedConfig is the queue configuration that other entries get.
type servedConfig struct {
	version uint64
	encode  func() ([]byte, error) // encodes it once
}

func newServedConfig(c *cornelwall.QueueConfig) *servedConfig {
	return &servedConfig{
		version: c.Version,
		encode:  sync.OnceValues(func() ([]byte, error) { return NewCodec().Marshal(c) }),
	}
}

// transfer writes the answer to a QueueConfigRequest. It fails once the receiver takes nothing for
// stallTimeout, or the whole takes longer than transferLimit.
type transfer struct {
	http.ResponseWriter
	deadlines *http.ResponseController
	endsAt    time.Time // the latest deadline
	holdsSlot bool
	err       error // of the first write that failed
}

type transferKey struct{}

// Write writes p in chunks, each of which must be taken in time.
func (t *transfer) Write(p []byte) (n int, err error) {
	for n < len(p) && t.err == nil {
		var m int
		m, t.err = t.writeChunk(p[n:min(len(p), n+transferChunk)])
		n += m
		servedBytes.Add(m)
	}
	return n, t.err
}

func (t *transfer) writeChunk(p []byte) (int, error) {
	deadline := time.Now().Add(stallTimeout)
	if deadline.After(t.endsAt) {
		deadline = t.endsAt
	}
	if err := t.deadlines.SetWriteDeadline(deadline); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	return t.ResponseWriter.Write(p)
}

// takeSlot takes a slot for the transfer, and reports whether there was one.
func (p *Peers) takeSlot(t *transfer) bool {
	select {
	case p.transfers <- struct{}{}:
		t.holdsSlot = true
	default:
	}
	return t.holdsSlot
}

// endTransfer counts a transfer and releases its slot.
func (p *Peers) endTransfer(t *transfer) {
	if !t.holdsSlot {
		return
	}
	<-p.transfers
	if t.err != nil {
		brokenConfigs.Inc()
		p.log.V(1).Info("declaration-unsent", "err", t.err)
		return
	}
	sentConfigs.Inc()
}

// serveHandler returns the handler of QueueConfigRequests.
func (p *Peers) serveHandler() http.Handler {
	h := newHandler(fetchProcedure, p.serveQueueConfig)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &transfer{ResponseWriter: w, deadlines: http.NewResponseController(w), endsAt: time.Now().Add(transferLimit)}
		defer p.endTransfer(t) // the answer is written after serveQueueConfig has returned
		h.ServeHTTP(t, r.WithContext(context.WithValue(r.Context(), transferKey{}, t)))
	})
}

func (p *Peers) serveQueueConfig(ctx context.Context, r *connect.Request[QueueConfigRequest]) (*connect.Response[QueueConfigReply], error) {
	c := p.served.Load()
	if c == nil || c.version <= r.Msg.Have {
		noNewerConfig.Inc()
		return connect.NewResponse(&QueueConfigReply{}), nil
	}
	if !p.takeSlot(ctx.Value(transferKey{}).(*transfer)) {
		busyTransfers.Inc()
		return connect.NewResponse(&QueueConfigReply{Busy: true}), nil
	}
	b, err := c.encode()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode declaration %d: %w", c.version, err))
	}
	if err := tcp.LimitWriteBuffer(ctx, transferBuffer); err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("limit write buffer: %w", err))
	}
	return connect.NewResponse(&QueueConfigReply{Config: b}), nil
}

// startFetch starts a goroutine that carries out the command.
func (p *Peers) startFetch(cmd cornelwall.FetchQueueConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.wg.Go(func() { p.fetchQueueConfig(cmd) })
}

// fetchQueueConfig fetches a queue configuration and reports the end to the core.
func (p *Peers) fetchQueueConfig(cmd cornelwall.FetchQueueConfig) {
	startedAt := p.cfg.Clock.Now()
	f := p.requestQueueConfig(cmd)
	took := p.cfg.Clock.Now().Sub(startedAt)
	p.recordFetch(cmd, f, took)
	p.sink.Post(cornelwall.QueueConfigFetched{From: cmd.From, Result: f.result, Config: f.config, Took: took})
}

// fetch is how a FetchQueueConfig ended.
type fetch struct {
	result cornelwall.FetchResult
	config *cornelwall.QueueConfig // set if result is FetchDone
	bytes  int                     // of the encoded configuration
	err    error                   // set if result is FetchFailed
}

func (p *Peers) requestQueueConfig(cmd cornelwall.FetchQueueConfig) fetch {
	ctx, cancel := context.WithTimeout(p.fetchCtx, transferLimit)
	defer cancel()
	client := newClient[QueueConfigRequest, QueueConfigReply](p, p.fetchClient, cmd.Addr, fetchProcedure)
	resp, err := client.CallUnary(ctx, connect.NewRequest(&QueueConfigRequest{Have: cmd.Have}))
	switch {
	case err != nil:
		return fetch{result: cornelwall.FetchFailed, err: err}
	case resp.Msg.Busy:
		return fetch{result: cornelwall.FetchBusy}
	case len(resp.Msg.Config) == 0:
		return fetch{result: cornelwall.FetchNoNewer}
	}
	return decodeQueueConfig(resp.Msg.Config, cmd.Have)
}

// decodeQueueConfig decodes and checks a queue configuration, which must be newer than version have.
func decodeQueueConfig(b []byte, have uint64) fetch {
	f := fetch{config: &cornelwall.QueueConfig{}, bytes: len(b)}
	f.err = NewCodec().Unmarshal(b, f.config)
	if f.err == nil && f.config.Version <= have {
		f.err = fmt.Errorf("declaration %d is not newer than %d; run one version on all entries", f.config.Version, have)
	}
	if f.err != nil {
		f.result, f.config = cornelwall.FetchFailed, nil
	}
	return f
}

// recordFetch counts and logs the end of a fetch.
func (p *Peers) recordFetch(cmd cornelwall.FetchQueueConfig, f fetch, took time.Duration) {
	fetchEnds[f.result].Inc()
	fetchedBytes.Add(f.bytes)
	fetchDuration.Update(took.Seconds())
	log := p.log
	if connect.CodeOf(f.err) == connect.CodeUnimplemented { // the other entry runs an older version
		log = log.V(1)
	}
	version := cmd.Have
	if f.config != nil {
		version = f.config.Version
	}
	log.Info("declaration-fetched", "from", cmd.From, "result", f.result, "version", version, "bytes", f.bytes, "took", took, "err", f.err)
}
