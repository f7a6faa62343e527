package fuzz

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/leased"
)

const (
	speedLoadTime   = 15 * time.Second
	speedCallerWait = 1500 * time.Millisecond
	longTaskShare   = 0.03
	longTaskFactor  = 7
	estimateError   = 0.4 // by which declared run times are too low or too high at most
	slowSpeed       = 0.55
	fastSpeed       = 1.2
	largeEndpoint   = 1.5 // capacity of every third endpoint, relative to the others
)

// speedClass is a queue of the load.
type speedClass struct {
	share    float64 // of the batches
	tasks    int     // in a batch
	min, max time.Duration
}

var speedClasses = []speedClass{
	{0.25, 8, 51 * time.Millisecond, 60 * time.Millisecond},
	{0.71, 2, 170 * time.Millisecond, 200 * time.Millisecond},
	{0.04, 4, 760 * time.Millisecond, 900 * time.Millisecond},
}

// batchWork is the mean work of a batch, in task seconds at the usual speed.
func batchWork() float64 {
	work := 0.0
	for _, k := range speedClasses {
		work += k.share * float64(k.tasks) * (k.min + k.max).Seconds() / 2
	}
	return work * (1 + longTaskShare*(longTaskFactor-1))
}

// speedResult is what the callers of a queue got.
type speedResult struct{ submitted, onTime, late, unserved int }

func (s *speedResult) add(o speedResult) {
	*s = speedResult{s.submitted + o.submitted, s.onTime + o.onTime, s.late + o.late, s.unserved + o.unserved}
}

// speedBatch is a batch of a speedLoad.
type speedBatch struct {
	class int
	need  int           // cores of a task
	took  time.Duration // of a task at the usual speed
}

// speedLoad is a load of three queues on endpoints of different speeds.
type speedLoad struct {
	*rig
	rng      *rand.Rand // of the batches, so that they are the same with and without the part
	batches  map[string]speedBatch
	capacity float64 // tasks at once at the usual speed
}

// newSpeedLoad returns a system in which a quarter of the endpoints runs at 0.55 and the others at 1.2 times the usual
// speed, and every third has 1.5 times the cores.
func newSpeedLoad(seed uint64, placeBySpeed bool) *speedLoad {
	r := newPlacedRig(seed, size{entries: 6, endpoints: 36, dataCentres: 3}, placeBySpeed)
	l := &speedLoad{rig: r, rng: rand.New(rand.NewPCG(seed, 3)), batches: map[string]speedBatch{}}
	r.objective = objectiveMargin
	for k := range speedClasses {
		q := r.queue()
		q.Name, q.Prefix, q.Priority, q.Timeout = fmt.Sprint("class", k), classPrefix(k), k, speedCallerWait
		r.moreQueues = append(r.moreQueues, q)
	}
	for i, ep := range r.endpoints {
		if i%3 == 0 {
			ep.Capacity.Cores = int(largeEndpoint * float64(ep.Capacity.Cores))
		}
		ep.NeedOf = func(task string) cornelwall.Resources { return cornelwall.Resources{Cores: l.batchOf(task).need} }
		speed := fastSpeed
		if i%4 == 1 {
			speed = slowSpeed
		}
		l.capacity += speed * float64(ep.Capacity.Cores) / (float64(endpointCapacity.Cores) / 2)
		ep.Simulate = func(id cornelwall.RunID) leased.SimulatedRun { return l.simulate(id, speed) }
	}
	r.changeQueueConfig()
	r.w.Advance(2 * time.Second)
	return l
}

func classPrefix(class int) string { return fmt.Sprintf("/class%d/", class) }

func (l *speedLoad) batchOf(task string) speedBatch {
	return l.batches[strings.SplitN(task, ".", 2)[0]]
}

// simulate returns how long a run takes. A task that is long is so in each of its runs.
func (l *speedLoad) simulate(id cornelwall.RunID, speed float64) leased.SimulatedRun {
	took := float64(l.batchOf(id.Task).took) / speed
	if rand.New(rand.NewPCG(hashName(id.Task), 5)).Float64() < longTaskShare {
		took *= longTaskFactor
	}
	return leased.SimulatedRun{Duration: time.Duration(took)}
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// submitClass submits a batch of a queue.
func (l *speedLoad) submitClass(class int) *client {
	k := speedClasses[class]
	l.nextID++
	c := &client{id: fmt.Sprintf("%016x", l.nextID), done: map[string]bool{}, timeout: speedCallerWait, sentAt: l.w.Now, noRetry: true, prefix: classPrefix(class)}
	took := k.min + time.Duration(l.rng.Int64N(int64(k.max-k.min)))
	need := int(float64(endpointCapacity.Cores) / 2 * (0.8 + 0.4*l.rng.Float64()))
	estimate := time.Duration(float64(took) * (1 - estimateError + 2*estimateError*l.rng.Float64()))
	c.batch = &cornelwall.BatchJob{ID: c.id, Steps: []cornelwall.Step{{Count: k.tasks, Need: cornelwall.Resources{Cores: need}, Estimate: estimate}}}
	l.clients[c.id], l.batches[c.id] = c, speedBatch{class, need, took}
	l.send(c)
	return c
}

// play submits batches whose work is a share of the endpoints' capacity, and returns what callers got
// by queue.
func (l *speedLoad) play(share float64) []speedResult {
	var clients []*client
	rate, due := share*l.capacity/batchWork()/1000, 0.0 // batches per millisecond
	for range speedLoadTime / time.Millisecond {
		for due += rate; due >= 1; due-- {
			class, x := 0, l.rng.Float64()
			for x > speedClasses[class].share && class < len(speedClasses)-1 {
				x -= speedClasses[class].share
				class++
			}
			clients = append(clients, l.submitClass(class))
		}
		l.w.Advance(time.Millisecond)
	}
	l.w.Advance(2 * speedCallerWait)
	results := make([]speedResult, len(speedClasses))
	for _, c := range clients {
		batch := l.batches[c.id]
		s := &results[batch.class]
		s.submitted++
		target := time.Duration(1.6*float64(batch.took)) + objectiveMargin
		switch {
		case c.end == cornelwall.BatchDone && c.endAt.Sub(c.sentAt) <= target:
			s.onTime++
		case c.end == cornelwall.BatchDone:
			s.late++
		default:
			s.unserved++
		}
	}
	return results
}

// TestLoadOfMixedSpeeds runs a load near the capacity on endpoints of which a quarter is slow, with tasks that
// take seven times as long. It guards against a choice of endpoints that costs callers more than it gives: with it
// more of them must get their answer on time, fewer none, and no queue may lose by it.
func TestLoadOfMixedSpeeds(t *testing.T) {
	t.Parallel()
	const seeds = 2
	for _, tc := range []struct{ share, minGain float64 }{{0.8, 1.1}, {0.95, 1.05}} {
		share := tc.share
		var without, with speedResult
		queues := make([][2]speedResult, len(speedClasses))
		for seed := uint64(1); seed <= seeds; seed++ {
			for i, placeBySpeed := range []bool{false, true} {
				l := newSpeedLoad(seed, placeBySpeed)
				results := l.play(share)
				assert.Equal(t, l.failure, "")
				t.Logf("%v of the capacity, seed %d, by speed %t: %+v", share, seed, placeBySpeed, results)
				for k, s := range results {
					queues[k][i].add(s)
				}
			}
		}
		for k, q := range queues {
			without.add(q[0])
			with.add(q[1])
			assert.Assert(t, q[1].onTime >= q[0].onTime, "queue %d: %+v, was %+v", k, q[1], q[0])
		}
		t.Logf("%v of the capacity: without %+v, with %+v", share, without, with)
		assert.Assert(t, float64(with.onTime) >= tc.minGain*float64(without.onTime), "on time: %+v, was %+v", with, without)
		assert.Assert(t, with.unserved <= without.unserved, "unserved: %+v, was %+v", with, without)
	}
}
