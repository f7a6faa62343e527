package fuzz

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cornelwall"
	"cornelwall/io/operator"
	_ "cornelwall/standin/seeded"
)

// init sets the default number of histories; the command line can override it.
func init() {
	if err := flag.Set("rapid.checks", "150"); err != nil {
		panic(err)
	}
}

var profiles = []cornelwall.Profile{
	{Name: "holds", Team: "bookings", Class: cornelwall.Urgent, Queue: 30},
	{Name: "prices", Team: "orders", Class: cornelwall.Normal, Stale: cornelwall.Refuse},
}

// driver draws random actions and applies them to a rig.
type driver struct {
	*rig
	t   *rapid.T
	ops []*operation
}

// TestEvents runs histories of all events and faults. The oracle must find no violation.
func TestEvents(t *testing.T) {
	total := map[cornelwall.Outcome]int{}
	accepts := 0
	rapid.Check(t, func(rt *rapid.T) {
		d := runHistory(rt, mutation{}, allActions)
		if d.failure != "" {
			rt.Fatal(d.failure)
		}
		for o, n := range d.replies {
			total[o] += n
		}
		accepts += d.acceptedChanges
	})
	t.Logf("replies %v, profile changes accepted %d", total, accepts)
}

// TestPlannedStops restarts entries by planned stops under load. There are no other
// faults, so no answer may be unknown and no request cut off.
func TestPlannedStops(t *testing.T) {
	stops, total := 0, map[cornelwall.Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		d := runHistory(rt, mutation{}, plannedStops)
		if d.failure != "" {
			rt.Fatal(d.failure)
		}
		stops += d.stops
		for o, n := range d.replies {
			total[o] += n
		}
	})
	t.Logf("planned stops %d, replies %v", stops, total)
}

// runHistory runs one random history, then heals all faults and checks the final state.
func runHistory(t *rapid.T, m mutation, actions []action) *driver {
	d := &driver{rig: newRig(rapid.Uint64().Draw(t, "seed"), m), t: t}
	d.noFaults = &actions[0] == &plannedStops[0]
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		a := actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]
		a.do(d)
		d.advance(rapid.IntRange(0, 600).Draw(t, "ms"))
		if d.failure != "" {
			return d
		}
	}
	d.settle()
	return d
}

// advance advances the clock and reads the profiles of every entry.
func (d *driver) advance(ms int) {
	d.w.Advance(time.Duration(ms) * time.Millisecond)
	for _, e := range d.entries {
		if e.up() {
			d.w.Post(e.host, cornelwall.FetchProfiles{})
		}
	}
	d.w.Advance(0)
	d.checkOverdue()
}

// settle heals all faults, waits, asks every entry about every ticket and checks that the
// profiles have converged.
func (d *driver) settle() {
	d.heal()
	d.network = network{delay: time.Millisecond, cuts: map[[2]string]bool{}}
	d.w.Store.Down, d.w.Store.Delay, d.vmListLag = false, time.Millisecond, 0
	for _, m := range d.machines {
		m.mode = healthy
	}
	for _, e := range d.entries {
		d.resume(e)
	}
	for range 100 {
		for _, e := range d.entries {
			d.restart(e)
		}
		d.advance(400)
	}
	for _, op := range d.ops {
		for _, e := range d.entries {
			if !op.ticket.IsZero() {
				d.send(e, &request{kind: fetch, op: op, ticket: op.ticket})
			}
		}
	}
	for range 60 {
		d.advance(400)
	}
	d.checkConverged()
}

// action is one kind of event. It is drawn with a probability proportional to how often
// it is listed.
type action struct {
	name string
	do   func(d *driver)
}

var traffic = []action{
	{"draw", (*driver).drawTickets}, {"submit", (*driver).submitTicket}, {"submit", (*driver).submitTicket},
	{"submit key", (*driver).submitKey}, {"submit bare", (*driver).submitBare},
	{"resubmit", (*driver).resubmit}, {"resubmit", (*driver).resubmit}, {"fetch", (*driver).fetch},
}

var plannedStops = slices.Concat(traffic, []action{{"stop", (*driver).stop}, {"restart", (*driver).restartOne}})

var allActions = slices.Concat(traffic, plannedStops, []action{
	{"cancel wave", (*driver).cancelWave}, {"gone", (*driver).dropCallers},
	{"kill", (*driver).kill}, {"restart", (*driver).restartOne}, {"freeze", (*driver).freeze}, {"thaw", (*driver).resumeOne},
	{"cut", (*driver).cutPair}, {"cut data centres", (*driver).cutDataCentres}, {"cut platform", (*driver).cutPlatform},
	{"heal", (*driver).heal}, {"lossy", (*driver).setNetworkFaults}, {"store", (*driver).storeFault}, {"lag", (*driver).lagVMList},
	{"machine", (*driver).changeMode}, {"machine", (*driver).changeMode}, {"leave", (*driver).toggleLeaving},
	{"operator", (*driver).applyChange}, {"operators race", (*driver).raceChanges}, {"retire", (*driver).retire},
	{"store restored", (*driver).restoreStore}, {"long wait", func(d *driver) { d.advance(8000) }},
})

func (d *driver) entry() *entry {
	return d.entries[rapid.IntRange(0, len(d.entries)-1).Draw(d.t, "entry")]
}

// drawTickets draws tickets at an entry.
func (d *driver) drawTickets() {
	e, p := d.entry(), rapid.SampledFrom(profiles).Draw(d.t, "profile")
	if e.up() {
		d.nextReq++
		d.drawsByRequest[d.nextReq] = p.Name
		d.w.Post(e.host, cornelwall.DrawTickets{Req: d.nextReq, Profile: p.Name, N: 4})
	}
}

func (d *driver) operation(profile string) *operation {
	op := &operation{id: len(d.ops), createdAt: d.w.Now, profile: profile, tasks: rapid.IntRange(1, 6).Draw(d.t, "tasks"), deadline: 20 * time.Second}
	if !d.noFaults {
		op.deadline = time.Duration(rapid.SampledFrom([]int{100, 700, 2000, 4000, 8000}).Draw(d.t, "deadline")) * time.Millisecond
	}
	if rapid.IntRange(0, 3).Draw(d.t, "worker") == 0 {
		op.need = cornelwall.Need{Cores: 1}
	}
	d.ops = append(d.ops, op)
	return op
}

func (d *driver) submitTicket() {
	if len(d.unusedTickets) == 0 {
		d.drawTickets()
		d.w.Advance(0)
	}
	if len(d.unusedTickets) == 0 {
		return
	}
	t := d.unusedTickets[0]
	d.unusedTickets = d.unusedTickets[1:]
	op := d.operation(t.profile)
	op.ticket = t.ticket
	d.submit(op, false)
}

func (d *driver) submitKey() {
	op := d.operation(rapid.SampledFrom(profiles).Draw(d.t, "profile").Name)
	op.key = fmt.Sprintf("key-%d", op.id)
	d.submit(op, false)
}

// submitBare submits a job with neither a ticket nor a key.
func (d *driver) submitBare() {
	d.submit(d.operation(rapid.SampledFrom(profiles).Draw(d.t, "profile").Name), false)
}

// submit submits an operation to one entry, or to two at once.
func (d *driver) submit(op *operation, changed bool) {
	n := 1
	if op.key != "" || !op.ticket.IsZero() {
		n = rapid.IntRange(1, 2).Draw(d.t, "entries")
	}
	for range n {
		e := d.entry()
		q := &request{kind: submit, op: op, changed: changed, ticket: op.ticket}
		if op.key != "" {
			q.ticket = cornelwall.Ticket{}
		}
		d.send(e, q)
	}
}

// send sends a request to an entry that is up.
func (d *driver) send(e *entry, q *request) {
	if !e.up() {
		return
	}
	req := d.addRequest(e.host, q)
	var ev cornelwall.Event
	switch q.kind {
	case submit:
		ev = cornelwall.Submit{Req: req, Job: d.job(q), Key: q.op.key}
	case fetch, wait:
		ev = cornelwall.Fetch{Req: req, Ticket: q.ticket, Wait: q.kind == wait}
	case cancel:
		ev = cornelwall.Cancel{Req: req, Ticket: q.ticket}
	}
	d.w.Post(e.host, ev)
}

func (d *driver) job(q *request) *cornelwall.Job {
	job := &cornelwall.Job{Profile: q.op.profile, Ticket: q.ticket, TimeLeft: cornelwall.Duration(q.op.deadline)}
	for i := range q.op.tasks {
		job.Tasks = append(job.Tasks, cornelwall.Task{Body: []byte(q.op.body(i, q.changed)), Need: q.op.need})
	}
	return job
}

// anyResubmittable returns an operation that callers can still ask about, or nil.
func (d *driver) anyResubmittable() *operation {
	if len(d.ops) == 0 {
		return nil
	}
	op := d.ops[rapid.IntRange(0, len(d.ops)-1).Draw(d.t, "operation")]
	if op.ticket.IsZero() && op.key == "" || op.key != "" && d.w.Now.Sub(op.createdAt) > claimTTL-ticketTTL {
		return nil // callers stop repeating a key after that time
	}
	return op
}

// resubmit submits an operation again, sometimes with different content. An operation
// that was answered as not run may be submitted under a new ticket, as a caller would.
func (d *driver) resubmit() {
	op := d.anyResubmittable()
	if op == nil {
		return
	}
	a := d.outcome[op.ticket]
	if a.Outcome == cornelwall.NotRun && !op.resubmitted && len(d.unusedTickets) > 0 && rapid.Bool().Draw(d.t, "new ticket") {
		if i := slices.IndexFunc(d.unusedTickets, func(t drawnTicket) bool { return t.profile == op.profile }); i >= 0 {
			again := *op
			again.key, again.ticket, again.contentChanged = "", d.unusedTickets[i].ticket, false
			op.resubmitted = true
			d.unusedTickets = slices.Delete(d.unusedTickets, i, i+1)
			d.ops = append(d.ops, &again)
			if !op.contentChanged {
				d.submit(&again, false)
			}
			return
		}
	}
	changed := rapid.IntRange(0, 5).Draw(d.t, "changed") == 0
	op.contentChanged = op.contentChanged || changed
	d.submit(op, changed)
}

func (d *driver) fetch() {
	if op := d.anyResubmittable(); op != nil && !op.ticket.IsZero() {
		k := rapid.SampledFrom([]kind{fetch, wait}).Draw(d.t, "kind")
		d.sendKind(op, k)
	}
}

func (d *driver) sendKind(op *operation, k kind) {
	d.send(d.entry(), &request{kind: k, op: op, ticket: op.ticket})
}

// cancelWave cancels about half of the operations that have a ticket.
func (d *driver) cancelWave() {
	for _, op := range d.ops {
		if !op.ticket.IsZero() && rapid.Bool().Draw(d.t, "cancel") {
			d.sendKind(op, cancel)
		}
	}
}

// dropCallers disconnects the callers that wait at an entry.
func (d *driver) dropCallers() {
	e := d.entry()
	if !e.up() {
		return
	}
	for _, req := range slices.Sorted(maps.Keys(d.pending[e.host])) {
		d.finished[e.host][req] = false
		d.w.Post(e.host, cornelwall.CallerGone{Req: req})
	}
	d.w.Advance(0)
	clear(d.pending[e.host])
}

func (d *driver) kill() {
	e := d.entry()
	if !e.host.Dead {
		d.endProcess(e)
		clear(d.pending[e.host])
	}
}

func (d *driver) restartOne() { d.restart(d.entry()) }

// restart starts a new incarnation of an entry that is dead.
func (d *driver) restart(e *entry) {
	if e.host.Dead {
		d.startEntry(e)
	}
}

func (d *driver) stop() {
	e := d.entry()
	up := 0
	for _, o := range d.entries {
		if o.up() {
			up++
		}
	}
	if e.up() && up > 2 {
		d.w.Post(e.host, cornelwall.Stop{})
	}
}

func (d *driver) freeze() { d.w.Freeze(d.entry().host) }

func (d *driver) resumeOne() { d.resume(d.entry()) }

func (d *driver) resume(e *entry) {
	if e.host.Frozen {
		e.resumedAt = d.w.Now
		d.w.Thaw(e.host)
	}
}

func (d *driver) cutPair() {
	d.network.cuts[unorderedPair(d.entry().id.Entry, d.entry().id.Entry)] = true
}

func (d *driver) cutDataCentres() {
	d.network.cuts[unorderedPair(dataCentres[0], dataCentres[1])] = true
}

func (d *driver) cutPlatform() { d.entry().platformCut = true }

func (d *driver) heal() {
	clear(d.network.cuts)
	for _, e := range d.entries {
		if e.platformCut {
			e.platformCut, e.resumedAt = false, d.w.Now
		}
	}
}

func (d *driver) setNetworkFaults() {
	d.network.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(d.t, "loss")
	d.network.duplication = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(d.t, "double")
	d.network.delay = time.Duration(rapid.SampledFrom([]int{1, 20, 300}).Draw(d.t, "delay")) * time.Millisecond
}

func (d *driver) storeFault() {
	s := d.w.Store
	s.Down = rapid.Bool().Draw(d.t, "down")
	s.LoseAnswers = rapid.IntRange(0, 3).Draw(d.t, "lose")
	s.Delay = time.Duration(rapid.IntRange(0, int(maxStoreDelay/time.Millisecond)).Draw(d.t, "delay")) * time.Millisecond
}

func (d *driver) lagVMList() {
	d.vmListLag = time.Duration(rapid.IntRange(0, int(maxVMListLag/time.Millisecond)).Draw(d.t, "lag")) * time.Millisecond
}

func (d *driver) machineName() string {
	names := make([]string, 0, len(d.machines))
	for name := range d.machines {
		names = append(names, name)
	}
	slices.Sort(names)
	return rapid.SampledFrom(names).Draw(d.t, "machine")
}

func (d *driver) changeMode() {
	d.machines[d.machineName()].mode = mode(rapid.IntRange(0, int(modeCount)-1).Draw(d.t, "mode"))
}

// toggleLeaving makes a machine leave or return.
func (d *driver) toggleLeaving() {
	name := d.machineName()
	m := d.machines[name]
	if m.leavingSince.IsZero() {
		m.leavingSince, m.unannounced = d.w.Now, rapid.Bool().Draw(d.t, "silent")
		d.setState(name, cornelwall.Leaving)
		return
	}
	m.leavingSince = time.Time{}
	d.setState(name, cornelwall.Live)
}

// changedProfile returns the profile with a new queue limit.
func (d *driver) changedProfile(name string) cornelwall.Profile {
	i := slices.IndexFunc(profiles, func(p cornelwall.Profile) bool { return p.Name == name })
	p := profiles[i]
	p.Queue = rapid.IntRange(5, 100).Draw(d.t, "queue")
	return p
}

// applyChange changes a profile, with faults of the store.
func (d *driver) applyChange() {
	name := rapid.SampledFrom(profiles).Draw(d.t, "profile").Name
	c := d.changer(d.entry())
	s := c.Store.(*store)
	s.lostReplies, s.lostWrites = rapid.IntRange(0, 1).Draw(d.t, "lose"), rapid.IntRange(0, 1).Draw(d.t, "vanish")
	d.recordChange(c.Apply(background, d.changedProfile(name), operator.Preconditions{}))
}

// raceChanges lets an operator change a profile between the read and the write of another
// operator.
func (d *driver) raceChanges() {
	name := rapid.SampledFrom(profiles).Draw(d.t, "profile").Name
	first, second := d.changedProfile(name), d.changedProfile(name)
	a, b := d.entry(), d.entry()
	c := d.changer(a)
	s := c.Store.(*store)
	s.lostReplies = rapid.IntRange(0, 1).Draw(d.t, "lose")
	s.beforeWrite = func() { d.recordChange(d.changer(b).Apply(background, second, operator.Preconditions{})) }
	d.recordChange(c.Apply(background, first, operator.Preconditions{}))
}

// retire creates and retires a trial profile. The name may have been retired before.
func (d *driver) retire() {
	c := d.changer(d.entry())
	p := cornelwall.Profile{Name: fmt.Sprintf("trial-%d", rapid.IntRange(0, 2).Draw(d.t, "name")), Team: "bookings"}
	d.recordChange(c.Apply(background, p, operator.Preconditions{}))
	if rapid.Bool().Draw(d.t, "retire") {
		d.recordChange(c.Retire(background, p.Name, operator.Preconditions{}))
	}
}

// restoreStore restores the store to an older state in some of the cases.
func (d *driver) restoreStore() {
	if rapid.IntRange(0, 4).Draw(d.t, "restore") > 0 {
		return
	}
	old := d.w.Store.Snapshot()
	d.applyChange()
	d.advance(1000)
	d.storeRestored = true
	d.w.Store.Restore(old)
}
