package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/caller"
)

const (
	ticket = "ikeja.a.1f.1.0.bookings.AAAAAAAAAAAAAAAAAAAAAA"
	job    = `{"profile":"holds","tasks":[{}]}`
)

// core answers every request with the same command or error, and records the events.
type core struct {
	cmd    cornelwall.Command
	err    error
	events []cornelwall.Event
}

func (c *core) Ask(_ context.Context, event func(uint64) cornelwall.Event) (cornelwall.Command, error) {
	c.events = append(c.events, event(1))
	return c.cmd, c.err
}

func (c *core) serve(method, path, body string, header ...string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	caller.New(c).ServeHTTP(w, r)
	return w
}

// TestStatus checks the HTTP status and the retry headers for every kind of answer to a
// submission.
func TestStatus(t *testing.T) {
	for _, tt := range []struct {
		outcome cornelwall.Outcome
		reason  cornelwall.Reason
		delay   time.Duration
		status  int
		retry   string // Retry-After
		exact   string // Cornelwall-Back
	}{
		{cornelwall.Done, cornelwall.ReasonNone, 0, 200, "", ""},
		{cornelwall.Pending, cornelwall.ReasonNone, 0, 202, "", ""},
		{cornelwall.Failed, cornelwall.ReasonTask, 0, 502, "", ""},
		{cornelwall.Failed, cornelwall.ReasonDeadline, 0, 502, "", ""},
		{cornelwall.Failed, cornelwall.ReasonTooLarge, 0, 502, "", ""},
		{cornelwall.NotRun, cornelwall.ReasonQueueFull, 100 * time.Millisecond, 503, "1", "100ms"},
		{cornelwall.NotRun, cornelwall.ReasonStopping, 2500 * time.Millisecond, 503, "3", "2.5s"},
		{cornelwall.NotRun, cornelwall.ReasonNeverFits, 0, 422, "", ""},
		{cornelwall.NotRun, cornelwall.ReasonNoProfile, 2 * time.Second, 422, "2", "2s"},
		{cornelwall.Unknown, cornelwall.ReasonOwnerAway, 2 * time.Second, 504, "2", "2s"},
		{cornelwall.Unknown, cornelwall.ReasonOwnerLost, 0, 504, "", ""},
		{cornelwall.Unknown, cornelwall.ReasonExpired, 0, 410, "", ""},
		{cornelwall.Pending, cornelwall.ReasonContent, 0, 409, "", ""},
		{cornelwall.Pending, cornelwall.ReasonTicket, 0, 403, "", ""},
	} {
		a := cornelwall.Answer{Outcome: tt.outcome, Reason: tt.reason, RetryAfter: cornelwall.Duration(tt.delay)}
		w := (&core{cmd: cornelwall.Reply{Req: 1, Answer: a}}).serve(http.MethodPost, "/v1/jobs", job)
		assert.Equal(t, w.Code, tt.status, "%s %s", tt.outcome, tt.reason)
		assert.Equal(t, w.Header().Get("Retry-After"), tt.retry)
		assert.Equal(t, w.Header().Get("Cornelwall-Back"), tt.exact)
		var got cornelwall.Answer
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
		assert.DeepEqual(t, got, a)
	}
}

// TestInvalidRequests checks that an invalid request is rejected with an error that names its
// problems, and does not reach the core.
func TestInvalidRequests(t *testing.T) {
	for _, tt := range []struct {
		method, path, body string
		header             []string
		status             int
		problems           []string
	}{
		{"POST", "/v1/jobs", `{"profile":"Holds","left":"-1s","tasks":[]}`, nil, 400, []string{"profile", "left", "tasks"}},
		{"POST", "/v1/jobs", `{"profile":"holds","tusks":[{}]}`, nil, 400, []string{"tusks"}},
		{"POST", "/v1/jobs", `{"profile":"holds","tasks":[{"size":"-1s","need":{"cores":-1}}]}`, nil, 400, []string{"tasks[0].size", "cores"}},
		{"POST", "/v1/jobs", `{"ticket":"` + ticket + `","profile":"holds","tasks":[{}]}`, []string{"Idempotency-Key", "k"}, 400, []string{"Idempotency-Key", "ticket"}},
		{"POST", "/v1/jobs", job, []string{"Idempotency-Key", strings.Repeat("k", 257)}, 400, []string{"Idempotency-Key"}},
		{"POST", "/v1/tickets", `{"profile":"","count":0}`, nil, 400, []string{"profile", "count"}},
		{"GET", "/v1/jobs/nonsense", "", nil, 400, []string{"ticket"}},
		{"GET", "/v1/jobs/" + ticket + "?wait=perhaps", "", nil, 400, []string{"wait"}},
		{"DELETE", "/v1/jobs/" + ticket[:20], "", nil, 400, []string{"ticket"}},
		{"PUT", "/v1/jobs", job, nil, 405, nil},
		{"GET", "/v1/nothing", "", nil, 404, nil},
		{"GET", "/v1/profiles", "", nil, 404, nil},
	} {
		c := &core{}
		w := c.serve(tt.method, tt.path, tt.body, tt.header...)
		assert.Equal(t, w.Code, tt.status, "%s %s: %s", tt.method, tt.path, w.Body)
		assert.Equal(t, len(c.events), 0, "%s %s", tt.method, tt.path)
		var p struct{ Error string }
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
		for _, name := range tt.problems {
			assert.Assert(t, strings.Contains(p.Error, name), "%q does not name %s", p.Error, name)
		}
	}
}

// TestRequestsInFlightAtStop checks that a request in flight when the process stops is answered
// with an unknown outcome, rather than with one that says that nothing ran.
func TestRequestsInFlightAtStop(t *testing.T) {
	for _, err := range []error{cornelwall.ErrStopping, context.Canceled} {
		w := (&core{err: err}).serve(http.MethodPost, "/v1/jobs", job)
		var a cornelwall.Answer
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &a))
		assert.Equal(t, w.Code, http.StatusGatewayTimeout)
		assert.Equal(t, a.Outcome, cornelwall.Unknown)
		assert.Assert(t, !a.Final)
	}
}

// TestHealthAndReadiness checks the health and readiness endpoints for each state of the core.
func TestHealthAndReadiness(t *testing.T) {
	good := cornelwall.Status{Machines: 1, Profiles: 1}
	stopping := good
	stopping.Stopping = true
	for _, tt := range []struct {
		core          core
		health, ready int
		reason        string
	}{
		{core{cmd: cornelwall.ReplyStatus{Status: good}}, 200, 200, ""},
		{core{cmd: cornelwall.ReplyStatus{Status: stopping}}, 200, 503, "stopping"},
		{core{cmd: cornelwall.ReplyStatus{Status: cornelwall.Status{Machines: 1}}}, 200, 503, "profile"},
		{core{cmd: cornelwall.ReplyStatus{Status: cornelwall.Status{Profiles: 1}}}, 200, 503, "endpoint"},
		{core{err: context.DeadlineExceeded}, 503, 503, "core"},
	} {
		assert.Equal(t, tt.core.serve(http.MethodGet, "/healthz", "").Code, tt.health)
		w := tt.core.serve(http.MethodGet, "/readyz", "")
		assert.Equal(t, w.Code, tt.ready)
		assert.Assert(t, strings.Contains(w.Body.String(), tt.reason), w.Body.String())
	}
}
