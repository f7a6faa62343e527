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
	drainIndex  = 12 // of the executor that drains
)

// drainCase cuts two entries of a zone of four off from the store, and lets an executor of the zone
// drain meanwhile.
func drainCase(l *lab, trouble bool) (bool, error) {
	l.store.putConfig(1, true, seatQueue)
	k := kind{cpu: 16000, labels: []string{"a", "r1"}, guards: true}
	for i := range 16 {
		if _, err := l.addExecutor(fmt.Sprintf("i-%d", i+1), "svc", "zone-a", k); err != nil {
			return false, err
		}
	}
	for i := range 4 {
		if _, err := l.addEntry(fmt.Sprintf("edge-zone-a-%d", i+1), "zone-a"); err != nil {
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
	time.Sleep(6 * time.Second)
	cut := []*entry{l.entries[0], l.entries[1]}
	for _, e := range cut {
		if trouble {
			e.proxy.setCut(true)
			l.note("entry", e.name, "is cut off from the store")
		}
	}
	cutAt := l.now()
	time.Sleep(300 * time.Millisecond)
	x := l.executors[drainIndex]
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
	close(stop)
	<-ended
	broken := false
	for _, s := range l.startEvents() {
		if s.executor != x.id || s.at <= drainedAt+drainBound {
			continue
		}
		inTouch := s.caller != "unknown" && !slices.ContainsFunc(cut, func(e *entry) bool { return e.name == s.caller })
		l.note("start", s.task, "run", s.run, "on", s.executor, "by", s.caller, s.at-drainedAt, "after the store accepted draining; by an entry in touch:", inTouch)
		broken = broken || inTouch
	}
	return broken, nil
}
