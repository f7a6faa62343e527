package cornelwall_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

func TestDrainNoticeCheck(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:80")
	for _, tt := range []struct {
		name, err string
		notice    cornelwall.DrainNotice
	}{
		{"complete", "", cornelwall.DrainNotice{Machine: "x0", Addr: addr, TTL: cornelwall.Duration(time.Second)}},
		{"no machine", "name both", cornelwall.DrainNotice{Addr: addr, TTL: cornelwall.Duration(time.Second)}},
		{"no address", "name both", cornelwall.DrainNotice{Machine: "x0", TTL: cornelwall.Duration(time.Second)}},
		{"expired", "use more than 0s", cornelwall.DrainNotice{Machine: "x0", Addr: addr}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := cornelwall.Message{Heartbeat: &cornelwall.Heartbeat{Addr: addr, Draining: []cornelwall.DrainNotice{tt.notice}}}
			if err := m.Check(); tt.err == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, tt.err)
			}
		})
	}
}
