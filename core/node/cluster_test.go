package node_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/core/node"
	"cornelwall/standin/fake"
)

var secret = []byte("0123456789abcdef")

// cluster simulates the entries and executors of several data centres.
type cluster struct {
	*fake.World
	t         *testing.T
	vms       []cornelwall.VM
	hosts     map[string]*fake.Host // current incarnation of each entry
	epoch     uint64
	req       uint64
	answers   map[uint64]cornelwall.Answer
	tickets   map[uint64]cornelwall.Ticket
	starts    map[string]int // number of starts by ticket and task
	retries   map[cornelwall.Reason]int
	taskTime  time.Duration // run time of every task
	unlisted  map[string]bool
	exitDelay time.Duration // time from the end of a stop to the exit of the process
	stopped   map[*fake.Host]bool
}

func newCluster(t *testing.T, dataCentres, entries int) *cluster {
	c := &cluster{
		World: fake.NewWorld(time.Unix(1700000000, 0)), t: t, hosts: map[string]*fake.Host{},
		answers: map[uint64]cornelwall.Answer{}, tickets: map[uint64]cornelwall.Ticket{},
		starts: map[string]int{}, retries: map[cornelwall.Reason]int{}, taskTime: 50 * time.Millisecond,
		unlisted: map[string]bool{}, stopped: map[*fake.Host]bool{},
	}
	c.TaskResult = func(_ *fake.Host, r cornelwall.RunTask) (time.Duration, cornelwall.Result) {
		c.starts[fmt.Sprint(r.Start.Ticket, r.Start.Index)]++
		return c.taskTime, cornelwall.Result{Outcome: cornelwall.Done, Body: r.Start.Body}
	}
	c.OnOutput = c.handleOutput
	for d := range dataCentres {
		dc := fmt.Sprintf("dc%d", d)
		for i := range entries {
			c.vms = append(c.vms, cornelwall.VM{Name: fmt.Sprintf("%s-e%d", dc, i), Kind: cornelwall.Entry, DataCentre: dc,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(d), byte(i + 1)}), 7001)})
		}
		for i := range 2 {
			c.vms = append(c.vms, cornelwall.VM{Name: fmt.Sprintf("%s-x%d", dc, i), Kind: cornelwall.Executor, DataCentre: dc,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(d), byte(i + 1)}), 80), Slots: 8})
		}
	}
	for _, name := range c.names() {
		c.start(name)
	}
	c.Advance(2 * time.Second)
	return c
}

// names returns the entries in the order of the VM list.
func (c *cluster) names() []string {
	var names []string
	for _, vm := range c.vms {
		if vm.Kind == cornelwall.Entry {
			names = append(names, vm.Name)
		}
	}
	return names
}

// listed returns the VM list without the unlisted entries.
func (c *cluster) listed() []cornelwall.VM {
	var vms []cornelwall.VM
	for _, vm := range c.vms {
		if !c.unlisted[vm.Name] {
			vms = append(vms, vm)
		}
	}
	return vms
}

// start starts a new incarnation of an entry.
func (c *cluster) start(name string) *fake.Host {
	for _, vm := range c.vms {
		if vm.Name != name {
			continue
		}
		c.epoch++
		self := cornelwall.Incarnation{DataCentre: vm.DataCentre, Entry: name, Epoch: c.epoch}
		core := node.New(node.Config{Self: self, Addr: vm.Addr, Secret: secret}, c.Now)
		c.hosts[name] = c.AddHost(core, self, vm.Addr)
	}
	profile := cornelwall.Profile{Name: "holds", Team: "bookings", Version: 1}
	profile.Normalise()
	h := c.hosts[name]
	c.Post(h, cornelwall.MachinesListed{VMs: c.listed()})
	c.Post(h, cornelwall.WatchUpdate{Profiles: []cornelwall.Profile{profile}})
	return h
}

// postMachines sends the VM list to all entries.
func (c *cluster) postMachines() {
	for _, h := range c.hosts {
		c.Post(h, cornelwall.MachinesListed{VMs: c.listed()})
	}
}

// handleOutput records the answers and other output of the entries.
func (c *cluster) handleOutput(h *fake.Host, cmd cornelwall.Command) {
	switch cmd := cmd.(type) {
	case cornelwall.Reply:
		_, answered := c.answers[cmd.Req]
		assert.Assert(c.t, !answered, "request %d is answered twice", cmd.Req)
		c.answers[cmd.Req] = cmd.Answer
	case cornelwall.ReplyTickets:
		for _, tk := range cmd.Tickets {
			c.tickets[cmd.Req] = tk
		}
	case cornelwall.CountReason:
		if cmd.Retry {
			c.retries[cmd.Reason] += cmd.N
		}
	case cornelwall.Stopped:
		c.stopped[h] = true
		if h.Dead = c.exitDelay == 0; !h.Dead {
			c.CallAfter(c.exitDelay, func() { h.Dead = true })
		}
	}
}

// serving reports whether callers can reach the entry.
func (c *cluster) serving(name string) bool { return !c.hosts[name].Dead && !c.stopped[c.hosts[name]] }

// draw returns a ticket of an entry.
func (c *cluster) draw(name string) cornelwall.Ticket {
	c.req++
	c.Post(c.hosts[name], cornelwall.DrawTickets{Req: c.req, Profile: "holds", N: 1})
	c.Advance(0)
	tk, ok := c.tickets[c.req]
	assert.Assert(c.t, ok, "%s returns no ticket", name)
	return tk
}

// submit sends a job of several tasks to an entry and returns the request number.
func (c *cluster) submit(name string, tk cornelwall.Ticket, tasks int) uint64 {
	c.req++
	job := &cornelwall.Job{Ticket: tk, Profile: "holds"}
	for i := range tasks {
		job.Tasks = append(job.Tasks, cornelwall.Task{Body: fmt.Append(nil, i)})
	}
	c.Post(c.hosts[name], cornelwall.Submit{Req: c.req, Job: job})
	return c.req
}

// fetch asks an entry for the state of a job and returns the request number.
func (c *cluster) fetch(name string, tk cornelwall.Ticket) uint64 {
	c.req++
	c.Post(c.hosts[name], cornelwall.Fetch{Req: c.req, Ticket: tk})
	return c.req
}

// awaitAnswer advances the clock until the request is answered.
func (c *cluster) awaitAnswer(req uint64, within time.Duration) cornelwall.Answer {
	c.t.Helper()
	for end := c.Now.Add(within); c.Now.Before(end); c.Advance(10 * time.Millisecond) {
		if a, ok := c.answers[req]; ok {
			return a
		}
	}
	a, ok := c.answers[req]
	assert.Assert(c.t, ok, "request %d has no answer after %s", req, within)
	return a
}

// stop begins a planned stop of an entry and waits until it has ended.
func (c *cluster) stop(name string) {
	c.t.Helper()
	h := c.hosts[name]
	c.Post(h, cornelwall.Stop{})
	for range 3000 {
		if h.Dead {
			return
		}
		c.Advance(10 * time.Millisecond)
	}
	c.t.Fatalf("%s does not stop", name)
}
