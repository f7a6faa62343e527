package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/net/netutil"
)

const (
	maxConns          = 4096
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 5 * time.Second
)

// server is an HTTP listener that runs as a service.
type server struct {
	http     http.Server
	listener net.Listener
	done     chan struct{}
}

// listen opens the address, so that a wrong one is told before anything runs.
func listen(addr netip.AddrPort, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &server{
		http: http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
			ReadTimeout:       readTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		listener: netutil.LimitListener(l, maxConns),
		done:     make(chan struct{}),
	}, nil
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
	sctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(sctx)
	if serr := <-ended; !errors.Is(serr, http.ErrServerClosed) {
		err = errors.Join(err, serr)
	}
	return err
}

// Done is closed once Run has returned.
func (s *server) Done() <-chan struct{} { return s.done }
