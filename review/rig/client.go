package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// turn is a turn of a program as a client sends it.
type turn struct {
	route, program, previous string
	budget, most             int
	input                    string
}

// result is what the client saw of one attempt. Whole means that the answer ended properly.
type result struct {
	id                         string
	status                     int
	whole                      bool
	events                     int
	leaving                    bool
	sent, head, lastEvent, end time.Time
}

func (r result) tokens() int { return r.events * eventTokens }

func (r result) String() string {
	return fmt.Sprintf("%s status=%d whole=%v events=%d ms=%d", r.id, r.status, r.whole, r.events, r.end.Sub(r.sent).Milliseconds())
}

var attempts atomic.Int64

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// deadline is the time that a client waits: the deadline and the route's time-out of the sheet.
const deadline = 4 * time.Second

// send makes one attempt of a turn at a gateway.
func send(gateway string, t turn) result {
	r := result{id: fmt.Sprintf("%08x%08x", time.Now().Unix(), attempts.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	defer func() { r.end = time.Now() }()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+"/"+t.route+"/4b", strings.NewReader(t.input))
	if err != nil {
		return r
	}
	q.Host = "h.example"
	q.Header.Set("X-Galenaward-Request-Id", r.id)
	q.Header.Set("X-Galenaward-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Authorization", "Bearer key1")
	q.Header.Set("X-Galenaward-Program-Id", t.program)
	q.Header.Set("X-Galenaward-Session-Id", "s"+t.program)
	q.Header.Set("X-Galenaward-Program-Deadline-Ms", "60000")
	q.Header.Set("X-Galenaward-Token-Count", fmt.Sprintf("%d,%d", 100, t.most))
	if t.budget > 0 {
		q.Header.Set("X-Galenaward-Token-Budget", fmt.Sprint(t.budget))
	}
	if t.previous != "" {
		q.Header.Set("X-Galenaward-Previous-Turn", t.previous)
	}
	resp, err := client.Do(q)
	if err != nil {
		r.end = time.Now()
		return r
	}
	defer resp.Body.Close()
	r.status, r.head = resp.StatusCode, time.Now()
	r.leaving = resp.Header.Get("Server-Leaving") != ""
	var all []byte
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		all = append(all, buf[:n]...)
		if c := bytes.Count(all, []byte("\n\n")); resp.StatusCode == http.StatusOK && c > r.events {
			r.events, r.lastEvent = c, time.Now()
		}
		if err == io.EOF {
			r.whole = true
		}
		if err != nil {
			break
		}
	}
	r.end = time.Now()
	return r
}

// lookup sends an idempotent request of the tenant with a limit.
func lookup(gateway string) result {
	r := result{id: fmt.Sprintf("%08x%08x", time.Now().Unix(), attempts.Add(1)), sent: time.Now()}
	const wait = 1200 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	defer func() { r.end = time.Now() }()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/status/2f", nil)
	if err != nil {
		return r
	}
	q.Host = "h.example"
	q.Header.Set("X-Galenaward-Request-Id", r.id)
	q.Header.Set("X-Galenaward-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	q.Header.Set("Authorization", "Bearer key2")
	resp, err := client.Do(q)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	r.status, r.whole = resp.StatusCode, err == nil
	return r
}
