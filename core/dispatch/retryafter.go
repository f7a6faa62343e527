package dispatch

import (
	"time"

	"cornelwall/core/policy"
)

// retryAfter returns the time after which the callers of a refused job should come back. It follows from the load,
// or is a short delay selected by salt if the refusal has another reason (j is nil) or another entry is to take
// the batch: this one is stopping, or it may have missed cancellations and cannot ask for them.
func (c *Core) retryAfter(j *job, salt uint64) time.Duration {
	if !c.cfg.Shed || j == nil || c.isStopping() || c.catchUpOverdue() {
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
		Backlog: load.Capacity * c.queueLoad().Ahead(j.queue.Priority).Seconds(), Salt: hashOf(j.id),
	})
}
