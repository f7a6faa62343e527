package fuzz

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/leased"
)

const (
	persistentAttempts = 8
	crashDelay         = time.Millisecond        // from the start of a deadly task to the crash of its endpoint
	rebootTime         = 2500 * time.Millisecond // from the crash of an endpoint to its next boot
	ownerDownTime      = time.Second             // from a kill of an entry to its next start
	crashesAllowed     = 3                       // endpoints that one task may crash before it has to be recognized
	startsAfterwards   = 2                       // starts of such a task that may be under way by then
)

var medium = size{entries: 4, endpoints: 12, dataCentres: 2}

// crash lets an endpoint crash. It boots again after rebootTime.
func (r *rig) crash(ep *leased.Endpoint) { r.crashFor(ep, outage{down: rebootTime}) }

// ownerOf returns the entry at which a client's batch is, or nil.
func (r *rig) ownerOf(c *client) *entry {
	for _, e := range r.entries {
		for _, a := range e.reqs {
			if a.client == c && e.up() {
				return e
			}
		}
	}
	return nil
}

// killOwner kills the entry that owns a client's batch. It starts again after ownerDownTime.
func (r *rig) killOwner(c *client) {
	if e := r.ownerOf(c); e != nil {
		r.kill(e, false)
		r.w.CallAfter(ownerDownTime, func() { r.start(e) })
	}
}

// playPersistently submits batches of one task at a constant rate, whose work is the given share of the
// endpoints' capacity, and waits until all of their clients have come as often as they do. The
// clients persist.
func (r *rig) playPersistently(share float64, during time.Duration) []*client {
	return r.submitPersistently(share, during, 1)
}

// submitPersistently is playPersistently for batches of up to the given number of tasks.
func (r *rig) submitPersistently(share float64, during time.Duration, most int) []*client {
	var list []*client
	work, rate := 0.0, float64(2*r.size.endpoints)*share/taskTime.Seconds()/1000 // tasks per millisecond
	for range during / time.Millisecond {
		for work += rate; work >= 1; {
			tasks := 1
			if most > 1 {
				tasks += r.rng.IntN(most)
			}
			c := r.submitBatch(tasks, loadTimeout)
			work -= float64(tasks)
			c.persists = true
			list = append(list, c)
		}
		r.w.Advance(time.Millisecond)
	}
	r.w.Advance(persistentAttempts * (loadTimeout + clientRetryDelay))
	return list
}

// submitDeadly submits a batch of one task that crashes each endpoint that starts it. Its client persists.
func (r *rig) submitDeadly() *client {
	r.afterStart = func(ep *leased.Endpoint, c *client) {
		if c.deadly {
			r.w.CallAfter(crashDelay, func() { r.crash(ep) })
		}
	}
	c := r.submitBatch(1, loadTimeout)
	c.persists, c.deadly = true, true
	return c
}

// killOwners kills the owner of a client's batch soon after each second start of its task.
func (r *rig) killOwners(c *client, killed int) {
	r.w.CallAfter(100*time.Millisecond, func() {
		if c.starts >= 2*(killed+1) {
			killed++
			r.killOwner(c)
		}
		r.killOwners(c, killed)
	})
}

// TestDeadlyTaskCrashesFewEndpoints runs a task that crashes each endpoint that starts it, while its
// client comes again at other entries. It must be recognized, and those that shared its endpoints be done.
func TestDeadlyTaskCrashesFewEndpoints(t *testing.T) {
	for _, killOwners := range []bool{false, true} {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("owners killed %v, seed %d", killOwners, seed), func(t *testing.T) {
				t.Parallel()
				r := newSizedRig(seed, mutation{}, -int(seed%2), medium)
				r.w.Advance(2 * time.Second)
				deadly := r.submitDeadly()
				if killOwners {
					r.killOwners(deadly, 0)
				}
				others := r.playPersistently(0.3, 20*time.Second)
				t.Logf("starts %d, attempts %d, answered %v %v", deadly.starts, deadly.attempts, deadly.answered, deadly.end)
				assert.Equal(t, r.failure, "")
				assert.Assert(t, deadly.starts > 0, "the deadly task has not started")
				assert.Assert(t, deadly.starts <= crashesAllowed+startsAfterwards, "the deadly task has crashed %d endpoints", deadly.starts)
				assert.Assert(t, !deadly.answered, "the client of the deadly task has the answer %v", deadly.end)
				assert.Equal(t, deadly.attempts, persistentAttempts)
				assert.Assert(t, deadly.last.End == cornelwall.BatchGivenUp && deadly.last.Reason == cornelwall.ReasonCrash && deadly.last.RetryAfter > 0, "the deadly task is not recognized: %v", deadly.last)
				for _, c := range others {
					assert.Assert(t, c.answered && c.end == cornelwall.BatchDone, "batch %s, which is not deadly, has the answer %v %v", c.id, c.answered, c.end)
				}
			})
		}
	}
}

// TestDeadlyTaskOutlivesRestartOfAll restarts all entries at once 10 s after a deadly task was submitted, whose client persists.
func TestDeadlyTaskOutlivesRestartOfAll(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := newSizedRig(seed, mutation{}, -int(seed%2), medium)
			r.w.Advance(2 * time.Second)
			deadly := r.submitDeadly()
			r.w.CallAfter(10*time.Second, func() {
				for _, e := range r.entries {
					r.kill(e, false)
					r.w.CallAfter(ownerDownTime, func() { r.start(e) })
				}
			})
			r.playPersistently(0.3, 20*time.Second)
			t.Logf("starts %d, attempts %d, answered %v %v", deadly.starts, deadly.attempts, deadly.answered, deadly.end)
			assert.Equal(t, r.failure, "")
			assert.Assert(t, deadly.starts <= crashesAllowed+startsAfterwards, "the deadly task has crashed %d endpoints", deadly.starts)
		})
	}
}

// TestMassCrashFailsNoBatch crashes a third of the endpoints at once, under load. No task is at fault, so
// that all must be done.
func TestMassCrashFailsNoBatch(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := newSizedRig(seed, mutation{}, -int(seed%2), size{entries: 6, endpoints: 24, dataCentres: 2})
			r.w.Advance(2 * time.Second)
			r.w.CallAfter(2*time.Second, func() {
				for _, ep := range r.endpoints[:8] {
					r.crash(ep)
				}
			})
			others := r.playPersistently(0.5, 6*time.Second)
			assert.Equal(t, r.failure, "")
			for _, c := range others {
				assert.Assert(t, c.answered && c.end == cornelwall.BatchDone, "batch %s has the answer %v %v", c.id, c.answered, c.end)
			}
		})
	}
}
