package dispatch

import (
	"cornelwall"
)

// receive takes an envelope of another entry.
func (c *Core) receive(e cornelwall.Envelope) {
	if e.To.Epoch != 0 && e.To != c.cfg.Self {
		return // meant for an earlier life, which did what it did
	}
	for i := range e.Messages {
		m := &e.Messages[i]
		if m.SessionHeartbeat != nil {
			c.pulsed(e.From, m.SessionHeartbeat)
			continue
		}
		if c.peers[e.From] != nil {
			c.message(e.From, m)
		}
	}
}

// message takes one message that is no pulse.
func (c *Core) message(from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.Assign != nil:
		c.assigned(from, m.Assign)
	case m.BatchProgress != nil:
		c.boost(m.BatchProgress)
	case m.Withdraw != nil:
		c.withdraw(from, m.Withdraw)
	case m.RunResults != nil:
		for i := range m.RunResults.Runs {
			c.over(&m.RunResults.Runs[i])
		}
	case m.RunsStarted != nil:
		c.began(from, m.RunsStarted)
	case m.EndpointAcquired != nil:
		c.taken(from, m.EndpointAcquired)
	case m.Handover != nil:
		c.adopt(from, m.Handover)
	case m.HandoverDecline != nil:
		c.declined(from, m.HandoverDecline)
	case m.HandoverRequest != nil:
		c.claimed(from, m.HandoverRequest)
	case m.EndpointUpdate != nil:
		c.known(from, m.EndpointUpdate)
	case m.QueueConfigSync != nil && m.QueueConfigSync.Config != nil:
		c.declare(m.QueueConfigSync.Config)
	case m.QueueConfigSync != nil:
		if c.declared.Version != 0 {
			c.send(from, cornelwall.Message{QueueConfigSync: &cornelwall.QueueConfigSync{Config: &c.declared}})
		}
	case m.BatchCancellation != nil:
		c.revoke(m.BatchCancellation.ID)
	}
}

// undelivered takes back what may not have arrived. Tasks are withdrawn. What the other
// side waits for is sent again, as it does no harm twice; the rest is lost.
func (c *Core) undelivered(ev cornelwall.Undelivered) {
	p := c.peers[ev.Envelope.To]
	if p == nil {
		return
	}
	if ev.ConnRefused {
		c.died(p, "refused")
	}
	c.addLink(p) // for what is sent again
	for _, m := range ev.Envelope.Messages {
		switch {
		case m.Assign != nil && ev.ConnRefused:
			for i := range m.Assign.Tasks {
				c.over(&cornelwall.RunResult{RunID: m.Assign.Tasks[i].RunID, End: cornelwall.RunUnstarted})
			}
		case m.Assign != nil:
			runs := make([]cornelwall.RunID, 0, len(m.Assign.Tasks))
			for i := range m.Assign.Tasks {
				runs = append(runs, m.Assign.Tasks[i].RunID)
			}
			p.resend = append(p.resend, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: runs}})
		case m.Withdraw != nil || m.RunResults != nil || m.RunsStarted != nil || m.EndpointAcquired != nil || m.Handover != nil || m.HandoverDecline != nil || m.HandoverRequest != nil || m.BatchCancellation != nil:
			p.resend = append(p.resend, m)
		}
	}
}
