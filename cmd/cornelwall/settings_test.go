package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

// TestReadSettings checks that valid settings are read, that all problems are reported at once, and
// that no error contains a secret.
func TestReadSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(file, []byte("  secret-of-all-entries\n"), 0o600))
	valid := []string{"--name", "a", "--dc", "ikeja", "--store", "http://127.0.0.1:1", "--vms", "http://127.0.0.1:1/vms",
		"--secret-file", file, "--token", "token-of-operators"}
	for _, tt := range []struct {
		name     string
		args     []string
		problems []string
	}{
		{"valid", nil, nil},
		{"several", []string{"--name", "A_1", "--peers", "here", "--linger", "2m", "--peer-timeout", "0s"},
			[]string{"--name", "--peers", "--linger", "--peer-timeout"}},
		{"wildcard address", []string{"--peers", "0.0.0.0:7001"}, []string{"set --advertise"}},
		{"wildcard address advertised", []string{"--peers", "[::]:7001", "--advertise", "[::]:7001"}, []string{"--advertise [::]:7001"}},
		{"secret twice", []string{"--secret", "secret-of-all-entries"}, []string{"--secret and --secret-file"}},
		{"no such file", []string{"--token", "", "--token-file", file + "2"}, []string{"--token-file cannot be read", "--token has 0"}},
		{"short secret", []string{"--secret-file", "", "--secret", "abc"}, []string{"--secret has 3 characters"}},
		{"secret is the token", []string{"--token", "secret-of-all-entries"}, []string{"the same"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s settings
			var err error
			c := &cli.Command{Name: "serve", Flags: serveFlags(), Action: func(_ context.Context, c *cli.Command) error {
				s, err = readSettings(c)
				return nil
			}}
			assert.NilError(t, c.Run(context.Background(), append(append([]string{"serve"}, valid...), tt.args...)))
			if tt.problems == nil {
				assert.NilError(t, err)
				assert.Equal(t, s.Secret, "secret-of-all-entries")
				return
			}
			for _, p := range tt.problems {
				assert.ErrorContains(t, err, p)
			}
			assert.Assert(t, !strings.Contains(err.Error(), "secret-of-all"), "error contains a secret: %s", err)
		})
	}
}
