package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"cornelwall/io/tcp"
)

const (
	maxCallerConns    = 8192
	maxPeerConns      = 1024
	maxOperatorConns  = 128
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	drainTimeout      = 5 * time.Second        // for requests in flight, if startDrain was not called
	minDrainTime      = 300 * time.Millisecond // minimum after startDrain, even past its deadline
	cancelTimeout     = time.Second            // for the responses to requests that were cancelled
)

var handlerPanics = metrics.NewCounter("cornelwall_http_panics_total")

// listenConfig configures a listener.
type listenConfig struct {
	Addr     netip.AddrPort
	MaxConns int // simultaneous connections
	Log      logr.Logger
}

// server is an HTTP listener that runs as a service of the kernel.
type server struct {
	cfg            listenConfig
	http           http.Server
	listener       net.Listener
	drainDeadline  atomic.Pointer[time.Time] // set by startDrain, for requests in flight
	requestCtx     context.Context           // parent of the contexts of all requests
	cancelRequests context.CancelFunc
	done           chan struct{}
}

// listen opens the address of a server, so that an invalid one is reported before any service runs.
func listen(cfg listenConfig, h http.Handler) (*server, error) {
	l, err := tcp.Listen(cfg.Addr, cfg.MaxConns)
	if err != nil {
		return nil, err
	}
	s := &server{cfg: cfg, listener: l, done: make(chan struct{})}
	s.requestCtx, s.cancelRequests = context.WithCancel(logr.NewContext(context.Background(), cfg.Log))
	s.http = http.Server{
		BaseContext:       func(net.Listener) context.Context { return s.requestCtx },
		ConnContext:       tcp.ConnContext,
		Handler:           s.wrap(h),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(cfg.Log.V(1).WithName("http")), slog.LevelInfo),
	}
	return s, nil
}

// wrap adds panic recovery to a handler, so that a panic is logged and fails only its request.
// While the server drains, it also closes each connection after its response.
func (s *server) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.drainDeadline.Load() != nil {
			w.Header().Set("Connection", "close")
		}
		defer s.recoverPanic(w, r)
		h.ServeHTTP(w, r)
	})
}

func (s *server) recoverPanic(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v) // aborts a response by convention of net/http
	}
	handlerPanics.Inc()
	s.cfg.Log.Info("handler-panic", "method", r.Method, "path", r.URL.Path, "panic", v, "stack", string(debug.Stack()))
	http.Error(w, "the entry made an error; report it with the log line handler-panic", http.StatusInternalServerError)
}

// startDrain makes the server close each connection after its response, so that callers
// reconnect to other entries. Requests in flight may take until the deadline.
func (s *server) startDrain(deadline time.Time) { s.drainDeadline.Store(&deadline) }

// drainTimeLeft returns how long requests in flight may still take once the server shuts down.
func (s *server) drainTimeLeft() time.Duration {
	if deadline := s.drainDeadline.Load(); deadline != nil {
		return max(minDrainTime, time.Until(*deadline))
	}
	return drainTimeout
}

// addr returns the address that the server listens on.
func (s *server) addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Run serves until ctx ends, then waits for the requests in flight.
func (s *server) Run(ctx context.Context) error {
	defer close(s.done)
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(s.listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	err := s.shutdown()
	if serr := <-ended; !errors.Is(serr, http.ErrServerClosed) {
		err = errors.Join(err, serr)
	}
	return err
}

// shutdown waits for the requests in flight and cancels those that exceed the drain time.
func (s *server) shutdown() error {
	defer s.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeLeft())
	defer cancel()
	if err := s.http.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.cfg.Log.Info("requests-cut", "addr", s.addr(), "remedy", "raise the stop timeout above the longest deadline")
	s.cancelRequests() // their handlers still send accurate answers
	ctx, cancel = context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) == nil {
		return nil
	}
	return s.http.Close()
}

// close cancels all requests and closes the listener.
func (s *server) close() {
	s.cancelRequests()
	_ = s.listener.Close() // already closed if Run was called
}

// Done is closed once Run has returned.
func (s *server) Done() <-chan struct{} { return s.done }
