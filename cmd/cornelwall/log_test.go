package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter is a log output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.written.Write(b)
}

// TestLogNeverBlocks checks that lines are dropped, and not waited for, while the output is blocked.
func TestLogNeverBlocks(t *testing.T) {
	to := &blockedWriter{release: make(chan struct{})}
	w := newLineWriter(to)
	log := newLog(w, false)
	before := logLinesDropped.Get()
	for range 2 * maxBufferedLogLines {
		log.Info("event", "n", 1)
	}
	assert.Assert(t, logLinesDropped.Get()-before >= maxBufferedLogLines-1)
	close(to.release)
	w.close()
	<-w.done
	log.Info("late")
	lines := strings.Count(to.written.String(), "msg=event n=1\n")
	assert.Assert(t, lines >= maxBufferedLogLines && lines <= maxBufferedLogLines+1, "%d", lines)
}
