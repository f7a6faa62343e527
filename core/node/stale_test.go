package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// TestOutageMakesStale runs a watcher in each of two data centres, which exchange
// heartbeats. Both must become stale when the platform is down; they must not keep each
// other fresh.
func TestOutageMakesStale(t *testing.T) {
	c := newCluster(t, 2, 1)
	stale := map[string]bool{}
	c.OnOutput = func(_ *fake.Host, cmd cornelwall.Command) {
		if r, ok := cmd.(cornelwall.ReplyProfileStatus); ok {
			for _, s := range r.Entries {
				stale[s.Entry.Entry] = s.Stale
			}
		}
	}
	checkStale := func(want bool) {
		t.Helper()
		c.Post(c.hosts["dc0-e0"], cornelwall.FetchProfileStatus{Req: 1, Name: "holds"})
		c.Advance(3 * time.Second)
		assert.DeepEqual(t, stale, map[string]bool{"dc0-e0": want, "dc1-e0": want})
	}
	checkStale(false)
	c.Store.Down = true
	c.Advance(30 * time.Second)
	checkStale(true)
	c.Store.Down = false
	c.Store.ResyncWatchers(c.World)
	checkStale(false)
}
