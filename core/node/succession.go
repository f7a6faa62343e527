package node

import (
	"cornelwall"
	"cornelwall/core/heir"
)

// announceSuccessions announces to all live neighbours which entries answer for closed
// incarnations.
func (n *Node) announceSuccessions(successions []cornelwall.Succession) {
	if len(successions) == 0 {
		return
	}
	for _, p := range n.members.Alive(n.now) {
		n.send(p.Incarnation, cornelwall.Message{Successions: &cornelwall.Successions{Successions: successions}})
	}
}

// receiveRecords handles one part of the table of a stopping entry. An entry that is
// stopping itself accepts none, as it may have handed off its own tables already; its
// heartbeat informs the sender that it is stopping.
func (n *Node) receiveRecords(from cornelwall.Incarnation, part *cornelwall.RecordTransfer) {
	if n.stopping {
		n.sendHeartbeat(n.members.Find(from), cornelwall.Heartbeat{IsReply: true})
		return
	}
	held := n.archive.HasTable(part.Predecessor)
	progress := n.archive.Receive(n.now, from, part)
	n.send(from, cornelwall.Message{RecordTransferAck: &cornelwall.RecordTransferAck{
		Predecessor: part.Predecessor, Part: part.Part, Complete: progress == heir.Complete, OutOfMemory: progress == heir.OutOfMemory,
	}})
	if held || progress != heir.Complete {
		return
	}
	s := n.archive.OwnSuccession(n.now, part.Predecessor, n.cfg.Self)
	n.archive.AddSuccession(n.now, s)
	n.log("inherited", "of", part.Predecessor, "from", from)
	n.announceSuccessions([]cornelwall.Succession{s})
	n.checkForwards()
}

// learnSuccessions records which entries answer for closed incarnations.
func (n *Node) learnSuccessions(successions []cornelwall.Succession) {
	changed := false
	for _, s := range successions {
		if s.Predecessor != n.cfg.Self && n.archive.AddSuccession(n.now, s) {
			changed = true
		}
	}
	if changed {
		n.checkForwards()
	}
}
