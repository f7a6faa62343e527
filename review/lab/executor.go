package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond // between two reports to the store
	maxHold    = time.Second             // longest lease
	stopBound  = 50 * time.Millisecond   // that a stop takes
	drainBound = 2 * time.Second         // that an executor serves on after it has reported draining
	tick       = 2 * time.Millisecond
	endsListed = 500
)

// kind is what an executor reports of itself and may change with a new boot.
type kind struct {
	cpu    int // in thousandths of a core
	labels []string
	guards bool // it rejects what does not fit
}

// executor stands in for one executor. It does what PROTOCOL.md says of it and has no faults.
type executor struct {
	lab     *lab
	id      string
	service string
	zone    string
	addr    string

	shown    string // address in its entry: its own, or that of a proxy before it
	mu       sync.Mutex
	kind     kind
	server   *http.Server // nil while it is down
	born     int64
	bootAt   time.Time
	fence    uint64
	lease    int64 // end on the executor's clock, in milliseconds
	running  map[string]*taskRun
	highest  map[string]int64 // by task: highest run that has been stopped or has ended
	ended    [][]any
	endedN   int64
	changed  chan struct{}
	draining bool
	reports  int           // written to the store
	stop     chan struct{} // closed when the lab ends
	late     float64       // share of the orders that get no answer and are carried out late
}

// taskRun is a run in progress. Its spec tells how long it takes and how many cores it has.
type taskRun struct {
	n       int64
	endsAt  time.Time
	how     string
	cpu     int
	started time.Time
	dur     time.Duration
}

// specOf returns the spec of a task for the stand-ins. An executor knows what a task needs by its
// spec.
func specOf(d time.Duration, cpu int, requires string) string {
	return fmt.Sprintf("ms=%d cpu=%d requires=%s", d.Milliseconds(), cpu, requires)
}

func parseSpec(spec string) (d time.Duration, cpu int, requires string) {
	for _, f := range strings.Fields(spec) {
		k, v, _ := strings.Cut(f, "=")
		n, _ := strconv.Atoi(v)
		switch k {
		case "ms":
			d = time.Duration(n) * time.Millisecond
		case "cpu":
			cpu = n
		case "requires":
			requires = v
		}
	}
	return d, cpu, requires
}

// jobBody returns the body of a job with one step.
func jobBody(count, cpu int, d time.Duration, requires string) string {
	step := map[string]any{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": d.Milliseconds()}
	if requires != "" {
		step["requires"] = requires
	}
	b, err := json.Marshal(map[string]any{"spec": specOf(d, cpu, requires), "steps": []any{step}, "bestEffort": true})
	if err != nil {
		panic(err) // the values are the lab's own
	}
	return string(b)
}

func (l *lab) addExecutor(id, service, zone string, k kind) (*executor, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	x := &executor{lab: l, id: id, service: service, zone: zone, addr: addr, shown: addr, stop: make(chan struct{})}
	l.executors = append(l.executors, x)
	if err := x.boot(k); err != nil {
		return nil, err
	}
	go x.beat()
	go x.work()
	return x, nil
}

// boot starts the executor, as after a crash: it holds and knows nothing of before.
func (x *executor) boot(k kind) error {
	n, err := net.Listen("tcp", x.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cornelwall/run-start", x.delayed(x.runStart))
	mux.HandleFunc("POST /cornelwall/run-stop", x.delayed(x.runStop))
	mux.HandleFunc("POST /cornelwall/hold", x.hold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	x.mu.Lock()
	x.kind, x.born, x.bootAt, x.fence, x.lease, x.draining = k, time.Now().UnixMilli(), time.Now(), 0, 0, false
	x.running, x.highest, x.ended, x.endedN, x.changed = map[string]*taskRun{}, map[string]int64{}, nil, 0, make(chan struct{})
	boot := context.WithValue(context.Background(), bootKey{}, x.born)
	x.server = &http.Server{Handler: mux, ConnContext: withCaller, BaseContext: func(net.Listener) context.Context { return boot }}
	srv := x.server
	x.mu.Unlock()
	x.report()
	x.lab.note("executor", x.id, "boots, born", x.born, "labels", k.labels, "cpu", k.cpu)
	go func() { _ = srv.Serve(n) }()
	return nil
}

// crash ends the executor at once. Its runs end, and its connections are reset or closed.
func (x *executor) crash() {
	x.mu.Lock()
	srv := x.server
	x.server = nil
	for task, r := range x.running {
		x.lab.addEnd(x, task, r.n, "crash", time.Now())
	}
	x.running = map[string]*taskRun{}
	x.mu.Unlock()
	if srv != nil {
		x.lab.note("executor", x.id, "crashes")
		_ = srv.Close()
	}
}

func (x *executor) close() { close(x.stop) }

// drain reports that the executor drains. It returns once the store has accepted that.
func (x *executor) drain() {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	x.report()
	x.lab.note("executor", x.id, "draining: the store has accepted it")
}

// report writes the executor's entry to the store.
func (x *executor) report() {
	x.mu.Lock()
	state := "ready"
	if x.draining {
		state = "draining"
	}
	rec := map[string]any{
		"service": x.service, "address": x.shown, "zone": x.zone, "version": "v1", "slots": 8, "state": state, "coldMs": 0,
		"capacity": map[string]any{"cpu": x.kind.cpu, "memMb": 65536, "gpu": 0}, "labels": x.kind.labels,
		"clockMs": x.clock(), "seq": x.clock(), "born": x.born,
	}
	x.reports++
	x.mu.Unlock()
	x.lab.store.put("servers/"+x.id, rec)
}

// setShown puts another address into the entry of the executor.
func (x *executor) setShown(addr string) {
	x.mu.Lock()
	x.shown = addr
	x.mu.Unlock()
	x.report()
}

// awaitReport waits until the executor has written its next report.
func (x *executor) awaitReport() {
	count := func() int {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.reports
	}
	for before := count(); count() == before; {
		time.Sleep(tick)
	}
}

func (x *executor) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-x.stop:
			return
		case <-t.C:
		}
		x.mu.Lock()
		up := x.server != nil
		x.mu.Unlock()
		if up {
			x.report()
		}
	}
}

func (x *executor) clock() int64 { return time.Since(x.bootAt).Milliseconds() }

// work ends runs that are done, stopped or without a lease.
func (x *executor) work() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-x.stop:
			return
		case now := <-t.C:
			x.mu.Lock()
			x.endDue(now)
			x.mu.Unlock()
		}
	}
}

// endDue ends the runs that are due to end, as of when they were: the lab's process may have stood still.
// The caller holds mu.
func (x *executor) endDue(now time.Time) {
	lapse := x.bootAt.Add(time.Duration(x.lease) * time.Millisecond)
	for task, r := range x.running {
		switch {
		case !now.Before(r.endsAt) && !lapse.Before(r.endsAt):
			x.end(task, r, r.how, r.endsAt)
		case !now.Before(lapse):
			x.end(task, r, "lapsed", lapse)
		}
	}
}

// end records the end of a run. The caller holds mu.
func (x *executor) end(task string, r *taskRun, how string, at time.Time) {
	delete(x.running, task)
	x.highest[task] = max(x.highest[task], r.n)
	x.endedN++
	x.ended = append(x.ended, []any{x.endedN, task, r.n, how, ""})
	x.lab.addEnd(x, task, r.n, how, at)
	close(x.changed)
	x.changed = make(chan struct{})
	x.lab.note("executor", x.id, "ends", task, "run", r.n, how, "at", at.Sub(x.lab.startedAt))
}

// order is the body of any order.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	Fence        uint64 `json:"fence"`
	AckedThrough int64  `json:"ackedThrough"`
	WaitMs       int64  `json:"waitMs"`
}

// setLate sets the share of the orders that get no answer and are carried out late.
func (x *executor) setLate(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.late = share
}

// lateKey marks the context of an order that is carried out late.
type lateKey struct{}

// bootKey is the key of the boot that an order arrived at.
type bootKey struct{}

// delayed wraps the handler of an order, so that it may get no answer and be carried out late, unless
// the executor starts anew before.
func (x *executor) delayed(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x.mu.Lock()
		late, born := rand.Float64() < x.late, x.born
		x.mu.Unlock()
		if !late {
			h(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		again := r.Clone(context.WithValue(context.WithoutCancel(r.Context()), lateKey{}, true))
		again.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(2*time.Second+rand.N(4*time.Second), func() {
			x.mu.Lock()
			same := x.server != nil && x.born == born
			x.mu.Unlock()
			defer func() { _ = recover() }() // it has crashed meanwhile: http.ErrAbortHandler
			if same {
				h(httptest.NewRecorder(), again)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// receive decodes an order and checks the instance and the fence. It returns false if the order was
// answered. Otherwise the caller has to unlock mu.
func (x *executor) receive(w http.ResponseWriter, r *http.Request, o *order) bool {
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return false
	}
	x.mu.Lock()
	if x.server == nil || r.Context().Value(bootKey{}) != x.born {
		x.mu.Unlock()
		panic(http.ErrAbortHandler) // it has crashed since the order arrived
	}
	if id := r.Header.Get("Cornelwall-Expect-Instance"); id != "" && id != x.id {
		x.mu.Unlock()
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	x.endDue(time.Now())
	if o.Fence < x.fence {
		x.refuse(w, "fence")
		return false
	}
	x.fence = o.Fence
	return true
}

// refuse answers with 409 and unlocks mu.
func (x *executor) refuse(w http.ResponseWriter, reason string) {
	clock, born := x.clock(), x.born
	x.mu.Unlock()
	reply(w, http.StatusConflict, map[string]any{"clockMs": clock, "born": born, "reason": reason})
}

func (x *executor) extend(until int64) {
	x.lease = max(x.lease, min(until, x.clock()+maxHold.Milliseconds()))
}

func (x *executor) runStart(w http.ResponseWriter, r *http.Request) {
	var o order
	caller := x.lab.caller(r)
	if !x.receive(w, r, &o) {
		return
	}
	if o.DeadlineMs <= x.clock() {
		x.refuse(w, "late")
		return
	}
	x.extend(o.DeadlineMs)
	have := x.running[o.Task]
	switch {
	case have != nil && have.n == o.Run:
	case have != nil || o.Run <= x.highest[o.Task]:
		x.refuse(w, "old")
		return
	default:
		d, cpu, _ := parseSpec(o.Spec)
		if x.kind.guards && x.used()+cpu > x.kind.cpu {
			x.refuse(w, "room")
			return
		}
		now := time.Now()
		x.running[o.Task] = &taskRun{n: o.Run, endsAt: now.Add(d), how: "done", cpu: cpu, started: now, dur: d}
		x.lab.addStart(startEvent{
			at: x.lab.now(), caller: caller, executor: x.id, born: x.born, labels: x.kind.labels, task: o.Task, run: o.Run, spec: o.Spec,
			used: x.used(), cpu: x.kind.cpu, guards: x.kind.guards, sameStep: x.sameStep(o.Task), late: r.Context().Value(lateKey{}) != nil,
		})
		x.lab.note("executor", x.id, "starts", o.Task, "run", o.Run, "for", caller, "labels", x.kind.labels, "spec", o.Spec, "cores in use", x.used(), "of", x.kind.cpu)
	}
	clock, born := x.clock(), x.born
	x.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clockMs": clock, "born": born})
}

// used returns what is in use, including what is being stopped. The caller holds mu.
func (x *executor) used() int {
	n := 0
	for _, r := range x.running {
		n += r.cpu
	}
	return n
}

// sameStep returns how many tasks of the step of a task are there. The caller holds mu.
func (x *executor) sameStep(task string) int {
	step, n := task[:strings.LastIndexByte(task, '.')+1], 0
	for t := range x.running {
		if strings.HasPrefix(t, step) {
			n++
		}
	}
	return n
}

func (x *executor) runStop(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.receive(w, r, &o) {
		return
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if have := x.running[o.Task]; have != nil && have.n == o.Run {
		if at := time.Now().Add(stopBound / 2); at.Before(have.endsAt) {
			have.endsAt, have.how = at, "stopped"
		}
	}
	clock, born := x.clock(), x.born
	x.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clockMs": clock, "born": born})
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.receive(w, r, &o) {
		return
	}
	if o.DeadlineMs > 0 {
		x.extend(o.DeadlineMs)
	}
	x.ended = slices.DeleteFunc(x.ended, func(e []any) bool { return e[0].(int64) <= o.AckedThrough })
	if wait := min(time.Duration(o.WaitMs)*time.Millisecond, 2*time.Second); wait > 0 && len(x.ended) == 0 {
		changed, timeout := x.changed, time.After(wait)
		x.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
		case <-r.Context().Done():
		}
		x.mu.Lock()
		x.endDue(time.Now())
	}
	running := [][]any{}
	for task, t := range x.running {
		percent := min(int(100*time.Since(t.started)/max(t.dur, 1)), 99)
		running = append(running, []any{task, t.n, "", percent, t.cpu})
	}
	ended := slices.Clone(x.ended[:min(len(x.ended), endsListed)])
	if ended == nil {
		ended = [][]any{}
	}
	body := map[string]any{"clockMs": x.clock(), "born": x.born, "running": running, "ended": ended}
	x.mu.Unlock()
	reply(w, http.StatusOK, body)
}
