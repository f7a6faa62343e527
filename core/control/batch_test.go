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

// manualClock returns the time that was set. It is not safe for concurrent use.
type manualClock struct {
	cornelwall.SystemClock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// slowCore takes 80 ms to handle each event, at the end of which the next one is posted.
type slowCore struct {
	clock   *manualClock
	loop    *control.Loop
	events  int
	posted  []time.Time
	handled []time.Time
	done    func()
}

func (c *slowCore) Next() time.Time { return c.clock.now.Add(time.Hour) }

func (c *slowCore) Step(now time.Time, ev cornelwall.Event) []cornelwall.Command {
	if _, ok := ev.(cornelwall.Undelivered); !ok {
		return nil
	}
	c.handled = append(c.handled, now)
	c.clock.now = c.clock.now.Add(80 * time.Millisecond)
	if len(c.posted) == c.events {
		c.done()
		return nil
	}
	c.post()
	return nil
}

func (c *slowCore) post() {
	c.posted = append(c.posted, c.clock.now)
	c.loop.Post(cornelwall.Undelivered{})
}

// TestEventIsNotHandledBeforeItArrived posts each event while the one before is handled, and
// checks that the core is never given a time before that at which the event was posted.
func TestEventIsNotHandledBeforeItArrived(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := &manualClock{now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)}
	core := &slowCore{clock: clock, events: 300, done: cancel} // more than one batch
	core.loop = control.New(core, clock, logr.Discard())
	core.post()
	assert.NilError(t, core.loop.Run(ctx))
	assert.Equal(t, len(core.handled), core.events)
	for i, at := range core.handled {
		assert.Assert(t, !at.Before(core.posted[i]), "event %d is handled at a time %s before it was posted", i, core.posted[i].Sub(at))
	}
}
