// Package fake drives several cores in one goroutine under a virtual clock, with small
// fakes of the network, the endpoints and the platform at their interfaces.
//
// # Usage
//
//	w := fake.NewWorld(start)
//	w.Link = func(from, to cornelwall.Incarnation, e cornelwall.Envelope) fake.Fate { ... }
//	w.Work = func(h *fake.Host, r cornelwall.Run) (time.Duration, cornelwall.Result) { ... }
//	h := w.Add(core, self, addr)
//	w.Post(h, cornelwall.Submit{Req: 1, Job: job})
//	w.Advance(time.Second)
package fake

import (
	"net/netip"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/heap"
)

// World holds the hosts and what is on its way to them. All fates come from its
// functions, so that a seed decides everything.
type World struct {
	Now   time.Time
	Store *Store
	// Link decides what becomes of an envelope. Nil delivers all at once.
	Link func(from, to cornelwall.Incarnation, e cornelwall.Envelope) Delivery
	// Work decides how a start ends and after how long.
	TaskResult func(h *Host, r cornelwall.RunTask) (time.Duration, cornelwall.Result)
	// Begin carries out a start in place of Work; it reports the end with After.
	StartTask func(h *Host, r cornelwall.RunTask)
	// Order carries out looks, starts and stops at leased endpoints.
	HandleOrder func(h *Host, cmd cornelwall.Command)
	// Replied takes the replies, logs and counts of the cores.
	OnOutput func(h *Host, cmd cornelwall.Command)

	Envelopes int // sent
	Messages  int // sent

	hosts map[netip.AddrPort]*Host
	queue *heap.Heap[scheduled]
	seq   uint64
}

// Delivery is what becomes of an envelope: it arrives after each of the delays. With none,
// it is lost. Told says whether the sender learns of a loss, and when.
type Delivery struct {
	Delays      []time.Duration
	ReportAfter time.Duration // 0: the sender is not told
	// Refused says that the sender is told that nobody listens there.
	ConnRefused bool
}

// Host runs one core.
type Host struct {
	Core       cornelwall.Core
	Self       cornelwall.Incarnation
	Addr       netip.AddrPort
	Frozen     bool
	Dead       bool
	PoweredOff bool // dead without power: connections to it are not refused

	// Slow makes the host take time for each event. Those that come meanwhile queue. Nil is at once.
	StepDelay func() Delay
	// StaleTime gives all events of a batch the time of its beginning.
	SharedBatchTime bool

	eventLoop
	heldEvents []cornelwall.Event // events that came while frozen
	nextTick   time.Time          // of the next tick on its way
	watching   bool
}

// Delay is what a host takes for an event: before it reads the clock, and then until its
// commands leave.
type Delay struct{ BeforeStep, BeforeSend time.Duration }

// maxBatch is how many events a slow host handles at most, beyond the first, before it looks at its timer.
const maxBatch = 256

// eventLoop is what a slow host is about to do.
type eventLoop struct {
	busy       bool
	queue      []cornelwall.Event
	batchStart time.Time // of the batch
	batchSize  int       // events of it
	tickDue    bool      // a tick came while it was busy
	resume     func()    // once it is thawed
}

// NewWorld returns a world without hosts.
func NewWorld(start time.Time) *World {
	return &World{Now: start, Store: NewStore(), hosts: map[netip.AddrPort]*Host{}, queue: heap.New(earlier, nil)}
}

// AddHost puts a host at an address. The host that was there before is dead.
func (w *World) AddHost(core cornelwall.Core, self cornelwall.Incarnation, addr netip.AddrPort) *Host {
	if old := w.hosts[addr]; old != nil {
		old.Dead = true
	}
	h := &Host{Core: core, Self: self, Addr: addr}
	w.hosts[addr] = h
	w.Post(h, cornelwall.Tick{})
	return h
}

// Post hands an event to a host now.
func (w *World) Post(h *Host, ev cornelwall.Event) { w.PostAfter(0, h, ev) }

// PostAfter hands an event to a host after a delay.
func (w *World) PostAfter(d time.Duration, h *Host, ev cornelwall.Event) {
	w.seq++
	w.queue.Push(scheduled{at: w.Now.Add(d), seq: w.seq, host: h, ev: ev})
}

// CallAfter calls f after a delay.
func (w *World) CallAfter(d time.Duration, f func()) {
	w.seq++
	w.queue.Push(scheduled{at: w.Now.Add(d), seq: w.seq, call: f})
}

// Freeze stops a host from acting; what comes to it waits.
func (w *World) Freeze(h *Host) { h.Frozen = true }

// Thaw lets a frozen host go on.
func (w *World) Thaw(h *Host) {
	h.Frozen = false
	if resume := h.resume; resume != nil {
		h.resume = nil
		resume()
	}
	held := h.heldEvents
	h.heldEvents = nil
	for _, ev := range held {
		w.Post(h, ev)
	}
	w.Post(h, cornelwall.Tick{})
}

// Advance lets time pass.
func (w *World) Advance(d time.Duration) {
	end := w.Now.Add(d)
	for w.queue.Len() > 0 && !w.queue.Top().at.After(end) {
		s := w.queue.Pop()
		w.Now = s.at
		if s.call != nil {
			s.call()
			continue
		}
		w.deliver(s.host, s.ev)
	}
	w.Now = end
}

func (w *World) deliver(h *Host, ev cornelwall.Event) {
	if h.Dead {
		return
	}
	if h.Frozen {
		if _, ok := ev.(cornelwall.Tick); !ok {
			h.heldEvents = append(h.heldEvents, ev)
		}
		return
	}
	_, tick := ev.(cornelwall.Tick)
	if tick && !h.nextTick.After(w.Now) {
		h.nextTick = time.Time{}
	}
	switch {
	case h.StepDelay == nil && !h.busy:
		w.execute(h, h.Core.Step(w.Now, ev))
		w.scheduleTick(h)
		return
	case tick:
		h.tickDue = true
	default:
		h.enqueue(ev)
	}
	if !h.busy {
		h.busy, h.batchStart, h.batchSize = true, w.Now, 0
		w.handleNext(h)
	}
}

// enqueue adds an event to those that wait. As in the real loop, word that a caller has left
// comes first, and a batch that still waits then is dropped.
func (l *eventLoop) enqueue(ev cornelwall.Event) {
	gone, ok := ev.(cornelwall.CallerGone)
	if !ok {
		l.queue = append(l.queue, ev)
		return
	}
	l.queue = slices.DeleteFunc(l.queue, func(ev cornelwall.Event) bool {
		s, ok := ev.(cornelwall.SubmitBatch)
		return ok && s.Req == gone.Req
	})
	l.queue = slices.Insert(l.queue, 0, ev)
}

// handleNext lets a slow host handle an event: it ends a batch before it looks at its timer.
func (w *World) handleNext(h *Host) {
	if !w.canRun(h, func() { w.handleNext(h) }) {
		return
	}
	var ev cornelwall.Event
	switch {
	case len(h.queue) > 0 && (h.batchSize > 0 || !h.tickDue) && h.batchSize <= maxBatch:
		h.batchSize++
		ev, h.queue = h.queue[0], h.queue[1:]
	case h.batchSize > 0:
		w.scheduleTick(h)
		h.batchStart, h.batchSize = w.Now, 0
		w.handleNext(h)
		return
	case h.tickDue:
		h.tickDue = false
		ev = cornelwall.Tick{}
	default:
		h.busy = false
		return
	}
	var d Delay
	if h.StepDelay != nil {
		d = h.StepDelay()
	}
	w.CallAfter(d.BeforeStep, func() { w.step(h, ev, d.BeforeSend) })
}

// step lets a slow host handle an event and sends its commands after a while.
func (w *World) step(h *Host, ev cornelwall.Event, during time.Duration) {
	if !w.canRun(h, func() { w.step(h, ev, during) }) {
		return
	}
	now := w.Now
	if h.SharedBatchTime && h.batchSize > 0 {
		now = h.batchStart
	}
	cmds := h.Core.Step(now, ev)
	w.CallAfter(during, func() { w.sendCommands(h, cmds) })
}

func (w *World) sendCommands(h *Host, cmds []cornelwall.Command) {
	if !w.canRun(h, func() { w.sendCommands(h, cmds) }) {
		return
	}
	w.execute(h, cmds)
	if h.batchSize == 0 {
		w.scheduleTick(h)
	}
	w.handleNext(h)
}

// canRun reports whether a host may go on. One that is frozen goes on later.
func (w *World) canRun(h *Host, resume func()) bool {
	if h.Frozen && !h.Dead {
		h.resume = resume
	}
	return !h.Frozen && !h.Dead
}

// scheduleTick sets the timer of a host.
func (w *World) scheduleTick(h *Host) {
	next := h.Core.Next()
	if h.nextTick.IsZero() || next.Before(h.nextTick) {
		h.nextTick = next
		w.PostAfter(max(0, next.Sub(w.Now)), h, cornelwall.Tick{})
	}
}

func (w *World) execute(h *Host, cmds []cornelwall.Command) {
	var envelopes []*cornelwall.Envelope
	var addrs []netip.AddrPort
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case cornelwall.Send:
			i := len(envelopes) - 1
			for i >= 0 && (addrs[i] != cmd.Addr || envelopes[i].To != cmd.To) {
				i--
			}
			if i < 0 {
				envelopes = append(envelopes, &cornelwall.Envelope{From: h.Self, To: cmd.To})
				addrs = append(addrs, cmd.Addr)
				i = len(envelopes) - 1
			}
			envelopes[i].Messages = append(envelopes[i].Messages, cmd.Message)
		case cornelwall.RunTask:
			if w.StartTask != nil {
				w.StartTask(h, cmd)
				continue
			}
			after, result := w.TaskResult(h, cmd)
			result.Took = after
			w.PostAfter(after, h, cornelwall.TaskEnded{Attempt: cmd.Start.Attempt, Result: result})
		case cornelwall.PollEndpoint, cornelwall.StartRun, cornelwall.StopRun:
			w.HandleOrder(h, cmd)
		case cornelwall.StoreGet, cornelwall.StoreCreate, cornelwall.SetWatch:
			w.Store.handle(w, h, cmd)
		default:
			if w.OnOutput != nil {
				w.OnOutput(h, cmd)
			}
		}
	}
	for i, e := range envelopes {
		w.send(h, addrs[i], *e)
	}
}

func (w *World) send(h *Host, addr netip.AddrPort, e cornelwall.Envelope) {
	w.Envelopes++
	w.Messages += len(e.Messages)
	fate := Delivery{Delays: []time.Duration{0}}
	to := w.hosts[addr]
	switch {
	case to == nil || to.Dead:
		fate = Delivery{ReportAfter: time.Millisecond}
		fate.ConnRefused = to == nil || !to.PoweredOff
	case w.Link != nil:
		fate = w.Link(h.Self, to.Self, e)
	}
	for _, d := range fate.Delays {
		w.CallAfter(d, func() {
			if to := w.hosts[addr]; to != nil {
				w.deliver(to, cornelwall.Receive{Envelope: e})
			}
		})
	}
	if fate.ReportAfter > 0 {
		w.PostAfter(fate.ReportAfter, h, cornelwall.Undelivered{Envelope: e, ConnRefused: fate.ConnRefused})
	}
}

// scheduled is an event or a call at a time.
type scheduled struct {
	at   time.Time
	seq  uint64
	host *Host
	ev   cornelwall.Event
	call func()
}

// earlier reports whether a comes before b: at an earlier time, or planned earlier.
func earlier(a, b scheduled) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.seq < b.seq
}
