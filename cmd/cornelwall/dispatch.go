package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/core/control"
	"cornelwall/core/dispatch"
	"cornelwall/core/kernel"
	"cornelwall/io/peer"
	"cornelwall/platform"
)

const (
	peerTimeout          = 250 * time.Millisecond  // of one envelope; older messages are obsolete
	dispatchLinger       = 2200 * time.Millisecond // minimum stop time: two readiness polls of the load balancer
	shutdownTime         = 800 * time.Millisecond  // part of StopGrace, for closing the listeners
	maxMetricsConns      = 16
	memoryLimitShare     = 0.7 // of the VM's memory; soft limit of the garbage collector
	settingsPollInterval = time.Second
)

const dispatchHelp = `Runs one entry on a platform that leases endpoints and provides durable storage.

The entry reads the settings file that the platform writes, registers itself in the
platform's store, shares the endpoints listed there with the other entries, and accepts
jobs from callers. SIGTERM starts a planned stop: endpoints are handed over to other
entries together with their running tasks, and callers are served until their jobs have
ended. The settings file is read again on SIGHUP and when it changes, and problems with it
are logged; changes take effect at the next start.

docs/design/platform.md describes how it works, docs/OPERATIONS.md how to trace a failed
request in the logs.

Examples:
  ` + platform.SettingsEnv + `=/etc/cornelwall/local.toml \
      CORNELWALL_SECRET=a-secret-of-16-or-more cornelwall dispatch
  cornelwall dispatch --settings local.toml --secret a-secret-of-16-or-more \
      --metrics-port 7990

`

func dispatchCommand() *cli.Command {
	return &cli.Command{
		Name:        "dispatch",
		Usage:       "run an entry on a platform that leases endpoints",
		Description: dispatchHelp + exitCodesHelp(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsEnv)},
			&cli.StringFlag{Name: "secret", Usage: "secret shared by all entries", Sources: env("SECRET")},
			&cli.IntFlag{Name: "metrics-port", Usage: "port of the metrics page; 0 disables it", Sources: env("METRICS_PORT")},
			&cli.BoolFlag{Name: "shed", Usage: "under overload, delay or refuse by priority, target time and work what costs callers least", Sources: env("SHED")},
			&cli.BoolFlag{Name: "place-by-speed", Usage: "place tasks by when they are expected to end at each endpoint", Sources: env("PLACE_BY_SPEED")},
			&cli.BoolFlag{Name: "verbose", Usage: "log debug events too", Sources: env("VERBOSE")},
		},
		Action: runDispatch,
	}
}

func runDispatch(ctx context.Context, c *cli.Command) error {
	s, err := platform.ReadSettings(c.String("settings"))
	secret := c.String("secret")
	if len(secret) < minSecretLen {
		err = errors.Join(err, fmt.Errorf("--secret has %d characters; use %d or more", len(secret), minSecretLen))
	}
	if err != nil {
		return usageError(err)
	}
	lines := newLineWriter(os.Stdout)
	cfg := dispatch.Config{Shed: c.Bool("shed"), PlaceBySpeed: c.Bool("place-by-speed")}
	d, err := buildDispatcher(s, cfg, secret, c.Int("metrics-port"), newLog(lines, c.Bool("verbose")))
	if err != nil {
		return err
	}
	d.settingsPath = c.String("settings")
	err = d.run(ctx)
	d.log.Info("ended", "err", err)
	lines.close()
	return err
}

// dispatcher is a running entry on the platform.
type dispatcher struct {
	settings     platform.Settings
	settingsPath string // read again by rereadSettings
	log          logr.Logger
	kernel       *kernel.Kernel
	loop         *control.Loop
	servers      []*server
}

// buildDispatcher opens the listeners and creates the services of an entry. It completes the core's config from the
// settings.
func buildDispatcher(s platform.Settings, cfg dispatch.Config, secret string, metricsPort int, log logr.Logger) (*dispatcher, error) {
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMiB) * (1 << 20)))
	}
	clock := cornelwall.NewBootClock()
	self := cornelwall.Incarnation{DataCentre: s.DataCentre, Entry: s.Name, Epoch: newEpoch(time.Now())}
	d := &dispatcher{settings: s, log: log.WithValues("entry", self)}
	d.kernel = kernel.New(d.log)
	cfg.Self, cfg.Addr, cfg.Seeds, cfg.Weight = self, s.PeerAddr, s.Seeds, s.Weight
	cfg.Limits = dispatch.Limits{MaxLease: s.MaxLease, StopDelay: s.StopDelay, StopGrace: s.StopGrace, DrainTime: s.DrainTime, EvacuateTime: s.EvacuateTime, CancelTime: s.CancelTime}
	d.loop = control.New(dispatch.New(cfg, clock.Now()), clock, d.log)
	peers := peer.New(peer.Config{Self: self, Secret: secret, Timeout: peerTimeout, Clock: clock}, d.loop, d.log)
	executors := platform.NewExecutors(d.loop, clock)
	member := cornelwall.Member{ID: self, Addr: s.PeerAddr, Weight: s.Weight, KeepsCancellations: s.CancelTime > 0, RecordsOwners: true}
	service := platform.New(s.StoreAddr, member, d.loop, clock, d.log)
	if s.EvacuateTime > 0 {
		service.ReadEvacuations()
	}
	d.loop.Connect(peers, executors, service)
	d.kernel.Add(cornelwall.ServiceControl, d.loop)
	d.kernel.Add(cornelwall.ServicePeers, peers)
	d.kernel.Add(cornelwall.ServiceEndpoints, executors)
	d.kernel.Add(cornelwall.ServicePlatform, service)
	mux := http.NewServeMux()
	mux.Handle(peers.Handler())
	// The kernel stops its services in reverse order, so the callers' listener is the last here.
	listeners := []struct {
		name  string
		addr  netip.AddrPort
		conns int
		h     http.Handler
	}{
		{"metrics", netip.AddrPortFrom(s.PeerAddr.Addr(), uint16(metricsPort)), maxMetricsConns, metricsHandler(d.loop)},
		{"peers", s.PeerAddr, maxPeerConns, mux},
		{"readiness", s.ReadinessAddr, maxOperatorConns, service.Readiness()},
		{"callers", s.CallerAddr, maxCallerConns, platform.NewIngress(d.loop)},
	}
	for _, l := range listeners {
		if l.addr.Port() == 0 { // this listener is disabled
			continue
		}
		if err := d.listen(l.name, l.addr, l.conns, l.h); err != nil {
			d.close()
			return nil, err
		}
	}
	d.log.Info("serving", "callers", s.CallerAddr, "peers", s.PeerAddr, "dc", s.DataCentre)
	return d, nil
}

// listen opens a listener and registers it with the kernel.
func (d *dispatcher) listen(name string, addr netip.AddrPort, conns int, h http.Handler) error {
	srv, err := listen(listenConfig{Addr: addr, MaxConns: conns, Log: d.log}, h)
	if err != nil {
		return fmt.Errorf("%s listener: %w", name, err)
	}
	d.kernel.Add(name+"-listener", srv)
	d.servers = append(d.servers, srv)
	return nil
}

// metricsHandler serves the metrics of the process and of the core.
func metricsHandler(loop *control.Loop) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		metrics.WritePrometheus(w, true)
		loop.WriteMetrics(r.Context(), w)
	})
}

func (d *dispatcher) close() {
	for _, srv := range d.servers {
		srv.close()
	}
}

// run runs the entry until ctx ends, then makes a planned stop.
func (d *dispatcher) run(ctx context.Context) error {
	kctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer d.close()
	ended := make(chan error, 1)
	go func() { ended <- d.kernel.Run(kctx) }()
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		d.watchSettings(kctx)
	}()
	defer func() { <-watchEnded }()
	defer cancel()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	d.plannedStop()
	cancel()
	timeout := time.NewTimer(shutdownTime)
	defer timeout.Stop()
	select {
	case err := <-ended:
		return err
	case <-timeout.C:
		d.log.Info("ended-late", "remedy", "look for a peer or caller that does not read")
		return nil
	}
}

// plannedStop shuts the core down gracefully, within StopGrace. Callers are served until the core
// has stopped, and for at least dispatchLinger, so that the load balancer notices that the entry is
// not ready.
func (d *dispatcher) plannedStop() {
	for _, srv := range d.servers {
		srv.startDrain(time.Now().Add(dispatchLinger))
	}
	d.loop.Post(cornelwall.Stop{TimeLeft: d.settings.StopGrace})
	linger := time.NewTimer(dispatchLinger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-d.loop.Done():
		return
	}
	timeout := time.NewTimer(d.settings.StopGrace - dispatchLinger - shutdownTime)
	defer timeout.Stop()
	select {
	case <-d.loop.Stopped():
	case <-d.loop.Done():
	case <-timeout.C:
	}
}

// watchSettings reads the settings file again on SIGHUP and when the file changes, and logs the
// result. Changes take effect at the next start, because listeners and limits cannot change while
// the entry runs.
func (d *dispatcher) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastStamp := fileStamp(d.settingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			d.rereadSettings("signal")
		case <-poll.C:
			if stamp := fileStamp(d.settingsPath); stamp != lastStamp {
				lastStamp = stamp
				d.rereadSettings("file")
			}
		}
	}
}

// fileStamp returns the modification time and size of a file, or "" if it cannot be read.
func fileStamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return "" // rereadSettings logs the error
	}
	return info.ModTime().String() + strconv.FormatInt(info.Size(), 10)
}

// rereadSettings reads the settings file and logs its problems. It does not apply the settings.
func (d *dispatcher) rereadSettings(why string) {
	s, err := platform.ReadSettings(d.settingsPath)
	if err != nil {
		d.log.Info("settings-invalid", "why", why, "err", err)
		return
	}
	d.log.Info("settings-read", "why", why, "store", s.StoreAddr, "seeds", len(s.Seeds))
}
