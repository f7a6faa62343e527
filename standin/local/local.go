// Package local runs a small cornelwall system as separate processes on the loopback interface:
// the stand-in platform, entries, executors and workers.
//
// # Usage
//
//	sys, err := local.Start(ctx, local.Config{Dir: dir, DataCentres: []string{"ikeja", "lekki"}, Entries: 2, Executors: 3, Workers: 1})
//	defer sys.Stop()
//	err = sys.Apply(ctx, profile)
package local

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"cornelwall"
	"cornelwall/standin/task"
)

const (
	// Token is the operators' bearer token of the local system.
	Token = "local-token-of-operators"

	pollInterval = 20 * time.Millisecond
)

// Config is the size and the options of a local system.
type Config struct {
	Dir            string // for log files, and for the built programs if Programs is empty
	Programs       string // directory of programs that are already built; empty builds them
	DataCentres    []string
	Entries        int      // per data centre
	Executors      int      // per data centre
	Workers        int      // per data centre
	EntryArgs      []string // further arguments of each entry
	MachineArgs    []string // further arguments of each executor and worker
	RefuseWhenFull bool     // executors refuse tasks beyond their slots instead of queueing them
	UseRelays      bool     // entries reach each other through relays that can inject network faults
}

// System is a running system.
type System struct {
	cfg       Config
	secret    string // by which the entries authenticate each other
	Platform  *Process
	Entries   []*Process
	Executors []*Process
	Workers   []*Process
	Network   *Network // between the entries; nil without Config.UseRelays

	finalStarts map[*Process]task.StartCounts // last counts of killed machines
}

// Build compiles the programs into dir. Flags are additional flags for go build.
func Build(ctx context.Context, dir string, flags ...string) error {
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, flags...)
	args = append(args, "cornelwall/cmd/cornelwall", "cornelwall/standin/cmd/standin")
	cmd := exec.CommandContext(ctx, "go", args...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("cannot build the programs: %w: %s", err, out)
	}
	return nil
}

// Start builds the programs if necessary, starts all processes and waits until every entry
// listens.
func Start(ctx context.Context, cfg Config) (*System, error) {
	if cfg.Programs == "" {
		cfg.Programs = cfg.Dir
		if err := Build(ctx, cfg.Dir); err != nil {
			return nil, err
		}
	}
	s := &System{cfg: cfg, secret: rand.Text()}
	if cfg.UseRelays {
		s.Network = newNetwork()
	}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

// start starts the platform, then all executors and workers, then the entries.
func (s *System) start(ctx context.Context) error {
	var err error
	if s.Platform, err = s.startStandin(ctx, "platform", "platform"); err != nil {
		return err
	}
	n := len(s.cfg.DataCentres)
	s.Executors = make([]*Process, n*s.cfg.Executors)
	s.Workers = make([]*Process, n*s.cfg.Workers)
	s.Entries = make([]*Process, n*s.cfg.Entries)
	var machines, entries []func() error
	add := func(fs *[]func() error, group []*Process, start func(i int) (*Process, error)) {
		for i := range group {
			*fs = append(*fs, func() (err error) {
				group[i], err = start(i)
				return err
			})
		}
	}
	add(&machines, s.Executors, func(i int) (*Process, error) { return s.startMachine(ctx, "executor", i, s.cfg.Executors) })
	add(&machines, s.Workers, func(i int) (*Process, error) { return s.startMachine(ctx, "worker", i, s.cfg.Workers) })
	add(&entries, s.Entries, func(i int) (*Process, error) {
		dc := s.cfg.DataCentres[i/s.cfg.Entries]
		return s.StartEntry(ctx, dc, fmt.Sprintf("%s-entry-%d", dc, i%s.cfg.Entries))
	})
	if err := runConcurrently(machines); err != nil {
		return err
	}
	return runConcurrently(entries)
}

// runConcurrently runs the functions concurrently, waits for them and joins their errors.
func runConcurrently(fs []func() error) error {
	errs := make([]error, len(fs))
	var g sync.WaitGroup
	for i, f := range fs {
		g.Go(func() { errs[i] = f() })
	}
	g.Wait()
	return errors.Join(errs...)
}

// startStandin starts a stand-in process of a kind: platform, executor or worker.
func (s *System) startStandin(ctx context.Context, name, kind string, args ...string) (*Process, error) {
	return startProcess(ctx, s.cfg, name, "standin", append([]string{kind}, args...))
}

// startMachine starts the executor or worker with the index i; each data centre has n of its kind.
func (s *System) startMachine(ctx context.Context, kind string, i, n int) (*Process, error) {
	dc := s.cfg.DataCentres[i/n]
	name := fmt.Sprintf("%s-%s-%d", dc, kind, i%n)
	args := []string{"--name", name, "--dc", dc, "--rack", dc + "-rack", "--platform", s.Platform.URL()}
	if s.cfg.RefuseWhenFull && kind == "executor" {
		args = append(args, "--busy")
	}
	return s.startStandin(ctx, name, kind, append(args, s.cfg.MachineArgs...)...)
}

// StartEntry starts an entry and registers it in the VM list. An entry whose process has exited
// may be started again under the same name; it then has other addresses.
func (s *System) StartEntry(ctx context.Context, dc, name string) (*Process, error) {
	args := []string{
		"serve", "--name", name, "--dc", dc,
		"--callers", "127.0.0.1:0", "--peers", "127.0.0.1:0", "--operators", "127.0.0.1:0",
		"--store", s.Platform.URL(), "--vms", s.Platform.URL() + "/vms",
		"--secret", s.secret, "--token", Token, "--list-poll", "200ms",
	}
	var r *relay
	if s.Network != nil {
		var err error
		if r, err = s.Network.relayFor(dc, name); err != nil {
			return nil, err
		}
		args = append(args, "--advertise", r.addr.String())
	}
	p, err := startProcess(ctx, s.cfg, name, "cornelwall", append(args, s.cfg.EntryArgs...))
	if err != nil {
		return nil, err
	}
	p.DataCentre = dc
	vm := cornelwall.VM{Name: name, Kind: cornelwall.Entry, DataCentre: dc, Addr: p.Addrs["peers"]}
	if r != nil {
		r.setTarget(p.Addrs["peers"])
		vm.Addr = r.addr
	}
	return p, s.PostControl(ctx, "/ctl/vm", vm)
}

// PostControl posts a JSON body to a control path of the stand-in platform.
func (s *System) PostControl(ctx context.Context, path string, body any) error {
	return CallJSON(ctx, http.MethodPost, s.Platform.URL()+path, body, nil)
}

// Apply applies a profile and waits until it is in force at every entry.
func (s *System) Apply(ctx context.Context, p cornelwall.Profile) error {
	url := s.Entries[0].URL("operators") + "/v1/profiles/" + p.Name
	if err := CallJSON(ctx, http.MethodPut, url, p, &p); err != nil {
		return err
	}
	return Poll(ctx, func() error {
		var st struct{ Force []cornelwall.ProfileStatus }
		if err := CallJSON(ctx, http.MethodGet, url+"/status", nil, &st); err != nil {
			return err
		}
		if len(st.Force) < len(s.Entries) {
			return fmt.Errorf("status names %d of %d entries", len(st.Force), len(s.Entries))
		}
		if i := slices.IndexFunc(st.Force, func(f cornelwall.ProfileStatus) bool { return f.Version != p.Version }); i >= 0 {
			return fmt.Errorf("entry %s is at version %d", st.Force[i].Entry, st.Force[i].Version)
		}
		return nil
	})
}

// Submit sends a job to an entry and returns the answer. An answer with an outcome other than
// pending is no error, whatever its HTTP status.
func Submit(ctx context.Context, entry *Process, job cornelwall.Job) (cornelwall.Answer, error) {
	var a cornelwall.Answer
	err := CallJSON(ctx, http.MethodPost, entry.URL("callers")+"/v1/jobs", job, &a)
	var status *StatusError
	if errors.As(err, &status) && a.Outcome != cornelwall.Pending {
		err = nil
	}
	return a, err
}

// Stop kills all processes, the entries first, and closes the relays. It returns an error if a process
// has exited by itself or has reported a data race.
func (s *System) Stop() error {
	var errs []error
	for _, group := range [][]*Process{s.Entries, s.Executors, s.Workers, {s.Platform}} {
		for _, p := range group {
			if p != nil {
				errs = append(errs, p.checkRun(), p.Kill())
			}
		}
	}
	if s.Network != nil {
		errs = append(errs, s.Network.close())
	}
	return errors.Join(errs...)
}

// Poll calls f every pollInterval until it returns nil or ctx ends.
func Poll(ctx context.Context, f func() error) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last error: %w", ctx.Err(), err)
		case <-tick.C:
		}
	}
}

// CallJSON sends a JSON request with the operators' token and decodes the JSON response into out,
// unless out is nil. A status of 400 or more gives a *StatusError.
func CallJSON(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+Token)
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if out != nil {
		err = json.Unmarshal(b, out)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return &StatusError{Code: resp.StatusCode, Text: fmt.Sprintf("%s %s: %s", method, url, b)}
	}
	return err
}

// StatusError is an HTTP response with a status of 400 or more. CallJSON has decoded its body
// nonetheless.
type StatusError struct {
	Code int
	Text string
}

// Error returns the status, the request line and the response body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Text) }
