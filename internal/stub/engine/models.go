package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

// modelList is the response to GET /v1/models.
type modelList struct {
	Data []modelEntry `json:"data"`
}

type modelEntry struct {
	ID string `json:"id"`
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out modelList
	for _, m := range e.models {
		out.Data = append(out.Data, modelEntry{m})
	}
	_ = json.NewEncoder(w).Encode(out)
}

// updateModels applies an order to the models served. A loaded model is served once its weights have been downloaded.
func (e *Engine) updateModels(o Order) {
	switch o.Action {
	case "load_model":
		e.loads.Go(func() error {
			if err := e.fetchWeights(o.Subject); err != nil {
				return nil // The order counts as executed; a later order may load the model.
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if !slices.Contains(e.models, o.Subject) {
				e.models = append(e.models, o.Subject)
			}
			return nil
		})
	case "unload_model":
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(m string) bool { return m == o.Subject })
	}
}

// fetchWeights downloads the weights of a model from the store, if one is configured.
func (e *Engine) fetchWeights(model string) error {
	if e.opts.WeightsURL == "" {
		return nil
	}
	resp, err := http.Get(e.opts.WeightsURL + "/weights/" + model)
	if err != nil {
		return errors.Wrapf(err, "request weights of model %q", model)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Wrapf(err, "download weights of model %q", model)
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.models) == 0 || slices.Contains(e.models, model)
}
