package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"cornelwall"
)

const (
	maxResponseBytes = 32 << 20 // bytes; the largest answer in base64
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// response is the response of an entry to one request.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // delay before the next request; 0 if not given
}

// send sends one request to one entry. After an error the request may or may not have been carried
// out; see notSent.
func (c *Client) send(ctx context.Context, entry, method, path string, in any) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, entry+path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(w.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("response of %s is incomplete: %w", entry, err)
	}
	return &response{status: w.StatusCode, body: text, retryAfter: parseRetryAfter(w.Header)}, nil
}

// notSent reports whether an error proves that the request was not sent, because no connection was
// established.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// parseRetryAfter returns the delay that a response asks for before the next request, or 0.
func parseRetryAfter(h http.Header) time.Duration {
	if d, err := time.ParseDuration(h.Get("Cornelwall-Back")); err == nil {
		return max(0, d)
	}
	if n, err := strconv.Atoi(h.Get("Retry-After")); err == nil && n > 0 {
		return time.Duration(n) * time.Second
	}
	return 0
}

// answer decodes the response as an answer for the ticket. The ticket is zero for requests that
// have none, and the answer must then have none either.
func (r *response) answer(t cornelwall.Ticket) (cornelwall.Answer, error) {
	var a cornelwall.Answer
	var has struct{ Outcome *cornelwall.Outcome }
	if err := json.Unmarshal(r.body, &has); err != nil || has.Outcome == nil {
		return a, r.toError()
	}
	if err := json.Unmarshal(r.body, &a); err != nil {
		return a, fmt.Errorf("answer cannot be decoded: %w", err)
	}
	if a.Ticket != t {
		return a, fmt.Errorf("answer is for ticket %q, not for %q", a.Ticket, t)
	}
	a.RetryAfter = max(a.RetryAfter, cornelwall.Duration(r.retryAfter))
	return a, a.Check()
}

// toError returns the error for a response that is not an answer: of kind ErrInput if the request
// was invalid, otherwise of kind ErrPeer.
func (r *response) toError() error {
	var p struct{ Error string }
	if err := json.Unmarshal(r.body, &p); err != nil || p.Error == "" {
		p.Error = fmt.Sprintf("status %d", r.status)
	}
	if r.status >= 400 && r.status < 500 && r.status != http.StatusTooManyRequests && r.status != http.StatusRequestTimeout {
		return merry.Wrap(cornelwall.ErrInput, merry.WithMessage(p.Error))
	}
	return merry.Wrap(cornelwall.ErrPeer, merry.AppendMessage(p.Error))
}

// preferredEntry returns the entry to try first.
func (c *Client) preferredEntry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[c.preferred]
}

// nextEntry returns the entry to try after the given one. If that was the preferred entry, the next
// one becomes preferred, for other requests too.
func (c *Client) nextEntry(entry string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[c.preferred] == entry {
		c.preferred = (c.preferred + 1) % len(c.entries)
		return c.entries[c.preferred]
	}
	for i, e := range c.entries {
		if e == entry {
			return c.entries[(i+1)%len(c.entries)]
		}
	}
	return c.entries[c.preferred]
}

// retryDelay returns the delay after attempt n, counted from 1. It is retryAfter if the last
// response asked for that. Otherwise it doubles with each round through the entries, up to
// maxBackoff; during the first round there is none.
func (c *Client) retryDelay(n int, retryAfter time.Duration) time.Duration {
	if retryAfter > 0 {
		return retryAfter
	}
	round := n / len(c.entries)
	if round == 0 {
		return 0
	}
	return min(maxBackoff, minBackoff<<min(round-1, 16))
}
