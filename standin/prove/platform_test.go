package prove

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cornelwall"
	"cornelwall/standin/drive"
	"cornelwall/standin/local"
	"cornelwall/standin/platform"
)

// setFault sets how the stand-in platform misbehaves.
func (s *harness) setFault(ctx context.Context, f platform.Fault) error {
	return s.PostControl(ctx, "/ctl/fault", f)
}

// putProfile writes a profile through entry i. expect is the version that it must replace; 0 replaces
// any.
func (s *harness) putProfile(ctx context.Context, i int, p cornelwall.Profile, expect uint64) (cornelwall.Profile, error) {
	url := fmt.Sprintf("%s/v1/profiles/%s?expect=%d", s.Entries[i].URL("operators"), p.Name, expect)
	if expect == 0 {
		url = s.Entries[i].URL("operators") + "/v1/profiles/" + p.Name
	}
	err := local.CallJSON(ctx, http.MethodPut, url, p, &p)
	return p, err
}

// profileAt returns the profile as entry i sees it.
func (s *harness) profileAt(ctx context.Context, i int, name string) (cornelwall.Profile, error) {
	var p cornelwall.Profile
	err := local.CallJSON(ctx, http.MethodGet, s.Entries[i].URL("operators")+"/v1/profiles/"+name, nil, &p)
	return p, err
}

// awaitStatus waits until the profile status that entry i collects includes all entries and each
// satisfies check.
func (s *harness) awaitStatus(ctx context.Context, i int, name string, check func(cornelwall.ProfileStatus) bool) error {
	url := s.Entries[i].URL("operators") + "/v1/profiles/" + name + "/status"
	return local.Poll(ctx, func() error {
		var st struct{ Force []cornelwall.ProfileStatus }
		if err := local.CallJSON(ctx, http.MethodGet, url, nil, &st); err != nil {
			return err
		}
		for _, f := range st.Force {
			if f.Missing || !check(f) {
				return fmt.Errorf("entry %s has %+v", f.Entry, f)
			}
		}
		if len(st.Force) != len(s.Entries) {
			return fmt.Errorf("status has %d of %d entries", len(st.Force), len(s.Entries))
		}
		return nil
	})
}

// statusCode returns the HTTP status in an error of local.CallJSON, 200 if err holds no status.
func statusCode(err error) int {
	var status *local.StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return http.StatusOK
}

func isStale(f cornelwall.ProfileStatus) bool { return f.Stale }

// profileWithQueue returns the profile of the scenarios' jobs with the queue length and the default
// deadline.
func profileWithQueue(queue int) cornelwall.Profile {
	p := cornelwall.Profile{Name: profileName, Team: "bookings", Queue: queue}
	p.Normalise()
	return p
}

// platformAway takes the platform down until every entry reports its profile as stale. Jobs with
// tickets still run. For a job with an idempotency key, no entry can know whether it ran before, so
// the answer must be unknown. Profile changes are refused and must have no effect.
func platformAway(ctx context.Context, s *harness) error {
	keyed := newJob("keyed", 4)
	keyed.Key = "caller-key"
	if err := s.setFault(ctx, platform.Fault{Down: true, VMs: true}); err != nil {
		return err
	}
	refused := func(r drive.Reply) error {
		if r.Reason != cornelwall.ReasonStore {
			return fmt.Errorf("job with a key was refused because of %s", r.Reason)
		}
		return answerIs(cornelwall.Unknown, false)(r)
	}
	_, putErr := s.putProfile(ctx, 1, profileWithQueue(77), 0)
	if statusCode(putErr) != http.StatusServiceUnavailable {
		return fmt.Errorf("a profile change during the outage gave status %d, want 503: %w", statusCode(putErr), putErr)
	}
	err := errors.Join(
		s.expectAnswers(ctx, []int{0}, keyed, cornelwall.Ticket{}, refused),
		s.expectAllDone(ctx, "early", 10, 8),
		s.awaitStatus(ctx, 0, profileName, isStale),
		s.expectAllDone(ctx, "late", 10, 8),
		s.setFault(ctx, platform.Fault{}),
		s.awaitStatus(ctx, 0, profileName, func(f cornelwall.ProfileStatus) bool { return !f.Stale && f.Version == 1 }))
	if err != nil {
		return err
	}
	p, err := s.putProfile(ctx, 2, profileWithQueue(78), 1)
	if err != nil {
		return err
	}
	return errors.Join(
		s.expectAnswers(ctx, []int{1}, keyed, cornelwall.Ticket{}, answerIs(cornelwall.Done, true)),
		s.awaitStatus(ctx, 3, profileName, func(f cornelwall.ProfileStatus) bool { return f.Version == p.Version }))
}

// staleProfile takes the platform down until the profiles are stale. Entries must refuse jobs of the
// profile with stale=refuse and still serve jobs of the other.
func staleProfile(ctx context.Context, s *harness) error {
	strict := cornelwall.Profile{Name: "strict", Team: "bookings", Stale: cornelwall.Refuse}
	if err := s.Apply(ctx, strict); err != nil {
		return err
	}
	strictJob := func(name string) drive.Job {
		j := newJob(name, 2)
		j.Profile = strict.Name
		return j
	}
	if _, err := s.Run(ctx, strictJob("fresh")); err != nil {
		return err
	}
	tk, err := s.DrawTickets(ctx, s.Entries[1].URL("callers"), strict.Name, 1)
	if err != nil {
		return err
	}
	err = errors.Join(
		s.setFault(ctx, platform.Fault{Down: true}),
		s.awaitStatus(ctx, 0, strict.Name, isStale),
		s.expectAnswers(ctx, []int{0, 1, 2}, strictJob("stale"), tk[0], func(r drive.Reply) error {
			if r.Reason != cornelwall.ReasonStale {
				return fmt.Errorf("refused because of %s", r.Reason)
			}
			return answerIs(cornelwall.NotRun, true)(r)
		}),
		s.expectAllDone(ctx, "serving", 10, 4),
		s.setFault(ctx, platform.Fault{}))
	if err != nil {
		return err
	}
	a, err := s.Run(ctx, strictJob("healed"))
	return errors.Join(err, answerIs(cornelwall.Done, true)(drive.Reply{Answer: a}))
}

// lostSwaps loses the responses to compare-and-swaps that took effect, both of profile changes and of
// idempotency keys.
func lostSwaps(ctx context.Context, s *harness) error {
	for round := range 4 {
		if err := s.setFault(ctx, platform.Fault{LoseSwaps: 1}); err != nil {
			return err
		}
		p, err := s.putProfile(ctx, round, profileWithQueue(100+round), uint64(round+1))
		if err != nil {
			return fmt.Errorf("change %d: %w", round, err)
		}
		err = s.awaitStatus(ctx, 0, profileName, func(f cornelwall.ProfileStatus) bool { return f.Version == p.Version })
		if err != nil || p.Version != uint64(round+2) {
			return errors.Join(err, fmt.Errorf("change %d has version %d", round, p.Version))
		}
	}
	for round := range 8 {
		if err := s.setFault(ctx, platform.Fault{LoseSwaps: len(s.Entries)}); err != nil {
			return err
		}
		j := newJob(fmt.Sprintf("keyed-%d", round), 4)
		j.Key = j.Name
		if err := s.expectAnswers(ctx, s.entriesExcept(), j, cornelwall.Ticket{}, answerIs(cornelwall.Done, true)); err != nil {
			return err
		}
	}
	return s.setFault(ctx, platform.Fault{})
}

// olderStore restores the store to an older state. Entries must log this and keep the newer profile,
// and the next change must get a version above it.
func olderStore(ctx context.Context, s *harness) error {
	if err := s.PostControl(ctx, "/ctl/snapshot", nil); err != nil {
		return err
	}
	if err := errors.Join(s.Apply(ctx, profileWithQueue(55)), s.PostControl(ctx, "/ctl/restore", nil)); err != nil {
		return err
	}
	logged := func() error {
		for _, p := range s.Entries {
			if ok, err := p.LogContains("msg=store-older"); ok || err != nil {
				return err
			}
		}
		return errors.New("no entry has logged store-older")
	}
	kept := func() error {
		for i := range s.Entries {
			if p, err := s.profileAt(ctx, i, profileName); err != nil || p.Version != 2 || p.Queue != 55 {
				return errors.Join(err, fmt.Errorf("entry %d has version %d with queue %d, want 2 with 55", i, p.Version, p.Queue))
			}
		}
		return nil
	}
	noticed := func() error {
		if kept() != nil {
			return nil // reported by kept below
		}
		return logged()
	}
	if err := errors.Join(local.Poll(ctx, noticed), kept(), logged()); err != nil {
		return err
	}
	if err := errors.Join(s.Entries[2].Kill(), s.restartEntry(ctx, 2)); err != nil {
		return err
	}
	if err := local.Poll(ctx, kept); err != nil { // the new incarnation gets version 2 from its peers
		return err
	}
	p, err := s.putProfile(ctx, 2, profileWithQueue(56), 2)
	if err != nil || p.Version != 3 {
		return errors.Join(err, fmt.Errorf("the next change has version %d, want 3", p.Version))
	}
	return s.awaitStatus(ctx, 1, profileName, func(f cornelwall.ProfileStatus) bool { return f.Version == 3 })
}

// operatorsRace changes one profile through two entries concurrently. Each time exactly one change must
// win, the other must be refused, and no entry may ever go back to a lower version.
func operatorsRace(ctx context.Context, s *harness) error {
	const rounds = 20
	stop := s.watchVersions(ctx)
	var err error
	for round := 1; round <= rounds && err == nil; round++ {
		err = s.raceChanges(ctx, uint64(round))
	}
	return errors.Join(err, stop())
}

// raceChanges replaces the version from through two entries concurrently. One must succeed and the
// other get status 409.
func (s *harness) raceChanges(ctx context.Context, from uint64) error {
	racers := []int{0, 2}
	accepted := make([]cornelwall.Profile, len(racers))
	errs := make([]error, len(racers))
	var g sync.WaitGroup
	for n, i := range racers {
		g.Go(func() { accepted[n], errs[n] = s.putProfile(ctx, i, profileWithQueue(1000+10*int(from)+n), from) })
	}
	g.Wait()
	won := -1
	for n := range racers {
		switch {
		case errs[n] == nil && won >= 0:
			return fmt.Errorf("both changes of version %d were accepted", from)
		case errs[n] == nil:
			won = n
		case statusCode(errs[n]) != http.StatusConflict:
			return fmt.Errorf("the losing change returned %w, want status 409", errs[n])
		}
	}
	if won < 0 {
		return fmt.Errorf("no change of version %d was accepted: %w", from, errors.Join(errs...))
	}
	return local.Poll(ctx, func() error {
		for i := range s.Entries {
			p, err := s.profileAt(ctx, i, profileName)
			if err != nil {
				return err
			}
			if p.Version != from+1 || p.Queue != accepted[won].Queue {
				return fmt.Errorf("entry %d has version %d with queue %d, want %d with %d", i, p.Version, p.Queue, from+1, accepted[won].Queue)
			}
		}
		return nil
	})
}

// watchVersions polls the version at every entry until stop is called. stop returns an error if a
// version decreased.
func (s *harness) watchVersions(ctx context.Context) (stop func() error) {
	wctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- s.checkVersionsNeverDecrease(wctx) }()
	return func() error {
		cancel()
		return <-ended
	}
}

// checkVersionsNeverDecrease polls the version at every entry until ctx ends.
func (s *harness) checkVersionsNeverDecrease(ctx context.Context) error {
	seen := make([]uint64, len(s.Entries))
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		<-tick.C
		for i := range s.Entries {
			p, err := s.profileAt(ctx, i, profileName)
			if err != nil {
				continue
			}
			if p.Version < seen[i] {
				return fmt.Errorf("entry %d went from version %d to %d", i, seen[i], p.Version)
			}
			seen[i] = p.Version
		}
	}
	return nil
}

// sameKey submits one job with one idempotency key to every entry concurrently and kills one of the
// entries while the job runs. Each task may start only once, which the audit checks.
func sameKey(ctx context.Context, s *harness) error {
	for round := range s.Entries {
		j := newJob(fmt.Sprintf("keyed-%d", round), 4)
		j.Key = j.Name
		if err := s.setHang(ctx, true); err != nil {
			return err
		}
		for i := range s.Entries {
			s.submitAsync(ctx, i, j, cornelwall.Ticket{})
		}
		err := errors.Join(
			s.awaitStarts(ctx, j, j.Tasks),
			s.Entries[round].Kill(),
			s.setHang(ctx, false),
			s.restartEntry(ctx, round))
		if err != nil {
			return err
		}
		if _, err := s.SubmitUntilFinal(ctx, j, cornelwall.Ticket{}); err != nil {
			return err
		}
	}
	return nil
}
