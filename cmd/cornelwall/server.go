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
	"golang.org/x/net/netutil"
)

const (
	maxCallerConns    = 8192
	maxPeerConns      = 1024
	maxOperatorConns  = 128
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	drainTimeout      = 5 * time.Second        // for requests in flight
	minDrainTime      = 300 * time.Millisecond // of a server that has left
	cancelTimeout     = time.Second            // for the answers to requests that are cut short
)

var handlerPanics = metrics.NewCounter("cornelwall_http_panics_total")

// listenConfig is the settings of a listener.
type listenConfig struct {
	Addr     netip.AddrPort
	MaxConns int // at once
	Log      logr.Logger
}

// server is an HTTP listener that runs as a service.
type server struct {
	cfg            listenConfig
	http           http.Server
	listener       net.Listener
	drainDeadline  atomic.Pointer[time.Time] // by when the requests in flight are to have ended
	requestCtx     context.Context           // of all requests
	cancelRequests context.CancelFunc
	done           chan struct{}
}

// listen opens the address, so that a wrong one is told before anything runs.
func listen(cfg listenConfig, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", cfg.Addr.String())
	if err != nil {
		return nil, err
	}
	s := &server{cfg: cfg, listener: netutil.LimitListener(l, cfg.MaxConns), done: make(chan struct{})}
	s.requestCtx, s.cancelRequests = context.WithCancel(context.Background())
	s.http = http.Server{
		BaseContext:       func(net.Listener) context.Context { return s.requestCtx },
		Handler:           s.wrap(h),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(cfg.Log.V(1).WithName("http")), slog.LevelInfo),
	}
	return s, nil
}

// wrap adds what every handler needs: a panic is logged and ends one request only, and
// once the entry is leaving, each answer ends its connection.
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
		panic(v) // the way to cut an answer short
	}
	handlerPanics.Inc()
	s.cfg.Log.Info("handler-panic", "method", r.Method, "path", r.URL.Path, "panic", v, "stack", string(debug.Stack()))
	http.Error(w, "the entry made an error; report it with the log line handler-panic", http.StatusInternalServerError)
}

// startDrain makes each answer end its connection, so that callers come back elsewhere. The
// requests in flight have until the time given.
func (s *server) startDrain(by time.Time) { s.drainDeadline.Store(&by) }

// drainTimeLeft returns how long the requests in flight may take once the server ends.
func (s *server) drainTimeLeft() time.Duration {
	if by := s.drainDeadline.Load(); by != nil {
		return max(minDrainTime, time.Until(*by))
	}
	return drainTimeout
}

// addr returns the address that the server listens on.
func (s *server) addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Run serves until ctx ends, then lets the requests in flight finish.
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

// shutdown lets the requests in flight finish, and ends those that take too long.
func (s *server) shutdown() error {
	defer s.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeLeft())
	defer cancel()
	if err := s.http.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.cfg.Log.Info("requests-cut", "addr", s.addr(), "remedy", "raise --stop-timeout above the longest deadline")
	s.cancelRequests() // their handlers still tell the truth
	ctx, cancel = context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) == nil {
		return nil
	}
	return s.http.Close()
}

// close closes the listener of a server that does not run.
func (s *server) close() {
	s.cancelRequests()
	_ = s.listener.Close() // closed already if the server has run
}

// Done is closed once Run has returned.
func (s *server) Done() <-chan struct{} { return s.done }
