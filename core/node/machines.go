package node

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
)

const (
	usagePollInterval = time.Second // interval between usage polls of a worker
	peerDiscoveryWait = time.Second // time after the start for heartbeats of the other entries to arrive
)

// setMachines applies a new VM list. Unexpired drain notices stay in force, as the list
// may lag behind them.
func (n *Node) setMachines(vms []cornelwall.VM) {
	clear(n.machines)
	for _, vm := range vms {
		if vm.Kind != cornelwall.Entry {
			n.machines[vm.Name] = vm
		}
	}
	n.applyDrainNotices()
	n.capacities = distinctCapacities(n.machines)
	n.members.SetMachines(n.now, vms)
	n.machineOwners = nil
	n.reassignMachines()
}

// reassignMachines takes ownership of the machines that rendezvous hashing assigns to
// this entry among the entries of its data centre. The owner of a machine is the one
// entry that lends out its capacity.
func (n *Node) reassignMachines() {
	owners := n.members.LocalActive(n.now, n.stopping)
	if len(owners) == 0 {
		owners = append(owners, n.cfg.Self) // no other entry can lend these machines
	}
	if n.machineOwners != nil && slices.Equal(owners, n.machineOwners) || !n.ownersKnown() {
		return
	}
	n.machineOwners = owners
	var owned []cornelwall.VM
	for _, vm := range n.machines {
		if vm.DataCentre == n.cfg.Self.DataCentre && member.Rendezvous(vm.Name, owners) == n.cfg.Self {
			owned = append(owned, vm)
		}
	}
	slices.SortFunc(owned, func(a, b cornelwall.VM) int { return cmp.Compare(a.Name, b.Name) })
	n.ownedMachines = owned
	n.placer.SetMachines(n.now, n.machines, owned)
}

// pollUsage polls the workers that this entry owns for the resources that their tasks use.
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

// ownersKnown reports whether every other entry of this data centre has been heard from,
// or has had the time to be. An entry that takes ownership before that would lend
// capacity that others have already lent.
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
