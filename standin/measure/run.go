package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cornelwall"
	"cornelwall/core/node"
	"cornelwall/standin/fake"
)

const (
	joining  = 3 * time.Second  // before the first arrival, for the entries to meet
	draining = 60 * time.Second // after the last arrival
	cutFrom  = 15 * time.Second
	cutUntil = 25 * time.Second
	cutTold  = 200 * time.Millisecond // until a sender learns of a loss
)

// Case is what happens in a run.
type Case struct {
	Name    string
	Load    float64 // of the healthy slots
	Bursts  bool
	Failing bool // one executor fails everything
	Dead    bool // one executor does not answer
	Slow    bool // one executor takes four times as long
	Cancels bool // a wave of cancellations
	Cut     bool // a data centre is cut off from the others
}

// faulty returns the number of executors that are not healthy.
func (c *Case) faulty() int {
	n := 0
	for _, bad := range []bool{c.Failing, c.Dead, c.Slow} {
		if bad {
			n++
		}
	}
	return n
}

// job is an arrival and what became of it.
type job struct {
	*Arrival
	ticket  cornelwall.Ticket
	started []bool
	ended   time.Duration // at the client, since the first arrival; 0 is not yet
	answer  cornelwall.Answer
	served  time.Duration // work done for it between the warm-up and the last arrival
}

// run is one run on its way.
type run struct {
	site      Site
	kase      Case
	world     *fake.World
	start     time.Time // of the arrivals
	hosts     []*fake.Host
	executors map[string]*executor
	jobs      []*job
	byTicket  map[cornelwall.Ticket]*job
	stock     map[stockKey][]cornelwall.Ticket
	began     map[startKey]time.Time

	starts, eaten, doubled int
	ledger                 *ledger
	refusals, retries      map[cornelwall.Reason]int
	cutOff                 bool
}

type stockKey struct {
	host    *fake.Host
	profile string
}

// Run makes one run and returns its figures.
func Run(site Site, c Case, policy Policy, seed uint64) Result {
	r := &run{
		site: site, kase: c,
		ledger:    newLedger(),
		world:     fake.NewWorld(time.Unix(1700000000, 0)),
		executors: map[string]*executor{},
		byTicket:  map[cornelwall.Ticket]*job{},
		stock:     map[stockKey][]cornelwall.Ticket{},
		began:     map[startKey]time.Time{},
		refusals:  map[cornelwall.Reason]int{},
		retries:   map[cornelwall.Reason]int{},
	}
	slots := (site.Executors - c.faulty()) * site.Slots
	as := arrivals(&site, &c, slots, seed)
	for i := range as {
		r.jobs = append(r.jobs, &job{Arrival: &as[i], started: make([]bool, len(as[i].Tasks))})
	}
	r.build(policy, seed)
	r.world.Advance(joining)
	r.draw()
	r.start = r.world.Now
	r.ledger.Traffic = Traffic{}
	r.schedule()
	r.world.Advance(arriving + draining)
	return r.result(as, slots, policy, seed)
}

// build makes the entries and the executors.
func (r *run) build(policy Policy, seed uint64) {
	w := r.world
	w.Begin, w.Replied, w.Link = r.begin, r.replied, r.link
	vms := append(r.site.entries(), r.site.executors()...)
	for i, vm := range r.site.executors() {
		r.executors[vm.Name] = &executor{vm: vm,
			failing: r.kase.Failing && i == 0, dead: r.kase.Dead && i == 1, slow: r.kase.Slow && i == 2}
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	for i, vm := range r.site.entries() {
		self := cornelwall.Incarnation{DataCentre: vm.DataCentre, Entry: vm.Name, Epoch: uint64(i + 1)}
		cfg := node.Config{Self: self, Addr: vm.Addr, Secret: []byte("0123456789abcdef")}
		policy.apply(&cfg, rng.Uint64())
		h := w.Add(node.New(cfg, w.Now), self, vm.Addr)
		r.hosts = append(r.hosts, h)
		// The first heartbeats of entries do not fall together.
		w.After(time.Duration(rng.Int64N(int64(time.Millisecond))), h, cornelwall.MachinesListed{VMs: vms})
		w.Post(h, cornelwall.WatchUpdate{Profiles: profiles(), All: true})
	}
}

// draw fetches the tickets of all jobs.
func (r *run) draw() {
	need := map[stockKey]int{}
	for _, j := range r.jobs {
		need[stockKey{r.hosts[j.Entry], j.Profile}]++
	}
	for _, h := range r.hosts {
		for i, p := range profiles() {
			if n := need[stockKey{h, p.Name}]; n > 0 {
				r.world.Post(h, cornelwall.DrawTickets{Req: uint64(i + 1), Profile: p.Name, N: n})
			}
		}
	}
	r.world.Advance(0)
}

// schedule plans the arrivals and faults.
func (r *run) schedule() {
	for i, j := range r.jobs {
		h := r.hosts[j.Entry]
		key := stockKey{h, j.Profile}
		j.ticket = r.stock[key][0]
		r.stock[key] = r.stock[key][1:]
		r.byTicket[j.ticket] = j
		spec := &cornelwall.Job{Ticket: j.ticket, Profile: j.Profile}
		for _, size := range j.Sizes {
			spec.Tasks = append(spec.Tasks, cornelwall.Task{Estimate: cornelwall.Duration(size)})
		}
		r.world.After(j.At+r.site.Client, h, cornelwall.Submit{Req: submitReq(i), Job: spec})
		if j.Cancel > 0 {
			r.world.After(j.Cancel+r.site.Client, h, cornelwall.Cancel{Req: cancelReq(i), Ticket: j.ticket})
		}
	}
	if r.kase.Cut {
		r.world.Do(cutFrom, func() { r.cutOff = true })
		r.world.Do(cutUntil, func() { r.cutOff = false })
	}
	end := arriving
	for _, h := range r.hosts {
		r.world.After(0, h, cornelwall.WatchUpdate{})
		for t := time.Second; t < end+draining; t += time.Second {
			r.world.After(t, h, cornelwall.WatchUpdate{})
		}
	}
}

const reqOffset = 1000 // above the requests that draw tickets

func submitReq(i int) uint64 { return uint64(reqOffset + 2*i) }
func cancelReq(i int) uint64 { return uint64(reqOffset + 2*i + 1) }

// replied takes what the cores tell their hosts.
func (r *run) replied(h *fake.Host, cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.ReplyTickets:
		name := fmt.Sprintf("profile-%d", cmd.Req-1)
		r.stock[stockKey{h, name}] = cmd.Tickets
	case cornelwall.Reply:
		if cmd.Req < reqOffset || (cmd.Req-reqOffset)%2 == 1 {
			return
		}
		j := r.jobs[(cmd.Req-reqOffset)/2]
		j.answer = cmd.Answer
		j.ended = r.world.Now.Sub(r.start) + r.site.Client
	case cornelwall.CountReason:
		if cmd.Retry {
			r.retries[cmd.Reason] += cmd.N
		} else {
			r.refusals[cmd.Reason] += cmd.N
		}
	}
}

// cut reports whether two data centres are cut off from each other.
func (r *run) cut(a, b string) bool {
	return r.cutOff && a != b && (a == r.site.Centres[0] || b == r.site.Centres[0])
}

// link delays the envelopes, or loses them while the data centre is cut off.
func (r *run) link(from, to cornelwall.Incarnation, e cornelwall.Envelope) fake.Fate {
	r.ledger.sent(&e)
	if r.cut(from.DataCentre, to.DataCentre) {
		return fake.Fate{Told: cutTold}
	}
	return fake.Fate{Delays: []time.Duration{r.site.delay(from.DataCentre, to.DataCentre)}}
}
