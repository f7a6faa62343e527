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
	outboxIdleTimeout   = time.Minute // after which an empty outbox is removed
)

// lane is one of the ways from an entry to an address. Each has an outbox and connections of its own, so
// that a large envelope or a silent connection of one does not delay the messages of another.
type lane int

const (
	ordered   lane = iota
	unordered      // messages that do not wait behind others
	bulk           // messages that may be large; an envelope is given up once it makes no progress
)

// laneOf returns the lane of a message.
func laneOf(s *cornelwall.Send) lane {
	switch {
	case s.Unordered:
		return unordered
	case s.Bulk:
		return bulk
	}
	return ordered
}

// outboxKey identifies an outbox.
type outboxKey struct {
	addr netip.AddrPort
	lane lane
}

// outbox is the queue of messages to one address. Each has its own sending goroutine, so that
// a slow entry does not delay messages to others.
type outbox struct {
	key         outboxKey
	client      *connect.Client[cornelwall.Envelope, Ack]
	timeout     time.Duration // of one envelope
	queue       []cornelwall.Send
	queuedBytes int // estimated size of queue
	wake        chan struct{}
}

// outboxFor returns the outbox of a key; it creates one and starts its goroutine if needed. The
// caller holds mu.
func (p *Peers) outboxFor(key outboxKey) *outbox {
	box := p.outboxes[key]
	if box == nil {
		client, timeout := p.client, p.cfg.Timeout
		if key.lane == bulk {
			client, timeout = p.bulkClient, transferLimit
		}
		box = &outbox{
			key:     key,
			client:  newClient[cornelwall.Envelope, Ack](p, client, key.addr, deliverProcedure),
			timeout: timeout,
			wake:    make(chan struct{}, 1),
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
	ctx, cancel := context.WithTimeout(p.ctx, box.timeout)
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
