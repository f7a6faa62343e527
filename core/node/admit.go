package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/admit"
	"cornelwall/core/owner"
	"cornelwall/core/queue"
)

// maxRetryAfter caps the retry delay in a refusal.
const maxRetryAfter = 30 * time.Second

const (
	// sunkCostShare is the share of done tasks above which a job is not ended early, even
	// if it is predicted to miss its deadline.
	sunkCostShare = 0.3
	// waitWeight is the share of a predicted wait that counts against a deadline, as
	// predictions are often too long.
	waitWeight = 0.8
)

// discountedWait returns the part of a predicted wait that counts against a deadline.
func discountedWait(wait time.Duration) time.Duration {
	return time.Duration(waitWeight * float64(wait))
}

// admit decides whether this entry queues a new job. The ticket must belong to the
// profile's team. For a refusal, retryAfter is the delay after which the caller may try
// again.
func (n *Node) admit(job *cornelwall.Job) (p cornelwall.Profile, reason cornelwall.Reason, retryAfter time.Duration) {
	p, ok := n.catalog.Get(job.Profile)
	switch {
	case !ok:
		return p, cornelwall.ReasonNoProfile, longRetryAfter
	case p.Team != job.Ticket.Team:
		return p, cornelwall.ReasonTicket, 0
	case n.stopping:
		return p, cornelwall.ReasonStopping, shortRetryAfter
	case p.Stale == cornelwall.Refuse && n.stale():
		return p, cornelwall.ReasonStale, longRetryAfter
	case n.jobs.Len() >= n.cfg.MaxJobs:
		return p, cornelwall.ReasonOverload, longRetryAfter
	case !n.fitsAnywhere(job.Tasks):
		return p, cornelwall.ReasonNeverFits, 0
	}
	if excess := n.queue.ProfileLen(p.Name) + len(job.Tasks) - p.Queue; excess > 0 {
		runTime := n.estimates.RunTime(p.Name, meanEstimate(job.Tasks))
		return p, cornelwall.ReasonQueueFull, clampDelay(admit.DrainTime(time.Duration(excess)*runTime, n.slots(cornelwall.Executor)))
	}
	left := time.Duration(job.TimeLeft)
	if left == 0 {
		left = time.Duration(p.Deadline)
	}
	wait, run := n.predict(job, &p)
	if overrun := discountedWait(n.calibration.Correct(wait)) + run - left; overrun > 0 && n.estimates.HasObservations() {
		return p, cornelwall.ReasonTooLate, clampDelay(overrun)
	}
	return p, cornelwall.ReasonNone, 0
}

// clampDelay bounds a retry delay to the range from shortRetryAfter to maxRetryAfter.
func clampDelay(d time.Duration) time.Duration { return min(maxRetryAfter, max(shortRetryAfter, d)) }

// predict returns how long the tasks of a job are expected to wait and, as the time that
// the last of them then runs, half of the longest run time that is expected of them.
func (n *Node) predict(job *cornelwall.Job, p *cornelwall.Profile) (wait, run time.Duration) {
	j := &owner.Job{Ticket: job.Ticket, Profile: job.Profile, Spec: job.Tasks, Accepted: n.now}
	return n.predictGroups(n.groups(j, p), p)
}

func (n *Node) predictGroups(groups []queue.Group, p *cornelwall.Profile) (wait, run time.Duration) {
	for _, g := range groups {
		wait = max(wait, n.predictWait(&g))
		if p.Concurrency > 0 {
			tasks := n.queue.ProfileLen(p.Name) + len(g.Tasks)
			wait = max(wait, admit.DrainTime(time.Duration(tasks)*g.RunTime, p.Concurrency))
		}
		run = max(run, g.RunTime/2)
	}
	return wait, run
}

// predictWait returns how long a group is expected to wait, from the work that is queued
// ahead of it and from its own team's part of that. Work that arrives later counts too.
// Most of it comes from other teams, so the team is expected to get its guaranteed share
// of the slots, or what arriving work leaves free if that is more.
func (n *Node) predictWait(g *queue.Group) time.Duration {
	slots := n.slots(g.Need.Kind())
	forecast := n.queue.Forecast(*g)
	teamSlots := max(float64(slots)*forecast.Share, float64(slots+n.freeSlotsElsewhere(g.Need.Kind()))-n.admittedLoad.Slots(n.now))
	return max(admit.DrainTime(forecast.Work, slots), admit.DrainTime(forecast.Team, int(teamSlots)))
}

// freeSlotsElsewhere returns how many slots the other entries last reported as free.
func (n *Node) freeSlotsElsewhere(kind cornelwall.Kind) int {
	free := 0
	if kind == cornelwall.Executor {
		for _, p := range n.members.Alive(n.now) {
			free += p.Capacity.Free
		}
	}
	return free
}

// endIfTooLate ends a job that cannot meet its deadline by what is known now, unless much
// of it is done already. The capacity goes to jobs that can still meet theirs.
func (n *Node) endIfTooLate(j *owner.Job) {
	if j.Ended() || float64(j.DoneTasks()) > sunkCostShare*float64(len(j.Tasks)) {
		return
	}
	p, _ := n.catalog.Latest(j.Profile)
	wait, run := n.predictGroups(n.queue.Groups(j.Ticket.Seq), &p)
	if n.now.Add(discountedWait(wait) + run).After(j.Deadline) {
		n.endJob(j, cornelwall.ReasonTooLate, clampDelay(wait))
	}
}

// calibrate compares the predicted wait of a job that ends now with the time that it has
// waited. For a job that missed its deadline, the wait is extrapolated from the tasks
// that are done.
func (n *Node) calibrate(j *owner.Job) {
	p := n.progress[j.Ticket.Seq]
	if p == nil {
		return
	}
	waited := n.now.Sub(j.Accepted) - p.predictedRun
	switch done := j.DoneTasks(); {
	case j.Answer.Outcome == cornelwall.Done:
		n.calibration.Observe(p.predictedWait, waited)
	case j.Answer.Reason == cornelwall.ReasonDeadline:
		n.calibration.Observe(p.predictedWait, waited*time.Duration(p.tasks)/time.Duration(max(1, done)))
	}
}

// slots returns how many tasks this entry can run at once on machines of a kind: the number
// of tasks running now on any machine or, if that is more, the slots of its own executors,
// or 1 for workers.
func (n *Node) slots(kind cornelwall.Kind) int {
	own := 1
	if kind == cornelwall.Executor {
		own = n.placer.Capacity().Slots
	}
	return max(own, len(n.attempts))
}

// groups returns the tasks of a job, grouped by need.
func (n *Node) groups(j *owner.Job, p *cornelwall.Profile) []queue.Group {
	var gs []queue.Group
	byNeed := map[cornelwall.Need]int{}
	for i := range j.Spec {
		need := j.Spec[i].Need
		k, ok := byNeed[need]
		if !ok {
			k = len(gs)
			byNeed[need] = k
			gs = append(gs, n.newGroup(j, p, need))
		}
		gs[k].Tasks = append(gs[k].Tasks, i)
	}
	return gs
}

// meanEstimate returns the mean of the run times that the caller estimates.
func meanEstimate(tasks []cornelwall.Task) time.Duration {
	var sum time.Duration
	for i := range tasks {
		sum += time.Duration(tasks[i].Estimate)
	}
	return sum / time.Duration(max(1, len(tasks)))
}

// tooLate reports whether a job of which no task has started counts as unable to meet its
// deadline: the time left is less than half of the expected run time of a task. Starting
// the job would only take capacity from other jobs.
func (n *Node) tooLate(j *owner.Job) bool {
	return !j.Started() && j.Deadline.Sub(n.now) < n.estimates.RunTime(j.Profile, 0)/2
}

// distinctCapacities returns the distinct capacities of the machines; the zero Need
// stands for executors.
func distinctCapacities(machines map[string]cornelwall.VM) map[cornelwall.Need]bool {
	set := map[cornelwall.Need]bool{}
	for _, vm := range machines {
		if vm.Kind == cornelwall.Executor {
			set[cornelwall.Need{}] = true
		} else {
			set[vm.Capacity] = true
		}
	}
	return set
}

// fitsAnywhere reports whether each task fits a machine of the VM list, free or not.
// Until the first list is read every task counts as fitting.
func (n *Node) fitsAnywhere(tasks []cornelwall.Task) bool {
	if len(n.capacities) == 0 {
		return true
	}
	checked := map[cornelwall.Need]bool{}
	for i := range tasks {
		need := tasks[i].Need
		if checked[need] {
			continue
		}
		if !n.fits(need) {
			return false
		}
		checked[need] = true
	}
	return true
}

func (n *Node) fits(need cornelwall.Need) bool {
	if need.Kind() == cornelwall.Executor {
		return n.capacities[cornelwall.Need{}]
	}
	for capacity := range n.capacities {
		if capacity != (cornelwall.Need{}) && need.Fits(capacity) {
			return true
		}
	}
	return false
}
