// Package node implements [cornelwall.Core] for entries that run jobs on executors and
// workers; package dispatch does for entries that run batches on leased endpoints. A
// [Node] makes all decisions of one entry. The host passes in events; tests and benchmarks
// can do the same.
//
// Logs call the successor of a closed incarnation its heir, and the end of the hand-off to
// it "handed-over".
//
// # Usage
//
//	n := node.New(node.Config{Self: self, Addr: addr, Secret: secret}, clock.Now())
//	cmds := n.Step(clock.Now(), cornelwall.Submit{Req: 1, Job: job})
package node

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"cornelwall"
	"cornelwall/core/admit"
	"cornelwall/core/catalog"
	"cornelwall/core/claim"
	"cornelwall/core/health"
	"cornelwall/core/heir"
	"cornelwall/core/member"
	"cornelwall/core/owner"
	"cornelwall/core/queue"
	"cornelwall/core/retry"
	"cornelwall/core/slot"
	"cornelwall/core/ticket"
)

// Config holds the settings of a node. Self, Addr and Secret are required; other zero
// fields take defaults.
type Config struct {
	Self   cornelwall.Incarnation
	Addr   netip.AddrPort // address at which peers reach this entry
	Secret []byte         // shared by all entries; signs tickets

	TicketTTL         time.Duration // from the minting of a ticket until its outcome is forgotten
	HeartbeatInterval time.Duration // interval between heartbeats to one peer
	PeerTimeout       time.Duration // silence after which a peer no longer counts as alive
	StaleAfter        time.Duration // time without news from the platform after which profiles are stale
	ClaimTTL          time.Duration // how long a caller's idempotency key stays claimed
	ClaimRate         float64       // claims per second at this entry
	MaxJobs           int           // jobs held at once, including ended ones
	MaxRefusals       int           // refusals held at once
	MaxResultBytes    int           // bytes of results held at once
	VMListLag         time.Duration // by how much the VM list may lag
	MaxInheritedBytes int           // bytes of answers held for closed incarnations
	SuccessorWait     time.Duration // how long a planned stop waits for a successor to appear

	RetryRatio float64 // retries that each start adds to the retry budget

	// Placer creates the placer; nil uses the placer of core/slot, which lends out slots.
	Placer func(self cornelwall.Incarnation) cornelwall.Placer
}

const minSecretLen = 16 // bytes

// Normalise sets zero fields to their defaults.
func (c *Config) Normalise() {
	setDefault(&c.TicketTTL, 10*time.Minute)
	setDefault(&c.HeartbeatInterval, time.Second)
	setDefault(&c.PeerTimeout, 3*time.Second)
	setDefault(&c.StaleAfter, 10*time.Second)
	setDefault(&c.ClaimTTL, time.Hour)
	setDefault(&c.ClaimRate, 20)
	setDefault(&c.RetryRatio, retry.Ratio)
	setDefault(&c.MaxJobs, 200000)
	setDefault(&c.MaxRefusals, 1<<20)
	setDefault(&c.MaxResultBytes, 64<<20)
	setDefault(&c.VMListLag, time.Minute)
	setDefault(&c.MaxInheritedBytes, 256<<20)
	setDefault(&c.SuccessorWait, 20*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Check reports all errors in the settings.
func (c *Config) Check() error {
	errs := []error{c.Self.Check()}
	if !c.Addr.IsValid() {
		errs = append(errs, errors.New("peer address is missing; set ip:port"))
	}
	if len(c.Secret) < minSecretLen {
		errs = append(errs, fmt.Errorf("secret has %d bytes; use %d or more", len(c.Secret), minSecretLen))
	}
	if c.PeerTimeout < 2*c.HeartbeatInterval {
		errs = append(errs, fmt.Errorf("peer timeout %s is less than two heartbeat intervals of %s; use more", c.PeerTimeout, c.HeartbeatInterval))
	}
	if c.ClaimTTL < 2*c.TicketTTL {
		errs = append(errs, fmt.Errorf("claim TTL %s is less than twice the ticket TTL of %s; use more", c.ClaimTTL, c.TicketTTL))
	}
	return errors.Join(errs...)
}

// Node implements [cornelwall.Core] for one entry. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	start    time.Time
	now      time.Time
	commands []cornelwall.Command

	minter        *ticket.Minter
	jobs          *owner.Table
	queue         *queue.Queue
	placer        cornelwall.Placer
	members       *member.Table
	catalog       *catalog.Catalog
	archive       *heir.Archive
	claims        *claim.Table
	timers        timers
	machines      map[string]cornelwall.VM
	draining      map[string]drainNotice
	capacities    map[cornelwall.Need]bool // distinct capacities of the machines
	ownedMachines []cornelwall.VM          // machines that this entry lends out, by name
	nextUsagePoll time.Time
	machineOwners []cornelwall.Incarnation // entries among which the machines were last divided

	estimates      *admit.Estimates
	calibration    admit.Calibration
	admittedLoad   admit.AdmittedLoad
	faults         *health.FaultAttribution
	budget         *retry.Budget
	progress       map[uint64]*progress // by sequence number of the ticket
	workerAttempts map[uint64][]uint64  // attempts on workers, by sequence number of the ticket

	attempts         map[uint64]*attempt
	forwards         map[uint64]*forward
	statusQueries    map[uint64]*statusQuery
	localWaiters     map[uint64]localWaiter // by request
	successorQueries map[cornelwall.Incarnation]*successorQuery
	retransmissions  map[retransmissionKey]*retransmission
	wakeAt           time.Time // next time to check retries and the deadline of a planned stop; zero is none
	nextID           uint64
	nextHeartbeat    time.Time

	watching       bool
	storeLags      map[string]storeLag // by name of the profile
	freshAt        time.Time           // last news from the platform, directly or through peers
	platformSeenAt time.Time           // last news from the platform itself
	stopping       bool
	handoff        handoff
}

// New returns a node for an entry that starts now. It panics if the settings do not pass
// Check.
func New(cfg Config, now time.Time) *Node {
	cfg.Normalise()
	if err := cfg.Check(); err != nil {
		panic(err)
	}
	if cfg.Placer == nil {
		cfg.Placer = func(self cornelwall.Incarnation) cornelwall.Placer { return slot.New(self) }
	}
	return &Node{
		cfg:      cfg,
		start:    now,
		now:      now,
		minter:   ticket.NewMinter(cfg.Self, cfg.Secret, now),
		jobs:     owner.NewTable(cfg.TicketTTL, cfg.MaxRefusals, cfg.MaxResultBytes),
		queue:    queue.New(),
		placer:   cfg.Placer(cfg.Self),
		members:  member.NewTable(cfg.Self, member.Timeouts{SilenceTimeout: cfg.PeerTimeout, ListLag: cfg.VMListLag, Retention: cfg.TicketTTL}),
		catalog:  catalog.New(),
		archive:  heir.NewArchive(cfg.TicketTTL, cfg.MaxInheritedBytes),
		claims:   claim.NewTable(cfg.ClaimRate, cfg.ClaimRate),
		timers:   newTimers(),
		machines: map[string]cornelwall.VM{},
		draining: map[string]drainNotice{},

		estimates:      admit.NewEstimates(),
		faults:         health.NewFaultAttribution(),
		budget:         retry.NewBudget(cfg.RetryRatio, retry.Burst),
		progress:       map[uint64]*progress{},
		workerAttempts: map[uint64][]uint64{},

		attempts:         map[uint64]*attempt{},
		forwards:         map[uint64]*forward{},
		statusQueries:    map[uint64]*statusQuery{},
		successorQueries: map[cornelwall.Incarnation]*successorQuery{},
		retransmissions:  map[retransmissionKey]*retransmission{},
		localWaiters:     map[uint64]localWaiter{},
		nextHeartbeat:    now,
	}
}

// Next returns the time by which the node needs a Tick.
func (n *Node) Next() time.Time {
	next := n.nextHeartbeat
	if at, ok := n.timers.next(); ok && at.Before(next) {
		next = at
	}
	if at := n.placer.Next(); !at.IsZero() && at.Before(next) {
		next = at
	}
	if !n.wakeAt.IsZero() {
		next = minTime(next, n.wakeAt)
	}
	return next
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Step handles one event and returns the commands that follow from it.
func (n *Node) Step(now time.Time, ev cornelwall.Event) []cornelwall.Command {
	if now.Before(n.now) {
		now = n.now // a clock without a monotonic reading was set back
	}
	paused := now.Sub(n.now) >= n.cfg.PeerTimeout
	n.now, n.commands = now, nil
	if paused {
		n.restartForwardTimeouts()
	}
	n.expire() // first, so that a process that was paused does not act on expired state
	n.handleEvent(ev)
	n.retransmitDue()
	n.heartbeatTick()
	n.placer.Place(now, placerHost{n})
	n.advanceStop()
	return n.commands
}

func (n *Node) handleEvent(ev cornelwall.Event) {
	switch ev := ev.(type) {
	case cornelwall.DrawTickets:
		n.drawTickets(ev)
	case cornelwall.Submit:
		n.submit(ev)
	case cornelwall.Fetch:
		n.fetch(ev)
	case cornelwall.Cancel:
		n.route(ev.Req, cornelwall.DeedCancel, ev.Ticket, nil)
	case cornelwall.CallerGone:
		n.callerGone(ev.Req)
	case cornelwall.TaskEnded:
		n.taskEnded(ev)
	case cornelwall.Receive:
		n.receive(&ev.Envelope)
	case cornelwall.Undelivered:
		n.undelivered(&ev.Envelope)
	case cornelwall.MachinesListed:
		n.setMachines(ev.VMs)
	case cornelwall.Usage:
		n.placer.Usage(n.now, ev.Machine, ev.Used, ev.Lag)
	case cornelwall.WatchUpdate:
		n.watchUpdate(ev)
	case cornelwall.WatchLost:
		n.log("watch-lost")
	case cornelwall.StoreResult:
		n.claimStored(ev)
	case cornelwall.FetchProfileStatus:
		n.fetchProfileStatus(ev)
	case cornelwall.FetchProfiles:
		n.emit(cornelwall.ReplyProfiles{Req: ev.Req, Profiles: n.catalog.All()})
	case cornelwall.FetchStatus:
		n.emit(cornelwall.ReplyStatus{Req: ev.Req, Status: n.status()})
	case cornelwall.Stop:
		n.stop(ev.TimeLeft)
	case cornelwall.Tick:
	}
}

func (n *Node) emit(cmd cornelwall.Command) { n.commands = append(n.commands, cmd) }

func (n *Node) log(event string, pairs ...any) {
	n.emit(cornelwall.Log{Event: event, Pairs: pairs})
}

func (n *Node) countReason(r cornelwall.Reason, retry bool) {
	n.emit(cornelwall.CountReason{Reason: r, Retry: retry, N: 1})
}

// send sends a message to a peer whose address is known.
func (n *Node) send(to cornelwall.Incarnation, m cornelwall.Message) {
	if p := n.members.Find(to); p != nil && p.Addr.IsValid() {
		n.emit(cornelwall.Send{To: to, Addr: p.Addr, Message: m})
	}
}

func (n *Node) newID() uint64 {
	n.nextID++
	return n.nextID
}
