package fuzz

import (
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
	name      string
	width     int           // tasks of a batch, in the mean
	run       time.Duration // of a task, in the mean
	workShare float64       // of the work of the load
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

// play submits batches whose work is a share of the endpoints' cores, a part of it of each class.
func (m *mixedLoad) play(r *rig, share float64) []classResult {
	due := make([]float64, len(m.classes))
	for range mixedLoadTime / time.Millisecond {
		for i := range m.classes {
			due[i] += share * m.classes[i].workShare * float64(endpointCapacity.Cores*len(r.endpoints)) / 1000
			for due[i] > 0 {
				due[i] -= m.submit(r, i)
			}
		}
		r.w.Advance(time.Millisecond)
	}
	r.w.Advance(2 * mixedTimeout)
	results := make([]classResult, len(m.classes))
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
func runMixedLoad(seed uint64, shed bool, share float64) []classResult {
	r := newSizedRig(seed, mutation{}, 0, size{entries: 6, endpoints: 36, dataCentres: 3, shed: shed})
	r.mixed = newMixedLoad(seed)
	r.changeQueueConfig()
	r.w.Advance(3 * time.Second)
	return r.mixed.play(r, share)
}

// TestMixedLoad plays loads below and above what the endpoints can do, with and without shedding, over several seeds. It
// guards against an overload in which the queue of the highest priority gets the smallest share, in which more
// batches are late than are refused, and in which large batches or a queue get nothing; and against shedding
// where there is room for all.
func TestMixedLoad(t *testing.T) {
	for _, share := range []float64{0.5, 1.3} {
		t.Run(fmt.Sprintf("%v of the cores", share), func(t *testing.T) {
			t.Parallel()
			without, with := playMixedLoads(share, false), playMixedLoads(share, true)
			t.Logf("without shedding: %+v", without)
			t.Logf("with shedding: %+v", with)
			if share < 1 {
				for i := range with {
					assert.Assert(t, with[i].share() >= 0.9, "class %d: %+v", i, with[i])
				}
				return
			}
			late, refused := 0, 0
			for i, x := range with {
				late, refused = late+x.late, refused+x.refused
				assert.Assert(t, i == 0 || x.share() <= with[i-1].share(), "a lower class got more on time: %+v", with)
				assert.Assert(t, x.share() >= 0.25, "class %d got next to nothing: %+v", i, x)
				assert.Assert(t, 2*x.largeServed*x.submitted >= x.large*(x.onTime+x.late), "large batches of class %d: %+v", i, x)
			}
			assert.Assert(t, late < refused, "more late than refused: %+v", with)
			assert.Assert(t, with[0].share() >= 1.2*without[0].share(), "class 0: %+v, without shedding %+v", with[0], without[0])
		})
	}
}

// playMixedLoads plays a mixed load with several seeds, and adds up what callers got.
func playMixedLoads(share float64, shed bool) []classResult {
	sum := make([]classResult, 3)
	for seed := uint64(1); seed <= 3; seed++ {
		for i, x := range runMixedLoad(seed, shed, share) {
			sum[i].submitted += x.submitted
			sum[i].onTime += x.onTime
			sum[i].late += x.late
			sum[i].refused += x.refused
			sum[i].failed += x.failed
			sum[i].large += x.large
			sum[i].largeServed += x.largeServed
		}
	}
	return sum
}
