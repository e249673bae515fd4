package sidec

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/wire/frame"

	"go.opentelemetry.io/otel/propagation"
)

const (
	maxPeerBody = 64 << 20
)

// frameStreams finds and cancels frame streams by id.
type frameStreams interface {
	Find(id string) (*frame.Buffer, bool)
	Cancel(id string)
}

// handleStreams registers the handlers for a collection of streams: POST starts one, GET resumes it from a position,
// and DELETE cancels it.
func handleStreams[R any](
	mux *http.ServeMux, path, vm string, tr *telem.Tracer, s frameStreams, begin func(context.Context, R) *frame.Buffer,
) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req R
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerBody)).Decode(&req); err != nil {
			fault.WriteJSON(w, fault.New(fault.InvalidRequest, "decode", vm, "%s", err))
			return
		}
		ctx := tr.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		frame.Serve(w, r, begin(ctx, req), 0)
	})
	mux.HandleFunc("GET "+path+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		from, err := strconv.Atoi(r.URL.Query().Get("from"))
		if err != nil || from < 0 {
			fault.WriteJSON(w, fault.New(fault.InvalidRequest, "resume", vm,
				"parameter from is not a valid position: %q", r.URL.Query().Get("from")))
			return
		}
		buf, ok := s.Find(id)
		if !ok {
			f := fault.New(fault.OutcomeUnknown, "resume", vm, "stream %q is unknown or has expired", id)
			fault.WriteJSON(w, f.WithOutcome(fault.Unknown))
			return
		}
		frame.Serve(w, r, buf, from)
	})
	mux.HandleFunc("DELETE "+path+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.Cancel(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
}
