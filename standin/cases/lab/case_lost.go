//go:build caselab

package main

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["lost"] = lostCase }

const (
	lostZones     = 3
	lostEntries   = 6
	lostExecutors = 24
	lostCores     = 16000 // of an executor, in thousandths
	lostLength    = 50 * time.Second
	lostSettle    = 3 * time.Second        // before the first round
	lostRound     = 2 * time.Second        // between two rounds, which is less than a fault may take
	lostMany      = 8                      // executors that the first fault of a round may hit
	lostFew       = 3                      // the same for its second fault
	lostSpread    = 300 * time.Millisecond // between the first and the last fault of a round
	lostPatience  = time.Second            // that a fault waits for its executor to be as it needs it
	lostListed    = 100 * time.Millisecond // from a start, after which the run has been listed
	leastSilence  = 1200 * time.Millisecond
	mostSilence   = 2500 * time.Millisecond
	mostDown      = 800 * time.Millisecond // from a crash to the next boot
	statusReports = 3                      // missed ones, after which the platform drops an executor

	lostInterval = 150 * time.Millisecond // between two jobs, on average
	lostTasks    = 4                      // of a job, at most
	leastTask    = 200 * time.Millisecond
	mostTask     = 900 * time.Millisecond
	lostTries    = 6
	fewCores     = 6000 // of a task, in thousandths
	manyCores    = 9000 // only one such task fits on an executor
)

// lostFault crashes the executor of a place, or cuts it off before. It returns false if the executor was not as
// the fault needs it.
type lostFault func(l *lostLab, r *rand.Rand, p *place) bool

// lostFaults are the faults by name.
var lostFaults = map[string]lostFault{
	"moved":  (*lostLab).move,
	"down":   (*lostLab).crashWhileIdle,
	"silent": (*lostLab).silenceWhileIdle,
	"cut":    (*lostLab).cutOffAtWork,
}

func lostFaultNames() []string { return slices.Sorted(maps.Keys(lostFaults)) }

// lostLab is the lab of lostCase.
type lostLab struct {
	*lab
	seed   uint64
	faults []string
	places []*place
	counts gateCounts

	mu     sync.Mutex // guards the executors of the lab
	nextID int
}

// place is an address and the executor that has it now.
type place struct {
	zone   string
	gate   *gate
	x      *executor
	inUse  atomic.Bool // a fault is under way
	number int
}

// lostCase judges LOST and REFUSED: harmless jobs run beside executors that crash while they are idle, are cut off
// or crash behind a cut. None of the jobs may be answered as failed. standin/cases/lost/claim.txt lists the settings.
func lostCase(base *lab, trouble bool) (bool, error) {
	l := &lostLab{lab: base, seed: 1}
	if err := l.readSettings(); err != nil {
		return false, err
	}
	base.anonymous = true
	if err := l.build(); err != nil {
		return false, err
	}
	defer l.closeGates()
	jobs := make(chan []*clientJob)
	until := l.now() + lostLength
	go func() { jobs <- l.submitHarmless(rand.New(rand.NewPCG(l.seed, 1)), until) }()
	time.Sleep(lostSettle)
	if trouble {
		l.playRounds(rand.New(rand.NewPCG(l.seed, 2)), until-lostSettle)
	}
	all := <-jobs
	err := l.checkTrouble(trouble)
	broken := l.judgeLost(all)
	broken = l.judgeTwice() || broken
	if broken {
		return true, nil // whatever the faults have met
	}
	return false, err
}

func (l *lostLab) readSettings() error {
	var errs []error
	if v := os.Getenv("SEED"); v != "" {
		if _, err := fmt.Sscan(v, &l.seed); err != nil {
			errs = append(errs, fmt.Errorf("SEED is %q: %w", v, err))
		}
	}
	l.faults = lostFaultNames()
	if v := os.Getenv("FAULTS"); v != "" {
		l.faults = strings.Split(v, ",")
	}
	for _, f := range l.faults {
		if lostFaults[f] == nil {
			errs = append(errs, fmt.Errorf("FAULTS has %q; use some of %s", f, strings.Join(lostFaultNames(), ",")))
		}
	}
	return errors.Join(errs...)
}

// build adds the executors, each behind its gate, and starts the entries.
func (l *lostLab) build() error {
	l.store.putConfig(1, true, deadlyQueue)
	zone := func(i int) string { return "zone-" + string(rune('a'+i%lostZones)) }
	for i := range lostExecutors {
		g, err := newGate(&l.counts)
		if err != nil {
			return err
		}
		p := &place{zone: zone(i), gate: g, number: i + 1}
		l.places = append(l.places, p)
		if err := l.settle(p); err != nil {
			return err
		}
	}
	for i := range lostEntries {
		if _, err := l.addEntry(fmt.Sprintf("edge-%s-%d", zone(i), i/lostZones+1), zone(i)); err != nil {
			return err
		}
	}
	return l.startEntries()
}

func (l *lostLab) closeGates() {
	for _, p := range l.places {
		p.gate.close()
	}
}

// settle gives a new executor the address of a place.
func (l *lostLab) settle(p *place) error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	x := &executor{lab: l.lab, id: fmt.Sprintf("i-%d", l.nextID), service: "svc", zone: p.zone, addr: addr, shown: p.gate.addr(), stop: make(chan struct{})}
	l.executors = append(l.executors, x)
	p.gate.setTarget(addr)
	if err := x.boot(kind{cpu: lostCores, labels: []string{"a", "r1"}, guards: true}); err != nil {
		return err
	}
	p.x = x
	go x.beat()
	go x.work()
	l.note("place", p.number, "has executor", x.id, "now")
	return nil
}

// submitHarmless hands in harmless jobs and returns them once all are answered.
func (l *lostLab) submitHarmless(r *rand.Rand, until time.Duration) []*clientJob {
	var jobs []*clientJob
	var wg sync.WaitGroup
	for n := 1; l.now() < until; n++ {
		time.Sleep(time.Duration(r.Int64N(int64(2 * lostInterval))))
		cpu := []int{fewCores, manyCores}[r.IntN(2)]
		took := leastTask + time.Duration(r.Int64N(int64(mostTask-leastTask)))
		j := &clientJob{id: jobID(n), body: jobBody(1+r.IntN(lostTasks), cpu, took, "")}
		jobs = append(jobs, j)
		wg.Go(func() { l.handIn(j, n, lostTries) })
	}
	wg.Wait()
	return jobs
}

// playRounds plays rounds of two faults each. A round begins before the faults of the last one have ended.
func (l *lostLab) playRounds(r *rand.Rand, until time.Duration) {
	var wg sync.WaitGroup
	for l.now() < until {
		first, second := l.drawFault(r), l.drawFault(r)
		l.note("round of", first, "and", second)
		for i, p := range l.drawPlaces(r, lostMany+lostFew) {
			name := first
			if i >= lostMany {
				name = second
			}
			own := rand.New(rand.NewPCG(r.Uint64(), 0))
			wg.Go(func() { l.playFault(own, name, p) })
		}
		time.Sleep(lostRound)
	}
	wg.Wait()
}

func (l *lostLab) drawFault(r *rand.Rand) string { return l.faults[r.IntN(len(l.faults))] }

// drawPlaces draws places, of which those are left out where a fault is under way.
func (l *lostLab) drawPlaces(r *rand.Rand, n int) []*place {
	var drawn []*place
	for _, i := range r.Perm(len(l.places))[:n] {
		if p := l.places[i]; p.inUse.CompareAndSwap(false, true) {
			drawn = append(drawn, p)
		}
	}
	return drawn
}

func (l *lostLab) playFault(r *rand.Rand, name string, p *place) {
	defer p.inUse.Store(false)
	time.Sleep(time.Duration(r.Int64N(int64(lostSpread))))
	if !lostFaults[name](l, r, p) {
		l.note("fault", name, "of", p.x.id, "is left out")
	}
}

// move crashes an idle executor and gives its address to another one at once.
func (l *lostLab) move(_ *rand.Rand, p *place) bool {
	if !p.x.awaitRuns(isIdle) {
		return false
	}
	l.note("fault moved", p.x.id)
	p.x.crash()
	l.replace(p)
	return true
}

// crashWhileIdle crashes an idle executor, which boots anew.
func (l *lostLab) crashWhileIdle(r *rand.Rand, p *place) bool {
	if !p.x.awaitRuns(isIdle) {
		return false
	}
	l.note("fault down", p.x.id)
	l.crashAndReturn(r, p)
	return true
}

// silenceWhileIdle cuts off an idle executor, so that starts get no answer, and crashes it behind the cut.
func (l *lostLab) silenceWhileIdle(r *rand.Rand, p *place) bool {
	return l.cutOff(r, p, "silent", isIdle)
}

// cutOffAtWork cuts off an executor with a run that has been listed, and crashes it once the lease is over.
func (l *lostLab) cutOffAtWork(r *rand.Rand, p *place) bool { return l.cutOff(r, p, "cut", isAtWork) }

func (l *lostLab) cutOff(r *rand.Rand, p *place, name string, ready func(x *executor) bool) bool {
	if !p.x.awaitRuns(ready) {
		return false
	}
	l.note("fault", name, p.x.id)
	p.gate.silence()
	time.Sleep(leastSilence + time.Duration(r.Int64N(int64(mostSilence-leastSilence))))
	l.crashAndReturn(r, p)
	return true
}

// crashAndReturn crashes the executor of a place and heals its cut. It boots anew or, one time in three, another
// executor gets its address.
func (l *lostLab) crashAndReturn(r *rand.Rand, p *place) {
	p.x.crash()
	p.gate.heal()
	time.Sleep(time.Duration(r.Int64N(int64(mostDown))))
	if r.IntN(3) == 0 {
		l.replace(p)
		return
	}
	if err := p.x.boot(p.x.kind); err != nil {
		l.note("executor", p.x.id, "can't boot:", err)
	}
}

// replace gives the address of a crashed executor to another one. The platform drops the crashed one later.
func (l *lostLab) replace(p *place) {
	gone := p.x
	time.AfterFunc(statusReports*heartbeat, func() { l.store.drop("servers/" + gone.id) })
	if err := l.settle(p); err != nil {
		l.note("place", p.number, "gets no executor:", err)
	}
}

// awaitRuns waits until the runs of the executor are as a fault needs them. It returns false if they are not in time.
func (x *executor) awaitRuns(ready func(x *executor) bool) bool {
	for until := time.Now().Add(lostPatience); time.Now().Before(until); time.Sleep(tick) {
		x.mu.Lock()
		ok := x.server != nil && ready(x)
		x.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// isIdle reports whether nothing runs on an executor. The caller holds mu.
func isIdle(x *executor) bool { return len(x.running) == 0 }

// isAtWork reports whether a run on an executor has been listed. The caller holds mu.
func isAtWork(x *executor) bool {
	for _, r := range x.running {
		if time.Since(r.started) >= lostListed {
			return true
		}
	}
	return false
}

// judgeLost judges that no harmless job is answered as failed, and that none whose tasks have started is only
// rejected. It notes how the jobs ended.
func (l *lostLab) judgeLost(jobs []*clientJob) bool {
	failed, rejected, ends := 0, 0, map[string]int{}
	for _, j := range jobs {
		last := j.answers[len(j.answers)-1]
		ends[fmt.Sprint(last.status, last.state)]++
		starts, crashes := l.startsOf(j)
		if slices.ContainsFunc(j.answers, func(a answer) bool { return a.state == "failed" }) {
			failed++
			l.note("LOST broken: harmless job", j.id, "was answered as failed; starts", len(starts), "crashes", len(crashes), "answers", j.summary())
		}
		if len(starts) > 0 && !slices.ContainsFunc(j.answers, isNoRejection) {
			rejected++
			l.note("REFUSED broken:", j.id, "was started", len(starts), "times, and each try was rejected:", j.summary())
		}
	}
	l.summary("harmless jobs", len(jobs), "answered as failed", failed, "started and only rejected", rejected, "last answers", ends)
	return failed+rejected > 0
}

// isNoRejection reports whether an answer leaves open that the job is run.
func isNoRejection(a answer) bool { return a.status != 503 && a.status != 429 && a.status != 404 }

// checkTrouble notes what the faults have met. It returns an error if one has met nothing: the play shows nothing then.
func (l *lostLab) checkTrouble(trouble bool) error {
	lapsed := l.lapsedRuns()
	refused, lost := l.counts.refused.Load(), l.counts.lostStarts.Load()
	l.summary("orders refused by another executor", refused, "starts that a cut executor did not get", lost, "runs that a lease ended", lapsed)
	met := map[string]int64{"moved": refused, "silent": lost, "cut": lapsed}
	var errs []error
	for _, name := range l.faults {
		if n, counted := met[name]; trouble && counted && n == 0 {
			errs = append(errs, fmt.Errorf("the fault %s has met nothing", name))
		}
	}
	return errors.Join(errs...)
}

// lapsedRuns returns the number of runs that ended with the lease of their executor.
func (l *lostLab) lapsedRuns() int64 {
	l.lab.mu.Lock()
	defer l.lab.mu.Unlock()
	var n int64
	for _, end := range l.ends {
		if end.how == "lapsed" {
			n++
		}
	}
	return n
}

// summary notes a line and prints it.
func (l *lostLab) summary(args ...any) {
	l.note("summary", args...)
	fmt.Println(args...)
}
