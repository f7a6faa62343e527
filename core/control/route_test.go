package control_test

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/control"
)

// fetchingCore emits the commands of a fetch of the queue configuration at its first event.
type fetchingCore struct{ cmds []cornelwall.Command }

func (c *fetchingCore) Next() time.Time { return time.Now().Add(time.Hour) }

func (c *fetchingCore) Step(time.Time, cornelwall.Event) []cornelwall.Command {
	cmds := c.cmds
	c.cmds = nil
	return cmds
}

// recorder keeps the commands that it gets.
type recorder chan cornelwall.Command

func (r recorder) Handle(cmd cornelwall.Command) { r <- cmd }

func TestFetchOfQueueConfigIsNotPassedToPeers(t *testing.T) {
	defer goleak.VerifyNone(t)
	want := []cornelwall.Command{cornelwall.FetchQueueConfig{Have: 6}, cornelwall.ServeQueueConfig{Config: &cornelwall.QueueConfig{Version: 7}}}
	l := control.New(&fetchingCore{cmds: want}, cornelwall.SystemClock{}, logr.Discard())
	peers, others := make(recorder, len(want)), make(recorder, len(want))
	l.Connect(peers, others, others)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(ctx) }()
	for _, cmd := range want {
		assert.Assert(t, reflect.DeepEqual(<-peers, cmd))
	}
	cancel()
	<-l.Done()
	assert.Equal(t, len(others), 0)
}
