package node

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
)

const (
	usagePollInterval = time.Second     // between two looks at the usage of a worker
	drainNoticeTTL    = 5 * time.Minute // of a machine's word that it drains, against a VM list that lags
	peerDiscoveryWait = time.Second     // after the start, for the other homes to be heard of
)

// drainNotice is a machine's word, or a peer's, that it takes no new tasks.
type drainNotice struct {
	addr    netip.AddrPort // a machine that comes back at another address is another one
	expires time.Time
}

// setMachines takes over the VM list. The list lags: it does not undo the word of a
// machine that it drains.
func (n *Node) setMachines(vms []cornelwall.VM) {
	clear(n.machines)
	for _, vm := range vms {
		if vm.Kind != cornelwall.Entry {
			n.machines[vm.Name] = vm
		}
	}
	maps.DeleteFunc(n.draining, func(name string, s drainNotice) bool {
		return n.machines[name].Addr != s.addr || !n.now.Before(s.expires)
	})
	for name := range n.draining {
		n.markLeaving(name)
	}
	n.capacities = distinctCapacities(n.machines)
	n.members.SetMachines(n.now, vms)
	n.machineOwners = nil
	n.reassignMachines()
}

// noteDraining stops new tasks on a machine that says, or of which a peer says, that it
// leaves.
func (n *Node) noteDraining(name string) {
	vm, ok := n.machines[name]
	if !ok || vm.State == cornelwall.Leaving {
		return
	}
	n.draining[name] = drainNotice{addr: vm.Addr, expires: n.now.Add(drainNoticeTTL)}
	n.log("machine-draining", "machine", name)
	n.markLeaving(name)
	n.machineOwners = nil
	n.reassignMachines()
}

func (n *Node) markLeaving(name string) {
	vm := n.machines[name]
	vm.State = cornelwall.Leaving
	n.machines[name] = vm
}

// reassignMachines takes the machines whose home this entry is now.
func (n *Node) reassignMachines() {
	homes := n.members.LocalActive(n.now, n.stopping)
	if len(homes) == 0 {
		homes = append(homes, n.cfg.Self) // nobody else can lend these machines
	}
	if n.machineOwners != nil && slices.Equal(homes, n.machineOwners) || !n.ownersKnown() {
		return
	}
	n.machineOwners = homes
	var mine []cornelwall.VM
	for _, vm := range n.machines {
		if vm.DataCentre == n.cfg.Self.DataCentre && member.Rendezvous(vm.Name, homes) == n.cfg.Self {
			mine = append(mine, vm)
		}
	}
	slices.SortFunc(mine, func(a, b cornelwall.VM) int { return cmp.Compare(a.Name, b.Name) })
	n.ownedMachines = mine
	n.placer.SetMachines(n.now, n.machines, mine)
}

// pollUsage asks the workers of this home what their tasks take up.
func (n *Node) pollUsage() {
	if n.now.Before(n.nextUsagePoll) {
		return
	}
	n.nextUsagePoll = n.now.Add(usagePollInterval)
	for _, vm := range n.ownedMachines {
		if vm.Kind == cornelwall.Worker {
			n.emit(cornelwall.PollUsage{VM: vm})
		}
	}
}

// ownersKnown reports whether every other entry of this data centre was heard of, or has
// had the time to be. Before, an entry that starts would lend what others have lent.
func (n *Node) ownersKnown() bool {
	if n.now.Sub(n.start) >= peerDiscoveryWait {
		return true
	}
	for _, p := range n.members.Neighbours() {
		if p.Incarnation.DataCentre == n.cfg.Self.DataCentre && p.Incarnation.Epoch == 0 {
			return false
		}
	}
	return true
}
