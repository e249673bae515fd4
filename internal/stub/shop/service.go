// Package shop is a stand-in for a plain service whose calls have side effects. It counts how many times each order was
// executed, so that tests can detect duplicates.
package shop

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service executes orders, which are identified by the request body.
type Service struct {
	delay   time.Duration
	mu      sync.Mutex
	runs    map[string]int
	headers []http.Header
}

// New returns a service that takes delay to execute each order.
func New(delay time.Duration) *Service { return &Service{delay: delay, runs: make(map[string]int)} }

// Runs returns how many times the order with the body was executed.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Headers returns the headers of the requests to /call.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}

type receipt struct {
	Done string `json:"done"`
	Runs int    `json:"runs"`
}

// ServeHTTP serves POST /call, GET /runs and GET /health.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		_, _ = w.Write([]byte("ok\n"))
	case "/runs":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.runs)
	case "/call":
		s.call(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[string(b)]++
	n := s.runs[string(b)]
	s.headers = append(s.headers, r.Header.Clone())
	s.mu.Unlock()
	time.Sleep(s.delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(receipt{Done: string(b), Runs: n})
}
