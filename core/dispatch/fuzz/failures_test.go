package fuzz

import (
	"cmp"
	"strings"

	"cornelwall"
)

// answerMutation forges what callers are answered, or what entries know of their batches.
type answerMutation struct {
	failOnCrashes bool // a batch under a task of which endpoints have crashed is answered as failed in place of given up
	cancelUnasked bool // batches that are given up are answered as cancelled
	fewerAttempts bool // entries read that a task may fail once less often than its queue allows
}

// forgeAnswer applies failOnCrashes and cancelUnasked to the answer to a client.
func (r *rig) forgeAnswer(c *client, end cornelwall.BatchEnd) cornelwall.BatchEnd {
	switch {
	case end != cornelwall.BatchGivenUp:
	case r.mutation.cancelUnasked:
		return cornelwall.BatchCancelled
	case r.mutation.failOnCrashes && r.mostCrashes(c) > 1:
		return cornelwall.BatchFailed
	}
	return end
}

// listedQueues returns the queues as entries read them.
func (r *rig) listedQueues() []cornelwall.Queue {
	list := r.queues()
	if r.mutation.fewerAttempts {
		for i := range list {
			list[i].Attempts--
		}
	}
	return list
}

// attemptsOf returns how often a task of a client's batch may fail.
func (r *rig) attemptsOf(c *client) int {
	path := cmp.Or(c.prefix, prefix)
	for _, q := range r.queues() {
		if q.Prefix == path {
			return max(q.Attempts, 1)
		}
	}
	panic("no queue at " + path)
}

// recordListed records the runs that an endpoint lists as failed in its reply to an order.
func (r *rig) recordListed(reply cornelwall.Event) {
	result, _ := reply.(cornelwall.PollResult)
	for _, x := range result.Ended {
		c := r.clients[batchOf(x.Task)]
		if c == nil || x.End != cornelwall.RunFailed {
			continue
		}
		if c.failed == nil {
			c.failed = map[cornelwall.RunID]bool{}
		}
		c.failed[x.RunID] = true
	}
}

// batchOf returns the ID of the batch of a task.
func batchOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// mostFailures returns how many runs of one task of a client's batch endpoints have listed as failed, the most of any.
func (c *client) mostFailures() int {
	most, failures := 0, map[string]int{}
	for id := range c.failed {
		failures[id.Task]++
		most = max(most, failures[id.Task])
	}
	return most
}

// checkFailed checks that a batch that is answered as failed has a task that has failed as often as its queue allows. Only
// what endpoints have listed as failed counts, for whichever owner they ran it.
func (r *rig) checkFailed(c *client) {
	if n, allowed := c.mostFailures(), r.attemptsOf(c); n < allowed {
		r.fail("batch %s is answered as failed, and endpoints have listed %d failures of a task of it, where %d are allowed; %d have crashed under one", c.id, n, allowed, r.mostCrashes(c))
	}
}

// checkCancelledAnswer checks that the client of a batch that is answered as cancelled has cancelled it.
func (r *rig) checkCancelledAnswer(c *client) {
	if !c.cancelAsked {
		r.fail("batch %s is answered as cancelled, and nobody has cancelled it", c.id)
	}
}
