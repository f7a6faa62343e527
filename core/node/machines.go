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
	pollEvery = time.Second     // between two looks at the usage of a worker
	drainLife = 5 * time.Minute // of a machine's word that it drains, against a VM list that lags
	homesWait = time.Second     // after the start, for the other homes to be heard of
)

// drainSign is a machine's word, or a peer's, that it takes no new tasks.
type drainSign struct {
	addr  netip.AddrPort // a machine that comes back at another address is another one
	until time.Time
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
	maps.DeleteFunc(n.draining, func(name string, s drainSign) bool {
		return n.machines[name].Addr != s.addr || !n.now.Before(s.until)
	})
	for name := range n.draining {
		n.mark(name)
	}
	n.shapes = shapes(n.machines)
	n.members.SetMachines(n.now, vms)
	n.homes = nil
	n.rehome()
}

// drain stops new tasks on a machine that says, or of which a peer says, that it
// leaves.
func (n *Node) drain(name string) {
	vm, ok := n.machines[name]
	if !ok || vm.State == cornelwall.Leaving {
		return
	}
	n.draining[name] = drainSign{addr: vm.Addr, until: n.now.Add(drainLife)}
	n.log("machine-draining", "machine", name)
	n.mark(name)
	n.homes = nil
	n.rehome()
}

func (n *Node) mark(name string) {
	vm := n.machines[name]
	vm.State = cornelwall.Leaving
	n.machines[name] = vm
}

// rehome takes the machines whose home this entry is now.
func (n *Node) rehome() {
	homes := n.members.Homes(n.now, n.leaving)
	if len(homes) == 0 {
		homes = append(homes, n.cfg.Self) // nobody else can lend these machines
	}
	if n.homes != nil && slices.Equal(homes, n.homes) || !n.homesKnown() {
		return
	}
	n.homes = homes
	var mine []cornelwall.VM
	for _, vm := range n.machines {
		if vm.DataCentre == n.cfg.Self.DataCentre && member.Home(vm.Name, homes) == n.cfg.Self {
			mine = append(mine, vm)
		}
	}
	slices.SortFunc(mine, func(a, b cornelwall.VM) int { return cmp.Compare(a.Name, b.Name) })
	n.mine = mine
	n.placer.SetMachines(n.now, n.machines, mine)
}

// pollUsage asks the workers of this home what their tasks take up.
func (n *Node) pollUsage() {
	if n.now.Before(n.nextPoll) {
		return
	}
	n.nextPoll = n.now.Add(pollEvery)
	for _, vm := range n.mine {
		if vm.Kind == cornelwall.Worker {
			n.emit(cornelwall.PollUsage{VM: vm})
		}
	}
}

// homesKnown reports whether every other entry of this data centre was heard of, or has
// had the time to be. Before, an entry that starts would lend what others have lent.
func (n *Node) homesKnown() bool {
	if n.now.Sub(n.start) >= homesWait {
		return true
	}
	for _, p := range n.members.Near() {
		if p.Incarnation.DataCentre == n.cfg.Self.DataCentre && p.Incarnation.Epoch == 0 {
			return false
		}
	}
	return true
}
