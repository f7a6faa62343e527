// Package platform is a client of the platform's two services: its key-value store, over the
// JSON gateway of etcd v3, and its VM list.
//
// # Usage
//
//	store := platform.New(platform.Config{URLs: []string{"http://10.0.0.1:2379"}})
//	pair, err := store.Get(ctx, "profiles/booking")
//	vms, err := platform.NewVMList(platform.VMListConfig{URL: "http://10.0.0.1:8080/vms"}).List(ctx)
//
// A read is tried on each server in turn until one answers. A write is sent once; if its
// answer is lost, the caller must read the key to learn whether the write took effect.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"cornelwall"
)

const (
	defaultTimeout = 2 * time.Second
	maxResponse    = 64 << 20 // bytes of the answer to one call
	maxWatchLine   = 16 << 20 // bytes of one message of a watch
	maxErrorText   = 512      // bytes of an error answer that the error quotes
	idleConns      = 4
	idleTimeout    = time.Minute
)

// Config holds the settings of a Client.
type Config struct {
	URLs    []string      // base URLs, for example "http://10.0.0.1:2379"
	Timeout time.Duration // of one call to one server; 0 is 2 s
}

// Client implements [cornelwall.Store].
type Client struct {
	cfg       Config
	http      *http.Client
	preferred atomic.Uint32 // modulo the number of URLs, the index of the server that the next call uses
}

var _ cornelwall.Store = (*Client)(nil)

// New returns a client of the key-value store.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{cfg: cfg, http: newHTTP(cfg.Timeout)}
}

func newHTTP(timeout time.Duration) *http.Client {
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: timeout}).DialContext,
		ResponseHeaderTimeout: timeout,
		MaxIdleConnsPerHost:   idleConns,
		IdleConnTimeout:       idleTimeout,
	}
	// Following a redirect would send a write a second time.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one key. A missing key has revision 0 and no error.
func (c *Client) Get(ctx context.Context, key string) (cornelwall.Pair, error) {
	var resp RangeResponse
	if err := c.read(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return cornelwall.Pair{}, err
	}
	if len(resp.KVs) == 0 {
		return cornelwall.Pair{Key: key}, nil
	}
	return toPair(resp.KVs[0]), nil
}

// List reads all keys with the prefix and the store's revision.
func (c *Client) List(ctx context.Context, prefix string) ([]cornelwall.Pair, uint64, error) {
	var resp RangeResponse
	req := RangeRequest{Key: firstKey(prefix), End: PrefixEnd(prefix)}
	if err := c.read(ctx, "/v3/kv/range", req, &resp); err != nil {
		return nil, 0, err
	}
	pairs := make([]cornelwall.Pair, len(resp.KVs))
	for i, kv := range resp.KVs {
		pairs[i] = toPair(kv)
	}
	return pairs, uint64(resp.Header.Revision), nil
}

// CompareAndSwap writes the value if the key still has the revision old.
func (c *Client) CompareAndSwap(ctx context.Context, key string, old uint64, value []byte, lease int64) (bool, error) {
	req := TxnRequest{
		Compare: []Compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: int64(old)}},
		Success: []Op{{Put: &Put{Key: []byte(key), Value: value, Lease: lease}}},
	}
	var resp TxnResponse
	if err := c.write(ctx, "/v3/kv/txn", req, &resp); err != nil {
		return false, err
	}
	return resp.Succeeded, nil
}

// GrantLease creates a lease with a TTL in seconds and returns its ID.
func (c *Client) GrantLease(ctx context.Context, seconds int64) (int64, error) {
	var resp GrantResponse
	if err := c.write(ctx, "/v3/lease/grant", GrantRequest{TTL: seconds}, &resp); err != nil {
		return 0, err
	}
	if resp.Error != "" || resp.ID == 0 {
		return 0, storeError("/v3/lease/grant", fmt.Errorf("lease was not granted: %s", resp.Error))
	}
	return resp.ID, nil
}

// read tries the call on each server in turn until one answers.
func (c *Client) read(ctx context.Context, path string, req, resp any) error {
	err := errors.New("no URL of the store is configured")
	for range c.cfg.URLs {
		if err = c.call(ctx, path, req, resp); err == nil || ctx.Err() != nil {
			break
		}
	}
	return storeError(path, err)
}

// write sends the call once, to one server, since it may take effect although it fails.
func (c *Client) write(ctx context.Context, path string, req, resp any) error {
	if len(c.cfg.URLs) == 0 {
		return storeError(path, errors.New("no URL of the store is configured"))
	}
	return storeError(path, c.call(ctx, path, req, resp))
}

// call makes one call to the preferred server. If it fails, the following server becomes the
// preferred one.
func (c *Client) call(ctx context.Context, path string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	n := c.preferred.Load()
	err := c.post(ctx, c.serverURL(n)+path, req, resp)
	if err != nil {
		c.preferred.CompareAndSwap(n, n+1)
	}
	return err
}

func (c *Client) serverURL(n uint32) string {
	return strings.TrimSuffix(c.cfg.URLs[int(n)%len(c.cfg.URLs)], "/")
}

func (c *Client) post(ctx context.Context, url string, req, resp any) error {
	r, err := c.send(ctx, url, req)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	return decodeJSON(r.Body, maxResponse, resp)
}

// send sends the request and returns the answer if its status is 200.
func (c *Client) send(ctx context.Context, url string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // so that net/http cannot retry a write
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return resp, nil
}

func decodeJSON(r io.Reader, limit int64, v any) error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > limit {
		return fmt.Errorf("answer is larger than %d bytes", limit)
	}
	return json.Unmarshal(body, v)
}

func storeError(path string, err error) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(cornelwall.ErrStore, merry.WithCause(err), merry.PrependMessagef("call %s", path))
}

func toPair(kv KV) cornelwall.Pair {
	return cornelwall.Pair{Key: string(kv.Key), Value: kv.Value, Revision: uint64(kv.ModRevision)}
}

// firstKey returns the start of the range of keys with the prefix. The store rejects an empty key.
func firstKey(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
