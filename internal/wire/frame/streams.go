package frame

import (
	"context"
	"sync"
	"time"
)

// endedRetention is how long the frames of an ended stream can still be fetched.
const endedRetention = 5 * time.Second

// Streams holds the buffers of streams by id. It is safe for concurrent use.
type Streams struct {
	mu sync.Mutex
	m  map[string]entry
}

// entry holds one stream of a Streams. It contains only the buffer and the cancel function, so that the request itself
// can be freed.
type entry struct {
	buf    *Buffer
	cancel context.CancelFunc
}

// NewStreams returns a Streams without entries.
func NewStreams() *Streams { return &Streams{m: make(map[string]entry)} }

// GetOrStart returns the buffer of the stream with the id. If there is none, it adds the one that start returns. The
// cancel function may be nil for a stream that its reader cannot cancel.
func (s *Streams) GetOrStart(id string, start func() (*Buffer, context.CancelFunc)) *Buffer {
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
func (s *Streams) Find(id string) (*Buffer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.m[id]
	return e.buf, ok
}

// Cancel calls the stream's cancel function, if it has one.
func (s *Streams) Cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.m[id]; ok && e.cancel != nil {
		e.cancel()
	}
}

// RemoveLater removes the stream after endedRetention, and then calls the functions.
func (s *Streams) RemoveLater(id string, removed ...func()) {
	time.AfterFunc(endedRetention, func() {
		s.mu.Lock()
		delete(s.m, id)
		s.mu.Unlock()
		for _, f := range removed {
			f()
		}
	})
}
