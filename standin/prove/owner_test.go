package prove

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelwall"
	"cornelwall/standin/drive"
	"cornelwall/standin/local"
)

// killOwner ends an owner at once while its job runs. Nobody may say "not run" of its
// tickets, nor start the job again.
func killOwner(ctx context.Context, s *stage) error {
	running, fresh := job("running", 40), job("fresh", 4)
	tk, err := s.ticketOf(ctx, 0)
	if err != nil {
		return err
	}
	unused, err := s.ticketOf(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.hang(ctx, true); err != nil {
		return err
	}
	under := s.ask(ctx, 1, running, tk)
	if err := s.awaitStarts(ctx, running, 8); err != nil {
		return err
	}
	if err := errors.Join(s.Entries[0].Kill(), s.hang(ctx, false)); err != nil {
		return err
	}
	r, err := under.answer(ctx)
	if err != nil {
		return err
	}
	err = errors.Join(
		is(cornelwall.Unknown, false)(r),
		s.expect(ctx, s.others(0), running, tk, is(cornelwall.Unknown, false)),
		s.expect(ctx, s.others(0), fresh, unused, is(cornelwall.Unknown, false)),
		s.restart(ctx, 0))
	if err != nil {
		return err
	}
	return errors.Join(
		s.ends(ctx, running, tk, cornelwall.Unknown),
		s.ends(ctx, fresh, unused, cornelwall.Unknown),
		s.expect(ctx, s.others(), running, tk, is(cornelwall.Unknown, true)),
		s.allDone(ctx, "after", 10, 8))
}

// freezeOwner stops an owner past all timeouts while its job runs and is submitted
// elsewhere, then lets it go on.
func freezeOwner(ctx context.Context, s *stage) error {
	j := job("running", 40) // more than there are slots
	tk, err := s.ticketOf(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.hang(ctx, true); err != nil {
		return err
	}
	under := s.ask(ctx, 1, j, tk)
	if err := s.awaitStarts(ctx, j, 8); err != nil {
		return err
	}
	if err := errors.Join(s.Entries[0].Freeze(), s.hang(ctx, false)); err != nil {
		return err
	}
	s.rotate(s.Entries[0].Name, false)
	s.DropTickets()
	r, err := under.answer(ctx)
	if err != nil {
		return err
	}
	err = errors.Join(
		is(cornelwall.Unknown, false)(r),
		s.expect(ctx, s.others(0), j, tk, is(cornelwall.Unknown, false)),
		s.allDone(ctx, "meantime", 10, 8),
		s.expect(ctx, s.others(0), j, tk, is(cornelwall.Unknown, false)),
		s.Entries[0].Resume())
	if err != nil {
		return err
	}
	return errors.Join(
		s.ends(ctx, j, tk, cornelwall.Done),
		s.expect(ctx, s.others(), j, tk, is(cornelwall.Done, true)))
}

// cutOff submits a job of entry 0 through the entry via, applies a cut between the two
// while the job runs, and heals it. While it is cut, the entries of near still answer
// for the job and those of far do not; both groups serve jobs of their own.
func cutOff(ctx context.Context, s *stage, cut func(), near, far []int) error {
	j := job("running", 40)
	tk, err := s.ticketOf(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.hang(ctx, true); err != nil {
		return err
	}
	under := s.ask(ctx, far[0], j, tk)
	if err := s.awaitStarts(ctx, j, 8); err != nil {
		return err
	}
	cut()
	r, err := under.answer(ctx)
	if err != nil {
		return err
	}
	err = errors.Join(
		is(cornelwall.Unknown, false)(r),
		s.hang(ctx, false),
		s.expect(ctx, near, j, tk, is(cornelwall.Done, true)),
		s.expect(ctx, far, j, tk, is(cornelwall.Unknown, false)),
		s.side(ctx, "near", near),
		s.side(ctx, "far", far))
	if err != nil {
		return err
	}
	s.Net.Heal()
	return errors.Join(
		s.ends(ctx, j, tk, cornelwall.Done),
		s.awaitAnswer(ctx, far, j, tk, cornelwall.Done),
		s.allDone(ctx, "healed", 10, 8))
}

// side runs jobs with only some entries in rotation.
func (s *stage) side(ctx context.Context, name string, in []int) error {
	s.DropTickets()
	defer s.DropTickets()
	for _, i := range s.others(in...) {
		s.rotate(s.Entries[i].Name, false)
		defer s.rotate(s.Entries[i].Name, true)
	}
	return s.allDone(ctx, name, 10, 8)
}

// awaitAnswer waits until each of the entries gives the outcome.
func (s *stage) awaitAnswer(ctx context.Context, entries []int, j drive.Job, tk cornelwall.Ticket, outcome cornelwall.Outcome) error {
	return local.Wait(ctx, func() error { return s.expect(ctx, entries, j, tk, is(outcome, true)) })
}

func cutDataCentres(ctx context.Context, s *stage) error {
	return cutOff(ctx, s, s.Net.CutDataCentres, []int{0, 1}, []int{2, 3})
}

func cutEntries(ctx context.Context, s *stage) error {
	return cutOff(ctx, s, func() { s.Net.Isolate(s.Entries[0].Name) }, []int{0}, []int{1, 2, 3})
}

// lossyNet loses, doubles and half loses envelopes at random.
func lossyNet(ctx context.Context, s *stage) error {
	s.Net.Set(s.lossy())
	err := s.allDone(ctx, "lossy", 60, 12)
	s.Net.Heal()
	return errors.Join(err, s.allDone(ctx, "healed", 10, 8))
}

// lateAnswer ends an entry that has forwarded jobs. Their answers come to its next
// life, which has other callers waiting.
func lateAnswer(ctx context.Context, s *stage) error {
	const old, next = 24, 12
	if err := s.hang(ctx, true); err != nil {
		return err
	}
	for i := range old {
		tk, err := s.ticketOf(ctx, 0)
		if err != nil {
			return err
		}
		j := job(fmt.Sprintf("old-%d", i), 1)
		s.ask(ctx, 1, j, tk)
		if err := s.awaitStarts(ctx, j, 1); err != nil {
			return err
		}
	}
	if err := errors.Join(s.Entries[1].Kill(), s.restart(ctx, 1)); err != nil {
		return err
	}
	s.DropTickets()
	var under []asked
	for i := range next {
		tk, err := s.ticketOf(ctx, 0)
		if err != nil {
			return err
		}
		j := job(fmt.Sprintf("next-%d", i), 1)
		j.Need = cornelwall.Need{Cores: 1}
		under = append(under, s.ask(ctx, 1, j, tk))
		if err := s.awaitStarts(ctx, j, 1); err != nil {
			return err
		}
	}
	for _, p := range s.Executors { // the old jobs end, the next go on
		if err := local.Set(ctx, p, released); err != nil {
			return err
		}
	}
	if err := s.allDone(ctx, "between", 20, 8); err != nil {
		return err
	}
	if err := s.hang(ctx, false); err != nil {
		return err
	}
	var errs []error
	for _, a := range under {
		r, err := a.answer(ctx)
		errs = append(errs, err, is(cornelwall.Done, true)(r))
	}
	return errors.Join(errs...)
}

// cancelWaves cancels jobs at other entries while they wait and run.
func cancelWaves(ctx context.Context, s *stage) error {
	if err := s.hang(ctx, true); err != nil {
		return err
	}
	var jobs []drive.Job
	var tickets []cornelwall.Ticket
	for i := range 24 {
		tk, err := s.ticketOf(ctx, i%len(s.Entries))
		if err != nil {
			return err
		}
		j := job(fmt.Sprintf("wave-%d", i), 4)
		jobs, tickets = append(jobs, j), append(tickets, tk)
		s.ask(ctx, (i+1)%len(s.Entries), j, tk)
	}
	if err := s.awaitStarts(ctx, jobs[0], 1); err != nil {
		return err
	}
	for i := range jobs {
		if i%3 == 0 {
			continue
		}
		if _, err := s.Cancel(ctx, s.Entries[(i+2)%len(s.Entries)].URL("callers"), jobs[i], tickets[i]); err != nil {
			return err
		}
	}
	if err := s.hang(ctx, false); err != nil {
		return err
	}
	var errs []error
	for i := range jobs {
		a, err := s.Settle(ctx, jobs[i], tickets[i])
		if err == nil && i%3 == 0 && a.Outcome != cornelwall.Done {
			err = fmt.Errorf("job %s is %s (%s) though nobody cancelled it", jobs[i].Name, a.Outcome, a.Reason)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// rollingRestart makes a planned stop of every entry in turn under load. No request is
// cut, no answer is unknown.
func rollingRestart(ctx context.Context, s *stage) error {
	stop := s.load(ctx, "load", 6, 4)
	ended := map[cornelwall.Ticket]drive.Job{}
	var errs []error
	for i := range s.Entries {
		errs = append(errs, s.plannedStop(ctx, i, ended), s.restart(ctx, i))
		if errors.Join(errs...) != nil {
			break
		}
	}
	for tk, j := range ended { // every old life is answered for, by heirs of heirs
		errs = append(errs, s.expect(ctx, s.others(), j, tk, is(cornelwall.Done, true)))
	}
	errs = append(errs, stop())
	sums, err := s.audit(ctx)
	if sums.Cuts != 0 || sums.Unknown != 0 || sums.Problems != 0 || sums.Failed != 0 {
		err = fmt.Errorf("planned stops gave %d cuts, %d unknown answers, %d answers without outcome, %d failures",
			sums.Cuts, sums.Unknown, sums.Problems, sums.Failed)
	}
	return errors.Join(append(errs, err)...)
}

// plannedStop stops entry i with a job that has ended, one in flight and one not yet
// submitted, and asks the other entries for them.
func (s *stage) plannedStop(ctx context.Context, i int, ended map[cornelwall.Ticket]drive.Job) error {
	var tks [3]cornelwall.Ticket
	for n := range tks {
		var err error
		if tks[n], err = s.ticketOf(ctx, i); err != nil {
			return err
		}
	}
	before := job(fmt.Sprintf("before-%d", i), 2)
	flight := job(fmt.Sprintf("flight-%d", i), 2)
	flight.Sleep = time.Second
	after := job(fmt.Sprintf("after-%d", i), 2)
	if err := s.ends(ctx, before, tks[0], cornelwall.Done); err != nil {
		return err
	}
	others := s.others(i)
	under := s.ask(ctx, others[0], flight, tks[1])
	here := s.ask(ctx, i, flight, tks[1])
	if err := s.awaitStarts(ctx, flight, 1); err != nil {
		return err
	}
	p := s.Entries[i]
	if err := p.Terminate(); err != nil {
		return err
	}
	s.rotate(p.Name, false)
	var errs []error
	for _, a := range []asked{under, here} {
		r, err := a.answer(ctx)
		errs = append(errs, err, is(cornelwall.Done, true)(r))
	}
	select {
	case <-p.Ended():
		errs = append(errs, p.Err())
	case <-ctx.Done():
		return errors.Join(append(errs, fmt.Errorf("%s does not stop: %w", p.Name, ctx.Err()))...)
	}
	ended[tks[0]], ended[tks[1]] = before, flight
	return errors.Join(append(errs,
		s.expect(ctx, others, before, tks[0], is(cornelwall.Done, true)),
		s.expect(ctx, others, flight, tks[1], is(cornelwall.Done, true)),
		s.expect(ctx, others, after, tks[2], is(cornelwall.NotRun, true)))...)
}
