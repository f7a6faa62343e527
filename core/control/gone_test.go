package control_test

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/control"
)

// TestAskOfGoneCallerPostsNothing asks with contexts that have ended, while there is room for the events.
func TestAskOfGoneCallerPostsNothing(t *testing.T) {
	l := control.New(&echoCore{}, cornelwall.SystemClock{}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 { // a select would post half of them
		_, err := l.Ask(ctx, func(req uint64) cornelwall.Event {
			t.Error("an event is made for a caller that has gone")
			return cornelwall.Fetch{Req: req}
		})
		assert.ErrorIs(t, err, context.Canceled)
	}
}
