//go:build caselab

package main

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	shortestFault = 2 * time.Second
	longestFault  = 8 * time.Second
	roundFaults   = 3 // most faults that overlap
	calmBetween   = 7 * time.Second
	faultShare    = 0.6 // of the entries, that the store turns away
	squeezedTo    = 0.1 // of the rate of a link
	historyEvery  = 200 * time.Millisecond
	longStall     = 200 * time.Millisecond // of the lab's own process, from which the store counts as losing answers
)

// effect is what a fault means for the rule.
type effect int

const (
	effectOwn  effect = iota // the entry or its link is disturbed
	effectLost               // the store loses answers
	effectAway               // the store turns entries away
)

// configSpan is the time of a fault.
type configSpan struct {
	effect   effect
	entry    *entry // nil: the store
	from, to time.Duration
}

// configSpans records when faults were under way.
type configSpans struct {
	mu   sync.Mutex
	list []*configSpan
}

// begin records the begin of a fault. The function that it returns records the end.
func (s *configSpans) begin(l *lab, what effect, e *entry) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := &configSpan{effect: what, entry: e, from: l.now(), to: 1 << 62}
	s.list = append(s.list, span)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		span.to = l.now()
	}
}

// noteStall records that the lab's own process stood still, and with it the store and all links.
func (c *configLab) noteStall(d time.Duration) {
	if d < longStall {
		return
	}
	c.spans.mu.Lock()
	defer c.spans.mu.Unlock()
	now := c.now()
	c.spans.list = append(c.spans.list, &configSpan{effect: effectLost, from: now - d, to: now})
}

// any reports whether a fault was under way between two times.
func (s *configSpans) any(what effect, e *entry, from, to time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(x *configSpan) bool {
		return x.effect == what && x.entry == e && x.from <= to && x.to >= from
	})
}

// configFault plays a fault until it is over.
type configFault func(c *configLab, r *rand.Rand, d time.Duration)

var configFaults = map[string]configFault{
	"silent":   storeFault(storeSilent),
	"503":      storeFault(storeUnavailable),
	"429":      storeFault(storeBusy),
	"reset":    storeFault(storeResets),
	"watch":    func(c *configLab, _ *rand.Rand, d time.Duration) { c.repeat(d, c.store.cutWatches) },
	"history":  func(c *configLab, _ *rand.Rand, d time.Duration) { c.repeat(d, c.loseHistory) },
	"freeze":   freezeFault,
	"kill":     killFault,
	"squeeze":  squeezeFault,
	"all":      func(c *configLab, r *rand.Rand, _ time.Duration) { c.killAll(r) },
	"blackout": blackoutFault,
}

func configFaultNames() []string { return slices.Sorted(maps.Keys(configFaults)) }

// playFaults plays rounds of faults that overlap, with calm between the rounds.
func (c *configLab) playFaults(r *rand.Rand, until time.Duration) {
	if len(c.settings.faults) == 0 {
		time.Sleep(until - c.now())
		return
	}
	for c.now() < until-longestFault-calmBetween {
		var wg sync.WaitGroup
		for range 1 + r.IntN(roundFaults) {
			name := c.settings.faults[r.IntN(len(c.settings.faults))]
			d := shortestFault + time.Duration(r.Int64N(int64(longestFault-shortestFault)))
			own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
			wg.Go(func() {
				c.note("fault:", name, d)
				configFaults[name](c, own, d)
				c.note("fault over:", name)
			})
			time.Sleep(time.Duration(r.Int64N(int64(shortestFault))))
		}
		wg.Wait()
		time.Sleep(calmBetween + time.Duration(r.Int64N(int64(calmBetween/2))))
	}
	time.Sleep(max(0, until-c.now()))
}

// storeFault returns a fault in which the store treats a share of the entries badly.
func storeFault(m storeManner) configFault {
	return func(c *configLab, r *rand.Rand, d time.Duration) {
		var some []*entry
		for _, e := range c.entries {
			if r.Float64() < faultShare {
				some = append(some, e)
			}
		}
		c.turnAway(m, some, d)
	}
}

// turnAway lets the store treat entries badly for a time.
func (c *configLab) turnAway(m storeManner, some []*entry, d time.Duration) {
	what := effectAway
	if m == storeSilent {
		what = effectLost
	}
	end := c.spans.begin(c.lab, what, nil)
	defer end()
	for _, e := range some {
		c.note("fault: store turns away", e.name)
	}
	c.store.setManner(m, some...)
	if m == storeResets {
		c.store.cutWatches()
	}
	time.Sleep(d)
	c.store.setManner(storeServes, some...)
}

// repeat does something again and again for a time. It is no disturbance of the rule's.
func (c *configLab) repeat(d time.Duration, do func()) {
	for until := c.now() + d; c.now() < until; time.Sleep(historyEvery) {
		do()
	}
}

// loseHistory discards the store's history and cuts the watches, so that they begin anew.
func (c *configLab) loseHistory() {
	c.store.dropHistory()
	c.store.cutWatches()
}

// takeOne marks an entry as faulty that is not, or returns nil.
func (c *configLab) takeOne(r *rand.Rand) *entry {
	if e := c.entries[r.IntN(len(c.entries))]; e.faulty.CompareAndSwap(false, true) {
		return e
	}
	return nil
}

func freezeFault(c *configLab, r *rand.Rand, d time.Duration) {
	if e := c.takeOne(r); e != nil {
		defer e.faulty.Store(false)
		defer c.spans.begin(c.lab, effectOwn, e)()
		c.note("fault: freeze", e.name, d)
		e.signal(syscall.SIGSTOP)
		time.Sleep(d)
		e.signal(syscall.SIGCONT)
	}
}

func killFault(c *configLab, r *rand.Rand, _ time.Duration) {
	if e := c.takeOne(r); e != nil {
		defer e.faulty.Store(false)
		c.kill(e, time.Duration(r.Int64N(int64(time.Second))))
	}
}

// kill kills an entry and starts it again after a delay.
func (c *configLab) kill(e *entry, delay time.Duration) {
	defer c.spans.begin(c.lab, effectOwn, e)()
	c.note("fault: kill", e.name)
	e.signal(syscall.SIGKILL)
	<-e.done
	time.Sleep(delay)
	if err := c.startEntry(e); err != nil {
		c.note("entry", e.name, "can't be started:", err)
	}
}

func squeezeFault(c *configLab, r *rand.Rand, d time.Duration) {
	if e := c.takeOne(r); e != nil {
		defer e.faulty.Store(false)
		defer c.spans.begin(c.lab, effectOwn, e)()
		c.note("fault: squeeze", e.name, d)
		c.net.setRate(e.name, c.rates[e]*squeezedTo)
		time.Sleep(d)
		c.net.setRate(e.name, c.rates[e])
	}
}

// killAll kills all entries at once, but for those that have another fault.
func (c *configLab) killAll(r *rand.Rand) {
	var wg sync.WaitGroup
	for _, e := range c.entries {
		delay := time.Duration(r.Int64N(int64(time.Second)))
		if e.faulty.CompareAndSwap(false, true) {
			wg.Go(func() {
				defer e.faulty.Store(false)
				c.kill(e, delay)
			})
		}
	}
	wg.Wait()
}

// blackoutFault kills all entries while the store turns all of them away.
func blackoutFault(c *configLab, r *rand.Rand, d time.Duration) {
	m := []storeManner{storeUnavailable, storeBusy, storeResets}[r.IntN(3)]
	var wg sync.WaitGroup
	wg.Go(func() { c.turnAway(m, c.entries, longestFault/2+d) })
	c.killAll(r)
	wg.Wait()
}
