package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	serviceName  = "pool"
	queueHost    = "queue.example"
	queuePrefix  = "/jobs/"
	heartbeat    = 1500 * time.Millisecond
	entryCount   = 3
	perZone      = 2 // executors
	firstEntryIP = 11
)

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// lab is a small deployment: three entries in three data centres, two executors in each, and the store.
type lab struct {
	rec       *record
	dir       string
	store     *store
	storeAddr string
	executors []*executor
	entries   []*entry
	stop      chan struct{}
	wg        sync.WaitGroup
	servers   []*http.Server

	mu    sync.Mutex
	needs map[string]int // by job: thousandths of a core of each task
}

// newLab prepares the deployment and starts all but the entries.
func newLab(rec *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-lab3-")
	if err != nil {
		return nil, err
	}
	l := &lab{rec: rec, dir: dir, store: newStore(), stop: make(chan struct{}), needs: map[string]int{}}
	if err := l.build(); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *lab) build() (err error) {
	if l.storeAddr, err = l.serve("127.0.3.1", l.store); err != nil {
		return err
	}
	if err := l.store.put("op/config", l.config(1)); err != nil {
		return err
	}
	for i := range perZone * len(zoneNames) {
		id := fmt.Sprintf("x%d", i)
		x := newExecutor(id, "", l.rec, l.needOf)
		if x.addr, err = l.serve(fmt.Sprintf("127.0.3.%d", 101+i), x); err != nil {
			return err
		}
		l.executors = append(l.executors, x)
		l.wg.Go(func() { l.report(x, zoneNames[i%len(zoneNames)]) })
	}
	var seeds []string
	for i := range entryCount {
		ip := fmt.Sprintf("127.0.3.%d", firstEntryIP+i)
		e := &entry{name: fmt.Sprintf("edge-%s-1", zoneNames[i]), zone: zoneNames[i], ip: ip, rec: l.rec}
		if err := freeAddrs(ip, &e.frontend, &e.readiness, &e.control, &e.metrics); err != nil {
			return err
		}
		e.settings = filepath.Join(l.dir, e.name+".toml")
		if e.logs, err = os.Create(filepath.Join(l.dir, e.name+".log")); err != nil {
			return err
		}
		seeds = append(seeds, e.control)
		l.entries = append(l.entries, e)
	}
	for _, e := range l.entries {
		if err := e.writeSettings(zoneNames, seeds, l.storeAddr); err != nil {
			return err
		}
	}
	return nil
}

// freeAddrs sets addresses with different free ports.
func freeAddrs(ip string, addrs ...*string) (err error) {
	for _, addr := range addrs {
		ln, lerr := net.Listen("tcp", ip+":0")
		if lerr != nil {
			return errors.Join(err, lerr)
		}
		defer func() { err = errors.Join(err, ln.Close()) }() // after the last one is chosen, so that no port is chosen twice
		*addr = ln.Addr().String()
	}
	return err
}

// serve serves a stand-in on a free port until the lab is closed.
func (l *lab) serve(ip string, h http.Handler) (addr string, err error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	l.servers = append(l.servers, srv)
	l.wg.Go(func() { _ = srv.Serve(ln) }) // ends with close
	return ln.Addr().String(), nil
}

// config returns the operator's configuration.
func (l *lab) config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "jobs", "host": queueHost, "prefix": queuePrefix, "service": serviceName, "type": "unsafe", "priority": 0, "attempts": 4,
			"timeoutMs": 1500, "targetDurationMs": 60, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": serviceName, "admissionControl": true}},
		"limits":   map[string]any{},
	}
}

// report writes the entry of an executor into the store until the lab is closed.
func (l *lab) report(x *executor, zone string) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for seq := int64(1); ; seq++ {
		l.write(x, x.entry(zone, seq))
		select {
		case <-x.reported: // the one before
		default:
		}
		x.reported <- struct{}{}
		select {
		case <-t.C:
		case <-x.now:
			t.Reset(heartbeat)
		case <-l.stop:
			return
		}
	}
}

// write writes the entry of an executor into the store, now or as late as the store carries it out.
func (l *lab) write(x *executor, entry map[string]any) {
	put := func() {
		if err := l.store.put("servers/"+x.id, entry); err != nil {
			l.rec.add("executor %s could not report: %v", x.id, err)
		}
	}
	lateBy := x.takeLate()
	if lateBy == 0 {
		put()
		return
	}
	l.rec.add("store: report %v of %s (%v) gets no answer", entry["seq"], x.id, entry["state"])
	time.AfterFunc(lateBy, func() {
		l.rec.add("store: report %v of %s (%v) is carried out", entry["seq"], x.id, entry["state"])
		put()
	})
}

// needOf returns the thousandths of a core that a task needs, as its job was submitted.
func (l *lab) needOf(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return l.needs[id]
}

// startAll starts the entries, and waits until all are ready and nothing has been disturbed for settleTime.
func (l *lab) startAll(ctx context.Context) error {
	for _, e := range l.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range l.entries {
		if err := e.awaitReady(ctx); err != nil {
			return err
		}
	}
	return sleep(ctx, settleTime)
}

// runsOf returns all runs of the tasks of a job.
func (l *lab) runsOf(job string) []taskRun {
	var list []taskRun
	for _, x := range l.executors {
		for _, r := range x.runs() {
			if strings.HasPrefix(r.task, job+".") {
				list = append(list, r)
			}
		}
	}
	return list
}

// close ends all processes and servers of the lab. It keeps the logs of the entries if KEEP is set in the environment.
func (l *lab) close() {
	for _, e := range l.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			if err := e.kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
				l.rec.add("entry %s could not be ended: %v", e.name, err)
			}
		}
		if e.logs != nil {
			_ = e.logs.Close()
		}
	}
	close(l.stop)
	for _, srv := range l.servers {
		_ = srv.Close()
	}
	l.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println(l.dir)
	}
}
