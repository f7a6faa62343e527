// Package platform is a small stand-in for the platform: its key-value service, as the
// JSON gateway of etcd v3 serves it, and its VM list.
//
// # Usage
//
//	p := platform.New(platform.Config{})
//	server := httptest.NewServer(p)
//	defer p.Close()
//
// The service answers POST /v3/kv/range, /v3/kv/txn, /v3/lease/grant and /v3/watch;
// the VM list is GET /vms. Tests control it with POST /ctl/vm, DELETE /ctl/vm/NAME,
// POST /ctl/vm/NAME/leaving, /ctl/fault, /ctl/snapshot and /ctl/restore; GET
// /ctl/stats returns the number of calls of each kind.
package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"cornelwall"
	wire "cornelwall/io/platform"
)

const maxBody = 4 << 20 // bytes of a request

// Kinds of calls that are counted.
const (
	kindRange = "range"
	kindTxn   = "txn"
	kindGrant = "grant"
	kindWatch = "watch"
	kindVMs   = "vms"
)

// Config configures a Platform.
type Config struct {
	Lag   time.Duration    // of the VM list
	Clock cornelwall.Clock // nil is the system clock
}

// Platform is an http.Handler that serves the stand-in.
type Platform struct {
	echo     *echo.Echo
	store    *store
	faults   *faults
	machines *vmList
}

// VMs is the body of the VM list.
type VMs struct {
	VMs []cornelwall.VM `json:"vms"`
}

// Stats is the number of calls of each kind.
type Stats struct {
	Calls map[string]int `json:"calls"`
}

// New returns a platform without keys and VMs.
func New(cfg Config) *Platform {
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	p := &Platform{
		echo:     echo.New(),
		store:    newStore(),
		faults:   &faults{calls: map[string]int{}},
		machines: &vmList{clock: cfg.Clock, lag: cfg.Lag},
	}
	p.echo.POST("/v3/kv/range", p.faults.middleware(kindRange, p.getRange))
	p.echo.POST("/v3/kv/txn", p.faults.middleware(kindTxn, p.txn))
	p.echo.POST("/v3/lease/grant", p.faults.middleware(kindGrant, p.grant))
	p.echo.POST("/v3/watch", p.faults.middleware(kindWatch, p.watch))
	p.echo.GET("/vms", p.faults.middleware(kindVMs, p.listVMs))
	p.routeControl()
	return p
}

// ServeHTTP answers a request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	p.echo.ServeHTTP(w, r)
}

// Close ends all watches and leases.
func (p *Platform) Close() { p.store.close() }

func (p *Platform) getRange(c echo.Context) error {
	var req wire.RangeRequest
	if err := decode(c, &req); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.store.rangeOf(req))
}

func (p *Platform) txn(c echo.Context) error {
	var req wire.TxnRequest
	if err := decode(c, &req); err != nil {
		return err
	}
	resp, err := p.store.txn(req)
	return p.answerWrite(c, resp, err, true)
}

func (p *Platform) grant(c echo.Context) error {
	var req wire.GrantRequest
	if err := decode(c, &req); err != nil {
		return err
	}
	resp, err := p.store.grant(req)
	return p.answerWrite(c, resp, err, false)
}

// answerWrite answers a write that has taken effect, unless the fault drops its answer.
func (p *Platform) answerWrite(c echo.Context, resp any, err error, txn bool) error {
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if p.faults.dropAnswer(txn) {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, resp)
}

// watch streams the changes from the requested revision on, until the client disconnects,
// the service is down or closed, or the store is restored to a snapshot.
func (p *Platform) watch(c echo.Context) error {
	var req wire.WatchRequest
	if err := decode(c, &req); err != nil {
		return err
	}
	_, revision, epoch, _ := p.store.changesSince(req.Create, 0)
	from := req.Create.StartRevision
	if from == 0 {
		from = revision + 1
	}
	if err := send(c, wire.WatchResponse{Header: wire.Header{Revision: revision}, Created: true}); err != nil {
		return nil
	}
	for {
		events, revision, now, changed := p.store.changesSince(req.Create, from)
		if now != epoch || now == epochClosed || p.faults.get().Down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			if send(c, wire.WatchResponse{Header: wire.Header{Revision: revision}, Events: events}) != nil {
				return nil
			}
		}
		from = max(from, revision+1)
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// listVMs answers the VM list, or 304 if it matches the ETag of the request.
func (p *Platform) listVMs(c echo.Context) error {
	text, err := json.Marshal(VMs{VMs: p.machines.lagged()})
	if err != nil {
		return err
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(text), 16))
	c.Response().Header().Set("ETag", etag)
	if c.Request().Header.Get("If-None-Match") == etag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, text)
}

// send writes one message of a watch stream.
func send(c echo.Context, resp wire.WatchResponse) error {
	if err := json.NewEncoder(c.Response()).Encode(wire.WatchMessage{Result: &resp}); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}

func decode(c echo.Context, v any) error {
	if err := json.NewDecoder(c.Request().Body).Decode(v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}
