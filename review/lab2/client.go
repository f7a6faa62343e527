package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// step is a step of a job, as the page of the protocol has it.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMb      int   `json:"memMb"`
	EstimateMs int   `json:"estimateMs"`
	After      []int `json:"after,omitempty"`
}

type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"bestEffort"`
}

// answer is the answer to a request, or the error if there was none.
type answer struct {
	status int
	body   string
	err    error
	at     time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// request sends a request to an entry on a new channel, as the balancer forwards it.
func (s *system) request(e *entry, method, id string, body any, patience time.Duration) answer {
	b, err := json.Marshal(body)
	if err != nil {
		return answer{err: err}
	}
	if body == nil {
		b = nil
	}
	r, err := http.NewRequest(method, "http://"+e.frontend+routePrefix+id, bytes.NewReader(b))
	if err != nil {
		return answer{err: err}
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Cornelwall-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	s.rec.add("client: %s %s to %s", method, id, e.name)
	c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	a := answer{err: err}
	if err == nil {
		var text []byte
		text, a.err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // it has been read
		a.status, a.body = resp.StatusCode, string(bytes.TrimSpace(text))
	}
	a.at = time.Now()
	s.rec.add("client: %s %s to %s: %s", method, id, e.name, a)
	return a
}

// balancer polls the readiness of the entries once a second, and takes one out of rotation after two
// misses.
type balancer struct {
	mu     sync.Mutex
	misses map[string]int
}

const readinessInterval = time.Second

func newBalancer(s *system) *balancer {
	b := &balancer{misses: map[string]int{}}
	for _, e := range s.entries {
		go func() {
			for s.ctx.Err() == nil {
				ok := e.ready()
				b.mu.Lock()
				if ok {
					b.misses[e.name] = 0
				} else {
					b.misses[e.name]++
				}
				b.mu.Unlock()
				time.Sleep(readinessInterval)
			}
		}()
	}
	return b
}

// inRotation reports whether the balancer forwards new channels to an entry.
func (b *balancer) inRotation(e *entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[e.name] < 2
}
