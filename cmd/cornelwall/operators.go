package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cornelwall"
	"cornelwall/io/operator"
)

const (
	maxResponseBytes = 8 << 20                // bytes of the response to one request that are read
	retryPause       = 250 * time.Millisecond // between two rounds through the entries
	maxStatusWait    = 5 * time.Second        // that a status request asks the entry to wait
	statusReserve    = 3 * time.Second        // of the timeout, for the entry to query other entries
	readRounds       = 2                      // attempts at each entry for a read
	requestTimeout   = 15 * time.Second
)

// operatorFlags are the flags of commands that connect to the operators' listeners.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "`URL` of the operators' listener of an entry; may be repeated, and the URLs are tried in turn",
			Value: []string{"http://127.0.0.1:7002"}, Sources: env("OPERATOR_ENTRIES")},
		&cli.StringFlag{Name: "token", Usage: "operators' `TOKEN`; a file or the environment is safer, because other users can read flags",
			HideDefault: true, Sources: env("TOKEN")},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the operators' token", Sources: env("TOKEN_FILE")},
		&cli.StringFlag{Name: "as", Usage: "`NAME` under which changes are logged", Value: os.Getenv("USER"), HideDefault: true, Sources: env("AS")},
		&cli.DurationFlag{Name: "timeout", Usage: "timeout of the whole command", Value: 30 * time.Second, Sources: env("TIMEOUT")},
		outputFlag(),
	}
}

// operatorClient is a client of the operators' API of one or more entries.
type operatorClient struct {
	entries      []string
	token        string
	operatorName string
	http         *http.Client
}

// newOperatorClient returns a client with the settings of the flags and reports every problem with
// them.
func newOperatorClient(c *cli.Command) (*operatorClient, error) {
	o := &operatorClient{operatorName: c.String("as"), http: &http.Client{Timeout: requestTimeout}}
	entries, errEntries := readEntries(c)
	token, errToken := readSecret("token", c.String("token"), c.String("token-file"))
	if token == "" && errToken == nil {
		errToken = errors.New("--token is missing; set CORNELWALL_TOKEN to the operators' token, or --token-file")
	}
	if err := errors.Join(errEntries, errToken, checkTimeout(c)); err != nil {
		return nil, usageError(err)
	}
	o.entries, o.token = entries, token
	return o, nil
}

// readEntries returns the base URLs of --entry.
func readEntries(c *cli.Command) ([]string, error) {
	var entries []string
	var errs []error
	for _, e := range strings.Split(strings.Join(c.StringSlice("entry"), ","), ",") {
		if u, err := url.Parse(e); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			errs = append(errs, fmt.Errorf("--entry %q is not a URL; use http://ip:port", e))
		}
		entries = append(entries, strings.TrimSuffix(e, "/"))
	}
	return entries, errors.Join(errs...)
}

func checkTimeout(c *cli.Command) error {
	if d := c.Duration("timeout"); d <= 0 {
		return fmt.Errorf("--timeout %s is not positive; use a duration such as 30s", d)
	}
	return nil
}

// withTimeout returns a copy of ctx that ends after --timeout.
func withTimeout(ctx context.Context, c *cli.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Duration("timeout"))
}

// send sends one request to one entry and decodes the response into out. In case of an error,
// definite reports whether it proves that the request changed nothing.
func (o *operatorClient) send(ctx context.Context, entry, method, path string, in, out any) (definite bool, err error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return true, err
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, entry+path, body)
	if err != nil {
		return true, err
	}
	r.Header.Set("Authorization", "Bearer "+o.token)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(operator.HeaderOperator, o.operatorName)
	w, err := o.http.Do(r)
	if err != nil {
		var op *net.OpError
		return errors.As(err, &op) && op.Op == "dial", merry.Wrap(cornelwall.ErrPeer, merry.AppendMessage(err.Error()))
	}
	defer func() { _ = w.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(w.Body, maxResponseBytes))
	if err != nil {
		return false, merry.Wrap(cornelwall.ErrPeer, merry.AppendMessage(err.Error()))
	}
	if w.StatusCode != http.StatusOK {
		return w.StatusCode < http.StatusInternalServerError, responseError(w.StatusCode, text)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return false, merry.Wrap(cornelwall.ErrPeer, merry.AppendMessagef("response of %s is not JSON: %v", entry, err))
	}
	return true, nil
}

// responseError returns the error for a response with an error status.
func responseError(status int, text []byte) error {
	var p struct{ Error string }
	if err := json.Unmarshal(text, &p); err != nil || p.Error == "" {
		p.Error = fmt.Sprintf("status %d", status)
	}
	kind := cornelwall.ErrPeer
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		kind = cornelwall.ErrInput
	case http.StatusUnauthorized:
		kind = cornelwall.ErrAuth
		p.Error = "token is wrong; set CORNELWALL_TOKEN to the operators' token of the entries"
	case http.StatusNotFound:
		kind = cornelwall.ErrMissing
	case http.StatusConflict:
		kind = cornelwall.ErrConflict
	case http.StatusServiceUnavailable:
		kind = cornelwall.ErrStore
	}
	return merry.Wrap(kind, merry.WithMessage(p.Error))
}

// read sends a GET request to the entries in turn until one answers, for up to readRounds rounds.
func (o *operatorClient) read(ctx context.Context, path string, out any) error {
	var last error
	for round := range readRounds {
		if round > 0 && cornelwall.Wait(ctx, retryPause) != nil {
			break
		}
		for _, entry := range o.entries {
			definite, err := o.send(ctx, entry, http.MethodGet, path, nil, out)
			if err == nil || (definite && !errors.Is(err, cornelwall.ErrPeer)) {
				return err
			}
			last = err
		}
	}
	return last
}

// get returns a profile. It has version 0 if the entry that answers does not know it.
func (o *operatorClient) get(ctx context.Context, name string) (cornelwall.Profile, error) {
	var p cornelwall.Profile
	err := o.read(ctx, "/v1/profiles/"+name, &p)
	if errors.Is(err, cornelwall.ErrMissing) {
		return cornelwall.Profile{Name: name}, nil
	}
	return p, err
}

// change is a change of a profile that is being sent.
type change struct {
	method      string
	name        string
	body        any
	baseVersion uint64 // version to replace; 0 creates the profile
	id          string // unique, in lower case as CheckName requires; makes it safe to send the change again
}

func newChange(method, name string, body any, base uint64) *change {
	return &change{method: method, name: name, body: body, baseVersion: base, id: strings.ToLower(rand.Text())}
}

func (ch *change) path() string {
	q := url.Values{"change": {ch.id}}
	if ch.baseVersion == 0 {
		q.Set("create", "true")
	} else {
		q.Set("expect", strconv.FormatUint(ch.baseVersion, 10))
	}
	return "/v1/profiles/" + ch.name + "?" + q.Encode()
}

// sendChange sends the change to the entries in turn until it is accepted or refused, or ctx
// ends. A change whose response was lost is sent again with the same ID, so that it is applied
// only once. The error is of kind errChangeUnknown if it is not known whether the change was
// accepted.
func (o *operatorClient) sendChange(ctx context.Context, ch *change) (cornelwall.Profile, error) {
	maybeAccepted := false // by an entry whose response was lost
	for {
		var last error
		for _, entry := range o.entries {
			var p cornelwall.Profile
			definite, err := o.send(ctx, entry, ch.method, ch.path(), ch.body, &p)
			switch {
			case err == nil:
				return p, nil
			case definite && !errors.Is(err, cornelwall.ErrPeer) && maybeAccepted:
				return o.resolveRefusal(ctx, ch, err)
			case definite && !errors.Is(err, cornelwall.ErrPeer):
				return p, err
			}
			maybeAccepted = maybeAccepted || !definite
			last = err
		}
		if cornelwall.Wait(ctx, retryPause) == nil {
			continue
		}
		if maybeAccepted {
			return cornelwall.Profile{}, merry.Wrap(errChangeUnknown, merry.AppendMessage(last.Error()))
		}
		return cornelwall.Profile{}, last
	}
}

// resolveRefusal determines the outcome of a change that was refused after an earlier attempt may
// have been accepted.
func (o *operatorClient) resolveRefusal(ctx context.Context, ch *change, refusal error) (cornelwall.Profile, error) {
	p, err := o.get(ctx, ch.name)
	switch {
	case err == nil && p.Change == ch.id:
		return p, nil
	case err == nil && p.Version == ch.baseVersion+1:
		return p, refusal // another change has taken the only version that this one could have had
	}
	return p, merry.Wrap(errChangeUnknown, merry.AppendMessage(refusal.Error()))
}
