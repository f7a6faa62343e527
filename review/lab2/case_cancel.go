package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	patience = 28 * time.Second // of a client for the end of its job
)

// lateStarts returns the starts of a cancelled job that came later than cancel_ms after the ack, and later
// than stableWindowMs after the end of all disruptions.
func (s *system) lateStarts(id string, acked, calmFrom time.Time) []string {
	limit := acked.Add(s.site.cancel)
	if calm := calmFrom.Add(s.site.stableWindow); calm.After(limit) {
		limit = calm
	}
	var broken []string
	for _, st := range s.startsOf(id) {
		if st.at.After(limit) {
			broken = append(broken, fmt.Sprintf("UNASKED: %s run %d starts on %s at %.3f, %.1f s after the cancelling was acknowledged",
				st.task, st.run, st.executor, s.since(st.at), st.at.Sub(acked).Seconds()))
		}
	}
	return broken
}

const (
	freezes    = 2 // of the entry, one after the other
	freezeTime = 3500 * time.Millisecond
	freezePace = 6 * time.Second // from one freeze to the next
	waveJobs   = 80              // handed in during each freeze
	jobSpacing = 30 * time.Millisecond
	regretTime = 500 * time.Millisecond // from handing a job in to its cancelling
)

// cancelEarly hands jobs in at an entry and cancels them through another one. The first entry is frozen
// meanwhile, and has not read them yet.
func cancelEarly(s *system, trouble bool) ([]string, error) {
	if err := s.start(s.controls()); err != nil {
		return nil, err
	}
	owner, other := s.entries[0], s.entries[3] // of two zones
	w := &cancelWave{s: s, owner: owner, other: other, ackedAt: map[string]time.Time{}}
	var calmFrom time.Time
	for range freezes {
		beganAt := time.Now()
		if trouble {
			if err := owner.signal(syscall.SIGSTOP); err != nil {
				return nil, err
			}
		}
		w.play()
		time.Sleep(time.Until(beganAt.Add(freezeTime)))
		if trouble {
			if err := owner.signal(syscall.SIGCONT); err != nil {
				return nil, err
			}
		}
		calmFrom = time.Now()
		time.Sleep(time.Until(beganAt.Add(freezePace)))
	}
	w.posts.Wait()
	if len(w.ackedAt) == 0 {
		return nil, errors.New("no cancelling was acknowledged")
	}
	var broken []string
	for id, at := range w.ackedAt {
		broken = append(broken, s.lateStarts(id, at, calmFrom)...)
	}
	slices.Sort(broken)
	return broken, nil
}

// cancelWave is a number of jobs that clients hand in at one entry and cancel soon after through another.
type cancelWave struct {
	s            *system
	owner, other *entry
	posts        sync.WaitGroup

	mu      sync.Mutex
	ackedAt map[string]time.Time // when the cancelling of a job was acknowledged
}

// play hands the jobs in and returns once all cancels are answered.
func (w *cancelWave) play() {
	time.Sleep(200 * time.Millisecond)
	j := w.s.chain(4*time.Second, 4*time.Second, 4*time.Second)
	var cancels sync.WaitGroup
	for range waveJobs {
		id := newID()
		w.posts.Go(func() { w.s.request(w.owner, http.MethodPost, id, j, patience) })
		cancels.Go(func() {
			time.Sleep(regretTime)
			w.cancel(id)
		})
		time.Sleep(jobSpacing)
	}
	cancels.Wait()
}

func (w *cancelWave) cancel(id string) {
	a := w.s.request(w.other, http.MethodDelete, id, nil, w.s.site.ack)
	if a.err != nil || a.status/100 != 2 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ackedAt[id] = a.at
}

// cancelUnheard cancels a job through an entry that was restarted while the store turned it away and
// that knows no other entry.
func cancelUnheard(s *system, trouble bool) ([]string, error) {
	const (
		outage  = 4 * time.Second
		restart = 500 * time.Millisecond // until a killed process is started again
	)
	owner, other := s.entries[0], s.entries[3] // of two zones
	seeds := []string{other.control}
	for i := range 2 { // machines that have been replaced
		addr, err := freePort(fmt.Sprintf("%s.%d", s.net, 50+i))
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, addr)
	}
	if err := s.start(seeds); err != nil {
		return nil, err
	}
	beganAt := time.Now()
	if trouble {
		s.rec.add("store: turns %s away", other.name)
		other.access.turnedAway.Store(true)
	}
	time.Sleep(300 * time.Millisecond)
	id := newID()
	j := s.chain(3500*time.Millisecond, 3500*time.Millisecond, 3500*time.Millisecond, 3500*time.Millisecond)
	posted := make(chan answer, 1)
	go func() { posted <- s.request(owner, http.MethodPost, id, j, patience) }()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		other.kill()
		time.Sleep(restart)
		if err := other.start(); err != nil {
			return nil, err
		}
	}
	if !waitUntil(time.Second, other.listening) {
		return nil, errors.New("the restarted entry does not listen")
	}
	time.Sleep(200 * time.Millisecond)
	if !s.balancer.inRotation(other) {
		return nil, errors.New("the balancer sends the restarted entry no channels")
	}
	cancelled := s.request(other, http.MethodDelete, id, nil, s.site.ack)
	time.Sleep(time.Until(beganAt.Add(outage)))
	other.access.turnedAway.Store(false)
	calmFrom := beganAt
	if trouble {
		s.rec.add("store: serves %s again", other.name)
		calmFrom = time.Now()
	}
	<-posted
	if cancelled.err != nil || cancelled.status/100 != 2 {
		s.rec.add("the cancelling was not acknowledged")
		return nil, nil
	}
	return s.lateStarts(id, cancelled.at, calmFrom), nil
}

// cancelUnlisted cancels a job long after its entry was added while the store lost answers. The write
// that registered the entry was done late, under a lease that has ended since.
func cancelUnlisted(s *system, trouble bool) ([]string, error) {
	const (
		lossTime   = 4500 * time.Millisecond
		lateBy     = 1200 * time.Millisecond
		forgetTime = 15 * time.Second // in which nothing is asked of the system
	)
	owner, other := s.entries[0], s.entries[len(s.entries)-1] // of two zones
	if err := s.start(s.controls(), owner); err != nil {
		return nil, err
	}
	beganAt := time.Now()
	if trouble {
		s.rec.add("store: loses answers, and does what was not answered later")
		owner.access.lateWrite.Store(int64(lateBy))
	}
	if err := owner.start(); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(beganAt.Add(lossTime)))
	owner.access.lateWrite.Store(0)
	calmFrom := time.Now()
	s.rec.add("store: calm; %s is registered: %t", owner.name, s.store.has("cornelwall/members/"+owner.name))
	time.Sleep(forgetTime)
	if !owner.ready() {
		return nil, errors.New("the added entry is not ready")
	}
	id := newID()
	j := s.chain(4*time.Second, 4*time.Second, 4*time.Second)
	posted := make(chan answer, 1)
	go func() { posted <- s.request(owner, http.MethodPost, id, j, patience) }()
	time.Sleep(time.Second)
	cancelled := s.request(other, http.MethodDelete, id, nil, s.site.ack)
	<-posted
	if cancelled.err != nil || cancelled.status/100 != 2 {
		return nil, errors.New("the cancelling was not acknowledged")
	}
	return s.lateStarts(id, cancelled.at, calmFrom), nil
}
