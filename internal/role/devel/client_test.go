package devel_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
)

// TestStockClient uses an unmodified OpenAI client. Only the base URL, the key and one header are set.
func TestStockClient(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2})
	p := f.as(f.key).program(0)
	c := openai.NewClient(option.WithBaseURL(f.URL(0)+"/v1/"), option.WithAPIKey(f.key), option.WithHeader("galenaward-program", p))
	history := []openai.ChatCompletionMessageParamUnion{openai.UserMessage("kia ora")}
	out, err := c.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{
		Model: devel.Model, Messages: history, Temperature: openai.Float(0.5),
	})
	f.is.NoErr(err)
	f.is.Equal(out.Choices[0].Message.Content, "Answer 1 to kia ora")
	history = append(history, out.Choices[0].Message.ToParam(), openai.UserMessage("again"))
	s := c.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{Model: devel.Model, Messages: history})
	text := ""
	for s.Next() {
		if ch := s.Current().Choices; len(ch) > 0 {
			text += ch[0].Delta.Content
		}
	}
	f.is.NoErr(s.Err())
	f.is.Equal(text, "Answer 3 to again")
	f.is.Equal(f.as(f.key).describe(0, p).Turns, 2)

	history[0] = openai.UserMessage("something else")
	_, err = c.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{Model: devel.Model, Messages: history})
	var refused *openai.Error
	f.is.True(errors.As(err, &refused))
	f.is.Equal(refused.Code, "history_mismatch") // Histories are never mixed.
}

// TestTraceHasASpanForEachHop checks that the caller's trace reaches the engine and that entry, home and upstream
// export spans of it.
func TestTraceHasASpanForEachHop(t *testing.T) {
	var mu sync.Mutex
	var sent bytes.Buffer
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.Copy(&sent, r.Body)
	}))
	t.Cleanup(collector.Close)
	f := startFleet(t, devel.Options{
		Entry:   func(_ int, c *config.Entry) { c.TraceOTLPURL = collector.URL + "/v1/traces" },
		Sidecar: func(_ int, c *config.Sidecar) { c.TraceOTLPURL = collector.URL + "/v1/traces" },
	})
	p := f.as(f.key).program(0)
	const id = "0af7651916cd43dd8448eb211c80319c"
	req, err := http.NewRequest(http.MethodPost, f.URL(0)+"/v1/programs/"+p+"/calls", strings.NewReader(callBody("hello", "")))
	f.is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+f.key)
	req.Header.Set("Traceparent", "00-"+id+"-b7ad6b7169203331-01")
	resp, err := http.DefaultClient.Do(req)
	f.is.NoErr(err)
	resp.Body.Close()
	f.is.True(strings.Contains(f.Engines[0].Headers()[0].Get("Traceparent"), id))
	raw, err := hex.DecodeString(id)
	f.is.NoErr(err)
	f.eventually("spans of one trace", func() bool {
		mu.Lock()
		defer mu.Unlock()
		b := sent.Bytes()
		return bytes.Count(b, raw) >= 3 && bytes.Contains(b, []byte("entry")) && bytes.Contains(b, []byte("home")) && bytes.Contains(b, []byte("upstream"))
	})
}

// TestHangingServicesAndEnginesTimeOut sets time-outs on the root branch of the settings, which the workspace inherits.
func TestHangingServicesAndEnginesTimeOut(t *testing.T) {
	f := startFleet(t, devel.Options{ServiceDelay: 20 * time.Second, Engine: engine.Options{TokenDelay: 20 * time.Second}})
	body := fmt.Sprintf(`{"branch":"/","base_version":%d,"values":[{"name":"service_timeout_ms","value":400},{"name":"call_timeout_ms","value":400}]}`, settingsVersion(f, 0))
	f.is.Equal(f.as(operator).post(0, "/v1/settings/changes", body).status, http.StatusOK)
	c := f.as(f.key)
	p := c.program(0)
	started := time.Now()
	r := c.placeOrder(0, p, "k", `{"a":1}`)
	f.is.Equal(r.code, "upstream_timeout")
	f.is.Equal(r.outcome, "unknown")
	f.is.True(time.Since(started) < 5*time.Second)
	f.is.Equal(c.placeOrder(0, p, "k", `{"a":1}`).code, "outcome_unknown")
	started = time.Now()
	f.is.Equal(c.call(0, p, "hello").code, "upstream_timeout")
	f.is.True(time.Since(started) < 5*time.Second)
	f.is.Equal(f.Services[0].Runs(`{"a":1}`), 1)
}

// TestGoodputUnderOverload offers an open-loop load of half, one and two times the engine's capacity. Throughput at
// twice the capacity must be at least 90 % of the peak.
func TestGoodputUnderOverload(t *testing.T) {
	f := startFleet(t, devel.Options{
		Engine:  engine.Options{TokenDelay: 20 * time.Millisecond},
		Sidecar: func(_ int, c *config.Sidecar) { c.Capacity, c.QueueLimit = 4, 8 },
	})
	body := fmt.Sprintf(`{"branch":"/","base_version":%d,"values":[{"name":"rate_per_second","value":100000},{"name":"burst_requests","value":100000}]}`, settingsVersion(f, 0))
	f.is.Equal(f.as(operator).post(0, "/v1/settings/changes", body).status, http.StatusOK)
	c := f.as(f.key)
	peak := 0.0
	var twice float64
	for _, offered := range []float64{20, 40, 80} { // Capacity: 4 concurrent requests of 100 ms, 40 per second.
		ok, refused := offerLoad(f, c, offered, 4*time.Second)
		rate := float64(ok) / 4
		t.Logf("offered %.0f/s: answered %.1f/s, refused %d", offered, rate, refused)
		peak, twice = max(peak, rate), rate
	}
	f.is.True(twice >= 0.9*peak)
	f.is.Equal(f.Engines[0].CompletionsStarted() <= 1000, true)
}

// offerLoad sends calls at a constant rate without waiting for earlier ones to finish.
func offerLoad(f *fleet, c caller, perSecond float64, length time.Duration) (ok, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range int(perSecond * length.Seconds()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := c.post(0, "/v1/chat/completions", fmt.Sprintf(`{"model":"fake-1","messages":[{"role":"user","content":"load %d"}]}`, i))
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				ok++
			} else {
				refused++
				if r.outcome != "not_run" {
					f.t.Errorf("refused with outcome %s, want not_run: %s", r.outcome, r.body)
				}
			}
		}()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	wg.Wait()
	return ok, refused
}
