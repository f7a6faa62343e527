package prove

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"cornelwall"
	"cornelwall/standin/local"
	"cornelwall/standin/platform"
)

// lossyRule returns a rule that drops envelopes, drops responses and duplicates envelopes at random,
// 10% of the envelopes each.
func (s *harness) lossyRule() func(from, to cornelwall.Incarnation) local.Delivery {
	r := rand.New(rand.NewPCG(s.seed, 1))
	var mu sync.Mutex
	return func(_, _ cornelwall.Incarnation) local.Delivery {
		mu.Lock()
		defer mu.Unlock()
		switch n := r.IntN(100); {
		case n < 10:
			return local.Drop
		case n < 20:
			return local.LoseAck
		case n < 30:
			return local.Double
		}
		return local.Deliver
	}
}

// failure injects and undoes one kind of failure.
type failure struct {
	name  string
	start func(ctx context.Context, s *harness, entry int) error
	undo  func(ctx context.Context, s *harness, entry int) error
}

func healNetwork(_ context.Context, s *harness, _ int) error {
	s.Network.Heal()
	return nil
}

func restorePlatform(ctx context.Context, s *harness, _ int) error {
	return s.setFault(ctx, platform.Fault{})
}

var failures = []failure{
	{"kill",
		func(_ context.Context, s *harness, entry int) error {
			s.setInRotation(s.Entries[entry].Name, false)
			return s.Entries[entry].Kill()
		},
		func(ctx context.Context, s *harness, entry int) error { return s.restartEntry(ctx, entry) }},
	{"freeze",
		func(_ context.Context, s *harness, entry int) error {
			s.setInRotation(s.Entries[entry].Name, false)
			return s.Entries[entry].Freeze()
		},
		func(_ context.Context, s *harness, entry int) error {
			s.setInRotation(s.Entries[entry].Name, true)
			return s.Entries[entry].Resume()
		}},
	{"cut-centres", func(_ context.Context, s *harness, _ int) error { s.Network.PartitionDataCentres(); return nil }, healNetwork},
	{"lossy", func(_ context.Context, s *harness, _ int) error { s.Network.SetRule(s.lossyRule()); return nil }, healNetwork},
	{"platform", func(ctx context.Context, s *harness, _ int) error {
		return s.setFault(ctx, platform.Fault{Down: true, VMs: true})
	}, restorePlatform},
	{"slow-store", func(ctx context.Context, s *harness, _ int) error {
		return s.setFault(ctx, platform.Fault{Delay: cornelwall.Duration(1e9), LoseAnswers: 2})
	}, restorePlatform},
}

// several injects three random failures at the same time, in several rounds, under load from jobs with
// tickets and with idempotency keys. The seed determines the failures and their order.
func several(ctx context.Context, s *harness) error {
	const rounds, atOnce = 4, 3
	var order []string
	stop := s.startLoad(ctx, "load", 4, 4)
	stopKeys := s.startKeyLoad(ctx)
	var err error
	for round := 0; round < rounds && err == nil; round++ {
		picked := s.rand.Perm(len(failures))[:atOnce]
		entry := s.rand.IntN(len(s.Entries)) // each failure gets another entry, so that the killed and the frozen one differ
		for n, f := range picked {
			order = append(order, fmt.Sprintf("%s(%d)", failures[f].name, (entry+n)%len(s.Entries)))
			err = errors.Join(err, failures[f].start(ctx, s, (entry+n)%len(s.Entries)))
		}
		err = errors.Join(err, s.awaitProgress(ctx, 40))
		for n, f := range picked {
			err = errors.Join(err, failures[f].undo(ctx, s, (entry+n)%len(s.Entries)))
		}
		err = errors.Join(err, s.awaitProgress(ctx, 40))
	}
	err = errors.Join(err, stop(), stopKeys())
	s.DropTickets() // the owners of some are gone
	err = errors.Join(err, s.expectAllDone(ctx, "after", 10, 8))
	if err != nil {
		err = fmt.Errorf("seed %d, order %s: %w", s.seed, strings.Join(order, " "), err)
	}
	return err
}

// awaitProgress waits until callers have received n more answers.
func (s *harness) awaitProgress(ctx context.Context, n int) error {
	from := s.Ledger.Answers()
	return local.Poll(ctx, func() error {
		if got := s.Ledger.Answers() - from; got < n {
			return fmt.Errorf("%d of %d answers received", got, n)
		}
		return nil
	})
}

// startKeyLoad runs jobs with idempotency keys until stop is called. It submits each from two clients
// concurrently.
func (s *harness) startKeyLoad(ctx context.Context) (stop func() error) {
	lctx, cancel := context.WithCancel(ctx)
	errs := make([]error, 2)
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; lctx.Err() == nil; n++ {
			j := newJob(fmt.Sprintf("key-%d", n), 2)
			j.Key = j.Name
			var pair sync.WaitGroup
			for side := range errs {
				pair.Go(func() {
					_, err := s.SubmitUntilFinal(ctx, j, cornelwall.Ticket{})
					errs[side] = errors.Join(errs[side], err)
				})
			}
			pair.Wait()
		}
	})
	return func() error {
		cancel()
		g.Wait()
		return errors.Join(errs...)
	}
}
