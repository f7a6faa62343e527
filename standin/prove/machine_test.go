package prove

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cornelwall"
	"cornelwall/io/worker"
	"cornelwall/standin/drive"
	"cornelwall/standin/local"
	"cornelwall/standin/task"
)

var (
	noControl = task.Control{}
)

// leavingListed marks an executor as leaving on the VM list while it has tasks.
func leavingListed(ctx context.Context, s *harness) error {
	return s.expectNoStartsWhileLeaving(ctx, func(p *local.Process) error {
		return s.PostControl(ctx, "/ctl/vm/"+p.Name+"/leaving", nil)
	}, noControl)
}

// leavingSigned lets an executor say itself that it drains; the VM list lags and says
// that it is live.
func leavingSigned(ctx context.Context, s *harness) error {
	drains := task.Control{Hang: true, Drain: true}
	return s.expectNoStartsWhileLeaving(ctx, func(p *local.Process) error { return local.SetControl(ctx, p, drains) }, task.Control{Drain: true})
}

// expectNoStartsWhileLeaving gives an executor the sign to leave while it has tasks. They finish, and soon no
// start is sent to it any more.
func (s *harness) expectNoStartsWhileLeaving(ctx context.Context, sign func(p *local.Process) error, after task.Control) error {
	j := newJob("flight", 16)
	tk, err := s.ticketOwnedBy(ctx, 1)
	if err != nil {
		return err
	}
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	under := s.submitAsync(ctx, 0, j, tk)
	if err := s.awaitStarts(ctx, j, j.Tasks); err != nil {
		return err
	}
	leaving := s.Executors[0]
	if err := errors.Join(sign(leaving), s.releaseOthers(ctx, leaving, after)); err != nil {
		return err
	}
	r, err := under.wait(ctx)
	if err := errors.Join(err, answerIs(cornelwall.Done, true)(r)); err != nil {
		return fmt.Errorf("in flight at the sign: %w", err)
	}
	quietFrom := -1
	for round := range maxRounds {
		err := s.expectNoStarts(ctx, leaving, fmt.Sprintf("round-%d", round))
		var late *lateStartsError
		switch {
		case err == nil && quietFrom < 0:
			quietFrom = round
		case err != nil && (quietFrom >= 0 || !errors.As(err, &late) || round == maxRounds-1):
			return fmt.Errorf("round %d of jobs after the sign: %w", round, err)
		}
		if quietFrom >= 0 && round-quietFrom >= quietRounds {
			return nil
		}
	}
	return nil
}

const (
	maxRounds   = 40 // of jobs after the sign at most; each takes a fifth of a second or more
	quietRounds = 5  // after the last start

	readAndCloseTimeLeft = 10 * time.Second // to the deadline of a job whose starts vanish
)

// lateStartsError says that starts were sent to a machine that is leaving.
type lateStartsError struct {
	machine string
	starts  int
}

func (e *lateStartsError) Error() string {
	return fmt.Sprintf("%d starts were sent to %s, which is leaving", e.starts, e.machine)
}

// releaseOthers releases all machines and controls one of them apart.
func (s *harness) releaseOthers(ctx context.Context, p *local.Process, control task.Control) error {
	return errors.Join(s.setHang(ctx, false), local.SetControl(ctx, p, control))
}

// expectNoStarts runs jobs and reports an error if a start was sent to the machine.
func (s *harness) expectNoStarts(ctx context.Context, p *local.Process, name string) error {
	before, err := s.startAttempts(ctx, p)
	if err != nil {
		return err
	}
	if err := s.expectAllDone(ctx, name, 20, 8); err != nil {
		return err
	}
	after, err := s.startAttempts(ctx, p)
	if err == nil && after != before {
		err = &lateStartsError{p.Name, after - before}
	}
	return err
}

// startAttempts returns the starts that were sent to a machine, refused ones too.
func (s *harness) startAttempts(ctx context.Context, p *local.Process) (int, error) {
	starts, err := s.StartsOf(ctx, p)
	n := 0
	for _, m := range []map[string]int{starts.Starts, starts.Refused} {
		for _, count := range m {
			n += count
		}
	}
	return n, err
}

// readAndClose lets endpoints read starts and close their connections, which have
// served other starts before. Each start is seen once.
func readAndClose(ctx context.Context, s *harness) error {
	leased := cornelwall.Need{Cores: 1}
	for round := range 5 {
		for _, need := range []cornelwall.Need{{}, leased} {
			warm := newJob(fmt.Sprintf("warm-%d-%d", round, need.Cores), 8)
			warm.Need = need
			if _, err := s.Run(ctx, warm); err != nil {
				return err
			}
			j := newJob(fmt.Sprintf("vanish-%d-%d", round, need.Cores), 2)
			j.Need, j.ReadAndClose, j.TimeLeft = need, true, readAndCloseTimeLeft
			tk, err := s.ticketOwnedBy(ctx, round%len(s.Entries))
			if err != nil {
				return err
			}
			a, err := s.SubmitUntilFinal(ctx, j, tk)
			if err != nil {
				return err
			}
			if err := expectLostResults(a); err != nil {
				return fmt.Errorf("job %s: %w", j.Name, err)
			}
			if _, err := s.audit(ctx); err != nil {
				return nil // the audit at the end tells
			}
		}
	}
	return s.expectAllDone(ctx, "after", 10, 8)
}

// failingExecutor runs jobs with an executor that fails everything for a while.
func failingExecutor(ctx context.Context, s *harness) error {
	if err := local.SetControl(ctx, s.Executors[0], task.Control{FailAll: true}); err != nil {
		return err
	}
	if _, err := s.runJobs(ctx, "failing", 40, 4); err != nil {
		return err
	}
	if err := local.SetControl(ctx, s.Executors[0], noControl); err != nil {
		return err
	}
	return s.expectAllDone(ctx, "after", 10, 8)
}

// deadMachines ends an executor that has tasks, and a worker that has leases.
func deadMachines(ctx context.Context, s *harness) error {
	if err := s.killWhileRunning(ctx, s.Executors[0], newJob("on-dead-executor", 16)); err != nil {
		return err
	}
	if err := s.expectAllDone(ctx, "after", 10, 8); err != nil {
		return err
	}
	leased := newJob("on-dead-worker", 4)
	leased.Need = cornelwall.Need{Cores: 1}
	return s.killWhileRunning(ctx, s.Workers[0], leased)
}

// killWhileRunning ends a machine while all tasks of a job run, some of them on it.
func (s *harness) killWhileRunning(ctx context.Context, p *local.Process, j drive.Job) error {
	tk, err := s.ticketOwnedBy(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	under := s.submitAsync(ctx, 1, j, tk)
	if err := errors.Join(s.awaitStarts(ctx, j, j.Tasks), s.KillMachine(ctx, p), s.setHang(ctx, false)); err != nil {
		return err
	}
	if _, err := under.wait(ctx); err != nil {
		return err
	}
	a, err := s.SubmitUntilFinal(ctx, j, tk)
	return errors.Join(err, expectLostResults(a))
}

// expectLostResults checks the answer of a job of which the results of some starts were lost.
func expectLostResults(a cornelwall.Answer) error {
	if a.Outcome != cornelwall.Failed && a.Outcome != cornelwall.Unknown {
		return fmt.Errorf("answer is %s (%s), want failed or unknown", a.Outcome, a.Reason)
	}
	for _, t := range a.Tasks {
		if t.Outcome == cornelwall.Unknown {
			return nil
		}
	}
	return errors.New("no task is unknown although results were lost")
}

// lapsedLease freezes an owner until the worker has dropped the leases of its tasks, and
// lets it go on.
func lapsedLease(ctx context.Context, s *harness) error {
	j := newJob("leased", 4)
	j.Need = cornelwall.Need{Cores: 1}
	tk, err := s.ticketOwnedBy(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	under := s.submitAsync(ctx, 0, j, tk)
	if err := errors.Join(s.awaitStarts(ctx, j, j.Tasks), s.Entries[0].Freeze()); err != nil {
		return err
	}
	dropped := func() error {
		var usage worker.Usage
		err := local.CallJSON(ctx, http.MethodGet, s.Workers[0].URL()+"/usage", nil, &usage)
		if err == nil && usage.Used != (cornelwall.Need{}) {
			err = fmt.Errorf("worker still runs tasks of %+v", usage.Used)
		}
		return err
	}
	if err := errors.Join(local.Poll(ctx, dropped), s.Entries[0].Resume(), s.setHang(ctx, false)); err != nil {
		return err
	}
	if _, err := under.wait(ctx); err != nil {
		return err
	}
	a, err := s.SubmitUntilFinal(ctx, j, tk)
	return errors.Join(err, expectLostResults(a))
}
