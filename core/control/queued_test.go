package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/control"
)

const busyTime = 50 * time.Millisecond // that busyCore takes for a Fetch

// busyCore is busy while it handles a Fetch, and records the batches that reach it.
type busyCore struct {
	busy      chan struct{} // closed once it is
	submitted []cornelwall.SubmitBatch
}

func (c *busyCore) Next() time.Time { return time.Now().Add(time.Hour) }

func (c *busyCore) Step(_ time.Time, ev cornelwall.Event) []cornelwall.Command {
	switch ev := ev.(type) {
	case cornelwall.Fetch:
		close(c.busy)
		time.Sleep(busyTime)
		return []cornelwall.Command{cornelwall.Reply{Req: ev.Req}}
	case cornelwall.SubmitBatch:
		c.submitted = append(c.submitted, ev)
		return []cornelwall.Command{cornelwall.ReplyBatch{Req: ev.Req}}
	}
	return nil
}

func submitBatch(req uint64) cornelwall.Event { return cornelwall.SubmitBatch{Req: req} }

// TestTimeInQueueCountsAgainstDeadline submits a batch while the loop is busy.
func TestTimeInQueueCountsAgainstDeadline(t *testing.T) {
	c := &busyCore{busy: make(chan struct{})}
	l, _, end := run(c)
	go func() { _, _ = l.Ask(t.Context(), fetch) }()
	<-c.busy
	asked := time.Now()
	_, err := l.Ask(t.Context(), submitBatch)
	took := time.Since(asked)
	end()
	assert.NilError(t, err)
	assert.Equal(t, len(c.submitted), 1)
	waited := c.submitted[0].Waited
	assert.Assert(t, waited > busyTime/2 && waited <= took, "waited %s of %s", waited, took)
}

// TestQueuedBatchOfGoneCallerIsNotHandled lets a caller leave while its batch is queued and nothing has
// reported that yet.
func TestQueuedBatchOfGoneCallerIsNotHandled(t *testing.T) {
	c := &busyCore{busy: make(chan struct{})}
	l := control.New(c, cornelwall.SystemClock{}, logr.Discard())
	l.Connect(nil, nil, nil)
	ctx, leave := context.WithCancel(t.Context())
	posted := make(chan struct{})
	answered := make(chan error, 1)
	go func() {
		_, err := l.Ask(ctx, func(req uint64) cornelwall.Event {
			close(posted)
			return submitBatch(req)
		})
		answered <- err
	}()
	<-posted
	leave()
	runCtx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(runCtx) }()
	assert.ErrorIs(t, <-answered, context.Canceled)
	cancel()
	<-l.Done()
	assert.Equal(t, len(c.submitted), 0)
}
