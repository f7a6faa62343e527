package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// retryDelay is retryDelayMs: the time after which a client hands in its job again that got no answer.
const retryDelay = 1300 * time.Millisecond

// answerSlack is how much longer a client waits than it has told, for the way of the answer.
const answerSlack = 300 * time.Millisecond

// request sends one HTTP request on a connection of its own and returns the status and the body of
// the answer, or 0 if there was none.
func request(method, addr, host, path, body string, deadline time.Duration) (int, string) {
	return requestWait(method, addr, host, path, body, deadline, deadline)
}

// requestWait is request for a client that may leave before the deadline that it has told.
func requestWait(method, addr, host, path, body string, deadline, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+answerSlack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Cornelwall-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if host != "" {
		r.Host = host
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

const (
	jobTime     = 200 * time.Millisecond
	jobCores    = 6800 // of each task, in thousandths
	jobDeadline = 1500 * time.Millisecond
	jobInterval = 50 * time.Millisecond
)

// seatQueue is the queue of the cases with short jobs.
var seatQueue = route{Name: "q", Host: "q.example", Prefix: "/q/", Type: "unsafe", Timeout: 1500, Target: 60, Service: "svc", Attempts: 2, Stretch: 1.6}

// load submits jobs at a steady rate, to all entries in turn, until stop is closed, and then waits
// for the answers.
func (l *lab) load(r *route, interval, deadline time.Duration, body string, stop <-chan struct{}) {
	var wg sync.WaitGroup
	t := time.NewTicker(interval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-t.C:
		}
		e := l.entries[n%len(l.entries)]
		wg.Go(func() { l.submit(e, r, jobID(n), body, deadline) })
	}
}

// submit hands in a job and records the answer. It returns the status.
func (l *lab) submit(e *entry, r *route, id, body string, deadline time.Duration) int {
	l.note("client", "POST", r.Prefix+id, "to", e.name)
	status, answer := request("POST", e.callers, r.Host, r.Prefix+id, body, deadline)
	l.note("client", "POST", r.Prefix+id, "to", e.name, "answered", status, answer)
	return status
}

// jobID returns the identifier of the nth job.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }
