package queue

import (
	"time"
)

// Forecast is what a lot has before it.
type Forecast struct {
	Work  time.Duration // slot time that goes before its end, its own included, if nothing else comes
	Team  time.Duration // of that, of its own team
	Share float64       // of the machines that its team gets at least, while others wait
}

// Forecast returns the outlook of a lot: all work of higher classes goes before it, the
// work of its team that is ranked before it, and of the other teams as much as their
// weight gives them while the team's own is done.
func (q *Queue) Forecast(l Group) Forecast {
	own := time.Duration(len(l.Tasks)) * l.RunTime
	ls := q.byNeed[l.Need]
	if ls == nil {
		return Forecast{Work: own, Team: own, Share: 1}
	}
	sum := time.Duration(0)
	for c := l.Class + 1; int(c) < len(ls.classes); c++ {
		sum += ls.classes[c].work
	}
	rank := l.Submitted.Add(time.Duration(sizePenalty * float64(own)))
	ln := &ls.classes[l.Class]
	if t := ln.teams[l.Team]; t != nil {
		for _, have := range t.groups.All() {
			if have.Job != l.Job && !have.rank.After(rank) {
				own += have.work()
			}
		}
	}
	weight := float64(max(1, l.Weight))
	all := weight
	for _, t := range ln.turns.All() {
		if t.name != l.Team {
			sum += min(t.work, time.Duration(float64(own)*t.weight/weight))
			all += t.weight
		}
	}
	return Forecast{Work: sum + own, Team: own, Share: weight / all}
}
