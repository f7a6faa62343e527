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

func (s *stage) fault(ctx context.Context, f platform.Fault) error {
	return s.Control(ctx, "/ctl/fault", f)
}

// put writes a profile through entry i; expect is the version that it replaces.
func (s *stage) put(ctx context.Context, i int, p cornelwall.Profile, expect uint64) (cornelwall.Profile, error) {
	url := fmt.Sprintf("%s/v1/profiles/%s?expect=%d", s.Entries[i].URL("operators"), p.Name, expect)
	if expect == 0 {
		url = s.Entries[i].URL("operators") + "/v1/profiles/" + p.Name
	}
	err := local.Call(ctx, http.MethodPut, url, p, &p)
	return p, err
}

// shown returns the profile as entry i has it.
func (s *stage) shown(ctx context.Context, i int, name string) (cornelwall.Profile, error) {
	var p cornelwall.Profile
	err := local.Call(ctx, http.MethodGet, s.Entries[i].URL("operators")+"/v1/profiles/"+name, nil, &p)
	return p, err
}

// awaitForce waits until entry i hears from all entries that they satisfy check.
func (s *stage) awaitForce(ctx context.Context, i int, name string, check func(cornelwall.ProfileStatus) bool) error {
	url := s.Entries[i].URL("operators") + "/v1/profiles/" + name + "/status"
	return local.Wait(ctx, func() error {
		var st struct{ Force []cornelwall.ProfileStatus }
		if err := local.Call(ctx, http.MethodGet, url, nil, &st); err != nil {
			return err
		}
		for _, f := range st.Force {
			if f.Missing || !check(f) {
				return fmt.Errorf("entry %s has %+v", f.Entry, f)
			}
		}
		if len(st.Force) != len(s.Entries) {
			return fmt.Errorf("%d of %d entries told", len(st.Force), len(s.Entries))
		}
		return nil
	})
}

// code returns the status of an error of local.Call, 200 without an error.
func code(err error) int {
	var status *local.StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return http.StatusOK
}

func isStale(f cornelwall.ProfileStatus) bool { return f.Stale }

func holds(queue int) cornelwall.Profile {
	p := cornelwall.Profile{Name: profileName, Team: "bookings", Queue: queue}
	p.Normalise()
	return p
}

// platformAway takes the platform away until every entry knows it. Tickets go on. Of a
// key it cannot be told whether it ran before, and nobody says so. Changes are refused,
// and have not taken effect.
func platformAway(ctx context.Context, s *stage) error {
	keyed := job("keyed", 4)
	keyed.Key = "caller-key"
	if err := s.fault(ctx, platform.Fault{Down: true, VMs: true}); err != nil {
		return err
	}
	refused := func(r drive.Reply) error {
		if r.Reason != cornelwall.ReasonStore {
			return fmt.Errorf("key was refused because of %s", r.Reason)
		}
		return is(cornelwall.Unknown, false)(r)
	}
	_, put := s.put(ctx, 1, holds(77), 0)
	if code(put) != http.StatusServiceUnavailable {
		return fmt.Errorf("a change during the outage gave %d, want 503: %w", code(put), put)
	}
	err := errors.Join(
		s.expect(ctx, []int{0}, keyed, cornelwall.Ticket{}, refused),
		s.allDone(ctx, "early", 10, 8),
		s.awaitForce(ctx, 0, profileName, isStale),
		s.allDone(ctx, "late", 10, 8),
		s.fault(ctx, platform.Fault{}),
		s.awaitForce(ctx, 0, profileName, func(f cornelwall.ProfileStatus) bool { return !f.Stale && f.Version == 1 }))
	if err != nil {
		return err
	}
	p, err := s.put(ctx, 2, holds(78), 1)
	if err != nil {
		return err
	}
	return errors.Join(
		s.expect(ctx, []int{1}, keyed, cornelwall.Ticket{}, is(cornelwall.Done, true)),
		s.awaitForce(ctx, 3, profileName, func(f cornelwall.ProfileStatus) bool { return f.Version == p.Version }))
}

// staleProfile takes the platform away until profiles are stale, with one that refuses
// then and one that serves.
func staleProfile(ctx context.Context, s *stage) error {
	strict := cornelwall.Profile{Name: "strict", Team: "bookings", Stale: cornelwall.Refuse}
	if err := s.Apply(ctx, strict); err != nil {
		return err
	}
	refusing := func(name string) drive.Job {
		j := job(name, 2)
		j.Profile = strict.Name
		return j
	}
	if _, err := s.Run(ctx, refusing("fresh")); err != nil {
		return err
	}
	tk, err := s.Draw(ctx, s.Entries[1].URL("callers"), strict.Name, 1)
	if err != nil {
		return err
	}
	err = errors.Join(
		s.fault(ctx, platform.Fault{Down: true}),
		s.awaitForce(ctx, 0, strict.Name, isStale),
		s.expect(ctx, []int{0, 1, 2}, refusing("stale"), tk[0], func(r drive.Reply) error {
			if r.Reason != cornelwall.ReasonStale {
				return fmt.Errorf("refused because of %s", r.Reason)
			}
			return is(cornelwall.NotRun, true)(r)
		}),
		s.allDone(ctx, "serving", 10, 4),
		s.fault(ctx, platform.Fault{}))
	if err != nil {
		return err
	}
	a, err := s.Run(ctx, refusing("healed"))
	return errors.Join(err, is(cornelwall.Done, true)(drive.Reply{Answer: a}))
}

// lostSwaps loses the answers of swaps that took effect, of changes and of keys.
func lostSwaps(ctx context.Context, s *stage) error {
	for round := range 4 {
		if err := s.fault(ctx, platform.Fault{LoseSwaps: 1}); err != nil {
			return err
		}
		p, err := s.put(ctx, round, holds(100+round), uint64(round+1))
		if err != nil {
			return fmt.Errorf("change %d: %w", round, err)
		}
		err = s.awaitForce(ctx, 0, profileName, func(f cornelwall.ProfileStatus) bool { return f.Version == p.Version })
		if err != nil || p.Version != uint64(round+2) {
			return errors.Join(err, fmt.Errorf("change %d has version %d", round, p.Version))
		}
	}
	for round := range 8 {
		if err := s.fault(ctx, platform.Fault{LoseSwaps: len(s.Entries)}); err != nil {
			return err
		}
		j := job(fmt.Sprintf("keyed-%d", round), 4)
		j.Key = j.Name
		if err := s.expect(ctx, s.others(), j, cornelwall.Ticket{}, is(cornelwall.Done, true)); err != nil {
			return err
		}
	}
	return s.fault(ctx, platform.Fault{})
}

// olderStore takes the store back to an older state. Entries say so and keep to what
// they know, and the next change goes above it.
func olderStore(ctx context.Context, s *stage) error {
	if err := s.Control(ctx, "/ctl/snapshot", nil); err != nil {
		return err
	}
	if err := errors.Join(s.Apply(ctx, holds(55)), s.Control(ctx, "/ctl/restore", nil)); err != nil {
		return err
	}
	alarm := func() error {
		for _, p := range s.Entries {
			if ok, err := p.Logged("msg=store-older"); ok || err != nil {
				return err
			}
		}
		return errors.New("no entry has logged store-older")
	}
	kept := func() error {
		for i := range s.Entries {
			if p, err := s.shown(ctx, i, profileName); err != nil || p.Version != 2 || p.Queue != 55 {
				return errors.Join(err, fmt.Errorf("entry %d has version %d with queue %d, want 2 with 55", i, p.Version, p.Queue))
			}
		}
		return nil
	}
	noticed := func() error {
		if kept() != nil {
			return nil // which is told below
		}
		return alarm()
	}
	if err := errors.Join(local.Wait(ctx, noticed), kept(), alarm()); err != nil {
		return err
	}
	if err := errors.Join(s.Entries[2].Kill(), s.restart(ctx, 2)); err != nil {
		return err
	}
	if err := local.Wait(ctx, kept); err != nil { // the new life hears of version 2 from its peers
		return err
	}
	p, err := s.put(ctx, 2, holds(56), 2)
	if err != nil || p.Version != 3 {
		return errors.Join(err, fmt.Errorf("the next change has version %d, want 3", p.Version))
	}
	return s.awaitForce(ctx, 1, profileName, func(f cornelwall.ProfileStatus) bool { return f.Version == 3 })
}

// operatorsRace changes one profile through two entries at once. One wins each time,
// the other is told, and no entry ever goes to a lower version.
func operatorsRace(ctx context.Context, s *stage) error {
	const rounds = 20
	stop := s.watchVersions(ctx)
	var err error
	for round := 1; round <= rounds && err == nil; round++ {
		err = s.race(ctx, uint64(round))
	}
	return errors.Join(err, stop())
}

// race replaces version from through two entries at once.
func (s *stage) race(ctx context.Context, from uint64) error {
	racers := []int{0, 2}
	accepted := make([]cornelwall.Profile, len(racers))
	errs := make([]error, len(racers))
	var g sync.WaitGroup
	for n, i := range racers {
		g.Go(func() { accepted[n], errs[n] = s.put(ctx, i, holds(1000+10*int(from)+n), from) })
	}
	g.Wait()
	won := -1
	for n := range racers {
		switch {
		case errs[n] == nil && won >= 0:
			return fmt.Errorf("both changes of version %d were accepted", from)
		case errs[n] == nil:
			won = n
		case code(errs[n]) != http.StatusConflict:
			return fmt.Errorf("the loser was told %w, want 409", errs[n])
		}
	}
	if won < 0 {
		return fmt.Errorf("no change of version %d was accepted: %w", from, errors.Join(errs...))
	}
	return local.Wait(ctx, func() error {
		for i := range s.Entries {
			p, err := s.shown(ctx, i, profileName)
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

// watchVersions reads the version at every entry until stop is called, which returns an
// error if one went down.
func (s *stage) watchVersions(ctx context.Context) (stop func() error) {
	wctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- s.neverLower(wctx) }()
	return func() error {
		cancel()
		return <-ended
	}
}

func (s *stage) neverLower(ctx context.Context) error {
	seen := make([]uint64, len(s.Entries))
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		<-tick.C
		for i := range s.Entries {
			p, err := s.shown(ctx, i, profileName)
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

// sameKey submits one key at every entry at once and ends one of them while the job
// runs.
func sameKey(ctx context.Context, s *stage) error {
	for round := range s.Entries {
		j := job(fmt.Sprintf("keyed-%d", round), 4)
		j.Key = j.Name
		if err := s.hang(ctx, true); err != nil {
			return err
		}
		for i := range s.Entries {
			s.ask(ctx, i, j, cornelwall.Ticket{})
		}
		err := errors.Join(
			s.awaitStarts(ctx, j, j.Tasks),
			s.Entries[round].Kill(),
			s.hang(ctx, false),
			s.restart(ctx, round))
		if err != nil {
			return err
		}
		if _, err := s.Settle(ctx, j, cornelwall.Ticket{}); err != nil {
			return err
		}
	}
	return nil
}
