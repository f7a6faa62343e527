// Package worker is a small stand-in for a worker of the platform.
//
// # Usage
//
//	w := worker.New(worker.Config{Capacity: cornelwall.Need{Cores: 16, Memory: 65536}})
//	server := httptest.NewServer(w)
//	defer w.Close()
//
// POST /leases, POST /leases/ID/renew, DELETE /leases/ID and GET /usage are as in
// package io/worker. GET /starts returns the number of starts of each task, POST /ctl sets
// a [task.Control], GET /health answers 200.
package worker

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"cornelwall"
	"cornelwall/io/executor"
	product "cornelwall/io/worker"
	"cornelwall/standin/task"
)

const (
	defaultCores  = 16
	defaultMemory = 64 << 10 // MiB
	maxBody       = 4 << 20  // bytes of a request
)

// Config configures a Worker.
type Config struct {
	Capacity cornelwall.Need  // zero is 16 cores and 64 GiB
	Lag      time.Duration    // of the usage report
	Clock    cornelwall.Clock // nil is the system clock
}

// Worker is an http.Handler that serves the stand-in.
type Worker struct {
	cfg   Config
	echo  *echo.Echo
	state *task.State
	wg    sync.WaitGroup

	mu     sync.Mutex
	leases map[string]*lease
	lastID int
	usage  usage
	closed bool
}

// New returns a worker.
func New(cfg Config) *Worker {
	if cfg.Capacity == (cornelwall.Need{}) {
		cfg.Capacity = cornelwall.Need{Cores: defaultCores, Memory: defaultMemory}
	}
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	w := &Worker{cfg: cfg, echo: echo.New(), state: task.NewState(), leases: map[string]*lease{}}
	w.echo.POST("/leases", w.start)
	w.echo.POST("/leases/:id/renew", w.renew)
	w.echo.DELETE("/leases/:id", w.stop)
	w.echo.GET("/usage", w.reportUsage)
	w.echo.GET("/starts", func(c echo.Context) error { return c.JSON(http.StatusOK, w.state.Counts()) })
	w.echo.POST("/ctl", w.control)
	w.echo.GET("/health", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	return w
}

// ServeHTTP answers a request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(rw, r.Body, maxBody)
	w.echo.ServeHTTP(rw, r)
}

// Starts returns how often each task was started.
func (w *Worker) Starts() map[string]int { return w.state.Counts().Starts }

// Leases returns the number of leases held.
func (w *Worker) Leases() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.leases)
}

// SetControl replaces the control of the stand-in.
func (w *Worker) SetControl(control task.Control) { w.state.Set(control) }

// Drain refuses new tasks and waits until each task's end has been reported in a renewal or
// its lease has ended, or until ctx is done.
func (w *Worker) Drain(ctx context.Context) {
	w.state.Drain()
	w.mu.Lock()
	leases := slices.Collect(maps.Values(w.leases))
	w.mu.Unlock()
	for _, l := range leases {
		select {
		case <-l.endReported:
		case <-l.cancelled:
		case <-ctx.Done():
			return
		}
	}
}

// Close stops all tasks and waits until they have ended.
func (w *Worker) Close() {
	w.mu.Lock()
	w.closed = true
	for id := range w.leases {
		w.releaseLocked(id)
	}
	w.mu.Unlock()
	w.wg.Wait()
}

func (w *Worker) control(c echo.Context) error {
	var control task.Control
	if err := c.Bind(&control); err != nil {
		return err
	}
	w.state.Set(control)
	return c.NoContent(http.StatusOK)
}

func (w *Worker) start(c echo.Context) error {
	var req product.LeaseRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	if err := req.Check(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if control, _ := w.state.Control(); control.Drain {
		return w.refuse(c, "draining")
	}
	id, ok := w.grant(req)
	if !ok {
		return w.refuse(c, "busy")
	}
	if task.Parse(req.Body).ReadAndClose {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusCreated, product.LeaseReply{Lease: id})
}

// grant starts the task under a new lease if its need fits in the free capacity.
func (w *Worker) grant(req product.LeaseRequest) (id string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	if w.closed || !req.Need.Fits(subtract(w.cfg.Capacity, w.usage.current())) {
		return "", false
	}
	w.lastID++
	id = strconv.Itoa(w.lastID)
	l := newLease(req)
	l.timer = time.AfterFunc(l.ttl, func() { w.release(id) })
	w.leases[id] = l
	w.usage.add(now, req.Need, w.cfg.Lag)
	w.state.CountStart(req.Ticket.String(), req.Index, l.task)
	w.wg.Go(func() { w.runTask(l) })
	return id, true
}

// runTask runs the task of a lease and frees its capacity.
func (w *Worker) runTask(l *lease) {
	ok := w.state.Run(l.task, l.cancelled)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usage.add(w.cfg.Clock.Now(), subtract(cornelwall.Need{}, l.need), w.cfg.Lag)
	l.succeeded = ok
	close(l.done)
}

func (w *Worker) renew(c echo.Context) error {
	w.mu.Lock()
	l := w.leases[c.Param("id")]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	w.mu.Unlock()
	if l == nil {
		return echo.NewHTTPError(http.StatusNotFound, "no such lease; it ended or lapsed")
	}
	if control, _ := w.state.Control(); control.Drain {
		c.Response().Header().Set(executor.HeaderDraining, "true")
	}
	status := l.waitStatus(c.Request().Context())
	err := c.JSON(http.StatusOK, status)
	if err == nil && status.State != product.Running {
		l.reportOnce.Do(func() { close(l.endReported) })
	}
	return err
}

func (w *Worker) stop(c echo.Context) error {
	w.release(c.Param("id"))
	return c.NoContent(http.StatusNoContent)
}

// release ends a lease and its task, if the lease still exists.
func (w *Worker) release(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.releaseLocked(id)
}

// releaseLocked is release for a caller that holds mu.
func (w *Worker) releaseLocked(id string) {
	l := w.leases[id]
	if l == nil {
		return
	}
	delete(w.leases, id)
	l.timer.Stop()
	close(l.cancelled)
}

func (w *Worker) reportUsage(c echo.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.cfg.Clock.Now().Add(-w.cfg.Lag)
	return c.JSON(http.StatusOK, product.Usage{Used: w.usage.at(at), At: at})
}

func (w *Worker) refuse(c echo.Context, reason string) error {
	w.state.CountRefusal(reason)
	c.Response().Header().Set(executor.HeaderNotRun, reason)
	if reason == "draining" {
		c.Response().Header().Set(executor.HeaderDraining, "true")
	}
	return c.String(http.StatusServiceUnavailable, reason)
}
