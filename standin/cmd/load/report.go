package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cornelwall/standin/drive"
	"cornelwall/standin/local"
	"cornelwall/standin/task"
)

// Names of metrics of the entries.
const (
	envelopesSent = "cornelwall_peer_envelopes_sent_total"
	messagesSent  = "cornelwall_peer_messages_sent_total"
	refusals      = "cornelwall_refusals_total"
	retries       = "cornelwall_retries_total"
)

// counts holds counters summed over all entries, keyed by name and labels.
type counts map[string]float64

// readCounters reads and sums the metrics of all entries.
func readCounters(ctx context.Context, sys *local.System) (counts, error) {
	sums := counts{}
	for _, e := range sys.Entries {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL("operators")+"/metrics", nil)
		if err != nil {
			return nil, err
		}
		r.Header.Set("Authorization", "Bearer "+local.Token)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil, err
		}
		sums.addPage(resp.Body)
		_ = resp.Body.Close()
	}
	return sums, nil
}

// addPage adds the counters of one response to GET /metrics.
func (c counts) addPage(r io.Reader) {
	for scan := bufio.NewScanner(r); scan.Scan(); {
		name, value, _ := strings.Cut(scan.Text(), " ")
		if n, err := strconv.ParseFloat(value, 64); err == nil && strings.HasPrefix(name, "cornelwall_") {
			c[name] += n
		}
	}
}

// since returns the increase of each counter since the reading before.
func (c counts) since(before counts) counts {
	diff := counts{}
	for name, n := range c {
		if d := n - before[name]; d != 0 {
			diff[name] = d
		}
	}
	return diff
}

// byReason returns the values of a counter, keyed by its reason label.
func (c counts) byReason(name string) map[string]int {
	by := map[string]int{}
	for full, n := range c {
		if label, ok := strings.CutPrefix(full, name+`{reason="`); ok {
			by[strings.TrimSuffix(label, `"}`)] = int(n)
		}
	}
	return by
}

// report is the result of a run. Mean, P50, P99 and Max are ratios of the response time to the ideal
// response time.
type report struct {
	Loop     string  `json:"loop"`
	Tasks    int     `json:"tasks"`    // per job
	TaskTime string  `json:"tasktime"` // run time of each task, the ideal response time of a job
	Elapsed  string  `json:"took"`
	JobRate  float64 `json:"jobrate"` // jobs per second

	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`

	IdleMessages      float64 `json:"idlemessages"` // per second, sum of all entries, without load
	MessagesPerTask   float64 `json:"messagespertask"`
	BeyondIdlePerTask float64 `json:"beyondidlepertask"` // messages per task, less those that an idle system sends
	EnvelopesPerTask  float64 `json:"envelopespertask"`
	RefusedStarts     int     `json:"refusedstarts"` // by executors and workers

	Refusals map[string]int    `json:"refusals"` // by reason
	Retries  map[string]int    `json:"retries"`  // by reason
	Audit    drive.AuditResult `json:"sums"`
}

func newReport(p loadPlan, elapsed time.Duration, h *hdrhistogram.Histogram, c counts, idle float64, machines []task.StartCounts, audit drive.AuditResult) *report {
	tasks := float64(max(1, audit.Starts))
	ratio := func(n int64) float64 { return float64(n) / ratioScale }
	r := &report{
		Loop: fmt.Sprintf("closed, %d clients", p.clients), Tasks: p.tasks, TaskTime: p.taskTime.String(),
		Elapsed: elapsed.Round(time.Millisecond).String(), JobRate: float64(audit.Jobs) / elapsed.Seconds(),
		Mean: h.Mean() / ratioScale, P50: ratio(h.ValueAtQuantile(50)), P99: ratio(h.ValueAtQuantile(99)), Max: ratio(h.Max()),
		IdleMessages: idle, MessagesPerTask: c[messagesSent] / tasks, EnvelopesPerTask: c[envelopesSent] / tasks,
		BeyondIdlePerTask: max(0, c[messagesSent]-idle*elapsed.Seconds()) / tasks,
		Refusals:          c.byReason(refusals), Retries: c.byReason(retries), Audit: audit,
	}
	if p.rate > 0 {
		r.Loop = fmt.Sprintf("open, %g jobs/s", p.rate)
	}
	for _, m := range machines {
		for _, n := range m.Refused {
			r.RefusedStarts += n
		}
	}
	return r
}

// print writes the report as a table.
func (r *report) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) // errors of standard output are ignored
	}
	row("loop", "%s", r.Loop)
	row("jobs", "%d of %d tasks of %s in %s, %.1f jobs/s", r.Audit.Jobs, r.Tasks, r.TaskTime, r.Elapsed, r.JobRate)
	row("response/ideal", "mean %.3f  p50 %.3f  p99 %.3f  max %.3f", r.Mean, r.P50, r.P99, r.Max)
	row("messages/task", "%.3f, in %.3f envelopes", r.MessagesPerTask, r.EnvelopesPerTask)
	row("beyond idle/task", "%.3f (idle: %.1f messages/s)", r.BeyondIdlePerTask, r.IdleMessages)
	row("starts refused by endpoints", "%d", r.RefusedStarts)
	row("refusals", "%s", formatCounts(r.Refusals))
	row("retries", "%s", formatCounts(r.Retries))
	row("audit", "%s", r.Audit)
	_ = t.Flush()
}

// formatCounts returns the counts as "name=count" pairs in the order of the names.
func formatCounts(by map[string]int) string {
	if len(by) == 0 {
		return "none"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(by)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, by[name]))
	}
	return strings.Join(parts, " ")
}
