package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	serviceName = "huvo11a"
	maxEntries  = 20
	taskCPU     = 1600
	startTime   = 15 * time.Second // for the entries to become ready
	settleTime  = 2 * time.Second  // after that, for the endpoints to find their holders
)

// site is the size of a deployment, and those of its bounds that the cases depend on.
type site struct {
	entries      []int // per zone
	executors    int   // per zone
	ack          time.Duration
	drain        time.Duration
	configApply  time.Duration
	cancel       time.Duration
	stableWindow time.Duration
}

var (
	// smallSite has the entries and the bounds of cbpc-sched.
	smallSite = site{
		entries: []int{3, 2, 1}, executors: 3, ack: 4 * time.Second, drain: 2 * time.Second, configApply: 2 * time.Second,
		cancel: 3 * time.Second, stableWindow: 3 * time.Second,
	}
	// spareSite is smallSite with two spare machines, which take the places of others.
	spareSite = site{
		entries: []int{4, 3, 1}, executors: 3, ack: 4 * time.Second, drain: 2 * time.Second, configApply: 2 * time.Second,
		cancel: 3 * time.Second, stableWindow: 3 * time.Second,
	}
	// grownSite has the bounds of ewaoko-booking-grown, and fewer entries.
	grownSite = site{
		entries: []int{5, 4, 3}, executors: 8, ack: 6 * time.Second, drain: 3 * time.Second, configApply: 3 * time.Second,
		cancel: 4 * time.Second, stableWindow: 4 * time.Second,
	}
)

// system is a deployment of entries and stand-ins.
type system struct {
	site      site
	rec       *record
	ctx       context.Context
	cancel    context.CancelFunc
	dir       string
	net       string   // first three bytes of the loopback addresses
	seeds     []string // of all entries
	zones     []string
	store     *store
	entries   []*entry
	executors []*executor
	balancer  *balancer

	mu    sync.Mutex
	steps map[string][]time.Duration // by job: run time of the tasks of each step
}

func newSystem(at site, rec *record, program, logs string) (*system, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{site: at, rec: rec, ctx: ctx, cancel: cancel, steps: map[string][]time.Duration{}}
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if s.net, err = freeNet(); err != nil {
		return nil, err
	}
	s.store = newStore(ctx)
	for zone, n := range at.entries {
		for range n {
			if err := s.addEntry(zone, program, logs); err != nil {
				return nil, err
			}
		}
		for k := range at.executors {
			if err := s.addExecutor(zone, k); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// freeNet returns the first three bytes of loopback addresses of which the metrics port is free.
func freeNet() (string, error) {
	for range 20 {
		n := fmt.Sprintf("127.%d.%d", 10+rand.N(200), rand.N(250))
		free := true
		for i := range maxEntries {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", n, 11+i, metricsPort))
			if err != nil {
				free = false
				break
			}
			_ = l.Close() // it only shows that the port is free
		}
		if free {
			return n, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// freePort returns an address with a port that is free now.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }() // it only shows that the port is free
	return l.Addr().String(), nil
}

// serve serves a stand-in on a free port of an address until the case ends.
func (s *system) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // ends with close
	context.AfterFunc(s.ctx, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i+1) }

func (s *system) addEntry(zone int, program, logs string) error {
	i := len(s.entries)
	e := &entry{name: fmt.Sprintf("edge-%d", i+1), zone: zoneName(zone), ip: fmt.Sprintf("%s.%d", s.net, 11+i), program: program, logs: logs, rec: s.rec}
	e.settings = filepath.Join(s.dir, e.name+".toml")
	e.access = &access{store: s.store}
	for _, a := range []*string{&e.frontend, &e.readiness, &e.control} {
		var err error
		if *a, err = freePort(e.ip); err != nil {
			return err
		}
	}
	s.entries = append(s.entries, e)
	return nil
}

func (s *system) addExecutor(zone, k int) error {
	var e *executor
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) })
	id := fmt.Sprintf("i-%d%d", zone+1, k+1)
	l, err := s.serveLater(fmt.Sprintf("%s.%d", s.net, 100+zone*s.site.executors+k), h)
	if err != nil {
		return err
	}
	e = newExecutor(s.ctx, id, zoneName(zone), serviceName, l.addr, s.store, s.work, s.rec)
	s.executors = append(s.executors, e)
	l.start()
	return nil
}

// lateServer is a server whose address is known before it serves.
type lateServer struct {
	addr  string
	start func()
}

func (s *system) serveLater(ip string, h http.Handler) (lateServer, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return lateServer{}, err
	}
	srv := &http.Server{Handler: h}
	context.AfterFunc(s.ctx, func() { _ = srv.Close() })
	return lateServer{l.Addr().String(), func() { go func() { _ = srv.Serve(l) }() }}, nil // Serve ends with Close
}

// work returns the run time and the cores of a task.
func (s *system) work(task string) (time.Duration, int) {
	id, _, _ := strings.Cut(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	if steps, n := s.steps[id], stepOf(task); n < len(steps) {
		return steps[n], taskCPU
	}
	return time.Second, taskCPU
}

// chain returns a job whose steps, of one task each, run one after the other for the given times.
func (s *system) chain(id string, times ...time.Duration) job {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps[id] = times
	j := job{Spec: "chain", BestEffort: true}
	for i, d := range times {
		st := step{Count: 1, CPU: taskCPU, MemMb: 64, EstimateMs: int(d.Milliseconds())}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

// start writes the first configuration and starts the entries, but for those that are added later. It
// returns once all are ready.
func (s *system) start(seeds []string, later ...*entry) error {
	s.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": routeHost, "prefix": routePrefix, "type": "unsafe", "timeoutMs": 30000, "targetDurationMs": 60,
			"priority": 0, "service": serviceName, "attempts": 4, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.seeds = seeds
	for i := range s.site.entries {
		s.zones = append(s.zones, zoneName(i))
	}
	for _, e := range s.entries {
		if slices.Contains(later, e) {
			continue
		}
		if err := s.startEntry(e); err != nil {
			return err
		}
	}
	if !waitUntil(startTime, func() bool {
		return !slices.ContainsFunc(s.entries, func(e *entry) bool { return !slices.Contains(later, e) && !e.ready() })
	}) {
		return errors.New("the entries did not become ready")
	}
	s.balancer = newBalancer(s)
	time.Sleep(settleTime)
	s.rec.add("all entries are ready")
	return nil
}

// startEntry writes the settings of an entry and starts its process.
func (s *system) startEntry(e *entry) error {
	if e.store == "" {
		addr, err := s.serve(s.net+".9", e.access)
		if err != nil {
			return err
		}
		e.store = addr
	}
	if err := e.writeSettings(s.site, s.zones, s.seeds); err != nil {
		return err
	}
	return e.start()
}

// controls returns the addresses that the entries serve their peers at.
func (s *system) controls() []string {
	var list []string
	for _, e := range s.entries {
		list = append(list, e.control)
	}
	return list
}

// startsOf returns the runs of a job that have begun, in order of time.
func (s *system) startsOf(id string) []runStart {
	var list []runStart
	for _, e := range s.executors {
		list = append(list, e.startsOf(id)...)
	}
	slices.SortFunc(list, func(a, b runStart) int { return a.at.Compare(b.at) })
	return list
}

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, e := range s.entries {
		e.kill()
	}
	s.cancel()
	_ = os.RemoveAll(s.dir) // a temporary folder
}

// newID returns an ID for a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// since returns a time as seconds since the start of the case.
func (s *system) since(t time.Time) float64 { return t.Sub(s.rec.startedAt).Seconds() }
