package explain

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Lines of a batch that arrives 100 ms after the minute and is due after 150 ms.
const (
	arrival = `time=2026-03-01T06:00:00.100Z level=INFO msg=batch entry=dc0.e1.1 job=aa queue=q version=1 tasks=2 left=2s due=150ms`
	onTime  = `time=2026-03-01T06:00:00.200Z level=INFO msg=batch-end entry=dc0.e1.1 job=aa queue=q end=done why=none begun=true rest=0 took=100ms late=-50ms waited=2ms ran=98ms estimate=90ms endpoint=x1 failed=0 lost=0`
	late    = `time=2026-03-01T06:00:00.400Z level=INFO msg=batch-end entry=dc0.e1.1 job=aa queue=q end=done why=none begun=true rest=0 took=300ms late=150ms `
	givenUp = `time=2026-03-01T06:00:00.400Z level=INFO msg=batch-end entry=dc0.e1.1 job=aa queue=q end=given-up why=too-late begun=true rest=0.5 took=300ms late=150ms waited=300ms ran=0s estimate=90ms endpoint= failed=0 lost=0`
)

// lineAt returns a line that the entry e2 writes 250 ms after the minute.
func lineAt(fields string) string { return `time=2026-03-01T06:00:00.250Z level=INFO ` + fields }

func TestCause(t *testing.T) {
	for _, tc := range []struct {
		want  Cause
		lines []string
	}{
		{CauseNone, []string{arrival, onTime}},
		{CauseCallerLeft, []string{arrival, strings.NewReplacer("end=given-up", "end=cancelled", "why=too-late", "why=cancelled").Replace(givenUp)}},
		{CauseInvalid, []string{lineAt(`msg=batch-refused entry=dc0.e1.1 job=aa end=unknown why=no-profile version=1`)}},
		{CauseRefusedOnArrival, []string{lineAt(`msg=batch-refused entry=dc0.e1.1 job=aa end=refused why=queue-full version=1`)}},
		{CauseTaskCrashed, []string{arrival, strings.NewReplacer("end=given-up", "end=failed", "why=too-late", "why=crash").Replace(givenUp)}},
		{CauseTaskCrashed, []string{lineAt(`msg=batch-refused entry=dc0.e1.1 job=aa end=failed why=crash version=1`)}},
		{CauseTaskCrashed, []string{arrival, strings.Replace(givenUp, "why=too-late", "why=crash", 1)}},
		{CauseTaskCrashed, []string{lineAt(`msg=batch-refused entry=dc0.e1.1 job=aa end=given-up why=crash version=1`)}},
		{CauseEntryLost, []string{arrival}},
		{CauseEntryStopped, []string{arrival, strings.Replace(givenUp, "why=too-late", "why=stopping", 1)}},
		{CauseOwnerUnproven, []string{arrival, lineAt(`msg=owner-unproven entry=dc0.e2.1 task=aa.0.0.1 run=7 owner=dc0.e1.1 age=460ms`),
			lineAt(`msg=task-lost entry=dc0.e1.1 task=aa.0.0.1 run=7 endpoint=x1 how=stopped holder=dc0.e2.1`), givenUp}},
		{CauseStartUnanswered, []string{arrival, lineAt(`msg=start-unanswered entry=dc0.e2.1 task=aa.0.0.1 run=7 endpoint=x1`), late + `waited=200ms ran=90ms estimate=90ms`}},
		{CauseHolderSilent, []string{arrival, lineAt(`msg=task-lost entry=dc0.e1.1 task=aa.0.0.1 run=7 endpoint=x1 how=lapsed holder=dc0.e2.1`), givenUp}},
		{CauseEndpointLost, []string{arrival, lineAt(`msg=run-over entry=dc0.e2.1 task=aa.0.0.1 run=7 endpoint=x1 how=lapsed cause=lease-over`),
			lineAt(`msg=task-lost entry=dc0.e1.1 task=aa.0.0.1 run=7 endpoint=x1 how=lapsed holder=dc0.e2.1`), givenUp}},
		{CauseEndpointFailed, []string{arrival, lineAt(`msg=task-failed entry=dc0.e1.1 task=aa.0.0.1 run=7 endpoint=x1 fails=1`), late + `waited=200ms ran=90ms estimate=90ms`}},
		{CauseEndpointSlow, []string{arrival, lineAt(`msg=straggler-stopped entry=dc0.e2.1 task=aa.0.0.1 run=7 endpoint=x1 took=80ms`), late + `waited=200ms ran=90ms estimate=90ms`}},
		{CauseEndpointSlow, []string{arrival, late + `waited=2ms ran=298ms estimate=90ms`}},
		{CauseNeverStarted, []string{arrival, strings.NewReplacer("end=given-up", "end=refused", "begun=true", "begun=false").Replace(givenUp)}},
		{CauseBacklog, []string{arrival, givenUp}},
		{CauseBacklog, []string{arrival, late + `waited=205ms ran=95ms estimate=90ms`}},
		{CauseRunTime, []string{arrival, late + `waited=2ms ran=198ms estimate=90ms`}},
	} {
		t.Run(tc.want.String(), func(t *testing.T) {
			var l Log
			assert.NilError(t, l.Read("test", strings.NewReader(strings.Join(tc.lines, "\n"))))
			assert.Equal(t, l.Unreadable, 0, l.FirstProblem)
			batches := l.Batches()
			assert.Equal(t, len(batches), 1)
			assert.Equal(t, batches[0].Cause(), tc.want)
		})
	}
}

// TestBatchSentAgain checks that a batch that its caller sent to a second entry counts once for each.
func TestBatchSentAgain(t *testing.T) {
	var l Log
	second := strings.NewReplacer("dc0.e1.1", "dc0.e2.1", "00:00.", "00:02.").Replace(arrival + "\n" + onTime)
	assert.NilError(t, l.Read("test", strings.NewReader(arrival+"\n"+second)))
	batches := l.Batches()
	assert.Equal(t, len(batches), 2)
	assert.Equal(t, batches[0].Cause(), CauseEntryLost)
	assert.Equal(t, batches[1].Cause(), CauseNone)
	assert.Equal(t, batches[1].Owner, "dc0.e2")
}

func TestReadSkipsPrefixesAndCountsUnreadableLines(t *testing.T) {
	var l Log
	assert.NilError(t, l.Read("e1.log", strings.NewReader("  0.1 e1 "+arrival+"\n\npanic: no fields\ntime=yesterday msg=batch\n")))
	assert.Equal(t, len(l.Lines), 1)
	assert.Equal(t, l.Lines[0].At, time.Date(2026, 3, 1, 6, 0, 0, 1e8, time.UTC))
	assert.Equal(t, l.Unreadable, 2)
	assert.Equal(t, l.FirstProblem, `e1.log:3: no "time="; pass what cornelwall dispatch has written`)
}

func TestLosses(t *testing.T) {
	var l Log
	another := strings.ReplaceAll(arrival+"\n"+givenUp, "job=aa", "job=bb")
	assert.NilError(t, l.Read("test", strings.NewReader(strings.Join([]string{arrival, late + `waited=205ms ran=95ms estimate=90ms`, another}, "\n"))))
	losses := Losses(l.Batches())
	assert.DeepEqual(t, losses, []Loss{{Second: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC), Queue: "q", Cause: CauseBacklog, Late: 1, Unserved: 1}})
	assert.DeepEqual(t, Total(losses), []Loss{{Queue: "q", Cause: CauseBacklog, Late: 1, Unserved: 1}})
}
