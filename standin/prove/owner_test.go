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

// killOwner kills the owner of a job while the job runs. No entry may answer "not run" for the
// owner's tickets or start the job again.
func killOwner(ctx context.Context, s *harness) error {
	running, fresh := newJob("running", 40), newJob("fresh", 4)
	tk, err := s.ticketOwnedBy(ctx, 0)
	if err != nil {
		return err
	}
	unused, err := s.ticketOwnedBy(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	pending := s.submitAsync(ctx, 1, running, tk)
	if err := s.awaitStarts(ctx, running, 8); err != nil {
		return err
	}
	if err := errors.Join(s.Entries[0].Kill(), s.setHang(ctx, false)); err != nil {
		return err
	}
	r, err := pending.wait(ctx)
	if err != nil {
		return err
	}
	err = errors.Join(
		answerIs(cornelwall.Unknown, false)(r),
		s.expectAnswers(ctx, s.entriesExcept(0), running, tk, answerIs(cornelwall.Unknown, false)),
		s.expectAnswers(ctx, s.entriesExcept(0), fresh, unused, answerIs(cornelwall.Unknown, false)),
		s.restartEntry(ctx, 0))
	if err != nil {
		return err
	}
	return errors.Join(
		s.expectFinal(ctx, running, tk, cornelwall.Unknown),
		s.expectFinal(ctx, fresh, unused, cornelwall.Unknown),
		s.expectAnswers(ctx, s.entriesExcept(), running, tk, answerIs(cornelwall.Unknown, true)),
		s.expectAllDone(ctx, "after", 10, 8))
}

// freezeOwner freezes the owner of a running job for longer than all timeouts while callers submit the
// job to other entries, and then resumes it. The job must end as done.
func freezeOwner(ctx context.Context, s *harness) error {
	j := newJob("running", 40) // more tasks than slots
	tk, err := s.ticketOwnedBy(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	pending := s.submitAsync(ctx, 1, j, tk)
	if err := s.awaitStarts(ctx, j, 8); err != nil {
		return err
	}
	if err := errors.Join(s.Entries[0].Freeze(), s.setHang(ctx, false)); err != nil {
		return err
	}
	s.setInRotation(s.Entries[0].Name, false)
	s.DropTickets()
	r, err := pending.wait(ctx)
	if err != nil {
		return err
	}
	err = errors.Join(
		answerIs(cornelwall.Unknown, false)(r),
		s.expectAnswers(ctx, s.entriesExcept(0), j, tk, answerIs(cornelwall.Unknown, false)),
		s.expectAllDone(ctx, "meantime", 10, 8),
		s.expectAnswers(ctx, s.entriesExcept(0), j, tk, answerIs(cornelwall.Unknown, false)),
		s.Entries[0].Resume())
	if err != nil {
		return err
	}
	return errors.Join(
		s.expectFinal(ctx, j, tk, cornelwall.Done),
		s.expectAnswers(ctx, s.entriesExcept(), j, tk, answerIs(cornelwall.Done, true)))
}

// partitionOwner submits a job owned by entry 0 through far[0], calls cut to partition the two while
// the job runs, and later heals the network. During the partition the near entries reach the owner and
// answer with the job's outcome, the far entries answer unknown, and both sides serve other jobs.
func partitionOwner(ctx context.Context, s *harness, cut func(), near, far []int) error {
	j := newJob("running", 40)
	tk, err := s.ticketOwnedBy(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	pending := s.submitAsync(ctx, far[0], j, tk)
	if err := s.awaitStarts(ctx, j, 8); err != nil {
		return err
	}
	cut()
	r, err := pending.wait(ctx)
	if err != nil {
		return err
	}
	err = errors.Join(
		answerIs(cornelwall.Unknown, false)(r),
		s.setHang(ctx, false),
		s.expectAnswers(ctx, near, j, tk, answerIs(cornelwall.Done, true)),
		s.expectAnswers(ctx, far, j, tk, answerIs(cornelwall.Unknown, false)),
		s.expectAllDoneAt(ctx, "near", near),
		s.expectAllDoneAt(ctx, "far", far))
	if err != nil {
		return err
	}
	s.Network.Heal()
	return errors.Join(
		s.expectFinal(ctx, j, tk, cornelwall.Done),
		s.awaitAnswer(ctx, far, j, tk, cornelwall.Done),
		s.expectAllDone(ctx, "healed", 10, 8))
}

// expectAllDoneAt runs jobs with only the given entries in rotation. All jobs must be done.
func (s *harness) expectAllDoneAt(ctx context.Context, name string, entries []int) error {
	s.DropTickets()
	defer s.DropTickets()
	for _, i := range s.entriesExcept(entries...) {
		s.setInRotation(s.Entries[i].Name, false)
		defer s.setInRotation(s.Entries[i].Name, true)
	}
	return s.expectAllDone(ctx, name, 10, 8)
}

// awaitAnswer waits until all given entries answer with the outcome as final.
func (s *harness) awaitAnswer(ctx context.Context, entries []int, j drive.Job, tk cornelwall.Ticket, outcome cornelwall.Outcome) error {
	return local.Poll(ctx, func() error { return s.expectAnswers(ctx, entries, j, tk, answerIs(outcome, true)) })
}

// cutDataCentres partitions the data centres from each other.
func cutDataCentres(ctx context.Context, s *harness) error {
	return partitionOwner(ctx, s, s.Network.PartitionDataCentres, []int{0, 1}, []int{2, 3})
}

// cutEntries partitions the owner from all other entries.
func cutEntries(ctx context.Context, s *harness) error {
	return partitionOwner(ctx, s, func() { s.Network.Isolate(s.Entries[0].Name) }, []int{0}, []int{1, 2, 3})
}

// lossyNet drops envelopes, drops responses to envelopes and duplicates envelopes at random.
func lossyNet(ctx context.Context, s *harness) error {
	s.Network.SetRule(s.lossyRule())
	err := s.expectAllDone(ctx, "lossy", 60, 12)
	s.Network.Heal()
	return errors.Join(err, s.expectAllDone(ctx, "healed", 10, 8))
}

// lateAnswer kills and restarts an entry that has forwarded jobs. The answers to these jobs arrive at
// the new incarnation, in which other callers wait for other jobs. No caller may receive the result
// of another job.
func lateAnswer(ctx context.Context, s *harness) error {
	const old, next = 24, 12
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	for i := range old {
		tk, err := s.ticketOwnedBy(ctx, 0)
		if err != nil {
			return err
		}
		j := newJob(fmt.Sprintf("old-%d", i), 1)
		s.submitAsync(ctx, 1, j, tk)
		if err := s.awaitStarts(ctx, j, 1); err != nil {
			return err
		}
	}
	if err := errors.Join(s.Entries[1].Kill(), s.restartEntry(ctx, 1)); err != nil {
		return err
	}
	s.DropTickets()
	var pending []pendingReply
	for i := range next {
		tk, err := s.ticketOwnedBy(ctx, 0)
		if err != nil {
			return err
		}
		j := newJob(fmt.Sprintf("next-%d", i), 1)
		j.Need = cornelwall.Need{Cores: 1}
		pending = append(pending, s.submitAsync(ctx, 1, j, tk))
		if err := s.awaitStarts(ctx, j, 1); err != nil {
			return err
		}
	}
	for _, p := range s.Executors { // ends the old jobs; the next jobs, at the workers, still hang
		if err := local.SetControl(ctx, p, noControl); err != nil {
			return err
		}
	}
	if err := s.expectAllDone(ctx, "between", 20, 8); err != nil {
		return err
	}
	if err := s.setHang(ctx, false); err != nil {
		return err
	}
	var errs []error
	for _, a := range pending {
		r, err := a.wait(ctx)
		errs = append(errs, err, answerIs(cornelwall.Done, true)(r))
	}
	return errors.Join(errs...)
}

// cancelWaves submits jobs and cancels two thirds of them through other entries while some wait and
// some run. The jobs that are not cancelled must be done.
func cancelWaves(ctx context.Context, s *harness) error {
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	var jobs []drive.Job
	var tickets []cornelwall.Ticket
	for i := range 24 {
		tk, err := s.ticketOwnedBy(ctx, i%len(s.Entries))
		if err != nil {
			return err
		}
		j := newJob(fmt.Sprintf("wave-%d", i), 4)
		jobs, tickets = append(jobs, j), append(tickets, tk)
		s.submitAsync(ctx, (i+1)%len(s.Entries), j, tk)
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
	if err := s.setHang(ctx, false); err != nil {
		return err
	}
	var errs []error
	for i := range jobs {
		a, err := s.SubmitUntilFinal(ctx, jobs[i], tickets[i])
		if err == nil && i%3 == 0 && a.Outcome != cornelwall.Done {
			err = fmt.Errorf("job %s is %s (%s) although it was not cancelled", jobs[i].Name, a.Outcome, a.Reason)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// rollingRestart makes a planned stop of every entry in turn under load and restarts it. No request
// may be cut off or get an error response, and no answer may be failed or unknown.
func rollingRestart(ctx context.Context, s *harness) error {
	stop := s.startLoad(ctx, "load", 6, 4)
	ended := map[cornelwall.Ticket]drive.Job{}
	var errs []error
	for i := range s.Entries {
		errs = append(errs, s.plannedStop(ctx, i, ended), s.restartEntry(ctx, i))
		if errors.Join(errs...) != nil {
			break
		}
	}
	for tk, j := range ended { // successors, and successors of successors, answer for every stopped incarnation
		errs = append(errs, s.expectAnswers(ctx, s.entriesExcept(), j, tk, answerIs(cornelwall.Done, true)))
	}
	errs = append(errs, stop())
	result, err := s.audit(ctx)
	if result.CutRequests != 0 || result.Unknown != 0 || result.ErrorReplies != 0 || result.Failed != 0 {
		err = fmt.Errorf("planned stops gave %d requests cut off, %d unknown answers, %d error responses, %d failures",
			result.CutRequests, result.Unknown, result.ErrorReplies, result.Failed)
	}
	return errors.Join(append(errs, err)...)
}

// plannedStop makes a planned stop of entry i, which owns the tickets of a job that has ended, of one
// in flight and of one not yet submitted. The other entries must then answer for all three.
func (s *harness) plannedStop(ctx context.Context, i int, ended map[cornelwall.Ticket]drive.Job) error {
	var tks [3]cornelwall.Ticket
	for n := range tks {
		var err error
		if tks[n], err = s.ticketOwnedBy(ctx, i); err != nil {
			return err
		}
	}
	before := newJob(fmt.Sprintf("before-%d", i), 2)
	flight := newJob(fmt.Sprintf("flight-%d", i), 2)
	flight.Sleep = time.Second
	after := newJob(fmt.Sprintf("after-%d", i), 2)
	if err := s.expectFinal(ctx, before, tks[0], cornelwall.Done); err != nil {
		return err
	}
	others := s.entriesExcept(i)
	viaOther := s.submitAsync(ctx, others[0], flight, tks[1])
	viaOwner := s.submitAsync(ctx, i, flight, tks[1])
	if err := s.awaitStarts(ctx, flight, 1); err != nil {
		return err
	}
	p := s.Entries[i]
	if err := p.Terminate(); err != nil {
		return err
	}
	s.setInRotation(p.Name, false)
	var errs []error
	for _, a := range []pendingReply{viaOther, viaOwner} {
		r, err := a.wait(ctx)
		errs = append(errs, err, answerIs(cornelwall.Done, true)(r))
	}
	select {
	case <-p.Exited():
		errs = append(errs, p.Err())
	case <-ctx.Done():
		return errors.Join(append(errs, fmt.Errorf("%s did not stop in time: %w", p.Name, ctx.Err()))...)
	}
	ended[tks[0]], ended[tks[1]] = before, flight
	return errors.Join(append(errs,
		s.expectAnswers(ctx, others, before, tks[0], answerIs(cornelwall.Done, true)),
		s.expectAnswers(ctx, others, flight, tks[1], answerIs(cornelwall.Done, true)),
		s.expectAnswers(ctx, others, after, tks[2], answerIs(cornelwall.NotRun, true)))...)
}
