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
		Name:        "serve",
		Usage:       "run an entry",
		Description: serveHelp + exitHelp(),
		Flags:       serveFlags(),
		Action:      serve,
	}
}

// entry is the parts of a running entry.
type entry struct {
	kernel    *kernel.Kernel
	loop      *control.Loop
	callers   *server
	peers     *server
	operators *server
	log       logr.Logger
	stop      time.Duration // limit of a planned stop
	linger    time.Duration // least time of a planned stop
	close     func()        // closes the idle connections to other systems
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c)
	if err != nil {
		return usageError(err)
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

const lifeRandomBits = 22

// drawLife returns a unique number for one process life. It starts with the time, so that
// of two lives of one entry that both answer, the later one is the larger.
func drawLife(now time.Time) uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	random := binary.BigEndian.Uint64(b[:]) >> (64 - lifeRandomBits)
	return uint64(now.UnixMilli())<<lifeRandomBits | random
}

// drawChange returns a unique identity for a change of a profile.
func drawChange() string { return rand.Text() }

// build opens the listeners and connects the services.
func build(s settings, log logr.Logger) (*entry, error) {
	clock := cornelwall.SystemClock{}
	self := cornelwall.Incarnation{DataCentre: s.DataCentre, Entry: s.Name, Life: drawLife(clock.Now())}
	log = log.WithValues("entry", self)
	mux := http.NewServeMux()
	peerServer, err := listen(listenConfig{Addr: s.Peers, Conns: maxPeerConns, Log: log}, mux)
	if err != nil {
		return nil, fmt.Errorf("--peers: %w", err)
	}
	advertise := peerServer.addr()
	if s.Advertise.IsValid() {
		advertise = s.Advertise
	}
	core := node.New(node.Config{Self: self, Addr: advertise, Secret: []byte(s.Secret)}, clock.Now())
	loop := control.New(core, clock, log)

	peers := peer.New(peer.Config{Self: self, Token: s.Secret, Timeout: s.PeerTimeout}, loop, log)
	mux.Handle(peers.Handler())
	executors, workers := executor.New(executor.Config{}), worker.New(worker.Config{})
	endpoints := endpoint.New(loop, map[cornelwall.Kind]cornelwall.BackEnd{
		cornelwall.Executor: executors,
		cornelwall.Worker:   workers,
	})
	store := platform.New(platform.Config{Endpoints: s.Store, Timeout: s.PlatformTimeout})
	list := platform.NewVMList(platform.ListConfig{URL: s.Machine, Timeout: s.PlatformTimeout, Log: log})
	service := platform.NewService(platform.Settings{
		Store: store, List: list,
		Prefix: operator.Prefix, Decode: operator.Decode,
		ListPoll: s.ListPoll, Timeout: s.PlatformTimeout,
	}, loop, log)
	loop.Connect(peers, endpoints, service)

	callers, err := listen(listenConfig{Addr: s.Callers, Conns: maxCallerConns, Log: log}, caller.New(loop))
	if err != nil {
		return nil, fmt.Errorf("--callers: %w", err)
	}
	operators, err := listen(listenConfig{Addr: s.Operators, Conns: maxOperatorConns, Log: log},
		operatorHandler(loop, store, s.Token, log))
	if err != nil {
		return nil, fmt.Errorf("--operators: %w", err)
	}
	k := kernel.New(log)
	k.Add(cornelwall.ServiceControl, loop)
	k.Add(cornelwall.ServicePeers, peers)
	k.Add(cornelwall.ServiceEndpoints, endpoints)
	k.Add(cornelwall.ServicePlatform, service)
	k.Add("peer-listener", peerServer)
	k.Add("operator-listener", operators)
	k.Add("caller-listener", callers) // ends first, while its requests still reach everything
	log.Info("serving", "callers", callers.addr(), "peers", peerServer.addr(), "operators", operators.addr())
	return &entry{
		kernel: k, loop: loop, callers: callers, peers: peerServer, operators: operators, log: log, stop: s.StopTimeout, linger: s.Linger,
		close: func() {
			executors.Close()
			workers.Close()
			store.Close()
			list.Close()
		},
	}, nil
}

func operatorHandler(loop *control.Loop, store cornelwall.Store, token string, log logr.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		metrics.WritePrometheus(w, true)
		loop.WriteMetrics(r.Context(), w)
	})
	mux.Handle("/", operator.New(loop, store, token, drawChange, log))
	return mux
}

// run serves until ctx ends, then makes a planned stop.
func (e *entry) run(ctx context.Context) error {
	kctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- e.kernel.Run(kctx) }()
	defer e.close()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	e.leave()
	cancel()
	return <-ended
}

// leave makes the planned stop of the core. Callers are served until it is complete, and
// at least for as long as the balancer needs to see that the entry is not ready.
func (e *entry) leave() {
	e.callers.leave(time.Now().Add(e.stop))
	e.loop.Post(cornelwall.Stop{Left: e.stop * 3 / 4}) // the rest is for the handover
	limit, least := time.NewTimer(e.stop), time.NewTimer(e.linger)
	defer limit.Stop()
	defer least.Stop()
	select {
	case <-e.loop.Stopped():
	case <-e.loop.Done(): // a service has failed meanwhile
		return
	case <-limit.C:
		e.log.Info("stop-timeout", "remedy", "raise --stop-timeout above the longest deadline")
		return
	}
	select {
	case <-least.C:
	case <-e.loop.Done():
	}
}
