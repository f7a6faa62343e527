package prove

// mutants quotes source lines of core and io, which must occur there exactly as quoted.
var mutants = []mutant{
	{
		name: "lost-start-retried", scenario: "read-and-close", want: "times",
		edits: []edit{{"io/executor/executor.go",
			"result.Outcome, result.Reason = cornelwall.Unknown, cornelwall.ReasonLost",
			"result.Outcome, result.Reason = cornelwall.NotRun, cornelwall.ReasonLost"}},
	},
	{
		name: "transport-replays", scenario: "read-and-close", want: "times",
		edits: []edit{
			{"io/http1/client.go", "		r.Body = io.NopCloser(bytes.NewReader(req.Body))", `		r.Body = io.NopCloser(bytes.NewReader(req.Body))
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(req.Body)), nil }`},
			{"io/http1/client.go", "	resp, keep, err = c.roundTrip(ctx, nc, e.request)", `	resp, keep, err = c.roundTrip(ctx, nc, e.request)
	if again, dialErr := dial(context.Background(), c.cfg, netip.MustParseAddrPort(e.request.URL.Host)); err != nil && e.request.GetBody != nil && dialErr == nil {
		e.request.Body, _ = e.request.GetBody()
		resp, keep, err = again.roundTrip(e.request, c.cfg.MaxBody, observerOf(ctx))
	}`},
		},
	},
	{
		name: "lost-claim-wins", inEveryRun: true, scenario: "lost-swaps", want: "times",
		edits: []edit{{"core/claim/claim.go",
			"	if ev.Err != nil {\n		return c.readBack()", "	if ev.Err != nil {\n		return Won"}},
	},
	{
		name: "claim-unchecked", scenario: "same-key", want: "times",
		edits: []edit{{"core/claim/claim.go",
			"		if ev.Created {\n			return Won\n		}\n		return c.readBack()", "		return Won"}},
	},
	{
		name: "lower-version-taken", scenario: "older-store", want: "want 2 with 55",
		edits: []edit{{"core/catalog/catalog.go", "if ok && !p.Newer(&old) {", "if ok && !p.Newer(&old) && false {"}},
	},
	{
		name: "bystander-says-notrun", scenario: "kill-owner", want: "answer is notrun",
		edits: []edit{{"core/node/route.go",
			"a := cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Unknown, Reason: reason,",
			"a := cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Reason: reason,"}},
	},
	{
		name: "bystander-takes-over-lost", scenario: "kill-owner", want: "times",
		edits: []edit{{"core/node/route.go",
			"n.endForward(req, n.unknownAnswer(f.ticket, cornelwall.ReasonOwnerLost))", takeOver}},
	},
	{
		name: "bystander-takes-over-away", inEveryRun: true, scenario: "freeze-owner", want: "times",
		edits: []edit{{"core/node/route.go",
			"n.endForward(req, n.unknownAnswer(f.ticket, cornelwall.ReasonOwnerAway))", takeOver}},
	},
	{
		name: "next-life-accepts", inEveryRun: true, scenario: "kill-owner", want: "times",
		edits: []edit{
			{"core/node/route.go", "if tk.Owner == n.cfg.Self {", "if tk.Owner.SameEntry(n.cfg.Self) {"},
			{"core/node/route.go", "case f.Ticket.Owner == n.cfg.Self:", "case f.Ticket.Owner.SameEntry(n.cfg.Self):"},
		},
	},
	{
		name: "no-handover", inEveryRun: true, scenario: "rolling-restart", want: "unknown",
		edits: []edit{{"core/node/stop.go",
			"	if h.handedOffAt.IsZero() {\n		n.chooseSuccessors()", "	h.handedOffAt = n.now\n	if h.handedOffAt.IsZero() {\n		n.chooseSuccessors()"}},
	},
	{
		name: "drain-sign-forgotten", scenario: "leaving-signed", want: "after the executor began to leave",
		edits: []edit{{"core/node/draining.go",
			"		n.draining[name] = notice\n		n.markLeaving(name)", "		n.draining[name] = notice"}},
	},
	{
		name: "leaving-ignored", scenario: "leaving-listed", want: "starts were sent",
		edits: []edit{{"core/node/machines.go",
			"if vm.Kind != cornelwall.Entry {", "if vm.State = cornelwall.Live; vm.Kind != cornelwall.Entry {"}},
	},
	{
		name: "stop-does-not-wait", scenario: "rolling-restart", want: "want done",
		edits: []edit{{"core/node/stop.go", "} else if n.hasOpenJobs() {", "} else if false {"}},
	},
	{
		name: "task-left-out", scenario: "lossy-net", want: "answers",
		edits: []edit{{"core/owner/owner.go", "	return rs\n", "	return rs[1:]\n"}},
	},
	{
		name: "answer-to-next-life", scenario: "late-answer", want: "has the answer",
		edits: []edit{
			{"core/node/peers.go", "meant := e.To == n.cfg.Self", "meant := e.To.SameEntry(n.cfg.Self)"},
			{"core/node/route.go", "f == nil || f.ticket != reply.Answer.Ticket || (", "f == nil || ("},
		},
	},
	{
		name: "race-both-told", scenario: "operators-race", want: "both changes",
		edits: []edit{{"io/operator/change.go", "return p, c.resolveConflict(ctx, p)", "return p, nil"}},
	},
	{
		name: "lost-change-unsettled", scenario: "lost-swaps", want: "change 0",
		edits: []edit{{"io/operator/change.go", "for range resolveAttempts {", "for range 0 * resolveAttempts {"}},
	},
	{
		name: "stale-served", scenario: "stale-profile", want: "job stale",
		edits: []edit{{"core/node/admit.go",
			"case p.Stale == cornelwall.Refuse && n.stale():", "case p.Stale == cornelwall.Refuse && n.stale() && false:"}},
	},
	{
		name: "unclaimed-is-notrun", scenario: "platform-away", want: "answer is notrun",
		edits: []edit{{"core/node/keys.go",
			"return cornelwall.Answer{Outcome: cornelwall.Unknown, Reason: reason, RetryAfter",
			"return cornelwall.Answer{Outcome: cornelwall.NotRun, Final: true, Reason: reason, RetryAfter"}},
	},
	{
		name: "lapsed-lease-retried", scenario: "lapsed-lease", want: "times",
		edits: []edit{{"io/worker/worker.go",
			"b.clock.Now().Sub(renewedAt) > b.ttl:\n			return cornelwall.Result{Outcome: cornelwall.Unknown,",
			"b.clock.Now().Sub(renewedAt) > b.ttl:\n			return cornelwall.Result{Outcome: cornelwall.NotRun,"}},
	},
	{
		name: "cancelled-is-notrun", scenario: "cancel-waves", want: "was not run",
		edits: []edit{{"core/owner/owner.go",
			"t.Result = cornelwall.TaskAnswer{Outcome: cornelwall.Unknown, Reason: a.Reason}",
			"t.Result = cornelwall.TaskAnswer{Outcome: cornelwall.NotRun, Reason: a.Reason}"}},
	},
}

// takeOver is source code with which an entry that is not the owner runs the job that it forwarded.
const takeOver = `delete(n.forwards, req)
			if f.job != nil {
				n.accept(f.job, owner.Waiter{Req: req})
			}`
