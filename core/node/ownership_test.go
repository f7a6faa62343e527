package node_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

const settleTime = 2 * time.Second // until each entry has sent a heartbeat with its free slots

// TestPausedLenderLeaksNoSlots guards against slots that are lost when an entry lends machines of others after a pause.
func TestPausedLenderLeaksNoSlots(t *testing.T) {
	for _, paused := range []string{"dc0-e0", "dc0-e1", "dc0-e2"} {
		for _, owner := range []string{"dc0-e0", "dc0-e1", "dc0-e2"} {
			if paused == owner {
				continue
			}
			t.Run(owner+" beside "+paused, func(t *testing.T) {
				c := newCluster(t, 1, 3)
				c.addExecutors(4)
				free := map[string]int{}
				c.Link = func(from, _ cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
					for i := range e.Messages {
						if hb := e.Messages[i].Heartbeat; hb != nil {
							free[from.Entry] = hb.Capacity.Free
						}
					}
					return delivered
				}
				c.taskTime = 500 * time.Millisecond
				var reqs []uint64
				c.Freeze(c.hosts[paused])
				for range 8 {
					reqs = append(reqs, c.submit(owner, c.draw(owner), 64))
					c.Advance(450 * time.Millisecond)
				}
				c.Thaw(c.hosts[paused])
				for _, req := range reqs {
					assert.Equal(t, c.awaitAnswer(req, 20*time.Second).Outcome, cornelwall.Done)
				}
				c.Advance(settleTime)
				assert.Equal(t, free["dc0-e0"]+free["dc0-e1"]+free["dc0-e2"], 6*8, "slots leaked: %v", free)
			})
		}
	}
}

// addExecutors adds n executors of 8 slots to the first data centre.
func (c *cluster) addExecutors(n int) {
	for i := range n {
		c.vms = append(c.vms, cornelwall.VM{Name: fmt.Sprintf("dc0-x%d", 2+i), Kind: cornelwall.Executor, DataCentre: "dc0",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(3 + i)}), 80), Slots: 8})
	}
	c.postMachines()
	c.Advance(2 * time.Second)
}
