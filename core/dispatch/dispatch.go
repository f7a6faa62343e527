// Package dispatch decides, for one entry, which tasks run on leased endpoints. Its [Core]
// implements cornelwall.Core for entries that run batches; package node does for entries that run
// jobs on executors and workers.
//
// Each endpoint has one lease holder: the only entry that polls the endpoint and starts and stops
// runs there, under a fencing token (the fence) that rises with each change of holder. The entry
// that accepted a batch from its caller is the owner of the batch: it assigns the tasks to lease
// holders, counts their failures and answers the caller. An entry is owner and holder at once.
//
// # Retries
//
// A task is run again only once its last run has certainly ended. The holder learns that from the
// runs that the endpoint lists, or from the expiry of the lease on the endpoint's own clock. The
// owner learns it from the holder, from the next holder of the endpoint (see
// cornelwall.EndpointAcquired), or because the holder has been silent for holderTimeout: by then
// the holder has lacked proof that the owner hears it and has stopped the run, or its lease has
// expired.
//
// # Usage
//
//	core := dispatch.New(dispatch.Config{Self: self, Addr: addr, Limits: limits}, now)
//	commands := core.Step(now, event)
//
// # Files
//
// queueconfig.go keeps the queue configuration in force and fetches newer ones. evacuations.go keeps
// which data centres are evacuated, and so where runs may start.
//
// What is decided by figures, such as the order of the backlog or the choice of a holder, is in package
// policy; this package keeps the state and acts.
//
// Owner: jobs.go accepts batches, retryafter.go sets when refused callers come back, jobcallers.go keeps
// the callers that wait for each, estimates.go corrects their targets, assign.go assigns tasks to holders,
// tasks.go processes the results of runs, finish.go ends batches, and pendingends.go tracks withdrawn runs
// until they have ended. cancel.go acknowledges cancellations, cancelsend.go sends them to the peers,
// cancelrecord.go keeps the records of them, cancelstore.go has them written to the platform's store, and catchup.go asks for
// those that this entry has missed.
//
// An entry owns a batch once the witnesses of the batch have recorded that. ownership.go claims batches, witness.go keeps the
// records of the claims of others, witnesswait.go tells how long a witness is waited for, and joins.go passes on the answer to a
// batch that another entry owns. runclock.go measures the time in which this process ran.
//
// Both: shed.go decides under overload which batches are refused and in which order runs start.
//
// Holder: backlog.go is the queue of waiting runs, lease.go the lease on an endpoint, poll.go
// compares what runs there with what should, cause.go names the evidence for the end of a run,
// leaseend.go ends leases and transfers their runs, orders.go starts and stops runs, progress.go
// follows the progress of runs, health.go finds slow endpoints and stops stragglers there, speed.go
// tells long tasks from slow endpoints, and crashes.go acts on the crashes of endpoints under runs, which
// core/crash keeps.
//
// Endpoints: endpoints.go holds what is known of them, endpointlist.go reads the platform's list or
// gets it from other entries, rendezvous.go ranks the entries, holders.go decides which entry holds
// which endpoint and hands endpoints over, and acquire.go acquires those that this entry should hold.
//
// Other entries: peers.go tracks which are alive, links.go which of them exchange heartbeats,
// heartbeats.go sends and receives these, load.go keeps the demand and the capacity of the fleet,
// sessions.go withdraws the runs of owners that may not hear this entry, and messages.go dispatches
// messages.
//
// # Log lines
//
// Some log events and keys have other names than the code: endpoint-taken is the acquisition of an
// endpoint, endpoint-handed an offer to hand it over, endpoint-yielded a lease that was fenced out,
// endpoint-lost and endpoint-back the change to unreachable and back, stranger-stopped the stop of
// an orphan, woke the end of a pause of the process, pace a slowdown, and rest a remaining share.
package dispatch

import (
	"net/netip"
	"time"

	"cornelwall"
	"cornelwall/core/crash"
	"cornelwall/core/policy"
)

// Limits are the times that the platform guarantees.
type Limits struct {
	MaxLease  time.Duration // endpoints cut longer leases to this
	StopDelay time.Duration // a run ends within this time after a stop order or the expiry of its lease
	StopGrace time.Duration // time that a planned stop of this entry may take
	DrainTime time.Duration // for which an endpoint serves on after it has reported that it leaves; 0 means 2 s
	// EvacuateTime is the time within which nothing starts any more in a data centre that is evacuated. It is 0 if none
	// can be; otherwise nothing starts before it is known which are.
	EvacuateTime time.Duration
	// CancelTime is the time after the acknowledgement of a cancellation within which it takes effect. At 0,
	// entries neither record cancellations nor confirm them.
	CancelTime time.Duration
}

// Config holds the settings of a core.
type Config struct {
	Self         cornelwall.Incarnation
	Addr         netip.AddrPort   // where this entry listens for its peers
	Seeds        []netip.AddrPort // entries to contact while the platform does not answer
	Weight       int              // capacity of this entry relative to others; 0 means 1
	MaxMeshPeers int              // up to this many peers, all pairs exchange heartbeats all the time; 0 means 8, negative never
	Limits       Limits
	Shed         bool // under overload, the work that costs callers least is delayed or refused; see shed.go
	PlaceBySpeed bool // runs are placed by when they are expected to end at each endpoint
}

const (
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 60 * time.Millisecond // while there is neither a batch nor a run
	loadLogInterval  = time.Second
)

// Core is the state machine that makes the decisions of one entry that runs batches on leased
// endpoints. It implements cornelwall.Core and is not safe for concurrent use.
type Core struct {
	cfg           Config
	now           time.Time
	startedAt     time.Time
	commands      []cornelwall.Command
	localMessages []cornelwall.Message // messages from this entry to itself
	lastTick      time.Time
	resumedAt     time.Time // end of the last pause of the process
	runClock

	nameHash      uint64 // hash of this entry's name
	peers         map[cornelwall.Incarnation]*peer
	peersByID     []*peer                      // sorted by identity
	latestPeers   map[entryName]*peer          // latest incarnation of each entry
	links         []*peer                      // peers that get heartbeats, sorted by identity
	lastPeerScan  time.Time                    // last check of all peers
	seedContacted map[netip.AddrPort]time.Time // last heartbeat to each seed
	platformUp    bool                         // the platform answers
	probes        uint64                       // see probeNextPeer

	lastSeek      time.Time            // last search for a peer with free capacity
	seekSalt      uint64               // varies the choice of that peer
	lastSubmit    time.Time            // arrival of the last batch
	lastBatchNeed cornelwall.Resources // of one task in its first step

	membersReadAt time.Time // when the platform's list of entries was last read; zero if it never was
	ranking       ranking   // entries that may hold endpoints
	rankedAt      time.Time

	queueConfigState
	evacuations        evacuations
	endpoints          map[string]*endpoint
	endpointsByName    []*endpoint // sorted by name
	heldEndpoints      []*endpoint // endpoints that this entry holds, sorted by name
	heldChanged        bool        // a lease has ended, or the record of an endpoint held has changed, since the last tick
	preferredEndpoints []*endpoint // endpoints of which this entry is the preferred holder
	lastGoneCheck      time.Time
	highestFence       uint64 // highest fence known to this entry
	lastOffer          uint64 // number of the last handover offer
	endpointList

	runs             map[cornelwall.RunID]*run // tasks assigned to this entry
	backlog          []*run                    // runs that wait to start
	classShares      policy.ClassShares        // of the runs started here
	overload         overload
	queued           *policy.QueueLoad     // result of queueLoad for this event, or nil
	choice           policy.EndpointChoice // of the endpoint for a run; kept to reuse its memory
	speedCounts      speedCounts
	usualNeeds       map[string]*policy.UsualNeed   // by service
	backlogChanged   bool                           // a waiting run may now be able to start, or the order may differ
	withdrawnRuns    map[cornelwall.RunID]time.Time // when each run was withdrawn; it must not start any more
	transferredRuns  map[cornelwall.RunID]transferredRun
	endedRuns        map[cornelwall.RunID]endedRun
	lastPrune        time.Time // last removal of old entries from these maps
	startReplies     policy.ReplyTimes
	medianSlowdown   float64  // of the endpoints held; 0 if not known
	usualSlowdown    float64  // at all endpoints that this entry hears of
	supersededLeases []*lease // leases on endpoints that other entries have acquired

	cancelState
	cancelStoreState
	catchUpState
	claimState

	jobs          map[string]*job
	jobsByReq     map[uint64]*job
	tasksByRun    map[cornelwall.RunID]*task // assigned tasks
	pendingEnds   pendingEnds
	crashes       *crash.Table
	load          loadState
	lastRunNumber uint64

	lastLoadLog   time.Time
	ready         bool
	stoppingSince time.Time // start of the planned stop; zero if there is none
	stopped       bool
}

// New returns a core that knows no peers, endpoints or queues yet.
func New(cfg Config, now time.Time) *Core {
	cfg.Weight = max(cfg.Weight, 1)
	if cfg.MaxMeshPeers == 0 {
		cfg.MaxMeshPeers = fullMeshPeers
	}
	if cfg.Limits.DrainTime <= 0 {
		cfg.Limits.DrainTime = defaultDrainTime
	}
	return &Core{
		cfg: cfg, now: now, startedAt: now, lastTick: now, runClock: runClock{countedAt: now}, nameHash: hashOf(cfg.Self.Entry), usualSlowdown: 1,
		peers:            map[cornelwall.Incarnation]*peer{},
		latestPeers:      map[entryName]*peer{},
		seedContacted:    map[netip.AddrPort]time.Time{},
		endpoints:        map[string]*endpoint{},
		runs:             map[cornelwall.RunID]*run{},
		usualNeeds:       map[string]*policy.UsualNeed{},
		withdrawnRuns:    map[cornelwall.RunID]time.Time{},
		transferredRuns:  map[cornelwall.RunID]transferredRun{},
		endedRuns:        map[cornelwall.RunID]endedRun{},
		cancelState:      newCancelState(),
		cancelStoreState: newCancelStoreState(),
		catchUpState:     newCatchUpState(now),
		claimState:       newClaimState(),
		jobs:             map[string]*job{},
		tasksByRun:       map[cornelwall.RunID]*task{},
		jobsByReq:        map[uint64]*job{},
		pendingEnds:      newPendingEnds(),
		crashes:          crash.NewTable(),
		load:             newLoadState(),
		queueConfigState: queueConfigState{queueConfig: &cornelwall.QueueConfig{}},
		endpointList:     endpointList{toldAt: now}, // readers get the time to send the first update
	}
}

// Next returns the time by which the core needs a Tick.
func (c *Core) Next() time.Time {
	if len(c.jobs) == 0 && len(c.runs) == 0 && !c.isStopping() && !c.hasUnansweredCancel() {
		return c.lastTick.Add(idleTickInterval)
	}
	next := c.lastTick.Add(tickInterval)
	if due, wanted := c.cancelWriteDue(); wanted && due.Before(next) {
		return due
	}
	return next
}

// Step runs the periodic checks if they are due, processes one event, starts waiting runs and
// returns the resulting commands.
func (c *Core) Step(now time.Time, ev cornelwall.Event) []cornelwall.Command {
	if now.Before(c.now) {
		now = c.now
	}
	c.now = now
	c.commands, c.queued = nil, nil
	if now.Sub(c.lastTick) >= tickInterval {
		c.tick()
		c.queued = nil
	}
	c.handleEvent(ev)
	c.sendNewCancellations()
	c.storeCancellations()
	c.deliverLocal()
	c.startBacklog()
	c.deliverLocal()
	c.sendClaims()
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
		c.setQueueConfig(ev.Config, "store")
	case cornelwall.QueueConfigFetched:
		c.handleQueueConfigFetched(ev)
	case cornelwall.EvacuationsRead:
		c.handleEvacuationsRead(ev)
	case cornelwall.CancellationsStored:
		c.handleCancellationsStored(ev)
	case cornelwall.CancellationsRead:
		c.handleCancellationsRead(ev)
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

// tick runs the periodic checks. After a pause of the process it runs before the next event, so
// that the event isn't handled on the basis of outdated state.
func (c *Core) tick() {
	c.countRunTime()
	if pause := c.now.Sub(c.lastTick); pause > pauseThreshold {
		c.log("woke", "pause", pause)
		c.resumedAt = c.now
		c.doubtEvacuations(pause)
		c.noteMissed("pause", c.lastTick, c.now)
		c.doubtOwnership(pause)
	}
	c.lastTick, c.backlogChanged = c.now, true
	c.checkPeers()
	c.catchUp()
	c.checkCancellations()
	c.fetchQueueConfig()
	c.withdrawUnprovenRuns()
	c.repeatReports()
	c.checkLeases()
	c.checkJobs()
	c.trackOverload()
	c.reconcileHolders()
	if c.heldChanged {
		c.heldChanged = false
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

// logLoad logs the endpoints held and the load once per loadLogInterval.
func (c *Core) logLoad() {
	if c.now.Sub(c.lastLoadLog) < loadLogInterval {
		return
	}
	c.lastLoadLog = c.now
	held, used := c.held(), 0
	for _, ep := range held {
		used += ep.lease.used.Cores
	}
	c.logSpeeds()
	v := c.freeCapacity()
	pairs := []any{"held", len(held), "millicores", v.Total, "used", used, "waiting", len(c.backlog),
		"queued", v.Queued, "jobs", len(c.jobs), "peers", c.responsivePeers(), "platform", c.platformUp, "usual", c.usualSlowdown,
		"listage", c.listAge(), "listinterval", c.readInterval, "version", c.queueConfig.Version, "newest", c.newestVersion,
		"behind", c.behindFor(), "fetches", c.fetches, "overload", c.overloadedFor(), "shed", c.overload.shed, "cancelled", len(c.cancelled), "caughtup", !c.mustCatchUp()}
	if c.readsEvacuations() {
		pairs = append(pairs, "evacuated", c.evacuatedNames())
	}
	c.log("load", append(pairs, c.loadPairs()...)...)
}

// responsivePeers returns the number of peers that were heard from recently.
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

// send sends a message to an entry. Messages to this entry itself are queued in localMessages.
func (c *Core) send(to cornelwall.Incarnation, m cornelwall.Message) {
	if to == c.cfg.Self {
		c.localMessages = append(c.localMessages, m)
		return
	}
	if p := c.peers[to]; p != nil {
		c.emit(cornelwall.Send{To: to, Addr: p.addr, Bulk: isBulk(&m), Message: m})
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
		Stale: !c.platformUp, Stopping: c.isStopping(), Services: c.serviceStatus(),
	}
}
