package fuzz

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// loadFigures are the figures of the service in a log line load.
type loadFigures struct {
	demand, capacity float64
	entries, members int
	age              time.Duration
}

// readLoadFigures reads them from the pairs of a line.
func readLoadFigures(pairs []any) (f loadFigures, ok bool) {
	for i := 0; i+1 < len(pairs); i += 2 {
		switch text := fmt.Sprint(pairs[i+1]); pairs[i] {
		case "demand":
			_, _ = fmt.Sscanf(text, service+":%f", &f.demand)
		case "capacity":
			_, _ = fmt.Sscanf(text, service+":%f", &f.capacity)
		case "entries":
			n, _ := fmt.Sscanf(text, service+":%d/%d", &f.entries, &f.members)
			ok = n == 2
		case "age":
			age, _ := strings.CutPrefix(text, service+":")
			f.age, _ = time.ParseDuration(age)
		}
	}
	return f, ok
}

// TestFleetLoad runs 1.3 times the capacity at 45 entries, of which 16 cores of an endpoint take two tasks of 6.8. An entry that
// counted others twice, or their demand without their capacity, would see another load than there is; one that heard of few
// entries would know little more than its own queue tells.
func TestFleetLoad(t *testing.T) {
	const (
		share      = 1.3
		duration   = 4 * time.Second
		warmUp     = 2 * time.Second
		minEntries = 15.0 // counted, on average
		tolerance  = 0.1  // of the demand / capacity
	)
	r := newSizedRig(1, mutation{}, 0, size{entries: 45, endpoints: 350, dataCentres: 3})
	r.exactRunTimes, r.objective = true, objectiveMargin
	r.changeQueueConfig()
	r.w.Advance(2 * time.Second)
	var lines []loadFigures
	from, until := r.w.Now.Add(warmUp), r.w.Now.Add(duration)
	handle := r.w.OnOutput
	r.w.OnOutput = func(h *fake.Host, cmd cornelwall.Command) {
		if l, ok := cmd.(cornelwall.Log); ok && l.Event == "load" && r.w.Now.After(from) && r.w.Now.Before(until) {
			f, ok := readLoadFigures(l.Pairs)
			assert.Assert(t, ok, "%v", l.Pairs)
			lines = append(lines, f)
		}
		handle(h, cmd)
	}
	r.playLoadFor(duration, share)
	assert.Assert(t, len(lines) > 0)
	var entries, ratio float64
	for _, f := range lines {
		entries += float64(f.entries) / float64(len(lines))
		ratio += f.demand / f.capacity / float64(len(lines))
		assert.Assert(t, f.entries <= f.members && f.capacity <= 350*16 && f.age <= time.Second, "%+v", f)
	}
	want := share * 2 * 6.8 / 16
	t.Logf("%d lines, on average %.1f entries, demand/capacity %.3f, truly %.3f", len(lines), entries, ratio, want)
	assert.Assert(t, entries >= minEntries && math.Abs(ratio-want) <= tolerance*want, "%.1f entries, demand/capacity %.3f", entries, ratio)
}
