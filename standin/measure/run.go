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
	joinPeriod      = 3 * time.Second  // before the first arrival, for the entries to find each other
	drainPeriod     = 60 * time.Second // after the last arrival
	partitionStart  = 15 * time.Second
	partitionEnd    = 25 * time.Second
	lossReportDelay = 200 * time.Millisecond // until a sender learns that an envelope was lost
)

// Case is the load and the faults of a run.
type Case struct {
	Name      string
	Load      float64 // share of the healthy slots
	Bursts    bool
	Failing   bool // one executor fails every task
	Dead      bool // one executor does not answer
	Slow      bool // one executor takes four times as long
	Cancels   bool // a wave of cancellations
	Partition bool // one data centre is cut off from the others for a while
}

// faultyExecutors returns the number of executors that are not healthy.
func (c *Case) faultyExecutors() int {
	n := 0
	for _, bad := range []bool{c.Failing, c.Dead, c.Slow} {
		if bad {
			n++
		}
	}
	return n
}

// job is an arrival with its outcome.
type job struct {
	*Arrival
	ticket       cornelwall.Ticket
	started      []bool
	endedAt      time.Duration // when the client got the answer, since run.start; 0 is not yet
	answer       cornelwall.Answer
	workInWindow time.Duration // run time of its tasks between the warm-up and the end of the arrivals
}

// run is the state of a run.
type run struct {
	site         Site
	runCase      Case
	world        *fake.World
	start        time.Time // of the arrival period
	hosts        []*fake.Host
	executors    map[string]*executor
	jobs         []*job
	jobsByTicket map[cornelwall.Ticket]*job
	tickets      map[ticketsKey][]cornelwall.Ticket
	startTimes   map[startKey]time.Time

	starts, ranOnFailing, startedTwice int
	loans                              *loanTracker
	refusals, retries                  map[cornelwall.Reason]int
	partitioned                        bool
}

// ticketsKey identifies a stock of tickets: each entry draws them for each profile.
type ticketsKey struct {
	host    *fake.Host
	profile string
}

// Run makes one run and returns its result.
func Run(site Site, c Case, policy Policy, seed uint64) Result {
	r := &run{
		site: site, runCase: c,
		loans:        newLoanTracker(),
		world:        fake.NewWorld(time.Unix(1700000000, 0)),
		executors:    map[string]*executor{},
		jobsByTicket: map[cornelwall.Ticket]*job{},
		tickets:      map[ticketsKey][]cornelwall.Ticket{},
		startTimes:   map[startKey]time.Time{},
		refusals:     map[cornelwall.Reason]int{},
		retries:      map[cornelwall.Reason]int{},
	}
	slots := (site.Executors - c.faultyExecutors()) * site.Slots
	as := arrivals(&site, &c, slots, seed)
	for i := range as {
		r.jobs = append(r.jobs, &job{Arrival: &as[i], started: make([]bool, len(as[i].TaskTimes))})
	}
	r.build(policy, seed)
	r.world.Advance(joinPeriod)
	r.drawTickets()
	r.start = r.world.Now
	r.loans.Traffic = Traffic{}
	r.schedule()
	r.world.Advance(arrivalPeriod + drainPeriod)
	return r.result(as, slots, policy, seed)
}

// build creates the entries and the executors.
func (r *run) build(policy Policy, seed uint64) {
	w := r.world
	w.StartTask, w.OnOutput, w.Link = r.startTask, r.onOutput, r.link
	vms := append(r.site.entries(), r.site.executors()...)
	for i, vm := range r.site.executors() {
		r.executors[vm.Name] = &executor{vm: vm,
			failing: r.runCase.Failing && i == 0, dead: r.runCase.Dead && i == 1, slow: r.runCase.Slow && i == 2}
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	for i, vm := range r.site.entries() {
		self := cornelwall.Incarnation{DataCentre: vm.DataCentre, Entry: vm.Name, Epoch: uint64(i + 1)}
		cfg := node.Config{Self: self, Addr: vm.Addr, Secret: []byte("0123456789abcdef")}
		policy.configure(&cfg, rng.Uint64())
		h := w.AddHost(node.New(cfg, w.Now), self, vm.Addr)
		r.hosts = append(r.hosts, h)
		// A random offset keeps the first heartbeats of the entries from coinciding.
		w.PostAfter(time.Duration(rng.Int64N(int64(time.Millisecond))), h, cornelwall.MachinesListed{VMs: vms})
		w.Post(h, cornelwall.WatchUpdate{Profiles: profiles(), All: true})
	}
}

// drawTickets draws the tickets of all jobs from the entries.
func (r *run) drawTickets() {
	counts := map[ticketsKey]int{}
	for _, j := range r.jobs {
		counts[ticketsKey{r.hosts[j.Entry], j.Profile}]++
	}
	for _, h := range r.hosts {
		for i, p := range profiles() {
			if n := counts[ticketsKey{h, p.Name}]; n > 0 {
				r.world.Post(h, cornelwall.DrawTickets{Req: uint64(i + 1), Profile: p.Name, N: n})
			}
		}
	}
	r.world.Advance(0)
}

// schedule schedules the arrivals, the cancellations and the partition.
func (r *run) schedule() {
	for i, j := range r.jobs {
		h := r.hosts[j.Entry]
		key := ticketsKey{h, j.Profile}
		j.ticket = r.tickets[key][0]
		r.tickets[key] = r.tickets[key][1:]
		r.jobsByTicket[j.ticket] = j
		spec := &cornelwall.Job{Ticket: j.ticket, Profile: j.Profile}
		for _, size := range j.Estimates {
			spec.Tasks = append(spec.Tasks, cornelwall.Task{Estimate: cornelwall.Duration(size)})
		}
		r.world.PostAfter(j.At+r.site.ClientDelay, h, cornelwall.Submit{Req: submitReq(i), Job: spec})
		if j.CancelAt > 0 {
			r.world.PostAfter(j.CancelAt+r.site.ClientDelay, h, cornelwall.Cancel{Req: cancelReq(i), Ticket: j.ticket})
		}
	}
	if r.runCase.Partition {
		r.world.CallAfter(partitionStart, func() { r.partitioned = true })
		r.world.CallAfter(partitionEnd, func() { r.partitioned = false })
	}
	end := arrivalPeriod
	for _, h := range r.hosts {
		// Empty updates report that the watch is alive, so that the profiles do not become stale.
		r.world.PostAfter(0, h, cornelwall.WatchUpdate{})
		for t := time.Second; t < end+drainPeriod; t += time.Second {
			r.world.PostAfter(t, h, cornelwall.WatchUpdate{})
		}
	}
}

const firstSubmitReq = 1000 // above the IDs of the requests that draw tickets

func submitReq(i int) uint64 { return uint64(firstSubmitReq + 2*i) }
func cancelReq(i int) uint64 { return uint64(firstSubmitReq + 2*i + 1) }

// onOutput records the tickets, answers and reason counts that a core reports.
func (r *run) onOutput(h *fake.Host, cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.ReplyTickets:
		name := fmt.Sprintf("profile-%d", cmd.Req-1)
		r.tickets[ticketsKey{h, name}] = cmd.Tickets
	case cornelwall.Reply:
		if cmd.Req < firstSubmitReq || (cmd.Req-firstSubmitReq)%2 == 1 {
			return
		}
		j := r.jobs[(cmd.Req-firstSubmitReq)/2]
		j.answer = cmd.Answer
		j.endedAt = r.world.Now.Sub(r.start) + r.site.ClientDelay
	case cornelwall.CountReason:
		if cmd.Retry {
			r.retries[cmd.Reason] += cmd.N
		} else {
			r.refusals[cmd.Reason] += cmd.N
		}
	}
}

// unreachable reports whether two data centres are currently cut off from each other.
func (r *run) unreachable(a, b string) bool {
	return r.partitioned && a != b && (a == r.site.Centres[0] || b == r.site.Centres[0])
}

// link delays an envelope, or loses it if the partition separates sender and receiver.
func (r *run) link(from, to cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
	r.loans.recordSent(&e)
	if r.unreachable(from.DataCentre, to.DataCentre) {
		return fake.Delivery{ReportAfter: lossReportDelay}
	}
	return fake.Delivery{Delays: []time.Duration{r.site.delay(from.DataCentre, to.DataCentre)}}
}
