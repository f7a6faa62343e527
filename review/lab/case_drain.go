package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { scenarios["drain"] = drainCase }

const (
	cutFor      = 4 * time.Second // core_cut with race: two machines at once
	lingerAfter = 6 * time.Second // that the executor serves on after it has reported draining
	drainJob    = 400 * time.Millisecond
	calmFor     = 6 * time.Second // without any disturbance, before each cut
)

// drainCase cuts two entries of a zone of four off from the store, and lets an executor of the zone
// drain meanwhile, three times.
func drainCase(l *lab, trouble bool) (bool, error) {
	l.store.putConfig(1, true, seatQueue)
	k := kind{cpu: 16000, labels: []string{"a", "r1"}, guards: true}
	for i := range 16 {
		if _, err := l.addExecutor(fmt.Sprintf("i-%d", i+1), "svc", "zone-a", k); err != nil {
			return false, err
		}
	}
	for i := range 4 {
		if _, err := l.addExecutor(fmt.Sprintf("j-%d", i+1), "svc", "zone-b", k); err != nil {
			return false, err
		}
		if _, err := l.addEntry(fmt.Sprintf("edge-zone-a-%d", i+1), "zone-a"); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if _, err := l.addEntry(fmt.Sprintf("edge-zone-b-%d", i+1), "zone-b"); err != nil {
			return false, err
		}
	}
	if err := l.startEntries(); err != nil {
		return false, err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		l.load(&seatQueue, jobInterval, jobDeadline, jobBody(4, jobCores, drainJob, ""), stop)
	}()
	broken := false
	for _, x := range []*executor{l.executors[12], l.executors[15], l.executors[14]} {
		time.Sleep(calmFor)
		broken = l.drainRound(x, l.entries[:2], l.entries[2:], trouble) || broken
	}
	close(stop)
	<-ended
	return broken, nil
}

// drainRound cuts entries off from the store while an executor drains, and judges DRAIN.
func (l *lab) drainRound(x *executor, cut, calm []*entry, trouble bool) bool {
	for from := l.now(); l.store.firstRead(from, cut) == 0; {
		time.Sleep(tick)
	}
	time.Sleep(50 * time.Millisecond)
	for _, e := range cut {
		if trouble {
			e.proxy.setCut(true)
			l.note("entry", e.name, "is cut off from the store")
		}
	}
	cutAt := l.now()
	x.drain()
	drainedAt := l.now()
	time.Sleep(cutFor - (l.now() - cutAt))
	for _, e := range cut {
		e.proxy.setCut(false)
	}
	l.note("the cut is over")
	time.Sleep(lingerAfter - (l.now() - drainedAt))
	l.store.drop("servers/" + x.id)
	x.crash()
	ack := l.store.firstRead(drainedAt, calm)
	l.note("the first entry in touch has read that", x.id, "drains", ack-drainedAt, "after the store accepted it")
	broken := false
	for _, s := range l.startEvents() {
		if s.executor != x.id || ack == 0 || s.at <= ack+drainBound {
			continue
		}
		inTouch := slices.ContainsFunc(calm, func(e *entry) bool { return e.name == s.caller })
		l.note("start", s.task, "run", s.run, "on", s.executor, "by", s.caller, s.at-drainedAt, "after the store accepted draining and", s.at-ack, "after an entry in touch read it; by an entry in touch:", inTouch)
		broken = broken || inTouch
	}
	return broken
}
