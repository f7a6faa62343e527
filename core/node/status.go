package node

import "cornelwall"

// status returns the current state of the entry, for operators and metrics.
func (n *Node) status() cornelwall.Status {
	s := cornelwall.Status{
		Entry:          n.cfg.Self,
		Stopping:       n.stopping,
		Stale:          n.stale(),
		Machines:       len(n.machines),
		Peers:          len(n.members.Alive(n.now)),
		Jobs:           n.jobs.Len(),
		Waiting:        n.queue.Len(),
		Running:        len(n.attempts),
		Forwards:       len(n.forwards),
		Claims:         n.claims.Len(),
		Resends:        len(n.retransmissions),
		InheritedBytes: n.archive.Bytes(),
	}
	for _, p := range n.catalog.All() {
		if !p.Retired {
			s.Profiles++
		}
	}
	return s
}
