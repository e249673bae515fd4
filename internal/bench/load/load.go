// Package load generates load over HTTP and measures the time to the first token, the time to the full answer and the
// throughput.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/chat"
)

const (
	maxLatency        = time.Minute
	significantDigits = 3
	microsPerSec      = 1e6
)

// Target is the server that requests go to: an entry, or an engine if Key is empty.
type Target struct {
	URL, Key, Model string
	Client          *http.Client
}

// Result holds the measurements of a run. Latencies are in microseconds.
type Result struct {
	FirstToken, FullAnswer *hdrhistogram.Histogram
	// Seconds is the length of the run; Succeeded and Failed are numbers of requests.
	Seconds           float64
	Succeeded, Failed int64

	mu sync.Mutex
}

// NewResult returns a result without measurements.
func NewResult() *Result {
	return &Result{
		FirstToken: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		FullAnswer: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

// PerSecond returns the number of successful requests per second.
func (r *Result) PerSecond() float64 { return float64(r.Succeeded) / r.Seconds }

func (r *Result) record(first, whole time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.Failed++
		return
	}
	r.Succeeded++
	_ = r.FirstToken.RecordValue(first.Microseconds())
	_ = r.FullAnswer.RecordValue(whole.Microseconds())
}

// Run sends requests for the duration given. Each worker waits for the answer to a request before it sends the next.
func Run(ctx context.Context, t Target, workers int, duration time.Duration) *Result {
	res := NewResult()
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	g := group.New(ctx)
	start := time.Now()
	for range workers {
		g.Go(func(ctx context.Context) error {
			for ctx.Err() == nil {
				first, whole, err := t.Complete(ctx, "kia ora")
				if ctx.Err() != nil {
					return nil
				}
				res.record(first, whole, err)
			}
			return nil
		})
	}
	_ = g.Wait()
	res.Seconds = float64(time.Since(start).Microseconds()) / microsPerSec
	return res
}

type chatRequest struct {
	Model    string         `json:"model"`
	Messages []prog.Message `json:"messages"`
	Stream   bool           `json:"stream"`
}

// Complete sends one message and returns the time to the first token and to the end marker.
func (t Target) Complete(ctx context.Context, text string) (first, whole time.Duration, err error) {
	b, err := json.Marshal(chatRequest{t.Model, []prog.Message{prog.NewTextMessage("user", text)}, true})
	if err != nil {
		return 0, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+"/v1/chat/completions", bytes.NewReader(b))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	if t.Key != "" {
		req.Header.Set("Authorization", "Bearer "+t.Key)
	}
	start := time.Now()
	resp, err := t.Client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return 0, 0, errors.Newf("status %d: %s", resp.StatusCode, text)
	}
	err = chat.ReadEvents(resp.Body, func([]byte) error {
		if first == 0 {
			first = time.Since(start)
		}
		return nil
	})
	return first, time.Since(start), err
}
