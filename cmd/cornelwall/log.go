package main

import (
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

const (
	maxBufferedLogLines = 4096
	logFlushTimeout     = 100 * time.Millisecond
)

var logLinesDropped = metrics.NewCounter("cornelwall_log_lines_dropped_total")

// newLog returns a logger that writes one line of key=value pairs for each event.
func newLog(w io.Writer, verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// lineWriter writes lines in a goroutine of its own, so that a stalled reader of the log does not
// block the program. Lines that do not fit into the buffer are dropped and counted.
type lineWriter struct {
	lines chan []byte
	done  chan struct{}
}

func newLineWriter(to io.Writer) *lineWriter {
	w := &lineWriter{lines: make(chan []byte, maxBufferedLogLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			if line == nil {
				return
			}
			if _, err := to.Write(line); err != nil {
				logLinesDropped.Inc()
			}
		}
	}()
	return w
}

// Write queues one line.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		logLinesDropped.Inc()
	}
	return len(line), nil
}

// close writes the queued lines, for at most logFlushTimeout. Later lines are lost.
func (w *lineWriter) close() {
	t := time.NewTimer(logFlushTimeout)
	defer t.Stop()
	select {
	case w.lines <- nil:
	case <-t.C:
		return
	}
	select {
	case <-w.done:
	case <-t.C:
	}
}
