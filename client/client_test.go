package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/client"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeClock is a clock on which waits pass at once. It cancels the caller's ctx after limit waits.
type fakeClock struct {
	mu     sync.Mutex
	now    time.Time
	waits  []time.Duration
	limit  int
	cancel context.CancelFunc
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// cancelAfter makes the clock call cancel after the given number of further waits.
func (c *fakeClock) cancelAfter(waits int, end context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits, c.limit, c.cancel = nil, waits, end
}

func (c *fakeClock) Wait(ctx context.Context, d time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	c.waits = append(c.waits, d)
	if len(c.waits) == c.limit {
		c.cancel()
	}
	return ctx.Err()
}

// step responds to one submission. A nil step closes the connection without a response.
type step func(w http.ResponseWriter, t cornelwall.Ticket)

// answerWith returns a step that responds with the answer.
func answerWith(a cornelwall.Answer) step {
	return func(w http.ResponseWriter, t cornelwall.Ticket) {
		a.Ticket = t
		_ = json.NewEncoder(w).Encode(a)
	}
}

// respondStatus returns a step that responds with a status and Retry-After, but without an answer.
func respondStatus(code, retryAfter int) step {
	return func(w http.ResponseWriter, _ cornelwall.Ticket) {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
		w.WriteHeader(code)
		_, _ = w.Write([]byte(`{"error":"error message of the entry"}`))
	}
}

// fakeEntry is an entry that issues tickets and responds to submissions by its steps. The last step
// is repeated.
type fakeEntry struct {
	*httptest.Server
	mu        sync.Mutex
	steps     []step
	seq       uint64
	draws     int
	tickets   []cornelwall.Ticket // of the submissions received
	timesLeft []cornelwall.Duration
}

func newFakeEntry(t *testing.T, name string, steps ...step) *fakeEntry {
	e := &fakeEntry{steps: steps}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		var in struct{ Count int }
		_ = json.NewDecoder(r.Body).Decode(&in)
		var out struct {
			Tickets []cornelwall.Ticket `json:"tickets"`
		}
		e.draws++
		for range in.Count {
			e.seq++
			out.Tickets = append(out.Tickets, cornelwall.Ticket{Seq: e.seq, Team: "bookings",
				Owner: cornelwall.Incarnation{DataCentre: "ikeja", Entry: name, Epoch: 1}})
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		var j cornelwall.Job
		_ = json.NewDecoder(r.Body).Decode(&j)
		e.tickets = append(e.tickets, j.Ticket)
		e.timesLeft = append(e.timesLeft, j.TimeLeft)
		next := e.steps[0]
		e.steps = e.steps[min(1, len(e.steps)-1):]
		if next == nil {
			panic(http.ErrAbortHandler)
		}
		next(w, j.Ticket)
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

// sent returns the tickets of the submissions received.
func (e *fakeEntry) sent() []cornelwall.Ticket {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.tickets)
}

func newClient(t *testing.T, cfg client.Config, limit int) (*client.Client, *fakeClock, context.Context) {
	ctx, end := context.WithCancel(context.Background())
	k := &fakeClock{now: time.Unix(1700000000, 0), limit: limit, cancel: end}
	cfg.Profile, cfg.Clock = "seat-holds", k
	cfg.Pick = func(int) int { return 0 }
	c, err := client.New(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() {
		end()
		c.Close()
	})
	return c, k, ctx
}

var job = cornelwall.Job{TimeLeft: cornelwall.Duration(time.Minute), Tasks: []cornelwall.Task{{Body: []byte("a")}}}

var doneAnswer = cornelwall.Answer{Outcome: cornelwall.Done, Final: true,
	Tasks: []cornelwall.TaskAnswer{{Outcome: cornelwall.Done, Body: []byte("b")}}}

func notRunAnswer(r cornelwall.Reason, retryAfter time.Duration) cornelwall.Answer {
	return cornelwall.Answer{Outcome: cornelwall.NotRun, Reason: r, Final: true, RetryAfter: cornelwall.Duration(retryAfter)}
}

func TestSubmit(t *testing.T) {
	ownerAway := cornelwall.Answer{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonOwnerAway, RetryAfter: cornelwall.Duration(2 * time.Second)}
	ownerLost := cornelwall.Answer{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonOwnerLost, Final: true}
	failed := cornelwall.Answer{Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask, Final: true,
		Tasks: []cornelwall.TaskAnswer{{Outcome: cornelwall.Failed}}}
	otherContent := cornelwall.Answer{Reason: cornelwall.ReasonContent}
	tooFewTasks := cornelwall.Answer{Outcome: cornelwall.Done, Final: true}
	wrongTicket := func(w http.ResponseWriter, _ cornelwall.Ticket) { _ = json.NewEncoder(w).Encode(doneAnswer) }
	for _, tt := range []struct {
		name    string
		retries int
		steps   []step
		want    error // kind of error; nil is done
		sent    int
		tickets int // number of different tickets sent
		waits   []time.Duration
	}{
		{"done", 0, []step{answerWith(doneAnswer)}, nil, 1, 1, nil},
		{"failed is not submitted again", 3, []step{answerWith(failed)}, client.ErrFailed, 1, 1, nil},
		{"lost answer, one ticket", 3, []step{nil, answerWith(doneAnswer)}, nil, 2, 1, []time.Duration{50 * time.Millisecond}},
		{"unknown with retry-after, one ticket", 3, []step{answerWith(ownerAway), answerWith(doneAnswer)}, nil, 2, 1, []time.Duration{2 * time.Second}},
		{"unknown and final", 3, []step{answerWith(ownerLost)}, client.ErrUnknown, 1, 1, nil},
		{"not run, no retries allowed", 0, []step{answerWith(notRunAnswer(cornelwall.ReasonQueueFull, time.Second))}, client.ErrNotRun, 1, 1, nil},
		{"not run, new ticket", 1, []step{answerWith(notRunAnswer(cornelwall.ReasonQueueFull, time.Second)), answerWith(doneAnswer)}, nil, 2, 2, []time.Duration{time.Second}},
		{"not run, owner closed", 1, []step{answerWith(notRunAnswer(cornelwall.ReasonClosed, 0)), answerWith(doneAnswer)}, nil, 2, 2, []time.Duration{0}},
		{"not run, retries used up", 1, []step{answerWith(notRunAnswer(cornelwall.ReasonQueueFull, time.Second))}, client.ErrNotRun, 2, 2, []time.Duration{time.Second}},
		{"not run, not retryable", 3, []step{answerWith(notRunAnswer(cornelwall.ReasonNeverFits, 0))}, client.ErrNotRun, 1, 1, nil},
		{"ticket used with other content", 3, []step{answerWith(otherContent)}, cornelwall.ErrInput, 1, 1, nil},
		{"invalid job", 3, []step{respondStatus(400, 0)}, cornelwall.ErrInput, 1, 1, nil},
		{"invalid job after it may have run", 3, []step{nil, respondStatus(400, 0)}, client.ErrUnknown, 2, 1, []time.Duration{50 * time.Millisecond}},
		{"balancer's status, Retry-After", 3, []step{respondStatus(502, 3), answerWith(doneAnswer)}, nil, 2, 1, []time.Duration{3 * time.Second}},
		{"answer of another job", 3, []step{wrongTicket, answerWith(doneAnswer)}, nil, 2, 1, []time.Duration{50 * time.Millisecond}},
		{"done with too few tasks", 3, []step{answerWith(tooFewTasks), answerWith(doneAnswer)}, nil, 2, 1, []time.Duration{50 * time.Millisecond}},
		{"no answer until ctx ends", 3, []step{nil}, client.ErrUnknown, 3, 1, []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}},
		{"unknown until ctx ends", 3, []step{answerWith(ownerAway)}, client.ErrUnknown, 3, 1, []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEntry(t, "e1", tt.steps...)
			c, k, ctx := newClient(t, client.Config{Entries: []string{e.URL}, Retries: tt.retries}, 3)
			a, err := c.Submit(ctx, job)
			e.mu.Lock()
			defer e.mu.Unlock()
			if tt.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, string(a.Tasks[0].Body), "b")
			}
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
			assert.Equal(t, len(e.tickets), tt.sent)
			seen := map[cornelwall.Ticket]bool{}
			for _, tk := range e.tickets {
				seen[tk] = true
			}
			assert.Equal(t, len(seen), tt.tickets)
			assert.DeepEqual(t, k.waits, tt.waits)
			var passed time.Duration
			for i, left := range e.timesLeft {
				assert.Equal(t, left, job.TimeLeft-cornelwall.Duration(passed))
				if i < len(tt.waits) {
					passed += tt.waits[i]
				}
			}
			if errors.Is(err, client.ErrUnknown) {
				assert.Equal(t, a.Outcome, cornelwall.Unknown)
				assert.Equal(t, a.Ticket, e.tickets[0], "the answer does not have the ticket of the job")
			}
		})
	}
}

// TestFailover checks that a job is submitted to another entry under the same ticket, and that an
// unused ticket is dropped if its entry is unreachable.
func TestFailover(t *testing.T) {
	first := newFakeEntry(t, "e1", nil)
	second := newFakeEntry(t, "e2", answerWith(doneAnswer))
	c, k, ctx := newClient(t, client.Config{Entries: []string{first.URL, second.URL}}, 10)
	_, err := c.Submit(ctx, job)
	assert.NilError(t, err)
	assert.DeepEqual(t, second.sent(), first.sent())
	assert.DeepEqual(t, k.waits, []time.Duration{0})

	third := newFakeEntry(t, "e3", answerWith(doneAnswer))
	// Without keep-alive each request dials. On a kept connection that is just being closed, the
	// request may have been read, so that it would not count as not sent.
	noKeepAlive := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c, _, ctx = newClient(t, client.Config{Entries: []string{third.URL, second.URL}, HTTP: noKeepAlive}, 10)
	_, err = c.Submit(ctx, job)
	assert.NilError(t, err)
	third.Close()
	_, err = c.Submit(ctx, job)
	assert.NilError(t, err)
	assert.Equal(t, len(third.sent()), 1)
	assert.Equal(t, second.sent()[1].Owner.Entry, "e2")
}

// TestOwnerLostDropsTickets checks that an answer that reports the owner as lost fails only one job:
// the client must drop its other tickets of that owner.
func TestOwnerLostDropsTickets(t *testing.T) {
	ownerLost := cornelwall.Answer{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonOwnerLost, Final: true}
	e := newFakeEntry(t, "e1", answerWith(ownerLost), answerWith(doneAnswer))
	c, _, ctx := newClient(t, client.Config{Entries: []string{e.URL}, Ahead: 4}, 10)
	_, err := c.Submit(ctx, job)
	assert.Assert(t, errors.Is(err, client.ErrUnknown))
	e.mu.Lock()
	drawn := e.seq
	e.mu.Unlock()
	_, err = c.Submit(ctx, job)
	assert.NilError(t, err)
	assert.Assert(t, e.sent()[1].Seq > drawn, "a ticket of the first draw was used: %s", e.sent()[1])
}

// TestUnreachableEntryIsNotRun checks that a job that was never sent is reported as not run.
func TestUnreachableEntryIsNotRun(t *testing.T) {
	e := newFakeEntry(t, "e1", answerWith(doneAnswer))
	e.Close()
	c, _, ctx := newClient(t, client.Config{Entries: []string{e.URL}}, 4)
	a, err := c.Submit(ctx, job)
	assert.Assert(t, errors.Is(err, client.ErrNotRun))
	assert.Equal(t, a.Outcome, cornelwall.NotRun)
}

// TestGivenTicketIsKept checks that the ticket of a job is never replaced.
func TestGivenTicketIsKept(t *testing.T) {
	e := newFakeEntry(t, "e1", answerWith(notRunAnswer(cornelwall.ReasonClosed, time.Second)))
	c, _, ctx := newClient(t, client.Config{Entries: []string{e.URL}, Retries: 5}, 10)
	ts, err := c.Draw(ctx, 1)
	assert.NilError(t, err)
	withTicket := job
	withTicket.Ticket = ts[0]
	_, err = c.Submit(ctx, withTicket)
	assert.Assert(t, errors.Is(err, client.ErrNotRun))
	assert.DeepEqual(t, e.sent(), ts)
}

// TestConcurrentSubmissionsShareDraws checks that concurrent submissions share draws of tickets.
func TestConcurrentSubmissionsShareDraws(t *testing.T) {
	e := newFakeEntry(t, "e1", answerWith(doneAnswer))
	c, _, ctx := newClient(t, client.Config{Entries: []string{e.URL}}, 1000)
	const jobs = 200
	errs := make(chan error, jobs)
	for range jobs {
		go func() {
			_, err := c.Submit(ctx, job)
			errs <- err
		}()
	}
	for range jobs {
		assert.NilError(t, <-errs)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := map[cornelwall.Ticket]bool{}
	for _, tk := range e.tickets {
		seen[tk] = true
	}
	assert.Equal(t, len(seen), jobs)
	assert.Assert(t, e.draws <= jobs/4, "%d draws", e.draws)
}

// TestDrawsRotateThroughEntries checks that draws, and with them jobs, use the entries in turn.
func TestDrawsRotateThroughEntries(t *testing.T) {
	es := []*fakeEntry{newFakeEntry(t, "e1", answerWith(doneAnswer)), newFakeEntry(t, "e2", answerWith(doneAnswer)), newFakeEntry(t, "e3", answerWith(doneAnswer))}
	c, _, ctx := newClient(t, client.Config{Entries: []string{es[0].URL, es[1].URL, es[2].URL}}, 10)
	for i := range 6 {
		ts, err := c.Draw(ctx, 1)
		assert.NilError(t, err)
		assert.Equal(t, ts[0].Owner.Entry, fmt.Sprint("e", 1+i%3))
	}
}

func TestFetchAndCancel(t *testing.T) {
	tk := cornelwall.Ticket{Seq: 1, Team: "bookings", Owner: cornelwall.Incarnation{DataCentre: "ikeja", Entry: "e1", Epoch: 1}}
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Path, "/v1/jobs/"+tk.String())
		a := cornelwall.Answer{Ticket: tk}
		switch n := calls.Add(1); {
		case r.Method == http.MethodDelete:
			a.Outcome, a.Reason, a.Final = cornelwall.NotRun, cornelwall.ReasonCancelled, true
		case n == 1:
			panic(http.ErrAbortHandler)
		case n == 3:
			a.Outcome, a.Final = cornelwall.Done, true
		}
		_ = json.NewEncoder(w).Encode(a)
	}))
	defer srv.Close()
	c, _, ctx := newClient(t, client.Config{Entries: []string{srv.URL}}, 10)
	a, err := c.Fetch(ctx, tk, false)
	assert.NilError(t, err)
	assert.Equal(t, a.Outcome, cornelwall.Pending)
	a, err = c.Fetch(ctx, tk, true)
	assert.NilError(t, err)
	assert.Equal(t, a.Outcome, cornelwall.Done)
	a, err = c.Cancel(ctx, tk)
	assert.NilError(t, err)
	assert.Equal(t, a.Outcome, cornelwall.NotRun)
}

func TestConfig(t *testing.T) {
	_, err := client.New(client.Config{Entries: []string{"10.0.0.1:7000"}, Profile: "Holds", Retries: -1, Ahead: 5000})
	for _, want := range []string{"Entries[0]", "Profile", "Retries -1", "Ahead 5000"} {
		assert.ErrorContains(t, err, want)
	}
	assert.Assert(t, errors.Is(err, cornelwall.ErrInput))
}
