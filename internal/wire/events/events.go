// Package events parses server-sent events from a stream while it is being forwarded.
package events

import "bytes"

// Scanner parses the events of a byte stream that arrives in pieces of any size. The zero value is ready for use.
type Scanner struct {
	// line holds the current, incomplete line.
	line []byte
	// data holds the data lines of the current, incomplete event.
	data       []byte
	hasData    bool
	dispatched []byte
	count      int64
	// id is the last id of a complete event, and nextID that of the current event.
	id, nextID string
}

// Write parses the next bytes of the stream. It returns the number of leading bytes of b up to the end of the last
// complete event; zero if no event ends in b.
func (s *Scanner) Write(b []byte) (complete int) {
	for start := 0; ; {
		i := bytes.IndexByte(b[start:], '\n')
		if i < 0 {
			s.line = append(s.line, b[start:]...)
			return complete
		}
		s.line = append(s.line, b[start:start+i]...)
		start += i + 1
		line := bytes.TrimSuffix(s.line, []byte("\r"))
		if len(line) == 0 {
			complete = start
		}
		s.parseLine(line)
		s.line = s.line[:0]
	}
}

// DiscardPartial discards the incomplete event. It is called when the stream continues on another connection, which
// sends that event again from its start.
func (s *Scanner) DiscardPartial() {
	s.line, s.data, s.hasData, s.nextID = s.line[:0], s.data[:0], false, ""
}

// LastEventID returns the last id of a complete event; empty if none had one.
func (s *Scanner) LastEventID() string { return s.id }

// parseLine parses a complete line. An empty line ends an event.
func (s *Scanner) parseLine(line []byte) {
	if len(line) == 0 {
		s.dispatch()
		return
	}
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		s.nextID = string(bytes.TrimPrefix(value, []byte(" ")))
		return
	}
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, value...)
	s.hasData = true
}

func (s *Scanner) dispatch() {
	if s.nextID != "" {
		s.id, s.nextID = s.nextID, ""
	}
	if !s.hasData {
		return
	}
	s.dispatched = append(append(s.dispatched, s.data...), '\n')
	s.count++
	s.data, s.hasData = s.data[:0], false
}

// EventCount returns the number of complete events that had data.
func (s *Scanner) EventCount() int64 { return s.count }

// Data returns the data of all complete events, each followed by a line feed.
func (s *Scanner) Data() []byte { return s.dispatched }

// AtBoundary reports whether the stream has neither a partial line nor an event with data pending.
func (s *Scanner) AtBoundary() bool { return !s.hasData && len(s.line) == 0 }
