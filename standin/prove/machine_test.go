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
	released = task.Control{}
)

// leavingListed marks an executor as leaving on the VM list while it has tasks.
func leavingListed(ctx context.Context, s *stage) error {
	return s.leave(ctx, func(p *local.Process) error {
		return s.Control(ctx, "/ctl/vm/"+p.Name+"/leaving", nil)
	}, released)
}

// leavingSigned lets an executor say itself that it drains; the VM list lags and says
// that it is live.
func leavingSigned(ctx context.Context, s *stage) error {
	drains := task.Control{Hang: true, Drain: true}
	return s.leave(ctx, func(p *local.Process) error { return local.Set(ctx, p, drains) }, task.Control{Drain: true})
}

// leave gives an executor the sign to leave while it has tasks. They finish, and soon no
// start is sent to it any more.
func (s *stage) leave(ctx context.Context, sign func(p *local.Process) error, after task.Control) error {
	j := job("flight", 16)
	tk, err := s.ticketOf(ctx, 1)
	if err != nil {
		return err
	}
	if err := s.hang(ctx, true); err != nil {
		return err
	}
	under := s.ask(ctx, 0, j, tk)
	if err := s.awaitStarts(ctx, j, j.Tasks); err != nil {
		return err
	}
	leaving := s.Executors[0]
	if err := errors.Join(sign(leaving), s.hangBut(ctx, leaving, after)); err != nil {
		return err
	}
	r, err := under.answer(ctx)
	if err := errors.Join(err, is(cornelwall.Done, true)(r)); err != nil {
		return fmt.Errorf("in flight at the sign: %w", err)
	}
	quietFrom := -1
	for round := range rounds {
		err := s.untouched(ctx, leaving, fmt.Sprintf("round-%d", round))
		var late *lateStarts
		switch {
		case err == nil && quietFrom < 0:
			quietFrom = round
		case err != nil && (quietFrom >= 0 || !errors.As(err, &late) || round == rounds-1):
			return fmt.Errorf("round %d of jobs after the sign: %w", round, err)
		}
		if quietFrom >= 0 && round-quietFrom >= quietRounds {
			return nil
		}
	}
	return nil
}

const (
	rounds      = 40 // of jobs after the sign at most; each takes a fifth of a second or more
	quietRounds = 5  // after the last start

	vanishLeft = 10 * time.Second // to the deadline of a job whose starts vanish
)

// lateStarts says that starts were sent to a machine that is leaving.
type lateStarts struct {
	machine string
	starts  int
}

func (e *lateStarts) Error() string {
	return fmt.Sprintf("%d starts were sent to %s, which is leaving", e.starts, e.machine)
}

// hangBut releases all machines and controls one of them apart.
func (s *stage) hangBut(ctx context.Context, p *local.Process, control task.Control) error {
	return errors.Join(s.hang(ctx, false), local.Set(ctx, p, control))
}

// untouched runs jobs and reports an error if a start was sent to the machine.
func (s *stage) untouched(ctx context.Context, p *local.Process, name string) error {
	before, err := s.attempts(ctx, p)
	if err != nil {
		return err
	}
	if err := s.allDone(ctx, name, 20, 8); err != nil {
		return err
	}
	after, err := s.attempts(ctx, p)
	if err == nil && after != before {
		err = &lateStarts{p.Name, after - before}
	}
	return err
}

// attempts returns the starts that were sent to a machine, refused ones too.
func (s *stage) attempts(ctx context.Context, p *local.Process) (int, error) {
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
func readAndClose(ctx context.Context, s *stage) error {
	leased := cornelwall.Need{Cores: 1}
	for round := range 5 {
		for _, need := range []cornelwall.Need{{}, leased} {
			warm := job(fmt.Sprintf("warm-%d-%d", round, need.Cores), 8)
			warm.Need = need
			if _, err := s.Run(ctx, warm); err != nil {
				return err
			}
			j := job(fmt.Sprintf("vanish-%d-%d", round, need.Cores), 2)
			j.Need, j.Vanish, j.Left = need, true, vanishLeft
			tk, err := s.ticketOf(ctx, round%len(s.Entries))
			if err != nil {
				return err
			}
			a, err := s.Settle(ctx, j, tk)
			if err != nil {
				return err
			}
			if err := lost(a); err != nil {
				return fmt.Errorf("job %s: %w", j.Name, err)
			}
			if _, err := s.audit(ctx); err != nil {
				return nil // the audit at the end tells
			}
		}
	}
	return s.allDone(ctx, "after", 10, 8)
}

// failingExecutor runs jobs with an executor that fails everything for a while.
func failingExecutor(ctx context.Context, s *stage) error {
	if err := local.Set(ctx, s.Executors[0], task.Control{FailAll: true}); err != nil {
		return err
	}
	if _, err := s.runAll(ctx, "failing", 40, 4); err != nil {
		return err
	}
	if err := local.Set(ctx, s.Executors[0], released); err != nil {
		return err
	}
	return s.allDone(ctx, "after", 10, 8)
}

// deadMachines ends an executor that has tasks, and a worker that has leases.
func deadMachines(ctx context.Context, s *stage) error {
	if err := s.dies(ctx, s.Executors[0], job("on-dead-executor", 16)); err != nil {
		return err
	}
	if err := s.allDone(ctx, "after", 10, 8); err != nil {
		return err
	}
	leased := job("on-dead-worker", 4)
	leased.Need = cornelwall.Need{Cores: 1}
	return s.dies(ctx, s.Workers[0], leased)
}

// dies ends a machine while all tasks of a job run, some of them on it.
func (s *stage) dies(ctx context.Context, p *local.Process, j drive.Job) error {
	tk, err := s.ticketOf(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.hang(ctx, true); err != nil {
		return err
	}
	under := s.ask(ctx, 1, j, tk)
	if err := errors.Join(s.awaitStarts(ctx, j, j.Tasks), s.KillMachine(ctx, p), s.hang(ctx, false)); err != nil {
		return err
	}
	if _, err := under.answer(ctx); err != nil {
		return err
	}
	a, err := s.Settle(ctx, j, tk)
	return errors.Join(err, lost(a))
}

// lost checks the answer of a job of which the results of some starts were lost.
func lost(a cornelwall.Answer) error {
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
func lapsedLease(ctx context.Context, s *stage) error {
	j := job("leased", 4)
	j.Need = cornelwall.Need{Cores: 1}
	tk, err := s.ticketOf(ctx, 0)
	if err != nil {
		return err
	}
	if err := s.hang(ctx, true); err != nil {
		return err
	}
	under := s.ask(ctx, 0, j, tk)
	if err := errors.Join(s.awaitStarts(ctx, j, j.Tasks), s.Entries[0].Freeze()); err != nil {
		return err
	}
	dropped := func() error {
		var usage worker.Usage
		err := local.Call(ctx, http.MethodGet, s.Workers[0].URL()+"/usage", nil, &usage)
		if err == nil && usage.Used != (cornelwall.Need{}) {
			err = fmt.Errorf("worker still runs tasks of %+v", usage.Used)
		}
		return err
	}
	if err := errors.Join(local.Wait(ctx, dropped), s.Entries[0].Resume(), s.hang(ctx, false)); err != nil {
		return err
	}
	if _, err := under.answer(ctx); err != nil {
		return err
	}
	a, err := s.Settle(ctx, j, tk)
	return errors.Join(err, lost(a))
}
