package configcheck

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

// testSource names the fields as the enum does. Fields are set unless states has another state for them.
type testSource struct{ states map[string]State }

func (s testSource) Place(index int, f Field) Place { return Place{Path: s.path(index, f)} }
func (s testSource) Label(f Field) string           { return f.String() }

func (s testSource) State(index int, f Field) State {
	if st, ok := s.states[s.path(index, f)]; ok {
		return st
	}
	return StateSet
}

func (s testSource) path(index int, f Field) string {
	if f >= FieldName && f <= FieldServiceName {
		return fmt.Sprintf("%d.%s", index, f)
	}
	return f.String()
}

// format returns problems as lines of text.
func format(ps []Problem) string {
	var lines []string
	for _, p := range ps {
		lines = append(lines, fmt.Sprintf("%s %s: %s; %s", p.Severity, p.Place.Path, p.Text, p.Remedy))
	}
	return strings.Join(lines, "\n")
}

func validQueues() []cornelwall.Queue {
	q := cornelwall.Queue{Name: "holds", Host: "seats.example", Prefix: "/holds/", Service: "seats",
		Attempts: 4, Timeout: 1500 * time.Millisecond, Objective: 60 * time.Millisecond, Stretch: 1.6}
	other := q
	other.Name, other.Prefix, other.Priority = "checks", "/checks/", 2
	return []cornelwall.Queue{q, other}
}

// TestCheckQueues guards against mistakes in a configuration that pass unnoticed, and against complaints about
// what is right. The first queue is checked, after which the second may follow.
func TestCheckQueues(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(in *Input, q *cornelwall.Queue)
		states map[string]State
		want   string
	}{
		{"valid", func(*Input, *cornelwall.Queue) {}, nil, ""},
		{"version 0", func(in *Input, _ *cornelwall.Queue) { in.Config.Version = 0 }, nil,
			"error version: version is 0 or missing, and entries reject it; set a version of 1 or more, above the one in force"},
		{"no queues", func(in *Input, _ *cornelwall.Queue) { in.Config.Queues = nil }, nil,
			"warning queues: there are no queues, so that every request is answered 404; add the queues"},
		{"no services", func(in *Input, _ *cornelwall.Queue) { in.Services = nil }, nil,
			"warning services: no services are listed, so that the services of queues are not checked; list the services"},
		{"services twice and unnamed", func(in *Input, _ *cornelwall.Queue) { in.Services = []string{"seats", "seats", ""} }, nil,
			"error 1.service-name: service \"seats\" is listed before; keep one of them\n" +
				"error 2.service-name: the service has no name; name it as the endpoints do"},
		{"no name", func(_ *Input, q *cornelwall.Queue) { q.Name = "" }, nil,
			"error 0.name: the queue has no name, and entries reject it; set a name"},
		{"name twice", func(_ *Input, q *cornelwall.Queue) { q.Name = "checks" }, nil,
			"error 1.name: 0.name has the name \"checks\" too; give each queue a name of its own"},
		{"no host", func(_ *Input, q *cornelwall.Queue) { q.Host = "" }, nil,
			"warning 0.host: no host is set, so that only requests with an empty Host header match; set the host that callers name"},
		{"host with scheme", func(_ *Input, q *cornelwall.Queue) { q.Host = "http://seats.example" }, nil,
			"error 0.host: host \"http://seats.example\" contains '/', which no Host header has; write a host name without scheme or path"},
		{"host with port", func(_ *Input, q *cornelwall.Queue) { q.Host = "[::1]:8080" }, nil, ""},
		{"host with wildcard", func(_ *Input, q *cornelwall.Queue) { q.Host = "*.example" }, nil,
			"warning 0.host: host \"*.example\" has a \"*\", which matches only itself; write one queue for each host"},
		{"host in capitals", func(_ *Input, q *cornelwall.Queue) { q.Host = "Seats.example" }, nil,
			"warning 0.host: host \"Seats.example\" has capital letters, while most clients send small ones; write seats.example"},
		{"prefix without slash", func(_ *Input, q *cornelwall.Queue) { q.Prefix = "holds/" }, nil,
			"error 0.prefix: prefix \"holds/\" does not begin with \"/\", and entries reject it; write /holds/"},
		{"no prefix", func(_ *Input, q *cornelwall.Queue) { q.Prefix = "" }, nil,
			"error 0.prefix: prefix \"\" does not begin with \"/\", and entries reject it; write /"},
		{"prefix with query", func(_ *Input, q *cornelwall.Queue) { q.Prefix = "/holds?a=b" }, nil,
			"error 0.prefix: prefix \"/holds?a=b\" contains '?', which a path has only as an escape; write the path only"},
		{"prefix with escape", func(_ *Input, q *cornelwall.Queue) { q.Prefix = "/seat%20holds/" }, nil,
			"warning 0.prefix: prefix \"/seat%20holds/\" has a \"%\", while paths are compared after their escapes are decoded; write the character itself"},
		{"prefix with dots", func(_ *Input, q *cornelwall.Queue) { q.Prefix = "/a/../b/" }, nil,
			"warning 0.prefix: prefix \"/a/../b/\" has an empty, \".\" or \"..\" segment, which clients mostly remove; write the path that clients send"},
		{"root prefix", func(_ *Input, q *cornelwall.Queue) { q.Prefix = "/" }, nil, ""},
		{"long prefix", func(_ *Input, q *cornelwall.Queue) { q.Prefix = "/" + strings.Repeat("a", 100) }, nil,
			"error 0.prefix: the prefix has 101 bytes, while no path can have more than 100; write a shorter prefix"},
		{"host and prefix twice", func(_ *Input, q *cornelwall.Queue) { q.Prefix = "/checks/" }, nil,
			"error 1.prefix: 0.prefix has the same host and prefix and gets all batches; remove one of the queues, or change its host or prefix"},
		{"prefix of another host", func(_ *Input, q *cornelwall.Queue) { q.Host, q.Prefix = "other.example", "/checks/" }, nil, ""},
		{"host unreadable", func(_ *Input, q *cornelwall.Queue) { q.Host, q.Prefix = "", "/checks/" }, map[string]State{"0.host": StateUnreadable}, ""},
		{"no service", func(_ *Input, q *cornelwall.Queue) { q.Service = "" }, nil,
			"error 0.service: the queue has no service, so that none of its tasks can run; name the service that runs the tasks"},
		{"unknown service", func(_ *Input, q *cornelwall.Queue) { q.Service = "seat" }, nil,
			"error 0.service: service \"seat\" is not listed; add the service to services, or correct the name"},
		{"negative priority", func(_ *Input, q *cornelwall.Queue) { q.Priority = -1 }, nil,
			"error 0.priority: priority -1 is below 0; set 0, which is the highest, or more"},
		{"low priority", func(_ *Input, q *cornelwall.Queue) { q.Priority = 4 }, nil,
			"warning 0.priority: entries count the waiting work of priority 4 with that of priority 3; set 0 to 3"},
		{"no attempts", func(_ *Input, q *cornelwall.Queue) { q.Attempts = 0 }, nil, "error 0.attempts: 0 attempts are below 1; set 1 or more"},
		{"limit below target", func(_ *Input, q *cornelwall.Queue) { q.Timeout = 50 * time.Millisecond }, nil,
			"error 0.timeout: the time limit of 50ms is not above the fixed part of the target time, 60ms; raise the time limit, or lower objective"},
		{"times out of range", func(_ *Input, q *cornelwall.Queue) { q.Timeout, q.Objective = 0, -time.Second }, nil,
			"error 0.timeout: with a time limit of 0s, requests without a deadline have no time left; set more than 0\n" +
				"error 0.objective: the fixed part of the target time, -1s, is below 0; set 0 or more"},
		{"times too long", func(_ *Input, q *cornelwall.Queue) { q.Timeout, q.Objective = 1<<63-1, 25*time.Hour }, nil,
			"error 0.timeout: the time limit of 2562047h47m16.854775807s is too long to calculate with; set at most 24h0m0s\n" +
				"error 0.objective: the fixed part of the target time, 25h0m0s, is too long to calculate with; set at most 24h0m0s"},
		{"small stretch", func(_ *Input, q *cornelwall.Queue) { q.Stretch = 0.5 }, nil, "error 0.stretch: a stretch of 0.5 is below 1; set 1 or more"},
		{"large stretch", func(_ *Input, q *cornelwall.Queue) { q.Stretch = 1e300 }, nil,
			"error 0.stretch: a stretch of 1e+300 is too large to calculate with; set at most 1000"},
		{"not set", func(_ *Input, q *cornelwall.Queue) { q.Priority, q.Attempts, q.Timeout, q.Stretch = 0, 0, 0, 0 },
			map[string]State{"0.priority": StateMissing, "0.attempts": StateMissing, "0.timeout": StateMissing, "0.stretch": StateMissing},
			"warning 0.priority: no priority is set, so that the queue gets the highest one, 0; set the priority\n" +
				"warning 0.attempts: no attempts are set, so that a batch fails with the first task that fails; set the attempts\n" +
				"error 0.timeout: no time limit is set, so that requests without a deadline have no time left; set the time limit\n" +
				"warning 0.stretch: no stretch is set, so that entries take 1; set the stretch"},
		{"unreadable", func(_ *Input, q *cornelwall.Queue) { *q = cornelwall.Queue{} }, map[string]State{
			"0.name": StateUnreadable, "0.host": StateUnreadable, "0.prefix": StateUnreadable, "0.service": StateUnreadable, "0.priority": StateUnreadable,
			"0.attempts": StateUnreadable, "0.timeout": StateUnreadable, "0.objective": StateUnreadable, "0.stretch": StateUnreadable}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			in := &Input{Config: &cornelwall.QueueConfig{Version: 7, Queues: validQueues()}, Services: []string{"seats"}, MaxPath: 100, Source: testSource{tt.states}}
			tt.change(in, &in.Config.Queues[0])
			assert.Equal(t, format(CheckQueues(in)), tt.want)
		})
	}
}

// TestCompare guards against changes that are not shown, and versions that entries would ignore.
func TestCompare(t *testing.T) {
	inForce := &Input{Config: &cornelwall.QueueConfig{Version: 7, Queues: validQueues()}, Services: []string{"seats", "fares"}, Source: testSource{}}
	compare := func(version uint64, services []string, qs ...cornelwall.Queue) ([]Change, string) {
		changes, problems := Compare(inForce, &Input{Config: &cornelwall.QueueConfig{Version: version, Queues: qs}, Services: services, Source: testSource{}})
		return changes, format(problems)
	}
	qs := validQueues()
	changes, problems := compare(7, inForce.Services, qs[1], qs[0], qs[0]) // in another order, and with a duplicate
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, problems, "")

	qs[1].Timeout, qs[1].Priority = 2*time.Second, 1
	added := qs[0]
	added.Name = "swaps"
	changes, problems = compare(8, []string{"seats", "routes"}, qs[1], added)
	assert.Equal(t, problems, "")
	assert.DeepEqual(t, changes, []Change{
		{Kind: ChangeChanged, Object: ObjectConfiguration, Field: "version", Before: "7", After: "8"},
		{Kind: ChangeChanged, Object: ObjectQueue, Name: "checks", Field: "priority", Before: "2", After: "1"},
		{Kind: ChangeChanged, Object: ObjectQueue, Name: "checks", Field: "timeout", Before: "1.5s", After: "2s"},
		{Kind: ChangeAdded, Object: ObjectQueue, Name: "swaps", After: `host "seats.example", prefix "/holds/", service "seats", ` +
			`priority 0, attempts 4, timeout 1.5s, objective 60ms, stretch 1.6`},
		{Kind: ChangeRemoved, Object: ObjectQueue, Name: "holds", Before: `host "seats.example", prefix "/holds/", service "seats", ` +
			`priority 0, attempts 4, timeout 1.5s, objective 60ms, stretch 1.6`},
		{Kind: ChangeAdded, Object: ObjectService, Name: "routes"},
		{Kind: ChangeRemoved, Object: ObjectService, Name: "fares"},
	})
	_, problems = compare(7, inForce.Services, qs...)
	assert.Equal(t, problems, "error version: version 7 is in force with other content, and entries ignore this one; set 8 or more")
	unreadable := &Input{Config: &cornelwall.QueueConfig{Queues: make([]cornelwall.Queue, 2)}, Source: testSource{map[string]State{
		"version": StateUnreadable, "services": StateUnreadable, "0.name": StateUnreadable, "1.priority": StateUnreadable, "1.timeout": StateUnreadable}}}
	unreadable.Config.Queues[1] = validQueues()[1]
	unreadable.Config.Queues[1].Timeout = 0
	changes, ps := Compare(inForce, unreadable)
	assert.Equal(t, len(ps), 0)
	assert.Equal(t, len(changes), 1, "%v", changes) // the first queue counts as removed
	_, problems = compare(6, inForce.Services, validQueues()...)
	assert.Equal(t, problems, "error version: version 6 is below the one in force, 7, and entries ignore it; set 8 or more")
}

// TestCheckSettings guards against settings with which an entry starts and then fails.
func TestCheckSettings(t *testing.T) {
	addr := netip.MustParseAddrPort
	for _, tt := range []struct {
		name   string
		change func(s *Settings)
		states map[string]State
		want   string
	}{
		{"valid", func(*Settings) {}, nil, ""},
		{"port twice", func(s *Settings) { s.ReadinessAddr = s.CallerAddr }, nil,
			"error readiness-addr: 10.1.0.1:1 is the address of caller-addr too; give each listener a port of its own"},
		{"port 0", func(s *Settings) { s.CallerAddr, s.StoreAddr = addr("10.1.0.1:0"), addr("10.1.0.9:0") }, nil,
			"error caller-addr: port 0 of 10.1.0.1:0 disables the listener; set a port\n" +
				"error store-addr: port 0 of 10.1.0.9:0 cannot be reached; set the port of the store"},
		{"wildcards", func(s *Settings) {
			s.CallerAddr, s.PeerAddr, s.StoreAddr = addr("0.0.0.0:1"), addr("[::]:3"), addr("0.0.0.0:4")
		}, nil,
			"error peer-addr: [::]:3 is announced to other entries, which cannot reach it; set the address at which other entries reach this one\n" +
				"error store-addr: 0.0.0.0:4 cannot be reached; set the address of the store"},
		{"seed twice", func(s *Settings) { s.Seeds = append(s.Seeds, s.Seeds[0]) }, nil, "warning seeds: 10.1.0.2:3 is listed twice; keep one of them"},
		{"own seed only", func(s *Settings) { s.Seeds = []netip.AddrPort{s.PeerAddr} }, nil,
			"warning seeds: no other entry is listed, so that an entry that starts while the store does not answer finds none; list some other entries"},
		{"lease too long", func(s *Settings) { s.MaxLease = 500 * time.Millisecond }, nil,
			"error max-lease: entries ask for leases of 600ms, while at most 500ms is allowed; allow 600ms or more"},
		{"long stop delay", func(s *Settings) { s.StopDelay = time.Second }, nil,
			"warning stop-delay: runs may last 1s after the end of a lease, which is no shorter than the longest lease, 1s; set less than max-lease"},
		{"short grace", func(s *Settings) { s.StopGrace, s.DrainTime = 2*time.Second, 0 }, nil,
			"error stop-grace: a planned stop takes at least 3s, while 2s is allowed; allow 3s or more"},
		{"drain above grace", func(s *Settings) { s.DrainTime = 7 * time.Second }, nil,
			"error drain-time: the drain time of 7s is above the grace period of a planned stop, 6s; lower it, or raise stop-grace"},
		{"grace unreadable", func(s *Settings) { s.DrainTime = 7 * time.Second }, map[string]State{"stop-grace": StateUnreadable}, ""},
		{"no limits", func(*Settings) {}, map[string]State{"memory": StateMissing, "processor": StateMissing},
			"warning memory: no memory size is set, so that the program's memory is not limited; set memory\n" +
				"warning processor: no processor share is set, so that the entry gets the least possible share of the endpoints; set processor"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &Settings{CallerAddr: addr("10.1.0.1:1"), ReadinessAddr: addr("10.1.0.1:2"), PeerAddr: addr("10.1.0.1:3"), StoreAddr: addr("10.1.0.9:4"),
				Seeds: []netip.AddrPort{addr("10.1.0.2:3")}, MaxLease: time.Second, StopDelay: 50 * time.Millisecond, StopGrace: 6 * time.Second, DrainTime: 3 * time.Second}
			tt.change(s)
			need := Requirements{LeaseTTL: 600 * time.Millisecond, StopGrace: 3 * time.Second}
			assert.Equal(t, format(CheckSettings(s, need, testSource{tt.states})), tt.want)
		})
	}
}
