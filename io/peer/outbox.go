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
	maxOutbox      = 1 << 14  // messages that wait for one entry
	maxOutboxBytes = 64 << 20 // bytes of messages that wait for one entry
	batchCount     = 4096     // messages in one envelope
	batchBytes     = 4 << 20  // bytes of messages after which an envelope is full
	messageBytes   = 256      // of a message, or of a task in it, without its body
	idleOutbox     = time.Minute
)

// boxKey names an outbox. What goes apart has one of its own, so that a large envelope or
// a connection that went silent does not hold it up.
type boxKey struct {
	addr  netip.AddrPort
	apart bool
}

// outbox holds what waits to be sent to one address. A goroutine of its own empties it,
// so that a slow entry holds up no other.
type outbox struct {
	key     boxKey
	client  *connect.Client[cornelwall.Envelope, Ack]
	waiting []cornelwall.Send
	bytes   int // of the messages that wait
	wake    chan struct{}
}

// box returns the outbox of a key. The caller holds mu.
func (p *Peers) box(key boxKey) *outbox {
	box := p.boxes[key]
	if box == nil {
		box = &outbox{
			key: key,
			client: connect.NewClient[cornelwall.Envelope, Ack](p.client, "http://"+key.addr.String()+procedure,
				connect.WithCodec(NewCodec()), connect.WithReadMaxBytes(maxEnvelope), connect.WithInterceptors(p.auth()),
				connect.WithAcceptCompression(gzip, nil, nil)),
			wake: make(chan struct{}, 1),
		}
		p.boxes[key] = box
		p.wg.Go(func() { p.drain(box) })
	}
	return box
}

// add queues a message and reports whether there was room for it. A message is never
// too large for an empty outbox.
func (b *outbox) add(s cornelwall.Send) bool {
	size := sizeOf(&s.Message)
	if len(b.waiting) >= maxOutbox || len(b.waiting) > 0 && b.bytes+size > maxOutboxBytes {
		return false
	}
	b.waiting = append(b.waiting, s)
	b.bytes += size
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// next removes the next batch: messages in order to the same incarnation.
func (b *outbox) next() (e cornelwall.Envelope, ok bool) {
	if len(b.waiting) == 0 {
		return e, false
	}
	e.To = b.waiting[0].To
	n, size := 0, 0
	for n < len(b.waiting) && n < batchCount && b.waiting[n].To == e.To && size < batchBytes {
		s := &b.waiting[n]
		next := sizeOf(&s.Message)
		if n > 0 && size+next > maxEnvelope/2 {
			break // two large messages must not make an envelope that is refused
		}
		e.Messages = append(e.Messages, s.Message)
		size += next
		*s = cornelwall.Send{} // so that the body is not kept
		n++
	}
	b.waiting = b.waiting[n:]
	b.bytes -= size
	return e, true
}

// sizeOf returns about how many bytes a message takes.
func sizeOf(m *cornelwall.Message) int {
	size := messageBytes
	switch {
	case m.Forward != nil && m.Forward.Job != nil:
		for i := range m.Forward.Job.Tasks {
			size += messageBytes + len(m.Forward.Job.Tasks[i].Body)
		}
	case m.ForwardReply != nil:
		for i := range m.ForwardReply.Answer.Tasks {
			size += messageBytes + len(m.ForwardReply.Answer.Tasks[i].Body)
		}
	case m.RecordTransfer != nil:
		for i := range m.RecordTransfer.Records {
			size += m.RecordTransfer.Records[i].Bytes()
		}
	case m.Profiles != nil:
		size += messageBytes * len(m.Profiles.Profiles)
	}
	return size
}

// drain sends what waits in an outbox until it has been idle for long or the peers end.
func (p *Peers) drain(box *outbox) {
	idle := time.NewTimer(idleOutbox)
	defer idle.Stop()
	for {
		p.sendAll(box)
		idle.Reset(idleOutbox)
		select {
		case <-p.ctx.Done():
			return
		case <-p.closing:
			p.sendAll(box)
			return
		case <-box.wake:
		case <-idle.C:
			if p.drop(box) {
				return
			}
		}
	}
}

// sendAll sends one envelope after the other, which keeps the messages in order.
func (p *Peers) sendAll(box *outbox) {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		e, ok := box.next()
		p.mu.Unlock()
		if !ok {
			return
		}
		e.From = p.cfg.Self
		p.deliver(box, e)
	}
}

// drop removes an empty outbox.
func (p *Peers) drop(box *outbox) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(box.waiting) > 0 {
		return false
	}
	delete(p.boxes, box.key)
	return true
}

func (p *Peers) deliver(box *outbox, e cornelwall.Envelope) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.Timeout)
	defer cancel()
	sentEnvelopes.Inc()
	sentMessages.Add(len(e.Messages))
	if _, err := box.client.CallUnary(ctx, connect.NewRequest(&e)); err != nil {
		lostEnvelopes.Inc()
		p.log.V(1).Info("undelivered", "to", e.To, "addr", box.key.addr, "messages", len(e.Messages), "err", err)
		p.giveBack(e, errors.Is(err, syscall.ECONNREFUSED))
	}
}

func (p *Peers) giveBack(e cornelwall.Envelope, refused bool) {
	p.post.Post(cornelwall.Undelivered{Envelope: e, ConnRefused: refused})
}
