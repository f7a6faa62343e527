package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond  // of each answer
	leaseStep    = 20 * time.Millisecond // between two looks for leases that have ended, by a watch that waits
	minLeaseTTL  = time.Second
	maxLeaseTTL  = 10 * time.Minute
)

// item is a key of the store as it is listed, or a tombstone.
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

// store stands in for the platform's store. It keeps its whole history.
type store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []item
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{} // closed with the next change
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

// put writes a key for the operator or an executor.
func (s *store) put(key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, b, 0)
	return nil
}

// set writes a key as of the current revision.
func (s *store) set(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.rev, Created: created, Lease: lease}
	s.items[key] = it
	s.append(it)
}

// append adds a change to the history, and wakes the watches that wait.
func (s *store) append(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes a key as of the current revision.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.append(item{Key: key, Revision: s.rev, Tombstone: true})
	}
}

// endLease removes a lease with its keys.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.endsAt) {
			s.endLease(id)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	last := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	switch call := r.Method + " " + strings.TrimSuffix(r.URL.Path, "/"+last); {
	case r.URL.Path == "/cornelwall/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/cornelwall/kv-range":
		s.list(w, r)
	case r.URL.Path == "/cornelwall/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/cornelwall/kv-lease":
		s.grant(w, r)
	case call == "POST /cornelwall/kv-keep":
		s.keep(w, last)
	case call == "DELETE /cornelwall/kv-lease-end":
		s.revoke(w, last)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, map[string]any{"items": items, "hasMore": false, "currentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); ; {
		events, rev, changed := s.changes(q.Get("prefix"), after)
		if len(events) > 0 || time.Now().After(until) || r.Context().Err() != nil {
			reply(w, map[string]any{"events": events, "currentRev": rev})
			return
		}
		t := time.NewTimer(leaseStep)
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
	}
}

// changes returns the changes under a prefix after a revision, the current revision, and a channel that is closed with the
// next change.
func (s *store) changes(prefix string, after int64) (events []item, rev int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	events = []item{}
	for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
		if strings.HasPrefix(s.history[i].Key, prefix) {
			events = append(events, s.history[i])
		}
	}
	slices.Reverse(events)
	return events, s.rev, s.changed
}

type txnRequest struct {
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

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txnRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, k := range t.SetKeys {
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
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
		s.remove(key)
	}
	reply(w, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(q.TTLMs)*time.Millisecond, minLeaseTTL), maxLeaseTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, endsAt: time.Now().Add(ttl)}
	reply(w, map[string]any{"lease": s.lastLease, "ttlMs": ttl.Milliseconds()})
}

// find returns the lease of a path, or nil if it has ended.
func (s *store) find(last string) (int64, *storeLease) {
	id, _ := strconv.ParseInt(last, 10, 64)
	s.expire()
	return id, s.leases[id]
}

func (s *store) keep(w http.ResponseWriter, last string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.find(last)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.endsAt = time.Now().Add(l.ttl)
	reply(w, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, last string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.find(last)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, map[string]any{})
}
