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
	scenarioTimeout = 3 * time.Minute // per scenario; detects a hang and is no requirement on speed
	auditTimeout    = 30 * time.Second
	maxSystems      = 4 // that run at the same time
	defaultSeed     = 1
	profileName     = "holds"
)

var (
	programsDir string // directory of the programs built with the race detector
	totals      struct {
		sync.Mutex
		systems int
		audit   drive.AuditResult
	}
	systemSlots = make(chan struct{}, maxSystems)
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cornelwall-prove-")
	if err == nil {
		err = local.Build(context.Background(), dir, "-race")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programsDir = dir
	code := m.Run()
	fmt.Printf("sums over %d systems: %s\n", totals.systems, totals.audit)
	return code
}

// scenario injects failures into a system of its own. run returns an error for wrong behaviour that
// the audit does not check.
type scenario struct {
	name string
	cfg  local.Config
	run  func(ctx context.Context, s *harness) error
}

// harness is a running system with a driver that sends each request to a random entry in rotation.
type harness struct {
	*local.System
	*drive.Driver
	seed uint64
	rand *rand.Rand // for use by the scenario only

	mu            sync.Mutex
	outOfRotation map[string]bool // names of entries to which the driver sends no requests
}

// runScenario runs a scenario with the programs in dir and audits it. It returns the audit's result
// and the errors of both.
func runScenario(t *testing.T, dir string, sc scenario) (drive.AuditResult, error) {
	systemSlots <- struct{}{}
	defer func() { <-systemSlots }()
	ctx, cancel := context.WithTimeout(t.Context(), scenarioTimeout)
	defer cancel()
	cfg := sc.cfg
	cfg.Programs = dir
	cfg.Dir = logDir(t)
	sys, err := local.Start(ctx, cfg)
	assert.NilError(t, err)
	seed := seedFromEnv(t)
	s := &harness{System: sys, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), outOfRotation: map[string]bool{}}
	s.Driver = drive.New(s.pickEntry)
	defer s.Close()
	profile := cornelwall.Profile{Name: profileName, Team: "bookings", Deadline: cornelwall.Duration(5 * time.Minute)}
	err = s.Apply(ctx, profile)
	if err == nil {
		err = sc.run(ctx, s)
	}
	actx, done := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer done()
	result, auditErr := s.audit(actx) // also if the scenario has timed out
	if err = errors.Join(err, auditErr); err != nil {
		err = errors.Join(err, s.dumpEntries(actx))
	}
	return result, errors.Join(err, sys.Stop())
}

// dumpEntries makes the entries write the stacks of their goroutines to their logs and exit.
func (s *harness) dumpEntries(ctx context.Context) error {
	var errs []error
	for _, p := range s.Entries {
		errs = append(errs, p.DumpGoroutines(ctx))
	}
	return errors.Join(errs...)
}

// audit compares the answers in the ledger with the starts that the executors and workers counted.
func (s *harness) audit(ctx context.Context) (drive.AuditResult, error) {
	starts, err := s.Starts(ctx)
	if err != nil {
		return drive.AuditResult{}, err
	}
	result := s.Ledger.Audit(starts)
	return result, result.Err()
}

// logDir returns the directory for the log files of the processes: one below CORNELWALL_LOGS, which is
// kept, or a temporary one, which is kept if the test fails.
func logDir(t *testing.T) string {
	dir := os.Getenv("CORNELWALL_LOGS")
	if dir == "" {
		return tempLogDir(t)
	}
	dir = filepath.Join(dir, t.Name())
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	return dir
}

func tempLogDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "cornelwall-prove-logs-")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the logs of the processes are kept in %s", dir)
			return
		}
		assert.Check(t, os.RemoveAll(dir))
	})
	return dir
}

// seedFromEnv returns CORNELWALL_SEED or defaultSeed.
func seedFromEnv(t *testing.T) uint64 {
	text := os.Getenv("CORNELWALL_SEED")
	if text == "" {
		return defaultSeed
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err, "CORNELWALL_SEED")
	return n
}

// pickEntry returns the URL of a random entry in rotation, like the load balancer of the platform.
func (s *harness) pickEntry() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var in []*local.Process
	for _, p := range s.Entries {
		if !s.outOfRotation[p.Name] {
			in = append(in, p)
		}
	}
	return in[rand.N(len(in))].URL("callers")
}

// setInRotation adds an entry to the rotation or removes it.
func (s *harness) setInRotation(name string, in bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outOfRotation[name] = !in
}

// restartEntry starts a new process for entry i, waits until it has the profile, and adds it to the
// rotation.
func (s *harness) restartEntry(ctx context.Context, i int) error {
	old := s.Entries[i]
	s.setInRotation(old.Name, false)
	p, err := s.StartEntry(ctx, old.DataCentre, old.Name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.Entries[i] = p
	s.mu.Unlock()
	if err := s.awaitProfile(ctx, p); err != nil {
		return err
	}
	s.setInRotation(s.Entries[i].Name, true)
	return nil
}

// awaitProfile waits until an entry mints tickets for the profile.
func (s *harness) awaitProfile(ctx context.Context, p *local.Process) error {
	return local.Poll(ctx, func() error {
		_, err := s.DrawTickets(ctx, p.URL("callers"), profileName, 1)
		return err
	})
}

// newJob returns a job of 20 ms tasks.
func newJob(name string, tasks int) drive.Job {
	return drive.Job{Name: name, Profile: profileName, Tasks: tasks, Sleep: 20 * time.Millisecond}
}

// ticketOwnedBy returns a new ticket owned by entry i.
func (s *harness) ticketOwnedBy(ctx context.Context, i int) (cornelwall.Ticket, error) {
	ts, err := s.DrawTickets(ctx, s.Entries[i].URL("callers"), profileName, 1)
	if err != nil {
		return cornelwall.Ticket{}, err
	}
	return ts[0], nil
}

// pendingReply receives the reply to a request in flight.
type pendingReply chan struct {
	reply drive.Reply
	err   error
}

// submitAsync submits a job to entry i without waiting for the reply.
func (s *harness) submitAsync(ctx context.Context, i int, j drive.Job, tk cornelwall.Ticket) pendingReply {
	ch := make(pendingReply, 1)
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

// wait waits for the reply.
func (p pendingReply) wait(ctx context.Context) (drive.Reply, error) {
	select {
	case got := <-p:
		return got.reply, got.err
	case <-ctx.Done():
		return drive.Reply{}, ctx.Err()
	}
}

// expectAnswers submits a job to all given entries concurrently and checks each reply.
func (s *harness) expectAnswers(ctx context.Context, entries []int, j drive.Job, tk cornelwall.Ticket, check func(drive.Reply) error) error {
	var errs []error
	var pending []pendingReply
	for _, i := range entries {
		pending = append(pending, s.submitAsync(ctx, i, j, tk))
	}
	for n, p := range pending {
		r, err := p.wait(ctx)
		if err == nil {
			err = check(r)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("job %s at entry %d: %w", j.Name, entries[n], err))
		}
	}
	return errors.Join(errs...)
}

// answerIs returns a check that a reply has the outcome and is final or not.
func answerIs(outcome cornelwall.Outcome, final bool) func(drive.Reply) error {
	return func(r drive.Reply) error {
		if r.Outcome != outcome || r.Final != final {
			return fmt.Errorf("answer is %s (%s) final=%v %s, want %s final=%v", r.Outcome, r.Reason, r.Final, r.Error, outcome, final)
		}
		return nil
	}
}

// expectFinal submits a job under one ticket until the answer is final and checks its outcome.
func (s *harness) expectFinal(ctx context.Context, j drive.Job, tk cornelwall.Ticket, outcome cornelwall.Outcome) error {
	a, err := s.SubmitUntilFinal(ctx, j, tk)
	if err != nil {
		return err
	}
	return answerIs(outcome, true)(drive.Reply{Answer: a})
}

// setHang keeps started tasks from ending while on is set. It replaces the whole control of every
// executor and worker.
func (s *harness) setHang(ctx context.Context, on bool) error {
	return s.SetControlAll(ctx, task.Control{Hang: on})
}

// awaitStarts waits until the executors and workers have counted n starts of tasks of the job.
func (s *harness) awaitStarts(ctx context.Context, j drive.Job, n int) error {
	return local.Poll(ctx, func() error {
		all, err := s.Starts(ctx)
		if err != nil {
			return err
		}
		got := 0
		for _, m := range all {
			for i := range j.Tasks {
				got += m.ByEcho[j.Label(i)]
			}
		}
		if got < n {
			return fmt.Errorf("%d of %d tasks of %s have started", got, n, j.Name)
		}
		return nil
	})
}

// startLoad runs jobs from several clients, each until its first error or until stop is called. stop
// waits for the jobs in flight and returns the errors.
func (s *harness) startLoad(ctx context.Context, name string, clients, tasks int) (stop func() error) {
	lctx, cancel := context.WithCancel(ctx)
	errs := make([]error, clients)
	var g sync.WaitGroup
	for c := range clients {
		g.Go(func() {
			for n := 0; lctx.Err() == nil && errs[c] == nil; n++ {
				_, errs[c] = s.Run(ctx, newJob(fmt.Sprintf("%s-%d-%d", name, c, n), tasks))
			}
		})
	}
	return func() error {
		cancel()
		g.Wait()
		return errors.Join(errs...)
	}
}

// runJobs runs n jobs, at most 4 concurrently, and returns how many had the outcome done.
func (s *harness) runJobs(ctx context.Context, name string, n, tasks int) (done int, err error) {
	outcomes := make([]cornelwall.Outcome, n)
	errs := make([]error, n)
	var g sync.WaitGroup
	running := make(chan struct{}, 4)
	for i := range n {
		g.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			var a cornelwall.Answer
			a, errs[i] = s.Run(ctx, newJob(fmt.Sprintf("%s-%d", name, i), tasks))
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

// expectAllDone runs n jobs and returns an error unless all have the outcome done.
func (s *harness) expectAllDone(ctx context.Context, name string, n, tasks int) error {
	done, err := s.runJobs(ctx, name, n, tasks)
	if err == nil && done != n {
		err = fmt.Errorf("%d of %d jobs of %s are done", done, n, name)
	}
	return err
}

// entriesExcept returns the indices of all entries that are not listed.
func (s *harness) entriesExcept(excluded ...int) []int {
	var indices []int
	for i := range s.Entries {
		if !slices.Contains(excluded, i) {
			indices = append(indices, i)
		}
	}
	return indices
}
