package fuzz

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const (
	taskTime        = 150 * time.Millisecond
	loadTime        = 15 * time.Second
	objectiveMargin = 60 * time.Millisecond  // that the queue adds to the stretched run time
	objective       = 300 * time.Millisecond // of a batch of one step of taskTime: 1.6 times that and objectiveMargin
	tickSlack       = 100 * time.Millisecond // for ticks and a withdrawal
	maxTasks        = 6
	loadTimeout     = 3 * time.Second // after which the callers of a load leave
)

// loadResult is what the callers of a load got.
type loadResult struct {
	submitted, onTime, late, unserved int
	longestUnserved                   time.Duration // until a caller learned that it is not served
	runs, usefulRuns                  int           // runs of tasks, and tasks of batches that were served
	large, largeServed                int           // batches of maxTasks tasks
}

func (l loadResult) served() float64 { return float64(l.onTime+l.late) / float64(l.submitted) }

// runLoad submits batches at a constant rate, whose work is the given share of the endpoints'
// capacity, to entries with the given Config.MaxMeshPeers.
func runLoad(seed uint64, share float64, maxMeshPeers int) loadResult {
	return runSizedLoad(seed, share, maxMeshPeers, small)
}

// runSizedLoad is runLoad for a system of any size.
func runSizedLoad(seed uint64, share float64, maxMeshPeers int, sz size) loadResult {
	r := newSizedRig(seed, mutation{}, maxMeshPeers, sz)
	r.exactRunTimes, r.objective = true, objectiveMargin
	r.changeQueueConfig()
	r.w.Advance(2 * time.Second)
	return r.playLoad(share)
}

// playLoad submits batches whose work is the given share of the endpoints' capacity.
func (r *rig) playLoad(share float64) loadResult { return r.playLoadFor(loadTime, share) }

// playLoadFor is playLoad for a time.
func (r *rig) playLoadFor(d time.Duration, share float64) loadResult {
	slots := 2 * r.size.endpoints // tasks of 6.8 cores that run at once
	var clients []*client
	work, rate := 0.0, float64(slots)*share/taskTime.Seconds()/1000 // tasks per millisecond
	for range d / time.Millisecond {
		for work += rate; work >= 1; {
			n := 1 + r.rng.IntN(maxTasks)
			c := r.submitBatch(n, loadTimeout)
			c.noRetry = true
			clients = append(clients, c)
			work -= float64(n)
		}
		r.w.Advance(time.Millisecond)
	}
	r.w.Advance(2 * loadTimeout)
	var l loadResult
	for _, c := range clients {
		took := c.endAt.Sub(c.sentAt)
		l.submitted++
		n := c.batch.Steps[0].Count
		if n == maxTasks {
			l.large++
		}
		if c.end == cornelwall.BatchDone && took <= 3*objective {
			l.usefulRuns += n
			if n == maxTasks {
				l.largeServed++
			}
		}
		switch {
		case c.end == cornelwall.BatchDone && took <= objective:
			l.onTime++
		case c.end == cornelwall.BatchDone && took <= 3*objective:
			l.late++
		default:
			l.unserved++
			l.longestUnserved = max(l.longestUnserved, took)
		}
	}
	l.runs = r.runs
	return l
}

// TestLoad runs loads below and above the capacity of the endpoints and checks what callers get.
// Below it, nearly all batches must be done on time. Above it, the capacity suffices for 1/share of
// the batches: half of that must be done on time, and seven tenths of that within three times the
// objective. In both cases, two thirds of the runs must be useful, large batches must be served at
// least half as often as all batches, and callers that are not served must get their answer within
// three times the objective.
func TestLoad(t *testing.T) {
	for _, tc := range []struct {
		share        float64
		maxMeshPeers int
	}{{0.5, 0}, {0.8, 0}, {1.3, 0}, {2, 0}, {0.5, -1}, {0.8, -1}, {1.3, -1}, {2, -1}} {
		links := "full mesh"
		if tc.maxMeshPeers < 0 {
			links = "links on demand"
		}
		t.Run(fmt.Sprintf("%v of the capacity, %s", tc.share, links), func(t *testing.T) {
			t.Parallel()
			share := tc.share
			l := runLoad(1, share, tc.maxMeshPeers)
			t.Logf("%+v", l)
			minOnTime, minServed := 0.9, 0.99
			if share > 1 {
				minOnTime, minServed = 0.5/share, 0.7/share
			}
			assert.Assert(t, float64(l.onTime) >= minOnTime*float64(l.submitted), "on time: %+v", l)
			assert.Assert(t, l.served() >= minServed, "served: %+v", l)
			assert.Assert(t, 3*l.usefulRuns >= 2*l.runs, "useful runs: %+v", l)
			assert.Assert(t, float64(l.largeServed) >= l.served()/2*float64(l.large), "large batches: %+v", l)
			assert.Assert(t, l.longestUnserved <= 3*objective+tickSlack, "unserved callers answered late: %+v", l)
		})
	}
}

// TestLoadOnSlowEndpoints runs a load that the sound endpoints can take, while a sixth of the
// endpoints becomes slow or stands still. Callers must hardly notice: a run there must be moved in
// time, and endpoints known to be slow must not make batches late. Where runs are placed by speed, a long task on
// a sound endpoint is not moved, which must not hide a slow endpoint.
func TestLoadOnSlowEndpoints(t *testing.T) {
	for _, tc := range []struct {
		name         string
		slowdown     float64
		placeBySpeed bool
	}{
		{"4 times slower", 4, false}, {"6.5 times slower", 6.5, false}, {"standing still", 1e6, false},
		{"4 times slower, by speed", 4, true}, {"6.5 times slower, by speed", 6.5, true}, {"standing still, by speed", 1e6, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newPlacedRig(1, size{entries: 4, endpoints: 12, dataCentres: 2}, tc.placeBySpeed)
			r.exactRunTimes, r.objective = true, objectiveMargin
			r.changeQueueConfig()
			r.w.Advance(2 * time.Second)
			for _, ep := range r.endpoints[:2] {
				r.w.CallAfter(3*time.Second, func() { r.slowdown[ep.ID] = tc.slowdown })
			}
			l := r.playLoad(0.5)
			t.Logf("%+v", l)
			assert.Assert(t, float64(l.onTime) >= 0.95*float64(l.submitted), "on time: %+v", l)
			assert.Assert(t, l.served() >= 0.99, "served: %+v", l)
		})
	}
}

// TestLoadWithLateOrders runs a load below the capacity while endpoints leave some orders unanswered
// and carry them out seconds later. A batch has several tasks, so that a start without an answer
// must neither hold its task for long nor take its endpoint out of use.
func TestLoadWithLateOrders(t *testing.T) {
	r := newSizedRig(1, mutation{}, 0, size{entries: 4, endpoints: 12, dataCentres: 2})
	r.exactRunTimes, r.objective = true, objectiveMargin
	r.changeQueueConfig()
	r.w.Advance(2 * time.Second)
	for _, ep := range r.endpoints {
		r.lateOrderShare[ep.ID] = 0.05
	}
	l := r.playLoad(0.5)
	t.Logf("%+v", l)
	assert.Assert(t, float64(l.onTime) >= 0.9*float64(l.submitted), "on time: %+v", l)
	assert.Assert(t, l.served() >= 0.95, "served: %+v", l)
}

// TestLoadOfUnderestimatedBatches runs a load near the capacity whose tasks take much longer than their
// callers have declared. The target of a batch follows from how long its work takes, so that a batch
// must not be given up, nor lose its place, by the declared time once tasks of it have ended.
func TestLoadOfUnderestimatedBatches(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		r := newSizedRig(seed, mutation{}, 0, size{entries: 4, endpoints: 12, dataCentres: 2})
		r.exactRunTimes, r.objective, r.estimate = true, objectiveMargin, taskTime/5
		r.changeQueueConfig()
		r.w.Advance(2 * time.Second)
		l := r.playLoad(0.95)
		t.Logf("%+v", l)
		assert.Assert(t, float64(l.onTime) >= 0.85*float64(l.submitted), "on time: %+v", l)
		assert.Assert(t, l.served() >= 0.95, "served: %+v", l)
	}
}
