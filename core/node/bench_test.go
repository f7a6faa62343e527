package node_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cornelwall"
	"cornelwall/core/node"
)

// benchmarkJob measures the decisions for jobs with the given number of tasks, from
// submission to answer, on one entry with idle slots for all of them. It handles events
// and commands only, without I/O.
func benchmarkJob(b *testing.B, tasks int) {
	now := time.Unix(1700000000, 0)
	self := cornelwall.Incarnation{DataCentre: "ikeja", Entry: "a", Epoch: 1}
	n := node.New(node.Config{Self: self, Addr: netip.MustParseAddrPort("127.0.0.1:7001"), Secret: secret}, now)
	var vms []cornelwall.VM
	for i := range 100 {
		vms = append(vms, cornelwall.VM{Name: fmt.Sprintf("x%03d", i), Kind: cornelwall.Executor, DataCentre: "ikeja",
			Slots: 8, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 80)})
	}
	profile := cornelwall.Profile{Name: "holds", Team: "bookings", Version: 1}
	profile.Normalise()
	n.Step(now, cornelwall.MachinesListed{VMs: vms})
	n.Step(now, cornelwall.WatchUpdate{Profiles: []cornelwall.Profile{profile}})
	body := make([]byte, 200)
	req, answered := uint64(0), 0
	var runs []cornelwall.RunTask
	handle := func(cmds []cornelwall.Command) {
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case cornelwall.RunTask:
				runs = append(runs, cmd)
			case cornelwall.Reply:
				if cmd.Answer.Outcome != cornelwall.Done {
					b.Fatalf("%+v", cmd.Answer)
				}
				answered++
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond) // so that tickets expire and the job table stays bounded
		req++
		job := &cornelwall.Job{Profile: "holds", Tasks: make([]cornelwall.Task, tasks)}
		for i := range job.Tasks {
			job.Tasks[i].Body = body
		}
		handle(n.Step(now, cornelwall.Submit{Req: req, Job: job}))
		for len(runs) > 0 {
			r := runs[0]
			runs = runs[1:]
			handle(n.Step(now, cornelwall.TaskEnded{Attempt: r.Start.Attempt, Result: cornelwall.Result{
				Outcome: cornelwall.Done, Body: body, Took: 50 * time.Millisecond}}))
		}
		runs = nil
	}
	if answered != int(req) {
		b.Fatalf("%d of %d jobs answered", answered, req)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
}

func BenchmarkJob1(b *testing.B)   { benchmarkJob(b, 1) }
func BenchmarkJob770(b *testing.B) { benchmarkJob(b, 770) }
