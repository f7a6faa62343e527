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
	maxResponseBytes = 32 << 20 // bytes; an answer of the largest size in base64
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// response is what an entry said to one request.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // time after which to come back; 0 if it does not say
}

// send sends one request to one entry. An error means that the request may or may not
// have been carried out; see unsent.
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
		return nil, fmt.Errorf("answer of %s was cut off: %w", entry, err)
	}
	return &response{status: w.StatusCode, body: text, retryAfter: parseRetryAfter(w.Header)}, nil
}

// notSent reports whether a request provably did not leave, as no connection was made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// parseRetryAfter reads the time after which to come back.
func parseRetryAfter(h http.Header) time.Duration {
	if d, err := time.ParseDuration(h.Get("Cornelwall-Back")); err == nil {
		return max(0, d)
	}
	if n, err := strconv.Atoi(h.Get("Retry-After")); err == nil && n > 0 {
		return time.Duration(n) * time.Second
	}
	return 0
}

// answer reads the response as the answer for a ticket. Without a ticket, any answer
// will do.
func (r *response) answer(t cornelwall.Ticket) (cornelwall.Answer, error) {
	var a cornelwall.Answer
	var has struct{ Outcome *cornelwall.Outcome }
	if err := json.Unmarshal(r.body, &has); err != nil || has.Outcome == nil {
		return a, r.toError()
	}
	if err := json.Unmarshal(r.body, &a); err != nil {
		return a, fmt.Errorf("answer is damaged: %w", err)
	}
	if a.Ticket != t {
		return a, fmt.Errorf("answer is of ticket %q, not of %q", a.Ticket, t)
	}
	a.RetryAfter = max(a.RetryAfter, cornelwall.Duration(r.retryAfter))
	return a, a.Check()
}

// toError returns the error of a response that is no answer: of kind ErrInput if the
// request was wrong in itself, else of kind ErrPeer.
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

// nextEntry returns the entry to try after one that did not answer well, and makes it the
// first for others too.
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

// retryDelay returns how long to wait before try number n, counted from 1, if the last
// response asked to come back after back. The first round through the entries does not
// wait.
func (c *Client) retryDelay(n int, back time.Duration) time.Duration {
	if back > 0 {
		return back
	}
	round := n / len(c.entries)
	if round == 0 {
		return 0
	}
	return min(maxBackoff, minBackoff<<min(round-1, 16))
}
