package platform

import (
	"slices"
	"sync"
	"time"

	"cornelwall"
)

// machines is the VM list as it was at each moment of the lag.
type machines struct {
	clock cornelwall.Clock
	mu    sync.Mutex
	lag   time.Duration
	lists []list
}

type list struct {
	at  time.Time
	vms []cornelwall.VM
}

func (m *machines) setLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// seen returns the list as it was before the lag.
func (m *machines) seen() []cornelwall.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.clock.Now().Add(-m.lag)
	for i := len(m.lists) - 1; i >= 0; i-- {
		if !m.lists[i].at.After(t) {
			return m.lists[i].vms
		}
	}
	return []cornelwall.VM{}
}

func (m *machines) put(vm cornelwall.VM) {
	m.change(func(vms []cornelwall.VM) []cornelwall.VM {
		if i := find(vms, vm.Name); i >= 0 {
			vms[i] = vm
			return vms
		}
		return append(vms, vm)
	})
}

func (m *machines) remove(name string) {
	m.change(func(vms []cornelwall.VM) []cornelwall.VM {
		return slices.DeleteFunc(vms, func(vm cornelwall.VM) bool { return vm.Name == name })
	})
}

// leave marks a machine as leaving and reports whether it exists.
func (m *machines) leave(name string) (ok bool) {
	m.change(func(vms []cornelwall.VM) []cornelwall.VM {
		if i := find(vms, name); i >= 0 {
			vms[i].State, ok = cornelwall.Leaving, true
		}
		return vms
	})
	return ok
}

// change adds a changed copy of the newest list.
func (m *machines) change(f func([]cornelwall.VM) []cornelwall.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := []cornelwall.VM{}
	if n := len(m.lists); n > 0 {
		vms = slices.Clone(m.lists[n-1].vms)
	}
	now := m.clock.Now()
	m.lists = append(m.lists, list{now, f(vms)})
	for len(m.lists) > 1 && !m.lists[1].at.After(now.Add(-m.lag)) {
		m.lists = m.lists[1:]
	}
}

func find(vms []cornelwall.VM, name string) int {
	return slices.IndexFunc(vms, func(vm cornelwall.VM) bool { return vm.Name == name })
}
