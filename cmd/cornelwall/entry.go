package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

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

// entry is a running entry: the event loop of its core, its services and its listeners.
type entry struct {
	settings  settings
	self      cornelwall.Incarnation
	log       logr.Logger
	kernel    *kernel.Kernel
	loop      *control.Loop
	store     *platform.Client
	peers     *server // listener for other entries
	callers   *server
	operators *server
	closers   []func() // release listeners and idle connections
}

// buildEntry opens the listeners and creates the services of an entry.
func buildEntry(s settings, log logr.Logger) (*entry, error) {
	clock := cornelwall.SystemClock{}
	e := &entry{
		settings: s,
		self:     cornelwall.Incarnation{DataCentre: s.DataCentre, Entry: s.Name, Epoch: newEpoch(clock.Now())},
	}
	e.log = log.WithValues("entry", e.self)
	e.kernel = kernel.New(e.log)
	peerMux := http.NewServeMux() // connectServices adds the handler, which needs the loop
	var err error
	if e.peers, err = e.listen("peers", s.Peers, maxPeerConns, peerMux); err != nil {
		return nil, err
	}
	core := node.New(node.Config{Self: e.self, Addr: e.advertisedAddr(), Secret: []byte(s.Secret)}, clock.Now())
	e.loop = control.New(core, clock, e.log)
	e.connectServices(peerMux)
	e.callers, err = e.listen("callers", s.Callers, maxCallerConns, caller.New(e.loop))
	if err == nil {
		e.operators, err = e.listen("operators", s.Operators, maxOperatorConns, e.operatorHandler())
	}
	if err != nil {
		e.close()
		return nil, err
	}
	e.kernel.Add("peer-listener", e.peers)
	e.kernel.Add("operator-listener", e.operators)
	e.kernel.Add("caller-listener", e.callers) // last, so that it stops first, while the other services run
	e.log.Info("serving", "callers", e.callers.addr(), "peers", e.peers.addr(), "operators", e.operators.addr())
	return e, nil
}

// listen opens the listener at the address of a flag.
func (e *entry) listen(flag string, addr netip.AddrPort, conns int, h http.Handler) (*server, error) {
	s, err := listen(listenConfig{Addr: addr, MaxConns: conns, Log: e.log}, h)
	if err != nil {
		return nil, fmt.Errorf("--%s: %w", flag, err)
	}
	e.closers = append(e.closers, s.close)
	return s, nil
}

// advertisedAddr returns the address at which other entries reach this one.
func (e *entry) advertisedAddr() netip.AddrPort {
	if e.settings.Advertise.IsValid() {
		return e.settings.Advertise
	}
	return e.peers.addr()
}

// connectServices creates the services that carry out the core's commands and registers them with
// the kernel. It adds the handler of messages from other entries to mux.
func (e *entry) connectServices(mux *http.ServeMux) {
	s := &e.settings
	peers := peer.New(peer.Config{Self: e.self, Secret: s.Secret, Timeout: s.PeerTimeout}, e.loop, e.log)
	mux.Handle(peers.Handler())
	executors, workers := executor.New(executor.Config{}), worker.New(worker.Config{})
	endpoints := endpoint.New(e.loop, map[cornelwall.Kind]cornelwall.BackEnd{
		cornelwall.Executor: executors,
		cornelwall.Worker:   workers,
	})
	e.store = platform.New(platform.Config{URLs: s.StoreURLs, Timeout: s.PlatformTimeout})
	list := platform.NewVMList(platform.VMListConfig{URL: s.VMListURL, Timeout: s.PlatformTimeout, Log: e.log})
	service := platform.NewService(platform.Settings{
		Store: e.store, VMList: list,
		ProfilePrefix: operator.Prefix, DecodeProfile: operator.Decode,
		VMListInterval: s.ListPoll, Timeout: s.PlatformTimeout,
	}, e.loop, e.log)
	e.loop.Connect(peers, endpoints, service)
	e.kernel.Add(cornelwall.ServiceControl, e.loop)
	e.kernel.Add(cornelwall.ServicePeers, peers)
	e.kernel.Add(cornelwall.ServiceEndpoints, endpoints)
	e.kernel.Add(cornelwall.ServicePlatform, service)
	e.closers = append(e.closers, executors.Close, workers.Close, e.store.Close, list.Close)
}

func (e *entry) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metricsHandler(e.loop))
	mux.Handle("/", operator.New(e.loop, e.store, e.settings.Token, newChangeID, e.log))
	return mux
}

// close releases the listeners and idle connections.
func (e *entry) close() {
	for _, f := range e.closers {
		f()
	}
}

// run runs the entry until ctx ends, then makes a planned stop.
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
	e.plannedStop()
	cancel()
	return <-ended
}

// plannedStop shuts the core down gracefully, within StopTimeout. Callers are served until the
// core has stopped, and for at least Linger, so that the load balancer notices that the entry is
// not ready.
func (e *entry) plannedStop() {
	e.callers.startDrain(time.Now().Add(e.settings.StopTimeout))
	e.loop.Post(cornelwall.Stop{TimeLeft: e.settings.StopTimeout * 3 / 4}) // the remaining quarter is for the hand-off
	timeout, linger := time.NewTimer(e.settings.StopTimeout), time.NewTimer(e.settings.Linger)
	defer timeout.Stop()
	defer linger.Stop()
	select {
	case <-e.loop.Stopped():
	case <-e.loop.Done(): // a service has failed
		return
	case <-timeout.C:
		e.log.Info("stop-timeout", "remedy", "raise --stop-timeout above the longest deadline")
		return
	}
	select {
	case <-linger.C:
	case <-e.loop.Done():
	}
}
