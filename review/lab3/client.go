package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// job is a job with one step, as a client submits it.
type job struct {
	id       string
	tasks    int
	cores    int           // of each task, in thousandths
	work     time.Duration // of each task
	patience time.Duration // for which the client waits for the answer to a request
}

// body returns the body of the request that submits the job.
func (j *job) body() ([]byte, error) {
	return json.Marshal(map[string]any{
		"spec": fmt.Sprintf("work=%d", j.work.Milliseconds()), "bestEffort": true,
		"steps": []map[string]any{{"count": j.tasks, "cpu": j.cores, "memMb": 64, "estimateMs": j.work.Milliseconds()}},
	})
}

// channel is an open connection of a client, on which it makes one request at a time.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
	to   string
	rec  *record
}

// open connects a client to an address.
func (l *lab) open(ctx context.Context, to, addr string) (*channel, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, r: bufio.NewReader(c), to: to, rec: l.rec}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// send writes a request.
func (c *channel) send(method, path string, body []byte, patience time.Duration) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCornelwall-Deadline-Ms: %d\r\n", method, path, queueHost, patience.Milliseconds())
	if body != nil {
		fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	c.rec.add("client sends %s %s to %s, and waits %s", method, path, c.to, patience)
	_, err := c.conn.Write(append([]byte(b.String()+"\r\n"), body...))
	return err
}

// await reads the answer to the last request, and waits until a time.
func (c *channel) await(until time.Time) (status int, text string, err error) {
	if err := c.conn.SetReadDeadline(until); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.rec.add("client gets no answer of %s: %v", c.to, err)
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.rec.add("client gets %d of %s: %s", resp.StatusCode, c.to, strings.TrimSpace(string(b)))
	return resp.StatusCode, string(b), err
}

// submit sends a job, and notes what its tasks need.
func (l *lab) submit(c *channel, j *job) error {
	l.mu.Lock()
	l.needs[j.id] = j.cores
	l.mu.Unlock()
	b, err := j.body()
	if err != nil {
		return err
	}
	return c.send(http.MethodPost, queuePrefix+j.id, b, j.patience)
}
