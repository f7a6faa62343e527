package platform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func TestListLags(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	p := New(Config{Lag: 2 * time.Second, Clock: clock})
	defer p.Close()
	states := func() (s []cornelwall.VMState) {
		for _, vm := range p.machines.lagged() {
			s = append(s, vm.State)
		}
		return s
	}
	p.PutVM(cornelwall.VM{Name: "x1"})
	assert.Equal(t, len(states()), 0)
	clock.now = clock.now.Add(2 * time.Second)
	assert.DeepEqual(t, states(), []cornelwall.VMState{cornelwall.Live})
	assert.Assert(t, p.MarkVMLeaving("x1"))
	assert.DeepEqual(t, states(), []cornelwall.VMState{cornelwall.Live})
	lag := cornelwall.Duration(0)
	p.SetFault(Fault{Lag: &lag})
	assert.DeepEqual(t, states(), []cornelwall.VMState{cornelwall.Leaving})
	assert.Assert(t, !p.MarkVMLeaving("x2"))
}
