package peer

import "cornelwall"

const (
	messageOverhead = 256 // estimated bytes of a message, or of an item in it, without its texts and bodies
	runSize         = 128 // estimated bytes of a run in a message
	textOverhead    = 8   // estimated bytes that a text in a list takes beyond its own
)

// estimateSize returns approximately how many bytes a message takes.
func estimateSize(m *cornelwall.Message) int {
	size := messageOverhead
	switch {
	case m.Forward != nil && m.Forward.Job != nil:
		for i := range m.Forward.Job.Tasks {
			size += messageOverhead + len(m.Forward.Job.Tasks[i].Body)
		}
	case m.ForwardReply != nil:
		for i := range m.ForwardReply.Answer.Tasks {
			size += messageOverhead + len(m.ForwardReply.Answer.Tasks[i].Body)
		}
	case m.RecordTransfer != nil:
		for i := range m.RecordTransfer.Records {
			size += m.RecordTransfer.Records[i].Bytes()
		}
	case m.Profiles != nil:
		size += messageOverhead * len(m.Profiles.Profiles)
	case m.SessionHeartbeat != nil:
		size += heartbeatSize(m.SessionHeartbeat)
	case m.EndpointUpdate != nil:
		size += endpointUpdateSize(m.EndpointUpdate)
	case m.QueueConfigSync != nil && m.QueueConfigSync.Config != nil:
		size += queueConfigSize(m.QueueConfigSync.Config)
	case m.Cancellations != nil:
		size += messageOverhead * len(m.Cancellations.List)
	case m.CancellationAnswer != nil:
		size += messageOverhead * len(m.CancellationAnswer.List)
	case m.CrashReport != nil:
		size += messageOverhead * len(m.CrashReport.Crashes)
	case m.Assign != nil:
		size += len(m.Assign.Spec) + messageOverhead*len(m.Assign.Tasks)
	case m.Withdraw != nil:
		size += runSize * len(m.Withdraw.Runs)
	case m.RunResults != nil:
		size += runSize * len(m.RunResults.Runs)
	}
	return size
}

func heartbeatSize(h *cornelwall.SessionHeartbeat) int {
	size := messageOverhead*(len(h.Members)+len(h.Evacuations)) + runSize*len(h.Withdrawn)
	for queue := range h.Waiting {
		size += textOverhead + len(queue)
	}
	return size
}

func endpointUpdateSize(u *cornelwall.EndpointUpdate) int {
	size := 0
	for i := range u.Endpoints {
		size += messageOverhead + textSize(u.Endpoints[i].Labels)
	}
	return size + textSize(u.Removed)
}

func textSize(texts []string) int {
	size := 0
	for _, s := range texts {
		size += textOverhead + len(s)
	}
	return size
}

func queueConfigSize(c *cornelwall.QueueConfig) int {
	size := 0
	for i := range c.Queues {
		q := &c.Queues[i]
		size += messageOverhead + len(q.Name) + len(q.Host) + len(q.Prefix) + len(q.Service)
	}
	return size
}
