// Package executor is a small stand-in for an executor of a service.
//
// # Usage
//
//	e := executor.New(executor.Config{Slots: 8})
//	server := httptest.NewServer(e)
//	defer e.Close()
//
// POST /run starts a task, GET /starts returns the number of starts of each task, POST /ctl
// sets a [task.Control], GET /health answers 200.
package executor

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/labstack/echo/v4"

	"cornelwall"
	product "cornelwall/io/executor"
	"cornelwall/standin/task"
)

const (
	defaultSlots = 8
	defaultConns = 64
)

// Config configures an Executor.
type Config struct {
	Slots          int  // concurrent tasks; 0 is 8
	Conns          int  // concurrent connections; 0 is 64
	RefuseWhenFull bool // refuse a task while all slots are taken; otherwise it waits
}

// Executor is an http.Handler that serves the stand-in.
type Executor struct {
	cfg   Config
	echo  *echo.Echo
	state *task.State
	slots chan struct{} // holds one value per running task
	stop  chan struct{}
	once  sync.Once

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New returns an executor.
func New(cfg Config) *Executor {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Conns == 0 {
		cfg.Conns = defaultConns
	}
	e := &Executor{
		cfg:   cfg,
		echo:  echo.New(),
		state: task.NewState(),
		slots: make(chan struct{}, cfg.Slots),
		stop:  make(chan struct{}),
		conns: map[net.Conn]bool{},
	}
	e.echo.POST(product.RunPath, e.run)
	e.echo.GET("/starts", func(c echo.Context) error { return c.JSON(http.StatusOK, e.state.Counts()) })
	e.echo.POST("/ctl", e.control)
	e.echo.GET("/health", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	return e
}

// ServeHTTP answers a request.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.echo.ServeHTTP(w, r) }

// Starts returns how often each task was started.
func (e *Executor) Starts() map[string]int { return e.state.Counts().Starts }

// SetControl replaces the control of the stand-in.
func (e *Executor) SetControl(control task.Control) { e.state.Set(control) }

// Drain refuses new tasks and waits until no task runs or ctx is done. It keeps the slots that
// it acquires.
func (e *Executor) Drain(ctx context.Context) {
	e.state.Drain()
	for range cap(e.slots) {
		select {
		case e.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the running tasks as failed.
func (e *Executor) Close() { e.once.Do(func() { close(e.stop) }) }

// ConnState is a hook for [http.Server.ConnState]. It closes new connections beyond the limit.
func (e *Executor) ConnState(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(e.conns) >= e.cfg.Conns {
			_ = conn.Close()
			return
		}
		e.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	}
}

func (e *Executor) control(c echo.Context) error {
	var control task.Control
	if err := c.Bind(&control); err != nil {
		return err
	}
	e.state.Set(control)
	return c.NoContent(http.StatusOK)
}

func (e *Executor) run(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(io.LimitReader(r.Body, cornelwall.MaxTaskBody))
	if err != nil {
		return err
	}
	index, err := strconv.Atoi(r.Header.Get(product.HeaderTask))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "header "+product.HeaderTask+" is not a number")
	}
	if control, _ := e.state.Control(); control.Drain {
		return e.refuse(c, "draining")
	}
	if !e.acquireSlot(r.Context().Done()) {
		return e.refuse(c, "busy")
	}
	defer func() { <-e.slots }()
	t := task.Parse(body)
	e.state.CountStart(r.Header.Get(product.HeaderTicket), index, t)
	return e.runTask(c, t)
}

// acquireSlot reports whether it acquired a slot. Unless RefuseWhenFull is set, it waits for
// one until the client disconnects or the executor is closed.
func (e *Executor) acquireSlot(gone <-chan struct{}) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	if e.cfg.RefuseWhenFull {
		return false
	}
	select {
	case e.slots <- struct{}{}:
		return true
	case <-gone:
	case <-e.stop:
	}
	return false
}

func (e *Executor) runTask(c echo.Context, t task.Task) error {
	ok := e.state.Run(t, e.stop)
	if t.ReadAndClose {
		panic(http.ErrAbortHandler)
	}
	if control, _ := e.state.Control(); control.Drain {
		c.Response().Header().Set(product.HeaderDraining, "true")
	}
	if !ok {
		return c.String(http.StatusInternalServerError, "task failed")
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, []byte(t.Echo))
}

func (e *Executor) refuse(c echo.Context, reason string) error {
	e.state.CountRefusal(reason)
	c.Response().Header().Set(product.HeaderNotRun, reason)
	if reason == "draining" {
		c.Response().Header().Set(product.HeaderDraining, "true")
	}
	return c.String(http.StatusServiceUnavailable, reason)
}
