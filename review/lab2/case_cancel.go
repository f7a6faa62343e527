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
	shareOf    = 20              // jobs, of which shareLeft are cancelled
	shareLeft  = 7
	jobSpacing = 30 * time.Millisecond
	shortTime  = 60 * time.Millisecond  // of a job that is not cancelled
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
	var cancels sync.WaitGroup
	for i := range waveJobs {
		id := newID()
		if i*shareLeft%shareOf >= shareLeft {
			j := w.s.chain(id, shortTime)
			w.posts.Go(func() { w.s.request(w.owner, http.MethodPost, id, j, patience) })
			time.Sleep(jobSpacing)
			continue
		}
		j := w.s.chain(id, 4*time.Second, 4*time.Second, 4*time.Second)
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
// that knows no other entry: two of its seeds have just been replaced, and the third is itself.
func cancelUnheard(s *system, trouble bool) ([]string, error) {
	const (
		outage  = 4 * time.Second
		restart = 500 * time.Millisecond // until a killed process is started again
		grace   = 6 * time.Second        // graceS
		seedLag = 3 * time.Second        // seedLagS
	)
	// Zone 1 has the entries 0 to 3 and zone 2 the entries 4 to 6; 3 and 6 are spare.
	owner, other := s.entries[0], s.entries[4]
	replaced, spare := []*entry{s.entries[1], s.entries[5]}, []*entry{s.entries[3], s.entries[6]}
	if err := s.start([]string{other.control, replaced[0].control, replaced[1].control}, spare...); err != nil {
		return nil, err
	}
	var replacedAt time.Time
	if trouble {
		if err := s.replace(replaced, spare, grace); err != nil {
			return nil, err
		}
		replacedAt = time.Now()
	}
	beganAt := time.Now()
	if trouble {
		s.rec.add("store: turns %s away", other.name)
		other.access.turnedAway.Store(true)
	}
	id := newID()
	j := s.chain(id, 3500*time.Millisecond, 3500*time.Millisecond, 3500*time.Millisecond, 3500*time.Millisecond)
	posted := make(chan answer, 1)
	go func() { posted <- s.request(owner, http.MethodPost, id, j, patience) }()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		other.kill()
		time.Sleep(restart)
		if err := s.startEntry(other); err != nil {
			return nil, err
		}
		if lag := time.Since(replacedAt); lag > seedLag {
			return nil, fmt.Errorf("the seeds are %s old", lag)
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

// replace starts spare entries and then stops others as planned.
func (s *system) replace(old, spare []*entry, grace time.Duration) error {
	for _, e := range spare {
		if err := s.startEntry(e); err != nil {
			return err
		}
	}
	if !waitUntil(startTime, func() bool {
		return !slices.ContainsFunc(spare, func(e *entry) bool { return !e.ready() })
	}) {
		return errors.New("the spare entries did not become ready")
	}
	errs := make([]error, len(old))
	var wg sync.WaitGroup
	for i, e := range old {
		wg.Go(func() {
			killed, err := e.stop(grace)
			if killed {
				err = errors.New("an entry did not stop in time")
			}
			errs[i] = err
		})
	}
	wg.Wait()
	return errors.Join(errs...)
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
	if err := s.startEntry(owner); err != nil {
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
	j := s.chain(id, 4*time.Second, 4*time.Second, 4*time.Second)
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
