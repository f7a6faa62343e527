package prove

var mutants = []mutant{
	{
		name: "lost-start-retried", always: true, scenario: "read-and-close", want: "times",
		edits: []edit{{"io/executor/executor.go",
			"result.Outcome, result.Reason = cornelwall.Unknown, cornelwall.ReasonLost",
			"result.Outcome, result.Reason = cornelwall.NotRun, cornelwall.ReasonLost"}},
	},
	{
		name: "transport-replays", scenario: "read-and-close", want: "times",
		edits: []edit{
			{"io/http1/client.go", `r.Header.Del("Idempotency-Key")`, `r.Header.Set("Idempotency-Key", "any")`},
			{"io/http1/client.go", "// leaves GetBody nil", `
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(req.Body)), nil }`},
			{"io/http1/conn.go", "if g.conn != nil || g.sealed {", "if g.sealed {"},
		},
	},
	{
		name: "lost-claim-wins", scenario: "lost-swaps", want: "times",
		edits: []edit{{"core/claim/claim.go",
			"	if ev.Err != nil {\n		return c.read()", "	if ev.Err != nil {\n		return Won"}},
	},
	{
		name: "claim-unchecked", scenario: "same-key", want: "times",
		edits: []edit{{"core/claim/claim.go",
			"		if ev.Swapped {\n			return Won\n		}\n		return c.read()", "		return Won"}},
	},
	{
		name: "lower-version-taken", scenario: "older-store", want: "want 2 with 55",
		edits: []edit{{"core/catalog/catalog.go", "if ok && !p.Newer(&old) {", "if ok && !p.Newer(&old) && false {"}},
	},
}
