package fuzz

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/leased"
)

const (
	crashHistories    = 12               // unless -seeds is given
	deadlyHistories   = 2                // the same, with deadly batches
	crashLoadTime     = 20 * time.Second // in which batches are submitted
	crashLoadShare    = 0.5              // of the endpoints' capacity
	crashTasks        = 3                // tasks of a batch, at most
	disturbances      = 24               // in crashLoadTime
	minDisturbed      = 0.2              // share of the endpoints
	maxDisturbed      = 0.6
	minDisturbedTime  = 500 * time.Millisecond
	maxDisturbedTime  = 4 * time.Second
	minDownTime       = 50 * time.Millisecond // from a crash to the next boot
	maxDownTime       = 1500 * time.Millisecond
	lateShare         = 0.3 // of the orders to an endpoint that carries some out late
	failingShare      = 0.7 // of the runs at an endpoint that fails some
	deadlyInHistory   = 2   // deadly batches in a history that has any
	deadlyStartBefore = 15 * time.Second
)

// taskCrashes is what is known of the endpoints that crashed while a task ran there. A run that is done shows that its task crashes
// none.
type taskCrashes struct {
	crashes     int
	startsAfter int // starts since as many crashes as are allowed
	lateAfter   int // of these, starts that were ordered before the last of these crashes
	lastAt      time.Time
}

// outage is what becomes of an endpoint that crashes.
type outage struct {
	down     time.Duration // until it boots again
	replaced bool          // another endpoint has its address then
	refuses  bool          // its machine refuses connections meanwhile
}

func (r *rig) drawOutage() outage {
	return outage{down: r.between(minDownTime, maxDownTime), replaced: r.rng.IntN(2) == 0, refuses: r.rng.IntN(2) == 0}
}

// crashFor lets an endpoint crash.
func (r *rig) crashFor(ep *leased.Endpoint, o outage) {
	if r.crashed[ep.ID] {
		return
	}
	r.recordCrash(ep)
	r.crashed[ep.ID], r.refuses[ep.ID] = true, o.refuses
	ep.Crash(r.w.Now)
	r.w.CallAfter(o.down, func() {
		r.crashed[ep.ID], r.refuses[ep.ID] = false, false
		if o.replaced {
			r.replace(ep)
		}
		ep.Restart(r.w.Now)
		ep.Down = false
	})
}

// recordCrash records which tasks run at an endpoint that crashes.
func (r *rig) recordCrash(ep *leased.Endpoint) {
	for _, id := range ep.Running(r.w.Now) {
		k := r.crashes[id.Task]
		if k == nil {
			k = &taskCrashes{}
			r.crashes[id.Task] = k
		}
		k.crashes++
		if k.crashes <= crashesAllowed {
			k.lastAt = r.w.Now
		}
	}
}

// replace gives an endpoint another ID at the same address. Orders to the former one are refused from then on, and links that
// are cut remain so.
func (r *rig) replace(ep *leased.Endpoint) {
	former := ep.ID
	r.successors[former] = ep
	ep.ID = fmt.Sprintf("x%d", len(r.endpoints)+len(r.successors))
	for _, e := range r.entries {
		r.moveCut([2]string{e.name, former}, [2]string{e.name, ep.ID})
		r.moveCut([2]string{former, e.name}, [2]string{ep.ID, e.name})
	}
}

// moveCut moves the state of a link to another one.
func (r *rig) moveCut(from, to [2]string) {
	r.cuts[to] = r.cuts[from]
	delete(r.cuts, from)
}

// mostCrashes returns how many endpoints have crashed under one task of a client's batch, the most of any.
func (r *rig) mostCrashes(c *client) int {
	most := 0
	for task, k := range r.crashes {
		if batchOf(task) == c.id {
			most = max(most, k.crashes)
		}
	}
	return most
}

// checkBudget checks that a task under which crashesAllowed endpoints have crashed starts startsAfterwards times more at most,
// whatever was ordered before.
func (r *rig) checkBudget(c *client, id cornelwall.RunID) {
	k := r.crashes[id.Task]
	if k == nil || k.crashes < crashesAllowed {
		return
	}
	k.startsAfter++
	if ordered, ok := r.startOrders[id]; ok && ordered.Before(k.lastAt) {
		k.lateAfter++
	}
	if k.startsAfter > startsAfterwards {
		r.overBudget = fmt.Sprintf("%s, deadly %v, has started %d times since %d endpoints crashed under it, %d of them ordered before", id.Task, c.deadly, k.startsAfter, crashesAllowed, k.lateAfter)
	}
}

// recordStartOrder records when a start is ordered.
func (r *rig) recordStartOrder(cmd cornelwall.Command) {
	if start, ok := cmd.(cornelwall.StartRun); ok && r.startOrders != nil {
		r.startOrders[start.Run] = r.w.Now
	}
}

// disturbed draws some of the endpoints.
func (r *rig) disturbed() []*leased.Endpoint {
	share := minDisturbed + (maxDisturbed-minDisturbed)*r.rng.Float64()
	var list []*leased.Endpoint
	for _, i := range r.rng.Perm(len(r.endpoints))[:int(share*float64(len(r.endpoints)))] {
		list = append(list, r.endpoints[i])
	}
	return list
}

func (r *rig) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rng.Int64N(int64(most-least)))
}

// crashEndpoints lets some endpoints crash, whatever runs there.
func (r *rig) crashEndpoints() {
	for _, ep := range r.disturbed() {
		r.crashFor(ep, r.drawOutage())
	}
}

// crashIdleEndpoints lets those of some endpoints crash at which nothing runs.
func (r *rig) crashIdleEndpoints() {
	for _, ep := range r.disturbed() {
		if len(ep.Running(r.w.Now)) == 0 {
			r.crashFor(ep, r.drawOutage())
		}
	}
}

// cutOffAndReboot cuts some endpoints off from all entries. They boot again meanwhile.
func (r *rig) cutOffAndReboot() {
	for _, ep := range r.disturbed() {
		during := r.between(minDisturbedTime, maxDisturbedTime)
		r.cutOff(ep, r.entries, during)
		o := r.drawOutage()
		r.w.CallAfter(r.between(0, during), func() { r.crashFor(ep, o) })
	}
}

// cutOffFromSome cuts some endpoints off from some entries.
func (r *rig) cutOffFromSome() {
	from := r.rng.Perm(len(r.entries))[:1+r.rng.IntN(len(r.entries))]
	var entries []*entry
	for _, i := range from {
		entries = append(entries, r.entries[i])
	}
	for _, ep := range r.disturbed() {
		r.cutOff(ep, entries, r.between(minDisturbedTime, maxDisturbedTime))
	}
}

// cutOff cuts the links between an endpoint and entries for some time.
func (r *rig) cutOff(ep *leased.Endpoint, entries []*entry, during time.Duration) {
	r.setCut(ep, entries, true)
	r.w.CallAfter(during, func() { r.setCut(ep, entries, false) })
}

func (r *rig) setCut(ep *leased.Endpoint, entries []*entry, cut bool) {
	for _, e := range entries {
		r.cuts[[2]string{e.name, ep.ID}] = cut
		r.cuts[[2]string{ep.ID, e.name}] = cut
	}
}

// delayOrders lets some endpoints carry out orders late for some time.
func (r *rig) delayOrders() {
	for _, ep := range r.disturbed() {
		r.setShare(r.lateOrderShare, ep, lateShare)
	}
}

// failRuns lets runs fail at some endpoints for some time.
func (r *rig) failRuns() {
	for _, ep := range r.disturbed() {
		r.setShare(r.failureShare, ep, failingShare)
	}
}

// setShare sets a share of an endpoint for some time.
func (r *rig) setShare(shares map[string]float64, ep *leased.Endpoint, share float64) {
	id := ep.ID
	shares[id] = share
	r.w.CallAfter(r.between(minDisturbedTime, maxDisturbedTime), func() { delete(shares, id) })
}

// endpointCrashes are the disturbances of histories whose endpoints crash and are cut off.
var endpointCrashes = []action{
	(*rig).crashEndpoints, (*rig).crashEndpoints, (*rig).crashIdleEndpoints, (*rig).cutOffAndReboot, (*rig).cutOffAndReboot, (*rig).cutOffFromSome,
	(*rig).delayOrders, (*rig).delayOrders, (*rig).failRuns,
}

// runCrashes plays the history of a seed: a load whose clients persist, with disturbances that overlap and some deadly batches. In
// every second history tasks run for longer than a lease lasts.
func runCrashes(seed uint64, mut mutation, deadly int) *rig {
	mut.longRuns = seed%2 == 0
	r := newSizedRig(seed, mut, -int(seed/2%2), medium)
	r.startOrders = map[cornelwall.RunID]time.Time{}
	r.w.Advance(2 * time.Second)
	for range disturbances {
		disturb := endpointCrashes[r.rng.IntN(len(endpointCrashes))]
		r.w.CallAfter(r.between(0, crashLoadTime), func() { disturb(r) })
	}
	for range deadly {
		r.w.CallAfter(r.between(0, deadlyStartBefore), func() { r.submitDeadly() })
	}
	share := crashLoadShare
	if mut.longRuns {
		share /= longRunFactor
	}
	r.submitPersistently(share, crashLoadTime, crashTasks)
	return r
}

// crashResult is what was seen in histories with crashes.
type crashResult struct {
	failed, overBudget     int // histories
	runs, retries, crashed int // crashed: tasks under which an endpoint has crashed
	answers                map[cornelwall.BatchEnd]int
	batches, failedRightly int
	withheld               int         // batches that are not deadly and were last given up for crashes
	deadlyStarts           map[int]int // deadly batches by the starts of their tasks
}

// playCrashes plays the histories of n seeds, and reports those in which a check fails.
func playCrashes(t *testing.T, n uint64, deadly int) crashResult {
	x := crashResult{answers: map[cornelwall.BatchEnd]int{}, deadlyStarts: map[int]int{}}
	for s := *seed; s < *seed+n; s++ {
		r := runCrashes(s, mutation{}, deadly)
		x.add(r)
		if r.failure != "" {
			t.Errorf("seed %d: %s", s, r.failure)
		}
		if r.overBudget != "" {
			t.Errorf("seed %d: %s", s, r.overBudget)
		}
	}
	t.Logf("%+v", x)
	return x
}

func (x *crashResult) add(r *rig) {
	x.runs, x.retries, x.crashed = x.runs+r.runs, x.retries+r.retries, x.crashed+len(r.crashes)
	if r.failure != "" {
		x.failed++
	}
	if r.overBudget != "" {
		x.overBudget++
	}
	for end, n := range r.answers {
		x.answers[end] += n
	}
	for _, c := range r.clients {
		x.batches++
		if !c.deadly && !c.answered && c.last.Reason == cornelwall.ReasonCrash {
			x.withheld++
		}
		if c.end == cornelwall.BatchFailed && c.mostFailures() >= r.attemptsOf(c) {
			x.failedRightly++
		}
		if c.deadly {
			x.deadlyStarts[c.starts]++
		}
	}
}

// seedsOr returns how many histories to run: those of -seeds if it is given, or else n.
func seedsOr(n uint64) uint64 {
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "seeds" {
			n = *seeds
		}
	})
	return n
}

// TestEndpointCrashesFailNoBatch runs histories whose endpoints crash, idle or at work, are cut off while they boot again, carry out
// starts late and fail runs. Only failures that endpoints have listed may fail a batch.
func TestEndpointCrashesFailNoBatch(t *testing.T) {
	t.Parallel()
	n := seedsOr(crashHistories)
	x := playCrashes(t, n, 0)
	assert.Assert(t, n < crashHistories || x.crashed > 0 && x.failedRightly > 0, "no endpoint crashed under a task, or no batch failed, so the test shows nothing")
}

// TestDeadlyTasksBesideCrashes runs such histories with tasks that crash each endpoint that starts them. None may go on after
// crashesAllowed crashes.
func TestDeadlyTasksBesideCrashes(t *testing.T) {
	t.Parallel()
	n := seedsOr(deadlyHistories)
	x := playCrashes(t, n, deadlyInHistory)
	assert.Assert(t, n < deadlyHistories || x.deadlyStarts[crashesAllowed] > 0, "no deadly task crashed as many endpoints as are allowed, so the test shows nothing")
}

// TestAnswerMutants forges answers that end a batch for good, or what entries know of its attempts. The checks must detect each.
func TestAnswerMutants(t *testing.T) {
	for _, tc := range []struct {
		name string
		mut  answerMutation
	}{
		{"batches fail on crashes", answerMutation{failOnCrashes: true}},
		{"batches are cancelled unasked", answerMutation{cancelUnasked: true}},
		{"entries allow one attempt fewer", answerMutation{fewerAttempts: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			checkDetected(t, 0, func(seed uint64) *rig { return runCrashes(seed, mutation{answerMutation: tc.mut}, 0) })
		})
	}
}
