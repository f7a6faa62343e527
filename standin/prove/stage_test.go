package prove

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/drive"
	"cornelwall/standin/local"
	"cornelwall/standin/task"
)

const (
	limit       = 3 * time.Minute // of one scenario; a hang, not a verdict
	auditLimit  = 30 * time.Second
	sideBySide  = 4 // systems
	defaultSeed = 1
	profileName = "holds"
)

var (
	programs string // directory of the product built with the race detector
	total    struct {
		sync.Mutex
		systems int
		sums    drive.Sums
	}
	systems = make(chan struct{}, sideBySide)
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cornelwall-prove-")
	if err == nil {
		err = local.Build(context.Background(), dir, "-race")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	code := m.Run()
	fmt.Printf("sums over %d systems: %s\n", total.systems, total.sums)
	return code
}

// scenario brings about failures on a system of its own. Run returns what was wrong
// besides what the audit finds.
type scenario struct {
	name string
	cfg  local.Config
	run  func(ctx context.Context, s *stage) error
}

// stage is a running system with a driver that picks any entry in rotation.
type stage struct {
	*local.System
	*drive.Driver
	seed uint64
	rand *rand.Rand // for the scenario alone

	mu  sync.Mutex
	out map[string]bool // names of entries that the balancer leaves out
}

// perform runs a scenario with the programs of a directory and returns what it found.
func perform(t *testing.T, dir string, sc scenario) (drive.Sums, error) {
	systems <- struct{}{}
	defer func() { <-systems }()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	cfg := sc.cfg
	cfg.Programs = dir
	cfg.Dir = logDir(t)
	sys, err := local.Start(ctx, cfg)
	assert.NilError(t, err)
	seed := seed(t)
	s := &stage{System: sys, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), out: map[string]bool{}}
	s.Driver = drive.New(s.pick)
	defer s.Close()
	profile := cornelwall.Profile{Name: profileName, Team: "bookings", Deadline: cornelwall.Duration(5 * time.Minute)}
	err = s.Apply(ctx, profile)
	if err == nil {
		err = sc.run(ctx, s)
	}
	actx, done := context.WithTimeout(context.WithoutCancel(ctx), auditLimit)
	defer done()
	sums, auditErr := s.audit(actx) // also of a scenario that hung
	return sums, errors.Join(err, auditErr, sys.Stop())
}

// audit releases all tasks and holds the answers against the starts.
func (s *stage) audit(ctx context.Context) (drive.Sums, error) {
	starts, err := s.Starts(ctx)
	if err != nil {
		return drive.Sums{}, err
	}
	sums := s.Ledger.Audit(starts)
	return sums, sums.Err()
}

func logDir(t *testing.T) string {
	dir := os.Getenv("CORNELWALL_LOGS")
	if dir == "" {
		return t.TempDir()
	}
	dir = filepath.Join(dir, t.Name())
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	return dir
}

func seed(t *testing.T) uint64 {
	text := os.Getenv("CORNELWALL_SEED")
	if text == "" {
		return defaultSeed
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err, "CORNELWALL_SEED")
	return n
}

// pick returns an entry in rotation, as the platform's balancer does.
func (s *stage) pick() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var in []*local.Process
	for _, p := range s.Entries {
		if !s.out[p.Name] {
			in = append(in, p)
		}
	}
	return in[rand.N(len(in))].URL("callers")
}

// rotate takes an entry in or out of the balancer's rotation.
func (s *stage) rotate(name string, in bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out[name] = !in
}

// restart starts entry i again and waits until it has the profile.
func (s *stage) restart(ctx context.Context, i int) error {
	old := s.Entries[i]
	s.rotate(old.Name, false)
	p, err := s.StartEntry(ctx, old.DataCentre, old.Name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.Entries[i] = p
	s.mu.Unlock()
	if err := s.inForce(ctx, p); err != nil {
		return err
	}
	s.rotate(s.Entries[i].Name, true)
	return nil
}

// inForce waits until an entry knows the profile.
func (s *stage) inForce(ctx context.Context, p *local.Process) error {
	return local.Wait(ctx, func() error {
		_, err := s.Draw(ctx, p.URL("callers"), profileName, 1)
		return err
	})
}

func job(name string, tasks int) drive.Job {
	return drive.Job{Name: name, Profile: profileName, Tasks: tasks, Sleep: 20 * time.Millisecond}
}

// ticketOf draws a ticket that entry i owns.
func (s *stage) ticketOf(ctx context.Context, i int) (cornelwall.Ticket, error) {
	ts, err := s.Draw(ctx, s.Entries[i].URL("callers"), profileName, 1)
	if err != nil {
		return cornelwall.Ticket{}, err
	}
	return ts[0], nil
}

// asked is a request that is under way.
type asked chan struct {
	reply drive.Reply
	err   error
}

// ask submits a job at entry i without waiting for the answer.
func (s *stage) ask(ctx context.Context, i int, j drive.Job, tk cornelwall.Ticket) asked {
	ch := make(asked, 1)
	entry := s.Entries[i].URL("callers")
	go func() {
		r, err := s.Submit(ctx, entry, j, tk)
		ch <- struct {
			reply drive.Reply
			err   error
		}{r, err}
	}()
	return ch
}

// answer waits for the answer.
func (a asked) answer(ctx context.Context) (drive.Reply, error) {
	select {
	case got := <-a:
		return got.reply, got.err
	case <-ctx.Done():
		return drive.Reply{}, ctx.Err()
	}
}

// expect submits a job at each of the entries at once and checks each answer.
func (s *stage) expect(ctx context.Context, entries []int, j drive.Job, tk cornelwall.Ticket, check func(drive.Reply) error) error {
	var errs []error
	var under []asked
	for _, i := range entries {
		under = append(under, s.ask(ctx, i, j, tk))
	}
	for n, a := range under {
		r, err := a.answer(ctx)
		if err == nil {
			err = check(r)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("job %s at entry %d: %w", j.Name, entries[n], err))
		}
	}
	return errors.Join(errs...)
}

// is returns a check of outcome and finality.
func is(outcome cornelwall.Outcome, final bool) func(drive.Reply) error {
	return func(r drive.Reply) error {
		if r.Outcome != outcome || r.Final != final {
			return fmt.Errorf("answer is %s (%s) final=%v %s, want %s final=%v", r.Outcome, r.Reason, r.Final, r.Error, outcome, final)
		}
		return nil
	}
}

// ends submits a job under one ticket until its answer is final, and checks it.
func (s *stage) ends(ctx context.Context, j drive.Job, tk cornelwall.Ticket, outcome cornelwall.Outcome) error {
	a, err := s.Settle(ctx, j, tk)
	if err != nil {
		return err
	}
	return is(outcome, true)(drive.Reply{Answer: a})
}

// hang lets started tasks end only after the next hang(false).
func (s *stage) hang(ctx context.Context, on bool) error {
	return s.SetAll(ctx, task.Control{Hang: on})
}

// awaitStarts waits until n tasks of the job have started.
func (s *stage) awaitStarts(ctx context.Context, j drive.Job, n int) error {
	return local.Wait(ctx, func() error {
		all, err := s.Starts(ctx)
		if err != nil {
			return err
		}
		got := 0
		for _, m := range all {
			for i := range j.Tasks {
				got += m.Work[j.Label(i)]
			}
		}
		if got < n {
			return fmt.Errorf("%d of %d tasks of %s have started", got, n, j.Name)
		}
		return nil
	})
}

// load runs jobs side by side until stop is called, which returns what went wrong.
func (s *stage) load(ctx context.Context, name string, clients, tasks int) (stop func() error) {
	lctx, cancel := context.WithCancel(ctx)
	errs := make([]error, clients)
	var g sync.WaitGroup
	for c := range clients {
		g.Go(func() {
			for n := 0; lctx.Err() == nil && errs[c] == nil; n++ {
				_, errs[c] = s.Run(ctx, job(fmt.Sprintf("%s-%d-%d", name, c, n), tasks))
			}
		})
	}
	return func() error {
		cancel()
		g.Wait()
		return errors.Join(errs...)
	}
}

// runAll runs n jobs, some side by side, and returns how many were done.
func (s *stage) runAll(ctx context.Context, name string, n, tasks int) (done int, err error) {
	outcomes := make([]cornelwall.Outcome, n)
	errs := make([]error, n)
	var g sync.WaitGroup
	room := make(chan struct{}, 4)
	for i := range n {
		g.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			var a cornelwall.Answer
			a, errs[i] = s.Run(ctx, job(fmt.Sprintf("%s-%d", name, i), tasks))
			outcomes[i] = a.Outcome
		})
	}
	g.Wait()
	for _, o := range outcomes {
		if o == cornelwall.Done {
			done++
		}
	}
	return done, errors.Join(errs...)
}

// allDone runs n jobs, all of which have to be done.
func (s *stage) allDone(ctx context.Context, name string, n, tasks int) error {
	done, err := s.runAll(ctx, name, n, tasks)
	if err == nil && done != n {
		err = fmt.Errorf("%d of %d jobs of %s are done", done, n, name)
	}
	return err
}

// others returns the indices of all entries but some.
func (s *stage) others(but ...int) []int {
	var is []int
	for i := range s.Entries {
		if !slices.Contains(but, i) {
			is = append(is, i)
		}
	}
	return is
}
