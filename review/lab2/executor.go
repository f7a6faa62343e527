package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	executorBeat = 1500 * time.Millisecond // between two status reports
	maxHold      = time.Second             // longest lease
	stopTime     = 50 * time.Millisecond   // until a stopped run has ended
	maxPollWait  = 2 * time.Second
	runScan      = 2 * time.Millisecond // between two checks for ends
	capacityCPU  = 16000                // thousandths of a core
	capacityMb   = 65536
)

// runStart is a run that has begun at an executor.
type runStart struct {
	at       time.Time
	executor string
	task     string
	run      uint64
}

// activeRun is a run in progress.
type activeRun struct {
	task   string
	run    uint64
	cpu    int
	endsAt time.Time
	how    string
}

type endedRun struct {
	seq  int64
	task string
	run  uint64
	how  string
}

// workFunc returns how long a task takes and the cores that it needs, in thousandths.
type workFunc func(task string) (time.Duration, int)

// executor stands in for an executor with admission control. It runs tasks by the clock only.
type executor struct {
	id, zone, service, addr string
	born                    time.Time
	work                    workFunc
	rec                     *record
	store                   *store

	mu      sync.Mutex
	fence   uint64
	hold    time.Time // end of the lease
	runs    map[string]*activeRun
	highest map[string]uint64 // by task; runs up to this number are not started
	ended   []endedRun
	lastEnd int64
	starts  []runStart
	changed chan struct{} // closed at the next end
}

func newExecutor(ctx context.Context, id, zone, service, addr string, st *store, work workFunc, rec *record) *executor {
	e := &executor{
		id: id, zone: zone, service: service, addr: addr, born: time.Now(), work: work, rec: rec, store: st,
		runs: map[string]*activeRun{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
	go e.report(ctx)
	go e.endRuns(ctx)
	return e
}

// report writes the record of the executor to the store until ctx ends.
func (e *executor) report(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		e.store.put("servers/"+e.id, map[string]any{
			"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "coldMs": 0,
			"capacity": map[string]int{"cpu": capacityCPU, "memMb": capacityMb, "gpu": 0},
			"labels":   []string{"a", "r1-" + e.id}, "clockMs": e.clock(), "seq": seq, "born": e.born.UnixMilli(),
		})
		select {
		case <-time.After(executorBeat):
		case <-ctx.Done():
		}
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// endRuns ends the runs that are done, stopped or without a lease.
func (e *executor) endRuns(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(runScan)
		e.mu.Lock()
		now := time.Now()
		for task, r := range e.runs {
			switch {
			case now.After(e.hold):
				e.end(task, "lapsed")
			case now.After(r.endsAt):
				e.end(task, r.how)
			}
		}
		e.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (e *executor) end(task, how string) {
	r := e.runs[task]
	delete(e.runs, task)
	e.highest[task] = max(e.highest[task], r.run)
	e.lastEnd++
	e.ended = append(e.ended, endedRun{e.lastEnd, task, r.run, how})
	e.rec.add("%s: %s run %d ended %s", e.id, task, r.run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	DeadlineMs   int64  `json:"deadlineMs"`
	Fence        uint64 `json:"fence"`
	AckedThrough int64  `json:"ackedThrough"`
	WaitMs       int64  `json:"waitMs"`
}

// ServeHTTP serves one order.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Cornelwall-Instance-Id", e.id)
		return
	}
	if want := r.Header.Get("Cornelwall-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/cornelwall/run-start":
		e.start(w, &o)
	case "/cornelwall/run-stop":
		e.stop(w, &o)
	case "/cornelwall/hold":
		e.poll(r.Context(), w, &o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer answers an order; an empty reason is no refusal. The caller holds mu.
func (e *executor) answer(w http.ResponseWriter, reason string) {
	body := map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()}
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	reply(w, status, body)
}

// extend extends the lease to a time on the executor's clock. The caller holds mu.
func (e *executor) extend(deadlineMs int64) {
	until := e.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(e.hold) {
		e.hold = until
	}
}

func (e *executor) start(w http.ResponseWriter, o *order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	took, cpu := e.work(o.Task)
	used := cpu
	for _, r := range e.runs {
		used += r.cpu
	}
	switch r := e.runs[o.Task]; {
	case o.Fence < e.fence:
		e.answer(w, "fence")
		return
	case o.DeadlineMs <= e.clock():
		e.answer(w, "late")
		return
	case r != nil && r.run == o.Run:
		e.answer(w, "")
		return
	case r != nil || o.Run <= e.highest[o.Task]:
		e.answer(w, "old")
		return
	case used > capacityCPU:
		e.answer(w, "room")
		return
	}
	e.fence = o.Fence
	e.extend(o.DeadlineMs)
	e.runs[o.Task] = &activeRun{task: o.Task, run: o.Run, cpu: cpu, endsAt: time.Now().Add(took), how: "done"}
	e.starts = append(e.starts, runStart{time.Now(), e.id, o.Task, o.Run})
	e.rec.add("%s: %s run %d starts, fence %d", e.id, o.Task, o.Run, o.Fence)
	e.answer(w, "")
}

func (e *executor) stop(w http.ResponseWriter, o *order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		e.answer(w, "fence")
		return
	}
	e.fence = o.Fence
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.run == o.Run && r.how != "stopped" {
		r.endsAt, r.how = time.Now().Add(stopTime), "stopped"
	}
	e.answer(w, "")
}

func (e *executor) poll(ctx context.Context, w http.ResponseWriter, o *order) {
	if !e.beginPoll(w, o) {
		return
	}
	timer := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxPollWait))
	defer timer.Stop()
	for wait := true; wait; {
		e.mu.Lock()
		changed, news := e.changed, len(e.ended) > 0
		e.mu.Unlock()
		if news {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = false
		case <-ctx.Done():
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		took, _ := e.work(r.task)
		share := 100 - int(100*time.Until(r.endsAt)/took)
		running = append(running, []any{r.task, r.run, "", min(max(share, 0), 100), r.cpu})
	}
	for _, x := range e.ended {
		ended = append(ended, []any{x.seq, x.task, x.run, x.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

// beginPoll applies the fence, the lease and the acknowledgement of a poll.
func (e *executor) beginPoll(w http.ResponseWriter, o *order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		e.answer(w, "fence")
		return false
	}
	e.fence = o.Fence
	if o.DeadlineMs > 0 {
		e.extend(o.DeadlineMs)
	}
	e.ended = slices.DeleteFunc(e.ended, func(x endedRun) bool { return x.seq <= o.AckedThrough })
	return true
}

// startsOf returns the runs of a job that have begun here.
func (e *executor) startsOf(job string) []runStart {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []runStart
	for _, s := range e.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// stepOf returns the number of the step of a task, whose name has the form ID.K.STEP.INDEX.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0
	}
	n, _ := strconv.Atoi(parts[2]) // names come from entries, which number the steps
	return n
}
