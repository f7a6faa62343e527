package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = time.Second
	stopTime      = 30 * time.Millisecond // a stop takes at most stopMs, 50 ms
	executorStep  = 2 * time.Millisecond
	executorCores = 16000 // thousandths of a core
	executorMemMb = 65536
	maxListedEnds = 500
)

// taskRun is a run at an executor.
type taskRun struct {
	task      string
	run       uint64
	executor  string
	startedAt time.Time
	doneAt    time.Time // by its own work
	stopAt    time.Time // of its stop; zero if it is not stopped
	endedAt   time.Time // zero while it runs
	how       string
}

// executor stands in for an executor that rejects what does not fit.
type executor struct {
	id, addr string
	needOf   func(task string) int // thousandths of a core
	rec      *record
	reported chan struct{} // gets an element with each report to the store, if it is empty
	now      chan struct{} // asks for a report at once

	mu        sync.Mutex
	draining  bool
	lateBy    time.Duration // by which the store carries out the next report late, without an answer; 0 for none
	bornAt    time.Time
	fence     uint64
	holdUntil time.Duration // on its own clock
	running   map[string]*taskRun
	highest   map[string]uint64 // by task: greatest run that was stopped or has ended
	ended     []endedRow
	lastEnd   int64
	all       []*taskRun
}

type endedRow struct {
	n   int64
	run *taskRun
}

func newExecutor(id, addr string, rec *record, needOf func(string) int) *executor {
	return &executor{id: id, addr: addr, rec: rec, needOf: needOf, reported: make(chan struct{}, 1), now: make(chan struct{}, 1), bornAt: time.Now(), running: map[string]*taskRun{}, highest: map[string]uint64{}}
}

func (x *executor) clock() time.Duration { return time.Since(x.bornAt) }

// advance ends the runs whose time has come.
func (x *executor) advance() {
	now := time.Now()
	lapse := x.bornAt.Add(x.holdUntil)
	for _, r := range x.running {
		at, how := r.doneAt, "done"
		if !r.stopAt.IsZero() && r.stopAt.Before(at) {
			at, how = r.stopAt, "stopped"
		}
		if lapse.Before(at) {
			at, how = lapse, "lapsed"
		}
		if at.After(now) {
			continue
		}
		r.endedAt, r.how = at, how
		delete(x.running, r.task)
		x.highest[r.task] = max(x.highest[r.task], r.run)
		x.lastEnd++
		x.ended = append(x.ended, endedRow{x.lastEnd, r})
		x.rec.add("run ends: %s run %d on %s, %s, after %s", r.task, r.run, x.id, how, r.endedAt.Sub(r.startedAt).Round(time.Millisecond))
	}
}

// runs returns copies of all runs that have started here.
func (x *executor) runs() []taskRun {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advance()
	var list []taskRun
	for _, r := range x.all {
		list = append(list, *r)
	}
	return list
}

type orderBody struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	Fence        uint64 `json:"fence"`
	AckedThrough int64  `json:"ackedThrough"`
	WaitMs       int64  `json:"waitMs"`
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Cornelwall-Expect-Instance"); id != "" && id != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o orderBody
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/cornelwall/run-start":
		x.answer(w, x.start(&o), false)
	case "/cornelwall/run-stop":
		x.answer(w, x.stop(&o), false)
	case "/cornelwall/hold":
		x.answer(w, x.hold(r, &o), true)
	default:
		w.WriteHeader(http.StatusOK) // the health path
	}
}

// refuses reports whether the fence of an order is too low, and otherwise records it.
func (x *executor) refuses(fence uint64) bool {
	if fence < x.fence {
		return true
	}
	x.fence = fence
	return false
}

// extend extends the lease of all that runs here.
func (x *executor) extend(deadlineMs int64) {
	x.holdUntil = max(x.holdUntil, min(time.Duration(deadlineMs)*time.Millisecond, x.clock()+maxHold))
}

func (x *executor) start(o *orderBody) (reason string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advance()
	if x.refuses(o.Fence) {
		return "fence"
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= x.clock() {
		return "late"
	}
	x.extend(o.DeadlineMs)
	if r := x.running[o.Task]; r != nil && r.run == o.Run {
		return ""
	} else if r != nil || o.Run <= x.highest[o.Task] {
		return "old"
	}
	used := x.needOf(o.Task)
	for task := range x.running {
		used += x.needOf(task)
	}
	if used > executorCores {
		return "room"
	}
	now := time.Now()
	r := &taskRun{task: o.Task, run: o.Run, executor: x.id, startedAt: now, doneAt: now.Add(workOf(o.Spec))}
	x.running[o.Task] = r
	x.all = append(x.all, r)
	x.rec.add("run starts: %s run %d on %s, spec %q", o.Task, o.Run, x.id, o.Spec)
	return ""
}

// workOf returns how long the tasks of a job take: its spec is "work=MILLISECONDS".
func workOf(spec string) time.Duration {
	ms, _ := strconv.Atoi(strings.TrimPrefix(spec, "work="))
	return time.Duration(ms) * time.Millisecond
}

func (x *executor) stop(o *orderBody) (reason string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advance()
	if x.refuses(o.Fence) {
		return "fence"
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if r := x.running[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return ""
}

func (x *executor) hold(r *http.Request, o *orderBody) (reason string) {
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); ; time.Sleep(executorStep) {
		reason, wait := x.look(o)
		if reason != "" || !wait || time.Now().After(until) || r.Context().Err() != nil {
			return reason
		}
	}
}

// look applies a hold, and reports whether there is no end to list yet.
func (x *executor) look(o *orderBody) (reason string, wait bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advance()
	if x.refuses(o.Fence) {
		return "fence", false
	}
	x.extend(o.DeadlineMs)
	x.ended = slices.DeleteFunc(x.ended, func(e endedRow) bool { return e.n <= o.AckedThrough })
	return "", len(x.ended) == 0
}

func (x *executor) answer(w http.ResponseWriter, reason string, lists bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advance()
	body := map[string]any{"clockMs": x.clock().Milliseconds(), "born": x.bornAt.UnixMilli()}
	if lists {
		running, ended := [][]any{}, [][]any{}
		for _, r := range x.running {
			percent := 100 * float64(time.Since(r.startedAt)) / float64(max(r.doneAt.Sub(r.startedAt), 1))
			running = append(running, []any{r.task, r.run, "", int(percent), x.needOf(r.task)})
		}
		for _, e := range x.ended[:min(len(x.ended), maxListedEnds)] {
			ended = append(ended, []any{e.n, e.run.task, e.run.run, e.run.how, ""})
		}
		body["running"], body["ended"] = running, ended
	}
	w.Header().Set("Content-Type", "application/json")
	if reason != "" {
		body["reason"] = reason
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(body)
}

// drain makes the executor report that it drains. It serves on.
func (x *executor) drain() {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	x.now <- struct{}{}
}

// loseNext makes the store carry out the next report only after a time.
func (x *executor) loseNext(lateBy time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lateBy = lateBy
}

// takeLate returns by how much the store carries out the present report late.
func (x *executor) takeLate() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	d := x.lateBy
	x.lateBy = 0
	return d
}

// state returns the state that the executor reports.
func (x *executor) state() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.draining {
		return "draining"
	}
	return "ready"
}

// entry returns what the executor writes of itself into the store.
func (x *executor) entry(zone string, seq int64) map[string]any {
	return map[string]any{
		"service": serviceName, "address": x.addr, "zone": zone, "version": "v1", "slots": 8, "state": x.state(), "coldMs": 0, "seq": seq,
		"born": x.bornAt.UnixMilli(), "labels": []string{"a", fmt.Sprintf("%s-r1", zone)},
		"capacity": map[string]int{"cpu": executorCores, "memMb": executorMemMb, "gpu": 0},
	}
}
