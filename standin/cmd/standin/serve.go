package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"cornelwall"
)

const (
	stopTimeout     = 30 * time.Second
	registerTimeout = 5 * time.Second
)

func addrFlag() cli.Flag {
	return &cli.StringFlag{Name: "addr", Value: "127.0.0.1:0", Usage: "listen on `IP:PORT`; port 0 picks a free port",
		Sources: cli.EnvVars("STANDIN_ADDR")}
}

// machineFlags returns the flags of an executor or worker, which registers itself in the VM list.
func machineFlags() []cli.Flag {
	return []cli.Flag{
		addrFlag(),
		&cli.StringFlag{Name: "name", Usage: "name in the VM list", Sources: cli.EnvVars("STANDIN_NAME")},
		&cli.StringFlag{Name: "dc", Usage: "data centre", Sources: cli.EnvVars("STANDIN_DC")},
		&cli.StringFlag{Name: "rack", Usage: "rack", Sources: cli.EnvVars("STANDIN_RACK")},
		&cli.StringFlag{Name: "platform", Usage: "base `URL` of the stand-in platform; if empty, the machine is not registered",
			Sources: cli.EnvVars("STANDIN_PLATFORM")},
	}
}

// vmFromFlags returns the record for the VM list that the flags describe, without an address.
func vmFromFlags(cmd *cli.Command, kind cornelwall.Kind) cornelwall.VM {
	return cornelwall.VM{
		Name:       cmd.String("name"),
		Kind:       kind,
		DataCentre: cmd.String("dc"),
		Rack:       cmd.String("rack"),
	}
}

// service is an HTTP server with hooks for its start and its shutdown.
type service struct {
	server   *http.Server
	onListen func(addr netip.AddrPort) error // called before the first request is served; may be nil
	drain    func(ctx context.Context)       // called before the server shuts down
}

// serve runs the service until SIGTERM or SIGINT.
func serve(ctx context.Context, cmd *cli.Command, s service) error {
	log := logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil))
	lis, err := net.Listen("tcp", cmd.String("addr"))
	if err != nil {
		return fmt.Errorf("cannot listen on --addr %q; choose a free address: %w", cmd.String("addr"), err)
	}
	addr := lis.Addr().(*net.TCPAddr).AddrPort()
	if s.onListen != nil {
		if err := s.onListen(addr); err != nil {
			return errors.Join(err, lis.Close())
		}
	}
	fmt.Printf("addr=%s\n", addr)
	log.Info("listening", "kind", cmd.Name, "addr", addr.String())
	var group run.Group
	group.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
	group.Add(func() error { return s.server.Serve(lis) }, func(error) { stop(s, log) })
	err = group.Run()
	var signal *run.SignalError
	if errors.As(err, &signal) || errors.Is(err, http.ErrServerClosed) {
		log.Info("stopped", "cause", err.Error())
		return nil
	}
	return err
}

// stop drains the service and then waits for the requests in flight, at most stopTimeout.
func stop(s service, log logr.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.drain(ctx)
	if err := s.server.Shutdown(ctx); err != nil {
		log.Info("requests cut off", "error", err.Error())
		_ = s.server.Close()
	}
}

// registerVM adds the machine to the VM list of the stand-in platform.
func registerVM(ctx context.Context, base string, vm cornelwall.VM) error {
	if base == "" {
		return nil
	}
	if err := vm.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	url := strings.TrimSuffix(base, "/") + "/ctl/vm"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("cannot register in the VM list; check --platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("registration at %s returned status %d; check the flags", url, resp.StatusCode)
	}
	return nil
}
