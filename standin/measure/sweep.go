package measure

import (
	"context"
	"sync"
)

// Plan lists the runs of a sweep: every policy in every case at every site.
type Plan struct {
	Sites    []Site
	Cases    []Case
	Policies []Policy
	Seeds    int
	Workers  int // concurrent runs
}

const baselineSeeds = 2 // at most, for a baseline policy

// seedCount returns the number of seeds for a policy in a case. Baseline policies run only in
// the load cases.
func (p *Plan) seedCount(c Case, policy Policy) int {
	switch {
	case !policy.Baseline:
		return p.Seeds
	case c.Name != "load":
		return 0
	}
	return min(p.Seeds, baselineSeeds)
}

// Sweep makes all runs of the plan and returns their results in the order of the plan,
// whatever order the runs end in. It stops early when ctx is done.
func Sweep(ctx context.Context, p Plan) ([]Result, error) {
	var todo []func() Result
	for _, site := range p.Sites {
		for _, c := range p.Cases {
			for _, policy := range p.Policies {
				for seed := range p.seedCount(c, policy) {
					todo = append(todo, func() Result { return Run(site, c, policy, uint64(seed+1)) })
				}
			}
		}
	}
	results := make([]Result, len(todo))
	next := make(chan int)
	var wg sync.WaitGroup
	for range p.Workers {
		wg.Go(func() {
			for i := range next {
				results[i] = todo[i]()
			}
		})
	}
	for i := range todo {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	wg.Wait()
	return results, ctx.Err()
}
