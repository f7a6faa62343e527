package main

import (
	"fmt"
	"slices"
	"time"
)

func init() {
	scenarios["label"] = labelCase
	scenarios["capacity"] = capacityCase
}

const crashedFor = time.Second // of the executor

// rebootCase lets an executor of kind before crash under load and start again, under its id and its
// address, as one of kind after. Without trouble the executor runs on.
func rebootCase(l *lab, trouble bool, before, after kind, body string) error {
	l.store.putConfig(1, before.guards, seatQueue)
	for i := range 4 {
		if _, err := l.addExecutor(fmt.Sprintf("i-%d", i+1), "svc", "zone-a", before); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := l.addEntry(fmt.Sprintf("edge-zone-a-%d", i+1), "zone-a"); err != nil {
			return err
		}
	}
	if err := l.startEntries(); err != nil {
		return err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		l.load(&seatQueue, jobInterval, jobDeadline, body, stop)
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		x := l.executors[0]
		x.crash()
		time.Sleep(crashedFor)
		if err := x.boot(after); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	<-ended
	return nil
}

// labelCase judges ROUTE: each task requires a label that the executor has lost with its new boot.
func labelCase(l *lab, trouble bool) (bool, error) {
	before := kind{cpu: 16000, labels: []string{"a", "r1"}, guards: true}
	after := before
	after.labels = []string{"b", "r1"}
	if err := rebootCase(l, trouble, before, after, jobBody(2, jobCores, jobTime, "a")); err != nil {
		return false, err
	}
	broken := false
	for _, s := range l.startEvents() {
		if _, _, requires := parseSpec(s.spec); requires != "" && !slices.Contains(s.labels, requires) {
			l.note("ROUTE broken:", s.task, "run", s.run, "requires", requires, "and was started on", s.executor, "with", s.labels, "at", s.at)
			broken = true
		}
	}
	return broken, nil
}

// capacityCase judges LIMIT: the new boot of an executor that starts whatever it is told to has half
// of the cores.
func capacityCase(l *lab, trouble bool) (bool, error) {
	before := kind{cpu: 16000, labels: []string{"a", "r1"}}
	after := kind{cpu: 8000, labels: []string{"b", "r1"}}
	if err := rebootCase(l, trouble, before, after, jobBody(2, jobCores, jobTime, "")); err != nil {
		return false, err
	}
	broken := false
	for _, s := range l.startEvents() {
		if !s.guards && s.used > s.cpu {
			l.note("LIMIT broken:", s.task, "run", s.run, "was started on", s.executor, "and brought it to", s.used, "of", s.cpu, "at", s.at)
			broken = true
		}
	}
	return broken, nil
}
