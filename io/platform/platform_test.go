package platform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cornelwall"
	"cornelwall/io/platform"
	standin "cornelwall/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newStandIn(t *testing.T) (*standin.Platform, *platform.Client, string) {
	p := standin.New(standin.Config{})
	server := httptest.NewServer(p)
	c := platform.New(platform.Config{URLs: []string{server.URL}})
	t.Cleanup(func() { c.Close(); p.Close(); server.Close() })
	return p, c, server.URL
}

func compareAndSwap(t *testing.T, c *platform.Client, key string, old uint64, value string, want bool) uint64 {
	t.Helper()
	ok, err := c.CompareAndSwap(context.Background(), key, old, []byte(value), 0)
	assert.NilError(t, err)
	assert.Equal(t, ok, want)
	pair, err := c.Get(context.Background(), key)
	assert.NilError(t, err)
	return pair.Revision
}

func TestCompareAndSwapGetList(t *testing.T) {
	_, c, _ := newStandIn(t)
	pair, err := c.Get(context.Background(), "p/a")
	assert.NilError(t, err)
	assert.DeepEqual(t, pair, cornelwall.Pair{Key: "p/a"})
	first := compareAndSwap(t, c, "p/a", 0, "one", true)
	compareAndSwap(t, c, "p/a", 0, "lost", false)
	second := compareAndSwap(t, c, "p/a", first, "two", true)
	compareAndSwap(t, c, "p/a", first, "lost", false)
	third := compareAndSwap(t, c, "q/b", 0, "other", true)
	pairs, revision, err := c.List(context.Background(), "p/")
	assert.NilError(t, err)
	assert.DeepEqual(t, pairs, []cornelwall.Pair{{Key: "p/a", Value: []byte("two"), Revision: second}})
	assert.Equal(t, revision, third)
	pairs, _, err = c.List(context.Background(), "")
	assert.NilError(t, err)
	assert.Equal(t, len(pairs), 2)
}

func TestWriteWithLostAnswerIsNotRetried(t *testing.T) {
	p, c, _ := newStandIn(t)
	compareAndSwap(t, c, "k", 0, "one", true) // leaves an idle connection, on which net/http would retry
	before := p.Stats().Calls["txn"]
	p.SetFault(standin.Fault{LoseAnswers: 1})
	_, err := c.CompareAndSwap(context.Background(), "l", 0, []byte("two"), 0)
	assert.Assert(t, errors.Is(err, cornelwall.ErrStore), "%v", err)
	assert.Equal(t, p.Stats().Calls["txn"]-before, 1)
	pair, err := c.Get(context.Background(), "l")
	assert.NilError(t, err)
	assert.Equal(t, string(pair.Value), "two")
}

func TestFailover(t *testing.T) {
	down, _, downURL := newStandIn(t)
	down.SetFault(standin.Fault{Down: true})
	_, _, url := newStandIn(t)
	c := platform.New(platform.Config{URLs: []string{downURL, url}, Timeout: time.Second})
	defer c.Close()
	_, err := c.CompareAndSwap(context.Background(), "k", 0, []byte("v"), 0)
	assert.Assert(t, errors.Is(err, cornelwall.ErrStore), "a write is not retried")
	compareAndSwap(t, c, "k", 0, "v", true)
	reader := platform.New(platform.Config{URLs: []string{downURL, url}})
	defer reader.Close()
	pair, err := reader.Get(context.Background(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(pair.Value), "v")
}

func TestSlowStoreTimesOut(t *testing.T) {
	p, _, url := newStandIn(t)
	p.SetFault(standin.Fault{Delay: cornelwall.Duration(time.Hour)})
	c := platform.New(platform.Config{URLs: []string{url}, Timeout: 20 * time.Millisecond})
	defer c.Close()
	_, err := c.Get(context.Background(), "k")
	assert.Assert(t, errors.Is(err, cornelwall.ErrStore))
	l := platform.NewVMList(platform.VMListConfig{URL: url + "/vms"})
	defer l.Close()
	_, err = l.List(context.Background())
	assert.NilError(t, err, "the VM list is not slow")
}

func TestWatch(t *testing.T) {
	p, c, _ := newStandIn(t)
	after := compareAndSwap(t, c, "p/a", 0, "one", true)
	compareAndSwap(t, c, "p/a", after, "two", true)
	changes := make(chan cornelwall.Change, 8)
	ended := make(chan error, 1)
	go func() {
		ended <- c.Watch(context.Background(), "p/", after, func(ch cornelwall.Change) { changes <- ch })
	}()
	assert.Equal(t, string((<-changes).Value), "two", "changes after the revision")
	compareAndSwap(t, c, "q/b", 0, "other", true)
	p.Snapshot()
	lease, err := c.GrantLease(context.Background(), 3)
	assert.NilError(t, err)
	ok, err := c.CompareAndSwap(context.Background(), "p/l", 0, []byte("leased"), lease)
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.Equal(t, string((<-changes).Value), "leased")
	gone := <-changes
	assert.Assert(t, gone.Deleted)
	assert.Equal(t, gone.Key, "p/l")
	compareAndSwap(t, c, "p/c", 0, "newer", true)
	<-changes
	assert.NilError(t, p.Restore())
	assert.Assert(t, errors.Is(<-ended, cornelwall.ErrStore))
	pair, err := c.Get(context.Background(), "p/c")
	assert.NilError(t, err)
	assert.Equal(t, pair.Revision, uint64(0))
}

func TestWatchEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(p *standin.Platform, cancel func())
		want error
	}{
		{"context", func(_ *standin.Platform, cancel func()) { cancel() }, context.Canceled},
		{"outage", func(p *standin.Platform, _ func()) { p.SetFault(standin.Fault{Down: true}) }, cornelwall.ErrStore},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, c, _ := newStandIn(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- c.Watch(ctx, "p/", 0, func(cornelwall.Change) {}) }()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if p.Stats().Calls["watch"] == 0 {
					return poll.Continue("no watch yet")
				}
				return poll.Success()
			})
			tt.end(p, cancel)
			assert.ErrorIs(t, <-ended, tt.want)
		})
	}
}

func TestVMList(t *testing.T) {
	p, _, url := newStandIn(t)
	vm := cornelwall.VM{Name: "x1", Kind: cornelwall.Executor, DataCentre: "ikeja", Slots: 8,
		Conns: 64, Addr: netip.MustParseAddrPort("127.0.0.1:9")}
	p.PutVM(vm)
	p.PutVM(cornelwall.VM{Name: "Bad Name"})
	assert.Assert(t, p.MarkVMLeaving("x1"))
	l := platform.NewVMList(platform.VMListConfig{URL: url + "/vms", Log: logr.Discard()})
	defer l.Close()
	got, err := l.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1, "the invalid machine is left out")
	assert.Equal(t, got[0].State, cornelwall.Leaving)
	assert.Equal(t, got[0].Addr, vm.Addr)
	p.RemoveVM("x1")
	got, err = l.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
}

// TestVMListUnchanged checks that the list is transferred only when it has changed.
func TestVMListUnchanged(t *testing.T) {
	version, sent := "a", 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", version)
		if r.Header.Get("If-None-Match") == version {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = fmt.Fprintf(w, `{"vms":[{"name":%q,"kind":"entry","state":"live","dc":"ikeja","addr":"127.0.0.1:1"}]}`, version)
	}))
	defer server.Close()
	l := platform.NewVMList(platform.VMListConfig{URL: server.URL, Log: logr.Discard()})
	defer l.Close()
	for _, tt := range []struct {
		version string
		sent    int
	}{{"a", 1}, {"a", 1}, {"b", 2}, {"b", 2}, {"a", 3}} {
		version = tt.version
		vms, err := l.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, vms[0].Name, tt.version)
		assert.Equal(t, sent, tt.sent)
	}
}

func TestVMListSkipsInvalidVMs(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"vms":[{"name":"a","kind":"submarine"},7]}`)
	}))
	defer server.Close()
	l := platform.NewVMList(platform.VMListConfig{URL: server.URL, Log: logr.Discard()})
	defer l.Close()
	got, err := l.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
}
