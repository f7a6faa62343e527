package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["deadly"] = func(l *lab, trouble bool) (bool, error) { return deadlyCase(l, trouble, nil) }
	scenarios["deadly-kill"] = func(l *lab, trouble bool) (bool, error) { return deadlyCase(l, trouble, killGiver) }
	scenarios["deadly-stop"] = func(l *lab, trouble bool) (bool, error) { return deadlyCase(l, trouble, stopOwner) }
	scenarios["deadly-rack"] = deadlyRackCase
	scenarios["rack"] = rackCase
}

const (
	deadlyZones     = 3
	deadlyEntries   = 6
	deadlyExecutors = 24
	deadlyJobs      = 5
	deadlyInterval  = 700 * time.Millisecond // between two deadly jobs
	deadlyTries     = 8
	deadlyAgain     = 3 * time.Second // after the last answer, when a late copy of the request arrives at another entry
	deadlyIDs       = 0xdead0000      // identifiers of deadly jobs begin here

	allowedCrashes = 3 // executors that may crash under a task before further starts count
	budgetStarts   = 3 // as many starts after those crashes break BUDGET

	harmlessTime     = 500 * time.Millisecond
	harmlessInterval = 100 * time.Millisecond
	harmlessTasks    = 4
	harmlessTries    = 4

	rackRounds = 3
	rackPause  = 5 * time.Second // between two rounds
)

// deadlyQueue is the queue of the deadly jobs and of the harmless ones.
var deadlyQueue = route{Name: "q", Host: "q.example", Prefix: "/q/", Type: "unsafe", Timeout: 1500, Target: 60, Service: "svc", Attempts: 3, Stretch: 3}

// clientJob is a job and what its client has seen.
type clientJob struct {
	id     string
	body   string
	deadly bool

	mu      sync.Mutex
	owner   *entry // entry of the last try
	answers []answer
	sentAt  time.Duration // first try
}

// answer is the end of one try.
type answer struct {
	status int // 0: none
	state  string
	at     time.Duration
}

// isFinal reports whether the client of a job does not hand it in again after this answer.
func (a answer) isFinal() bool { return a.status != 0 && a.status != 502 && a.status != 504 }

// handIn hands a job in at one entry after the other, as its client does, until an answer is final.
func (l *lab) handIn(j *clientJob, first, tries int) {
	for i := range tries {
		if i > 0 {
			time.Sleep(retryDelay)
		}
		if l.try(j, l.entries[(first+i)%len(l.entries)]).isFinal() {
			return
		}
	}
}

// try hands a job in once.
func (l *lab) try(j *clientJob, e *entry) answer {
	j.mu.Lock()
	j.owner = e
	if len(j.answers) == 0 {
		j.sentAt = l.now()
	}
	j.mu.Unlock()
	l.note("client", "POST", j.id, "to", e.name)
	status, body := request("POST", e.callers, deadlyQueue.Host, deadlyQueue.Prefix+j.id, j.body, jobDeadline)
	l.note("client", "POST", j.id, "to", e.name, "answered", status, body)
	a := answer{status: status, at: l.now()}
	if status == 200 {
		var out struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(body), &out) // an answer without a state has none
		a.state = out.State
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers = append(j.answers, a)
	return a
}

// startDeadlyLab starts the deployment of the cases of this file.
func startDeadlyLab(l *lab) error {
	l.store.putConfig(1, true, deadlyQueue)
	zone := func(i int) string { return "zone-" + string(rune('a'+i%deadlyZones)) }
	k := kind{cpu: 16000, labels: []string{"a", "r1"}, guards: true}
	for i := range deadlyExecutors {
		if _, err := l.addExecutor(fmt.Sprintf("i-%d", i+1), "svc", zone(i), k); err != nil {
			return err
		}
	}
	for i := range deadlyEntries {
		if _, err := l.addEntry(fmt.Sprintf("edge-%s-%d", zone(i), i/deadlyZones+1), zone(i)); err != nil {
			return err
		}
	}
	return l.startEntries()
}

// harmlessLoad hands in harmless jobs until stop is closed, and returns them once all are answered.
func (l *lab) harmlessLoad(stop <-chan struct{}) []*clientJob {
	var jobs []*clientJob
	var wg sync.WaitGroup
	t := time.NewTicker(harmlessInterval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return jobs
		case <-t.C:
		}
		j := &clientJob{id: jobID(n), body: jobBody(harmlessTasks, jobCores, harmlessTime, "")}
		jobs = append(jobs, j)
		wg.Go(func() { l.handIn(j, n, harmlessTries) })
	}
}

// disruption is what happens at a start of a deadly task. It is called with the number of that start, from 1.
type disruption func(l *lab, j *clientJob, n int, s startEvent)

// killGiver kills the entry that gave each second start, and starts it again.
func killGiver(l *lab, _ *clientJob, n int, s startEvent) {
	if n%2 != 0 {
		return
	}
	if e := l.entryNamed(s.conn.await()); e != nil {
		l.restart(e, syscall.SIGKILL)
	}
}

// stopOwner stops the owner of the job as planned at each second start, and starts it again.
func stopOwner(l *lab, j *clientJob, n int, _ startEvent) {
	if n%2 != 0 {
		return
	}
	j.mu.Lock()
	e := j.owner
	j.mu.Unlock()
	l.restart(e, syscall.SIGTERM)
}

func (l *lab) entryNamed(name string) *entry {
	i := slices.IndexFunc(l.entries, func(e *entry) bool { return e.name == name })
	if i < 0 {
		return nil
	}
	return l.entries[i]
}

// restart ends an entry and starts it again, unless that is under way.
func (l *lab) restart(e *entry, s syscall.Signal) {
	if !e.restarting.CompareAndSwap(false, true) {
		return
	}
	defer e.restarting.Store(false)
	l.note("entry", e.name, "gets", s)
	e.signal(s)
	select {
	case <-e.done:
	case <-time.After(stopTimeout):
		e.signal(syscall.SIGKILL)
		<-e.done
	}
	if err := e.start(); err != nil {
		l.note("entry", e.name, "can't start:", err)
	}
}

// deadlyCase hands in jobs of one task that crashes each executor that starts it, beside harmless jobs.
// It judges BUDGET and REFUSED, and that no harmless job is answered as failed. Without trouble the
// tasks of these jobs are harmless, too.
func deadlyCase(l *lab, trouble bool, disrupt disruption) (bool, error) {
	if err := startDeadlyLab(l); err != nil {
		return false, err
	}
	word := deadlyWord
	if !trouble {
		word = ""
	}
	jobs := make([]*clientJob, deadlyJobs)
	for i := range jobs {
		body := strings.Replace(jobBody(1, jobCores, harmlessTime, ""), ` requires=`, word+` requires=`, 1)
		jobs[i] = &clientJob{id: jobID(deadlyIDs + i), deadly: trouble, body: body}
	}
	if disrupt != nil && trouble {
		l.mu.Lock()
		l.onStart = disruptAt(l, jobs, disrupt)
		l.mu.Unlock()
	}
	stop, harmless := make(chan struct{}), make(chan []*clientJob)
	go func() { harmless <- l.harmlessLoad(stop) }()
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for i, j := range jobs {
		wg.Go(func() {
			l.handIn(j, i, deadlyTries)
			time.Sleep(deadlyAgain)
			l.try(j, l.entries[(i+len(j.answers)+1)%len(l.entries)])
		})
		time.Sleep(deadlyInterval)
	}
	wg.Wait()
	close(stop)
	others := <-harmless
	time.Sleep(2 * time.Second)
	broken := false
	for _, j := range jobs {
		broken = l.judgeDeadly(j) || broken
	}
	broken = l.judgeHarmless(others) || broken
	return l.judgeTwice() || broken, nil
}

// disruptAt returns a function for lab.onStart that calls disrupt with the starts of the jobs' tasks.
func disruptAt(l *lab, jobs []*clientJob, disrupt disruption) func(startEvent) {
	var mu sync.Mutex
	count := map[string]int{}
	return func(s startEvent) {
		for _, j := range jobs {
			if !strings.HasPrefix(s.task, j.id+".") {
				continue
			}
			mu.Lock()
			count[j.id]++
			n := count[j.id]
			mu.Unlock()
			disrupt(l, j, n, s)
		}
	}
}

// judgeDeadly judges BUDGET and REFUSED for a job of one task, for all starts, whoever ordered them.
func (l *lab) judgeDeadly(j *clientJob) bool {
	starts, crashes := l.startsOf(j)
	after := 0
	if len(crashes) >= allowedCrashes {
		third := crashes[allowedCrashes-1]
		for _, s := range starts {
			if s.at > third {
				after++
			}
		}
	}
	refused := !slices.ContainsFunc(j.answers, func(a answer) bool { return a.status != 503 && a.status != 429 && a.status != 404 })
	l.note("job", j.id, "deadly", j.deadly, "starts", len(starts), "crashes", len(crashes), "starts after three crashes", after, "answers", j.summary())
	if after >= budgetStarts {
		l.note("BUDGET broken:", j.id, after, "starts after", allowedCrashes, "executors crashed under its task")
	}
	if refused && len(starts) > 0 {
		l.note("REFUSED broken:", j.id, "was started", len(starts), "times, and each try was rejected")
	}
	return after >= budgetStarts || refused && len(starts) > 0
}

// startsOf returns the starts of a job's tasks, and when executors crashed under them, in order.
func (l *lab) startsOf(j *clientJob) ([]startEvent, []time.Duration) {
	var starts []startEvent
	var crashes []time.Duration
	for _, s := range l.startEvents() {
		if !strings.HasPrefix(s.task, j.id+".") {
			continue
		}
		starts = append(starts, s)
		if l.howEnded(s) == endCrash {
			at, _ := l.endOf(s)
			crashes = append(crashes, at)
		}
	}
	slices.Sort(crashes)
	return starts, crashes
}

// summary tells the answers of a job, each with the time since the first try.
func (j *clientJob) summary() []string {
	out := make([]string, len(j.answers))
	for i, a := range j.answers {
		out[i] = fmt.Sprintf("%d%s@%.1fs", a.status, a.state, (a.at - j.sentAt).Seconds())
	}
	return out
}

// judgeHarmless judges that no harmless job is answered as failed, and notes how the jobs ended.
func (l *lab) judgeHarmless(jobs []*clientJob) bool {
	broken := false
	ends, hit := map[string]int{}, 0
	for _, j := range jobs {
		last := j.answers[len(j.answers)-1]
		ends[fmt.Sprint(last.status, last.state)]++
		_, crashes := l.startsOf(j)
		if len(crashes) > 0 {
			hit++
		}
		if last.state == "failed" {
			l.note("harmless job", j.id, "was answered as failed after", len(crashes), "crashes of executors under its tasks:", j.summary())
			broken = true
		}
	}
	l.note("harmless jobs", len(jobs), "of which executors crashed under", hit, "last answers", ends)
	return broken
}

// crashRacks crashes half of the executors at the same moment, and the other half in the next round.
func (l *lab) crashRacks() {
	for round := range rackRounds {
		time.Sleep(rackPause)
		for i, x := range l.executors {
			if (i/deadlyZones+round)%2 != 0 {
				continue
			}
			x.mu.Lock()
			born := x.born
			x.mu.Unlock()
			go x.crashAndBoot(born, deadlyDown)
		}
	}
}

// deadlyRackCase is deadlyCase beside crashes that no task causes.
func deadlyRackCase(l *lab, trouble bool) (bool, error) {
	racks := make(chan struct{})
	go func() {
		defer close(racks)
		if trouble {
			l.crashRacks()
		}
	}()
	broken, err := deadlyCase(l, trouble, nil)
	<-racks
	return broken, err
}

// rackCase crashes half of the executors at the same moment, several times, under harmless load. No job
// may be answered as failed.
func rackCase(l *lab, trouble bool) (bool, error) {
	if err := startDeadlyLab(l); err != nil {
		return false, err
	}
	stop, harmless := make(chan struct{}), make(chan []*clientJob)
	go func() { harmless <- l.harmlessLoad(stop) }()
	if trouble {
		l.crashRacks()
	}
	time.Sleep(rackPause)
	close(stop)
	broken := l.judgeHarmless(<-harmless)
	return l.judgeTwice() || broken, nil
}
