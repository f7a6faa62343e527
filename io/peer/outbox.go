package peer

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"cornelwall"
)

const (
	maxOutboxMessages = 1 << 14  // messages that wait for one entry
	maxOutboxBytes    = 64 << 20 // bytes of messages that wait for one entry
	maxBatchMessages  = 4096     // messages in one envelope
	maxBatchBytes     = 4 << 20  // bytes of messages after which an envelope is full
	messageOverhead   = 256      // of a message, or of a task in it, without its body
	outboxIdleTimeout = time.Minute
)

// outboxKey names an outbox. What goes apart has one of its own, so that a large envelope or
// a connection that went silent does not hold it up.
type outboxKey struct {
	addr      netip.AddrPort
	unordered bool
}

// outbox holds what waits to be sent to one address. A goroutine of its own empties it,
// so that a slow entry holds up no other.
type outbox struct {
	key         outboxKey
	client      *connect.Client[cornelwall.Envelope, Ack]
	queue       []cornelwall.Send
	queuedBytes int // of the messages that wait
	wake        chan struct{}
}

// outboxFor returns the outbox of a key. The caller holds mu.
func (p *Peers) outboxFor(key outboxKey) *outbox {
	box := p.outboxes[key]
	if box == nil {
		box = &outbox{
			key: key,
			client: connect.NewClient[cornelwall.Envelope, Ack](p.client, "http://"+key.addr.String()+procedure,
				connect.WithCodec(NewCodec()), connect.WithReadMaxBytes(maxEnvelope), connect.WithInterceptors(p.auth()),
				connect.WithAcceptCompression(gzip, nil, nil)),
			wake: make(chan struct{}, 1),
		}
		p.outboxes[key] = box
		p.wg.Go(func() { p.sendLoop(box) })
	}
	return box
}

// add queues a message and reports whether there was room for it. A message is never
// too large for an empty outbox.
func (b *outbox) add(s cornelwall.Send) bool {
	size := estimateSize(&s.Message)
	if len(b.queue) >= maxOutboxMessages || len(b.queue) > 0 && b.queuedBytes+size > maxOutboxBytes {
		return false
	}
	b.queue = append(b.queue, s)
	b.queuedBytes += size
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// nextEnvelope removes the next batch: messages in order to the same incarnation.
func (b *outbox) nextEnvelope() (e cornelwall.Envelope, ok bool) {
	if len(b.queue) == 0 {
		return e, false
	}
	e.To = b.queue[0].To
	n, size := 0, 0
	for n < len(b.queue) && n < maxBatchMessages && b.queue[n].To == e.To && size < maxBatchBytes {
		s := &b.queue[n]
		next := estimateSize(&s.Message)
		if n > 0 && size+next > maxEnvelope/2 {
			break // two large messages must not make an envelope that is refused
		}
		e.Messages = append(e.Messages, s.Message)
		size += next
		*s = cornelwall.Send{} // so that the body is not kept
		n++
	}
	b.queue = b.queue[n:]
	b.queuedBytes -= size
	return e, true
}

// estimateSize returns about how many bytes a message takes.
func estimateSize(m *cornelwall.Message) int {
	size := messageOverhead
	switch {
	case m.Forward != nil && m.Forward.Job != nil:
		for i := range m.Forward.Job.Tasks {
			size += messageOverhead + len(m.Forward.Job.Tasks[i].Body)
		}
	case m.ForwardReply != nil:
		for i := range m.ForwardReply.Answer.Tasks {
			size += messageOverhead + len(m.ForwardReply.Answer.Tasks[i].Body)
		}
	case m.RecordTransfer != nil:
		for i := range m.RecordTransfer.Records {
			size += m.RecordTransfer.Records[i].Bytes()
		}
	case m.Profiles != nil:
		size += messageOverhead * len(m.Profiles.Profiles)
	}
	return size
}

// sendLoop sends what waits in an outbox until it has been idle for long or the peers end.
func (p *Peers) sendLoop(box *outbox) {
	idle := time.NewTimer(outboxIdleTimeout)
	defer idle.Stop()
	for {
		p.sendQueued(box)
		idle.Reset(outboxIdleTimeout)
		select {
		case <-p.ctx.Done():
			return
		case <-p.closing:
			p.sendQueued(box)
			return
		case <-box.wake:
		case <-idle.C:
			if p.removeIfEmpty(box) {
				return
			}
		}
	}
}

// sendQueued sends one envelope after the other, which keeps the messages in order.
func (p *Peers) sendQueued(box *outbox) {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		e, ok := box.nextEnvelope()
		p.mu.Unlock()
		if !ok {
			return
		}
		e.From = p.cfg.Self
		p.sendEnvelope(box, e)
	}
}

// removeIfEmpty removes an empty outbox.
func (p *Peers) removeIfEmpty(box *outbox) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(box.queue) > 0 {
		return false
	}
	delete(p.outboxes, box.key)
	return true
}

func (p *Peers) sendEnvelope(box *outbox, e cornelwall.Envelope) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.Timeout)
	defer cancel()
	sentEnvelopes.Inc()
	sentMessages.Add(len(e.Messages))
	if _, err := box.client.CallUnary(ctx, connect.NewRequest(&e)); err != nil {
		lostEnvelopes.Inc()
		p.log.V(1).Info("undelivered", "to", e.To, "addr", box.key.addr, "messages", len(e.Messages), "err", err)
		p.reportUndelivered(e, errors.Is(err, syscall.ECONNREFUSED))
	}
}

func (p *Peers) reportUndelivered(e cornelwall.Envelope, refused bool) {
	p.sink.Post(cornelwall.Undelivered{Envelope: e, ConnRefused: refused})
}
