package fuzz

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

const (
	submissions = 200 // submissions of each kind
	taskTime    = 50 * time.Millisecond
	localDelay  = 200 * time.Microsecond // one way, within a data centre
	remoteDelay = 1500 * time.Microsecond
	storeDelay  = 5 * time.Millisecond
)

// cost is the cost of submissions.
type cost struct {
	forwards, others int // messages between entries, excluding heartbeats
	platformCalls    int // calls to the platform
	overhead         time.Duration
	outcomes         map[cornelwall.Outcome]int
}

// meter measures the cost of submissions in a rig without faults.
type meter struct {
	*rig
	cost
	answered time.Time
	answer   cornelwall.Answer
}

func newMeter() *meter {
	m := &meter{rig: newRig(1, mutation{}), cost: cost{outcomes: map[cornelwall.Outcome]int{}}}
	m.w.Store.Delay = storeDelay
	m.w.Link = func(from, to cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
		for i := range e.Messages {
			switch msg := &e.Messages[i]; {
			case msg.Forward != nil, msg.ForwardReply != nil:
				m.forwards++
			case msg.Heartbeat == nil:
				m.others++
			}
		}
		if from.DataCentre == to.DataCentre {
			return fake.Delivery{Delays: []time.Duration{localDelay}}
		}
		return fake.Delivery{Delays: []time.Duration{remoteDelay}}
	}
	m.w.TaskResult = func(_ *fake.Host, run cornelwall.RunTask) (time.Duration, cornelwall.Result) {
		return taskTime, cornelwall.Result{Outcome: cornelwall.Done, Body: run.Start.Body}
	}
	m.w.OnOutput = func(h *fake.Host, cmd cornelwall.Command) {
		switch cmd := cmd.(type) {
		case cornelwall.Reply:
			m.answered, m.answer = m.w.Now, cmd.Answer
		case cornelwall.ReplyTickets:
			m.handleOutput(h, cmd)
		}
	}
	return m
}

// submit submits one job of one task and adds its cost.
func (m *meter) submit(e *entry, tk cornelwall.Ticket, key string) {
	before, began := m.w.Store.Gets+m.w.Store.Swaps, m.w.Now
	m.w.Post(e.host, cornelwall.Submit{Req: 1, Key: key, Job: &cornelwall.Job{Profile: "holds", Ticket: tk, Tasks: make([]cornelwall.Task, 1)}})
	m.w.Advance(time.Second)
	m.platformCalls += m.w.Store.Gets + m.w.Store.Swaps - before
	m.outcomes[m.answer.Outcome]++
	m.overhead += m.answered.Sub(began)
}

func (m *meter) draw(e *entry) cornelwall.Ticket {
	m.w.Post(e.host, cornelwall.DrawTickets{Req: 2, Profile: "holds", N: 1})
	m.w.Advance(time.Millisecond)
	t := m.unusedTickets[len(m.unusedTickets)-1].ticket
	return t
}

// TestSubmissionCost compares tickets with keys: messages between entries and platform
// calls per submission, and the time beyond the run time of the task.
func TestSubmissionCost(t *testing.T) {
	for _, tt := range []struct {
		name string
		want cornelwall.Outcome
		send func(m *meter, e, other *entry, i int)
	}{
		{"no ticket, no key", cornelwall.Done, func(m *meter, e, _ *entry, _ int) { m.submit(e, cornelwall.Ticket{}, "") }},
		{"ticket, at its owner", cornelwall.Done, func(m *meter, e, _ *entry, _ int) { m.submit(e, m.draw(e), "") }},
		{"ticket, at another entry", cornelwall.Done, func(m *meter, e, other *entry, _ int) { m.submit(other, m.draw(e), "") }},
		{"key", cornelwall.Done, func(m *meter, e, _ *entry, i int) { m.submit(e, cornelwall.Ticket{}, fmt.Sprint(i)) }},
		{"key, reply of the platform lost", cornelwall.Done, func(m *meter, e, _ *entry, i int) {
			m.w.Store.LoseAnswers = 1
			m.submit(e, cornelwall.Ticket{}, fmt.Sprint(i))
		}},
		{"ticket, platform down", cornelwall.Done, func(m *meter, e, other *entry, _ int) {
			m.w.Store.Down = true
			m.submit(other, m.draw(e), "")
		}},
		{"key, platform down", cornelwall.Unknown, func(m *meter, e, _ *entry, i int) {
			m.w.Store.Down = true
			m.submit(e, cornelwall.Ticket{}, fmt.Sprint(i))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := newMeter()
			for i := range submissions {
				n := len(m.entries)
				tt.send(m, m.entries[i%n], m.entries[(i+1+i/n%(n-1))%n], i)
			}
			per := func(n int) float64 { return float64(n) / submissions }
			over := m.overhead/submissions - taskTime
			if tt.want != cornelwall.Done {
				over += taskTime
			}
			t.Logf("| %s | %.2f | %.2f | %.2f | %s | %s |", tt.name, per(m.forwards), per(m.others), per(m.platformCalls),
				over.Round(10*time.Microsecond), tt.want)
			assert.Equal(t, m.outcomes[tt.want], submissions)
		})
	}
}

// TestResubmissionCost measures the cost of submitting a job again at another entry after
// it has ended.
func TestResubmissionCost(t *testing.T) {
	for _, key := range []bool{false, true} {
		m := newMeter()
		for i := range submissions {
			tk, k := cornelwall.Ticket{}, fmt.Sprint(i)
			if !key {
				tk, k = m.draw(m.entries[i%len(m.entries)]), ""
			}
			m.submit(m.entries[i%len(m.entries)], tk, k)
			m.cost = cost{forwards: m.forwards, platformCalls: m.platformCalls, outcomes: m.outcomes, overhead: m.overhead}
			before := m.cost
			m.submit(m.entries[(i+1)%len(m.entries)], tk, k)
			again := cost{forwards: m.forwards - before.forwards, platformCalls: m.platformCalls - before.platformCalls, overhead: m.overhead - before.overhead}
			if i == 0 {
				t.Logf("resubmitted with key %v: %d messages, %d platform calls, %s", key, again.forwards, again.platformCalls, again.overhead)
			}
			assert.Equal(t, again.forwards, 2)
			assert.Equal(t, again.platformCalls == 0, !key)
		}
		assert.Equal(t, m.outcomes[cornelwall.Done], 2*submissions)
	}
}
