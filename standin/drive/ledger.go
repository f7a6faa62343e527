package drive

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"cornelwall"
	"cornelwall/standin/task"
)

const maxViolations = 10 // number of violations that are kept as text; the counts include all

// Ledger records every answer to every job.
type Ledger struct {
	mu           sync.Mutex
	jobs         map[string]*jobRecord
	order        []string // names of the jobs in the order of their first requests
	cutRequests  int
	errorReplies int
}

// jobRecord holds the answers that the callers of one job received.
type jobRecord struct {
	job     Job
	answers []answer
}

// answer is one answer. key is the idempotency key of the request, if it had one.
type answer struct {
	cornelwall.Answer
	key string
}

// identity identifies one run of a job, which has at most one definite outcome: either its ticket or
// its idempotency key.
type identity struct {
	ticket cornelwall.Ticket
	key    string
}

// identity returns the key of the request, or else the ticket of the answer.
func (a *answer) identity() identity {
	if a.key != "" {
		return identity{key: a.key}
	}
	return identity{ticket: a.Ticket}
}

func newLedger() *Ledger { return &Ledger{jobs: map[string]*jobRecord{}} }

// addReply records the response to one request. A failed request that may have reached an entry
// counts as cut off; one whose context was cancelled does not count.
func (l *Ledger) addReply(j *Job, r *Reply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.jobs[j.Name]
	if rec == nil {
		rec = &jobRecord{job: *j}
		l.jobs[j.Name] = rec
		l.order = append(l.order, j.Name)
	}
	switch {
	case errors.Is(err, context.Canceled):
	case err != nil:
		if mayHaveReached(err) {
			l.cutRequests++
		}
	case r.Error != "":
		l.errorReplies++
	default:
		rec.answers = append(rec.answers, answer{Answer: r.Answer, key: j.Key})
	}
}

// AuditResult holds the totals and the violations that an audit found.
type AuditResult struct {
	Jobs         int `json:"jobs"`
	Tasks        int `json:"tasks"`
	Answers      int `json:"answers"`
	Done         int `json:"done"`     // tickets or keys with this outcome
	Failed       int `json:"failed"`   // tickets or keys with this outcome
	NotRun       int `json:"notrun"`   // answers
	Unknown      int `json:"unknown"`  // answers
	CutRequests  int `json:"cuts"`     // requests that failed after they may have reached an entry
	ErrorReplies int `json:"problems"` // error responses without an answer for the job
	Starts       int `json:"starts"`
	MaxStarts    int `json:"maxstarts"` // of the task that was started most often

	WrongNotRun     int `json:"wrongnotrun"`  // tasks reported as not run although they started
	Partial         int `json:"partial"`      // answers that miss a result, hold one although not done, or do not list every task
	WrongCaller     int `json:"wrongcaller"`  // results that belong to another task
	Contradicted    int `json:"contradicted"` // tickets or keys with two different definite outcomes
	RanWithoutStart int `json:"unstarted"`    // tasks reported as done or failed although they did not start

	Violations []string `json:"faults,omitempty"`
}

// Add adds the totals of another audit. It does not add the violations' texts.
func (s *AuditResult) Add(t AuditResult) {
	s.Jobs += t.Jobs
	s.Tasks += t.Tasks
	s.Answers += t.Answers
	s.Done += t.Done
	s.Failed += t.Failed
	s.NotRun += t.NotRun
	s.Unknown += t.Unknown
	s.CutRequests += t.CutRequests
	s.ErrorReplies += t.ErrorReplies
	s.Starts += t.Starts
	s.MaxStarts = max(s.MaxStarts, t.MaxStarts)
	s.WrongNotRun += t.WrongNotRun
	s.Partial += t.Partial
	s.WrongCaller += t.WrongCaller
	s.Contradicted += t.Contradicted
	s.RanWithoutStart += t.RanWithoutStart
}

// String returns the totals in one human-readable line.
func (s AuditResult) String() string {
	return fmt.Sprintf("jobs=%d tasks=%d answers=%d done=%d failed=%d notrun=%d unknown=%d cuts=%d starts=%d starts-per-task-max=%d "+
		"wrong-not-runs=%d partial=%d wrong-caller=%d contradicted=%d ran-without-start=%d",
		s.Jobs, s.Tasks, s.Answers, s.Done, s.Failed, s.NotRun, s.Unknown, s.CutRequests, s.Starts, s.MaxStarts,
		s.WrongNotRun, s.Partial, s.WrongCaller, s.Contradicted, s.RanWithoutStart)
}

// addViolation increments the counter n and keeps the text of the first maxViolations violations.
func (s *AuditResult) addViolation(n *int, format string, args ...any) {
	*n++
	if len(s.Violations) < maxViolations {
		s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
	}
}

// Err joins the violations to one error, nil if there are none.
func (s *AuditResult) Err() error {
	var errs []error
	for _, f := range s.Violations {
		errs = append(errs, errors.New(f))
	}
	return errors.Join(errs...)
}

// Audit checks all answers against the task starts that the executors and workers counted. Call it once no task
// can start any more, since a later start would be missing.
func (l *Ledger) Audit(machines []task.StartCounts) AuditResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	starts, startsByLabel := sumStarts(machines)
	s := AuditResult{Jobs: len(l.jobs), CutRequests: l.cutRequests, ErrorReplies: l.errorReplies}
	for _, label := range sortedKeys(startsByLabel) {
		s.Starts += startsByLabel[label]
		s.MaxStarts = max(s.MaxStarts, startsByLabel[label])
		if startsByLabel[label] > 1 {
			// There is no counter for this violation; MaxStarts shows it.
			s.addViolation(new(int), "task %s started %d times", label, startsByLabel[label])
		}
	}
	for _, name := range l.order {
		rec := l.jobs[name]
		s.Tasks += rec.job.Tasks
		definite := map[identity]cornelwall.Outcome{}
		for i := range rec.answers {
			s.checkAnswer(rec, &rec.answers[i], starts, definite)
		}
		for _, outcome := range definite {
			switch outcome {
			case cornelwall.Done:
				s.Done++
			case cornelwall.Failed:
				s.Failed++
			}
		}
	}
	return s
}

// checkAnswer checks one answer and counts it. definite holds the definite outcomes seen so far.
func (s *AuditResult) checkAnswer(rec *jobRecord, a *answer, starts map[string]int, definite map[identity]cornelwall.Outcome) {
	s.Answers++
	if a.Outcome.Definite() {
		id := a.identity()
		if old, ok := definite[id]; ok && old != a.Outcome {
			s.addViolation(&s.Contradicted, "ticket %s key %q of %s is %s and %s", a.Ticket, a.key, rec.job.Name, old, a.Outcome)
		}
		definite[id] = a.Outcome
	}
	started := func(i int) int { return starts[fmt.Sprintf("%s/%d", a.Ticket, i)] }
	switch a.Outcome {
	case cornelwall.Done:
		s.checkDone(rec, &a.Answer, started)
	case cornelwall.Failed:
		s.checkNotDone(rec, &a.Answer, started)
	case cornelwall.NotRun:
		s.NotRun++
		for i := range rec.job.Tasks {
			if started(i) > 0 {
				s.addViolation(&s.WrongNotRun, "task %s started but its job was not run (%s)", rec.job.Label(i), a.Reason)
			}
		}
	case cornelwall.Unknown:
		s.Unknown++
		if len(a.Tasks) > 0 {
			s.checkNotDone(rec, &a.Answer, started)
		}
	}
}

// checkDone checks that an answer with outcome done has the result of every task and that each task
// was started.
func (s *AuditResult) checkDone(rec *jobRecord, a *cornelwall.Answer, started func(int) int) {
	if len(a.Tasks) != rec.job.Tasks {
		s.addViolation(&s.Partial, "job %s of %d tasks has %d answers", rec.job.Name, rec.job.Tasks, len(a.Tasks))
		return
	}
	for i, t := range a.Tasks {
		switch {
		case t.Outcome != cornelwall.Done:
			s.addViolation(&s.Partial, "job %s is done but task %d is %s", rec.job.Name, i, t.Outcome)
		case string(t.Body) != rec.job.Label(i):
			s.addViolation(&s.WrongCaller, "task %s has the answer %q", rec.job.Label(i), t.Body)
		case started(i) == 0:
			s.addViolation(&s.RanWithoutStart, "task %s is done but was not started", rec.job.Label(i))
		}
	}
}

// checkNotDone checks the task list of an answer with outcome failed or unknown: it lists every task,
// has no results, and agrees with the starts.
func (s *AuditResult) checkNotDone(rec *jobRecord, a *cornelwall.Answer, started func(int) int) {
	if len(a.Tasks) != rec.job.Tasks {
		s.addViolation(&s.Partial, "job %s of %d tasks without an answer lists %d", rec.job.Name, rec.job.Tasks, len(a.Tasks))
		return
	}
	for i, t := range a.Tasks {
		switch {
		case len(t.Body) > 0:
			s.addViolation(&s.Partial, "job %s without an answer has the result of task %d", rec.job.Name, i)
		case t.Outcome == cornelwall.NotRun && started(i) > 0:
			s.addViolation(&s.WrongNotRun, "task %s started but was not run (%s)", rec.job.Label(i), t.Reason)
		case (t.Outcome == cornelwall.Done || t.Outcome == cornelwall.Failed) && started(i) == 0:
			s.addViolation(&s.RanWithoutStart, "task %s is %s but was not started", rec.job.Label(i), t.Outcome)
		}
	}
}

// sumStarts adds up the counts of all machines: starts is keyed by "ticket/index", byLabel by the label
// of the task, so that it also shows a task that was started under two tickets.
func sumStarts(machines []task.StartCounts) (starts, byLabel map[string]int) {
	starts, byLabel = map[string]int{}, map[string]int{}
	for _, m := range machines {
		for k, n := range m.Starts {
			starts[k] += n
		}
		for k, n := range m.ByEcho {
			byLabel[k] += n
		}
	}
	return starts, byLabel
}

func sortedKeys(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }

// Answers returns the number of answers recorded so far.
func (l *Ledger) Answers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, rec := range l.jobs {
		n += len(rec.answers)
	}
	return n
}
