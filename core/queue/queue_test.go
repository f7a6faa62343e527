package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cornelwall"
	"cornelwall/core/queue"
	_ "cornelwall/standin/seeded"
)

var start = time.Unix(1700000000, 0)

// group returns a group of n tasks.
func group(job uint64, team string, n int) queue.Group {
	g := queue.Group{Job: job, Class: cornelwall.Normal, Team: team, Profile: team, Weight: 1, Submitted: start, RunTime: time.Second}
	for i := range n {
		g.Tasks = append(g.Tasks, i)
	}
	return g
}

// pops returns the jobs of the next n tasks, and "-" where there is none.
func pops(q *queue.Queue, n int) string {
	out := ""
	for range n {
		job, _, ok := q.Pop(cornelwall.Need{})
		if !ok {
			return out + "-"
		}
		out += fmt.Sprint(job)
	}
	return out
}

func TestOrder(t *testing.T) {
	with := func(g queue.Group, f func(*queue.Group)) queue.Group {
		f(&g)
		return g
	}
	for _, tc := range []struct {
		name   string
		groups []queue.Group
		want   string
	}{
		{"teams alternate", []queue.Group{group(1, "a", 3), group(2, "b", 3)}, "121212"},
		{"weights", []queue.Group{group(1, "a", 2), with(group(2, "b", 4), func(g *queue.Group) { g.Weight = 2 })}, "122122"},
		{"small jobs of a team first", []queue.Group{group(1, "a", 40), group(2, "a", 2)}, "22111"},
		{"old jobs of a team first", []queue.Group{group(1, "a", 3), with(group(2, "a", 1), func(g *queue.Group) { g.Submitted = start.Add(time.Minute) })}, "1112"},
		{"higher class first", []queue.Group{group(1, "a", 2), with(group(2, "b", 2), func(g *queue.Group) { g.Class = cornelwall.Urgent })}, "2211-"},
		{"lower class does not starve", []queue.Group{with(group(1, "a", 2), func(g *queue.Group) { g.Class = cornelwall.Batch }), group(2, "b", 40)}, "2222222222222221222"},
		{"limit of the profile", []queue.Group{with(group(1, "a", 3), func(g *queue.Group) { g.Limit = 2 }), group(2, "b", 1)}, "121-"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := queue.New()
			for _, g := range tc.groups {
				q.Push(g)
			}
			assert.Equal(t, pops(q, len(tc.want)), tc.want)
		})
	}
}

// TestHeadIsHighestClass checks Head before each start, those of the lower class included.
func TestHeadIsHighestClass(t *testing.T) {
	q := queue.New()
	low := group(1, "a", 5)
	low.Class = cornelwall.Batch
	q.Push(low)
	q.Push(group(2, "b", 40))
	for range 40 {
		class, _, _ := q.Head(cornelwall.Need{})
		assert.Equal(t, class, cornelwall.Normal)
		q.Pop(cornelwall.Need{})
	}
}

func TestReleaseUnblocks(t *testing.T) {
	q := queue.New()
	g := group(1, "a", 3)
	g.Limit = 1
	q.Push(g)
	assert.Equal(t, q.Waiting(cornelwall.Need{}), 1)
	assert.Equal(t, pops(q, 2), "1-")
	q.Release("a")
	assert.Equal(t, pops(q, 2), "1-")
	assert.Equal(t, q.Len(), 1)
}

func TestForecast(t *testing.T) {
	q := queue.New()
	q.Push(group(1, "a", 10))
	q.Push(group(2, "b", 3))
	assert.Equal(t, q.Forecast(group(3, "c", 2)).Work, 6*time.Second)  // 2 own, 2 of a, 2 of b
	assert.Equal(t, q.Forecast(group(3, "b", 4)).Work, 14*time.Second) // 4 own, 3 of its team before it, 7 of a
}

// TestCounts compares the counts of the queue with a plain map over random operations.
func TestCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New()
		waiting := map[uint64]int{}
		running := map[string]int{}
		next := uint64(0)
		teams := []string{"a", "b", "c"}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				g := group(next, rapid.SampledFrom(teams).Draw(t, "team"), rapid.IntRange(1, 5).Draw(t, "tasks"))
				g.Limit = map[string]int{"a": 0, "b": 2, "c": 7}[g.Team]
				g.Class = cornelwall.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				q.Push(g)
				waiting[next] = len(g.Tasks)
			},
			"pop": func(*rapid.T) {
				if job, _, ok := q.Pop(cornelwall.Need{}); ok {
					if waiting[job]--; waiting[job] < 0 {
						t.Fatalf("popped more tasks of job %d than were pushed", job)
					}
				}
			},
			"remove": func(t *rapid.T) {
				job := rapid.Uint64Range(0, next).Draw(t, "job")
				assert.Equal(t, q.Remove(job), waiting[job])
				waiting[job] = 0
			},
			"release": func(t *rapid.T) {
				team := rapid.SampledFrom(teams).Draw(t, "team")
				if running[team] > 0 {
					running[team]--
					q.Release(team)
				}
			},
			"expect": func(t *rapid.T) {
				q.SetRunTime(rapid.Uint64Range(0, next).Draw(t, "job"), time.Duration(rapid.IntRange(1, 9).Draw(t, "each"))*time.Second)
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, n := range waiting {
					sum += n
				}
				assert.Equal(t, q.Len(), sum)
				assert.Equal(t, q.ProfileLen("a")+q.ProfileLen("b")+q.ProfileLen("c"), sum)
				assert.Assert(t, q.Waiting(cornelwall.Need{}) <= sum)
			},
		})
	})
}

// BenchmarkPop pops and pushes tasks while up to 250 teams have a job of 770 tasks waiting each.
func BenchmarkPop(b *testing.B) {
	for _, teams := range []int{10, 50, 250} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := queue.New()
			for i := range teams {
				q.Push(group(uint64(i+1), fmt.Sprintf("team-%d", i), 770))
			}
			for b.Loop() {
				job, task, _ := q.Pop(cornelwall.Need{})
				g := group(job, fmt.Sprintf("team-%d", job-1), 0)
				g.Tasks = append(g.Tasks, task)
				q.Push(g)
			}
		})
	}
}

// BenchmarkRemove removes a job of 770 tasks and queues it again.
func BenchmarkRemove(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			q := queue.New()
			for i := range jobs {
				q.Push(group(uint64(i+1), fmt.Sprintf("team-%d", i%250), 770))
			}
			g := group(1, "team-0", 770)
			for b.Loop() {
				q.Remove(1)
				q.Push(g)
			}
		})
	}
}

// BenchmarkAhead predicts the wait of a job.
func BenchmarkAhead(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			q := queue.New()
			for i := range jobs {
				q.Push(group(uint64(i+1), fmt.Sprintf("team-%d", i%250), 770))
			}
			g := group(1e6, "team-0", 770)
			for b.Loop() {
				q.Forecast(g)
			}
		})
	}
}
