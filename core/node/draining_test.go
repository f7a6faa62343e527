package node_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

const burst = 64 // tasks of a job, more than the executors of a cluster can run at once

// drainingCluster is a cluster of which one executor begins to drain while it runs tasks.
type drainingCluster struct {
	*cluster
	machine  string
	draining bool
	starts   int // on the machine
}

func newDrainingCluster(t *testing.T, machine string) *drainingCluster {
	d := &drainingCluster{cluster: newCluster(t, 1, 3), machine: machine}
	d.StartTask = func(h *fake.Host, r cornelwall.RunTask) {
		result := cornelwall.Result{Outcome: cornelwall.Done}
		if r.VM.Name == d.machine {
			d.starts++
			if d.draining {
				result = cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonDraining, Draining: true}
			}
		}
		d.CallAfter(d.taskTime, func() {
			result.Draining = r.VM.Name == d.machine && d.draining
			d.Post(h, cornelwall.TaskEnded{Attempt: r.Start.Attempt, Result: result})
		})
	}
	return d
}

// drainUnder submits a job that takes all slots, lets the machine begin to drain and waits for the
// answer.
func (d *drainingCluster) drainUnder(borrower string) {
	req := d.submit(borrower, d.draw(borrower), 16)
	d.Advance(d.taskTime / 2)
	d.draining = true
	assert.Equal(d.t, d.awaitAnswer(req, time.Second).Outcome, cornelwall.Done)
	assert.Assert(d.t, d.starts > 0)
}

// runBursts runs jobs at every live entry for the time.
func (d *drainingCluster) runBursts(total time.Duration) {
	for end := d.Now.Add(total); d.Now.Before(end); {
		var reqs []uint64
		for _, name := range d.names() {
			if d.serving(name) {
				reqs = append(reqs, d.submit(name, d.draw(name), burst))
			}
		}
		for _, req := range reqs {
			assert.Equal(d.t, d.awaitAnswer(req, 10*time.Second).Outcome, cornelwall.Done)
		}
	}
}

// eachBorrower runs a test for each executor and each entry that may borrow its slots.
func eachBorrower(t *testing.T, test func(t *testing.T, machine, borrower string)) {
	for _, machine := range []string{"dc0-x0", "dc0-x1"} {
		for _, borrower := range []string{"dc0-e0", "dc0-e1", "dc0-e2"} {
			t.Run(fmt.Sprintf("%s/%s", machine, borrower), func(t *testing.T) { test(t, machine, borrower) })
		}
	}
}

// TestDrainNoticeInUndeliveredReturn guards against starts after the return that tells of a drain was lost.
func TestDrainNoticeInUndeliveredReturn(t *testing.T) {
	eachBorrower(t, func(t *testing.T, machine, borrower string) {
		d := newDrainingCluster(t, machine)
		lost := false
		d.Link = func(_, _ cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
			if d.draining && !lost && hasMessage(e, func(m *cornelwall.Message) bool { return m.LoanReturn != nil && m.LoanReturn.Draining }) {
				d.CallAfter(0, func() { lost = true })
				return reportedUndelivered
			}
			return delivered
		}
		d.drainUnder(borrower)
		before := d.starts
		d.runBursts(5 * time.Second)
		assert.Equal(t, d.starts, before, "starts were sent to %s, which is draining", machine)
	})
}

// TestDrainNoticeOutlivesLender guards against starts by the next lender of an executor that drains.
func TestDrainNoticeOutlivesLender(t *testing.T) {
	for _, tt := range []struct {
		name    string
		restart bool
	}{{"crashed", false}, {"restarted", true}} {
		t.Run(tt.name, func(t *testing.T) { testLenderGone(t, tt.restart) })
	}
}

func testLenderGone(t *testing.T, restart bool) {
	for _, lender := range []string{"dc0-e0", "dc0-e1", "dc0-e2"} {
		t.Run(lender, func(t *testing.T) {
			eachBorrower(t, func(t *testing.T, machine, borrower string) {
				if lender == borrower {
					return
				}
				d := newDrainingCluster(t, machine)
				d.drainUnder(borrower)
				d.Advance(2 * time.Second) // the borrower's heartbeat has told the other entries
				before := d.starts
				d.hosts[lender].Dead = true
				if restart {
					d.start(lender)
				}
				d.Advance(peerTimeout + time.Second)
				d.runBursts(5 * time.Second)
				assert.Equal(t, d.starts, before, "starts were sent to %s, which is draining", machine)
			})
		})
	}
}
