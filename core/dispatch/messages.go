package dispatch

import (
	"cornelwall"
)

// receive takes an envelope of another entry.
func (c *Core) receive(e cornelwall.Envelope) {
	if e.To.Life != 0 && e.To != c.cfg.Self {
		return // meant for an earlier life, which did what it did
	}
	for i := range e.Messages {
		m := &e.Messages[i]
		if m.Pulse != nil {
			c.pulsed(e.From, m.Pulse)
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
	case m.Boost != nil:
		c.boost(m.Boost)
	case m.Withdraw != nil:
		c.withdraw(from, m.Withdraw)
	case m.Over != nil:
		for i := range m.Over.Runs {
			c.over(&m.Over.Runs[i])
		}
	case m.Began != nil:
		c.began(from, m.Began)
	case m.Taken != nil:
		c.taken(from, m.Taken)
	case m.Handover != nil:
		c.adopt(from, m.Handover)
	case m.Decline != nil:
		c.declined(from, m.Decline)
	case m.Claim != nil:
		c.claimed(from, m.Claim)
	case m.Known != nil:
		c.known(from, m.Known)
	case m.Declare != nil && m.Declare.Declaration != nil:
		c.declare(m.Declare.Declaration)
	case m.Declare != nil:
		if c.declared.Version != 0 {
			c.send(from, cornelwall.Message{Declare: &cornelwall.Declare{Declaration: &c.declared}})
		}
	case m.Revoke != nil:
		c.revoke(m.Revoke.ID)
	}
}

// undelivered takes back what may not have arrived. Tasks are withdrawn. What the other
// side waits for is sent again, as it does no harm twice; the rest is lost.
func (c *Core) undelivered(ev cornelwall.Undelivered) {
	p := c.peers[ev.Envelope.To]
	if p == nil {
		return
	}
	if ev.Refused {
		c.died(p, "refused")
	}
	c.addLink(p) // for what is sent again
	for _, m := range ev.Envelope.Messages {
		switch {
		case m.Assign != nil && ev.Refused:
			for i := range m.Assign.Tasks {
				c.over(&cornelwall.OverRun{RunID: m.Assign.Tasks[i].RunID, How: cornelwall.RunUnstarted})
			}
		case m.Assign != nil:
			runs := make([]cornelwall.RunID, 0, len(m.Assign.Tasks))
			for i := range m.Assign.Tasks {
				runs = append(runs, m.Assign.Tasks[i].RunID)
			}
			p.resend = append(p.resend, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: runs}})
		case m.Withdraw != nil || m.Over != nil || m.Began != nil || m.Taken != nil || m.Handover != nil || m.Decline != nil || m.Claim != nil || m.Revoke != nil:
			p.resend = append(p.resend, m)
		}
	}
}
