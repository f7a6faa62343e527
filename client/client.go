// Package client submits jobs to cornelwall: it draws tickets ahead, sends a job again
// under the same ticket whenever its answer was lost, and tells the outcomes apart.
//
// # Usage
//
//	c, err := client.New(client.Config{
//		Entries: []string{"http://10.0.1.5:7000", "http://10.0.2.5:7000"},
//		Profile: "seat-holds",
//	})
//	defer c.Close()
//	answer, err := c.Submit(ctx, cornelwall.Job{Tasks: []cornelwall.Task{{Body: body}}})
//	switch {
//	case err == nil: // done: answer.Tasks has one body per task
//	case errors.Is(err, client.ErrNotRun): // nothing ran and nothing will
//	case errors.Is(err, client.ErrFailed): // at least one task started
//	case errors.Is(err, client.ErrUnknown): // it cannot be told whether it ran
//	case errors.Is(err, cornelwall.ErrInput): // the job is wrong in itself
//	}
//
// A job is sent until it has a final answer or ctx ends, to any of the entries, always
// under one ticket, so that no task starts twice. A new ticket is taken only after an
// answer that says not run, and only as often as Config.Retries allows.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"cornelwall"
)

const (
	defaultAhead   = 16
	defaultTimeout = 30 * time.Second
	maxAhead       = 1000 // tickets that an entry gives out at once
	maxIdleConns   = 256  // to one entry
)

// Config is the settings of a client. Zero fields but the first two take defaults.
type Config struct {
	Entries []string      // base URLs of entries or of the balancer
	Profile string        // of all jobs
	Retries int           // new tickets that a job may take after answers of not run
	Ahead   int           // tickets to hold
	Timeout time.Duration // of one request; a job may take several
	HTTP    *http.Client  // to send requests with
	Clock   Clock         // to wait with

	// Pick returns the index of the entry to try first, of n. It is random if it is not
	// set, so that many clients spread over the entries.
	Pick func(n int) int
}

// check fills in the defaults and reports all that is wrong with the settings.
func (c *Config) check() error {
	errs := []error{cornelwall.CheckName("Profile", c.Profile)}
	if len(c.Entries) == 0 {
		errs = append(errs, errors.New("Entries is empty; set the base URL of an entry"))
	}
	for i, e := range c.Entries {
		if u, err := url.Parse(e); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			errs = append(errs, fmt.Errorf("Entries[%d] %q is not a URL; use http://host:port", i, e))
		}
	}
	if c.Retries < 0 {
		errs = append(errs, fmt.Errorf("Retries %d is negative; use 0 or more", c.Retries))
	}
	if c.Ahead == 0 {
		c.Ahead = defaultAhead
	}
	if c.Ahead < 1 || c.Ahead > maxAhead {
		errs = append(errs, fmt.Errorf("Ahead %d is out of range; use 1 to %d", c.Ahead, maxAhead))
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Timeout < 0 {
		errs = append(errs, fmt.Errorf("Timeout %s is negative; use a duration such as 30s", c.Timeout))
	}
	if c.Pick == nil {
		c.Pick = rand.IntN
	}
	if c.Clock == nil {
		c.Clock = cornelwall.SystemClock{}
	}
	return errors.Join(errs...)
}

// Client submits jobs of one profile. It is safe for concurrent use.
type Client struct {
	cfg     Config
	entries []string
	http    *http.Client

	mu        sync.Mutex
	pool      []drawnTicket // tickets that were never sent
	waiters   int           // submissions that found the pool empty
	preferred int           // index of the entry to try first

	drawSlot chan struct{} // full while a submission draws tickets for all that wait
	refill   chan struct{} // asks for more tickets
	stop     context.CancelFunc
	done     chan struct{}
}

// New returns a client and starts its one goroutine, which draws tickets. It returns an
// error of kind cornelwall.ErrInput that lists all that is wrong with the settings.
func New(cfg Config) (*Client, error) {
	if err := cfg.check(); err != nil {
		return nil, inputError(err)
	}
	c := &Client{cfg: cfg, http: cfg.HTTP,
		drawSlot: make(chan struct{}, 1), refill: make(chan struct{}, 1), done: make(chan struct{})}
	for _, e := range cfg.Entries {
		c.entries = append(c.entries, strings.TrimSuffix(e, "/"))
	}
	c.preferred = cfg.Pick(len(c.entries))
	if c.http == nil {
		c.http = &http.Client{Transport: newTransport()}
	}
	ctx, end := context.WithCancel(context.Background())
	c.stop = end
	go c.refillPool(ctx)
	return c, nil
}

// newTransport returns a transport that keeps a connection for each of many submissions
// at once.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConns, t.MaxIdleConnsPerHost = 0, maxIdleConns
	return t
}

// Close ends the client's goroutine and idle connections. Submissions under way go on
// until their ctx ends.
func (c *Client) Close() {
	c.stop()
	<-c.done
	c.http.CloseIdleConnections()
}

// Done is closed once the client's goroutine has ended.
func (c *Client) Done() <-chan struct{} { return c.done }
