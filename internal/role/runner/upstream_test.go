package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

// newRawUpstream starts a server that passes each connection to answer, and returns an Upstream for it.
func newRawUpstream(t *testing.T, answer func(c net.Conn, br *bufio.Reader)) *Upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			t.Cleanup(func() { _ = c.Close() })
			g.Go(func() error {
				defer c.Close()
				answer(c, bufio.NewReader(c))
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = ln.Close() })
	tracer, err := telem.NewTracer(t.Context(), telem.TraceConfig{})
	if err != nil {
		t.Fatal(err)
	}
	return &Upstream{
		VM: "vm", BaseURL: "http://" + ln.Addr().String(), Client: serve.NewClient(serve.WithSingleUse()), Tracer: tracer,
		SilenceTimeout: 2 * time.Second,
	}
}

// runOnce runs the request and returns the last frame and the fault of the result, if any.
func runOnce(t *testing.T, u *Upstream, req peer.RunRequest) (last frame.Frame, f *fault.Fault) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	j := &job{req: req, frames: frame.NewBuffer(), ctx: ctx, cancel: cancel}
	r := u.run(j)
	if all, _ := j.frames.From(0); len(all) > 0 {
		last = all[len(all)-1]
	}
	return last, r.fault
}

func modelRequest(id string) peer.RunRequest {
	return peer.RunRequest{ID: id, Model: &peer.ModelCall{Name: "m", MaxTokens: 5}}
}

func serviceRequest(id, body string) peer.RunRequest {
	b, _ := json.Marshal(body)
	return peer.RunRequest{ID: id, Service: &peer.ServiceCall{Name: "shop", Body: b}}
}

// TestTruncatedAnswerIsNotDone guards against an answer that counts as complete although the upstream stopped in its head
// or its body and closed the connection.
func TestTruncatedAnswerIsNotDone(t *testing.T) {
	const chunk = `data: {"id":"c","choices":[{"index":0,"delta":{"content":"a"}}]}` + "\n\n"
	tests := []struct {
		name, answer string
		request      peer.RunRequest
	}{
		{"model, end of the connection", "HTTP/1.1 200 OK\r\n\r\n" + chunk + chunk + "data: [DONE]", modelRequest("m")},
		{
			"model, length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sdata: [DONE]", len(chunk)+12, chunk),
			modelRequest("m"),
		},
		{"service, length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", serviceRequest("s", "x")},
		{"service, chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", serviceRequest("s", "x")},
	}
	reached := 0
	for _, tt := range tests {
		for cut := range len(tt.answer) {
			var cuts atomic.Int64
			u := newRawUpstream(t, func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Method == http.MethodGet {
					_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
					return
				}
				cuts.Add(1)
				_, _ = io.WriteString(c, tt.answer[:cut])
			})
			last, f := runOnce(t, u, tt.request)
			reached += int(cuts.Load())
			if cuts.Load() != 1 || f == nil || f.Outcome == fault.NotRun || last.Kind == frame.Done {
				t.Errorf("%s, cut at %d: %d runs, last frame %q, fault %v", tt.name, cut, cuts.Load(), last.Kind, f)
			}
		}
	}
	t.Logf("%d answers were cut", reached)
}

// TestUnframedBodyNeedsAWrittenRequest reaches the case of TestResetDuringServiceCallIsNotDone at every run: the read ends
// in order, and the write of the request received the reset.
func TestUnframedBodyNeedsAWrittenRequest(t *testing.T) {
	for _, writeErr := range []error{nil, syscall.ECONNRESET} {
		write := newRequestWrite()
		write.record(httptrace.WroteRequestInfo{Err: writeErr})
		b := &unframedBody{ReadCloser: io.NopCloser(strings.NewReader("half")), ctx: t.Context(), write: write}
		text, err := io.ReadAll(b)
		if string(text) != "half" || !errors.Is(err, writeErr) || (err != nil) != (writeErr != nil) {
			t.Errorf("write error %v: body %q, error %v", writeErr, text, err)
		}
	}
}

// TestResetDuringServiceCallIsNotDone guards against a truncated answer that counts as complete since the write of the
// request, and not the read of the answer, received the reset of the connection.
func TestResetDuringServiceCallIsNotDone(t *testing.T) {
	const tries = 30
	var reached atomic.Int64
	u := newRawUpstream(t, func(c net.Conn, br *bufio.Reader) {
		_, _ = br.Peek(1)
		reached.Add(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	done, unseen := 0, 0
	for i := range tries {
		last, f := runOnce(t, u, serviceRequest(fmt.Sprint(i), strings.Repeat("x", 8<<20)))
		if last.Kind == frame.Done {
			done++
		}
		if f == nil || strings.Contains(f.Message, "connection ended while the request was written") {
			unseen++
		}
	}
	t.Logf("%d answers were reset, the reader did not see the reset of %d", reached.Load(), unseen)
	if reached.Load() != tries {
		t.Errorf("%d of %d answers were reset", reached.Load(), tries)
	}
	if done > 0 {
		t.Errorf("%d of %d truncated answers count as complete", done, tries)
	}
}

// TestRepeatedRefusalIsNotTakenForAnAnswer guards against a refusal that the upstream writes once more on a kept
// connection and that counts for a later request, which the upstream runs. Answers bear no ID, so that no connection may
// carry a second request.
func TestRepeatedRefusalIsNotTakenForAnAnswer(t *testing.T) {
	const requests = 20
	const refusal = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
	var conns, runs atomic.Int64
	u := newRawUpstream(t, func(c net.Conn, br *bufio.Reader) {
		conns.Add(1)
		for first := true; ; first = false {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if !first {
				runs.Add(1)
			}
			_, _ = io.WriteString(c, refusal)
			if !first {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
			}
		}
	})
	wrong := 0
	for i := range requests {
		before := runs.Load()
		last, f := runOnce(t, u, modelRequest(fmt.Sprint("m", i)))
		refused := f != nil && f.Outcome == fault.NotRun
		if i%2 == 1 {
			last, _ = runOnce(t, u, serviceRequest(fmt.Sprint("s", i), "x"))
			refused = strings.Contains(string(last.Data), "full")
		}
		if refused && runs.Load() > before {
			wrong++
		}
	}
	t.Logf("%d connections, %d refusals were written once more", conns.Load(), runs.Load())
	if wrong > 0 {
		t.Errorf("%d requests that ran got the refusal of an earlier one", wrong)
	}
	if conns.Load() != requests+requests/2 {
		t.Errorf("%d requests over %d connections", requests+requests/2, conns.Load())
	}
}

// TestInvalidStatusIsNoAnswer guards against bytes whose status code is none of HTTP's that are passed on as the result of a
// service, and against a promise that the request has not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, req := range []peer.RunRequest{serviceRequest("s", "x"), modelRequest("m")} {
			u := newRawUpstream(t, func(c net.Conn, br *bufio.Reader) {
				if r, err := http.ReadRequest(br); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			last, f := runOnce(t, u, req)
			if f == nil || f.Outcome != fault.Unknown || last.Kind == frame.Done {
				t.Errorf("status %s, request %s: last frame %q, fault %v", status, req.ID, last.Kind, f)
			}
		}
	}
}

// socketBuffers is what the kernel takes for a connection beyond what is read.
const socketBuffers = 8 << 20

// TestEndlessAnswersAreBounded guards against a sidecar that runs out of memory since an upstream sends a head or a body without
// end.
func TestEndlessAnswersAreBounded(t *testing.T) {
	tests := []struct {
		name, head, line string
		request          peer.RunRequest
		// limit is the most that the sidecar reads.
		limit int64
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("y", 1000) + "\r\n", serviceRequest("s", "x"), 64 << 10},
		{"head of a model", "HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("y", 1000) + "\r\n", modelRequest("m"), 64 << 10},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("y", 1000), serviceRequest("s", "x"), maxServiceBytes},
		{"event", "HTTP/1.1 200 OK\r\n\r\ndata: ", strings.Repeat("y", 1000), modelRequest("m"), 4 << 20},
		{
			"events", "HTTP/1.1 200 OK\r\n\r\n",
			`data: {"id":"c","choices":[{"index":0,"delta":{"content":"` + strings.Repeat("y", 1000) + `"}}]}` + "\n\n", modelRequest("m"),
			minModelBytes,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sent atomic.Int64
			u := newRawUpstream(t, func(c net.Conn, br *bufio.Reader) {
				if r, err := http.ReadRequest(br); err != nil || r.Method == http.MethodGet {
					return
				}
				n, err := io.WriteString(c, tt.head)
				for ; err == nil; n, err = io.WriteString(c, tt.line) {
					sent.Add(int64(n))
				}
			})
			_, f := runOnce(t, u, tt.request)
			if f == nil || f.Outcome == fault.NotRun || sent.Load() > tt.limit+socketBuffers {
				t.Errorf("%d bytes taken, fault %v", sent.Load(), f)
			}
		})
	}
}
