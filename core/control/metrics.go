package control

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cornelwall"
)

const statusTimeout = time.Second // for the core to report its status to the metrics page

// loopMetrics holds the metrics of a loop. The counters of every reason exist from the start, so
// that a rate over the first increment can be computed.
type loopMetrics struct {
	set          *metrics.Set
	events       *metrics.Counter
	commands     *metrics.Counter
	batchSeconds *metrics.Histogram
	refusals     map[cornelwall.Reason]*metrics.Counter
	retries      map[cornelwall.Reason]*metrics.Counter
}

func newLoopMetrics(l *Loop) loopMetrics {
	m := loopMetrics{
		set:      metrics.NewSet(),
		refusals: map[cornelwall.Reason]*metrics.Counter{},
		retries:  map[cornelwall.Reason]*metrics.Counter{},
	}
	m.events = m.set.NewCounter("cornelwall_core_events_total")
	m.commands = m.set.NewCounter("cornelwall_core_commands_total")
	m.batchSeconds = m.set.NewHistogram("cornelwall_core_batch_seconds")
	m.set.NewGauge("cornelwall_core_events_waiting", func() float64 { return float64(len(l.events)) })
	m.set.NewGauge("cornelwall_core_requests_waiting", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(len(l.waiters))
	})
	for _, r := range cornelwall.ReasonValues() {
		if r != cornelwall.ReasonNone {
			m.refusals[r] = m.set.NewCounter(fmt.Sprintf("cornelwall_refusals_total{reason=%q}", r))
			m.retries[r] = m.set.NewCounter(fmt.Sprintf("cornelwall_retries_total{reason=%q}", r))
		}
	}
	return m
}

func (m *loopMetrics) count(c cornelwall.CountReason) {
	counters := m.refusals
	if c.Retry {
		counters = m.retries
	}
	if counter := counters[c.Reason]; counter != nil {
		counter.Add(c.N)
	}
}

// WriteMetrics writes the metrics of the loop and the status of the core in the Prometheus text
// format. If the core does not answer, its status is left out.
func (l *Loop) WriteMetrics(ctx context.Context, w io.Writer) {
	l.metrics.set.WritePrometheus(w)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s, err := l.Status(ctx)
	if err != nil {
		return
	}
	for _, g := range []struct {
		name  string
		value int
	}{
		{"machines", s.Machines},
		{"profiles", s.Profiles},
		{"peers_alive", s.Peers},
		{"jobs", s.Jobs},
		{"tasks_waiting", s.Waiting},
		{"tasks_running", s.Running},
		{"forwards_waiting", s.Forwards},
		{"claims_waiting", s.Claims},
		{"resends_waiting", s.Resends},
		{"inherited_bytes", s.InheritedBytes},
		{"stale", boolToInt(s.Stale)},
		{"stopping", boolToInt(s.Stopping)},
	} {
		metrics.WriteGaugeUint64(w, "cornelwall_"+g.name, uint64(g.value))
	}
	writeServices(w, s.Services)
}

// writeServices writes the loads of services over all entries.
func writeServices(w io.Writer, services []cornelwall.ServiceStatus) {
	for i := range services {
		s := &services[i]
		gauge := func(name string, value float64) {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("cornelwall_service_%s{service=%q}", name, s.Service), value)
		}
		gauge("demand_cores", s.Demand)
		gauge("capacity_cores", s.Capacity)
		gauge("entries", float64(s.Entries))
		gauge("age_seconds", s.Age.Seconds())
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Status returns the status of the core. The error is ErrStopping once the loop has ended, and
// that of ctx if the core does not answer in time.
func (l *Loop) Status(ctx context.Context) (cornelwall.Status, error) {
	cmd, err := l.Ask(ctx, func(req uint64) cornelwall.Event { return cornelwall.FetchStatus{Req: req} })
	if err != nil {
		return cornelwall.Status{}, err
	}
	return cmd.(cornelwall.ReplyStatus).Status, nil
}
