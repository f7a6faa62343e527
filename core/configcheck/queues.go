package configcheck

import (
	"fmt"
	"time"

	"cornelwall"
)

const (
	// maxTime bounds the times of a queue, as callers' deadlines are bounded. Far longer ones overflow when
	// target times are calculated.
	maxTime    = 24 * time.Hour
	minStretch = 1
	maxStretch = 1000 // far larger ones overflow with the longest estimates
)

// Input is a configuration to check.
type Input struct {
	Config   *cornelwall.QueueConfig
	Services []string // names of the services; nil if the file does not list any
	MaxPath  int      // bytes of the longest path that a request can have; 0 is no limit
	Source   Source
}

// CheckQueues returns the problems with a configuration, in the order of its queues.
func CheckQueues(in *Input) []Problem {
	c := &queueChecker{
		Input: in, report: report{source: in.Source}, services: map[string]bool{},
		names: map[string]int{}, addresses: map[address]int{},
	}
	c.checkConfig()
	c.checkServices()
	for i := range in.Config.Queues {
		c.index, c.queue = i, &in.Config.Queues[i]
		c.checkName()
		c.checkHost()
		c.checkPrefix()
		c.checkAddress()
		c.checkService()
		c.checkPriority()
		c.checkAttempts()
		c.checkTimes()
		c.checkStretch()
	}
	return c.problems
}

// queueChecker checks the queues of a configuration in turn.
type queueChecker struct {
	*Input
	report
	services  map[string]bool
	names     map[string]int  // index of the first queue of each name
	addresses map[address]int // index of the first queue of each host and prefix

	index int
	queue *cornelwall.Queue // of the index
}

// errorAt reports an error with a field of the present queue.
func (c *queueChecker) errorAt(f Field, remedy, format string, args ...any) {
	c.add(SeverityError, c.index, f, c.queue.Name, fmt.Sprintf(format, args...), remedy)
}

// warnAt reports a warning about a field of the present queue.
func (c *queueChecker) warnAt(f Field, remedy, format string, args ...any) {
	c.add(SeverityWarning, c.index, f, c.queue.Name, fmt.Sprintf(format, args...), remedy)
}

func (c *queueChecker) isSet(f Field) bool { return c.source.State(c.index, f) == StateSet }

func (c *queueChecker) checkConfig() {
	if c.Config.Version == 0 {
		c.add(SeverityError, 0, FieldVersion, "", "version is 0 or missing, and entries reject it",
			"set a version of 1 or more, above the one in force")
	}
	if len(c.Config.Queues) == 0 {
		c.add(SeverityWarning, 0, FieldQueues, "", "there are no queues, so that every request is answered 404", "add the queues")
	}
}

func (c *queueChecker) checkServices() {
	if c.Services == nil {
		c.add(SeverityWarning, 0, FieldServices, "", "no services are listed, so that the services of queues are not checked", "list the services")
	}
	for i, name := range c.Services {
		switch {
		case name == "":
			c.add(SeverityError, i, FieldServiceName, "", "the service has no name", "name it as the endpoints do")
		case c.services[name]:
			c.add(SeverityError, i, FieldServiceName, "", fmt.Sprintf("service %q is listed before", name), "keep one of them")
		}
		c.services[name] = true
	}
}

func (c *queueChecker) checkName() {
	name := c.queue.Name
	if name == "" {
		c.errorAt(FieldName, "set a name", "the queue has no name, and entries reject it")
		return
	}
	if first, ok := c.names[name]; ok {
		c.errorAt(FieldName, "give each queue a name of its own", "%s has the name %q too", c.source.Place(first, FieldName).Path, name)
		return
	}
	c.names[name] = c.index
}

func (c *queueChecker) checkService() {
	switch name := c.queue.Service; {
	case name == "":
		c.errorAt(FieldService, "name the service that runs the tasks", "the queue has no service, so that none of its tasks can run")
	case c.Services != nil && !c.services[name]:
		c.errorAt(FieldService, "add the service to "+c.source.Label(FieldServices)+", or correct the name", "service %q is not listed", name)
	}
}

func (c *queueChecker) checkPriority() {
	const last = cornelwall.FreeCapacityClasses - 1
	switch p := c.queue.Priority; {
	case p < 0:
		c.errorAt(FieldPriority, "set 0, which is the highest, or more", "priority %d is below 0", p)
	case p > last:
		c.warnAt(FieldPriority, fmt.Sprintf("set 0 to %d", last), "entries count the waiting work of priority %d with that of priority %d", p, last)
	case !c.isSet(FieldPriority):
		c.warnAt(FieldPriority, "set the priority", "no priority is set, so that the queue gets the highest one, 0")
	}
}

func (c *queueChecker) checkAttempts() {
	switch n := c.queue.Attempts; {
	case !c.isSet(FieldAttempts):
		c.warnAt(FieldAttempts, "set the attempts", "no attempts are set, so that a batch fails with the first task that fails")
	case n < 1:
		c.errorAt(FieldAttempts, "set 1 or more", "%d attempts are below 1", n)
	}
}

// checkTimes checks the time limit and the fixed part of the target time. The part that depends on the run
// time comes on top of it, so that a limit that is no longer leaves no time to run anything.
func (c *queueChecker) checkTimes() {
	limit, target := c.queue.Timeout, c.queue.Objective
	switch {
	case !c.isSet(FieldTimeout):
		c.errorAt(FieldTimeout, "set the time limit", "no time limit is set, so that requests without a deadline have no time left")
	case limit <= 0:
		c.errorAt(FieldTimeout, "set more than 0", "with a time limit of %s, requests without a deadline have no time left", limit)
	case limit > maxTime:
		c.errorAt(FieldTimeout, fmt.Sprintf("set at most %s", maxTime), "the time limit of %s is too long to calculate with", limit)
	case limit <= target && c.isSet(FieldObjective):
		c.errorAt(FieldTimeout, "raise the time limit, or lower "+c.source.Label(FieldObjective),
			"the time limit of %s is not above the fixed part of the target time, %s", limit, target)
	}
	switch {
	case target < 0:
		c.errorAt(FieldObjective, "set 0 or more", "the fixed part of the target time, %s, is below 0", target)
	case target > maxTime:
		c.errorAt(FieldObjective, fmt.Sprintf("set at most %s", maxTime), "the fixed part of the target time, %s, is too long to calculate with", target)
	}
}

func (c *queueChecker) checkStretch() {
	switch s := c.queue.Stretch; {
	case !c.isSet(FieldStretch):
		c.warnAt(FieldStretch, "set the stretch", "no stretch is set, so that entries take %d", minStretch)
	case !(s >= minStretch):
		c.errorAt(FieldStretch, fmt.Sprintf("set %d or more", minStretch), "a stretch of %g is below %d", s, minStretch)
	case s > maxStretch:
		c.errorAt(FieldStretch, fmt.Sprintf("set at most %d", maxStretch), "a stretch of %g is too large to calculate with", s)
	}
}
