package node

import (
	"cornelwall"
	"cornelwall/core/heir"
)

// announceSuccessions tells all near entries who answers for closed incarnations.
func (n *Node) announceSuccessions(hs []cornelwall.Succession) {
	if len(hs) == 0 {
		return
	}
	for _, p := range n.members.Alive(n.now) {
		n.send(p.Incarnation, cornelwall.Message{Successions: &cornelwall.Successions{Successions: hs}})
	}
}

// receiveRecords takes a part of the table of a stopping entry. An entry that stops itself
// takes nothing, as it may have handed on its own tables already.
func (n *Node) receiveRecords(from cornelwall.Incarnation, in *cornelwall.RecordTransfer) {
	if n.stopping {
		n.sendHeartbeat(n.members.Find(from), cornelwall.Heartbeat{IsReply: true})
		return
	}
	held := n.archive.Has(in.Predecessor)
	progress := n.archive.Receive(n.now, from, in)
	n.send(from, cornelwall.Message{RecordTransferAck: &cornelwall.RecordTransferAck{
		Predecessor: in.Predecessor, Part: in.Part, Complete: progress == heir.Complete, OutOfMemory: progress == heir.OutOfMemory,
	}})
	if held || progress != heir.Complete {
		return
	}
	h := n.archive.OwnSuccession(n.now, in.Predecessor, n.cfg.Self)
	n.archive.AddSuccession(n.now, h)
	n.log("inherited", "of", in.Predecessor, "from", from)
	n.announceSuccessions([]cornelwall.Succession{h})
	n.checkForwards()
}

// learnSuccessions records who answers for closed incarnations.
func (n *Node) learnSuccessions(hs []cornelwall.Succession) {
	fresh := false
	for _, h := range hs {
		if h.Predecessor != n.cfg.Self && n.archive.AddSuccession(n.now, h) {
			fresh = true
		}
	}
	if fresh {
		n.checkForwards()
	}
}
