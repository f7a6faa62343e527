package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu        sync.Mutex
	startedAt time.Time
	lines     []string
}

func newRecord() *record { return &record{startedAt: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

func (r *record) writeTo(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
