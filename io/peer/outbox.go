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
	maxOutboxMessages   = 1 << 14     // messages in one outbox
	maxOutboxBytes      = 64 << 20    // bytes of the messages in one outbox
	maxEnvelopeMessages = 4096        // messages in one envelope
	fullEnvelopeBytes   = 4 << 20     // bytes of messages; an envelope with at least as many takes no more
	messageOverhead     = 256         // estimated bytes of a message, or of a task in it, without the body
	outboxIdleTimeout   = time.Minute // after which an empty outbox is removed
)

// outboxKey identifies an outbox. Unordered messages to an address have an outbox of their
// own, so that a large envelope or a silent connection does not delay them.
type outboxKey struct {
	addr      netip.AddrPort
	unordered bool
}

// outbox is the queue of messages to one address. Each has its own sending goroutine, so that
// a slow entry does not delay messages to others.
type outbox struct {
	key         outboxKey
	client      *connect.Client[cornelwall.Envelope, Ack]
	queue       []cornelwall.Send
	queuedBytes int // estimated size of queue
	wake        chan struct{}
}

// outboxFor returns the outbox of a key; it creates one and starts its goroutine if needed. The
// caller holds mu.
func (p *Peers) outboxFor(key outboxKey) *outbox {
	box := p.outboxes[key]
	if box == nil {
		box = &outbox{
			key: key,
			client: connect.NewClient[cornelwall.Envelope, Ack](p.client, "http://"+key.addr.String()+procedure,
				connect.WithCodec(NewCodec()), connect.WithReadMaxBytes(maxEnvelopeBytes), connect.WithInterceptors(p.auth()),
				connect.WithAcceptCompression(gzip, nil, nil)),
			wake: make(chan struct{}, 1),
		}
		p.outboxes[key] = box
		p.wg.Go(func() { p.sendLoop(box) })
	}
	return box
}

// add queues a message and reports whether the outbox had room for it. An empty outbox takes a
// message of any size.
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

// nextEnvelope removes consecutive messages to one incarnation from the head of the queue and
// returns them in an envelope.
func (b *outbox) nextEnvelope() (e cornelwall.Envelope, ok bool) {
	if len(b.queue) == 0 {
		return e, false
	}
	e.To = b.queue[0].To
	n, size := 0, 0
	for n < len(b.queue) && n < maxEnvelopeMessages && b.queue[n].To == e.To && size < fullEnvelopeBytes {
		s := &b.queue[n]
		added := estimateSize(&s.Message)
		if n > 0 && size+added > maxEnvelopeBytes/2 {
			break // the receiver would reject an envelope of two large messages
		}
		e.Messages = append(e.Messages, s.Message)
		size += added
		*s = cornelwall.Send{} // so that the body can be garbage collected
		n++
	}
	b.queue = b.queue[n:]
	b.queuedBytes -= size
	return e, true
}

// estimateSize returns approximately how many bytes a message takes.
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

// sendLoop sends the messages of an outbox until it has been idle for outboxIdleTimeout or
// Run ends.
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

// sendQueued empties the queue. It sends one envelope after the other, which keeps the
// messages in order.
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

// removeIfEmpty removes the outbox if it is empty, and reports whether it did.
func (p *Peers) removeIfEmpty(box *outbox) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(box.queue) > 0 {
		return false
	}
	delete(p.outboxes, box.key)
	return true
}

// sendEnvelope sends an envelope once. If the call fails, the envelope is reported to the core.
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

func (p *Peers) reportUndelivered(e cornelwall.Envelope, connRefused bool) {
	p.sink.Post(cornelwall.Undelivered{Envelope: e, ConnRefused: connRefused})
}
