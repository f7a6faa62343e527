package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cornelwall"
)

const (
	watchPause    = 500 * time.Millisecond // between a broken watch and the next try
	watchAlive    = 2 * time.Second        // between two words that the watch is alive
	callsInFlight = 64                     // claims that wait for the service at once
)

// Settings is the settings of the service.
type Settings struct {
	Store    cornelwall.Store
	List     cornelwall.VMList
	Prefix   string // of the profiles
	Decode   func(cornelwall.Pair) (cornelwall.Profile, error)
	ListPoll time.Duration // between two reads of the VM list
	Timeout  time.Duration // of one call
}

// Service carries out the core's commands to the platform and reports what the
// platform says.
type Service struct {
	Settings
	post  cornelwall.EventSink
	log   logr.Logger
	calls chan struct{}
	mu    sync.Mutex
	on    bool          // what the core asked for last
	wake  chan struct{} // on has changed
	wg    sync.WaitGroup
	ctx   context.Context
	end   context.CancelFunc
	done  chan struct{}
}

// NewService returns a service that reports to post.
func NewService(s Settings, post cornelwall.EventSink, log logr.Logger) *Service {
	ctx, end := context.WithCancel(context.Background())
	return &Service{
		Settings: s, post: post, log: log,
		calls: make(chan struct{}, callsInFlight),
		wake:  make(chan struct{}, 1),
		ctx:   ctx, end: end,
		done: make(chan struct{}),
	}
}

// Handle carries out a command.
func (s *Service) Handle(cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.SetWatch:
		s.mu.Lock()
		s.on = cmd.On
		s.mu.Unlock()
		select {
		case s.wake <- struct{}{}:
		default:
		}
	case cornelwall.StoreGet:
		s.call(cmd.ID, func(ctx context.Context) cornelwall.StoreResult {
			pair, err := s.Store.Get(ctx, cmd.Key)
			return cornelwall.StoreResult{Pair: pair, Err: err}
		})
	case cornelwall.StoreCreate:
		s.call(cmd.ID, func(ctx context.Context) cornelwall.StoreResult {
			lease, err := s.Store.GrantLease(ctx, int64(cmd.TTL/time.Second))
			if err != nil {
				return cornelwall.StoreResult{Err: err}
			}
			swapped, err := s.Store.CompareAndSwap(ctx, cmd.Key, 0, cmd.Value, lease)
			return cornelwall.StoreResult{Created: swapped, Err: err}
		})
	}
}

var errTooMany = errors.New("too many calls of the platform's service at once; come back later")

func (s *Service) call(id uint64, f func(ctx context.Context) cornelwall.StoreResult) {
	s.wg.Go(func() {
		stored := cornelwall.StoreResult{Err: errTooMany}
		select {
		case s.calls <- struct{}{}:
			ctx, cancel := context.WithTimeout(s.ctx, s.Timeout)
			stored = f(ctx)
			cancel()
			<-s.calls
		default:
		}
		stored.ID = id
		s.post.Post(stored)
	})
}

// Run reads the VM list and, while the core asks for it, watches the profiles.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	var g sync.WaitGroup
	g.Go(func() { s.pollList(ctx) })
	g.Go(func() { s.follow(ctx) })
	<-ctx.Done()
	s.end()
	g.Wait()
	s.wg.Wait()
	return nil
}

// Done is closed once Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

func (s *Service) pollList(ctx context.Context) {
	tick := time.NewTicker(s.ListPoll)
	defer tick.Stop()
	for {
		lctx, cancel := context.WithTimeout(ctx, s.Timeout)
		vms, err := s.List.List(lctx)
		cancel()
		if err != nil {
			s.log.V(1).Info("vm-list-failed", "err", err)
		} else {
			s.post.Post(cornelwall.MachinesListed{VMs: vms})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// watching is a watch that runs.
type watching struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// end stops the watch and waits for its end.
func (w *watching) end() {
	if w != nil {
		w.cancel()
		<-w.ended
	}
}

// follow starts and ends the watch as the core asks.
func (s *Service) follow(ctx context.Context) {
	var w *watching
	for {
		select {
		case <-ctx.Done():
			w.end()
			return
		case <-s.wake:
			w.end()
			w = nil
			s.mu.Lock()
			on := s.on
			s.mu.Unlock()
			if on {
				w = s.startWatch(ctx)
			}
		}
	}
}

func (s *Service) startWatch(ctx context.Context) *watching {
	wctx, cancel := context.WithCancel(ctx)
	w := &watching{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		s.watchProfiles(wctx)
	}()
	return w
}

// watchProfiles reads all profiles and follows their changes until ctx ends.
func (s *Service) watchProfiles(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.watchOnce(ctx); err != nil && ctx.Err() == nil {
			s.log.V(1).Info("watch-failed", "err", err)
			s.post.Post(cornelwall.WatchLost{})
		}
		pause := time.NewTimer(watchPause/2 + rand.N(watchPause))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
}

func (s *Service) watchOnce(ctx context.Context) error {
	lctx, cancel := context.WithTimeout(ctx, s.Timeout)
	pairs, revision, err := s.Store.List(lctx, s.Prefix)
	cancel()
	if err != nil {
		return err
	}
	s.post.Post(cornelwall.WatchUpdate{Profiles: s.decode(pairs), All: true})
	wctx, stop := context.WithCancel(ctx)
	defer stop()
	var g sync.WaitGroup
	g.Go(func() { s.probe(wctx, stop) })
	err = s.Store.Watch(wctx, s.Prefix, revision, func(c cornelwall.Change) {
		if !c.Deleted {
			s.post.Post(cornelwall.WatchUpdate{Profiles: s.decode([]cornelwall.Pair{c.Pair})})
		}
	})
	stop()
	g.Wait()
	return err
}

// probe reads the profiles now and then, since a watch that is cut off can be silent
// for long. It stops the watch when the service does not answer.
func (s *Service) probe(ctx context.Context, stop context.CancelFunc) {
	tick := time.NewTicker(watchAlive)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		pctx, cancel := context.WithTimeout(ctx, s.Timeout)
		pairs, _, err := s.Store.List(pctx, s.Prefix)
		cancel()
		if err != nil {
			stop()
			return
		}
		s.post.Post(cornelwall.WatchUpdate{Profiles: s.decode(pairs), All: true})
	}
}

// decode returns the profiles that are valid and logs the others.
func (s *Service) decode(pairs []cornelwall.Pair) []cornelwall.Profile {
	ps := make([]cornelwall.Profile, 0, len(pairs))
	for _, pair := range pairs {
		p, err := s.Decode(pair)
		if err != nil {
			s.log.Info("profile-damaged", "key", pair.Key, "err", err)
			continue
		}
		ps = append(ps, p)
	}
	return ps
}
