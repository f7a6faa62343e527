package fuzz

import (
	"net/netip"
	"time"

	"cornelwall"
	"cornelwall/io/peer"
	"cornelwall/standin/fake"
)

const (
	packetBytes     = 8 << 10
	windowBytes     = 64 << 10 // of a flow that have left the sender and have not arrived
	headerBytes     = 200      // of a request or an answer
	linkLatency     = 500 * time.Microsecond
	thinRate        = 3e6                    // bytes a second
	wideRate        = 30e6                   // bytes a second
	wideLinkEvery   = 10                     // one of so many entries has wide links
	envelopeTimeout = 250 * time.Millisecond // of an envelope, as in cmd/cornelwall
	silenceTimeout  = 600 * time.Millisecond // of a bulk envelope or a fetch without progress
	minListBackoff  = 100 * time.Millisecond // before a list of the store that failed is read again
	maxListBackoff  = 800 * time.Millisecond
	storeFormFactor = 1.5 // size of a configuration in the store (JSON in base64), relative to that in messages
)

// thinLinks carries what goes to and from entries over links that pass a limited number of bytes a
// second. Each entry has a link in each direction. What leaves an entry takes turns packet by packet;
// what goes to it queues in the order in which it comes.
type thinLinks struct {
	r           *rig
	wholeLists  bool // a list of the store has to arrive within silenceTimeout, whatever its progress
	ports       map[netip.AddrPort]*port
	outboxes    map[outboxKey]*outbox
	codec       peer.Codec
	configSizes map[uint64]int          // bytes, by version
	stored      *cornelwall.QueueConfig // in the store
	thinLinkCounts
	lostMessages messageCounts // of the lost envelopes that carried no configuration
}

// thinLinkCounts is what has happened on the links.
type thinLinkCounts struct {
	asked, sent        int                             // messages that ask for a configuration and that carry one
	fetches            [cornelwall.FetchFailed + 1]int // by result
	lists, brokenLists int                             // reads of the configuration in the store
	configBytes        int                             // that went to entries
	envelopes, lost    int
	lostWithoutConfig  int // lost envelopes that carried no configuration
}

// port is the two links of an entry.
type port struct {
	rate    float64   // bytes a second, each way
	freeAt  time.Time // when the link to the entry has passed all that waits for it
	leaving []*flow   // in the order of their turns
	sending bool
	in      map[crossing]float64 // how often a configuration came in
	out     float64              // how often any configuration went out
	heardAt map[string]time.Time // when the last heartbeat of each entry arrived
	reader  *listReader
}

// crossing is a version of the configuration on its way to a host.
type crossing struct {
	host    *fake.Host
	version uint64
}

// flow is a number of bytes on their way to an entry.
type flow struct {
	sender     *fake.Host // nil for the store
	from, to   *port      // from is nil for the store
	size       int
	left       int // bytes that have left
	arrived    int
	progressAt time.Time
	ended      bool
	done       func()
	crossing   crossing
	configs    float64 // configurations that it carries
}

func newThinLinks(r *rig, wholeLists bool) *thinLinks {
	t := &thinLinks{
		r: r, wholeLists: wholeLists, ports: map[netip.AddrPort]*port{}, outboxes: map[outboxKey]*outbox{}, codec: peer.NewCodec(),
		configSizes: map[uint64]int{}, lostMessages: messageCounts{},
	}
	for i, e := range r.entries {
		rate := thinRate
		if i%wideLinkEvery == 0 {
			rate = wideRate
		}
		p := &port{rate: rate, in: map[crossing]float64{}, heardAt: map[string]time.Time{}}
		p.reader = &listReader{t: t, entry: e, port: p, backoff: minListBackoff}
		t.ports[e.addr] = p
	}
	r.w.SendMessage, r.w.StartFetch = t.add, t.fetch
	return t
}

// start starts a flow. Done is called when all of it has arrived.
func (t *thinLinks) start(f *flow) *flow {
	f.progressAt = t.r.w.Now
	if f.from == nil {
		t.fill(f)
		return f
	}
	f.from.leaving = append(f.from.leaving, f)
	t.sendPacket(f.from)
	return f
}

// fill sends as much of a flow of the store as its window allows.
func (t *thinLinks) fill(f *flow) {
	for !f.ended && f.left < f.size && f.left-f.arrived < windowBytes {
		n := min(packetBytes, f.size-f.left)
		f.left += n
		t.arrive(f, n)
	}
}

// sendPacket lets the next flow of an entry send a packet.
func (t *thinLinks) sendPacket(p *port) {
	if p.sending {
		return
	}
	f := p.nextFlow()
	if f == nil {
		return
	}
	n := min(packetBytes, f.size-f.left)
	f.left += n
	p.out += f.configsIn(n)
	p.sending = true
	t.r.w.CallAfter(p.transit(n), func() {
		p.sending = false
		t.r.w.CallAfter(linkLatency, func() { t.arrive(f, n) })
		t.sendPacket(p)
	})
}

// nextFlow returns the flow whose turn it is, or nil if none may send. It forgets flows that have nothing
// left to send, and those of dead hosts.
func (p *port) nextFlow() *flow {
	for range len(p.leaving) {
		f := p.leaving[0]
		p.leaving = p.leaving[1:]
		if f.ended || f.left == f.size || f.sender.Dead {
			continue
		}
		p.leaving = append(p.leaving, f)
		if f.left-f.arrived < windowBytes {
			return f
		}
	}
	return nil
}

// configsIn returns how many configurations some bytes of a flow amount to.
func (f *flow) configsIn(n int) float64 { return f.configs * float64(n) / float64(f.size) }

// transit returns how long a link takes for some bytes.
func (p *port) transit(n int) time.Duration {
	return time.Duration(float64(n) / p.rate * float64(time.Second))
}

// arrive queues a packet at the link to its receiver.
func (t *thinLinks) arrive(f *flow, n int) {
	p := f.to
	if p.freeAt.Before(t.r.w.Now) {
		p.freeAt = t.r.w.Now
	}
	p.freeAt = p.freeAt.Add(p.transit(n))
	if f.configs > 0 {
		t.configBytes += n
		p.in[f.crossing] += f.configsIn(n)
	}
	t.r.w.CallAfter(p.freeAt.Sub(t.r.w.Now), func() { t.take(f, n) })
}

// take hands a packet to its receiver.
func (t *thinLinks) take(f *flow, n int) {
	f.arrived += n
	f.progressAt = t.r.w.Now
	if f.arrived == f.size && !f.ended {
		f.ended = true
		f.done()
	}
	if f.from == nil {
		t.fill(f)
		return
	}
	t.sendPacket(f.from)
}

// giveUp ends a flow that has not arrived within a time.
func (t *thinLinks) giveUp(f *flow, after time.Duration, lost func()) {
	t.r.w.CallAfter(after, func() {
		if !f.ended {
			f.ended = true
			lost()
		}
	})
}

// giveUpSilent ends a flow that has made no progress for silenceTimeout.
func (t *thinLinks) giveUpSilent(f *flow, lost func()) {
	t.r.w.CallAfter(f.progressAt.Add(silenceTimeout).Sub(t.r.w.Now), func() {
		switch {
		case f.ended:
		case t.r.w.Now.Sub(f.progressAt) < silenceTimeout:
			t.giveUpSilent(f, lost)
		default:
			f.ended = true
			lost()
		}
	})
}

// configSize returns the bytes of a configuration in a message.
func (t *thinLinks) configSize(cfg *cornelwall.QueueConfig) int {
	size, ok := t.configSizes[cfg.Version]
	if !ok {
		size = t.encodedSize(cfg)
		t.configSizes[cfg.Version] = size
	}
	return size
}

func (t *thinLinks) encodedSize(m any) int {
	b, err := t.codec.Marshal(m)
	if err != nil {
		panic(err) // these types can be encoded
	}
	return len(b)
}

// configOf returns the configuration that a message carries, or nil.
func configOf(m *cornelwall.Message) *cornelwall.QueueConfig {
	if m.QueueConfigSync == nil {
		return nil
	}
	return m.QueueConfigSync.Config
}

// messageSize returns the bytes of a message.
func (t *thinLinks) messageSize(m *cornelwall.Message) int {
	if cfg := configOf(m); cfg != nil {
		return t.configSize(cfg)
	}
	return t.encodedSize(m)
}

// outboxKey identifies the messages to an address that wait for each other, as in io/peer.
type outboxKey struct {
	host            *fake.Host
	addr            netip.AddrPort
	unordered, bulk bool
}

// outbox sends one envelope after the other, each with all messages that wait.
type outbox struct {
	key      outboxKey
	queue    []cornelwall.Send
	inFlight bool
	sentAt   time.Time  // of the envelope in flight
	to       *fake.Host // of the envelope in flight
}

// add queues a message. What the same step sends shares its envelope.
func (t *thinLinks) add(h *fake.Host, s cornelwall.Send) {
	key := outboxKey{h, s.Addr, s.Unordered, s.Bulk}
	b := t.outboxes[key]
	if b == nil {
		b = &outbox{key: key}
		t.outboxes[key] = b
	}
	t.countSync(&s.Message)
	b.queue = append(b.queue, s)
	if len(b.queue) == 1 {
		t.r.w.CallAfter(0, func() { t.sendEnvelope(b) })
	}
}

func (t *thinLinks) countSync(m *cornelwall.Message) {
	switch {
	case m.QueueConfigSync == nil:
	case m.QueueConfigSync.Config == nil:
		t.asked++
	default:
		t.sent++
	}
}

// nextEnvelope takes the messages at the head of the queue that go to one incarnation. It copies
// configurations, as an encoder does.
func (b *outbox) nextEnvelope() cornelwall.Envelope {
	e := cornelwall.Envelope{From: b.key.host.Self, To: b.queue[0].To}
	for len(b.queue) > 0 && b.queue[0].To == e.To {
		m := b.queue[0].Message
		if cfg := configOf(&m); cfg != nil {
			encoded := *cfg
			m = cornelwall.Message{QueueConfigSync: &cornelwall.QueueConfigSync{Config: &encoded}}
		}
		e.Messages = append(e.Messages, m)
		b.queue = b.queue[1:]
	}
	return e
}

// sendEnvelope sends the next envelope of an outbox, unless one is in flight.
func (t *thinLinks) sendEnvelope(b *outbox) {
	if b.inFlight || len(b.queue) == 0 || b.key.host.Dead {
		return
	}
	e := b.nextEnvelope()
	to := t.r.w.HostAt(b.key.addr)
	b.inFlight, b.sentAt, b.to = true, t.r.w.Now, to
	t.envelopes++
	if to == nil || to.Dead {
		t.r.w.CallAfter(2*linkLatency, func() { t.endEnvelope(b, &e, true, true) })
		return
	}
	f := &flow{sender: b.key.host, from: t.ports[b.key.host.Addr], to: t.ports[b.key.addr], size: headerBytes}
	for i := range e.Messages {
		if cfg := configOf(&e.Messages[i]); cfg != nil {
			f.configs, f.crossing = f.configs+1, crossing{to, cfg.Version}
		}
		f.size += t.messageSize(&e.Messages[i])
	}
	ack := &flow{sender: to, from: f.to, to: f.from, size: headerBytes}
	ack.done = func() { t.endEnvelope(b, &e, false, false) }
	f.done = func() {
		t.noteHeartbeats(f, &e)
		t.r.w.Post(to, cornelwall.Receive{Envelope: e})
		t.giveUpEnvelope(b, t.start(ack), &e)
	}
	t.giveUpEnvelope(b, t.start(f), &e)
}

// giveUpEnvelope limits the time of an envelope, or of its acknowledgement.
func (t *thinLinks) giveUpEnvelope(b *outbox, f *flow, e *cornelwall.Envelope) {
	lost := func() { t.endEnvelope(b, e, true, false) }
	if b.key.bulk {
		t.giveUpSilent(f, lost)
		return
	}
	t.giveUp(f, b.sentAt.Add(envelopeTimeout).Sub(t.r.w.Now), lost)
}

// noteHeartbeats notes whose heartbeats an entry receives.
func (t *thinLinks) noteHeartbeats(f *flow, e *cornelwall.Envelope) {
	for i := range e.Messages {
		if e.Messages[i].SessionHeartbeat != nil {
			f.to.heardAt[e.From.Entry] = t.r.w.Now
		}
	}
}

// endEnvelope reports a lost envelope and sends the next one.
func (t *thinLinks) endEnvelope(b *outbox, e *cornelwall.Envelope, lost, refused bool) {
	if lost {
		t.r.w.Post(b.key.host, cornelwall.Undelivered{Envelope: *e, ConnRefused: refused})
	}
	if lost && !refused && !b.key.host.Dead && !b.to.Dead {
		t.countLost(e)
	}
	b.inFlight = false
	t.sendEnvelope(b)
}

func (t *thinLinks) countLost(e *cornelwall.Envelope) {
	t.lost++
	for i := range e.Messages {
		if configOf(&e.Messages[i]) != nil {
			return
		}
	}
	t.lostWithoutConfig++
	t.lostMessages.add(e)
}

// fetch lets an entry fetch what another one serves.
func (t *thinLinks) fetch(h *fake.Host, cmd cornelwall.FetchQueueConfig) {
	sentAt := t.r.w.Now
	end := func(result cornelwall.FetchResult, cfg *cornelwall.QueueConfig) {
		t.fetches[result]++
		t.r.w.Post(h, cornelwall.QueueConfigFetched{From: cmd.From, Result: result, Config: cfg, Took: t.r.w.Now.Sub(sentAt)})
	}
	failed := func() { end(cornelwall.FetchFailed, nil) }
	from := t.r.w.HostAt(cmd.Addr)
	if from == nil || from.Dead {
		t.r.w.CallAfter(2*linkLatency, failed)
		return
	}
	request := &flow{sender: h, from: t.ports[h.Addr], to: t.ports[cmd.Addr], size: headerBytes}
	request.done = func() { t.answerFetch(h, from, cmd.Have, end) }
	t.giveUpSilent(t.start(request), failed)
}

// answerFetch sends the answer to a fetch.
func (t *thinLinks) answerFetch(h, from *fake.Host, have uint64, end func(cornelwall.FetchResult, *cornelwall.QueueConfig)) {
	answer := &flow{sender: from, from: t.ports[from.Addr], to: t.ports[h.Addr], size: headerBytes}
	result, cfg := from.AnswerFetch(have), (*cornelwall.QueueConfig)(nil)
	release := func() {}
	if result == cornelwall.FetchDone {
		cfg = from.Serves
		answer.size += t.configSize(cfg)
		answer.configs, answer.crossing = 1, crossing{h, cfg.Version}
		from.Transfers++
		release = func() { from.Transfers-- }
	}
	answer.done = func() { release(); end(result, cfg) }
	t.giveUpSilent(t.start(answer), func() { release(); end(cornelwall.FetchFailed, nil) })
}

// listReader reads the configuration in the store for an entry.
type listReader struct {
	t       *thinLinks
	entry   *entry
	port    *port
	host    *fake.Host // for which it reads
	have    uint64     // version that it has passed on
	reading bool
	backoff time.Duration // before it reads again after a failure
}

// publish stores a configuration and tells the entries that can reach the store.
func (t *thinLinks) publish(cfg *cornelwall.QueueConfig) {
	t.stored = cfg
	for _, e := range t.r.entries {
		t.ports[e.addr].reader.read()
	}
}

// read reads the configuration if there is a newer one and the store can be reached.
func (l *listReader) read() {
	t, e := l.t, l.entry
	if l.host != e.host {
		l.host, l.have, l.reading, l.backoff = e.host, 0, false, minListBackoff
	}
	if !e.up() || e.platformCut || l.reading || t.stored == nil || l.have >= t.stored.Version {
		return
	}
	cfg, h := t.stored, e.host
	size := int(storeFormFactor * float64(t.configSize(cfg)))
	f := &flow{to: l.port, size: size, configs: 1, crossing: crossing{h, cfg.Version}}
	l.reading = true
	t.lists++
	f.done = func() { l.end(h, cfg) }
	lost := func() { l.fail(h) }
	if t.start(f); t.wholeLists {
		t.giveUp(f, silenceTimeout, lost)
		return
	}
	t.giveUpSilent(f, lost)
}

// end passes on a configuration that was read, unless the store can't be reached any more.
func (l *listReader) end(h *fake.Host, cfg *cornelwall.QueueConfig) {
	if l.host != h {
		return
	}
	if l.entry.platformCut {
		l.fail(h)
		return
	}
	l.reading, l.have, l.backoff = false, cfg.Version, minListBackoff
	l.t.r.w.Post(h, cornelwall.QueueConfigRead{Config: cfg})
	l.read()
}

// fail reads the configuration again after a backoff.
func (l *listReader) fail(h *fake.Host) {
	if l.host != h {
		return
	}
	l.t.brokenLists++
	l.t.r.w.CallAfter(l.backoff, func() {
		if l.host == h {
			l.reading = false
			l.read()
		}
	})
	l.backoff = min(2*l.backoff, maxListBackoff)
}
