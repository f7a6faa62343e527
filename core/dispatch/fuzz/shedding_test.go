package fuzz

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

const (
	mixedLoadTime = 10 * time.Second
	mixedTimeout  = 1500 * time.Millisecond // after which the callers of a mixed load leave
)

// loadClass is a queue of a mixed load.
type loadClass struct {
	name    string
	width   int           // tasks of a batch, in the mean
	run     time.Duration // of a task, in the mean
	perCore float64       // of the work of the load
}

// mixedLoad is a load of three queues with priorities: many short tasks, some, and few long ones. The tasks of a batch
// need a third to three quarters of the cores of an endpoint, so that not any two fit on one.
type mixedLoad struct {
	rng     *rand.Rand
	classes []loadClass
	clients map[string]*mixedClient // by ID of the batch
	list    []*mixedClient
}

type mixedClient struct {
	*client
	class    int
	run      time.Duration
	arrived  time.Time
	expected time.Duration // target time
}

func newMixedLoad(seed uint64) *mixedLoad {
	return &mixedLoad{
		rng: rand.New(rand.NewPCG(seed, 3)), clients: map[string]*mixedClient{},
		classes: []loadClass{{"urgent", 8, 60 * time.Millisecond, 0.2}, {"usual", 2, 200 * time.Millisecond, 0.5}, {"long", 4, 900 * time.Millisecond, 0.3}},
	}
}

func (m *mixedLoad) prefix(class int) string { return "/" + m.classes[class].name + "/" }

func (m *mixedLoad) queues() []cornelwall.Queue {
	var list []cornelwall.Queue
	for i, c := range m.classes {
		list = append(list, cornelwall.Queue{
			Name: c.name, Host: host, Prefix: m.prefix(i), Service: service, Priority: i, Attempts: 3, Timeout: mixedTimeout, Objective: objectiveMargin, Stretch: 1.6,
		})
	}
	return list
}

func (m *mixedLoad) clientOf(task string) *mixedClient {
	id, _, _ := strings.Cut(task, ".")
	return m.clients[id]
}

// runTime draws the run time of a task around that of its batch.
func (m *mixedLoad) runTime(task string) time.Duration {
	return time.Duration((0.85 + 0.3*m.rng.Float64()) * float64(m.clientOf(task).run))
}

func (m *mixedLoad) need(task string) cornelwall.Resources {
	return m.clientOf(task).batch.Steps[0].Need
}

// submit submits a batch of a class, and returns its work.
func (m *mixedLoad) submit(r *rig, class int) float64 {
	l := &m.classes[class]
	r.nextID++
	n := 1 + m.rng.IntN(2*l.width-1)
	run := time.Duration((0.6 + 0.8*m.rng.Float64()) * float64(l.run))
	cores := int((0.8 + 0.4*m.rng.Float64()) * float64(endpointCapacity.Cores) / 2)
	declared := time.Duration((0.6 + 0.8*m.rng.Float64()) * float64(run))
	c := &mixedClient{
		client: &client{id: fmt.Sprintf("%016x", r.nextID), prefix: m.prefix(class), done: map[string]bool{}, timeout: mixedTimeout, sentAt: r.w.Now, noRetry: true},
		class:  class, run: run, arrived: r.w.Now, expected: time.Duration(1.6*float64(run)) + objectiveMargin,
	}
	c.batch = &cornelwall.BatchJob{ID: c.id, Steps: []cornelwall.Step{{Count: n, Need: cornelwall.Resources{Cores: cores}, Estimate: declared}}}
	m.clients[c.id], r.clients[c.id] = c, c.client
	m.list = append(m.list, c)
	r.send(c.client)
	return float64(n*cores) * run.Seconds()
}

// classResult is what the callers of a queue got.
type classResult struct {
	submitted, onTime, late, refused, failed int
	large, largeServed                       int // batches with the tenth of the work that is largest
}

func (c classResult) share() float64 { return float64(c.onTime) / float64(c.submitted) }

// play submits batches whose work is a share of the endpoints' cores, a part of it of each class, with the given factors.
func (m *mixedLoad) play(r *rig, share float64, factors []float64) []classResult {
	due := make([]float64, len(m.classes))
	for range mixedLoadTime / time.Millisecond {
		for i := range m.classes {
			due[i] += share * factors[i] * m.classes[i].perCore * float64(endpointCapacity.Cores*len(r.endpoints)) / 1000
			for due[i] > 0 {
				due[i] -= m.submit(r, i)
			}
		}
		r.w.Advance(time.Millisecond)
	}
	r.w.Advance(2 * mixedTimeout)
	results := make([]classResult, len(m.classes))
	if *byNeed {
		for k := 0; k < 3; k++ {
			for b := 0; b < 4; b++ {
				n, ok, nn := 0, 0, 0
				for _, c := range m.list {
					if c.class == k && (c.batch.Steps[0].Need.Cores-6400)*4/3200 == b {
						n++
						nn += c.batch.Steps[0].Count
						if c.end == cornelwall.BatchDone && c.answered && c.endAt.Sub(c.arrived) <= c.expected {
							ok++
						}
					}
				}
				fmt.Printf("class %d need quarter %d n=%d width %.1f ontime %.3f\n", k, b, n, float64(nn)/float64(n), float64(ok)/float64(n))
			}
		}
	}
	for _, c := range m.list {
		x := &results[c.class]
		x.submitted++
		isLarge := c.batch.Steps[0].Count >= 2*m.classes[c.class].width-2
		if isLarge {
			x.large++
		}
		switch took := c.endAt.Sub(c.arrived); {
		case c.end == cornelwall.BatchDone && c.answered:
			if isLarge {
				x.largeServed++
			}
			if took <= c.expected {
				x.onTime++
			} else {
				x.late++
			}
		case c.answered && c.end == cornelwall.BatchRefused:
			x.refused++
		default:
			x.failed++
		}
	}
	return results
}

// runMixedLoad plays a mixed load on a system in which entries shed load, or not.
func runMixedLoad(seed uint64, shed bool, share float64, factors []float64) []classResult {
	r := newSizedRig(seed, mutation{}, 0, size{entries: 6, endpoints: 36, dataCentres: 3})
	r.mixed, r.shed = newMixedLoad(seed), shed
	for _, e := range r.entries {
		r.kill(e, true)
		r.start(e)
	}
	r.changeQueueConfig()
	r.w.Advance(3 * time.Second)
	return r.mixed.play(r, share, factors)
}

var byNeed = flag.Bool("byneed", false, "")
var mixedShare = flag.Float64("mixed", 0, "play a mixed load of this share of the cores in TestMixedLoadByHand")

func TestMixedLoadByHand(t *testing.T) {
	if *mixedShare == 0 {
		t.Skip("set -mixed to play a load")
	}
	for _, shed := range []bool{false, true} {
		sum := make([]classResult, 3)
		for seed := uint64(1); seed <= 4; seed++ {
			for i, x := range runMixedLoad(seed, shed, *mixedShare, []float64{1, 1, 1}) {
				sum[i].add(x)
			}
		}
		for i, x := range sum {
			t.Logf("shed=%v class %d: on time %.3f late %.3f refused %.3f failed %.3f large %.3f", shed, i, x.share(), float64(x.late)/float64(x.submitted), float64(x.refused)/float64(x.submitted), float64(x.failed)/float64(x.submitted), float64(x.largeServed)/float64(x.large))
		}
	}
	assert.Assert(t, true)
}

func (c *classResult) add(x classResult) {
	c.submitted += x.submitted
	c.onTime += x.onTime
	c.late += x.late
	c.refused += x.refused
	c.failed += x.failed
	c.large += x.large
	c.largeServed += x.largeServed
}
