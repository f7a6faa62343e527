package fuzz

import (
	"context"
	"errors"

	"cornelwall"
)

var (
	background = context.Background()
	errLost    = errors.New("answer lost")
)

// store is the operators' way to the fake store.
type store struct {
	cornelwall.Store
	rig     *rig
	between func() // runs once between a read and the write that follows it
	lose    int    // writes that take effect without an answer
	vanish  int    // writes that have neither
	blind   bool   // writes without comparing
}

func (s *store) Get(_ context.Context, key string) (cornelwall.Pair, error) {
	if s.rig.w.Store.Down {
		return cornelwall.Pair{}, errLost
	}
	return s.rig.w.Store.Get(key), nil
}

func (s *store) CompareAndSwap(_ context.Context, key string, old uint64, value []byte, _ int64) (bool, error) {
	if f := s.between; f != nil {
		s.between = nil
		f()
	}
	st := s.rig.w.Store
	if st.Down || s.vanish > 0 {
		s.vanish--
		return false, errLost
	}
	if s.blind {
		old = st.Get(key).Revision
	}
	ok := st.Swap(key, old, value)
	if ok {
		st.Publish(s.rig.w, key)
	}
	if s.lose > 0 {
		s.lose--
		return false, errLost
	}
	return ok, nil
}
