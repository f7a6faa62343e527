package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["mix"] = mixCase }

const cancelBound = 3 * time.Second // cancel_ms

// mixJob is one job of mixCase and what its client saw.
type mixJob struct {
	id          string
	spec        string
	max         int
	counts      []int // tasks of each step
	statuses    []int
	cancelledAt time.Duration
}

// mixCase plays jobs of many shapes and random faults. It only looks for faults: no claim rests on it.
func mixCase(l *lab, trouble bool) (bool, error) {
	var seed uint64 = 1
	if s := os.Getenv("SEED"); s != "" {
		_, _ = fmt.Sscan(s, &seed)
	}
	length := 45 * time.Second
	rnd := rand.New(rand.NewPCG(seed, 7))
	guards := rnd.IntN(2) == 0
	l.note("seed", seed, "guards", guards)
	queues := []route{
		{Name: "q", Host: "q.example", Prefix: "/q/", Type: "unsafe", Timeout: 8000, Target: 200, Service: "svc", Attempts: 3, Stretch: 3},
		{Name: "p", Host: "q.example", Prefix: "/q/p/", Type: "unsafe", Timeout: 8000, Target: 200, Service: "alt", Attempts: 3, Priority: 1, Stretch: 3},
	}
	l.store.putConfig(1, guards, queues...)
	cuts := map[*executor]*proxy{}
	for i := range 8 {
		k := kind{cpu: 16000, labels: []string{[]string{"a", "b"}[i%2], "r1"}, guards: guards}
		svc := "svc"
		if i >= 6 {
			svc = "alt"
		}
		x, err := l.addExecutor(fmt.Sprintf("i-%d", i+1), svc, []string{"zone-a", "zone-b"}[i%2], k)
		if err != nil {
			return false, err
		}
		p, err := newProxy(x.addr, nil)
		if err != nil {
			return false, err
		}
		defer p.close()
		cuts[x] = p
		x.setShown(p.addr())
	}
	for i := range 5 {
		z := []string{"zone-a", "zone-b"}[i%2]
		if _, err := l.addEntry(fmt.Sprintf("edge-%s-%d", z, i+1), z); err != nil {
			return false, err
		}
	}
	if err := l.startEntries(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	jobs := map[string]*mixJob{}
	var wg sync.WaitGroup
	until := l.now() + length
	wg.Go(func() {
		r := rand.New(rand.NewPCG(seed, 8))
		for n := 1; l.now() < until; n++ {
			time.Sleep(time.Duration(r.IntN(160)) * time.Millisecond)
			q := &queues[0]
			if r.IntN(5) == 0 {
				q = &queues[1]
			}
			j := &mixJob{id: jobID(n)}
			d := time.Duration(30+r.IntN(400)) * time.Millisecond
			if r.IntN(8) == 0 {
				d = time.Duration(1000+r.IntN(2500)) * time.Millisecond
			}
			cpu := 1000 + r.IntN(7000)
			requires := ""
			if r.IntN(3) == 0 {
				requires = []string{"a", "b"}[r.IntN(2)]
			}
			j.spec = specOf(d, cpu, requires)
			var steps []any
			if r.IntN(4) == 0 {
				j.max = 1 + r.IntN(2)
			}
			for k := range 1 + r.IntN(2) {
				s := map[string]any{"count": 1 + r.IntN(6), "cpu": cpu, "memMb": 64, "estimateMs": float64(d.Milliseconds()) * (0.6 + r.Float64())}
				if k > 0 {
					s["after"] = []int{0}
				}
				if j.max > 0 {
					s["maxPerServer"] = j.max
				}
				if requires != "" {
					s["requires"] = requires
				}
				j.counts = append(j.counts, s["count"].(int))
				steps = append(steps, s)
			}
			b, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": steps, "bestEffort": true})
			mu.Lock()
			jobs[j.id] = j
			mu.Unlock()
			deadline := time.Duration(1500+r.IntN(6000)) * time.Millisecond
			wait := deadline
			if r.IntN(6) == 0 {
				wait = time.Duration(20+r.IntN(1500)) * time.Millisecond
			}
			cancel := time.Duration(0)
			if r.IntN(10) == 0 {
				cancel = time.Duration(20+r.IntN(1500)) * time.Millisecond
			}
			tries := 1 + r.IntN(3)
			pick := make([]int, 5)
			for i := range pick {
				pick[i] = r.IntN(len(l.entries))
			}
			wg.Go(func() {
				if cancel > 0 {
					wg.Go(func() {
						time.Sleep(cancel)
						e := l.entries[pick[4]]
						if s, _ := request("DELETE", e.callers, q.Host, q.Prefix+j.id, "", 4*time.Second); s/100 == 2 || s == 410 {
							l.note("client DELETE", j.id, "at", e.name, s)
							mu.Lock()
							j.cancelledAt = l.now()
							mu.Unlock()
						}
					})
				}
				for i := range tries {
					e := l.entries[pick[i]]
					l.note("client POST", j.id, "to", e.name, "try", i+1)
					s, _ := requestWait("POST", e.callers, q.Host, q.Prefix+j.id, string(b), deadline, wait)
					l.note("client POST", j.id, "to", e.name, "answered", s)
					mu.Lock()
					j.statuses = append(j.statuses, s)
					gone := j.cancelledAt > 0 || cancel > 0
					mu.Unlock()
					if s != 0 && s != 502 && s != 504 || gone {
						return
					}
					time.Sleep(retryDelay)
				}
			})
		}
	})
	if trouble {
		wg.Go(func() { l.mixFaults(rnd, until, cuts) })
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	broken := l.judgeTwice()
	return l.judgeMix(jobs) || broken, nil
}

func (l *lab) mixFaults(r *rand.Rand, until time.Duration, cuts map[*executor]*proxy) {
	var wg sync.WaitGroup
	busy := map[*entry]bool{}
	var mu sync.Mutex
	for l.now() < until-5*time.Second {
		time.Sleep(time.Duration(100+r.IntN(1500)) * time.Millisecond)
		e := l.entries[r.IntN(len(l.entries))]
		x := l.executors[r.IntN(len(l.executors))]
		d := time.Duration(100+r.IntN(3400)) * time.Millisecond
		what := r.IntN(9)
		mu.Lock()
		if what <= 3 {
			if busy[e] {
				mu.Unlock()
				continue
			}
			busy[e] = true
		}
		mu.Unlock()
		wg.Go(func() {
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				if what <= 3 {
					busy[e] = false
				}
			}()
			switch what {
			case 0:
				l.note("fault: freeze", e.name, d)
				e.signal(syscall.SIGSTOP)
				time.Sleep(d)
				e.signal(syscall.SIGCONT)
			case 1:
				l.note("fault: kill", e.name)
				e.signal(syscall.SIGKILL)
				<-e.done
				time.Sleep(d / 3)
				_ = e.start()
			case 2:
				l.note("fault: term", e.name)
				e.signal(syscall.SIGTERM)
				select {
				case <-e.done:
				case <-time.After(6 * time.Second):
					e.signal(syscall.SIGKILL)
					<-e.done
				}
				_ = e.start()
			case 3:
				l.note("fault: store cut", e.name, d)
				e.proxy.setCut(true)
				time.Sleep(d)
				e.proxy.setCut(false)
			case 4:
				x.crash()
				time.Sleep(d / 2)
				_ = x.boot(x.kind)
			case 7, 8:
				l.note("fault: executor cut", x.id, d)
				cuts[x].setCut(true)
				time.Sleep(d)
				cuts[x].setCut(false)
			case 5, 6:
				l.note("fault: late orders", x.id, d)
				x.setLate(0.4)
				time.Sleep(d)
				x.setLate(0)
			}
		})
	}
	wg.Wait()
}

func (l *lab) judgeMix(jobs map[string]*mixJob) bool {
	broken := false
	bad := func(args ...any) {
		l.note("BROKEN", args...)
		broken = true
	}
	starts := l.startEvents()
	started := map[string]bool{}
	for _, s := range starts {
		f := strings.Split(s.task, ".")
		j := jobs[f[0]]
		started[f[0]] = true
		if _, _, requires := parseSpec(s.spec); requires != "" && !slices.Contains(s.labels, requires) {
			bad("ROUTE label", s.task, "on", s.executor)
		}
		if f[2] == "1" {
			done := map[string]bool{}
			for _, o := range starts {
				if strings.HasPrefix(o.task, f[0]+".0.0.") {
					if end, ok := l.endOf(o); ok && end <= s.at && l.doneOf(o) {
						done[o.task] = true
					}
				}
			}
			if len(done) < j.counts[0] {
				bad("ORDER", s.task, "at", s.at, len(done), "of", j.counts[0])
			}
		}
		if s.spec != j.spec {
			bad("UNASKED spec", s.task)
		}
		if !s.guards && s.used > s.cpu {
			bad("LIMIT", s.task, "run", s.run, "on", s.executor, s.used, "of", s.cpu, "at", s.at, "late", s.late)
		}
		if j.max > 0 && s.sameStep > j.max {
			bad("ROUTE maxPerServer", s.task, "run", s.run, "on", s.executor, s.sameStep, "of", j.max, "at", s.at, "late", s.late)
		}
		if j.cancelledAt > 0 && s.at > j.cancelledAt+cancelBound {
			bad("UNASKED start after cancel", s.task, "at", s.at, "cancelled", j.cancelledAt)
		}
		if end, ok := l.endOf(s); j.cancelledAt > 0 && (!ok || end > j.cancelledAt+cancelBound+stopBound) {
			bad("UNASKED runs after cancel", s.task, "at", s.at, "to", end, "cancelled", j.cancelledAt, "late", s.late)
		}
	}
	for id, j := range jobs {
		refused := !slices.ContainsFunc(j.statuses, func(s int) bool { return s != 503 && s != 429 && s != 404 }) && len(j.statuses) > 0
		if refused && started[id] {
			bad("REFUSED", id, j.statuses)
		}
	}
	l.note("jobs", len(jobs), "starts", len(starts))
	return broken
}
