package prove

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/local"
)

const refusedSecrets = `cornelwall_peer_envelopes_refused_total{reason="secret"}`

// TestSystemsDoNotMix guards against an entry of one system that is taken for a peer at an address of another one.
func TestSystemsDoNotMix(t *testing.T) {
	ctx := t.Context()
	start := func(dataCentre string) *local.System {
		cfg := local.Config{Programs: programsDir, Dir: t.TempDir(), DataCentres: []string{dataCentre}, Entries: 1}
		sys, err := local.Start(ctx, cfg)
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, sys.Stop()) })
		return sys
	}
	a, b := start("ikeja"), start("lekki")
	foreign := b.Entries[0]
	vm := cornelwall.VM{Name: foreign.Name, Kind: cornelwall.Entry, DataCentre: "lekki", Addr: foreign.Addrs["peers"]}
	assert.NilError(t, a.PostControl(ctx, "/ctl/vm", vm))
	assert.NilError(t, local.Poll(ctx, func() error {
		resp, err := http.Get(foreign.URL("operators") + "/metrics")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		metrics, err := io.ReadAll(resp.Body)
		if joined, logErr := foreign.LogContains("msg=peer-joined"); joined || logErr != nil {
			return nil // reported below
		}
		if text := string(metrics); !strings.Contains(text, refusedSecrets) || strings.Contains(text, refusedSecrets+" 0") {
			return errors.Join(err, errors.New("no envelope of the other system was refused yet"))
		}
		return nil
	}))
	joined, err := foreign.LogContains("msg=peer-joined")
	assert.NilError(t, err)
	assert.Assert(t, !joined, "an entry of another system became a peer")
}
