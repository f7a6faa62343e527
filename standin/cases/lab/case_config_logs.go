//go:build caselab

package main

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// declared is a configuration that an entry has taken, by its log.
type declared struct {
	at      time.Duration // since the lab was started
	version int
}

// configLogs is what the logs of the entries tell of the configuration. Programs may lack some of the lines.
type configLogs struct {
	taken    map[*entry][]declared
	sums     map[int]map[string]bool // by version
	sources  map[string]int          // "store" or "peer"
	asked    int
	served   int
	mostAsk  int // in one load line
	mostSent int
	behind   time.Duration // longest in a load line
	refused0 int           // counts refused without a configuration
}

// readConfigLogs reads the logs of all entries.
func (c *configLab) readConfigLogs() configLogs {
	logs := configLogs{taken: map[*entry][]declared{}, sums: map[int]map[string]bool{}, sources: map[string]int{}}
	for _, e := range c.entries {
		f, err := os.Open(filepath.Join(c.dir, e.name+".log"))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			logs.add(c.lab, e, fieldsOf(lines.Text()))
		}
		_ = f.Close()
	}
	return logs
}

// fieldsOf returns the fields of a line of key=value pairs.
func fieldsOf(line string) map[string]string {
	fields := map[string]string{}
	for _, f := range strings.Fields(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			fields[k] = v
		}
	}
	return fields
}

// add takes in a line of an entry's log.
func (l *configLogs) add(lab *lab, e *entry, f map[string]string) {
	number := func(key string) int { n, _ := strconv.Atoi(f[key]); return n }
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		return
	}
	switch f["msg"] {
	case "serving": // a new boot
		l.taken[e] = append(l.taken[e], declared{at.Sub(lab.startedAt), 0})
	case "declaration":
		v := number("version")
		l.taken[e] = append(l.taken[e], declared{at.Sub(lab.startedAt), v})
		if l.sums[v] == nil {
			l.sums[v] = map[string]bool{}
		}
		l.sums[v][f["sum"]] = true
		source := "peer"
		if f["source"] == "store" {
			source = "store"
		}
		l.sources[source]++
	case "load":
		l.asked, l.served = l.asked+number("asked"), l.served+number("served")
		l.mostAsk, l.mostSent = max(l.mostAsk, number("asked")), max(l.mostSent, number("served"))
		if d, err := time.ParseDuration(f["behind"]); err == nil {
			l.behind = max(l.behind, d)
		}
	case "count-refused":
		if number("version") == 0 {
			l.refused0++
		}
	}
}

// inForce returns the version that an entry had last taken at a time, or 0.
func (l *configLogs) inForce(e *entry, at time.Duration) int {
	version := 0
	for _, d := range l.taken[e] {
		if d.at <= at {
			version = d.version
		}
	}
	return version
}

// summarize notes what tells the causes apart.
func (l *configLogs) summarize(c *configLab) {
	mixed := 0
	for _, sums := range l.sums {
		if len(sums) > 1 {
			mixed++
		}
	}
	c.summary("logs: taken by source", l.sources, "asked", l.asked, "most in a second", l.mostAsk, "served", l.served, "most in a second", l.mostSent,
		"longest behind", l.behind, "counts refused without a configuration", l.refused0, "versions with two contents", mixed)
}
