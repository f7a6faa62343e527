package platform

import (
	"slices"
	"sync"
	"time"

	"cornelwall"
)

// vmList is the VM list with the older versions that a lagging reader still needs.
type vmList struct {
	clock    cornelwall.Clock
	mu       sync.Mutex
	lag      time.Duration
	versions []listVersion
}

// listVersion is the VM list from a time on.
type listVersion struct {
	at  time.Time
	vms []cornelwall.VM
}

func (m *vmList) setLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// lagged returns the list as it was one lag ago.
func (m *vmList) lagged() []cornelwall.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.clock.Now().Add(-m.lag)
	for i := len(m.versions) - 1; i >= 0; i-- {
		if !m.versions[i].at.After(t) {
			return m.versions[i].vms
		}
	}
	return []cornelwall.VM{}
}

func (m *vmList) put(vm cornelwall.VM) {
	m.change(func(vms []cornelwall.VM) []cornelwall.VM {
		if i := indexOf(vms, vm.Name); i >= 0 {
			vms[i] = vm
			return vms
		}
		return append(vms, vm)
	})
}

func (m *vmList) remove(name string) {
	m.change(func(vms []cornelwall.VM) []cornelwall.VM {
		return slices.DeleteFunc(vms, func(vm cornelwall.VM) bool { return vm.Name == name })
	})
}

// markLeaving marks a VM as leaving and reports whether it exists.
func (m *vmList) markLeaving(name string) (ok bool) {
	m.change(func(vms []cornelwall.VM) []cornelwall.VM {
		if i := indexOf(vms, name); i >= 0 {
			vms[i].State, ok = cornelwall.Leaving, true
		}
		return vms
	})
	return ok
}

// change appends a changed copy of the newest version and drops versions older than the lag.
func (m *vmList) change(f func([]cornelwall.VM) []cornelwall.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := []cornelwall.VM{}
	if n := len(m.versions); n > 0 {
		vms = slices.Clone(m.versions[n-1].vms)
	}
	now := m.clock.Now()
	m.versions = append(m.versions, listVersion{now, f(vms)})
	for len(m.versions) > 1 && !m.versions[1].at.After(now.Add(-m.lag)) {
		m.versions = m.versions[1:]
	}
}

func indexOf(vms []cornelwall.VM, name string) int {
	return slices.IndexFunc(vms, func(vm cornelwall.VM) bool { return vm.Name == name })
}
