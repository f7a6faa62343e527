package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	storeDelay   = 4 * time.Millisecond // of an answer
	rangeLimit   = 500                  // items of one answer
	leaseScan    = 20 * time.Millisecond
	maxWatchWait = 30 * time.Second
)

// item is a key of the store, or its removal if Tombstone is set.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl    time.Duration
	endsAt time.Time
}

// store stands in for the platform's store.
type store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []item
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{} // closed at the next change
}

func newStore(ctx context.Context) *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	go s.expireLeases(ctx)
	return s
}

// put writes a key without a condition or a lease, as the operator and the executors do.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic("value cannot be encoded: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, b, 0)
	s.notify()
}

// has reports whether a key exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// set writes a key at the current revision. The caller holds mu.
func (s *store) set(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

// unset removes a key at the current revision. The caller holds mu.
func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.rev, Tombstone: true})
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that were not renewed in time.
func (s *store) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(leaseScan)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.endsAt) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.unset(key)
		}
	}
	s.notify()
}

// access is the way of one entry to the store, which can turn it away.
type access struct {
	store      *store
	turnedAway atomic.Bool
	lateWrite  atomic.Int64 // after which time, in nanoseconds, the next transaction is done, without an answer; 0 is none
}

// ServeHTTP serves one call.
func (a *access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.turnedAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeDelay)
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/cornelwall/"), "/")
	switch path {
	case "kv-key":
		a.store.serveKey(w, r)
	case "kv-range":
		a.store.serveRange(w, r)
	case "kv-watch":
		a.store.serveWatch(w, r, &a.turnedAway)
	case "kv-txn":
		a.serveTxn(w, r)
	case "kv-lease":
		a.store.serveGrant(w, r)
	case "kv-keep":
		a.store.serveKeep(w, id)
	case "kv-lease-end":
		a.store.serveLeaseEnd(w, id)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// serveTxn carries out a transaction, or loses its answer and carries it out later.
func (a *access) serveTxn(w http.ResponseWriter, r *http.Request) {
	after := time.Duration(a.lateWrite.Swap(0))
	if after == 0 {
		a.store.serveTxn(w, r)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.AfterFunc(after, func() {
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(bytes.NewReader(b))
		a.store.serveTxn(httptest.NewRecorder(), again)
	})
	<-r.Context().Done()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{it, s.rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > rangeLimit
	reply(w, http.StatusOK, map[string]any{"items": list[:min(len(list), rangeLimit)], "hasMore": more, "currentRev": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, turnedAway *atomic.Bool) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, err2 := strconv.Atoi(q.Get("waitMs"))
	if errors.Join(err1, err2) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		events, rev, changed := s.eventsAfter(q.Get("prefix"), after)
		if turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after int64) (events []item, rev int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.rev, s.changed
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, k := range t.SetKeys {
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, k := range t.SetKeys {
		s.set(k.Key, k.Value, k.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, endsAt: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": q.TTLMs})
}

func (s *store) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64) // a malformed ID names no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.endsAt = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64) // a malformed ID names no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[n] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(n)
	w.WriteHeader(http.StatusOK)
}
