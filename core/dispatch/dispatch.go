// Package dispatch decides for one entry which tasks run on endpoints that are leased.
//
// Each endpoint has one holder, an entry that alone looks, starts and stops there, under
// a fence that rises with each change of holder. The entry that took a batch from its
// caller owns it: it assigns the tasks to holders, counts their failures and answers.
// An entry is owner and holder at once.
//
// # Second runs
//
// A task runs again only once its last run is surely over. The holder knows that from
// the endpoint's lists, or from the end of the lease on the endpoint's own clock. The
// owner knows it from the holder, from the next holder of the endpoint (see
// cornelwall.Taken), or because it has heard nothing of the holder for ownerPatience: by
// then the holder has missed proof that the owner hears it and has stopped the run, or
// its lease has ended.
//
// # Usage
//
//	core := dispatch.New(dispatch.Config{Self: self, Addr: addr, Limits: limits}, now)
//	commands := core.Step(now, event)
//
// The files of the owner: jobs.go takes batches, assign.go chooses holders, tasks.go takes
// word of runs, giveup.go answers, and ending.go waits for what was withdrawn. Those of the
// holder: waiting.go is its queue, lease.go its hold on an endpoint, look.go compares what
// runs there, cause.go names what an end is concluded from, yield.go ends the hold and
// orders.go starts and stops. Endpoints: endpoints.go is what is known of them, lists.go reads
// the platform's list or hears of it, rendezvous.go ranks the entries, holders.go decides who
// holds which and hands them on, claims.go takes those that this entry should hold and
// health.go tells which are fit. Between entries: peers.go knows who is alive, links.go which
// of them exchange heartbeats, pulses.go sends and takes these, sessions.go stops what an owner
// has not proved to know and messages.go passes on what comes.
package dispatch

import (
	"net/netip"
	"time"

	"cornelwall"
)

// Limits are what the platform promises of its endpoints.
type Limits struct {
	MaxLease time.Duration // a longer lease is cut to it
	StopTime time.Duration // within which a stop or the end of a lease takes effect
	Grace    time.Duration // of a planned stop
}

// Config is the settings of a core.
type Config struct {
	Self   cornelwall.Incarnation
	Addr   netip.AddrPort   // of this entry, for others
	Seeds  []netip.AddrPort // other entries to ask while the platform does not answer
	Weight int              // how much this entry can carry, to compare with others; 0 is 1
	Links  int              // peers up to which all exchange pulses all the time; 0 is 8, negative none
	Limits Limits
}

const (
	tickEvery = 20 * time.Millisecond
	idleEvery = 60 * time.Millisecond // between ticks while there is neither a batch nor a run
	loadEvery = time.Second
)

// Core is the decisions of one entry. It implements cornelwall.Core.
type Core struct {
	cfg     Config
	now     time.Time
	started time.Time
	out     []cornelwall.Command
	local   []cornelwall.Message // messages of the entry to itself
	ticked  time.Time
	woke    time.Time // after the last pause of the process

	hash     uint64 // of this entry's name
	peers    map[cornelwall.Incarnation]*peer
	byID     []*peer                      // the same, in the order of their identities
	lives    map[entryName]*peer          // latest life of each entry
	links    []*peer                      // that pulses go to, in the order of their identities
	surveyed time.Time                    // when all peers were looked at last
	seeds    map[netip.AddrPort]time.Time // when a pulse was sent to a seed last
	platform bool                         // it answers

	sought    time.Time // when a peer with room was sought last
	salt      uint64    // of the next choice of such a peer
	submitted time.Time // when the last batch came
	lastNeed  cornelwall.Resources

	membersRead bool    // the platform's list of entries has been read
	ranks       ranking // entries that may hold endpoints
	ranked      time.Time

	declared    cornelwall.QueueConfig
	endpoints   map[string]*endpoint
	byName      []*endpoint // the same, in the order of their names
	heldNow     []*endpoint // that this entry holds, in the order of their names
	lostSome    bool        // it has ceased to hold some
	mine        []*endpoint // that it should hold
	goneChecked time.Time
	fence       uint64
	offers      uint64 // of endpoints to other entries, counted
	lists

	runs    map[cornelwall.RunID]*run // of tasks assigned to this entry
	waiting []*run
	changed bool                           // a waiting run may be able to start, or another may go first
	stops   map[cornelwall.RunID]time.Time // runs that were withdrawn, which must not start
	passed  map[cornelwall.RunID]passedRun
	ended   map[cornelwall.RunID]endedRun
	dropped time.Time // when old entries of these were dropped last
	yielded []*lease  // of endpoints that other entries have taken

	jobs    map[string]*job
	reqs    map[uint64]*job
	tasks   map[cornelwall.RunID]*task // that are assigned
	endings endings
	lastRun uint64

	loadLogged time.Time
	ready      bool
	stopping   time.Time // when a planned stop began
	stopped    bool
}

// New returns a core that knows nothing yet.
func New(cfg Config, now time.Time) *Core {
	cfg.Weight = max(cfg.Weight, 1)
	if cfg.Links == 0 {
		cfg.Links = allLinks
	}
	return &Core{
		cfg: cfg, now: now, started: now, ticked: now, hash: hashOf(cfg.Self.Entry),
		peers:     map[cornelwall.Incarnation]*peer{},
		lives:     map[entryName]*peer{},
		seeds:     map[netip.AddrPort]time.Time{},
		endpoints: map[string]*endpoint{},
		runs:      map[cornelwall.RunID]*run{},
		stops:     map[cornelwall.RunID]time.Time{},
		passed:    map[cornelwall.RunID]passedRun{},
		ended:     map[cornelwall.RunID]endedRun{},
		jobs:      map[string]*job{},
		tasks:     map[cornelwall.RunID]*task{},
		reqs:      map[uint64]*job{},
		endings:   newEndings(),
	}
}

// Next returns when the core wants a Tick at the latest.
func (c *Core) Next() time.Time {
	if len(c.jobs) == 0 && len(c.runs) == 0 && !c.leaving() {
		return c.ticked.Add(idleEvery)
	}
	return c.ticked.Add(tickEvery)
}

// Step takes one event and returns the commands that follow from it.
func (c *Core) Step(now time.Time, ev cornelwall.Event) []cornelwall.Command {
	if now.Before(c.now) {
		now = c.now
	}
	c.now = now
	c.out = nil
	if now.Sub(c.ticked) >= tickEvery {
		c.tick()
	}
	c.handle(ev)
	c.drainLocal()
	c.startWaiting()
	c.drainLocal()
	c.addPulses()
	return c.out
}

func (c *Core) handle(ev cornelwall.Event) {
	switch ev := ev.(type) {
	case cornelwall.SubmitBatch:
		c.submit(ev)
	case cornelwall.CancelBatch:
		c.cancel(ev)
	case cornelwall.FetchBatch:
		c.fetch(ev)
	case cornelwall.CountWaiting:
		c.countWaiting(ev)
	case cornelwall.CallerGone:
		c.callerGone(ev.Req)
	case cornelwall.Receive:
		c.receive(ev.Envelope)
	case cornelwall.Undelivered:
		c.undelivered(ev)
	case cornelwall.EndpointsListed:
		c.setEndpoints(ev)
	case cornelwall.MembersListed:
		c.setMembers(ev.List)
	case cornelwall.QueueConfigRead:
		c.declare(ev.Config)
	case cornelwall.PlatformLost:
		c.platformLost()
	case cornelwall.PollResult:
		c.looked(ev)
	case cornelwall.OrderResult:
		c.ordered(ev)
	case cornelwall.FetchStatus:
		c.emit(cornelwall.ReplyStatus{Req: ev.Req, Status: c.status()})
	case cornelwall.Stop:
		c.stop()
	}
}

// tick does what is due as time passes. It runs before any event that comes after a
// pause of the process, so that no event is handled by what was true before it.
func (c *Core) tick() {
	if pause := c.now.Sub(c.ticked); pause > freezeAfter {
		c.log("woke", "pause", pause)
		c.woke = c.now
	}
	c.ticked, c.changed = c.now, true
	c.checkPeers()
	c.stopUnproven()
	c.checkLeases()
	c.checkJobs()
	c.keepHolders()
	if c.lostSome {
		c.lostSome = false
		c.returnUnfit()
	}
	c.keepLists()
	c.dropStops()
	c.dropEndings()
	c.keepLinks()
	c.pulse()
	c.checkReady()
	c.checkStop()
	c.logLoad()
}

// logLoad writes what this entry holds and how full it is, once in a while.
func (c *Core) logLoad() {
	if c.now.Sub(c.loadLogged) < loadEvery {
		return
	}
	c.loadLogged = c.now
	held, used := c.held(), 0
	for _, ep := range held {
		used += ep.lease.used.Cores
	}
	v := c.vacancy()
	c.log("load", "held", len(held), "millicores", v.Total, "used", used, "waiting", len(c.waiting),
		"queued", v.Queued, "jobs", len(c.jobs), "peers", c.answering(), "platform", c.platform)
}

// answering returns the number of peers that have been heard just now.
func (c *Core) answering() int {
	n := 0
	for _, p := range c.peers {
		if c.answers(p) {
			n++
		}
	}
	return n
}

func (c *Core) emit(cmd cornelwall.Command) { c.out = append(c.out, cmd) }

func (c *Core) log(event string, pairs ...any) {
	c.emit(cornelwall.Log{Event: event, Pairs: pairs})
}

// send hands a message to an entry, this one included.
func (c *Core) send(to cornelwall.Incarnation, m cornelwall.Message) {
	if to == c.cfg.Self {
		c.local = append(c.local, m)
		return
	}
	if p := c.peers[to]; p != nil {
		c.emit(cornelwall.Send{To: to, Addr: p.addr, Message: m})
	}
}

func (c *Core) drainLocal() {
	for len(c.local) > 0 {
		m := c.local[0]
		c.local = c.local[1:]
		c.message(c.cfg.Self, &m)
	}
}

func (c *Core) status() cornelwall.Status {
	return cornelwall.Status{
		Entry: c.cfg.Self, Machines: len(c.endpoints), Profiles: len(c.declared.Queues),
		Peers: len(c.peers), Jobs: len(c.jobs), Waiting: len(c.waiting), Running: len(c.runs) - len(c.waiting),
		Stale: !c.platform, Stopping: c.leaving(),
	}
}
