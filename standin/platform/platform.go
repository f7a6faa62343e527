// Package platform is a small stand-in for the platform: its key-value service, in
// the form of the JSON gateway of etcd v3, and its VM list.
//
// # Usage
//
//	p := platform.New(platform.Config{})
//	server := httptest.NewServer(p)
//	defer p.Close()
//
// The service answers POST /v3/kv/range, /v3/kv/txn, /v3/lease/grant and /v3/watch;
// the VM list is GET /vms. Tests steer it by POST /ctl/vm, DELETE /ctl/vm/NAME,
// POST /ctl/vm/NAME/leaving, /ctl/fault, /ctl/snapshot and /ctl/restore; GET
// /ctl/stats tells the number of calls of each kind.
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

// Config is the settings of a Platform.
type Config struct {
	Lag   time.Duration    // of the VM list
	Clock cornelwall.Clock // nil is the clock of the machine
}

// Platform is an http.Handler.
type Platform struct {
	echo     *echo.Echo
	store    *store
	faults   *faults
	machines *machines
}

// VMs is the answer of the VM list.
type VMs struct {
	VMs []cornelwall.VM `json:"vms"`
}

// Stats is the number of calls of each kind.
type Stats struct {
	Calls map[string]int `json:"calls"`
}

// New returns a platform without keys and machines.
func New(cfg Config) *Platform {
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	p := &Platform{
		echo:     echo.New(),
		store:    newStore(),
		faults:   &faults{calls: map[string]int{}},
		machines: &machines{clock: cfg.Clock, lag: cfg.Lag},
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

// answerWrite answers a write that has taken effect, unless its answer is to be lost.
func (p *Platform) answerWrite(c echo.Context, resp any, err error, swap bool) error {
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if p.faults.dropAnswer(swap) {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, resp)
}

// watch sends the changes from the first revision asked for, until the caller is
// gone, the service is down or the store goes back in time.
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

// listVMs answers the VM list, or that it has not changed since the caller read it.
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

// send writes one message of a stream.
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
