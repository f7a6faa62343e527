package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/admit"
	"cornelwall/core/owner"
	"cornelwall/core/queue"
)

// maxBack bounds the time after which a refused caller may come back.
const maxRetryAfter = 30 * time.Second

const (
	// sunkCostShare is the share of a job that must be done for it not to be given up.
	sunkCostShare = 0.3
	// waitWeight is the share of a predicted wait that counts before a job is turned away,
	// as predictions are often too long.
	waitWeight = 0.8
)

// discount returns the part of a predicted wait that counts.
func discount(wait time.Duration) time.Duration {
	return time.Duration(waitWeight * float64(wait))
}

// admit decides whether a new job may wait here. The ticket's team must be the
// profile's. Back is the time after which to come back, for a refusal.
func (n *Node) admit(job *cornelwall.Job) (p cornelwall.Profile, reason cornelwall.Reason, back time.Duration) {
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
	if over := n.queue.ProfileLen(p.Name) + len(job.Tasks) - p.Queue; over > 0 {
		each := n.estimates.Task(p.Name, meanEstimate(job.Tasks))
		return p, cornelwall.ReasonQueueFull, clampDelay(admit.DrainTime(time.Duration(over)*each, n.slots(cornelwall.Executor)))
	}
	left := time.Duration(job.TimeLeft)
	if left == 0 {
		left = time.Duration(p.Deadline)
	}
	wait, run := n.predict(job, &p)
	if late := discount(n.calibration.Correct(wait)) + run - left; late > 0 && n.estimates.HasObservations() {
		return p, cornelwall.ReasonTooLate, clampDelay(late)
	}
	return p, cornelwall.ReasonNone, 0
}

// clampDelay bounds the time after which to come back.
func clampDelay(d time.Duration) time.Duration {
	return min(maxRetryAfter, max(shortRetryAfter, d))
}

// predict returns how long the tasks of a job wait, and how long the last one then
// runs, by what was observed.
func (n *Node) predict(job *cornelwall.Job, p *cornelwall.Profile) (wait, run time.Duration) {
	j := &owner.Job{Ticket: job.Ticket, Profile: job.Profile, Spec: job.Tasks, Accepted: n.now}
	return n.predictGroups(n.groups(j, p), p)
}

func (n *Node) predictGroups(lots []queue.Group, p *cornelwall.Profile) (wait, run time.Duration) {
	for _, l := range lots {
		wait = max(wait, n.predictWait(&l))
		if p.Concurrency > 0 {
			tasks := n.queue.ProfileLen(p.Name) + len(l.Tasks)
			wait = max(wait, admit.DrainTime(time.Duration(tasks)*l.RunTime, p.Concurrency))
		}
		run = max(run, l.RunTime/2)
	}
	return wait, run
}

// predictWait returns how long a lot waits. What waits now is not all: of the work that keeps
// coming, other teams bring most, so that the team has at least its share of the
// machines, and no more than others leave it.
func (n *Node) predictWait(l *queue.Group) time.Duration {
	slots := n.slots(l.Need.Kind())
	o := n.queue.Forecast(*l)
	own := max(float64(slots)*o.Share, float64(slots+n.freeSlotsElsewhere(l.Need.Kind()))-n.offeredLoad.Slots(n.now))
	return max(admit.DrainTime(o.Work, slots), admit.DrainTime(o.Team, int(own)))
}

// freeSlotsElsewhere returns how many slots other homes have free by their last word.
func (n *Node) freeSlotsElsewhere(kind cornelwall.Kind) int {
	free := 0
	if kind == cornelwall.Executor {
		for _, p := range n.members.Alive(n.now) {
			free += p.Capacity.Free
		}
	}
	return free
}

// endIfTooLate ends a job early of which so much more is known now that it cannot end in
// time, unless much of it is done. What it would have used goes to jobs that can.
func (n *Node) endIfTooLate(j *owner.Job) {
	if j.Ended() || float64(j.DoneTasks()) > sunkCostShare*float64(len(j.Tasks)) {
		return
	}
	p, _ := n.catalog.Latest(j.Profile)
	wait, run := n.predictGroups(n.queue.Groups(j.Ticket.Seq), &p)
	if n.now.Add(discount(wait) + run).After(j.Deadline) {
		n.endJob(j, cornelwall.ReasonTooLate, clampDelay(wait))
	}
}

// calibrate tells the calibration how long a job has waited that ends now.
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

// slots returns how many tasks this entry can run at once: as many as run now, or as
// its own machines take, if these are more.
func (n *Node) slots(kind cornelwall.Kind) int {
	own := 1
	if kind == cornelwall.Executor {
		own = n.placer.Capacity().Slots
	}
	return max(own, len(n.attempts))
}

// groups returns the tasks of a job by their needs.
func (n *Node) groups(j *owner.Job, p *cornelwall.Profile) []queue.Group {
	var ls []queue.Group
	byNeed := map[cornelwall.Need]int{}
	for i := range j.Spec {
		need := j.Spec[i].Need
		k, ok := byNeed[need]
		if !ok {
			k = len(ls)
			byNeed[need] = k
			ls = append(ls, n.newGroup(j, p, need))
		}
		ls[k].Tasks = append(ls[k].Tasks, i)
	}
	return ls
}

// meanEstimate returns the mean run time that the caller declares.
func meanEstimate(tasks []cornelwall.Task) time.Duration {
	var sum time.Duration
	for i := range tasks {
		sum += time.Duration(tasks[i].Estimate)
	}
	return sum / time.Duration(max(1, len(tasks)))
}

// tooLate reports whether a job of which nothing has started can no longer end in
// time, so that starting it would only take machines from others.
func (n *Node) tooLate(j *owner.Job) bool {
	return !j.Started() && j.Deadline.Sub(n.now) < n.estimates.Task(j.Profile, 0)/2
}

// distinctCapacities returns the different sizes of the machines.
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
// Before the first list any need might fit.
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
	for room := range n.capacities {
		if room != (cornelwall.Need{}) && need.Fits(room) {
			return true
		}
	}
	return false
}
