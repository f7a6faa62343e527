package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// TestProfileStatusListsEveryEntry checks that the status of a profile lists its version
// at every entry of the VM list, including those that this entry exchanges no heartbeats
// with, and marks entries that do not reply.
func TestProfileStatusListsEveryEntry(t *testing.T) {
	const dataCentres, entries = 9, 2
	c := newCluster(t, dataCentres, entries)
	var statuses []cornelwall.ProfileStatus
	handleOutput := c.OnOutput
	c.OnOutput = func(h *fake.Host, cmd cornelwall.Command) {
		if r, ok := cmd.(cornelwall.ReplyProfileStatus); ok {
			statuses = r.Entries
		}
		handleOutput(h, cmd)
	}
	c.Post(c.hosts["dc0-e0"], cornelwall.FetchProfileStatus{Req: 1, Name: "holds"})
	c.Advance(time.Second)
	assert.Equal(t, len(statuses), dataCentres*entries)
	for _, s := range statuses {
		assert.Assert(t, !s.Missing, "%s did not reply", s.Entry)
		assert.Equal(t, s.Version, uint64(1))
	}

	c.hosts["dc8-e1"].Dead = true
	statuses = nil
	c.Post(c.hosts["dc0-e0"], cornelwall.FetchProfileStatus{Req: 2, Name: "holds"})
	c.Advance(4 * time.Second)
	assert.Equal(t, len(statuses), dataCentres*entries)
	for _, s := range statuses {
		assert.Equal(t, s.Missing, s.Entry.Entry == "dc8-e1", "%s", s.Entry)
	}
}
