package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cornelwall"
	"cornelwall/client"
	_ "cornelwall/standin/seeded"
)

// simulatedEntries is a model of entries that keep the rules of tickets, on an unreliable network.
type simulatedEntries struct {
	mu           sync.Mutex
	rng          *rand.Rand
	seq          uint64
	incarnations []cornelwall.Incarnation                // epoch 0 is a stopped entry
	jobs         map[cornelwall.Ticket]cornelwall.Answer // of all incarnations
	stopped      map[cornelwall.Incarnation]bool         // incarnations that made a planned stop
	starts       map[string]int                          // number by body of the task
}

// RoundTrip loses some requests and responses at random, and carries out the other requests.
func (s *simulatedEntries) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.incarnations[r.URL.Host[1]-'0']
	if fault := s.rng.IntN(12); at.Epoch == 0 || fault == 0 {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	} else if fault == 1 {
		return nil, errors.New("connection broke before the request was read")
	}
	w := httptest.NewRecorder()
	if r.URL.Path == "/v1/tickets" {
		s.seq++
		tk := cornelwall.Ticket{Owner: at, Seq: s.seq, Team: "bookings"}
		_ = json.NewEncoder(w).Encode(map[string][]cornelwall.Ticket{"tickets": {tk}})
		return w.Result(), nil
	}
	var j cornelwall.Job
	_ = json.NewDecoder(r.Body).Decode(&j)
	_ = json.NewEncoder(w).Encode(s.submit(j.Ticket, string(j.Tasks[0].Body)))
	if s.rng.IntN(6) == 0 {
		s.restart(s.rng.IntN(len(s.incarnations)))
	}
	if s.rng.IntN(6) == 0 {
		return nil, errors.New("connection broke before the answer came")
	}
	return w.Result(), nil
}

// submit answers a submission by the rules of tickets.
func (s *simulatedEntries) submit(tk cornelwall.Ticket, body string) cornelwall.Answer {
	a, known := s.jobs[tk]
	owner := s.incarnations[tk.Owner.Entry[1]-'0'] == tk.Owner
	switch {
	case owner && s.rng.IntN(10) == 0:
		return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonOwnerAway, RetryAfter: 1e9}
	case known && (owner || s.stopped[tk.Owner]):
		return a
	case s.stopped[tk.Owner]:
		return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonClosed, Final: true}
	case !owner:
		return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonOwnerLost, Final: true}
	}
	a = cornelwall.Answer{Ticket: tk, Final: true, Outcome: cornelwall.Done,
		Tasks: []cornelwall.TaskAnswer{{Outcome: cornelwall.Done, Body: []byte(body)}}}
	switch s.rng.IntN(4) {
	case 0:
		a = notRunAnswer(cornelwall.ReasonQueueFull, time.Second)
		a.Ticket = tk
	case 1:
		a = cornelwall.Answer{Ticket: tk, Final: true, Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask}
		s.starts[body]++
	default:
		s.starts[body]++
	}
	s.jobs[tk] = a
	return a
}

// restart kills or stops a running entry, or starts a stopped one.
func (s *simulatedEntries) restart(i int) {
	if s.incarnations[i].Epoch == 0 {
		s.seq++
		s.incarnations[i].Epoch = s.seq
		return
	}
	s.stopped[s.incarnations[i]] = s.rng.IntN(2) == 0
	s.incarnations[i].Epoch = 0
}

// TestSubmitReportsTrueOutcome checks that a task starts at most once and that Submit reports its
// outcome correctly, with entries that crash and stop and a network that loses requests and
// responses.
func TestSubmitReportsTrueOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := &simulatedEntries{rng: rand.New(rand.NewPCG(seed, 0)), jobs: map[cornelwall.Ticket]cornelwall.Answer{},
			stopped: map[cornelwall.Incarnation]bool{}, starts: map[string]int{}}
		cfg := client.Config{Profile: "holds", HTTP: &http.Client{Transport: s}, Ahead: 1,
			Pick:    func(int) int { return 0 },
			Retries: rapid.IntRange(0, 3).Draw(t, "retries")}
		for i := range 3 {
			s.incarnations = append(s.incarnations, cornelwall.Incarnation{DataCentre: "ikeja", Entry: fmt.Sprint("e", i), Epoch: 1})
			cfg.Entries = append(cfg.Entries, fmt.Sprint("http://e", i))
		}
		k := &fakeClock{now: time.Unix(1700000000, 0)}
		cfg.Clock = k
		c, err := client.New(cfg)
		assert.NilError(t, err)
		defer c.Close()
		for i := range 10 {
			body := fmt.Sprint("task ", i)
			ctx, end := context.WithCancel(context.Background())
			k.cancelAfter(rapid.IntRange(1, 12).Draw(t, "waits"), end)
			a, err := c.Submit(ctx, cornelwall.Job{Tasks: []cornelwall.Task{{Body: []byte(body)}}})
			end()
			s.mu.Lock()
			starts := s.starts[body]
			s.mu.Unlock()
			switch {
			case err == nil:
				assert.Assert(t, starts == 1 && string(a.Tasks[0].Body) == body)
			case errors.Is(err, client.ErrFailed):
				assert.Equal(t, starts, 1)
			case errors.Is(err, client.ErrNotRun):
				assert.Equal(t, starts, 0, "%v", err)
			default:
				assert.Assert(t, errors.Is(err, client.ErrUnknown) && starts <= 1, "%v", err)
			}
		}
	})
}
