package frame

import (
	"context"
	"sync"
	"time"
)

// endedRetention is how long the frames of an ended stream can still be fetched.
const endedRetention = 5 * time.Second

// Set holds the buffers of streams by id. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	m  map[string]entry
}

// entry is a set's entry for a stream. It holds only the buffer and the cancel function, so that the request itself can
// be freed.
type entry struct {
	buf    *Buffer
	cancel context.CancelFunc
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{m: make(map[string]entry)} }

// Begin returns the buffer of the stream with the id. If there is none, it adds the one that start returns. The cancel
// function may be nil for a stream that its reader cannot cancel.
func (s *Set) Begin(id string, start func() (*Buffer, context.CancelFunc)) *Buffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.m[id]; ok {
		return e.buf
	}
	buf, cancel := start()
	s.m[id] = entry{buf, cancel}
	return buf
}

// Find returns the buffer of the stream with the id and whether there is one.
func (s *Set) Find(id string) (*Buffer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.m[id]
	return e.buf, ok
}

// Cancel calls the stream's cancel function, if it has one.
func (s *Set) Cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.m[id]; ok && e.cancel != nil {
		e.cancel()
	}
}

// EndLater removes the stream after endedRetention.
func (s *Set) EndLater(id string) {
	time.AfterFunc(endedRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.m, id)
	})
}
