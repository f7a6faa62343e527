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
	MaxLease  time.Duration // a longer lease is cut to it
	StopDelay time.Duration // within which a stop or the end of a lease takes effect
	StopGrace time.Duration // of a planned stop
}

// Config is the settings of a core.
type Config struct {
	Self         cornelwall.Incarnation
	Addr         netip.AddrPort   // of this entry, for others
	Seeds        []netip.AddrPort // other entries to ask while the platform does not answer
	Weight       int              // how much this entry can carry, to compare with others; 0 is 1
	MaxMeshPeers int              // peers up to which all exchange pulses all the time; 0 is 8, negative none
	Limits       Limits
}

const (
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 60 * time.Millisecond // between ticks while there is neither a batch nor a run
	loadLogInterval  = time.Second
)

// Core is the decisions of one entry. It implements cornelwall.Core.
type Core struct {
	cfg           Config
	now           time.Time
	startedAt     time.Time
	commands      []cornelwall.Command
	localMessages []cornelwall.Message // messages of the entry to itself
	lastTick      time.Time
	resumedAt     time.Time // after the last pause of the process

	nameHash      uint64 // of this entry's name
	peers         map[cornelwall.Incarnation]*peer
	peersByID     []*peer                      // the same, in the order of their identities
	latestPeers   map[entryName]*peer          // latest life of each entry
	links         []*peer                      // that pulses go to, in the order of their identities
	lastPeerScan  time.Time                    // when all peers were looked at last
	seedContacted map[netip.AddrPort]time.Time // when a pulse was sent to a seed last
	platformUp    bool                         // it answers

	lastSeek      time.Time // when a peer with room was sought last
	seekSalt      uint64    // of the next choice of such a peer
	lastSubmit    time.Time // when the last batch came
	lastBatchNeed cornelwall.Resources

	membersRead bool    // the platform's list of entries has been read
	ranking     ranking // entries that may hold endpoints
	rankedAt    time.Time

	queueConfig     cornelwall.QueueConfig
	endpoints       map[string]*endpoint
	endpointsByName []*endpoint // the same, in the order of their names
	heldEndpoints   []*endpoint // that this entry holds, in the order of their names
	leaseDropped    bool        // it has ceased to hold some
	targetEndpoints []*endpoint // that it should hold
	lastGoneCheck   time.Time
	highestFence    uint64
	lastOffer       uint64 // of endpoints to other entries, counted
	endpointList

	runs             map[cornelwall.RunID]*run // of tasks assigned to this entry
	backlog          []*run
	backlogChanged   bool                           // a waiting run may be able to start, or another may go first
	withdrawnRuns    map[cornelwall.RunID]time.Time // runs that were withdrawn, which must not start
	transferredRuns  map[cornelwall.RunID]transferredRun
	endedRuns        map[cornelwall.RunID]endedRun
	lastPrune        time.Time // when old entries of these were dropped last
	supersededLeases []*lease  // of endpoints that other entries have taken

	jobs          map[string]*job
	jobsByReq     map[uint64]*job
	tasksByRun    map[cornelwall.RunID]*task // that are assigned
	pendingEnds   pendingEnds
	lastRunNumber uint64

	lastLoadLog   time.Time
	ready         bool
	stoppingSince time.Time // when a planned stop began
	stopped       bool
}

// New returns a core that knows nothing yet.
func New(cfg Config, now time.Time) *Core {
	cfg.Weight = max(cfg.Weight, 1)
	if cfg.MaxMeshPeers == 0 {
		cfg.MaxMeshPeers = fullMeshPeers
	}
	return &Core{
		cfg: cfg, now: now, startedAt: now, lastTick: now, nameHash: hashOf(cfg.Self.Entry),
		peers:           map[cornelwall.Incarnation]*peer{},
		latestPeers:     map[entryName]*peer{},
		seedContacted:   map[netip.AddrPort]time.Time{},
		endpoints:       map[string]*endpoint{},
		runs:            map[cornelwall.RunID]*run{},
		withdrawnRuns:   map[cornelwall.RunID]time.Time{},
		transferredRuns: map[cornelwall.RunID]transferredRun{},
		endedRuns:       map[cornelwall.RunID]endedRun{},
		jobs:            map[string]*job{},
		tasksByRun:      map[cornelwall.RunID]*task{},
		jobsByReq:       map[uint64]*job{},
		pendingEnds:     newPendingEnds(),
	}
}

// Next returns when the core wants a Tick at the latest.
func (c *Core) Next() time.Time {
	if len(c.jobs) == 0 && len(c.runs) == 0 && !c.isStopping() {
		return c.lastTick.Add(idleTickInterval)
	}
	return c.lastTick.Add(tickInterval)
}

// Step takes one event and returns the commands that follow from it.
func (c *Core) Step(now time.Time, ev cornelwall.Event) []cornelwall.Command {
	if now.Before(c.now) {
		now = c.now
	}
	c.now = now
	c.commands = nil
	if now.Sub(c.lastTick) >= tickInterval {
		c.tick()
	}
	c.handleEvent(ev)
	c.deliverLocal()
	c.startBacklog()
	c.deliverLocal()
	c.piggybackHeartbeats()
	return c.commands
}

func (c *Core) handleEvent(ev cornelwall.Event) {
	switch ev := ev.(type) {
	case cornelwall.SubmitBatch:
		c.handleSubmitBatch(ev)
	case cornelwall.CancelBatch:
		c.handleCancelBatch(ev)
	case cornelwall.FetchBatch:
		c.handleFetchBatch(ev)
	case cornelwall.CountWaiting:
		c.handleCountWaiting(ev)
	case cornelwall.CallerGone:
		c.handleCallerGone(ev.Req)
	case cornelwall.Receive:
		c.handleEnvelope(ev.Envelope)
	case cornelwall.Undelivered:
		c.handleUndelivered(ev)
	case cornelwall.EndpointsListed:
		c.handleEndpointsListed(ev)
	case cornelwall.MembersListed:
		c.handleMembersListed(ev.List)
	case cornelwall.QueueConfigRead:
		c.setQueueConfig(ev.Config)
	case cornelwall.PlatformLost:
		c.handlePlatformLost()
	case cornelwall.PollResult:
		c.handlePollResult(ev)
	case cornelwall.OrderResult:
		c.handleOrderResult(ev)
	case cornelwall.FetchStatus:
		c.emit(cornelwall.ReplyStatus{Req: ev.Req, Status: c.status()})
	case cornelwall.Stop:
		c.handleStop()
	}
}

// tick does what is due as time passes. It runs before any event that comes after a
// pause of the process, so that no event is handled by what was true before it.
func (c *Core) tick() {
	if pause := c.now.Sub(c.lastTick); pause > pauseThreshold {
		c.log("woke", "pause", pause)
		c.resumedAt = c.now
	}
	c.lastTick, c.backlogChanged = c.now, true
	c.checkPeers()
	c.stopUnprovenRuns()
	c.checkLeases()
	c.checkJobs()
	c.reconcileHolders()
	if c.leaseDropped {
		c.leaseDropped = false
		c.returnUnplaceable()
	}
	c.scheduleReads()
	c.pruneRunRecords()
	c.expirePendingEnds()
	c.refreshLinks()
	c.sendDueHeartbeats()
	c.checkReady()
	c.checkStop()
	c.logLoad()
}

// logLoad writes what this entry holds and how full it is, once in a while.
func (c *Core) logLoad() {
	if c.now.Sub(c.lastLoadLog) < loadLogInterval {
		return
	}
	c.lastLoadLog = c.now
	held, used := c.held(), 0
	for _, ep := range held {
		used += ep.lease.used.Cores
	}
	v := c.freeCapacity()
	c.log("load", "held", len(held), "millicores", v.Total, "used", used, "waiting", len(c.backlog),
		"queued", v.Queued, "jobs", len(c.jobs), "peers", c.responsivePeers(), "platform", c.platformUp)
}

// responsivePeers returns the number of peers that have been heard just now.
func (c *Core) responsivePeers() int {
	n := 0
	for _, p := range c.peers {
		if c.isResponsive(p) {
			n++
		}
	}
	return n
}

func (c *Core) emit(cmd cornelwall.Command) { c.commands = append(c.commands, cmd) }

func (c *Core) log(event string, pairs ...any) {
	c.emit(cornelwall.Log{Event: event, Pairs: pairs})
}

// send hands a message to an entry, this one included.
func (c *Core) send(to cornelwall.Incarnation, m cornelwall.Message) {
	if to == c.cfg.Self {
		c.localMessages = append(c.localMessages, m)
		return
	}
	if p := c.peers[to]; p != nil {
		c.emit(cornelwall.Send{To: to, Addr: p.addr, Message: m})
	}
}

func (c *Core) deliverLocal() {
	for len(c.localMessages) > 0 {
		m := c.localMessages[0]
		c.localMessages = c.localMessages[1:]
		c.handleMessage(c.cfg.Self, &m)
	}
}

func (c *Core) status() cornelwall.Status {
	return cornelwall.Status{
		Entry: c.cfg.Self, Machines: len(c.endpoints), Profiles: len(c.queueConfig.Queues),
		Peers: len(c.peers), Jobs: len(c.jobs), Waiting: len(c.backlog), Running: len(c.runs) - len(c.backlog),
		Stale: !c.platformUp, Stopping: c.isStopping(),
	}
}
