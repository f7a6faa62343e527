package node

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"cornelwall"
)

const drainNoticeTTL = 5 * time.Minute // how long a drain notice outweighs a VM list that lags

// drainNotice is a notice, from a machine or a peer, that a machine takes no new tasks.
type drainNotice struct {
	addr    netip.AddrPort // a machine that returns under another address is a different one
	expires time.Time
	listed  bool // the VM list shows the machine as leaving, so that peers need no notice
}

// noteDraining stops new tasks on a machine that is draining by its own notice or that of
// a borrower.
func (n *Node) noteDraining(name string) {
	if vm, ok := n.machines[name]; ok && vm.State != cornelwall.Leaving {
		n.addDrainNotice(name, drainNotice{addr: vm.Addr, expires: n.now.Add(drainNoticeTTL)})
	}
}

// learnDraining adds the drain notices of a peer's heartbeat that this entry does not have.
func (n *Node) learnDraining(notices []cornelwall.DrainNotice) {
	for _, d := range notices {
		if _, ok := n.draining[d.Machine]; !ok {
			n.addDrainNotice(d.Machine, drainNotice{addr: d.Addr, expires: n.now.Add(min(time.Duration(d.TTL), drainNoticeTTL))})
		}
	}
}

// addDrainNotice adds a notice. One of a machine that is not listed under its address is kept for the
// next VM list.
func (n *Node) addDrainNotice(name string, notice drainNotice) {
	n.draining[name] = notice
	if vm, ok := n.machines[name]; !ok || vm.Addr != notice.addr || vm.State == cornelwall.Leaving {
		return
	}
	n.log("machine-draining", "machine", name)
	n.markLeaving(name)
	n.machineOwners = nil
	n.reassignMachines()
}

// applyDrainNotices applies the drain notices to a new VM list, and drops those that have expired or
// are of machines that it does not hold.
func (n *Node) applyDrainNotices() {
	maps.DeleteFunc(n.draining, func(name string, notice drainNotice) bool {
		return n.machines[name].Addr != notice.addr || !n.now.Before(notice.expires)
	})
	for name, notice := range n.draining {
		notice.listed = n.machines[name].State == cornelwall.Leaving
		n.draining[name] = notice
		n.markLeaving(name)
	}
}

func (n *Node) markLeaving(name string) {
	vm := n.machines[name]
	vm.State = cornelwall.Leaving
	n.machines[name] = vm
}

// drainNotices returns the notices that peers need, in a stable order.
func (n *Node) drainNotices() []cornelwall.DrainNotice {
	var notices []cornelwall.DrainNotice
	for name, notice := range n.draining {
		if !notice.listed && n.now.Before(notice.expires) {
			notices = append(notices, cornelwall.DrainNotice{Machine: name, Addr: notice.addr, TTL: cornelwall.Duration(notice.expires.Sub(n.now))})
		}
	}
	slices.SortFunc(notices, func(a, b cornelwall.DrainNotice) int { return cmp.Compare(a.Machine, b.Machine) })
	return notices[:min(len(notices), cornelwall.MaxDrainNotices)]
}
