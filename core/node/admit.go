package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/admit"
	"cornelwall/core/owner"
	"cornelwall/core/queue"
)

// maxBack bounds the time after which a refused caller may come back.
const maxBack = 30 * time.Second

// admit decides whether a new job may wait here. The ticket's team must be the
// profile's. Back is the time after which to come back, for a refusal.
func (n *Node) admit(job *cornelwall.Job) (p cornelwall.Profile, reason cornelwall.Reason, back time.Duration) {
	p, ok := n.catalog.Get(job.Profile)
	switch {
	case !ok:
		return p, cornelwall.ReasonNoProfile, backLater
	case p.Team != job.Ticket.Team:
		return p, cornelwall.ReasonTicket, 0
	case n.leaving:
		return p, cornelwall.ReasonStopping, backSoon
	case p.Stale == cornelwall.Refuse && n.stale():
		return p, cornelwall.ReasonStale, backLater
	case n.jobs.Len() >= n.cfg.MaxJobs:
		return p, cornelwall.ReasonOverload, backLater
	case !n.fitsAnywhere(job.Tasks):
		return p, cornelwall.ReasonNeverFits, 0
	}
	if over := n.queue.Profile(p.Name) + len(job.Tasks) - p.Queue; over > 0 {
		each := n.estimates.Task(p.Name, declared(job.Tasks))
		return p, cornelwall.ReasonQueueFull, comeBack(admit.Wait(time.Duration(over)*each, n.slots(cornelwall.Executor)))
	}
	left := time.Duration(job.Left)
	if left == 0 {
		left = time.Duration(p.Deadline)
	}
	wait, run := n.predict(job, &p)
	if late := n.calibration.Correct(wait) + run - left; late > 0 && n.estimates.Known() {
		return p, cornelwall.ReasonTooLate, comeBack(late)
	}
	return p, cornelwall.ReasonNone, 0
}

// comeBack bounds the time after which to come back.
func comeBack(d time.Duration) time.Duration { return min(maxBack, max(backSoon, d)) }

// predict returns how long the tasks of a job wait, and how long the last one then
// runs, by what was observed.
func (n *Node) predict(job *cornelwall.Job, p *cornelwall.Profile) (wait, run time.Duration) {
	j := &owner.Job{Ticket: job.Ticket, Profile: job.Profile, Spec: job.Tasks, Since: n.now}
	for _, l := range n.lots(j, p) {
		wait = max(wait, admit.Wait(n.queue.Ahead(l), n.slots(l.Need.Kind())))
		if p.Concurrency > 0 {
			tasks := n.queue.Profile(p.Name) + len(l.Tasks)
			wait = max(wait, admit.Wait(time.Duration(tasks)*l.Each, p.Concurrency))
		}
		run = max(run, l.Each/2)
	}
	return wait, run
}

// compare tells the calibration how long a job has waited that ends now.
func (n *Node) compare(j *owner.Job) {
	p := n.progress[j.Ticket.Seq]
	if p == nil {
		return
	}
	waited := n.now.Sub(j.Since) - p.run
	switch done := j.DoneTasks(); {
	case j.Answer.Outcome == cornelwall.Done:
		n.calibration.Observe(p.wait, waited)
	case j.Answer.Reason == cornelwall.ReasonDeadline:
		n.calibration.Observe(p.wait, waited*time.Duration(len(j.Tasks))/time.Duration(max(1, done)))
	}
}

// slots returns how many tasks this entry can run at once: as many as run now, or as
// its own machines take, if these are more.
func (n *Node) slots(kind cornelwall.Kind) int {
	own := 1
	if kind == cornelwall.Executor {
		own = n.placer.Room().Slots
	}
	return max(own, len(n.attempts))
}

// lots returns the tasks of a job by their needs.
func (n *Node) lots(j *owner.Job, p *cornelwall.Profile) []queue.Lot {
	var ls []queue.Lot
	byNeed := map[cornelwall.Need]int{}
	for i := range j.Spec {
		need := j.Spec[i].Need
		k, ok := byNeed[need]
		if !ok {
			k = len(ls)
			byNeed[need] = k
			ls = append(ls, n.lot(j, p, need))
		}
		ls[k].Tasks = append(ls[k].Tasks, i)
	}
	return ls
}

// declared returns the mean run time that the caller declares.
func declared(tasks []cornelwall.Task) time.Duration {
	var sum time.Duration
	for i := range tasks {
		sum += time.Duration(tasks[i].Size)
	}
	return sum / time.Duration(max(1, len(tasks)))
}

// tooLate reports whether a job of which nothing has started can no longer end in
// time, so that starting it would only take machines from others.
func (n *Node) tooLate(j *owner.Job) bool {
	return !j.Begun() && j.Deadline.Sub(n.now) < n.estimates.Task(j.Profile, 0)/2
}

// shapes returns the different sizes of the machines.
func shapes(machines map[string]cornelwall.VM) map[cornelwall.Need]bool {
	set := map[cornelwall.Need]bool{}
	for _, vm := range machines {
		if vm.Kind == cornelwall.Executor {
			set[cornelwall.Need{}] = true
		} else {
			set[vm.Room] = true
		}
	}
	return set
}

// fitsAnywhere reports whether each task fits a machine of the VM list, free or not.
// Before the first list any need might fit.
func (n *Node) fitsAnywhere(tasks []cornelwall.Task) bool {
	if len(n.shapes) == 0 {
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
		return n.shapes[cornelwall.Need{}]
	}
	for room := range n.shapes {
		if room != (cornelwall.Need{}) && need.Fits(room) {
			return true
		}
	}
	return false
}
