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
	watchRetryDelay    = 500 * time.Millisecond // mean delay between a failed watch and the next one
	watchProbeInterval = 2 * time.Second        // between reads that check the store during a watch
	maxStoreCalls      = 64                     // concurrent StoreGet and StoreCreate calls
)

// Settings holds the settings of a Service.
type Settings struct {
	Store          cornelwall.Store
	VMList         cornelwall.VMList
	ProfilePrefix  string                                            // of the keys of profiles in the store
	DecodeProfile  func(cornelwall.Pair) (cornelwall.Profile, error) // decodes and checks a profile from the store
	VMListInterval time.Duration                                     // between two reads of the VM list
	Timeout        time.Duration                                     // of one call
}

// Service carries out the core's commands for the platform and posts the platform's answers
// to the core.
type Service struct {
	Settings
	sink         cornelwall.EventSink
	log          logr.Logger
	callSlots    chan struct{}
	mu           sync.Mutex
	watchWanted  bool          // as in the last SetWatch
	watchChanged chan struct{} // signals a change of watchWanted
	wg           sync.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
}

// NewService returns a service that posts events to sink.
func NewService(s Settings, sink cornelwall.EventSink, log logr.Logger) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		Settings: s, sink: sink, log: log,
		callSlots:    make(chan struct{}, maxStoreCalls),
		watchChanged: make(chan struct{}, 1),
		ctx:          ctx, cancel: cancel,
		done: make(chan struct{}),
	}
}

// Handle carries out a command.
func (s *Service) Handle(cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.SetWatch:
		s.mu.Lock()
		s.watchWanted = cmd.On
		s.mu.Unlock()
		select {
		case s.watchChanged <- struct{}{}:
		default:
		}
	case cornelwall.StoreGet:
		s.storeCall(cmd.ID, func(ctx context.Context) cornelwall.StoreResult {
			pair, err := s.Store.Get(ctx, cmd.Key)
			return cornelwall.StoreResult{Pair: pair, Err: err}
		})
	case cornelwall.StoreCreate:
		s.storeCall(cmd.ID, func(ctx context.Context) cornelwall.StoreResult {
			lease, err := s.Store.GrantLease(ctx, int64(cmd.TTL/time.Second))
			if err != nil {
				return cornelwall.StoreResult{Err: err}
			}
			swapped, err := s.Store.CompareAndSwap(ctx, cmd.Key, 0, cmd.Value, lease)
			return cornelwall.StoreResult{Created: swapped, Err: err}
		})
	}
}

var errTooManyCalls = errors.New("too many concurrent calls to the platform's store; try again later")

// storeCall makes a call to the store in the background and posts its result. It fails at once
// if maxStoreCalls calls are in flight.
func (s *Service) storeCall(id uint64, f func(ctx context.Context) cornelwall.StoreResult) {
	s.wg.Go(func() {
		stored := cornelwall.StoreResult{Err: errTooManyCalls}
		select {
		case s.callSlots <- struct{}{}:
			ctx, cancel := context.WithTimeout(s.ctx, s.Timeout)
			stored = f(ctx)
			cancel()
			<-s.callSlots
		default:
		}
		stored.ID = id
		s.sink.Post(stored)
	})
}

// Run reads the VM list periodically and watches the profiles while the core wants that.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	var g sync.WaitGroup
	g.Go(func() { s.pollVMList(ctx) })
	g.Go(func() { s.manageWatch(ctx) })
	<-ctx.Done()
	s.cancel()
	g.Wait()
	s.wg.Wait()
	return nil
}

// Done is closed once Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

func (s *Service) pollVMList(ctx context.Context) {
	tick := time.NewTicker(s.VMListInterval)
	defer tick.Stop()
	for {
		lctx, cancel := context.WithTimeout(ctx, s.Timeout)
		vms, err := s.VMList.List(lctx)
		cancel()
		if err != nil {
			s.log.V(1).Info("vm-list-failed", "err", err)
		} else {
			s.sink.Post(cornelwall.MachinesListed{VMs: vms})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// runningWatch is a watch that runs in a goroutine.
type runningWatch struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// stop stops the watch and waits until its goroutine has ended.
func (w *runningWatch) stop() {
	if w != nil {
		w.cancel()
		<-w.ended
	}
}

// manageWatch starts and stops the watch as the core commands.
func (s *Service) manageWatch(ctx context.Context) {
	var w *runningWatch
	for {
		select {
		case <-ctx.Done():
			w.stop()
			return
		case <-s.watchChanged:
			w.stop()
			w = nil
			s.mu.Lock()
			on := s.watchWanted
			s.mu.Unlock()
			if on {
				w = s.startWatch(ctx)
			}
		}
	}
}

func (s *Service) startWatch(ctx context.Context) *runningWatch {
	wctx, cancel := context.WithCancel(ctx)
	w := &runningWatch{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		s.watchProfiles(wctx)
	}()
	return w
}

// watchProfiles reads all profiles and watches their changes until ctx ends. It starts again
// when a watch fails.
func (s *Service) watchProfiles(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.listAndWatch(ctx); err != nil && ctx.Err() == nil {
			s.log.V(1).Info("watch-failed", "err", err)
			s.sink.Post(cornelwall.WatchLost{})
		}
		pause := time.NewTimer(watchRetryDelay/2 + rand.N(watchRetryDelay))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
}

func (s *Service) listAndWatch(ctx context.Context) error {
	lctx, cancel := context.WithTimeout(ctx, s.Timeout)
	pairs, revision, err := s.Store.List(lctx, s.ProfilePrefix)
	cancel()
	if err != nil {
		return err
	}
	s.sink.Post(cornelwall.WatchUpdate{Profiles: s.decode(pairs), All: true})
	wctx, stop := context.WithCancel(ctx)
	defer stop()
	var g sync.WaitGroup
	g.Go(func() { s.probe(wctx, stop) })
	err = s.Store.Watch(wctx, s.ProfilePrefix, revision, func(c cornelwall.Change) {
		if !c.Deleted {
			s.sink.Post(cornelwall.WatchUpdate{Profiles: s.decode([]cornelwall.Pair{c.Pair})})
		}
	})
	stop()
	g.Wait()
	return err
}

// probe reads all profiles every watchProbeInterval, since a watch whose connection is cut can
// stay silent for long. It stops the watch when the store does not answer.
func (s *Service) probe(ctx context.Context, stop context.CancelFunc) {
	tick := time.NewTicker(watchProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		pctx, cancel := context.WithTimeout(ctx, s.Timeout)
		pairs, _, err := s.Store.List(pctx, s.ProfilePrefix)
		cancel()
		if err != nil {
			stop()
			return
		}
		s.sink.Post(cornelwall.WatchUpdate{Profiles: s.decode(pairs), All: true})
	}
}

// decode returns the valid profiles and logs the keys of the others.
func (s *Service) decode(pairs []cornelwall.Pair) []cornelwall.Profile {
	ps := make([]cornelwall.Profile, 0, len(pairs))
	for _, pair := range pairs {
		p, err := s.DecodeProfile(pair)
		if err != nil {
			s.log.Info("profile-damaged", "key", pair.Key, "err", err)
			continue
		}
		ps = append(ps, p)
	}
	return ps
}
