// Package fuzz drives several cores under a virtual clock through random events and
// faults, and checks every reply and every start against a simple oracle.
//
// # Usage
//
//	go test -race ./core/node/fuzz
//	go test ./core/node/fuzz -run TestEvents -rapid.seed 7 -rapid.checks 20000 -timeout 2h
package fuzz

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/node"
	"cornelwall/io/operator"
	"cornelwall/standin/fake"
)

const (
	vmListInterval = time.Second     // interval between reads of the VM list
	watchInterval  = 2 * time.Second // interval between reports that the watch is alive
	rpcTimeout     = time.Second     // time after which a sender learns of a lost envelope
	ticketTTL      = time.Minute
	claimTTL       = 2 * time.Minute
	peerTimeout    = 3 * time.Second
	stopGrace      = time.Minute     // time for a stopping entry to answer its pending requests
	leavingGrace   = 6 * time.Second // time from the first notice that a machine leaves to the last start there
	maxVMListLag   = 3 * time.Second
	maxStoreDelay  = 2 * time.Second
	// maxAnswerDelay is the time after its deadline within which a request is answered.
	// It covers a claim of seven store calls and an owner that turns out to be
	// unreachable.
	maxAnswerDelay = 7*maxStoreDelay + 3*peerTimeout + 2*rpcTimeout
)

// entry is an entry VM across its incarnations.
type entry struct {
	id          cornelwall.Incarnation // current incarnation
	addr        netip.AddrPort
	host        *fake.Host
	platformCut bool // the entry cannot reach the platform
	// stopped is set once a planned stop is complete; the load balancer sends no more requests.
	stopped bool
	// resumedAt is when the entry last resumed after a freeze or a cut from the platform.
	resumedAt time.Time
}

func (e *entry) up() bool { return !e.host.Dead && !e.host.Frozen && !e.stopped }

// backEnd is an executor or worker.
type backEnd struct {
	mode         mode
	unannounced  bool      // does not report that it is leaving
	leavingSince time.Time // when it began to leave; zero while it stays
}

type mode int

const (
	healthy mode = iota
	slow
	failing
	busy
	losesReplies // loses the reply to half of the starts, and half of these start no task
	down
	modeCount
)

// network holds the faults of the network between entries.
type network struct {
	loss, duplication float64
	delay             time.Duration
	cuts              map[[2]string]bool
}

func unorderedPair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// vmList is the VM list from a time on.
type vmList struct {
	since time.Time
	vms   []cornelwall.VM
}

// rig simulates entries, machines and a platform under faults.
type rig struct {
	*oracle
	w            *fake.World
	rng          *rand.Rand
	entries      []*entry
	machines     map[string]*backEnd
	vmLists      []vmList
	vmListLag    time.Duration
	network      network
	lastChangeID int // number of profile change IDs drawn
	mutation     mutation
}

// mutation is a deliberate fault that the oracle has to detect. It changes the events
// into a core or the commands out of it, sets up the rig, or changes how operators write.
// Nil functions change nothing.
type mutation struct {
	event       func(ev cornelwall.Event) cornelwall.Event
	commands    func(cmds []cornelwall.Command) []cornelwall.Command
	setup       func(r *rig)
	blindWrites bool // operators write without compare-and-swap
}

// mutatedCore is a core with a mutation. It also detects a core that asks for one tick
// after another without time passing.
type mutatedCore struct {
	cornelwall.Core
	mutation
	now   time.Time
	steps int
}

const maxStepsPerInstant = 20000 // steps of one core at one instant

func (c *mutatedCore) Step(now time.Time, ev cornelwall.Event) []cornelwall.Command {
	if c.steps++; !now.Equal(c.now) {
		c.now, c.steps = now, 0
	}
	if c.steps > maxStepsPerInstant {
		panic(fmt.Sprintf("core keeps asking for ticks at one instant; last event %T", ev))
	}
	if c.event != nil {
		ev = c.event(ev)
	}
	cmds := c.Core.Step(now, ev)
	if c.commands != nil {
		cmds = c.commands(cmds)
	}
	return cmds
}

var dataCentres = []string{"ikeja", "lekki"}

func newRig(seed uint64, m mutation) *rig {
	w := fake.NewWorld(time.Unix(1700000000, 0))
	r := &rig{
		w: w, mutation: m,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		machines: map[string]*backEnd{},
		network:  network{delay: 2 * time.Millisecond, cuts: map[[2]string]bool{}},
	}
	r.oracle = newOracle(r)
	w.Link, w.TaskResult, w.OnOutput = r.link, r.taskResult, r.handleOutput
	w.Store.Prefix, w.Store.Decode = operator.Prefix, operator.Decode
	w.Store.Unreachable = func(h *fake.Host) bool { return r.entryOf(h).platformCut }
	r.build()
	if m.setup != nil {
		m.setup(r)
	}
	for _, p := range profiles {
		r.recordChange(r.changer(r.entries[0]).Apply(background, p, operator.Preconditions{}))
	}
	r.every(watchInterval, func() { w.Store.ResyncWatchers(w) })
	w.Advance(2 * time.Second)
	return r
}

// build creates the machines and entries and starts the entries.
func (r *rig) build() {
	var vms []cornelwall.VM
	for d, dc := range dataCentres {
		for i := range 2 {
			e := &entry{
				id:   cornelwall.Incarnation{DataCentre: dc, Entry: fmt.Sprintf("%s-%d", dc, i)},
				addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(d), byte(i + 1)}), 7001),
			}
			r.entries = append(r.entries, e)
			vms = append(vms, cornelwall.VM{Name: e.id.Entry, Kind: cornelwall.Entry, DataCentre: dc, Addr: e.addr})
		}
		for i := range 3 {
			vm := cornelwall.VM{Name: fmt.Sprintf("%s-x%d", dc, i), Kind: cornelwall.Executor, DataCentre: dc, Slots: 2,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(d), byte(i + 1)}), 80)}
			if i == 2 {
				vm.Kind, vm.Capacity = cornelwall.Worker, cornelwall.Need{Cores: 4, Memory: 1024}
			}
			r.machines[vm.Name] = &backEnd{}
			vms = append(vms, vm)
		}
	}
	r.vmLists = []vmList{{r.w.Now, vms}}
	for i, e := range r.entries {
		r.startEntry(e)
		r.w.CallAfter(time.Duration(i)*vmListInterval/10, func() { r.every(vmListInterval, func() { r.postVMList(e) }) })
	}
}

// startEntry starts a new incarnation of an entry.
func (r *rig) startEntry(e *entry) {
	e.id.Epoch++
	e.stopped = false
	r.setListed(e, true)
	cfg := node.Config{Self: e.id, Addr: e.addr, Secret: []byte("0123456789abcdef"),
		TicketTTL: ticketTTL, ClaimTTL: claimTTL, PeerTimeout: peerTimeout}
	e.host = r.w.AddHost(&mutatedCore{Core: node.New(cfg, r.w.Now), mutation: r.mutation}, e.id, e.addr)
	r.postVMList(e)
}

// every runs f at once and then again after each interval d.
func (r *rig) every(d time.Duration, f func()) {
	f()
	r.w.CallAfter(d, func() { r.every(d, f) })
}

// postVMList sends an entry the VM list as it was vmListLag ago.
func (r *rig) postVMList(e *entry) {
	if e.platformCut || e.host.Dead {
		return
	}
	i := len(r.vmLists) - 1
	for i > 0 && r.vmLists[i].since.After(r.w.Now.Add(-r.vmListLag)) {
		i--
	}
	r.w.Post(e.host, cornelwall.MachinesListed{VMs: r.vmLists[i].vms})
}

// setState changes the state of a machine on the VM list.
func (r *rig) setState(name string, s cornelwall.VMState) {
	vms := slices.Clone(r.vmLists[len(r.vmLists)-1].vms)
	for i := range vms {
		if vms[i].Name == name {
			vms[i].State = s
		}
	}
	r.vmLists = append(r.vmLists, vmList{r.w.Now, vms})
}

// setListed adds an entry to the VM list or removes it.
func (r *rig) setListed(e *entry, on bool) {
	vms := slices.DeleteFunc(slices.Clone(r.vmLists[len(r.vmLists)-1].vms), func(vm cornelwall.VM) bool { return vm.Name == e.id.Entry })
	if on {
		vms = append(vms, cornelwall.VM{Name: e.id.Entry, Kind: cornelwall.Entry, DataCentre: e.id.DataCentre, Addr: e.addr})
	}
	r.vmLists = append(r.vmLists, vmList{r.w.Now, vms})
}

// endProcess ends the process of an entry, and in half of the cases its VM.
func (r *rig) endProcess(e *entry) {
	e.host.Dead = true
	if r.rng.IntN(2) == 0 {
		r.setListed(e, false)
	}
}

func (r *rig) entryOf(h *fake.Host) *entry {
	for _, e := range r.entries {
		if e.addr == h.Addr {
			return e
		}
	}
	panic("host has no entry")
}

// link returns how an envelope is delivered. Every loss is reported to the sender, as an
// envelope is a call with a timeout. An envelope may also be reported as lost although it
// arrives.
func (r *rig) link(from, to cornelwall.Incarnation, _ cornelwall.Envelope) fake.Delivery {
	lost := fake.Delivery{ReportAfter: rpcTimeout}
	if r.network.cuts[unorderedPair(from.Entry, to.Entry)] || r.network.cuts[unorderedPair(from.DataCentre, to.DataCentre)] || r.rng.Float64() < r.network.loss {
		return lost
	}
	delivery := fake.Delivery{Delays: []time.Duration{r.upTo(r.network.delay)}}
	if r.rng.Float64() < r.network.duplication {
		delivery.ReportAfter = rpcTimeout
	}
	if r.rng.Float64() < r.network.duplication {
		delivery.Delays = append(delivery.Delays, 10*r.upTo(r.network.delay))
	}
	for _, e := range r.entries {
		if e.id == to && e.host.Frozen {
			delivery.ReportAfter = rpcTimeout
		}
	}
	return delivery
}

// upTo returns a random duration of at most d.
func (r *rig) upTo(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d) + 1))
}

// taskResult returns when and how a start ends.
func (r *rig) taskResult(h *fake.Host, run cornelwall.RunTask) (time.Duration, cornelwall.Result) {
	m := r.machines[run.VM.Name]
	quick := r.upTo(5 * time.Millisecond)
	refused := func(reason cornelwall.Reason, draining bool) (time.Duration, cornelwall.Result) {
		return quick, cornelwall.Result{Outcome: cornelwall.NotRun, Reason: reason, Draining: draining}
	}
	r.checkStartSent(r.entryOf(h), m)
	switch {
	case m.mode == down:
		return refused(cornelwall.ReasonConnect, false)
	case !m.leavingSince.IsZero() && !m.unannounced:
		return refused(cornelwall.ReasonDraining, true)
	case m.mode == busy:
		return refused(cornelwall.ReasonBusy, false)
	case m.mode == losesReplies && r.rng.IntN(2) == 0:
		if r.rng.IntN(2) == 0 {
			r.recordStart(run.Start)
		}
		return r.upTo(2 * time.Second), cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonLost}
	}
	r.recordStart(run.Start)
	if m.mode == failing {
		return quick, cornelwall.Result{Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask}
	}
	took := r.upTo(300 * time.Millisecond)
	if m.mode == slow {
		took *= 20
	}
	return took, cornelwall.Result{Outcome: cornelwall.Done, Body: result(run.Start.Body)}
}

// result returns the result of a task with the body.
func result(body []byte) []byte { return append([]byte("result of "), body...) }

// changer returns an operator's client at an entry.
func (r *rig) changer(e *entry) *operator.Changer {
	return &operator.Changer{
		Store: &store{rig: r, blind: r.mutation.blindWrites},
		LatestKnown: func(_ context.Context, name string) (cornelwall.Profile, error) {
			return r.lastCatalog[e.host][name], nil
		},
		NewChangeID: func() string {
			r.lastChangeID++
			return fmt.Sprintf("change-%d", r.lastChangeID)
		},
	}
}
