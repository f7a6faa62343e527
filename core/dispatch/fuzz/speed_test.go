package fuzz

import (
	"fmt"
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

func (s *speedResult) add(other speedResult) {
	s.submitted += other.submitted
	s.onTime += other.onTime
	s.late += other.late
	s.unserved += other.unserved
}

// speedLoad is a load of three queues on endpoints of different speeds.
type speedLoad struct {
	*rig
	rng     *rand.Rand               // of the batches and tasks, so that they are the same with and without the part
	needs   map[string]int           // cores of a task, by batch
	times   map[string]time.Duration // run time of a task at the usual speed, by batch
	classOf map[string]int
	long    map[string]bool // by task
}

// newSpeedLoad returns a system in which a quarter of the endpoints runs at 0.55 and the others at 1.2 times the usual
// speed, and every third has 1.5 times the cores.
func newSpeedLoad(seed uint64, placeBySpeed bool) *speedLoad {
	r := newPlacedRig(seed, size{entries: 6, endpoints: 36, dataCentres: 3}, placeBySpeed)
	l := &speedLoad{rig: r, rng: rand.New(rand.NewPCG(seed, 3)), needs: map[string]int{}, times: map[string]time.Duration{}, classOf: map[string]int{}, long: map[string]bool{}}
	r.objective = objectiveMargin
	for k := range speedClasses {
		q := r.queue()
		q.Name, q.Prefix, q.Priority, q.Timeout = fmt.Sprint("class", k), l.prefix(k), k, speedCallerWait
		r.moreQueues = append(r.moreQueues, q)
	}
	for i, ep := range r.endpoints {
		if i%3 == 0 {
			ep.Capacity.Cores = int(largeEndpoint * float64(ep.Capacity.Cores))
		}
		ep.NeedOf = func(task string) cornelwall.Resources { return cornelwall.Resources{Cores: l.needs[batchOf(task)]} }
		speed := fastSpeed
		if i%4 == 1 {
			speed = slowSpeed
		}
		ep.Simulate = func(id cornelwall.RunID) leased.SimulatedRun { return l.simulate(id, speed) }
	}
	r.changeQueueConfig()
	r.w.Advance(2 * time.Second)
	return l
}

func (l *speedLoad) prefix(class int) string { return fmt.Sprintf("/class%d/", class) }

func batchOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// simulate returns how long a run takes. A task that is long is so in each of its runs.
func (l *speedLoad) simulate(id cornelwall.RunID, speed float64) leased.SimulatedRun {
	long, ok := l.long[id.Task]
	if !ok {
		rng := rand.New(rand.NewPCG(hashName(id.Task), 5))
		long = rng.Float64() < longTaskShare
		l.long[id.Task] = long
	}
	took := float64(l.times[batchOf(id.Task)]) / speed
	if long {
		took *= longTaskFactor
	}
	return leased.SimulatedRun{Duration: time.Duration(took)}
}

func hashName(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

// submitClass submits a batch of a queue.
func (l *speedLoad) submitClass(class int) *client {
	k := speedClasses[class]
	l.nextID++
	c := &client{id: fmt.Sprintf("%016x", l.nextID), done: map[string]bool{}, timeout: speedCallerWait, sentAt: l.w.Now, noRetry: true, prefix: l.prefix(class)}
	took := k.min + time.Duration(l.rng.Int64N(int64(k.max-k.min)))
	need := int(float64(endpointCapacity.Cores) / 2 * (0.8 + 0.4*l.rng.Float64()))
	estimate := time.Duration(float64(took) * (1 - estimateError + 2*estimateError*l.rng.Float64()))
	c.batch = &cornelwall.BatchJob{ID: c.id, Steps: []cornelwall.Step{{Count: k.tasks, Need: cornelwall.Resources{Cores: need}, Estimate: estimate}}}
	l.clients[c.id], l.needs[c.id], l.times[c.id], l.classOf[c.id] = c, need, took, class
	l.send(c)
	return c
}

// play submits batches whose work is a share of the endpoints' capacity, and returns what callers got
// by queue.
func (l *speedLoad) play(share float64) []speedResult {
	capacity := 0.0 // tasks at the usual speed
	for i, ep := range l.endpoints {
		speed := fastSpeed
		if i%4 == 1 {
			speed = slowSpeed
		}
		capacity += speed * float64(ep.Capacity.Cores) / (float64(endpointCapacity.Cores) / 2)
	}
	var clients []*client
	rate, due := share*capacity/batchWork()/1000, 0.0 // batches per millisecond
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
		s := &results[l.classOf[c.id]]
		s.submitted++
		target := time.Duration(1.6*float64(l.times[c.id])) + objectiveMargin
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
	const seeds, minGain = 2, 1.05
	for _, share := range []float64{0.8, 0.95} {
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
		assert.Assert(t, float64(with.onTime) >= minGain*float64(without.onTime), "on time: %+v, was %+v", with, without)
		assert.Assert(t, with.unserved <= without.unserved, "unserved: %+v, was %+v", with, without)
	}
}
