package queue

import (
	"time"
)

// Forecast predicts the work that has to be done until a group has ended.
type Forecast struct {
	Work  time.Duration // slot time of all tasks up to its end if no more are submitted
	Team  time.Duration // the part of Work that is of its own team
	Share float64       // minimum share of the machines that its team gets while others wait
}

// Forecast predicts the work for a group. Before its end come all work of higher classes, the work
// of its own team with an earlier rank, and as much of the other teams' work as their weights give
// them in the meantime.
func (q *Queue) Forecast(g Group) Forecast {
	teamWork := time.Duration(len(g.Tasks)) * g.RunTime
	nq := q.byNeed[g.Need]
	if nq == nil {
		return Forecast{Work: teamWork, Team: teamWork, Share: 1}
	}
	ahead := time.Duration(0)
	for c := g.Class + 1; int(c) < len(nq.classes); c++ {
		ahead += nq.classes[c].work
	}
	rank := g.Submitted.Add(time.Duration(sizePenalty * float64(teamWork)))
	cq := &nq.classes[g.Class]
	if t := cq.teams[g.Team]; t != nil {
		for _, other := range t.groups.All() {
			if other.Job != g.Job && !other.rank.After(rank) {
				teamWork += other.work()
			}
		}
	}
	weight := float64(max(1, g.Weight))
	weights := weight
	for _, t := range cq.byStartTag.All() {
		if t.name != g.Team {
			ahead += min(t.work, time.Duration(float64(teamWork)*t.weight/weight))
			weights += t.weight
		}
	}
	return Forecast{Work: ahead + teamWork, Team: teamWork, Share: weight / weights}
}
