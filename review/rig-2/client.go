package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

var host = "ficu95.example"

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Client sends requests as the pages describe.
type Client struct {
	world *World
	http  *http.Client
}

func newClient(w *World) *Client {
	d := &net.Dialer{Timeout: time.Second}
	return &Client{world: w, http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second,
	}}}
}

type turn struct {
	program, session, previous, key, tenant, path string
	input                                         []byte
	budget, maxTokens, resumeAt                   int
	resumable                                     bool
	// deadline is how long the client waits; 4 s if it is zero.
	deadline     time.Duration
	left         time.Duration
	promptTokens int
}

func (c *Client) do(ctx context.Context, a *attempt, address, key string, h http.Header, deadline time.Duration) {
	a.sent = time.Now()
	c.world.add(a)
	ctx, cancel := context.WithTimeout(ctx, deadline+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+address+a.path, strings.NewReader(string(a.input)))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = host
	req.Header = h
	req.Header.Set("X-Galenaward-Request-Id", a.id)
	req.Header.Set("X-Galenaward-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err.Error()
		c.world.finish(a)
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	signature := resp.Header.Get("X-Galenaward-Server-Signature")
	if resp.StatusCode != 200 {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		a.text, a.retryAfter = string(b), resp.Header.Get("Retry-After")
		if signature != "" && resp.StatusCode != 500 {
			c.world.breaks("MIXED", "%s: status %d with signature %q", a.id, resp.StatusCode, signature)
		}
		c.world.finish(a)
		return
	}
	if !strings.HasSuffix(signature, "."+a.id) {
		c.world.breaks("MIXED", "%s: signature %q", a.id, signature)
	}
	if a.kind != "streaming" && a.kind != "resumable" {
		b, err := io.ReadAll(resp.Body)
		switch {
		case err != nil:
			a.err = err.Error()
		case string(b) != "done "+a.id:
			c.world.breaks("MIXED", "%s: body %q", a.id, b)
		default:
			a.whole, a.wholeAt = true, time.Now()
		}
		c.world.finish(a)
		return
	}
	c.stream(a, resp.Body)
	c.world.finish(a)
}

func (c *Client) stream(a *attempt, body io.Reader) {
	r := bufio.NewReader(body)
	data := ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) || line != "" || data != "" {
				a.err = err.Error()
				return
			}
			c.world.mu.Lock()
			whole := a.got == len(a.events)
			c.world.mu.Unlock()
			if !whole {
				c.world.breaks("ORDER", "%s ended as complete after %d of %d events", a.id, a.got, len(a.events))
			}
			c.world.mu.Lock()
			a.whole, a.wholeAt = true, time.Now()
			c.world.mu.Unlock()
			return
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "" && data != "":
			c.world.mu.Lock()
			want := ""
			if a.got < len(a.events) {
				want = a.events[a.got]
			}
			c.world.mu.Unlock()
			if want != data {
				c.world.breaks("ORDER", "%s: event %d is %q, not %q", a.id, a.got+1, data, want)
			}
			a.got++
			data = ""
			c.world.tokens(a.program, chunkTokens)
		}
	}
}

// turn sends one turn and returns the attempt.
func (c *Client) turn(ctx context.Context, address string, t turn) *attempt {
	a := &attempt{
		id: newID(), kind: "streaming", program: t.tenant + "/" + t.program, tenant: t.tenant, previous: t.previous,
		method: "POST", path: t.path, input: t.input, maxTokens: t.maxTokens,
	}
	h := http.Header{}
	if t.resumable {
		a.kind, a.got = "resumable", t.resumeAt
	}
	if t.resumeAt > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(t.resumeAt))
	}
	h.Set("X-Galenaward-Model", "m")
	h.Set("X-Galenaward-Program-Id", t.program)
	h.Set("X-Galenaward-Session-Id", t.session)
	h.Set("X-Galenaward-Program-Deadline-Ms", strconv.FormatInt(t.left.Milliseconds(), 10))
	h.Set("X-Galenaward-Token-Count", fmt.Sprintf("%d,%d", max(1, t.promptTokens), t.maxTokens))
	if t.budget > 0 {
		h.Set("X-Galenaward-Token-Budget", strconv.Itoa(t.budget))
		c.world.mu.Lock()
		c.world.budget[a.program], c.world.most[a.program] = t.budget, max(c.world.most[a.program], t.maxTokens)
		c.world.mu.Unlock()
	}
	if t.previous != "" {
		h.Set("X-Galenaward-Previous-Turn", t.previous)
	}
	c.do(ctx, a, address, t.key, h, cmp.Or(t.deadline, 4*time.Second))
	return a
}

// call sends a call of a tool.
func (c *Client) call(ctx context.Context, address, kind, path, key, tenant string) *attempt {
	a := &attempt{id: newID(), kind: kind, tenant: tenant, method: "GET", path: path}
	if kind == "non_idempotent" {
		a.method, a.input = "POST", []byte("order "+a.id)
	}
	c.do(ctx, a, address, key, http.Header{}, routeTimeout(kind))
	return a
}
