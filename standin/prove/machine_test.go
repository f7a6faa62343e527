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

// leavingListed marks an executor as leaving in the VM list while it runs tasks.
func leavingListed(ctx context.Context, s *harness) error {
	return s.expectNoStartsWhileLeaving(ctx, func(p *local.Process) error {
		return s.PostControl(ctx, "/ctl/vm/"+p.Name+"/leaving", nil)
	}, noControl)
}

// leavingSigned has an executor report in its responses that it is draining while it runs tasks. The
// VM list still shows it as live.
func leavingSigned(ctx context.Context, s *harness) error {
	drains := task.Control{Hang: true, Drain: true}
	return s.expectNoStartsWhileLeaving(ctx, func(p *local.Process) error { return local.SetControl(ctx, p, drains) }, task.Control{Drain: true})
}

// expectNoStartsWhileLeaving marks an executor as leaving with startLeaving while it runs tasks. These
// tasks must finish, and within maxRounds rounds of jobs the starts sent to it must stop and not
// resume in the next quietRounds rounds. after is the executor's control once its tasks are released.
func (s *harness) expectNoStartsWhileLeaving(ctx context.Context, startLeaving func(p *local.Process) error, after task.Control) error {
	j := newJob("flight", 16)
	tk, err := s.ticketOwnedBy(ctx, 1)
	if err != nil {
		return err
	}
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	pending := s.submitAsync(ctx, 0, j, tk)
	if err := s.awaitStarts(ctx, j, j.Tasks); err != nil {
		return err
	}
	leaving := s.Executors[0]
	if err := errors.Join(startLeaving(leaving), s.releaseTasks(ctx, leaving, after)); err != nil {
		return err
	}
	r, err := pending.wait(ctx)
	if err := errors.Join(err, answerIs(cornelwall.Done, true)(r)); err != nil {
		return fmt.Errorf("job in flight when the executor began to leave: %w", err)
	}
	firstQuiet := -1
	for round := range maxRounds {
		err := s.expectNoStarts(ctx, leaving, fmt.Sprintf("round-%d", round))
		var late *lateStartsError
		switch {
		case err == nil && firstQuiet < 0:
			firstQuiet = round
		case err != nil && (firstQuiet >= 0 || !errors.As(err, &late) || round == maxRounds-1):
			return fmt.Errorf("round %d of jobs after the executor began to leave: %w", round, err)
		}
		if firstQuiet >= 0 && round-firstQuiet >= quietRounds {
			return nil
		}
	}
	return nil
}

const (
	maxRounds   = 40 // rounds of jobs at most after the executor began to leave; each takes 200 ms or more
	quietRounds = 5  // rounds that are checked after the first round without a start to it

	readAndCloseTimeLeft = 10 * time.Second // until the deadline of a job whose starts get no response
)

// lateStartsError reports that starts were sent to a machine that is leaving.
type lateStartsError struct {
	machine string
	starts  int
}

func (e *lateStartsError) Error() string {
	return fmt.Sprintf("%d starts were sent to %s, which is leaving", e.starts, e.machine)
}

// releaseTasks lets the hanging tasks of all executors and workers end and then sets the control of p.
func (s *harness) releaseTasks(ctx context.Context, p *local.Process, control task.Control) error {
	return errors.Join(s.setHang(ctx, false), local.SetControl(ctx, p, control))
}

// expectNoStarts runs jobs and returns a *lateStartsError if a start was sent to p.
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

// startAttempts returns the number of starts that were sent to a machine, including refused ones.
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

// readAndClose has executors and workers read starts and close the connection without a response, on connections
// that have served other starts before. Neither the dispatcher nor the HTTP client may send such a
// start again: each task may start only once, and the answer must show that results are lost.
func readAndClose(ctx context.Context, s *harness) error {
	workerNeed := cornelwall.Need{Cores: 1}
	for round := range 5 {
		for _, need := range []cornelwall.Need{{}, workerNeed} {
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
				return nil // the final audit reports the error
			}
		}
	}
	return s.expectAllDone(ctx, "after", 10, 8)
}

// failingExecutor runs jobs while one executor fails every task. Once it succeeds again, all jobs must
// be done.
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

// deadMachines kills an executor that runs tasks, and a worker that holds leases.
func deadMachines(ctx context.Context, s *harness) error {
	if err := s.killWhileRunning(ctx, s.Executors[0], newJob("on-dead-executor", 16)); err != nil {
		return err
	}
	if err := s.expectAllDone(ctx, "after", 10, 8); err != nil {
		return err
	}
	onWorker := newJob("on-dead-worker", 4)
	onWorker.Need = cornelwall.Need{Cores: 1}
	return s.killWhileRunning(ctx, s.Workers[0], onWorker)
}

// killWhileRunning kills a machine while all tasks of a job run, some of them on it.
func (s *harness) killWhileRunning(ctx context.Context, p *local.Process, j drive.Job) error {
	tk, err := s.ticketOwnedBy(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.setHang(ctx, true); err != nil {
		return err
	}
	pending := s.submitAsync(ctx, 1, j, tk)
	if err := errors.Join(s.awaitStarts(ctx, j, j.Tasks), s.KillMachine(ctx, p), s.setHang(ctx, false)); err != nil {
		return err
	}
	if _, err := pending.wait(ctx); err != nil {
		return err
	}
	a, err := s.SubmitUntilFinal(ctx, j, tk)
	return errors.Join(err, expectLostResults(a))
}

// expectLostResults checks the answer for a job that lost the results of some tasks: the job is failed
// or unknown, and at least one task is unknown.
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

// lapsedLease freezes the owner of a job until the leases of its tasks have expired at the worker, and
// then resumes it. The owner must not start the tasks again.
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
	pending := s.submitAsync(ctx, 0, j, tk)
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
	if _, err := pending.wait(ctx); err != nil {
		return err
	}
	a, err := s.SubmitUntilFinal(ctx, j, tk)
	return errors.Join(err, expectLostResults(a))
}
