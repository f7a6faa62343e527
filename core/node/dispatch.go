package node

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
	"cornelwall/core/owner"
	"cornelwall/core/slot"
)

const (
	pauseBusy   = 50 * time.Millisecond  // of a machine that refused a task
	wantRefresh = 100 * time.Millisecond // between unchanged wants
	maxRetries  = 50                     // starts of one task that did not happen
)

// attempt is one start of one task.
type attempt struct {
	job     *owner.Job
	index   int
	held    slot.Held
	profile string
}

// sentWant is the last want that was sent for a need.
type sentWant struct {
	count int
	at    time.Time
}

// setMachines takes over the VM list.
func (n *Node) setMachines(vms []cornelwall.VM) {
	clear(n.machines)
	for _, vm := range vms {
		if vm.Kind != cornelwall.Entry {
			n.machines[vm.Name] = vm
		}
	}
	n.members.SetMachines(n.now, vms)
	n.rehome()
}

// rehome takes the machines whose home this entry is now.
func (n *Node) rehome() {
	homes := n.members.Homes(n.now, n.leaving)
	if len(homes) == 0 {
		homes = append(homes, n.cfg.Self) // nobody else can lend these machines
	}
	var mine []cornelwall.VM
	for _, vm := range n.machines {
		if vm.DataCentre == n.cfg.Self.DataCentre && member.Home(vm.Name, homes) == n.cfg.Self {
			mine = append(mine, vm)
		}
	}
	n.home.SetMachines(mine)
}

// dispatch starts waiting tasks on loans, asks for more and returns what is left over.
func (n *Node) dispatch() {
	n.useLoans()
	n.wantHere()
	n.lend()
	n.useLoans()
	n.wantThere()
	n.returnLoans()
}

// useLoans starts tasks while there are loans for them.
func (n *Node) useLoans() {
	for _, need := range n.waitingNeeds() {
		for n.queue.Waiting(need) > 0 {
			held, ok := n.pool.Take(need)
			if !ok {
				break
			}
			n.begin(need, held)
		}
	}
}

// waitingNeeds returns the needs of the waiting tasks in a stable order.
func (n *Node) waitingNeeds() []cornelwall.Need {
	var needs []cornelwall.Need
	n.queue.Needs(func(need cornelwall.Need, _ int) { needs = append(needs, need) })
	slices.SortFunc(needs, func(a, b cornelwall.Need) int {
		return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.Accelerators, b.Accelerators))
	})
	return needs
}

// begin starts the next waiting task of the need on the loan.
func (n *Node) begin(need cornelwall.Need, held slot.Held) {
	vm, ok := n.machines[held.Machine]
	if !ok || vm.State != cornelwall.Live {
		n.giveBack(held, 1, cornelwall.Return{})
		return
	}
	it, _ := n.queue.Pop(need)
	j := n.jobs.Get(it.Job)
	if j == nil || !j.Begin(it.Task) {
		n.pool.Put(held, 1)
		return
	}
	id := n.id()
	n.attempts[id] = &attempt{job: j, index: it.Task, held: held, profile: j.Profile}
	n.emit(cornelwall.Run{VM: vm, Start: cornelwall.Start{
		Attempt: id, Ticket: j.Ticket, Index: it.Task,
		Body: j.Spec[it.Task].Body, Need: need, Left: j.Deadline.Sub(n.now),
	}})
}

// ended takes the result of a start.
func (n *Node) ended(ev cornelwall.Ended) {
	a := n.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(n.attempts, ev.Attempt)
	r := ev.Result
	if r.Draining {
		n.drain(a.held.Machine)
	}
	if r.Outcome == cornelwall.NotRun {
		n.retry(a, r)
		return
	}
	n.pool.Put(a.held, 1)
	if r.Outcome != cornelwall.Done {
		n.count(r.Reason, false)
	}
	if a.job.End(a.index, r) {
		n.settle(a.job)
	}
}

// drain stops new tasks on a machine until the VM list says otherwise.
func (n *Node) drain(machine string) {
	if vm, ok := n.machines[machine]; ok {
		vm.State = cornelwall.Leaving
		n.machines[machine] = vm
		n.rehome()
	}
}

// retry queues a task again whose start provably did not happen.
func (n *Node) retry(a *attempt, r cornelwall.Result) {
	n.count(r.Reason, true)
	if a.held.Home == n.cfg.Self {
		n.home.Pause(a.held.Machine, n.now.Add(pauseBusy))
	}
	n.giveBack(a.held, 1, cornelwall.Return{Fail: 1, Draining: r.Draining})
	if a.job.Unstart(a.index) {
		n.jobs.Settle(a.job)
	}
	if a.job.Ended() {
		return
	}
	if a.job.Tasks[a.index].Retries > maxRetries {
		n.finish(a.job, cornelwall.ReasonRetries, backLater)
		return
	}
	p, _ := n.catalog.Last(a.job.Profile)
	n.queue.PushFront(n.item(a.job, a.index, &p))
}

// abandon asks workers to stop the running tasks of a job that has ended.
func (n *Node) abandon(j *owner.Job) {
	if j.Running() == 0 {
		return
	}
	var ids []uint64
	for id, a := range n.attempts {
		if a.job == j && a.held.Need.Kind() == cornelwall.Worker {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		n.emit(cornelwall.Abandon{Attempt: id})
	}
}

// wantHere tells this entry's own home what waits here.
func (n *Node) wantHere() {
	for _, need := range n.waitingNeeds() {
		w := n.wantOf(need)
		n.home.Want(n.now, n.cfg.Self, &w)
	}
}

func (n *Node) wantOf(need cornelwall.Need) cornelwall.Want {
	class, since, ok := n.queue.Head(need)
	w := cornelwall.Want{Need: need, Count: n.queue.Waiting(need), Class: class}
	if ok {
		w.Age = cornelwall.Duration(n.now.Sub(since))
	}
	return w
}

// lend hands out loans of this home.
func (n *Node) lend() {
	for _, g := range n.home.Grant(n.now) {
		if g.To == n.cfg.Self {
			n.pool.Put(slot.Held{Home: n.cfg.Self, Machine: g.Loan.Machine, Need: g.Loan.Need}, g.Loan.Count)
			continue
		}
		loan := g.Loan
		n.send(g.To, cornelwall.Message{Loan: &loan})
	}
}

// wantThere tells the other homes what is left waiting, and when nothing is.
func (n *Node) wantThere() {
	for need, sent := range n.lastWant {
		if sent.count > 0 && n.queue.Waiting(need) == 0 {
			n.sendWant(cornelwall.Want{Need: need})
			delete(n.lastWant, need)
		}
	}
	for _, need := range n.waitingNeeds() {
		w := n.wantOf(need)
		sent := n.lastWant[need]
		if 2*sent.count < w.Count || n.now.Sub(sent.at) >= wantRefresh {
			n.lastWant[need] = sentWant{count: w.Count, at: n.now}
			n.sendWant(w)
		}
	}
}

func (n *Node) sendWant(w cornelwall.Want) {
	for _, p := range n.members.Alive(n.now) {
		n.send(p.Incarnation, cornelwall.Message{Want: &w})
	}
}

// borrowed takes a loan from another home.
func (n *Node) borrowed(from cornelwall.Incarnation, l *cornelwall.Loan) {
	n.pool.Put(slot.Held{Home: from, Machine: l.Machine, Need: l.Need}, l.Count)
}

// returnLoans gives back all loans that no waiting task can use.
func (n *Node) returnLoans() {
	n.pool.Drain(func(h slot.Held, count int) { n.giveBack(h, count, cornelwall.Return{}) })
}

// giveBack returns loans to their home. The report tells how tasks there ended.
func (n *Node) giveBack(h slot.Held, count int, report cornelwall.Return) {
	report.Machine, report.Need, report.Count = h.Machine, h.Need, count
	if h.Home == n.cfg.Self {
		n.home.Return(n.cfg.Self, &report)
		return
	}
	n.send(h.Home, cornelwall.Message{Return: &report})
}

// returned takes loans back from a borrower.
func (n *Node) returned(from cornelwall.Incarnation, r *cornelwall.Return) {
	n.home.Return(from, r)
	if r.Draining {
		n.drain(r.Machine)
	}
	if r.Fail > 0 {
		n.home.Pause(r.Machine, n.now.Add(pauseBusy))
	}
}
