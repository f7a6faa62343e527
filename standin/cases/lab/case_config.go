//go:build caselab

package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["config"] = configCase }

const (
	configZones     = 3
	configExecutors = 3
	thinEvery       = 4               // each such entry has a thin link
	thinnest        = 10              // times that a wide link has the rate of the thinnest one
	leastThin       = 5               // times that a wide link has the rate of the least thin one
	longestThin     = 2 * time.Second // that a configuration takes over a thin link with THIN=1
	shortestThin    = time.Second
	leastRate       = 40e3            // bytes per second of the thinnest link with THIN=1
	configLife      = 10              // versions for which an added queue stays
	firstVersion    = 3               // of the operator
	configSettle    = 6 * time.Second // before the first fault, and after the last version
	configStart     = 8 * time.Second // for entries to become ready before the first change
)

// configSettings are the settings of configCase, from the environment.
type configSettings struct {
	seed    uint64
	entries int
	queues  int
	rate    float64 // bytes per second of a wide link
	thin    bool    // a configuration takes 1 to 2 s over a thin link
	faults  []string
	length  time.Duration
}

// configVersion is one configuration of the operator. It adds one queue and drops another.
type configVersion struct {
	number  int
	added   route
	dropped route         // no queue in the first version
	putAt   time.Duration // since the lab was started, when the operator sent it
	ackedAt time.Duration // when the store had acknowledged it
}

// configLab is the lab of configCase.
type configLab struct {
	*lab
	settings configSettings
	net      *network
	base     []route // queues of all versions
	rates    map[*entry]float64
	spans    configSpans

	mu       sync.Mutex
	versions []configVersion
	boots    map[*entry]int
	bootAt   map[*entry]time.Duration
	probes   []configProbe
}

// configCase judges CONFIG: an operator adds and drops queues while entries with unequal links lose the store
// in several ways, are stopped, killed and squeezed. Every entry is asked for the queues all the time.
// standin/cases/config/claim.txt lists the settings.
func configCase(l *lab, trouble bool) (bool, error) {
	settings, err := readConfigSettings(trouble)
	if err != nil {
		return false, err
	}
	c := &configLab{lab: l, settings: settings, net: newNetwork(), rates: map[*entry]float64{}, boots: map[*entry]int{}, bootAt: map[*entry]time.Duration{}}
	defer c.net.close()
	l.anonymous = true
	if err := c.build(); err != nil {
		return false, err
	}
	l.onStall = c.noteStall
	go l.watchLab()
	if err := c.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range l.entries {
		wg.Go(func() { c.probe(e, stop) })
	}
	c.awaitStart()
	until := l.now() + settings.length
	operated := make(chan struct{})
	go func() {
		defer close(operated)
		c.operate(rand.New(rand.NewPCG(settings.seed, 31)), until)
	}()
	time.Sleep(configSettle)
	c.playFaults(rand.New(rand.NewPCG(settings.seed, 32)), until-configSettle)
	<-operated
	time.Sleep(configSettle)
	close(stop)
	wg.Wait()
	return c.judge(), nil
}

func readConfigSettings(trouble bool) (configSettings, error) {
	s := configSettings{seed: 1, entries: 12, queues: 40, rate: 8e6, thin: os.Getenv("THIN") == "1", length: 60 * time.Second}
	var errs []error
	scan := func(name string, to any) {
		if v := os.Getenv(name); v != "" {
			if _, err := fmt.Sscan(v, to); err != nil {
				errs = append(errs, fmt.Errorf("%s is %q: %w", name, v, err))
			}
		}
	}
	var seconds int
	scan("SEED", &s.seed)
	scan("ENTRIES", &s.entries)
	scan("QUEUES", &s.queues)
	scan("RATE", &s.rate)
	scan("LENGTH", &seconds)
	if seconds > 0 {
		s.length = time.Duration(seconds) * time.Second
	}
	s.faults = configFaultNames()
	if v := os.Getenv("FAULTS"); v != "" {
		s.faults = strings.Split(v, ",")
	}
	for _, f := range s.faults {
		if configFaults[f] == nil {
			errs = append(errs, fmt.Errorf("FAULTS has %q; use some of %s", f, strings.Join(configFaultNames(), ",")))
		}
	}
	if os.Getenv("CALM") == "1" || !trouble {
		s.faults = nil
	}
	return s, errors.Join(append(errs, checkProgram())...)
}

// checkProgram reports an error if the program can't announce the address of its relay.
func checkProgram() error {
	path := cmp.Or(os.Getenv("PROGRAM"), "target/review-cornelwall")
	b, err := os.ReadFile(path)
	if err == nil && !bytes.Contains(b, []byte("REVIEW_ANNOUNCE")) {
		err = fmt.Errorf("%s does not know REVIEW_ANNOUNCE; PROGRAM has to be a target/review-cornelwall of standin/cases/build.sh", path)
	}
	return err
}

// build adds the first configuration, the executors and the entries, each behind its relays.
func (c *configLab) build() error {
	for i := range c.settings.queues {
		c.base = append(c.base, configQueue(fmt.Sprintf("base%04d", i)))
	}
	c.putVersion(firstVersion, c.base[0], route{})
	zone := func(i int) string { return "zone-" + string(rune('a'+i%configZones)) }
	for i := range configExecutors {
		k := kind{cpu: 16000, labels: []string{"a", "r1"}, guards: true}
		if _, err := c.addExecutor(fmt.Sprintf("i-%d", i+1), "svc", zone(i), k); err != nil {
			return err
		}
	}
	r := rand.New(rand.NewPCG(c.settings.seed, 30))
	for i := range c.settings.entries {
		e, err := c.addEntry(fmt.Sprintf("edge-%s-%02d", zone(i), i/configZones+1), zone(i))
		if err != nil {
			return err
		}
		c.rates[e] = c.drawRate(r, i%thinEvery == thinEvery-1)
		c.net.setRate(e.name, c.rates[e])
		if err := c.relayEntry(e); err != nil {
			return err
		}
		c.note("entry", e.name, "has a link of", int(c.rates[e]), "bytes per second")
	}
	return nil
}

// drawRate returns the rate of an entry's link.
func (c *configLab) drawRate(r *rand.Rand, thin bool) float64 {
	times := leastThin + (thinnest-leastThin)*r.Float64()
	wide := c.settings.rate
	if c.settings.thin {
		took := shortestThin + time.Duration(r.Float64()*float64(longestThin-shortestThin))
		wide = times * max(leastRate, float64(c.store.size("op/config"))/took.Seconds())
	}
	if thin {
		return wide / times
	}
	return wide
}

// relayEntry opens the relays between an entry and the store, and between it and its peers.
func (c *configLab) relayEntry(e *entry) error {
	store, err := c.net.relayTo(e.proxy.addr(), "store")
	if err != nil {
		return err
	}
	store.from = func([]byte, net.Conn) string { return e.name }
	e.storeAddr = store.addr()
	go store.serve()
	peers, err := c.net.relayTo(e.control, e.name)
	if err != nil {
		return err
	}
	peers.from = c.senderOf
	e.announce = peers.addr()
	go peers.serve()
	return nil
}

// senderOf returns the entry that has opened a connection, by what it says first or else by the process.
func (c *configLab) senderOf(first []byte, conn net.Conn) string {
	if name := c.nameIn(first); name != "" {
		return name
	}
	inode := inodesByPort()[conn.RemoteAddr().(*net.TCPAddr).Port]
	return cmp.Or(c.entriesByInode()[inode], "unknown")
}

// startAll starts all entries.
func (c *configLab) startAll() error {
	for _, e := range c.entries[:min(3, len(c.entries))] {
		for _, o := range c.entries {
			o.seeds = append(o.seeds, e.announce)
		}
	}
	for _, e := range c.entries {
		if err := c.startEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// awaitStart waits until all entries are ready, for configStart at most. To be not ready breaks no rule.
func (c *configLab) awaitStart() {
	ready := 0
	for until := c.now() + configStart; ready < len(c.entries) && c.now() < until; time.Sleep(probeInterval) {
		ready = 0
		for _, e := range c.entries {
			if status, _ := request("GET", e.readiness, "", "/cornelwall/ready", "", probeTimeout); status == http.StatusOK {
				ready++
			}
		}
	}
	c.summary("ready entries", ready, "of", len(c.entries), "after", c.now())
}

// startEntry starts an entry and counts its boots.
func (c *configLab) startEntry(e *entry) error {
	c.mu.Lock()
	c.boots[e]++
	c.bootAt[e] = c.now()
	c.mu.Unlock()
	c.spans.begin(c.lab, effectOwn, e)()
	return e.start()
}

// configQueue returns a queue with a prefix of its own.
func configQueue(name string) route {
	return route{Name: name, Host: name[:4] + ".example", Prefix: "/" + name + "/", Type: "unsafe", Timeout: 1500, Target: 60, Service: "svc", Attempts: 2, Stretch: 1.6}
}

// operate adds and drops a queue every 2 to 3 seconds, under versions that rise unevenly.
func (c *configLab) operate(r *rand.Rand, until time.Duration) {
	for number := firstVersion; c.now() < until; {
		time.Sleep(2*time.Second + time.Duration(r.Int64N(int64(time.Second))))
		number += 1 + r.IntN(3)
		var dropped route
		if vs := c.allVersions(); len(vs) > configLife {
			dropped = vs[len(vs)-configLife].added
		} else {
			dropped = c.base[len(vs)]
		}
		c.putVersion(number, configQueue(fmt.Sprintf("more%04d", number)), dropped)
	}
}

// putVersion writes a version as the operator does: the base queues, but for those that were dropped, and the
// added ones.
func (c *configLab) putVersion(number int, added, dropped route) {
	vs := append(c.allVersions(), configVersion{number: number, added: added, dropped: dropped, putAt: c.now()})
	routes := slices.Clone(c.base)
	for _, v := range vs[1:] {
		routes = append(routes, v.added)
	}
	routes = slices.DeleteFunc(routes, func(q route) bool {
		return slices.ContainsFunc(vs, func(v configVersion) bool { return v.dropped.Name == q.Name })
	})
	services := []map[string]any{{
		"name": "svc", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": true, "standby": false,
	}}
	// The version is known before the store has it, so that no effect of it is seen before.
	c.mu.Lock()
	c.versions = vs
	c.mu.Unlock()
	c.store.put("op/config", map[string]any{
		"version": number, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	c.mu.Lock()
	c.versions[len(vs)-1].ackedAt = c.now()
	c.mu.Unlock()
	c.note("operator version", number, "adds", added.Name, "drops", dropped.Name, "acknowledged,", len(routes), "queues,", c.store.size("op/config"), "bytes")
}

func (c *configLab) allVersions() []configVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.versions)
}

// size returns how many bytes a key takes in an answer, encoded as base64.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, _ := json.Marshal(s.items[key]) // an item can be encoded
	return len(b)
}

// ask sends the request for the number of waiting jobs of a queue and returns the status, or 0 for none.
func ask(client *http.Client, e *entry, q route) int {
	r, err := http.NewRequest("GET", "http://"+e.callers+q.Prefix, nil)
	if err != nil {
		return 0
	}
	r.Host = q.Host
	r.Header.Set("Cornelwall-Deadline-Ms", strconv.FormatInt(probeTimeout.Milliseconds(), 10))
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // the status is enough
	return resp.StatusCode
}
