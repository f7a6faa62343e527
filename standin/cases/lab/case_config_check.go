//go:build caselab

package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	configApply    = 3 * time.Second // configApplyMs
	configStretch  = 6 * time.Second // maxStretchMs
	configTouch    = 4 * time.Second // stableWindowMs
	configRollback = 250 * time.Millisecond
	slowedRollback = 8 * configRollback
	probeInterval  = 150 * time.Millisecond
	probeTimeout   = time.Second
)

// proof is what the answer to a request for a queue of a version tells of the version in force.
type proof int

const (
	proofNone  proof = iota
	proofOlder       // only a version before the one that is asked for allows it
	proofNewer       // that version or a later one is in force
)

// configProbe is a request for a queue, and its answer.
type configProbe struct {
	entry      *entry
	boot       int
	sent       time.Duration // since the lab was started
	answered   time.Duration
	version    int // index in configLab.versions
	wasDropped bool
	status     int
	proof      proof
	sinceBoot  time.Duration
}

// probe asks an entry for the newest queues, and for those that have to be in force, until stop is closed.
func (c *configLab) probe(e *entry, stop <-chan struct{}) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for _, i := range c.probedVersions() {
			c.probeOnce(client, e, i, false)
			if i > 0 {
				c.probeOnce(client, e, i, true)
			}
		}
	}
}

// probedVersions returns the indexes of the versions to ask for: the first one, the newest one, and the newest
// ones for which each of the bounds is over.
func (c *configLab) probedVersions() []int {
	vs, now := c.allVersions(), c.now()
	picked := []int{0, len(vs) - 1}
	for _, bound := range []time.Duration{configApply, configApply + configStretch} {
		for i := len(vs) - 1; i > 0 && i > len(vs)-configLife+1; i-- {
			if vs[i].ackedAt > 0 && vs[i].ackedAt+bound < now {
				picked = append(picked, i)
				break
			}
		}
	}
	slices.Sort(picked)
	return slices.Compact(picked)
}

// probeOnce asks an entry for the queue that a version has added or dropped.
func (c *configLab) probeOnce(client *http.Client, e *entry, version int, dropped bool) {
	v, boot, bootAt := c.at(e, version)
	q := v.added
	if dropped {
		q = v.dropped
	}
	p := configProbe{entry: e, boot: boot, sent: c.now(), version: version, wasDropped: dropped, sinceBoot: c.now() - bootAt}
	p.status = ask(client, e, q)
	p.answered = c.now()
	if _, after, _ := c.at(e, version); after != boot {
		return
	}
	p.proof = proofOf(dropped, p.status)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := version + configLife; !dropped && version > 0 && n < len(c.versions) {
		p.proof = proofNone // the queue may have been dropped again
	}
	c.probes = append(c.probes, p)
}

// at returns a version, and the number and the time of the boot of an entry.
func (c *configLab) at(e *entry, version int) (configVersion, int, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[version], c.boots[e], c.bootAt[e]
}

// proofOf returns what an answer tells. A missing dropped queue may not have been added yet.
func proofOf(dropped bool, status int) proof {
	switch {
	case dropped && status == http.StatusOK, !dropped && status == http.StatusNotFound:
		return proofOlder
	case !dropped && status == http.StatusOK:
		return proofNewer
	}
	return proofNone
}

// verdict is the judgement of one answer.
type verdict int

const (
	verdictFine       verdict = iota
	verdictBreach             // CONFIG: too late
	verdictOwn                // late, and the entry was disturbed
	verdictLost               // late, and the store was losing answers
	verdictStretched          // late, within the stretched bound
	verdictRegression         // CONFIG: older than before
)

// judge judges all answers, and notes the breaches and the times.
func (c *configLab) judge() bool {
	c.mu.Lock()
	probes := c.probes
	c.mu.Unlock()
	slices.SortStableFunc(probes, func(a, b configProbe) int { return int(a.sent - b.sent) })
	logs := c.readConfigLogs()
	count, byEntry, unconfigured, unconfiguredTouch := map[verdict]int{}, map[string]int{}, 0, 0
	statuses := map[int]int{}
	newest := map[*entry]seenVersion{}
	for _, p := range probes {
		statuses[p.status]++
		v := c.judgeDelay(p)
		if s := newest[p.entry]; c.regressed(p, s) {
			v = verdictRegression
		}
		count[v]++
		if p.version == 0 && p.proof == proofOlder {
			unconfigured++
			if !c.spans.any(effectOwn, p.entry, p.sent-configTouch, p.answered) {
				unconfiguredTouch++
			}
		}
		if v == verdictBreach || v == verdictRegression {
			byEntry[p.entry.name]++
			line := c.breachLine(v, p, logs)
			c.note(line)
			if byEntry[p.entry.name] == 1 {
				fmt.Println("first of this entry:", line)
			}
		}
		if s := newest[p.entry]; p.proof == proofNewer && (s.boot != p.boot || s.version < p.version) {
			newest[p.entry] = seenVersion{p.boot, p.version, p.answered}
		}
	}
	c.summary("answers", len(probes), "by status", statuses)
	c.summary("CONFIG late", count[verdictBreach], "regressed", count[verdictRegression], "by entry", byEntry)
	c.summary("late but allowed: entry disturbed", count[verdictOwn], "store lost answers", count[verdictLost], "within the stretched bound", count[verdictStretched])
	c.summary("404 without any configuration", unconfigured, "of which by entries in touch", unconfiguredTouch)
	c.summarizeTimes(probes)
	c.summarizeLinks()
	logs.summarize(c)
	return count[verdictBreach]+count[verdictRegression] > 0
}

// summary notes and prints a line.
func (c *configLab) summary(what string, args ...any) {
	c.note(what, args...)
	fmt.Println(append([]any{what}, args...)...)
}

// seenVersion is the newest version whose effect was seen in a boot.
type seenVersion struct {
	boot    int
	version int
	at      time.Duration
}

// regressed reports whether an answer is older than what was seen before in the same boot.
func (c *configLab) regressed(p configProbe, s seenVersion) bool {
	slack := configRollback
	if c.spans.any(effectOwn, p.entry, p.sent-configTouch, p.answered) {
		slack = slowedRollback
	}
	return p.proof == proofOlder && s.boot == p.boot && s.version >= p.version && p.sent > s.at+slack
}

// judgeDelay judges whether a version that had been acknowledged long enough ago was not in force.
func (c *configLab) judgeDelay(p configProbe) verdict {
	v, _, _ := c.at(p.entry, p.version)
	age := p.sent - v.ackedAt
	if p.proof != proofOlder || v.ackedAt == 0 || age <= configApply {
		return verdictFine
	}
	switch from := p.sent - configTouch; {
	case c.spans.any(effectOwn, p.entry, from, p.answered):
		return verdictOwn
	case c.spans.any(effectLost, nil, from, p.answered):
		return verdictLost
	case c.spans.any(effectAway, nil, from, p.answered) && age <= configApply+configStretch:
		return verdictStretched
	}
	return verdictBreach
}

// breachLine describes a breach.
func (c *configLab) breachLine(what verdict, p configProbe, logs configLogs) string {
	v, _, _ := c.at(p.entry, p.version)
	name, q, kind := "CONFIG late:", v.added, "added"
	if what == verdictRegression {
		name = "CONFIG regressed:"
	}
	if p.wasDropped {
		q, kind = v.dropped, "dropped"
	}
	return fmt.Sprintf("%s at %.3f s %s, version in force by its log %d, asked for %s %s of version %d, acknowledged %.2f s before, answer %d, %.1f s after its start",
		name, p.sent.Seconds(), p.entry.name, logs.inForce(p.entry, p.sent), kind, q.Name, v.number, (p.sent - v.ackedAt).Seconds(), p.status, p.sinceBoot.Seconds())
}

// summarizeTimes notes how long each entry took to show each version.
func (c *configLab) summarizeTimes(probes []configProbe) {
	vs, end := c.allVersions(), c.now()
	var allCalm []time.Duration
	for _, e := range c.entries {
		var calm, all []time.Duration
		unseen := 0
		for i := 1; i < len(vs); i++ {
			took, ok := firstShown(probes, e, i, vs[i].ackedAt)
			if !ok {
				if vs[i].ackedAt < end-configApply-configStretch {
					unseen++
				}
				continue
			}
			all = append(all, took)
			if from, to := vs[i].ackedAt-configTouch, vs[i].ackedAt+took; !c.disturbedBetween(e, from, to) {
				calm = append(calm, took)
			}
		}
		allCalm = append(allCalm, calm...)
		c.note("times of", e.name, "undisturbed:", len(calm), "95th percentile", percentile(calm, 95), "most", percentile(calm, 100),
			"all:", len(all), "95th percentile", percentile(all, 95), "most", percentile(all, 100), "never shown", unseen)
	}
	c.summary("times of all entries, undisturbed:", len(allCalm), "95th percentile", percentile(allCalm, 95), "most", percentile(allCalm, 100))
	c.summarizeStarts(probes)
}

// summarizeLinks notes how many bytes came over each link and how much of it they filled.
func (c *configLab) summarizeLinks() {
	for _, e := range c.entries {
		store, all := c.net.carried(e.name, "store")
		filled := 100 * float64(all) / c.rates[e] / c.now().Seconds()
		c.summary("link of", e.name, "bytes from the store", store, "from peers", all-store, fmt.Sprintf("%.0f %% of its rate", filled))
	}
}

// disturbedBetween reports whether an entry or the store had a fault.
func (c *configLab) disturbedBetween(e *entry, from, to time.Duration) bool {
	return c.spans.any(effectOwn, e, from, to) || c.spans.any(effectLost, nil, from, to) || c.spans.any(effectAway, nil, from, to)
}

// firstShown returns how long after its acknowledgement an entry showed a version or a later one. Probes are in order.
func firstShown(probes []configProbe, e *entry, version int, ackedAt time.Duration) (time.Duration, bool) {
	for _, p := range probes {
		if p.entry == e && p.proof == proofNewer && p.version >= version {
			return max(0, p.answered-ackedAt), true
		}
	}
	return 0, false
}

// summarizeStarts notes how long after its start an entry showed any configuration.
func (c *configLab) summarizeStarts(probes []configProbe) {
	type boot struct {
		e *entry
		n int
	}
	first := map[boot]time.Duration{}
	for _, p := range probes {
		if b := (boot{p.entry, p.boot}); p.proof == proofNewer && p.version == 0 && first[b] == 0 {
			first[b] = p.sinceBoot + p.answered - p.sent
		}
	}
	var again []time.Duration
	none := 0
	c.mu.Lock()
	for _, e := range c.entries {
		for n := 2; n <= c.boots[e]; n++ {
			if d := first[boot{e, n}]; d > 0 {
				again = append(again, d)
			} else {
				none++
			}
		}
	}
	c.mu.Unlock()
	c.summary("first configuration after a restart:", len(again), "95th percentile", percentile(again, 95), "most", percentile(again, 100), "none", none)
}

// percentile returns a percentile of durations, in hundredths of a second.
func percentile(ds []time.Duration, p int) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(ds))
	return s[(len(s)-1)*p/100].Round(10 * time.Millisecond)
}
