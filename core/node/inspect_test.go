package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// TestProfileStatusListsEveryEntry checks that an operator sees the version at every entry of
// the VM list, also at those that are too many to exchange heartbeats with, and which of
// them do not answer.
func TestProfileStatusListsEveryEntry(t *testing.T) {
	const dataCentres, entries = 9, 2
	c := newCluster(t, dataCentres, entries)
	var force []cornelwall.ProfileStatus
	replied := c.Replied
	c.Replied = func(h *fake.Host, cmd cornelwall.Command) {
		if r, ok := cmd.(cornelwall.ReplyProfileStatus); ok {
			force = r.Entries
		}
		replied(h, cmd)
	}
	c.Post(c.hosts["dc0-e0"], cornelwall.FetchProfileStatus{Req: 1, Name: "holds"})
	c.Advance(time.Second)
	assert.Equal(t, len(force), dataCentres*entries)
	for _, f := range force {
		assert.Assert(t, !f.Missing, "%s did not answer", f.Entry)
		assert.Equal(t, f.Version, uint64(1))
	}

	c.hosts["dc8-e1"].Dead = true
	force = nil
	c.Post(c.hosts["dc0-e0"], cornelwall.FetchProfileStatus{Req: 2, Name: "holds"})
	c.Advance(4 * time.Second)
	assert.Equal(t, len(force), dataCentres*entries)
	for _, f := range force {
		assert.Equal(t, f.Missing, f.Entry.Entry == "dc8-e1", "%s", f.Entry)
	}
}
