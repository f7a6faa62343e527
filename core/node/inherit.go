package node

import (
	"cornelwall"
	"cornelwall/core/heir"
)

// tellHeirs tells all near entries who answers for closed incarnations.
func (n *Node) tellHeirs(hs []cornelwall.Heir) {
	if len(hs) == 0 {
		return
	}
	for _, p := range n.members.Alive(n.now) {
		n.send(p.Incarnation, cornelwall.Message{Heirs: &cornelwall.Heirs{Heirs: hs}})
	}
}

// inherit takes a part of the table of a stopping entry. An entry that stops itself
// takes nothing, as it may have handed on its own tables already.
func (n *Node) inherit(from cornelwall.Incarnation, in *cornelwall.Inherit) {
	if n.leaving {
		n.sendBeat(n.members.Find(from), cornelwall.Beat{Answer: true})
		return
	}
	held := n.heirs.Holds(in.Of)
	progress := n.heirs.Receive(n.now, from, in)
	n.send(from, cornelwall.Message{Inherited: &cornelwall.Inherited{
		Of: in.Of, Part: in.Part, Whole: progress == heir.Whole, Full: progress == heir.Full,
	}})
	if held || progress != heir.Whole {
		return
	}
	h := n.heirs.Own(n.now, in.Of, n.cfg.Self)
	n.heirs.Learn(n.now, h)
	n.log("inherited", "of", in.Of, "from", from)
	n.tellHeirs([]cornelwall.Heir{h})
	n.checkForwards()
}

// learn records who answers for closed incarnations.
func (n *Node) learn(hs []cornelwall.Heir) {
	fresh := false
	for _, h := range hs {
		if h.Of != n.cfg.Self && n.heirs.Learn(n.now, h) {
			fresh = true
		}
	}
	if fresh {
		n.checkForwards()
	}
}
