package kernel_test

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cornelwall/core/kernel"
)

// service appends its name to ended when it is stopped, or fails at once with the error fail.
type service struct {
	name  string
	fail  error
	ended *[]string
}

func (s service) Run(ctx context.Context) error {
	if s.fail != nil {
		return s.fail
	}
	<-ctx.Done()
	*s.ended = append(*s.ended, s.name) // needs no lock, as services are stopped one at a time
	return nil
}

// TestRun checks that services are stopped in reverse order of registration, both when the
// context ends and when a service fails.
func TestRun(t *testing.T) {
	failed := errors.New("failed")
	for _, tt := range []struct {
		name string
		fail error // of the service b
		want []string
	}{
		{"context ends", nil, []string{"c", "b", "a"}},
		{"service fails", failed, []string{"c", "a"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			var ended []string
			k := kernel.New(logr.Discard())
			k.Add("a", service{"a", nil, &ended})
			k.Add("b", service{"b", tt.fail, &ended})
			k.Add("c", service{"c", nil, &ended})
			ctx, cancel := context.WithCancel(context.Background())
			if tt.fail == nil {
				cancel()
			}
			defer cancel()
			assert.ErrorIs(t, k.Run(ctx), tt.fail)
			assert.DeepEqual(t, ended, tt.want)
		})
	}
}

func TestFind(t *testing.T) {
	k := kernel.New(logr.Discard())
	k.Add("a", service{})
	_, err := kernel.Find[service](k, "a")
	assert.NilError(t, err)
	_, err = kernel.Find[service](k, "b")
	assert.ErrorContains(t, err, "not registered")
	_, err = kernel.Find[*service](k, "a")
	assert.ErrorContains(t, err, "check the name")
}
