package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/core/control"
	"cornelwall/core/kernel"
	"cornelwall/core/node"
	"cornelwall/io/caller"
	"cornelwall/io/endpoint"
	"cornelwall/io/executor"
	"cornelwall/io/operator"
	"cornelwall/io/peer"
	"cornelwall/io/platform"
	"cornelwall/io/worker"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "run an entry",
		Flags:  serveFlags(),
		Action: serve,
	}
}

// entry is the parts of a running entry.
type entry struct {
	kernel *kernel.Kernel
	loop   *control.Loop
	log    logr.Logger
	stop   time.Duration
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c)
	if err != nil {
		return err
	}
	e, err := build(s, newLog(s.Verbose))
	if err != nil {
		return err
	}
	return e.run(ctx)
}

func newLog(verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// drawLife returns a random number for one process life.
func drawLife() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// drawChange returns a unique identity for a change of a profile.
func drawChange() string { return rand.Text() }

// build opens the listeners and connects the services.
func build(s settings, log logr.Logger) (*entry, error) {
	self := cornelwall.Incarnation{DataCentre: s.DataCentre, Entry: s.Name, Life: drawLife()}
	log = log.WithValues("entry", self)
	mux := http.NewServeMux()
	peerServer, err := listen(s.Peers, mux)
	if err != nil {
		return nil, fmt.Errorf("--peers: %w", err)
	}
	advertise := peerServer.addr()
	if s.Advertise.IsValid() {
		advertise = s.Advertise
	}
	clock := cornelwall.SystemClock{}
	core := node.New(node.Config{Self: self, Addr: advertise, Secret: []byte(s.Secret)}, clock.Now())
	loop := control.New(core, clock, log)

	peers := peer.New(peer.Config{Self: self, Token: s.Secret, Timeout: s.PeerTimeout}, loop, log)
	mux.Handle(peers.Handler())
	endpoints := endpoint.New(loop, map[cornelwall.Kind]cornelwall.BackEnd{
		cornelwall.Executor: executor.New(executor.Config{}),
		cornelwall.Worker:   worker.New(worker.Config{}),
	})
	store := platform.New(platform.Config{Endpoints: s.Store, Timeout: s.PlatformTimeout})
	service := platform.NewService(platform.Settings{
		Store: store, List: platform.NewVMList(platform.ListConfig{URL: s.Machine, Timeout: s.PlatformTimeout, Log: log}),
		Prefix: operator.Prefix, Decode: operator.Decode,
		ListPoll: s.ListPoll, Timeout: s.PlatformTimeout,
	}, loop, log)
	loop.Connect(peers, endpoints, service)

	callers, err := listen(s.Callers, caller.New(loop))
	if err != nil {
		return nil, fmt.Errorf("--callers: %w", err)
	}
	operators, err := listen(s.Operators, operatorHandler(loop, store, s.Token))
	if err != nil {
		return nil, fmt.Errorf("--operators: %w", err)
	}
	k := kernel.New(log)
	k.Add(cornelwall.ServiceControl, loop)
	k.Add(cornelwall.ServicePeers, peers)
	k.Add(cornelwall.ServiceEndpoints, endpoints)
	k.Add(cornelwall.ServicePlatform, service)
	k.Add("peer-listener", peerServer)
	k.Add("caller-listener", callers)
	k.Add("operator-listener", operators)
	log.Info("serving", "callers", callers.addr(), "peers", peerServer.addr(), "operators", operators.addr())
	return &entry{kernel: k, loop: loop, log: log, stop: s.StopTimeout}, nil
}

func operatorHandler(loop *control.Loop, store cornelwall.Store, token string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.Handle("/", operator.New(loop, store, token, drawChange))
	return mux
}

// run serves until ctx ends, then makes a planned stop.
func (e *entry) run(ctx context.Context) error {
	kctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- e.kernel.Run(kctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	e.loop.Post(cornelwall.Stop{})
	timer := time.NewTimer(e.stop)
	defer timer.Stop()
	select {
	case <-e.loop.Stopped():
	case <-timer.C:
		e.log.Info("stop-timeout", "remedy", "raise --stop-timeout above the longest deadline")
	}
	cancel()
	return <-ended
}
