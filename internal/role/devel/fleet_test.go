package devel_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/cmdl/opcmd"
	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/wire/chat"
)

const operator = "op_test"

// fleet is a deployment with the workspace "demo" and a key for it.
type fleet struct {
	*devel.Deployment
	t     *testing.T
	is    *is.I
	group *group.Group
	key   string
}

// startFleet starts a deployment with short time-outs and waits until every entry knows the key of the workspace.
func startFleet(t *testing.T, o devel.Options) *fleet {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(ctx)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	o.OperatorSecret = operator
	side, entry := o.Sidecar, o.Entry
	o.Sidecar = func(i int, c *config.Sidecar) {
		c.LogTimeoutMS, c.SilenceMS = 300, 1000
		if side != nil {
			side(i, c)
		}
	}
	o.Entry = func(i int, c *config.Entry) {
		c.LogTimeoutMS, c.SilenceMS, c.SuspectAfterMS = 300, 1000, 1500
		if entry != nil {
			entry(i, c)
		}
	}
	d, err := devel.Start(g, o)
	f := &fleet{Deployment: d, t: t, is: is.New(t), group: g}
	f.is.NoErr(err)
	ready, done := context.WithTimeout(ctx, 10*time.Second)
	defer done()
	f.is.NoErr(d.WaitReady(ready))
	f.key, err = opcmd.CreateWorkspaceWithKey(ready, d.URL(0), operator, "demo")
	f.is.NoErr(err)
	f.eventually("key known to all entries", func() bool {
		for i := range d.Entries {
			if f.as(f.key).post(i, "/v1/programs", `{"model":"none"}`).code == "unauthenticated" {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("%s: condition not met within 15 s", what)
}

// caller sends requests with one key.
type caller struct {
	f   *fleet
	key string
}

func (f *fleet) as(key string) caller { return caller{f, key} }

// reply is a response of the callers' API.
type reply struct {
	status        int
	code, outcome string
	retryAfterMS  int64
	body          []byte
}

func (c caller) post(entry int, path, body string) reply {
	return c.do(http.MethodPost, entry, path, body)
}

func (c caller) do(method string, entry int, path, body string) reply {
	c.f.t.Helper()
	resp := c.open(context.Background(), method, entry, path, body)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	c.f.is.NoErr(err)
	return parseReply(resp.StatusCode, b)
}

func parseReply(status int, b []byte) reply {
	var e struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
			Retry   int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	_ = json.Unmarshal(b, &e)
	return reply{status, e.Error.Code, e.Error.Outcome, e.Error.Retry, b}
}

func (c caller) open(ctx context.Context, method string, entry int, path, body string) *http.Response {
	c.f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, c.f.URL(entry)+path, strings.NewReader(body))
	c.f.is.NoErr(err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Cookie", "session="+c.key)
	resp, err := http.DefaultClient.Do(req)
	c.f.is.NoErr(err)
	return resp
}

// program creates a program and returns its id.
func (c caller) program(entry int) string {
	c.f.t.Helper()
	r := c.post(entry, "/v1/programs", `{"model":"`+devel.Model+`"}`)
	c.f.is.Equal(r.status, http.StatusCreated)
	var p struct {
		Program string `json:"program"`
	}
	c.f.is.NoErr(json.Unmarshal(r.body, &p))
	return p.Program
}

// firstProgram creates a program on the first entry, retrying until that entry knows an engine.
func (c caller) firstProgram() string {
	c.f.t.Helper()
	var p string
	c.f.eventually("program", func() bool {
		r := c.post(0, "/v1/programs", `{"model":"fake-1"}`)
		if r.status != http.StatusCreated {
			return false
		}
		p = textField(c.f, r, "program")
		return true
	})
	return p
}

// call makes a model call, the next turn of the program.
func (c caller) call(entry int, program, text string) reply {
	c.f.t.Helper()
	return c.post(entry, "/v1/programs/"+program+"/calls", callBody(text, ""))
}

// callWithRetry makes a call and retries it while the reply has a retry-after time. The idempotency key makes this safe
// even after an unknown outcome.
func (c caller) callWithRetry(entry int, program, text string) reply {
	c.f.t.Helper()
	key := fmt.Sprintf(`,"idempotency_key":"patient-%d"`, idempotencyKeys.Add(1))
	var r reply
	c.f.eventually("call of "+program, func() bool {
		r = c.post(entry, "/v1/programs/"+program+"/calls", callBody(text, key))
		return r.retryAfterMS == 0
	})
	return r
}

// idempotencyKeys numbers the idempotency keys of callWithRetry.
var idempotencyKeys atomic.Int64

// callBody returns the body of a call with one user message and further fields.
func callBody(text, more string) string {
	b, _ := json.Marshal(text)
	return `{"messages":[{"role":"user","content":` + string(b) + `}]` + more + `}`
}

// placeOrder calls the order service with an idempotency key.
func (c caller) placeOrder(entry int, program, key, body string) reply {
	c.f.t.Helper()
	return c.post(entry, "/v1/programs/"+program+"/services/"+devel.Service, `{"body":`+body+`,"idempotency_key":"`+key+`"}`)
}

// programView is a program as returned to callers.
type programView struct {
	State   string `json:"state"`
	Turns   int    `json:"turns"`
	Spent   int64  `json:"spent_tokens"`
	Digest  string `json:"history_digest"`
	History []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"history"`
}

func (c caller) describe(entry int, program string) programView {
	c.f.t.Helper()
	r := c.do(http.MethodGet, entry, "/v1/programs/"+program, "")
	if r.status != http.StatusOK {
		c.f.t.Fatalf("describe program %q: %s", program, r.body)
	}
	var v programView
	c.f.is.NoErr(json.Unmarshal(r.body, &v))
	return v
}

// readStream reads a streamed response. Complete reports whether it ended with the end marker.
func readStream(t *testing.T, resp *http.Response) (text, code string, complete bool) {
	t.Helper()
	defer resp.Body.Close()
	err := chat.ReadEvents(resp.Body, func(b []byte) error {
		if r := parseReply(0, b); r.code != "" {
			code = r.code
			return nil
		}
		c, err := chat.ParseChunk(b)
		if err == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
		return err
	})
	return text, code, err == nil
}

// homeVM returns the VM of the program's first home, which is part of the program's id.
func homeVM(program string) string {
	vm, _, _ := strings.Cut(program, ".")
	return vm
}

func contains(b []byte, s string) bool { return bytes.Contains(b, []byte(s)) }

// textField returns a string field of the reply's body.
func textField(f *fleet, r reply, name string) string {
	f.t.Helper()
	var m map[string]json.RawMessage
	f.is.NoErr(json.Unmarshal(r.body, &m))
	var s string
	f.is.NoErr(json.Unmarshal(m[name], &s))
	return s
}
