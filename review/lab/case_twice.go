package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["twice"] = twiceCase }

const (
	twiceLength    = 40 * time.Second
	twiceEntries   = 4 // of each zone
	twiceExecutors = 7 // of each zone
	twiceCores     = 4000
	twiceInterval  = 44 * time.Millisecond  // between two jobs, on average
	labStall       = 40 * time.Millisecond  // from which a delay of the lab's own process is noted
	shortestTurn   = 200 * time.Microsecond // that a starved process runs
	longestTurn    = 20 * time.Millisecond
	callerPause    = 20 * time.Millisecond // least time before a client leaves
)

var twiceQueue = route{Name: "q", Host: "q.example", Prefix: "/q/", Type: "unsafe", Timeout: 3400, Target: 200, Service: "svc", Attempts: 3, Stretch: 3}

// manner is what a client does.
type manner int

const (
	mannerWait     manner = iota // it waits until its deadline
	mannerLeave                  // it closes the connection before
	mannerHalfOpen               // so it does, and its entry learns of it late or never
)

// twiceLab is the lab of twiceCase.
type twiceLab struct {
	*lab
	net      *network
	callers  map[*entry]*relay
	halfOpen map[*entry]*relay

	mu        sync.Mutex
	halfJobs  map[string]bool // jobs whose entry may have learned late that a client left
	disturbed map[*entry]bool
	seen      map[string]int // statuses
}

// twiceCase plays planned stops in turn, starved and frozen entries and bad links, while clients leave and
// come again, and judges TWICE. SEED draws the day, HALFOPEN=0 leaves half-open connections out,
// and with DAY=starved entries are stopped, starved and frozen only.
func twiceCase(l *lab, trouble bool) (bool, error) {
	var seed uint64 = 1
	if s := os.Getenv("SEED"); s != "" {
		_, _ = fmt.Sscan(s, &seed)
	}
	l.note("seed", seed)
	t := &twiceLab{lab: l, net: newNetwork(), callers: map[*entry]*relay{}, halfOpen: map[*entry]*relay{}, halfJobs: map[string]bool{}, disturbed: map[*entry]bool{}, seen: map[string]int{}}
	defer t.net.close()
	l.anonymous = true
	l.store.putConfig(1, true, twiceQueue)
	if err := t.build(); err != nil {
		return false, err
	}
	if err := l.startEntries(); err != nil {
		return false, err
	}
	go t.watchLab()
	until := l.now() + twiceLength
	var wg sync.WaitGroup
	wg.Go(func() { t.submitJobs(rand.New(rand.NewPCG(seed, 21)), until) })
	if trouble {
		wg.Go(func() { t.stopInTurn(rand.New(rand.NewPCG(seed, 22)), until) })
		for i := range 3 {
			wg.Go(func() { t.disturb(rand.New(rand.NewPCG(seed, uint64(23+i))), until) })
		}
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	return t.judge(), nil
}

// build adds the executors and the entries, each behind its relays.
func (t *twiceLab) build() error {
	k := kind{cpu: twiceCores, labels: []string{"a", "r1"}, guards: true}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for i := range twiceExecutors {
			x, err := t.addExecutor(fmt.Sprintf("i-%s-%02d", zone, i+1), "svc", zone, k)
			if err != nil {
				return err
			}
			r, err := t.net.relayTo(x.addr, x.id)
			if err != nil {
				return err
			}
			go r.serve()
			x.setShown(r.addr())
		}
		for i := range twiceEntries {
			e, err := t.addEntry(fmt.Sprintf("edge-%s-%02d", zone, i+1), zone)
			if err != nil {
				return err
			}
			if err := t.relayEntry(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// relayEntry opens the relays before an entry: one for its peers and two for its clients.
func (t *twiceLab) relayEntry(e *entry) error {
	peers, err := t.net.relayTo(e.control, e.name)
	if err != nil {
		return err
	}
	peers.from = func(first []byte) string { return t.nameIn(first) }
	e.announce = peers.addr()
	go peers.serve()
	if t.callers[e], err = t.net.relayTo(e.callers, callersOf(e)); err != nil {
		return err
	}
	go t.callers[e].serve()
	if t.halfOpen[e], err = t.net.relayTo(e.callers, callersOf(e)); err != nil {
		return err
	}
	t.halfOpen[e].closeLag = func() (time.Duration, bool) {
		return 300*time.Millisecond + rand.N(3*time.Second), rand.IntN(3) == 0
	}
	go t.halfOpen[e].serve()
	return nil
}

// callersOf names the way between an entry and its clients.
func callersOf(e *entry) string { return "callers of " + e.name }

// watchLab notes when the lab's own process stood still: the executors then end runs late.
func (t *twiceLab) watchLab() {
	for last := time.Now(); ; {
		time.Sleep(tick)
		now := time.Now()
		if d := now.Sub(last); d > labStall {
			t.note("lab stood still", d)
		}
		last = now
	}
}

// submitJobs lets clients hand in jobs.
func (t *twiceLab) submitJobs(r *rand.Rand, until time.Duration) {
	var wg sync.WaitGroup
	for n := 1; t.now() < until; n++ {
		time.Sleep(time.Duration(r.Int64N(2 * int64(twiceInterval))))
		d := time.Duration(60+r.IntN(840)) * time.Millisecond
		c := client{
			id: jobID(n), body: jobBody(1+r.IntN(4), 1000+1000*r.IntN(2), d, ""), rnd: rand.New(rand.NewPCG(r.Uint64(), r.Uint64())),
			deadline: time.Duration(1500+r.IntN(1900)) * time.Millisecond,
		}
		wg.Go(func() { t.play(&c) })
	}
	wg.Wait()
}

// client hands in one job until it is answered.
type client struct {
	id       string
	body     string
	rnd      *rand.Rand
	deadline time.Duration
}

const maxTries = 4

func (t *twiceLab) play(c *client) {
	last := -1
	for try := range maxTries {
		how, wait := mannerWait, c.deadline
		switch k := c.rnd.IntN(20); {
		case k < 7:
			how = mannerLeave
		case k < 9 && os.Getenv("HALFOPEN") != "0":
			how = mannerHalfOpen
		}
		if how != mannerWait {
			wait = callerPause + time.Duration(c.rnd.Int64N(int64(1200*time.Millisecond))) - answerSlack
		}
		i := c.rnd.IntN(len(t.entries))
		if i == last {
			i = (i + 1) % len(t.entries)
		}
		last = i
		e := t.entries[i]
		addr := t.callers[e].addr()
		if how == mannerHalfOpen {
			addr = t.halfOpen[e].addr()
		}
		t.note("client POST", c.id, "to", e.name, "try", try+1, "how", how, "wait", wait+answerSlack, "deadline", c.deadline)
		status, text := requestWait("POST", addr, twiceQueue.Host, twiceQueue.Prefix+c.id, c.body, c.deadline, wait)
		t.note("client POST", c.id, "to", e.name, "try", try+1, "answered", status, text)
		t.mu.Lock()
		t.seen[fmt.Sprint(status)]++
		if status == 0 && (how == mannerHalfOpen || t.net.isImpaired(callersOf(e))) {
			t.halfJobs[c.id] = true
		}
		t.mu.Unlock()
		if status != 0 && status != 502 && status != 504 {
			return
		}
		time.Sleep(retryDelay)
	}
}

// take marks an entry as disturbed, and returns whether it was not.
func (t *twiceLab) take(e *entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.disturbed[e] {
		return false
	}
	t.disturbed[e] = true
	return true
}

func (t *twiceLab) give(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.disturbed, e)
}

// stopInTurn stops the entries as planned, one after the other, and some again soon after.
func (t *twiceLab) stopInTurn(r *rand.Rand, until time.Duration) {
	var wg sync.WaitGroup
	for i := r.IntN(len(t.entries)); t.now() < until-6*time.Second; i++ {
		e := t.entries[i%len(t.entries)]
		again, wait := r.IntN(3) == 0, time.Duration(r.IntN(2500))*time.Millisecond
		cut := time.Duration(0)
		if r.IntN(3) == 0 {
			cut = time.Duration(500+r.IntN(6000)) * time.Millisecond
		}
		if t.take(e) {
			wg.Go(func() {
				defer t.give(e)
				t.restart(e, cut)
				if again {
					time.Sleep(wait)
					t.restart(e, 0)
				}
			})
		}
		time.Sleep(time.Duration(200+r.IntN(2200)) * time.Millisecond)
	}
	wg.Wait()
}

// restart stops an entry as planned and starts it. For a time after the start it may be cut off from the
// store and its peers.
func (t *twiceLab) restart(e *entry, cut time.Duration) {
	t.note("fault: term", e.name, "then cut for", cut)
	e.signal(syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(stopTimeout):
		t.note("fault: kill after term", e.name)
		e.signal(syscall.SIGKILL)
		<-e.done
	}
	if cut > 0 {
		t.cut(e, true)
		defer t.cut(e, false)
		if cut < time.Second { // mostly its clients reach it
			t.net.impair(callersOf(e), impairment{cut: true})
			defer t.net.impair(callersOf(e), impairment{})
		}
	}
	if err := e.start(); err != nil {
		t.note("entry", e.name, "cannot be started:", err)
	}
	time.Sleep(cut)
}

// cut cuts an entry off from the store and its peers, or heals it.
func (t *twiceLab) cut(e *entry, cut bool) {
	t.net.impair(e.name, impairment{cut: cut})
	e.proxy.setCut(cut)
}

// disturb plays one disturbance of an entry after the other.
func (t *twiceLab) disturb(r *rand.Rand, until time.Duration) {
	for t.now() < until-4*time.Second {
		time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
		e, o := t.entries[r.IntN(len(t.entries))], t.entries[r.IntN(len(t.entries))]
		d := time.Duration(500+r.IntN(3500)) * time.Millisecond
		kind, share, lag := r.IntN(12), 0.02+0.2*r.Float64(), time.Duration(50+r.IntN(350))*time.Millisecond
		if os.Getenv("DAY") == "starved" {
			kind %= 4
		}
		if !t.take(e) {
			continue
		}
		t.disturbOnce(r, kind, e, o, d, share, lag)
		t.give(e)
	}
}

func (t *twiceLab) disturbOnce(r *rand.Rand, kind int, e, o *entry, d time.Duration, share float64, lag time.Duration) {
	switch kind {
	case 0, 1, 2:
		t.note("fault: starve", e.name, d)
		t.starve(r, e, d)
	case 3:
		t.note("fault: freeze", e.name, d)
		e.signal(syscall.SIGSTOP)
		time.Sleep(d)
		e.signal(syscall.SIGCONT)
	case 4:
		t.note("fault: cut", e.name, d)
		t.cut(e, true)
		t.net.impair(callersOf(e), impairment{cut: true})
		time.Sleep(d)
		t.cut(e, false)
		t.net.impair(callersOf(e), impairment{})
	case 10, 11:
		t.note("fault: cut off from store and peers", e.name, d)
		t.cut(e, true)
		time.Sleep(d)
		t.cut(e, false)
	case 5:
		t.note("fault: loss", e.name, d, share)
		t.net.impair(e.name, impairment{loss: share})
		t.net.impair(callersOf(e), impairment{loss: share})
		time.Sleep(d)
		t.net.impair(e.name, impairment{})
		t.net.impair(callersOf(e), impairment{})
	case 6:
		t.note("fault: lag", e.name, d, lag)
		t.net.impair(e.name, impairment{lag: lag})
		t.net.impair(callersOf(e), impairment{lag: lag})
		time.Sleep(d)
		t.net.impair(e.name, impairment{})
		t.net.impair(callersOf(e), impairment{})
	case 7:
		t.note("fault: one-way cut", e.name, o.name, d)
		t.net.impairWay(way{e.name, o.name}, impairment{cut: true})
		time.Sleep(d)
		t.net.impairWay(way{e.name, o.name}, impairment{})
	case 8:
		t.note("fault: reset", e.name)
		t.net.reset(e.name)
		t.net.reset(callersOf(e))
	case 9:
		x := t.executors[r.IntN(len(t.executors))]
		t.note("fault: executor links", x.id, d, share)
		t.net.impair(x.id, impairment{cut: share > 0.12, loss: share})
		time.Sleep(d / 2)
		t.net.impair(x.id, impairment{})
	}
	t.note("fault over:", e.name)
}

// starve lets a process run for short times only.
func (t *twiceLab) starve(r *rand.Rand, e *entry, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		e.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(100+r.IntN(170)) * time.Millisecond)
		e.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(float64(shortestTurn) * math.Pow(float64(longestTurn/shortestTurn), r.Float64())))
	}
}

// judge judges TWICE, and tells apart the jobs with half-open connections.
func (t *twiceLab) judge() bool {
	l := t.lab
	broken := l.judgeTwice()
	l.mu.Lock()
	lines := append([]string(nil), l.lines...)
	l.mu.Unlock()
	half, plain := 0, 0
	for _, line := range lines {
		_, rest, ok := strings.Cut(line, "TWICE broken: ")
		if !ok {
			continue
		}
		if id, _, _ := strings.Cut(rest, "."); t.halfJobs[id] {
			half++
		} else {
			plain++
			l.note("TWICE without a half-open connection:", rest)
		}
	}
	again, jobs := 0, map[string]int{}
	starts := l.startEvents()
	for _, s := range starts {
		if jobs[s.task]++; jobs[s.task] > 1 {
			again++
		}
	}
	l.note("starts", len(starts), "second starts", again, "TWICE", plain, "TWICE with half-open connections", half, "half-open jobs", len(t.halfJobs), "answers", t.seen)
	return broken
}
