// Package memlog is a stand-in for the platform's log. It keeps named streams in memory and can inject faults.
package memlog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/state/plog"
)

// Log is an in-memory log. The log stand-in serves one over HTTP; tests may also use it directly.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	changed chan struct{}
	appends int64
	bytes   int64
}

type stream struct {
	oldest  int64
	entries []plog.Entry
}

// Faults are the failures that a Log injects.
type Faults struct {
	// Down makes every request fail.
	Down bool `json:"down"`
	// DelayMS delays every request.
	DelayMS int64 `json:"delay_ms"`
	// DropResponses makes appends fail after they have taken effect, as if the response were lost.
	DropResponses bool `json:"lose_answers"`
}

// Usage counts the appends to a Log and their bytes.
type Usage struct {
	Appends int64 `json:"appends"`
	Bytes   int64 `json:"bytes"`
}

// maxPageBytes limits the records of one response, so that a long stream is read in many short requests.
const maxPageBytes = 1 << 20

// New returns an empty log.
func New() *Log {
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Usage returns the counts since the log was created.
func (l *Log) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Appends: l.appends, Bytes: l.bytes}
}

// Trim deletes the records of the stream before the offset.
func (l *Log) Trim(stream string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(stream)
	n := min(max(0, before-s.oldest), int64(len(s.entries)))
	s.entries = append([]plog.Entry(nil), s.entries[n:]...)
	s.oldest += n
}

// Append adds a record to the stream and returns its offset.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(stream)
	off := s.oldest + int64(len(s.entries))
	s.entries = append(s.entries, plog.Entry{Offset: off, Data: append([]byte(nil), data...)})
	l.appends++
	l.bytes += int64(len(data))
	close(l.changed)
	l.changed = make(chan struct{})
	if l.faults.DropResponses {
		return 0, plog.ErrUnavailable
	}
	return off, nil
}

// Read returns records from the offset on. If there are none yet, it waits for up to waitMS milliseconds.
func (l *Log) Read(ctx context.Context, stream string, from, waitMS int64) (plog.Page, error) {
	if err := l.applyFaults(ctx); err != nil {
		return plog.Page{}, err
	}
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		p, changed := l.page(stream, from)
		if len(p.Entries) > 0 || waitMS == 0 || p.Oldest > from {
			return p, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return p, l.applyFaults(ctx)
		case <-ctx.Done():
			return plog.Page{}, plog.ErrUnavailable
		}
	}
}

func (l *Log) page(stream string, from int64) (plog.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(stream)
	p := plog.Page{Oldest: s.oldest, Next: s.oldest + int64(len(s.entries))}
	i := min(max(0, from-s.oldest), int64(len(s.entries)))
	size := 0
	for _, e := range s.entries[i:] {
		if size += len(e.Data); size > maxPageBytes && len(p.Entries) > 0 {
			break
		}
		p.Entries = append(p.Entries, e)
	}
	return p, l.changed
}

// applyFaults applies the faults that affect every request.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-ctx.Done():
			return plog.ErrUnavailable
		}
	}
	if f.Down {
		return plog.ErrUnavailable
	}
	return nil
}

func (l *Log) streamNamed(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// Streams returns the names of all streams.
func (l *Log) Streams() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.streams))
}

// End returns the offset that the stream's next record will have.
func (l *Log) End(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(stream)
	return s.oldest + int64(len(s.entries))
}
