package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["count"] = countCase }

const (
	memoryMb     = 284 // of a machine
	memoryCheck  = 5 * time.Millisecond
	restartDelay = 500 * time.Millisecond // of a process that was killed
	countTries   = 12                     // of the client
)

// residentMb returns the resident memory of a process in MiB, or 0 if it is not there.
func residentMb(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := strings.Fields(string(b))
	if err != nil || len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(f[1])
	return pages * os.Getpagesize() >> 20
}

// guardMemory does what the platform does with a process: it kills it when it exceeds the memory of
// its machine, and starts it again after a short delay.
func (e *entry) guardMemory(kills *atomic.Int32, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheck):
		}
		mb := residentMb(e.cmd.Process.Pid)
		if mb <= memoryMb {
			continue
		}
		e.signal(syscall.SIGKILL)
		<-e.done
		kills.Add(1)
		e.lab.note("platform kills", e.name, "at", mb, "MB of", memoryMb)
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			e.lab.note("entry", e.name, err)
			return
		}
	}
}

// countCase lets one client hand in one job with more tasks than any system can run.
func countCase(l *lab, trouble bool) (bool, error) {
	l.store.putConfig(1, true, seatQueue)
	for i := range 4 {
		if _, err := l.addExecutor(fmt.Sprintf("i-%d", i+1), "svc", "zone-a", kind{cpu: 16000, labels: []string{"a", "r1"}, guards: true}); err != nil {
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
	var kills [3]atomic.Int32
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, e := range l.entries {
		wg.Go(func() { e.guardMemory(&kills[i], stop) })
	}
	count := int64(4)
	if trouble {
		count = 1 << 62
	}
	step := map[string]any{"count": count, "cpu": 1000, "memMb": 64, "estimateMs": 100}
	body, err := json.Marshal(map[string]any{"spec": specOf(100*time.Millisecond, 1000, ""), "steps": []any{step, step}, "bestEffort": true})
	if err != nil {
		return false, err
	}
	for i := range countTries {
		status := l.submit(l.entries[i%3], &seatQueue, jobID(1), string(body), jobDeadline)
		if status != 0 && status != 502 && status != 504 {
			break // it is not sent again
		}
		time.Sleep(retryDelay)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	machines := 0
	for i := range kills {
		l.note("entry", l.entries[i].name, "has ended", kills[i].Load(), "times")
		if kills[i].Load() >= 3 {
			machines++
		}
	}
	return machines >= 2, nil
}
