package platform

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	wire "cornelwall/io/platform"
)

const (
	maxValue    = 1 << 20 // bytes
	epochClosed = -1      // of a closed store
)

// store is the key-value service in memory.
type store struct {
	mu        sync.Mutex
	revision  int64
	kvs       map[string]wire.KV
	history   []wire.Event
	leases    map[int64]*time.Timer
	lastLease int64         // ID of the last lease
	epoch     int           // incremented by each restore
	changed   chan struct{} // closed at the next change
	saved     *snapshot
}

// snapshot is a saved state of the store.
type snapshot struct {
	revision int64
	kvs      map[string]wire.KV
	history  []wire.Event
}

func newStore() *store {
	return &store{
		revision: 1,
		kvs:      map[string]wire.KV{},
		leases:   map[int64]*time.Timer{},
		changed:  make(chan struct{}),
	}
}

// notify wakes all watches, which then read the store again. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) rangeOf(req wire.RangeRequest) wire.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := wire.RangeResponse{Header: wire.Header{Revision: s.revision}}
	for _, kv := range s.kvs {
		if inRange(kv.Key, req.Key, req.End) {
			resp.KVs = append(resp.KVs, kv)
		}
	}
	slices.SortFunc(resp.KVs, func(a, b wire.KV) int { return bytes.Compare(a.Key, b.Key) })
	resp.Count = int64(len(resp.KVs))
	return resp
}

func (s *store) txn(req wire.TxnRequest) (wire.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkTxn(req); err != nil {
		return wire.TxnResponse{}, err
	}
	for _, cmp := range req.Compare {
		if s.kvs[string(cmp.Key)].ModRevision != cmp.ModRevision {
			return wire.TxnResponse{Header: wire.Header{Revision: s.revision}}, nil
		}
	}
	if len(req.Success) > 0 {
		s.revision++
	}
	for _, op := range req.Success {
		s.put(*op.Put)
	}
	s.notify()
	return wire.TxnResponse{Header: wire.Header{Revision: s.revision}, Succeeded: true}, nil
}

func (s *store) checkTxn(req wire.TxnRequest) error {
	for _, cmp := range req.Compare {
		if cmp.Target != "MOD" || cmp.Result != "EQUAL" {
			return fmt.Errorf("compare %s %s is not supported; use MOD EQUAL", cmp.Target, cmp.Result)
		}
	}
	for _, op := range req.Success {
		if op.Put == nil || len(op.Put.Key) == 0 {
			return fmt.Errorf("operation is not supported; use request_put with a key")
		}
		if len(op.Put.Value) > maxValue {
			return fmt.Errorf("value has %d bytes; use at most %d", len(op.Put.Value), maxValue)
		}
		if op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil {
			return fmt.Errorf("requested lease not found")
		}
	}
	return nil
}

// put writes a key at the current revision. The caller holds mu.
func (s *store) put(p wire.Put) {
	kv := s.kvs[string(p.Key)]
	if kv.Version == 0 {
		kv.CreateRevision = s.revision
	}
	kv.Key, kv.Value, kv.Lease = p.Key, p.Value, p.Lease
	kv.ModRevision = s.revision
	kv.Version++
	s.kvs[string(p.Key)] = kv
	s.history = append(s.history, wire.Event{KV: kv})
}

// remove deletes all matching keys in one revision. The caller holds mu.
func (s *store) remove(match func(wire.KV) bool) {
	var keys []string
	for key, kv := range s.kvs {
		if match(kv) {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		delete(s.kvs, key)
		deleted := wire.KV{Key: []byte(key), ModRevision: s.revision}
		s.history = append(s.history, wire.Event{Type: wire.EventDelete, KV: deleted})
	}
	s.notify()
}

func (s *store) grant(req wire.GrantRequest) (wire.GrantResponse, error) {
	if req.TTL < 1 {
		return wire.GrantResponse{}, fmt.Errorf("TTL %d is not positive; use 1 or more seconds", req.TTL)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = time.AfterFunc(time.Duration(req.TTL)*time.Second, func() { s.expire(id) })
	return wire.GrantResponse{Header: wire.Header{Revision: s.revision}, ID: id, TTL: req.TTL}, nil
}

func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.remove(func(kv wire.KV) bool { return kv.Lease == id })
}

// changesSince returns the events of the watched range since the revision, the store's
// revision and epoch, and a channel that is closed at the next change.
func (s *store) changesSince(req wire.WatchCreate, from int64) (events []wire.Event, revision int64, epoch int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ev := range s.history {
		if ev.KV.ModRevision >= from && inRange(ev.KV.Key, req.Key, req.End) {
			events = append(events, ev)
		}
	}
	return events, s.revision, s.epoch, s.changed
}

// save saves the state for a later restore.
func (s *store) save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = &snapshot{revision: s.revision, kvs: clone(s.kvs), history: slices.Clone(s.history)}
}

// restore resets the store to the last save, without the keys whose leases have expired
// since. It ends all watches.
func (s *store) restore() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		return fmt.Errorf("there is no snapshot; call /ctl/snapshot first")
	}
	s.revision, s.kvs, s.history = s.saved.revision, clone(s.saved.kvs), slices.Clone(s.saved.history)
	s.epoch++
	s.remove(func(kv wire.KV) bool { return kv.Lease != 0 && s.leases[kv.Lease] == nil })
	s.notify()
	return nil
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, timer := range s.leases {
		timer.Stop()
	}
	s.epoch = epochClosed
	s.notify()
}

func clone(kvs map[string]wire.KV) map[string]wire.KV {
	c := make(map[string]wire.KV, len(kvs))
	for key, kv := range kvs {
		c[key] = kv
	}
	return c
}

// inRange reports whether the key equals first or, with an end, is in [first, end). As in
// etcd, an end of one zero byte stands for all keys from first on.
func inRange(key, first, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, first)
	case bytes.Equal(end, []byte{0}):
		return bytes.Compare(key, first) >= 0
	}
	return bytes.Compare(key, first) >= 0 && bytes.Compare(key, end) < 0
}
