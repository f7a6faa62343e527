package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// TestReserveWithWrongNumberOfClasses reserves capacity of a peer that reports its queue by fewer
// or more classes than there are, which must not panic.
func TestReserveWithWrongNumberOfClasses(t *testing.T) {
	for _, queued := range [][]int{nil, {}, {1}, {1, 2, 3, 4, 5}} {
		v := HolderView{Capacity: cornelwall.FreeCapacity{Total: 16000, Queued: queued}}
		v.Reserve(&IdleTask{Need: cornelwall.Resources{Cores: 8000}, Class: cornelwall.FreeCapacityClasses + 1}, time.Second)
	}
}

// TestPickHolder assigns tasks of 8 cores between this entry, a peer in its data centre and a remote
// one.
func TestPickHolder(t *testing.T) {
	need := cornelwall.Resources{Cores: 8000}
	free := cornelwall.FreeCapacity{Total: 32000, Free: []cornelwall.Resources{{Cores: 16000}, {Cores: 16000}}}
	full := cornelwall.FreeCapacity{Total: 32000}
	crowded := cornelwall.FreeCapacity{Total: 32000, Queued: []int{0, 8000 * 400}}
	near, far := cornelwall.Incarnation{DataCentre: "dc0", Entry: "e2"}, cornelwall.Incarnation{DataCentre: "dc1", Entry: "e3"}
	for _, tc := range []struct {
		name             string
		self, near, far  cornelwall.FreeCapacity
		want             string
		returnedIfIsBusy bool
	}{
		{"own capacity first", free, free, free, "self", false},
		{"then the own data centre", full, free, free, "near", true},
		{"then others", full, full, free, "far", true},
		{"all full", full, full, full, "self", false},
		{"shortest queue of its class", crowded, full, crowded, "near", false},
		{"no capacity", cornelwall.FreeCapacity{}, cornelwall.FreeCapacity{}, cornelwall.FreeCapacity{}, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			options := []HolderOption{
				{ID: cornelwall.Incarnation{DataCentre: "dc0", Entry: "e1"}, View: &HolderView{Capacity: tc.self, Exact: true}, IsSelf: true},
				{ID: near, View: &HolderView{Capacity: tc.near}, SameCentre: true},
				{ID: far, View: &HolderView{Capacity: tc.far}},
			}
			task := IdleTask{Need: need, Class: 1}
			best := PickHolder(options, &task)
			if tc.want == "" {
				assert.Assert(t, best == nil)
				return
			}
			names := map[string]string{"e1": "self", "e2": "near", "e3": "far"}
			assert.Equal(t, names[best.ID.Entry], tc.want)
			assert.Equal(t, task.ReturnIfBusy(best), tc.returnedIfIsBusy)
		})
	}
}

// TestPickHolderBySpeed guards against tasks that go to free places on which they are late, while there are others.
func TestPickHolderBySpeed(t *testing.T) {
	free := func(paces ...int) cornelwall.FreeCapacity {
		v := cornelwall.FreeCapacity{Total: 32000, Paces: paces}
		for range 2 {
			v.Free = append(v.Free, cornelwall.Resources{Cores: 16000})
		}
		return v
	}
	for _, tc := range []struct {
		name      string
		maxPace   float64
		self, far cornelwall.FreeCapacity
		wantFar   bool
		returned  bool
		reserved  int // index of the endpoint that is used
	}{
		{"slow places here, fast ones elsewhere", 1.3, free(182, 182), free(83, 83), true, true, 0},
		{"one fast place here", 1.3, free(182, 83), free(83, 83), false, false, 1},
		{"slow places will do", 2, free(182, 182), free(83, 83), false, false, 0},
		{"late everywhere", 0.5, free(182, 182), free(83, 83), false, false, 0},
		{"speed doesn't matter", 0, free(182, 182), free(83, 83), false, false, 0},
		{"holder of an older version", 1.3, free(182, 182), free(), true, true, 0},
		{"wrong number of slowdowns", 1.3, free(182, 182), free(182), true, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			options := []HolderOption{
				{ID: cornelwall.Incarnation{Entry: "e1"}, View: &HolderView{Capacity: tc.self, Exact: true}, IsSelf: true},
				{ID: cornelwall.Incarnation{Entry: "e2"}, View: &HolderView{Capacity: tc.far}, SameCentre: true},
			}
			task := IdleTask{Need: cornelwall.Resources{Cores: 8000}, MaxPace: tc.maxPace}
			best := PickHolder(options, &task)
			assert.Equal(t, best == &options[1], tc.wantFar)
			assert.Equal(t, task.ReturnIfBusy(best), tc.returned)
			best.View.Reserve(&task, 100*ms)
			assert.Equal(t, best.View.Capacity.Free[tc.reserved].Cores, 8000)
		})
	}
}
