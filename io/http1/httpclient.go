package http1

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

// HTTPClient is a client for libraries that use the requests and answers of net/http. It
// follows no redirects and reads each answer into memory.
type HTTPClient struct{ client *Client }

// NewHTTPClient returns a client with the settings.
func NewHTTPClient(cfg Config) *HTTPClient { return &HTTPClient{client: New(cfg)} }

// Do sends the request at most once. The host in its URL must be an IP address and a port.
func (p *HTTPClient) Do(r *http.Request) (*http.Response, error) {
	addr, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("request to %q: use ip:port: %w", r.URL.Host, err)
	}
	pool := p.client.acquirePool(poolKey{addr: addr})
	defer p.client.releasePool(pool)
	got, _, err := p.client.exchange(r.Context(), pool, addr, &exchange{request: r})
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", r.Method, r.URL, err)
	}
	return &http.Response{
		Status: fmt.Sprintf("%d %s", got.Status, http.StatusText(got.Status)), StatusCode: got.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: got.Header, Body: io.NopCloser(bytes.NewReader(got.Body)), ContentLength: int64(len(got.Body)), Request: r,
	}, nil
}

// CloseIdleConnections closes the idle connections. Connections in use are closed after their
// requests.
func (p *HTTPClient) CloseIdleConnections() { p.client.Close() }
