package explain

import (
	"cmp"
	"slices"
	"time"
)

// Loss counts the batches of a queue that arrived within a second and were lost for one cause.
type Loss struct {
	Second   time.Time `json:"second"`
	Queue    string    `json:"queue"`
	Cause    Cause     `json:"cause"`
	Late     int       `json:"late"`
	Unserved int       `json:"unserved"`
}

// Losses counts the batches that were late or not served, in the order of seconds, queues and causes.
func Losses(batches []Batch) []Loss {
	type key struct {
		second int64
		queue  string
		cause  Cause
	}
	counts := map[key]*Loss{}
	for i := range batches {
		b := &batches[i]
		cause := b.Cause()
		if cause == CauseNone {
			continue
		}
		k := key{b.ArrivedAt.Unix(), b.Queue, cause}
		if counts[k] == nil {
			counts[k] = &Loss{Second: time.Unix(k.second, 0).UTC(), Queue: b.Queue, Cause: cause}
		}
		if b.Unserved() {
			counts[k].Unserved++
		} else {
			counts[k].Late++
		}
	}
	var list []Loss
	for _, l := range counts {
		list = append(list, *l)
	}
	slices.SortFunc(list, func(a, b Loss) int {
		return cmp.Or(a.Second.Compare(b.Second), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}

// Total adds up losses by queue and cause, the largest first.
func Total(losses []Loss) []Loss {
	type key struct {
		queue string
		cause Cause
	}
	index := map[key]int{}
	var list []Loss
	for _, l := range losses {
		k := key{l.Queue, l.Cause}
		i, ok := index[k]
		if !ok {
			i = len(list)
			index[k] = i
			list = append(list, Loss{Queue: l.Queue, Cause: l.Cause})
		}
		list[i].Late += l.Late
		list[i].Unserved += l.Unserved
	}
	slices.SortStableFunc(list, func(a, b Loss) int { return cmp.Compare(b.Late+b.Unserved, a.Late+a.Unserved) })
	return list
}
