package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["shrink"] = shrinkCase }

const (
	shrinkEntries   = 6
	shrinkExecutors = 8
	shrinkZones     = 2
	shrinkFor       = 45 * time.Second // length of the play
	shrinkInterval  = 30 * time.Millisecond
	shrinkJob       = 300 * time.Millisecond
	fullCores       = 16000
	fewestCores     = 5000
	stableWindow    = 3 * time.Second
	shrinkCutFor    = 5 * time.Second
	leaveAfter      = 150 * time.Millisecond // some clients leave before their jobs are done
)

// shrinkCase judges LIMIT: executors that don't guard their capacity report less of it while they run, and
// more again. Entries are cut off from the store, killed, stopped and frozen meanwhile, and clients leave, so that
// tasks are being stopped.
func shrinkCase(l *lab, trouble bool) (bool, error) {
	var seed uint64 = 1
	if s := os.Getenv("SEED"); s != "" {
		_, _ = fmt.Sscan(s, &seed)
	}
	l.store.putConfig(1, false, seatQueue)
	zone := func(i int) string { return "zone-" + string(rune('a'+i%shrinkZones)) }
	for i := range shrinkExecutors {
		if _, err := l.addExecutor(fmt.Sprintf("i-%d", i+1), "svc", zone(i), kind{cpu: fullCores, labels: []string{"a", "r1"}}); err != nil {
			return false, err
		}
	}
	for i := range shrinkEntries {
		if _, err := l.addEntry(fmt.Sprintf("edge-%s-%d", zone(i), i/shrinkZones+1), zone(i)); err != nil {
			return false, err
		}
	}
	if err := l.startEntries(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	until := l.now() + shrinkFor
	wg.Go(func() { l.shrinkLoad(rand.New(rand.NewPCG(seed, 1)), until) })
	wg.Go(func() { l.changeCapacities(rand.New(rand.NewPCG(seed, 2)), until, trouble) })
	disturbed := &disturbances{}
	if trouble {
		wg.Go(func() { l.shrinkFaults(rand.New(rand.NewPCG(seed, 3)), until, disturbed) })
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	broken := l.judgeRoom(disturbed)
	return l.judgeTwice() || broken, nil
}

// shrinkLoad hands in more jobs than there is room for. The clients of some leave early.
func (l *lab) shrinkLoad(r *rand.Rand, until time.Duration) {
	var wg sync.WaitGroup
	for n := 1; l.now() < until; n++ {
		time.Sleep(shrinkInterval)
		wait := jobDeadline
		if r.IntN(3) == 0 {
			wait = leaveAfter + rand.N(leaveAfter) - answerSlack
		}
		e, body := l.entries[r.IntN(len(l.entries))], jobBody(1+r.IntN(4), fewestCores-200, shrinkJob, "")
		wg.Go(func() {
			status, _ := requestWait("POST", e.callers, seatQueue.Host, seatQueue.Prefix+jobID(n), body, jobDeadline, wait)
			l.note("client", "POST", jobID(n), "to", e.name, "answered", status)
		})
	}
	wg.Wait()
}

// changeCapacities lets executors shrink and grow in turn. An executor reports a change at once or with its
// next heartbeat.
func (l *lab) changeCapacities(r *rand.Rand, until time.Duration, trouble bool) {
	for l.now() < until {
		time.Sleep(time.Duration(100+r.IntN(700)) * time.Millisecond)
		x, now := l.executors[r.IntN(len(l.executors))], r.IntN(2) == 0
		if !trouble {
			continue
		}
		x.mu.Lock()
		cpu := fullCores
		if x.kind.cpu == fullCores {
			cpu = []int{fewestCores, 2 * fewestCores, fewestCores - 1000}[r.IntN(3)]
		}
		x.kind.cpu = cpu
		x.mu.Unlock()
		l.note("executor", x.id, "has", cpu, "from now on, and reports it at once:", now)
		if now {
			x.report()
		}
	}
}

// disturbances records when entries were disturbed.
type disturbances struct {
	mu    sync.Mutex
	spans map[string][][2]time.Duration // by entry; an open one ends at 0
}

func (d *disturbances) begin(e *entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spans == nil {
		d.spans = map[string][][2]time.Duration{}
	}
	d.spans[e.name] = append(d.spans[e.name], [2]time.Duration{e.lab.now(), 0})
}

func (d *disturbances) end(e *entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans[e.name][len(d.spans[e.name])-1][1] = e.lab.now()
}

// inTouch reports whether an entry had not been disturbed for stableWindow at a time.
func (d *disturbances) inTouch(name string, at time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans[name] {
		if s[0] <= at && (s[1] == 0 || s[1] > at-stableWindow) {
			return false
		}
	}
	return true
}

// shrinkFaults cuts entries off from the store, kills, stops and freezes them, up to half of them at once.
func (l *lab) shrinkFaults(r *rand.Rand, until time.Duration, d *disturbances) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, shrinkEntries/2)
	for l.now() < until-stableWindow {
		time.Sleep(time.Duration(300+r.IntN(2000)) * time.Millisecond)
		e, what, length := l.entries[r.IntN(len(l.entries))], r.IntN(4), time.Duration(500+r.IntN(int(shrinkCutFor.Milliseconds())))*time.Millisecond
		if !e.faulty.CompareAndSwap(false, true) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { e.faulty.Store(false); <-slots }()
			d.begin(e)
			defer d.end(e)
			switch what {
			case 0:
				l.note("fault: store cut", e.name, length)
				e.proxy.setCut(true)
				time.Sleep(length)
				e.proxy.setCut(false)
			case 1:
				l.restart(e, syscall.SIGKILL)
			case 2:
				l.restart(e, syscall.SIGTERM)
			case 3:
				l.note("fault: freeze", e.name, length/2)
				e.signal(syscall.SIGSTOP)
				time.Sleep(length / 2)
				e.signal(syscall.SIGCONT)
			}
		})
	}
	wg.Wait()
}

// judgeRoom judges LIMIT: a start on the order of an entry in touch brings an executor over all that it has
// reported since a stableWindow and a heartbeat before. Starts over what it reported last are counted.
func (l *lab) judgeRoom(d *disturbances) bool {
	broken, over, outOfTouch := false, 0, 0
	starts := l.startEvents()
	for _, s := range starts {
		if s.used <= s.cpu {
			continue
		}
		over++
		most := l.store.mostCores(s.executor, s.at-stableWindow-heartbeat, s.at)
		if s.used <= most {
			continue
		}
		inTouch := d.inTouch(s.caller, s.at)
		l.note("LIMIT:", s.task, "run", s.run, "by", s.caller, "brought", s.executor, "to", s.used, "of", most, "at", s.at, "by an entry in touch:", inTouch)
		if inTouch {
			broken = true
		} else {
			outOfTouch++
		}
	}
	l.note("starts", len(starts), "over the capacity of the moment", over, "over what was reported long enough ago, by entries out of touch", outOfTouch)
	return broken
}
