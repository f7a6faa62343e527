// Package client submits jobs to cornelwall. It draws tickets in advance, submits a job again
// under the same ticket if its answer was lost, and returns a distinct error for each outcome.
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
//	case errors.Is(err, client.ErrUnknown): // it is not known whether the job ran
//	case errors.Is(err, cornelwall.ErrInput): // the job is invalid
//	}
//
// A job is submitted, to any of the entries, until it has a final answer or ctx ends. It keeps its
// ticket, so that no task starts twice. Once it has been sent, it gets a new ticket only after an
// answer with the outcome not run, and at most Config.Retries times.
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
	maxDraw        = 1000 // maximum of tickets in one draw, as at the entries
	maxIdleConns   = 256  // per entry
)

// Config configures a client. All fields but the first two have defaults.
type Config struct {
	Entries []string      // base URLs of entries or of the load balancer
	Profile string        // of all jobs
	Retries int           // maximum of new tickets for a job after answers of not run
	Ahead   int           // unused tickets to hold
	Timeout time.Duration // of one request; a job may need several
	HTTP    *http.Client  // sends the requests
	Clock   Clock         // time source

	// Pick returns the index of the entry to try first, out of n. The default is random, which
	// spreads many clients over the entries.
	Pick func(n int) int
}

// check sets the defaults and reports every problem with the configuration.
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
	if c.Ahead < 1 || c.Ahead > maxDraw {
		errs = append(errs, fmt.Errorf("Ahead %d is out of range; use 1 to %d", c.Ahead, maxDraw))
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
	pool      []drawnTicket // unused tickets
	waiters   int           // submissions waiting for a ticket
	preferred int           // index of the entry to try first

	drawSlot chan struct{} // full while one submission draws tickets for all waiters
	refill   chan struct{} // signals refillPool to draw tickets
	stop     context.CancelFunc
	done     chan struct{}
}

// New returns a client and starts its goroutine, which draws tickets in advance. The error is of
// kind cornelwall.ErrInput and lists every problem with the configuration.
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

// newTransport returns a transport that keeps enough idle connections per entry for many concurrent
// submissions.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConns, t.MaxIdleConnsPerHost = 0, maxIdleConns
	return t
}

// Close stops the client's goroutine and closes idle connections. It does not interrupt submissions
// in progress.
func (c *Client) Close() {
	c.stop()
	<-c.done
	c.http.CloseIdleConnections()
}

// Done is closed once the client's goroutine has ended.
func (c *Client) Done() <-chan struct{} { return c.done }
