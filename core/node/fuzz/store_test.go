package fuzz

import (
	"context"
	"errors"

	"cornelwall"
)

var (
	background = context.Background()
	errNoReply = errors.New("reply lost")
)

// store implements [cornelwall.Store] for operators on the fake store, with faults.
type store struct {
	cornelwall.Store
	rig         *rig
	beforeWrite func() // runs once before the next write
	lostReplies int    // number of writes that take effect without a reply
	lostWrites  int    // number of writes that neither take effect nor get a reply
	blind       bool   // writes overwrite any revision
}

func (s *store) Get(_ context.Context, key string) (cornelwall.Pair, error) {
	if s.rig.w.Store.Down {
		return cornelwall.Pair{}, errNoReply
	}
	return s.rig.w.Store.Get(key), nil
}

func (s *store) CompareAndSwap(_ context.Context, key string, old uint64, value []byte, _ int64) (bool, error) {
	if f := s.beforeWrite; f != nil {
		s.beforeWrite = nil
		f()
	}
	st := s.rig.w.Store
	if st.Down || s.lostWrites > 0 {
		s.lostWrites--
		return false, errNoReply
	}
	if s.blind {
		old = st.Get(key).Revision
	}
	ok := st.CompareAndSwap(key, old, value)
	if ok {
		st.NotifyWatchers(s.rig.w, key)
	}
	if s.lostReplies > 0 {
		s.lostReplies--
		return false, errNoReply
	}
	return ok, nil
}
