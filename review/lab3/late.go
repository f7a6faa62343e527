package main

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

const (
	requestPatience = 1500 * time.Millisecond // of a client for one request
	retryDelay      = 1300 * time.Millisecond // retryDelayMs
	shortFreeze     = 2 * time.Second
	firstRepeat     = 200 * time.Millisecond // of a packet that was not acknowledged; the pause doubles with each repeat
	roundTrip       = 6 * time.Millisecond   // between client and entry: 3 ms one way
)

// lateRequest judges TWICE. The machine of an entry stands still for two seconds. A request that a client sends on an open
// channel meanwhile is repeated by the network, and arrives after the client has left and sent the job again elsewhere.
func lateRequest(ctx context.Context, l *lab, trouble bool) (broken bool, err error) {
	if err := l.startAll(ctx); err != nil {
		return false, err
	}
	first, second := l.entries[0], l.entries[1]
	link := &relay{to: first.frontend, rec: l.rec}
	addr, err := link.listen("127.0.3.2")
	if err != nil {
		return false, err
	}
	defer link.close()
	c, err := l.open(ctx, first.name, addr)
	if err != nil {
		return false, err
	}
	defer c.close()
	j := &job{id: "00c0ffee5ca1ab1e", tasks: 4, cores: 6800, work: 900 * time.Millisecond, patience: requestPatience}
	if trouble {
		if err := first.signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
		link.freeze(time.Now().Add(shortFreeze))
		time.AfterFunc(shortFreeze, func() { _ = first.signal(syscall.SIGCONT) })
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return false, err
		}
	}
	until := time.Now().Add(j.patience)
	if err := l.submit(c, j); err != nil {
		return false, err
	}
	if status, _, err := c.await(until); err != nil || status == 502 || status == 504 {
		c.close()
		l.rec.add("client leaves, and will send the job again")
		if err := l.submitAgain(ctx, second, j); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return false, err
	}
	return l.judgeTwice(j), nil
}

// submitAgain sends a job to another entry, after the delay with which clients send a job again.
func (l *lab) submitAgain(ctx context.Context, e *entry, j *job) error {
	if err := sleep(ctx, retryDelay); err != nil {
		return err
	}
	c, err := l.open(ctx, e.name, e.frontend)
	if err != nil {
		return err
	}
	defer c.close()
	if err := l.submit(c, j); err != nil {
		return err
	}
	_, _, err = c.await(time.Now().Add(j.patience))
	return err
}

// judgeTwice reports whether two runs of one task were under way at the same time.
func (l *lab) judgeTwice(j *job) (broken bool) {
	runs := l.runsOf(j.id)
	for i := range runs {
		for k := range runs[:i] {
			a, b := &runs[i], &runs[k]
			if a.task != b.task {
				continue
			}
			from, to := a.startedAt, a.endedAt
			if b.startedAt.After(from) {
				from = b.startedAt
			}
			if to.IsZero() || !b.endedAt.IsZero() && b.endedAt.Before(to) {
				to = b.endedAt
			}
			if to.After(from) {
				l.rec.add("broken: %s ran as run %d on %s and as run %d on %s at the same time, for %s", a.task, a.run, a.executor, b.run, b.executor, to.Sub(from).Round(time.Millisecond))
				broken = true
			}
		}
	}
	return broken
}

// relay is the network between a client and an entry whose machine can stand still. What the client sends meanwhile is
// not acknowledged and sent again, with pauses that double, as TCP does.
type relay struct {
	to       string
	rec      *record
	listener net.Listener
	awakeAt  chan time.Time // set once
}

func (r *relay) listen(ip string) (addr string, err error) {
	r.awakeAt = make(chan time.Time, 1)
	if r.listener, err = net.Listen("tcp", ip+":0"); err != nil {
		return "", err
	}
	go r.serve()
	return r.listener.Addr().String(), nil
}

func (r *relay) close() { _ = r.listener.Close() }

// freeze tells when the machine wakes again.
func (r *relay) freeze(until time.Time) { r.awakeAt <- until }

// serve relays one connection.
func (r *relay) serve() {
	client, err := r.listener.Accept()
	if err != nil {
		return // closed
	}
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", r.to)
	if err != nil {
		r.rec.add("relay: %v", err)
		return
	}
	defer func() { _ = server.Close() }()
	go func() { _, _ = io.Copy(client, server) }() // ends with the connections
	r.forward(client, server)
}

// forward passes on what the client sends, and then its end.
func (r *relay) forward(client, server net.Conn) {
	b := make([]byte, 64<<10)
	n, err := client.Read(b)
	if err != nil {
		return
	}
	select {
	case awake := <-r.awakeAt:
		r.waitForRepeat(awake)
	default:
	}
	if _, err := server.Write(b[:n]); err != nil {
		r.rec.add("relay: %v", err)
		return
	}
	line, _, _ := strings.Cut(string(b[:n]), "\r")
	r.rec.add("request arrives at the entry: %s", line)
	if _, err := client.Read(b); !errors.Is(err, io.EOF) {
		return
	}
	time.Sleep(roundTrip) // the end of the channel follows once the request is acknowledged
	r.rec.add("end of the client's channel arrives at the entry")
	_ = server.(*net.TCPConn).CloseWrite()
	time.Sleep(time.Second)
}

// waitForRepeat waits for the first repeat of a packet after the machine is awake.
func (r *relay) waitForRepeat(awake time.Time) {
	at := time.Now()
	for pause := firstRepeat; at.Before(awake); pause *= 2 {
		at = at.Add(pause)
	}
	time.Sleep(time.Until(at))
}
