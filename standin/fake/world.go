// Package fake simulates several entries in one goroutine under a virtual clock. The cores
// are the real ones; the network, the machines and the platform are small fakes.
//
// # Usage
//
//	w := fake.NewWorld(start)
//	w.Link = func(from, to cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery { ... }
//	w.TaskResult = func(h *fake.Host, r cornelwall.RunTask) (time.Duration, cornelwall.Result) { ... }
//	h := w.AddHost(core, self, addr)
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

// World holds the hosts and the queue of scheduled events. Its function fields decide every
// delay, loss and result, so that a run depends on nothing but the seed of the test.
type World struct {
	Now   time.Time
	Store *Store
	// Link decides how an envelope is delivered. Nil delivers all without delay.
	Link func(from, to cornelwall.Incarnation, e cornelwall.Envelope) Delivery
	// SendMessage, unless nil, replaces Link: it carries a message and posts its arrival or its loss.
	SendMessage func(h *Host, s cornelwall.Send)
	// FetchLink decides how long a fetch of a queue configuration takes, and whether the answer arrives.
	// Nil lets all arrive after fetchTime.
	FetchLink func(from, to cornelwall.Incarnation) (took time.Duration, ok bool)
	// StartFetch, unless nil, replaces FetchLink: it fetches what the other host serves, and posts the end.
	StartFetch func(h *Host, cmd cornelwall.FetchQueueConfig)
	// TaskResult decides the result of a task and how long it takes.
	TaskResult func(h *Host, r cornelwall.RunTask) (time.Duration, cornelwall.Result)
	// StartTask, unless nil, replaces TaskResult: it starts the task and reports the end with
	// PostAfter.
	StartTask func(h *Host, r cornelwall.RunTask)
	// HandleOrder handles the polls, starts and stops for leased endpoints.
	HandleOrder func(h *Host, cmd cornelwall.Command)
	// OnOutput, unless nil, receives all other commands: replies, logs and counts.
	OnOutput func(h *Host, cmd cornelwall.Command)

	Envelopes int // sent
	Messages  int // sent

	hosts map[netip.AddrPort]*Host
	queue *heap.Heap[scheduled]
	seq   uint64
}

// Delivery is how the network treats an envelope: one copy arrives after each of the delays.
// Without delays, the envelope is lost.
type Delivery struct {
	Delays      []time.Duration
	ReportAfter time.Duration // until the sender learns of a loss; 0 is never
	// ConnRefused makes the reported loss a refused connection.
	ConnRefused bool
}

// Host runs one core.
type Host struct {
	Core       cornelwall.Core
	Self       cornelwall.Incarnation
	Addr       netip.AddrPort
	Frozen     bool
	Dead       bool
	PoweredOff bool                    // of a dead host: connections to it are not refused
	Serves     *cornelwall.QueueConfig // what other hosts get when they fetch its queue configuration
	Transfers  int                     // fetches that it answers now

	// StepDelay returns the time that the host takes for an event. Events that arrive
	// meanwhile are queued. Nil is no delay; a host with StepDelay is called slow below.
	StepDelay func() Delay
	// SharedBatchTime gives all events of a batch the time at which the batch started.
	SharedBatchTime bool

	eventLoop
	heldEvents []cornelwall.Event // arrived while frozen
	nextTick   time.Time          // when the scheduled tick is due; zero if none is
	watching   bool
}

// Delay is the time that a host takes for an event: before the core reads the clock, and from
// then until its commands are sent.
type Delay struct{ BeforeStep, BeforeSend time.Duration }

const (
	fetchTime      = 3 * time.Millisecond
	silenceTimeout = 600 * time.Millisecond // after which a fetch without progress fails
	maxTransfers   = 2                      // fetches that a host answers at a time
)

// maxBatch is how many events after the first a slow host handles at most before it checks
// its timer.
const maxBatch = 256

// eventLoop is the state of the event loop of a slow host.
type eventLoop struct {
	busy       bool
	queue      []cornelwall.Event
	batchStart time.Time
	batchSize  int    // events so far
	tickDue    bool   // a tick arrived while the host was busy
	resume     func() // continues the step that Freeze interrupted
}

// NewWorld returns a world without hosts.
func NewWorld(start time.Time) *World {
	return &World{Now: start, Store: NewStore(), hosts: map[netip.AddrPort]*Host{}, queue: heap.New(earlier, nil)}
}

// HostAt returns the host at an address, or nil.
func (w *World) HostAt(addr netip.AddrPort) *Host { return w.hosts[addr] }

// AddHost adds a host at an address. A previous host at that address becomes dead.
func (w *World) AddHost(core cornelwall.Core, self cornelwall.Incarnation, addr netip.AddrPort) *Host {
	if old := w.hosts[addr]; old != nil {
		old.Dead = true
	}
	h := &Host{Core: core, Self: self, Addr: addr}
	w.hosts[addr] = h
	w.Post(h, cornelwall.Tick{})
	return h
}

// Post schedules an event for a host without delay.
func (w *World) Post(h *Host, ev cornelwall.Event) { w.PostAfter(0, h, ev) }

// PostAfter schedules an event for a host after a delay.
func (w *World) PostAfter(d time.Duration, h *Host, ev cornelwall.Event) {
	w.seq++
	w.queue.Push(scheduled{at: w.Now.Add(d), seq: w.seq, host: h, ev: ev})
}

// CallAfter schedules a call of f after a delay.
func (w *World) CallAfter(d time.Duration, f func()) {
	w.seq++
	w.queue.Push(scheduled{at: w.Now.Add(d), seq: w.seq, call: f})
}

// Freeze suspends a host. Events that arrive meanwhile are held back.
func (w *World) Freeze(h *Host) { h.Frozen = true }

// Thaw resumes a frozen host and posts the events that were held back.
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

// Advance runs everything that is scheduled within d and moves the clock by d.
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

// deliver passes an event to a host. The core of an idle host without StepDelay handles it
// at once.
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

// enqueue queues an event. As in the real event loop, CallerGone goes to the head of the queue
// and drops that caller's SubmitBatch if it is still queued.
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

// handleNext lets a slow host handle its next event. The host checks its timer only between
// batches.
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

// step lets the core of a slow host handle an event and sends its commands after beforeSend.
func (w *World) step(h *Host, ev cornelwall.Event, beforeSend time.Duration) {
	if !w.canRun(h, func() { w.step(h, ev, beforeSend) }) {
		return
	}
	now := w.Now
	if h.SharedBatchTime && h.batchSize > 0 {
		now = h.batchStart
	}
	cmds := h.Core.Step(now, ev)
	w.CallAfter(beforeSend, func() { w.sendCommands(h, cmds) })
}

// sendCommands executes the commands of a step and goes on to the next event.
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

// canRun reports whether a host may continue. A frozen host calls resume when it is thawed.
func (w *World) canRun(h *Host, resume func()) bool {
	if h.Frozen && !h.Dead {
		h.resume = resume
	}
	return !h.Frozen && !h.Dead
}

// scheduleTick schedules the next tick of a host, unless an earlier one is scheduled.
func (w *World) scheduleTick(h *Host) {
	next := h.Core.Next()
	if h.nextTick.IsZero() || next.Before(h.nextTick) {
		h.nextTick = next
		w.PostAfter(max(0, next.Sub(w.Now)), h, cornelwall.Tick{})
	}
}

// execute carries out the commands of a core. Messages to the same peer share an envelope.
func (w *World) execute(h *Host, cmds []cornelwall.Command) {
	var envelopes []*outgoing
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case cornelwall.Send:
			if w.SendMessage != nil {
				w.Messages++
				w.SendMessage(h, cmd)
				continue
			}
			envelopes = addMessage(envelopes, h, cmd)
		case cornelwall.ServeQueueConfig:
			h.Serves = cmd.Config
		case cornelwall.FetchQueueConfig:
			w.fetch(h, cmd)
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
	for _, e := range envelopes {
		w.send(h, e.addr, e.Envelope)
	}
}

// outgoing is an envelope that is put together.
type outgoing struct {
	cornelwall.Envelope
	addr netip.AddrPort
	bulk bool
}

// addMessage adds a message to the envelope to its peer. Bulk messages have envelopes of their own.
func addMessage(envelopes []*outgoing, h *Host, s cornelwall.Send) []*outgoing {
	i := len(envelopes) - 1
	for i >= 0 && (envelopes[i].addr != s.Addr || envelopes[i].To != s.To || envelopes[i].bulk != s.Bulk) {
		i--
	}
	if i < 0 {
		envelopes = append(envelopes, &outgoing{Envelope: cornelwall.Envelope{From: h.Self, To: s.To}, addr: s.Addr, bulk: s.Bulk})
		i = len(envelopes) - 1
	}
	envelopes[i].Messages = append(envelopes[i].Messages, s.Message)
	return envelopes
}

// fetch answers a FetchQueueConfig with one event. It fails if the other host dies before the end.
func (w *World) fetch(h *Host, cmd cornelwall.FetchQueueConfig) {
	if w.StartFetch != nil {
		w.StartFetch(h, cmd)
		return
	}
	sentAt := w.Now
	end := func(after time.Duration, result cornelwall.FetchResult, cfg *cornelwall.QueueConfig) {
		took := w.Now.Add(after).Sub(sentAt)
		w.PostAfter(after, h, cornelwall.QueueConfigFetched{From: cmd.From, Result: result, Config: cfg, Took: took})
	}
	from := w.hosts[cmd.Addr]
	switch {
	case from == nil || from.Dead && !from.PoweredOff:
		end(time.Millisecond, cornelwall.FetchFailed, nil)
		return
	case from.Dead || from.Frozen:
		end(silenceTimeout, cornelwall.FetchFailed, nil)
		return
	}
	took, ok := fetchTime, true
	if w.FetchLink != nil {
		took, ok = w.FetchLink(h.Self, from.Self)
	}
	result, cfg := from.AnswerFetch(cmd.Have), from.Serves
	if !ok || result != cornelwall.FetchDone {
		if !ok {
			result = cornelwall.FetchFailed
		}
		end(took, result, nil)
		return
	}
	from.Transfers++
	w.CallAfter(took, func() {
		from.Transfers--
		if from.Dead {
			end(0, cornelwall.FetchFailed, nil)
			return
		}
		end(0, cornelwall.FetchDone, cfg)
	})
}

// AnswerFetch returns how a host answers a fetch by an entry that has a version. With FetchDone, it sends
// Serves.
func (h *Host) AnswerFetch(have uint64) cornelwall.FetchResult {
	switch {
	case h.Serves == nil || h.Serves.Version <= have:
		return cornelwall.FetchNoNewer
	case h.Transfers >= maxTransfers:
		return cornelwall.FetchBusy
	}
	return cornelwall.FetchDone
}

func (w *World) send(h *Host, addr netip.AddrPort, e cornelwall.Envelope) {
	w.Envelopes++
	w.Messages += len(e.Messages)
	delivery := Delivery{Delays: []time.Duration{0}}
	to := w.hosts[addr]
	switch {
	case to == nil || to.Dead:
		delivery = Delivery{ReportAfter: time.Millisecond}
		delivery.ConnRefused = to == nil || !to.PoweredOff
	case w.Link != nil:
		delivery = w.Link(h.Self, to.Self, e)
	}
	for _, d := range delivery.Delays {
		w.CallAfter(d, func() {
			if to := w.hosts[addr]; to != nil {
				w.deliver(to, cornelwall.Receive{Envelope: e})
			}
		})
	}
	if delivery.ReportAfter > 0 {
		w.PostAfter(delivery.ReportAfter, h, cornelwall.Undelivered{Envelope: e, ConnRefused: delivery.ConnRefused})
	}
}

// scheduled is an event or a call that is due at a time.
type scheduled struct {
	at   time.Time
	seq  uint64
	host *Host
	ev   cornelwall.Event
	call func()
}

// earlier reports whether a comes before b: it is due earlier, or was scheduled first.
func earlier(a, b scheduled) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.seq < b.seq
}
