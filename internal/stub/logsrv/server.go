// Package logsrv serves the stand-in for the platform's log over HTTP. PUT /faults injects faults.
package logsrv

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/stub/memlog"
)

const maxRecordBytes = 64 << 20

// Handler returns the log's HTTP interface.
func Handler(l *memlog.Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		appendRecord(l, w, r)
	})
	mux.HandleFunc("GET /streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) { readRecords(l, w, r) })
	mux.HandleFunc("POST /streams/{stream}/trim", func(w http.ResponseWriter, r *http.Request) {
		before, err := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
		if err != nil {
			http.Error(w, "parameter before is not a valid offset", http.StatusBadRequest)
			return
		}
		l.Trim(r.PathValue("stream"), before)
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f memlog.Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetFaults(f)
	})
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Usage()) })
	return mux
}

func appendRecord(l *memlog.Log, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		http.Error(w, fmt.Sprintf("record exceeds %d bytes", large.Limit), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	off, err := l.Append(r.Context(), r.PathValue("stream"), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, struct {
		Offset int64 `json:"offset"`
	}{off})
}

func readRecords(l *memlog.Log, w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "parameter from is not a valid offset", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	p, err := l.Read(r.Context(), r.PathValue("stream"), from, wait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, p)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

var _ plog.Log = (*memlog.Log)(nil)
