package sidec

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"galenaward.example/galenaward/internal/role/runner"
)

const modelPollInterval = time.Second

// modelWatcher polls the engine for the models it serves, so that a model loaded by an order appears in the next
// reports.
type modelWatcher struct {
	upstream *runner.Upstream
	models   atomic.Pointer[[]string]
	onChange func()
}

// newModelWatcher returns a watcher that starts with the configured models.
func newModelWatcher(up *runner.Upstream, configured []string, changed func()) *modelWatcher {
	w := &modelWatcher{upstream: up, onChange: changed}
	w.models.Store(&configured)
	return w
}

// Models returns the models that the engine reported last.
func (w *modelWatcher) Models() []string { return *w.models.Load() }

// Run polls until ctx ends. An empty list or a failed request leaves the models unchanged.
func (w *modelWatcher) Run(ctx context.Context) error {
	for {
		if got := w.fetch(ctx); len(got) > 0 && !slices.Equal(got, w.Models()) {
			w.models.Store(&got)
			w.onChange()
		}
		select {
		case <-time.After(modelPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (w *modelWatcher) fetch(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, modelPollInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.upstream.BaseURL+"/v1/models", nil)
	if err != nil {
		return nil
	}
	resp, err := w.upstream.Client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if resp.StatusCode != http.StatusOK || decodeEngine(resp.Body, &body) != nil {
		return nil
	}
	var out []string
	for _, m := range body.Data {
		out = append(out, m.ID)
	}
	return out
}
