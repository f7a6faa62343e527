package measure

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"cornelwall"
)

// group holds the results of one policy in one case at one site, one per seed.
type group struct {
	first   *Result
	results []Result
}

// groupResults groups adjacent results that differ only in their seed.
func groupResults(rs []Result) []*group {
	var gs []*group
	for i := range rs {
		r := &rs[i]
		var g *group
		if n := len(gs); n > 0 {
			g = gs[n-1]
		}
		if g == nil || g.first.Site != r.Site || g.first.Case != r.Case || g.first.Policy != r.Policy {
			g = &group{first: r}
			gs = append(gs, g)
		}
		g.results = append(g.results, *r)
	}
	return gs
}

// meanAndRange returns the mean, the minimum and the maximum over the seeds.
func (g *group) meanAndRange(f func(*Result) float64) (mean, low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for i := range g.results {
		v := f(&g.results[i])
		mean += v / float64(len(g.results))
		low, high = min(low, v), max(high, v)
	}
	return mean, low, high
}

// cell formats the mean and range of a figure as a table cell.
func (g *group) cell(format string, f func(*Result) float64) string {
	mean, low, high := g.meanAndRange(f)
	return fmt.Sprintf(format+" ("+format+"–"+format+")", mean, low, high)
}

// sum returns the sum over the seeds.
func (g *group) sum(f func(*Result) int) int {
	n := 0
	for i := range g.results {
		n += f(&g.results[i])
	}
	return n
}

// Markdown writes two tables: response times, and messages. A figure is the mean over the
// seeds with the minimum and the maximum; a count is the sum over the seeds.
func Markdown(w io.Writer, rs []Result) error {
	gs := groupResults(rs)
	var b strings.Builder
	b.WriteString("| site | case | load | policy | mean/ideal | mean/ideal of the jobs done alone | p50/ideal | p99/ideal | mean s | slowdown mean | slowdown p99 | ideal slowdown mean | goodput | slots busy |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, g := range gs {
		fmt.Fprintf(&b, "| %s | %s | %.2f | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			g.first.Site, g.first.Case.Name, g.first.Case.Load, g.first.Policy,
			g.cell("%.3f", (*Result).Ratio),
			g.cell("%.3f", (*Result).RatioDoneOnly),
			g.cell("%.2f", func(r *Result) float64 { return r.Response.P50 / r.Ideal.P50 }),
			g.cell("%.2f", func(r *Result) float64 { return r.Response.P99 / r.Ideal.P99 }),
			g.cell("%.3f", func(r *Result) float64 { return r.Response.Mean }),
			g.cell("%.2f", func(r *Result) float64 { return r.Slowdown.Mean }),
			g.cell("%.1f", func(r *Result) float64 { return r.Slowdown.P99 }),
			g.cell("%.2f", func(r *Result) float64 { return r.IdealSlowdown.Mean }),
			g.cell("%.3f", func(r *Result) float64 { return r.Goodput }),
			g.cell("%.3f", func(r *Result) float64 { return r.Utilization }))
	}
	b.WriteString("\n| site | case | load | policy | waste of task messages | refused starts | unused loans | wants in vain | repeats | messages between entries per task | jobs | refused | failed | late | no answer | refusal p99 s | eaten of tasks | doubled | refusals and failures by reason | retries by reason |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, g := range gs {
		fmt.Fprintf(&b, "| %s | %s | %.2f | %s | %s | %d | %d | %d | %d | %s | %d | %d | %d | %d | %d | %s | %s | %d | %s | %s |\n",
			g.first.Site, g.first.Case.Name, g.first.Case.Load, g.first.Policy,
			g.cell("%.4f", (*Result).WastePerTask),
			g.sum(func(r *Result) int { return r.Traffic.RefusedStarts }),
			g.sum(func(r *Result) int { return r.Traffic.UnusedLoans }),
			g.sum(func(r *Result) int { return r.Traffic.UnmetRequests }),
			g.sum(func(r *Result) int { return r.Traffic.Repeats }),
			g.cell("%.2f", func(r *Result) float64 {
				return float64(r.Traffic.LoanRequests+r.Traffic.Loans+r.Traffic.Returns) / float64(r.Tasks)
			}),
			g.sum(func(r *Result) int { return r.Jobs }),
			g.sum(func(r *Result) int { return r.Refused }),
			g.sum(func(r *Result) int { return r.Failed }),
			g.sum(func(r *Result) int { return r.Late }),
			g.sum(func(r *Result) int { return r.Unanswered }),
			g.cell("%.3f", func(r *Result) float64 { return r.RefusalP99 }),
			g.cell("%.5f", func(r *Result) float64 { return float64(r.RanOnFailing) / float64(r.Tasks) }),
			g.sum(func(r *Result) int { return r.StartedTwice }),
			g.reasons(func(r *Result) map[cornelwall.Reason]int { return r.Refusals }),
			g.reasons(func(r *Result) map[cornelwall.Reason]int { return r.Retries }))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// reasons lists the counts by reason, summed over the seeds.
func (g *group) reasons(f func(*Result) map[cornelwall.Reason]int) string {
	sum := map[cornelwall.Reason]int{}
	for i := range g.results {
		for reason, n := range f(&g.results[i]) {
			sum[reason] += n
		}
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(sum)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, sum[reason]))
	}
	return strings.Join(parts, ", ")
}

// CSV writes one line per run. Times are in milliseconds.
func CSV(w io.Writer, rs []Result) error {
	c := csv.NewWriter(w)
	rows := [][]string{{"site", "case", "load", "policy", "seed", "jobs", "done", "refused", "failed", "late", "open",
		"mean", "p50", "p99", "ideal mean", "ideal p50", "ideal p99", "alone mean", "alone p50", "alone p99", "slowdown mean", "slowdown p50", "slowdown p99",
		"goodput", "tasks", "waste per task message", "eaten", "doubled"}}
	ms := func(seconds float64) string {
		return fmt.Sprintf("%.1f", seconds*float64(time.Second/time.Millisecond))
	}
	for i := range rs {
		r := &rs[i]
		row := []string{r.Site, r.Case.Name, fmt.Sprint(r.Case.Load), r.Policy, fmt.Sprint(r.Seed)}
		for _, n := range []int{r.Jobs, r.Done, r.Refused, r.Failed, r.Late, r.Unanswered} {
			row = append(row, fmt.Sprint(n))
		}
		for _, s := range []Distribution{r.Response, r.Ideal, r.IdealDoneOnly} {
			row = append(row, ms(s.Mean), ms(s.P50), ms(s.P99))
		}
		for _, v := range []float64{r.Slowdown.Mean, r.Slowdown.P50, r.Slowdown.P99, r.Goodput} {
			row = append(row, fmt.Sprintf("%.4f", v))
		}
		row = append(row, fmt.Sprint(r.Tasks), fmt.Sprintf("%.5f", r.WastePerTask()), fmt.Sprint(r.RanOnFailing), fmt.Sprint(r.StartedTwice))
		rows = append(rows, row)
	}
	return c.WriteAll(rows)
}
