package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const maxWatch = 30 * time.Second

// item is a key of the store, as it is sent.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// listRead is a read of the list of executors by an entry.
type listRead struct {
	at    time.Duration // since the lab was started
	entry string
}

// roomReport is the capacity that an executor has reported, in thousandths of a core.
type roomReport struct {
	at    time.Duration // since the lab was started
	cores int
}

// store stands in for the platform's store. It does what PROTOCOL.md says of it and has no faults.
type store struct {
	lab      *lab
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]time.Time // when each ends
	ttl     map[int64]time.Duration
	nextID  int64
	clients map[string]string // names of entries by the addresses of their connections
	reads   []listRead
	rooms   map[string][]roomReport // by executor
	changed chan struct{}           // closed and replaced with each change
}

func newStore(l *lab) (*store, error) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		lab: l, listener: n, rev: 1, items: map[string]item{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{},
		nextID: 1000, clients: map[string]string{}, rooms: map[string][]roomReport{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cornelwall/kv-key", s.getKey)
	mux.HandleFunc("GET /cornelwall/kv-range", s.getRange)
	mux.HandleFunc("GET /cornelwall/kv-watch", s.watch)
	mux.HandleFunc("POST /cornelwall/kv-txn", s.txn)
	mux.HandleFunc("POST /cornelwall/kv-lease", s.grant)
	mux.HandleFunc("POST /cornelwall/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /cornelwall/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(n) }()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// addClient records which entry has a connection.
func (s *store) addClient(addr, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[addr] = entry
}

// firstRead returns when one of the entries was first sent the list of executors after a time, or 0.
func (s *store) firstRead(after time.Duration, entries []*entry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.reads {
		if r.at > after && slices.ContainsFunc(entries, func(e *entry) bool { return e.name == r.entry }) {
			return r.at
		}
	}
	return 0
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// expire removes the keys of leases that have ended. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, end := range s.leases {
		if now.After(end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) set(key string, value []byte, lease int64) {
	s.rev++
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.rev, Tombstone: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or an executor does.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are the lab's own
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, b, 0)
}

// putExecutor writes the entry of an executor.
func (s *store) putExecutor(id string, cores int, value any) {
	s.put("servers/"+id, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rooms[id] = append(s.rooms[id], roomReport{s.lab.now(), cores})
}

// mostCores returns the most cores that the entry of an executor has shown between two times.
func (s *store) mostCores(id string, from, to time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, r := range s.rooms[id] {
		last := i == len(s.rooms[id])-1
		if r.at <= to && (last || s.rooms[id][i+1].at >= from) {
			most = max(most, r.cores)
		}
	}
	return most
}

// drop removes a key as an executor that leaves does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": s.rev})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if q.Get("prefix") == "servers/" {
		s.reads = append(s.reads, listRead{s.lab.now(), s.clients[r.RemoteAddr]})
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "hasMore": false, "currentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWatch))
	for done := false; ; {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond): // a lease may have ended
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		SetKeys []item   `json:"setKeys"`
		Remove  []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, met := []item{}, true
	for _, e := range in.Expect {
		it := s.items[e.Key]
		current, met = append(current, it), met && it.Revision == e.Revision
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, k := range in.SetKeys {
		if _, ok := s.leases[k.Lease]; k.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	for _, k := range in.SetKeys {
		s.set(k.Key, k.Value, k.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL <= 0 {
		reply(w, http.StatusBadRequest, map[string]any{"error": "ttlMs"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := max(time.Duration(in.TTL)*time.Millisecond, time.Second)
	s.ttl[s.nextID], s.leases[s.nextID] = ttl, time.Now().Add(ttl)
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.leases[id] = time.Now().Add(s.ttl[id])
	reply(w, http.StatusOK, map[string]any{"ttlMs": s.ttl[id].Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

// route is a queue of the config.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Type     string  `json:"type"`
	Timeout  int     `json:"timeoutMs"`
	Target   int     `json:"targetDurationMs"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
}

// putConfig writes a config as the operator does.
func (s *store) putConfig(version int, guards bool, routes ...route) {
	services := []map[string]any{}
	for _, r := range routes {
		services = append(services, map[string]any{
			"name": r.Service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": guards, "standby": false,
		})
	}
	s.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.lab.note("operator", fmt.Sprintf("config version %d acknowledged", version))
}
