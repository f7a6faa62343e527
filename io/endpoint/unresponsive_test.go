package endpoint_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/endpoint"
)

// TestUnresponsiveExecutor starts a task on an executor that never answers. The wait for its
// result ends, but only deadlineGrace after the deadline.
func TestUnresponsiveExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := backEnd{started: make(chan cornelwall.Start, 1), end: make(chan cornelwall.Result)}
		events := make(inbox, 1)
		e := endpoint.New(events, map[cornelwall.Kind]cornelwall.BackEnd{cornelwall.Executor: b})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = e.Run(ctx) }()
		e.Handle(cornelwall.RunTask{
			VM:    cornelwall.VM{Kind: cornelwall.Executor},
			Start: cornelwall.Start{Attempt: 1, TimeLeft: 10 * time.Second},
		})
		<-b.started
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, len(events), 0, "given up %s after a deadline of 10 s", time.Minute)
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, len(events), 1, "still waits an hour later")
		assert.Equal(t, (<-events).(cornelwall.TaskEnded).Result.Outcome, cornelwall.Unknown)
		cancel()
		<-e.Done()
	})
}
