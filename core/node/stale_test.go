package node_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/node"
	"cornelwall/standin/fake"
)

// TestOutageMakesStale has a watcher in each of two data centres, which hear heartbeats
// from each other, and checks that both become stale when the platform is away.
func TestOutageMakesStale(t *testing.T) {
	start := time.Unix(1700000000, 0)
	w := fake.NewWorld(start)
	stale := map[string]bool{}
	w.Replied = func(_ *fake.Host, cmd cornelwall.Command) {
		if r, ok := cmd.(cornelwall.ReplyForce); ok {
			for _, f := range r.Force {
				stale[f.Entry.Entry] = f.Stale
			}
		}
	}
	var vms []cornelwall.VM
	var hosts []*fake.Host
	for i, dc := range []string{"ikeja", "lekki"} {
		self := cornelwall.Incarnation{DataCentre: dc, Entry: dc + "-0", Life: uint64(i + 1)}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7001)
		core := node.New(node.Config{Self: self, Addr: addr, Secret: []byte("0123456789abcdef")}, start)
		hosts = append(hosts, w.Add(core, self, addr))
		vms = append(vms, cornelwall.VM{Name: self.Entry, Kind: cornelwall.Entry, DataCentre: dc, Addr: addr})
	}
	for _, h := range hosts {
		w.Post(h, cornelwall.Machines{VMs: vms})
	}
	ask := func(want bool) {
		t.Helper()
		w.Post(hosts[0], cornelwall.Inspect{Req: 1, Name: "holds"})
		w.Advance(3 * time.Second)
		assert.DeepEqual(t, stale, map[string]bool{"ikeja-0": want, "lekki-0": want})
	}
	w.Advance(time.Second)
	ask(false)
	w.Store.Down = true
	w.Advance(30 * time.Second)
	ask(true)
	w.Store.Down = false
	w.Store.Refresh(w)
	ask(false)
}
