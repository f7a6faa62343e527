// Package endpoint starts tasks on executors and workers and posts their results to the core.
//
// # Usage
//
//	e := endpoint.New(loop, map[cornelwall.Kind]cornelwall.BackEnd{
//		cornelwall.Executor: executor.New(...),
//		cornelwall.Worker:   worker.New(...),
//	})
package endpoint

import (
	"context"
	"sync"
	"time"

	"cornelwall"
)

const (
	pollTimeout   = 2 * time.Second
	deadlineGrace = time.Minute // how long to wait for a result after the deadline of the job
)

// Endpoints carries out RunTask, AbandonTask and PollUsage commands.
type Endpoints struct {
	sink     cornelwall.EventSink
	backEnds map[cornelwall.Kind]cornelwall.BackEnd
	wg       sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	cancels     map[uint64]context.CancelFunc // by attempt
	activePolls map[string]bool               // workers whose usage is being read
	done        chan struct{}
}

// New returns Endpoints that post events to sink.
func New(sink cornelwall.EventSink, backEnds map[cornelwall.Kind]cornelwall.BackEnd) *Endpoints {
	return &Endpoints{
		sink: sink, backEnds: backEnds,
		cancels:     map[uint64]context.CancelFunc{},
		activePolls: map[string]bool{},
		done:        make(chan struct{}),
	}
}

// Handle carries out a command. It does not block. AbandonTask cancels the context of the attempt;
// only a worker is then asked to stop the task.
func (e *Endpoints) Handle(cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.RunTask:
		e.run(cmd)
	case cornelwall.AbandonTask:
		e.mu.Lock()
		cancel := e.cancels[cmd.Attempt]
		e.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case cornelwall.PollUsage:
		e.poll(cmd.VM)
	}
}

// poll reads the usage of a worker, unless the last read of it is still in progress.
func (e *Endpoints) poll(vm cornelwall.VM) {
	reader, ok := e.backEnds[vm.Kind].(cornelwall.UsageReader)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ok || e.closed || e.activePolls[vm.Name] {
		return
	}
	e.activePolls[vm.Name] = true
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		used, lag, err := reader.ReadUsage(ctx, vm)
		cancel()
		e.mu.Lock()
		delete(e.activePolls, vm.Name)
		e.mu.Unlock()
		if err == nil {
			e.sink.Post(cornelwall.Usage{Machine: vm.Name, Used: used, Lag: lag})
		}
	})
}

// run starts a task and posts its result. It waits for the result until deadlineGrace after
// the deadline, so that a machine that never answers does not hold loans and connections
// for ever.
func (e *Endpoints) run(cmd cornelwall.RunTask) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(0, cmd.Start.TimeLeft)+deadlineGrace)
	e.cancels[cmd.Start.Attempt] = cancel
	e.wg.Go(func() {
		started := time.Now()
		r := e.backEnds[cmd.VM.Kind].Run(ctx, cmd.VM, cmd.Start)
		r.Took = time.Since(started)
		e.mu.Lock()
		delete(e.cancels, cmd.Start.Attempt)
		e.mu.Unlock()
		cancel()
		e.sink.Post(cornelwall.TaskEnded{Attempt: cmd.Start.Attempt, Result: r})
	})
}

// Run waits for ctx to end, then cancels the running attempts and waits until all have ended.
func (e *Endpoints) Run(ctx context.Context) error {
	defer close(e.done)
	<-ctx.Done()
	e.mu.Lock()
	e.closed = true
	for _, cancel := range e.cancels {
		cancel()
	}
	e.mu.Unlock()
	e.wg.Wait()
	return nil
}

// Done is closed once Run has returned.
func (e *Endpoints) Done() <-chan struct{} { return e.done }
