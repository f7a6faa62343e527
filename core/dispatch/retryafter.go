package dispatch

import (
	"time"

	"cornelwall/core/policy"
)

// retryAfter returns the time after which the callers of a refused job should come back. It follows from the load if the job is
// refused because of it; salt selects a short delay otherwise. A stopping entry tells the short one, as another entry takes
// the batch.
func (c *Core) retryAfter(j *job, salt uint64) time.Duration {
	if !c.cfg.Shed || j == nil || c.isStopping() {
		return policy.ShortRetryAfter(salt)
	}
	service := j.queue.Service
	load := c.serviceLoad(service)
	plan := c.load.retries[service]
	if plan == nil {
		plan = new(policy.RetryPlan)
		c.load.retries[service] = plan
	}
	return policy.RetryAfter(c.now, &load, plan, &policy.Refusal{
		Class: policy.Class(j.queue.Priority), Work: j.work(), ServeTime: j.queue.TargetTime(j.criticalPath),
		Backlog: load.Capacity * c.backlogSeconds(j.queue.Priority), Salt: hashOf(j.id),
	})
}

// backlogSeconds returns for how many seconds the endpoints of this entry and of the holders that it hears are busy with the queued
// work of a class and of those before it.
func (c *Core) backlogSeconds(priority int) float64 {
	queued, total := 0.0, 0.0
	for _, h := range c.holderOptions() {
		total += float64(h.View.Capacity.Total)
		for class, n := range h.View.Capacity.Queued {
			if class <= policy.Class(priority) {
				queued += float64(max(n, 0))
			}
		}
	}
	if total == 0 {
		return 0
	}
	return queued / total / 1000 // from milliseconds
}
