package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/io/caller"
	"cornelwall/io/operator"
)

const token = "token-of-the-tests"

// core has the profiles that were posted, and one peer that confirms the versions in peer.
type core struct {
	mu       sync.Mutex
	profiles map[string]cornelwall.Profile
	peer     []uint64 // the peer's version at each query; the last one is repeated
}

func (c *core) Post(ev cornelwall.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range ev.(cornelwall.WatchUpdate).Profiles {
		c.profiles[p.Name] = p
	}
}

func (c *core) Ask(_ context.Context, event func(uint64) cornelwall.Event) (cornelwall.Command, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch ev := event(1).(type) {
	case cornelwall.FetchProfiles:
		var ps []cornelwall.Profile
		for _, p := range c.profiles {
			ps = append(ps, p)
		}
		return cornelwall.ReplyProfiles{Profiles: ps}, nil
	case cornelwall.FetchProfileStatus:
		self := cornelwall.Incarnation{DataCentre: "ikeja", Entry: "e1", Epoch: 1}
		other := cornelwall.Incarnation{DataCentre: "lekki", Entry: "e1", Epoch: 1}
		v := c.peer[0]
		c.peer = c.peer[min(1, len(c.peer)-1):]
		return cornelwall.ReplyProfileStatus{Entries: []cornelwall.ProfileStatus{
			{Entry: self, Version: c.profiles[ev.Name].Version},
			{Entry: other, Version: v, Missing: v == 0},
		}}, nil
	}
	return nil, cornelwall.ErrStopping
}

// store is the platform's store. While answersToLose is positive, a write takes effect but
// returns an error; with downAfterLoss it also makes the store unavailable, so that reads fail.
type store struct {
	cornelwall.Store
	pairs         map[string]cornelwall.Pair
	answersToLose int
	downAfterLoss bool
	down          bool
}

func (s *store) Get(_ context.Context, key string) (cornelwall.Pair, error) {
	if s.down {
		return cornelwall.Pair{}, cornelwall.ErrStore
	}
	return s.pairs[key], nil
}

func (s *store) CompareAndSwap(_ context.Context, key string, old uint64, value []byte, _ int64) (bool, error) {
	if s.pairs[key].Revision != old {
		return false, nil
	}
	s.pairs[key] = cornelwall.Pair{Key: key, Value: value, Revision: old + 1}
	if s.answersToLose > 0 {
		s.answersToLose--
		s.down = s.downAfterLoss
		return false, cornelwall.ErrStore
	}
	return true, nil
}

type fixture struct {
	t     *testing.T
	core  *core
	store *store
	log   strings.Builder
	h     http.Handler
}

func newFixture(t *testing.T) *fixture {
	r := &fixture{t: t, core: &core{profiles: map[string]cornelwall.Profile{}, peer: []uint64{0}},
		store: &store{pairs: map[string]cornelwall.Pair{}}}
	n := 0
	log := funcr.New(func(_, args string) { r.log.WriteString(args + "\n") }, funcr.Options{})
	r.h = operator.New(r.core, r.store, token, func() string { n++; return fmt.Sprintf("drawn-%d", n) }, log)
	return r
}

// call sends a request and returns the status and the body of the answer.
func (r *fixture) call(method, path, body string) (int, string) {
	r.t.Helper()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set(operator.HeaderOperator, "funke\n")
	w := httptest.NewRecorder()
	r.h.ServeHTTP(w, req)
	text, err := io.ReadAll(w.Body)
	assert.NilError(r.t, err)
	return w.Code, string(text)
}

func TestChanges(t *testing.T) {
	const holds = `{"name":"holds","team":"bookings"}`
	r := newFixture(t)
	for _, tt := range []struct {
		name, method, path, body string
		code                     int
		want                     string
	}{
		{"unknown field and bad value", "PUT", "/v1/profiles/holds", `{"name":"holds","clas":"urgent","stale":"wait"}`, 400,
			`"clas: field \"clas\" is unknown; leave it out or correct its name","stale: stale \"wait\" is unknown; use serve or refuse"`},
		{"several values out of range", "PUT", "/v1/profiles/holds", `{"name":"holds","queue":-1,"quota":5000}`, 400,
			`"queue -1 is out of range; use 1 to 1048576","quota 5000 is out of range; use 1 to 1000"`},
		{"different name in the path", "PUT", "/v1/profiles/hold", holds, 400, "make them the same"},
		{"retired set in the body", "PUT", "/v1/profiles/holds", `{"name":"holds","team":"b","retired":true}`, 400, "profile retire"},
		{"create", "PUT", "/v1/profiles/holds?create=true", holds, 200, `"class":"normal"`},
		{"create again", "PUT", "/v1/profiles/holds?create=true", holds, 409, "exists already"},
		{"change", "PUT", "/v1/profiles/holds?expect=1&change=c2", `{"name":"holds","team":"bookings","queue":7}`, 200, `"version":2`},
		{"the same change again", "PUT", "/v1/profiles/holds?expect=1&change=c2", `{"name":"holds","team":"bookings","queue":7}`, 200, `"version":2`},
		{"same identity with different content", "PUT", "/v1/profiles/holds?expect=1&change=c2", holds, 400, "choose a new identity"},
		{"identity without a version", "PUT", "/v1/profiles/holds?change=c9", holds, 400, "set one"},
		{"lost race", "PUT", "/v1/profiles/holds?expect=1", holds, 409, "is at version 2, not 1"},
		{"misspelt condition", "PUT", "/v1/profiles/holds?expcet=1", holds, 400, `parameter \"expcet\" is unknown; use expect, create, change`},
		{"mutually exclusive conditions", "PUT", "/v1/profiles/holds?expect=1&create=true", holds, 400, "use one"},
		{"no version", "DELETE", "/v1/profiles/holds?expect=latest", "", 400, "is not a version"},
		{"retire", "DELETE", "/v1/profiles/holds?expect=2&change=c3", "", 200, `"retired":true`},
		{"the same retirement again", "DELETE", "/v1/profiles/holds?expect=2&change=c3", "", 200, `"version":3`},
		{"retired name", "PUT", "/v1/profiles/holds", holds, 409, "choose another name"},
		{"retire a profile that does not exist", "DELETE", "/v1/profiles/nothing", "", 404, "does not exist"},
	} {
		code, body := r.call(tt.method, tt.path, tt.body)
		assert.Equal(t, code, tt.code, "%s: %s", tt.name, body)
		assert.Assert(t, strings.Contains(body, tt.want), "%s: %s", tt.name, body)
	}
	assert.Equal(t, strings.Count(r.log.String(), `"profile-changed"`), 5, r.log.String())
	assert.Assert(t, strings.Contains(r.log.String(), `"operator"="funke"`), r.log.String())
	assert.Assert(t, !strings.Contains(r.log.String(), token))
}

// TestLostAnswer checks that the ID of a change whose answer was lost shows whether it took
// effect: by reading the profile back, or when the operator sends the change again.
func TestLostAnswer(t *testing.T) {
	r := newFixture(t)
	r.store.answersToLose = 1
	code, text := r.call("PUT", "/v1/profiles/checks", `{"name":"checks","team":"bookings"}`)
	assert.Equal(t, code, 200, "resolved by reading back: %s", text)

	r.store.answersToLose, r.store.downAfterLoss = 1, true
	const path, body = "/v1/profiles/holds?create=true&change=c1", `{"name":"holds","team":"bookings"}`
	code, text = r.call("PUT", path, body)
	assert.Equal(t, code, 503)
	assert.Assert(t, strings.Contains(text, "is not known"), text)
	r.store.down = false
	code, text = r.call("PUT", path, body)
	assert.Equal(t, code, 200, text)
	assert.Assert(t, strings.Contains(text, `"version":1`), text)
}

func TestToken(t *testing.T) {
	r := newFixture(t)
	for _, header := range []string{"", "Bearer ", "Bearer " + token + "x", token, "bearer " + token} {
		req := httptest.NewRequest(http.MethodGet, "/v1/profiles", nil)
		req.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		r.h.ServeHTTP(w, req)
		assert.Equal(t, w.Code, 401, header)
	}
	assert.Equal(t, strings.Count(r.log.String(), `"operator-refused"`), 5)
	assert.Assert(t, !strings.Contains(r.log.String(), token))
}

func TestStatus(t *testing.T) {
	r := newFixture(t)
	code, _ := r.call("GET", "/v1/profiles/holds/status", "")
	assert.Equal(t, code, 404)
	r.core.profiles["holds"] = cornelwall.Profile{Name: "holds", Version: 2}
	for _, tt := range []struct {
		query   string
		peer    []uint64
		code    int
		version uint64
		inforce bool
	}{
		{"", []uint64{0}, 200, 2, false},
		{"", []uint64{2}, 200, 2, true},
		{"?wait=30s", []uint64{0, 1, 2}, 200, 2, true},
		{"?wait=1ms", []uint64{1}, 200, 2, false},
		{"?version=1", []uint64{1}, 200, 1, true},
		{"?wait=forever", []uint64{1}, 400, 0, false},
		{"?wiat=30s", []uint64{1}, 400, 0, false},
		{"?version=x", []uint64{1}, 400, 0, false},
	} {
		r.core.peer = tt.peer
		code, body := r.call("GET", "/v1/profiles/holds/status"+tt.query, "")
		assert.Equal(t, code, tt.code, body)
		var s operator.Status
		assert.NilError(t, json.Unmarshal([]byte(body), &s))
		assert.Equal(t, s.Version, tt.version)
		assert.Equal(t, s.InForce, tt.inforce)
		if code == 200 {
			assert.Equal(t, len(s.Entries), 2)
			assert.Equal(t, len(s.Unconfirmed()) == 0, tt.inforce)
		}
	}
}

// TestCallerAPIRejectsOperatorRequests checks that the callers' API serves no operator requests,
// not even with the operators' token.
func TestCallerAPIRejectsOperatorRequests(t *testing.T) {
	r := newFixture(t)
	r.h = caller.New(r.core)
	for _, tt := range []struct{ method, path string }{
		{"GET", "/v1/profiles"}, {"GET", "/v1/profiles/holds"}, {"GET", "/v1/profiles/holds/status"},
		{"PUT", "/v1/profiles/holds"}, {"DELETE", "/v1/profiles/holds"}, {"GET", "/metrics"},
	} {
		code, body := r.call(tt.method, tt.path, `{"name":"holds","team":"bookings"}`)
		assert.Equal(t, code, 404, body)
	}
	assert.Equal(t, len(r.core.profiles), 0)
}
