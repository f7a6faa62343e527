package fuzz

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cornelwall"
)

const maxMutantHistories = 60 // histories within which each mutant must be detected

// mapReplies replaces each reply of a core with the commands that f returns; none drops
// the reply.
func mapReplies(f func(r cornelwall.Reply) []cornelwall.Command) func([]cornelwall.Command) []cornelwall.Command {
	return func(cmds []cornelwall.Command) []cornelwall.Command {
		var out []cornelwall.Command
		for _, cmd := range cmds {
			if r, ok := cmd.(cornelwall.Reply); ok {
				out = append(out, f(r)...)
				continue
			}
			out = append(out, cmd)
		}
		return out
	}
}

// editDone edits the answers of jobs that are done.
func editDone(f func(a *cornelwall.Answer)) func([]cornelwall.Command) []cornelwall.Command {
	return mapReplies(func(r cornelwall.Reply) []cornelwall.Command {
		if r.Answer.Outcome == cornelwall.Done {
			r.Answer.Tasks = slices.Clone(r.Answer.Tasks)
			f(&r.Answer)
		}
		return []cornelwall.Command{r}
	})
}

// filterSent edits the messages to peers, and drops those for which f returns false.
func filterSent(f func(m *cornelwall.Message) (keep bool)) func([]cornelwall.Command) []cornelwall.Command {
	return func(cmds []cornelwall.Command) []cornelwall.Command {
		var out []cornelwall.Command
		for _, cmd := range cmds {
			s, ok := cmd.(cornelwall.Send)
			if ok && !f(&s.Message) {
				continue
			}
			if ok {
				cmd = s
			}
			out = append(out, cmd)
		}
		return out
	}
}

// forgetRefusals refuses every third submission under a ticket without passing it to the
// core.
func forgetRefusals() mutation {
	n := 0
	var refused *cornelwall.Submit
	return mutation{
		event: func(ev cornelwall.Event) cornelwall.Event {
			s, ok := ev.(cornelwall.Submit)
			if !ok || s.Job.Ticket.IsZero() {
				return ev
			}
			if n++; n%3 != 0 {
				return ev
			}
			refused = &s
			return cornelwall.Tick{}
		},
		commands: func(cmds []cornelwall.Command) []cornelwall.Command {
			if refused != nil {
				cmds = append(cmds, cornelwall.Reply{Req: refused.Req, Answer: cornelwall.Answer{
					Ticket: refused.Job.Ticket, Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonQueueFull, Final: true}})
				refused = nil
			}
			return cmds
		},
	}
}

// swapAnswers gives a caller the results of the previous caller.
func swapAnswers() mutation {
	var last []cornelwall.TaskAnswer
	return mutation{commands: editDone(func(a *cornelwall.Answer) {
		if len(last) == len(a.Tasks) {
			a.Tasks, last = last, a.Tasks
			return
		}
		last = a.Tasks
	})}
}

// loseAllReplies makes every machine lose replies.
func loseAllReplies(r *rig) {
	for _, m := range r.machines {
		m.mode = losesReplies
	}
}

// stopImmediately reports a planned stop as complete when it begins.
func stopImmediately() mutation {
	stop := false
	return mutation{
		event: func(ev cornelwall.Event) cornelwall.Event {
			_, stop = ev.(cornelwall.Stop)
			return ev
		},
		commands: func(cmds []cornelwall.Command) []cornelwall.Command {
			if stop {
				cmds = append(cmds, cornelwall.Stopped{})
			}
			return cmds
		},
	}
}

// TestMutants injects one deliberate fault at a time and checks that the oracle detects
// it.
func TestMutants(t *testing.T) {
	for _, tt := range []struct {
		name     string
		actions  []action
		mutation func() mutation
	}{
		{"a start is sent twice", allActions, func() mutation {
			return mutation{commands: func(cmds []cornelwall.Command) []cornelwall.Command {
				for _, cmd := range cmds {
					if r, ok := cmd.(cornelwall.RunTask); ok {
						return append(cmds, r)
					}
				}
				return cmds
			}}
		}},
		{"a start whose reply was lost is retried", allActions, func() mutation {
			return mutation{setup: loseAllReplies, event: func(ev cornelwall.Event) cornelwall.Event {
				if e, ok := ev.(cornelwall.TaskEnded); ok && e.Result.Outcome == cornelwall.Unknown {
					e.Result.Outcome = cornelwall.NotRun
					return e
				}
				return ev
			}}
		}},
		{"an entry that is not the owner runs the job", allActions, func() mutation {
			return mutation{event: func(ev cornelwall.Event) cornelwall.Event {
				if s, ok := ev.(cornelwall.Submit); ok && !s.Job.Ticket.IsZero() {
					job := *s.Job
					job.Ticket = cornelwall.Ticket{}
					s.Job = &job
					return s
				}
				return ev
			}}
		}},
		{"an entry that is not the owner answers not run", allActions, func() mutation {
			return mutation{commands: mapReplies(func(r cornelwall.Reply) []cornelwall.Command {
				if r.Answer.Reason == cornelwall.ReasonOwnerAway {
					r.Answer.Outcome, r.Answer.Final = cornelwall.NotRun, true
				}
				return []cornelwall.Command{r}
			})}
		}},
		{"a refusal is forgotten", allActions, forgetRefusals},
		{"a claim wins although the key exists", allActions, func() mutation {
			return mutation{event: func(ev cornelwall.Event) cornelwall.Event {
				if s, ok := ev.(cornelwall.StoreResult); ok && s.Err == nil && s.Pair.Key == "" {
					s.Created = true
					return s
				}
				return ev
			}}
		}},
		{"a failed job is answered as not run", allActions, func() mutation {
			return mutation{commands: mapReplies(func(r cornelwall.Reply) []cornelwall.Command {
				if r.Answer.Outcome == cornelwall.Failed {
					r.Answer.Outcome = cornelwall.NotRun
				}
				return []cornelwall.Command{r}
			})}
		}},
		{"an answer lacks a result", allActions, func() mutation {
			return mutation{commands: editDone(func(a *cornelwall.Answer) { a.Tasks = a.Tasks[:len(a.Tasks)-1] })}
		}},
		{"results are out of order", allActions, func() mutation {
			return mutation{commands: editDone(func(a *cornelwall.Answer) { slices.Reverse(a.Tasks) })}
		}},
		{"a caller gets the answer of another", allActions, swapAnswers},
		{"an answer is sent twice", allActions, func() mutation {
			return mutation{commands: mapReplies(func(r cornelwall.Reply) []cornelwall.Command { return []cornelwall.Command{r, r} })}
		}},
		{"an answer is not sent", allActions, func() mutation {
			return mutation{commands: mapReplies(func(r cornelwall.Reply) []cornelwall.Command {
				if r.Answer.Outcome == cornelwall.Done {
					return nil
				}
				return []cornelwall.Command{r}
			})}
		}},
		{"an answer changes", allActions, func() mutation {
			n := 0
			return mutation{commands: mapReplies(func(r cornelwall.Reply) []cornelwall.Command {
				if n++; r.Answer.Outcome == cornelwall.Done && n%2 == 0 {
					r.Answer.Outcome = cornelwall.Failed
					r.Answer.Tasks = slices.Clone(r.Answer.Tasks)
					for i := range r.Answer.Tasks {
						r.Answer.Tasks[i].Body = nil
					}
				}
				return []cornelwall.Command{r}
			})}
		}},
		{"operators write without compare-and-swap", allActions, func() mutation { return mutation{blindWrites: true} }},
		{"profiles are not sent to peers", allActions, func() mutation {
			return mutation{commands: filterSent(func(m *cornelwall.Message) bool { return m.Profiles == nil })}
		}},
		{"a profile version decreases", allActions, func() mutation {
			n := 0
			return mutation{commands: func(cmds []cornelwall.Command) []cornelwall.Command {
				for _, cmd := range cmds {
					if r, ok := cmd.(cornelwall.ReplyProfiles); ok && len(r.Profiles) > 0 {
						if n++; n%100 == 0 {
							r.Profiles[0].Version--
						}
					}
				}
				return cmds
			}}
		}},
		{"a leaving machine is ignored", allActions, func() mutation {
			return mutation{event: func(ev cornelwall.Event) cornelwall.Event {
				switch ev := ev.(type) {
				case cornelwall.MachinesListed:
					ev.VMs = slices.Clone(ev.VMs)
					for i := range ev.VMs {
						ev.VMs[i].State = cornelwall.Live
					}
					return ev
				case cornelwall.TaskEnded:
					ev.Result.Draining = false
					return ev
				}
				return ev
			}}
		}},
		{"outcomes are missing from a hand-off", plannedStops, func() mutation {
			return mutation{commands: filterSent(func(m *cornelwall.Message) bool {
				if m.RecordTransfer != nil {
					in := *m.RecordTransfer
					in.Records = nil
					m.RecordTransfer = &in
				}
				return true
			})}
		}},
		{"a planned stop does not wait for jobs", plannedStops, stopImmediately},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := 1; seed <= maxMutantHistories; seed++ {
				failure := rapid.Custom(func(rt *rapid.T) string {
					return runHistory(rt, tt.mutation(), tt.actions).failure
				}).Example(seed)
				if failure != "" {
					t.Logf("detected with seed %d: %s", seed, failure)
					return
				}
			}
			t.Errorf("the oracle did not detect the fault in %d histories", maxMutantHistories)
		})
	}
}
