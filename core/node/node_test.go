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

// TestJobSpreads submits a job that is larger than the slots of its owner's machines
// and checks that machines of the other entries and data centres run it too.
func TestJobSpreads(t *testing.T) {
	start := time.Unix(1700000000, 0)
	w := fake.NewWorld(start)
	used := map[string]int{}
	w.Work = func(_ *fake.Host, r cornelwall.Run) (time.Duration, cornelwall.Result) {
		used[r.VM.DataCentre]++
		return 50 * time.Millisecond, cornelwall.Result{Outcome: cornelwall.Done, Body: r.Start.Body}
	}
	var answer *cornelwall.Answer
	w.Replied = func(_ *fake.Host, cmd cornelwall.Command) {
		if r, ok := cmd.(cornelwall.Reply); ok {
			answer = &r.Answer
		}
	}
	var vms []cornelwall.VM
	var hosts []*fake.Host
	for d, dc := range []string{"ikeja", "lekki"} {
		for i := range 2 {
			self := cornelwall.Incarnation{DataCentre: dc, Entry: fmt.Sprintf("%s-%d", dc, i), Life: uint64(10*d + i + 1)}
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(d), byte(i + 1)}), 7001)
			core := node.New(node.Config{Self: self, Addr: addr, Secret: []byte("0123456789abcdef")}, start)
			hosts = append(hosts, w.Add(core, self, addr))
			vms = append(vms, cornelwall.VM{Name: self.Entry, Kind: cornelwall.Entry, DataCentre: dc, Addr: addr})
		}
		for i := range 4 {
			vms = append(vms, cornelwall.VM{Name: fmt.Sprintf("%s-x%d", dc, i), Kind: cornelwall.Executor, DataCentre: dc,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(d), byte(i + 1)}), 80), Slots: 8})
		}
	}
	profile := cornelwall.Profile{Name: "holds", Team: "bookings", Version: 1}
	profile.Normalise()
	for _, h := range hosts {
		w.Post(h, cornelwall.Machines{VMs: vms})
		w.Post(h, cornelwall.Watched{Profiles: []cornelwall.Profile{profile}})
	}
	w.Advance(2 * time.Second)
	job := &cornelwall.Job{Profile: "holds"}
	for i := range 100 {
		job.Tasks = append(job.Tasks, cornelwall.Task{Body: fmt.Append(nil, i)})
	}
	w.Post(hosts[0], cornelwall.Submit{Req: 1, Job: job})
	w.Advance(2 * time.Second)
	assert.Assert(t, answer != nil)
	assert.Equal(t, answer.Outcome, cornelwall.Done)
	for i, task := range answer.Tasks {
		assert.Equal(t, string(task.Body), fmt.Sprint(i))
	}
	assert.Equal(t, used["ikeja"]+used["lekki"], 100)
	assert.Assert(t, used["lekki"] >= 32, "slots of the other data centre were left idle: %v", used)
}
