package devel_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
)

func TestInvalidInputReturnsASpecificError(t *testing.T) {
	f := startFleet(t, devel.Options{Entry: func(_ int, c *config.Entry) { c.MaxBodyBytes = 4096 }})
	c := f.as(f.key)
	p := c.program(0)
	calls := "/v1/programs/" + p + "/calls"
	orders := "/v1/programs/" + p + "/services/orders"
	f.is.Equal(c.placeOrder(0, p, "k1", `{"drums":2}`).status, http.StatusOK)
	escaped := strings.Replace(f.key, "_", `\u005f`, 1)
	tests := []struct {
		name, path, body string
		status           int
		code, names      string
	}{
		{"oversize", calls, callBody(strings.Repeat("x", 5000), ""), 413, "body_too_large", "4096"},
		{"broken JSON", calls, `{"messages":[`, 400, "invalid_request", "messages"},
		{"wrong type", calls, `{"messages":"hello"}`, 400, "invalid_request", "messages"},
		{"unknown field", calls, callBody("hi", `,"colour":"red"`), 400, "invalid_request", "colour"},
		{"no messages", calls, `{"messages":[]}`, 400, "invalid_request", "messages"},
		{"bad role", calls, `{"messages":[{"role":"owl","content":"hi"}]}`, 400, "invalid_request", "role"},
		{"unknown program", "/v1/programs/engine-0.aaaaaaaa~bbbbbbbbbbbb/calls", callBody("hi", ""), 404, "unknown_program", "bbbbbbbbbbbb"},
		{"malformed program", "/v1/programs/nonsense/calls", callBody("hi", ""), 404, "unknown_program", "nonsense"},
		{"unknown service", "/v1/programs/" + p + "/services/none", `{"body":1,"idempotent":true}`, 404, "unknown_service", "none"},
		{"key with another body", orders, `{"body":{"drums":3},"idempotency_key":"k1"}`, 409, "idempotency_key_reused", "k1"},
		{"missing key", orders, `{"body":{"drums":3}}`, 400, "invalid_request", "idempotency_key"},
		{"turn ahead", calls, callBody("hi", `,"turn":7`), 409, "turn_ahead", "7"},
		{"key in the body", calls, callBody("my key is "+f.key, ""), 400, "invalid_request", "key"},
		{"escaped key in the body", calls, `{"messages":[{"role":"user","content":"` + escaped + `"}]}`, 400, "invalid_request", "key"},
		{"unknown model", "/v1/chat/completions", `{"model":"none","messages":[{"role":"user","content":"hi"}]}`, 404, "unknown_model", "none"},
		{"priority set by the caller", "/v1/chat/completions", `{"model":"fake-1","priority":-9,"messages":[{"role":"user","content":"hi"}]}`, 400, "invalid_request", "priority"},
		{"more than one choice", "/v1/chat/completions", `{"model":"fake-1","n":2,"messages":[{"role":"user","content":"hi"}]}`, 400, "invalid_request", "2"},
		{"operator route with a caller's key", "/v1/keys", `{"workspace":"demo"}`, 403, "forbidden", "operator"},
		{"unknown route", "/v1/nothing", `{}`, 404, "unknown_route", "/v1/nothing"},
		{"service not open to all", "/v1/open/orders", `{"body":1}`, 404, "unknown_service", "orders"},
	}
	time.Sleep(time.Second) // Entries report an unknown model only after the fleet has been known for a while.
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := c.post(0, tt.path, tt.body)
			is.Equal(r.status, tt.status)
			is.Equal(r.code, tt.code)
			is.Equal(r.outcome, "not_run")
			is.True(contains(r.body, tt.names))
		})
	}
	f.is.Equal(c.describe(0, p).Turns, 0)
	f.is.Equal(f.Services[0].Runs(`{"drums":2}`), 1)
}

func TestNoUpstreamReceivesAKey(t *testing.T) {
	f := startFleet(t, devel.Options{})
	c := f.as(f.key)
	p := c.program(0)
	f.is.Equal(c.call(0, p, "hello").status, http.StatusOK)
	f.is.Equal(c.placeOrder(0, p, "k1", `{"a":1}`).status, http.StatusOK)
	headers := append(f.Engines[0].Headers(), f.Services[0].Headers()...)
	f.is.Equal(len(headers), 2)
	for _, h := range headers {
		text := fmt.Sprint(h)
		f.is.True(!strings.Contains(text, f.key))
		f.is.Equal(h.Get("Cookie"), "")
		f.is.Equal(h.Get("Authorization"), "")
	}
}

func TestSlowRequestHeaderTimesOut(t *testing.T) {
	f := startFleet(t, devel.Options{Entry: func(_ int, c *config.Entry) { c.ReadTimeoutMS = 300 }})
	conn, err := net.Dial("tcp", f.Entries[0].CallersAddr)
	f.is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"))
	f.is.NoErr(err)
	f.is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	started := time.Now()
	_, err = bufio.NewReader(conn).ReadString('\x00')
	f.is.True(err != nil)
	f.is.True(time.Since(started) < 3*time.Second)
}

func TestIdleConnectionsDoNotStopService(t *testing.T) {
	f := startFleet(t, devel.Options{})
	for range 2000 {
		conn, err := net.Dial("tcp", f.Entries[0].CallersAddr)
		f.is.NoErr(err)
		defer conn.Close()
	}
	c := f.as(f.key)
	f.is.Equal(c.call(0, c.program(0), "hello").status, http.StatusOK)
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	f := startFleet(t, devel.Options{})
	r := f.as(operator).post(0, "/v1/settings/changes",
		fmt.Sprintf(`{"branch":"/services/orders","base_version":%d,"values":[{"name":"open_to_all","value":1}]}`, settingsVersion(f, 0)))
	f.is.Equal(r.status, http.StatusOK)
	f.is.Equal(f.as("").post(0, "/v1/open/orders", `{"body":{"stock":1}}`).status, http.StatusOK)
}
