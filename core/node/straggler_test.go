package node_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/node"
	"cornelwall/standin/fake"
)

// TestStragglersHoldADataCentre lets stragglers take every slot of a data centre whose
// tasks are quick as a rule. Later tasks run in the other one, which is idle.
func TestStragglersHoldADataCentre(t *testing.T) {
	start := time.Unix(1700000000, 0)
	w := fake.NewWorld(start)
	w.Work = func(_ *fake.Host, r cornelwall.Run) (time.Duration, cornelwall.Result) {
		took := 20 * time.Millisecond
		if string(r.Start.Body) == "straggler" {
			took = time.Hour
		}
		return took, cornelwall.Result{Outcome: cornelwall.Done}
	}
	done := map[uint64]cornelwall.Outcome{}
	w.Replied = func(_ *fake.Host, cmd cornelwall.Command) {
		if r, ok := cmd.(cornelwall.Reply); ok {
			done[r.Req] = r.Answer.Outcome
		}
	}
	var vms []cornelwall.VM
	var hosts []*fake.Host
	for d, dc := range []string{"ikeja", "lekki"} {
		self := cornelwall.Incarnation{DataCentre: dc, Entry: dc + "-0", Life: uint64(d + 1)}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(d), 1}), 7001)
		core := node.New(node.Config{Self: self, Addr: addr, Secret: []byte("0123456789abcdef")}, start)
		hosts = append(hosts, w.Add(core, self, addr))
		vms = append(vms, cornelwall.VM{Name: self.Entry, Kind: cornelwall.Entry, DataCentre: dc, Addr: addr})
		for i := range 2 {
			vms = append(vms, cornelwall.VM{Name: fmt.Sprintf("%s-x%d", dc, i), Kind: cornelwall.Executor, DataCentre: dc,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(d), byte(i + 1)}), 80), Slots: 8})
		}
	}
	profile := cornelwall.Profile{Name: "holds", Team: "bookings", Version: 1, Deadline: cornelwall.Duration(time.Minute)}
	profile.Normalise()
	for _, h := range hosts {
		w.Post(h, cornelwall.Machines{VMs: vms})
		w.Post(h, cornelwall.Watched{Profiles: []cornelwall.Profile{profile}})
	}
	w.Advance(2 * time.Second)
	submit := func(req uint64, body string, tasks int) {
		job := &cornelwall.Job{Profile: "holds"}
		for range tasks {
			job.Tasks = append(job.Tasks, cornelwall.Task{Body: []byte(body)})
		}
		w.Post(hosts[0], cornelwall.Submit{Req: req, Job: job})
		w.Advance(2 * time.Second)
	}
	for req := range uint64(20) {
		submit(req+1, "quick", 8)
	}
	submit(100, "straggler", 16)
	submit(200, "quick", 2)
	assert.Equal(t, done[20], cornelwall.Done)
	assert.Equal(t, done[200], cornelwall.Done)
}
