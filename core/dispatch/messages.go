package dispatch

import (
	"cornelwall"
)

// handleEnvelope handles the messages of an envelope from another entry.
func (c *Core) handleEnvelope(e cornelwall.Envelope) {
	if e.To.Epoch != 0 && e.To != c.cfg.Self {
		return // meant for an earlier incarnation of this entry
	}
	for i := range e.Messages {
		m := &e.Messages[i]
		if m.SessionHeartbeat != nil {
			c.handleHeartbeat(e.From, m.SessionHeartbeat)
			continue
		}
		if c.peers[e.From] != nil {
			c.handleMessage(e.From, m)
		}
	}
}

// handleMessage handles one message other than a heartbeat.
func (c *Core) handleMessage(from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.Assign != nil:
		c.handleAssign(from, m.Assign)
	case m.BatchProgress != nil:
		c.handleBatchProgress(m.BatchProgress)
	case m.Withdraw != nil:
		c.handleWithdraw(from, m.Withdraw)
	case m.RunResults != nil:
		for i := range m.RunResults.Runs {
			c.handleRunResult(&m.RunResults.Runs[i])
		}
	case m.RunsStarted != nil:
		c.handleRunsStarted(from, m.RunsStarted)
	case m.RunsKnown != nil:
		c.handleRunsKnown(from, m.RunsKnown)
	case m.EndpointAcquired != nil:
		c.handleEndpointAcquired(from, m.EndpointAcquired)
	case m.Handover != nil:
		c.handleHandover(from, m.Handover)
	case m.HandoverDecline != nil:
		c.handleHandoverDecline(from, m.HandoverDecline)
	case m.HandoverRequest != nil:
		c.handleHandoverRequest(from, m.HandoverRequest)
	case m.EndpointUpdate != nil:
		c.handleEndpointUpdate(from, m.EndpointUpdate)
	case m.BatchCancellation != nil:
		c.handleBatchCancellation(m.BatchCancellation)
	case m.Cancellations != nil:
		c.handleCancellations(from, m.Cancellations)
	case m.CancellationsKept != nil:
		c.handleCancellationsKept(from, m.CancellationsKept)
	case m.CancellationQuery != nil:
		c.handleCancellationQuery(from, m.CancellationQuery)
	case m.CancellationAnswer != nil:
		c.handleCancellationAnswer(from, m.CancellationAnswer)
	case m.CrashReport != nil:
		c.handleCrashReport(from, m.CrashReport)
	case m.OwnershipClaims != nil:
		c.handleOwnershipClaims(from, m.OwnershipClaims)
	case m.OwnershipReplies != nil:
		c.handleOwnershipReplies(from, m.OwnershipReplies)
	case m.JoinBatch != nil:
		c.handleJoinBatch(from, m.JoinBatch)
	case m.LeaveBatch != nil:
		c.handleLeaveBatch(from, m.LeaveBatch)
	case m.JoinReply != nil:
		c.handleJoinReply(from, m.JoinReply)
	}
}

// handleUndelivered handles messages that may not have arrived. Assigned tasks are withdrawn, or
// count as not started if the connection was refused. Messages that the peer depends on are
// idempotent and are sent again; the others are dropped.
func (c *Core) handleUndelivered(ev cornelwall.Undelivered) {
	p := c.peers[ev.Envelope.To]
	if p == nil {
		return
	}
	if ev.ConnRefused {
		c.markDead(p, "refused")
	}
	c.addLink(p) // checkPeers sends p.resend only over links
	for _, m := range ev.Envelope.Messages {
		switch {
		case m.Assign != nil && ev.ConnRefused:
			for i := range m.Assign.Tasks {
				c.handleRunResult(&cornelwall.RunResult{RunID: m.Assign.Tasks[i].RunID, End: cornelwall.RunUnstarted})
			}
		case m.Assign != nil:
			runs := make([]cornelwall.RunID, 0, len(m.Assign.Tasks))
			for i := range m.Assign.Tasks {
				runs = append(runs, m.Assign.Tasks[i].RunID)
			}
			p.resend = append(p.resend, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: runs}})
		case m.OwnershipClaims != nil:
			c.noteClaimsUndelivered(p.id, m.OwnershipClaims)
		case isRepeatable(&m):
			p.resend = append(p.resend, m)
		}
	}
}

// isBulk reports whether a message may be large and is not urgent: a complete list of endpoints, or many
// crashes or cancellations. Updates of the list are not, as their age must not grow on the way.
func isBulk(m *cornelwall.Message) bool {
	return m.EndpointUpdate != nil && m.EndpointUpdate.FromRevision == 0 || m.CancellationAnswer != nil && len(m.CancellationAnswer.List) > maxCancellationsSent ||
		m.CrashReport != nil && len(m.CrashReport.Crashes) > maxOrderedCrashes
}

// isRepeatable reports whether a message is idempotent and its receiver depends on it.
func isRepeatable(m *cornelwall.Message) bool {
	return m.Withdraw != nil || m.RunResults != nil || m.RunsStarted != nil || m.RunsKnown != nil || m.EndpointAcquired != nil ||
		m.Handover != nil || m.HandoverDecline != nil || m.HandoverRequest != nil || m.BatchCancellation != nil || m.CrashReport != nil ||
		m.LeaveBatch != nil || m.JoinReply != nil
}
