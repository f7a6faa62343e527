package main

import (
	"fmt"
	"time"
)

func init() { scenarios["foreign"] = foreignCase }

const (
	longJob      = 1500 * time.Millisecond
	longDeadline = 6 * time.Second
	longInterval = 250 * time.Millisecond
	foreignTimes = 8 // entries of the other writer, one for each executor
)

// foreignCase lets another writer put entries with missing fields under the keys of the executors, one
// after the other. Each has the address of another executor.
func foreignCase(l *lab, trouble bool) (bool, error) {
	queue := seatQueue
	queue.Timeout = int(longDeadline.Milliseconds())
	l.store.putConfig(1, true, queue)
	k := kind{cpu: 16000, labels: []string{"a", "r1"}, guards: true}
	for i := range foreignTimes {
		if _, err := l.addExecutor(fmt.Sprintf("i-%d", i+1), queue.Service, "zone-a", k); err != nil {
			return false, err
		}
	}
	for i := range 3 {
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
		l.load(&queue, longInterval, longDeadline, jobBody(2, jobCores, longJob, ""), stop)
	}()
	for i := range foreignTimes {
		time.Sleep(time.Second)
		x, y := l.executors[i], l.executors[(i+1)%foreignTimes]
		x.awaitReport()
		time.Sleep(10 * time.Millisecond)
		if trouble {
			// zone, version, slots, coldMs, seq, clockMs and born are missing.
			l.store.put("servers/"+x.id, map[string]any{
				"service": queue.Service, "address": y.addr, "state": "ready", "labels": k.labels,
				"capacity": map[string]any{"cpu": k.cpu, "memMb": 65536, "gpu": 0},
			})
			l.note("another writer puts servers/"+x.id, "with the address of", y.id)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	<-ended
	return l.judgeTwice(), nil
}
