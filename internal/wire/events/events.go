// Package events reads server-sent events as they pass.
package events

import "bytes"

// Scanner finds the events in a byte stream that arrives in pieces. The zero value is ready for use.
type Scanner struct {
	// line holds the line that is not complete yet.
	line []byte
	// data holds the data lines of the event that is not complete yet.
	data  []byte
	has   bool
	saved []byte
	count int64
	// id is of the last whole event that had one, nextID of the event that is not complete yet.
	id, nextID string
}

// Write takes the next bytes of the stream and returns how many of them belong to events that are whole now.
func (s *Scanner) Write(b []byte) (whole int) {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			s.line = append(s.line, b[at:]...)
			return whole
		}
		s.line = append(s.line, b[at:at+i]...)
		at += i + 1
		line := bytes.TrimSuffix(s.line, []byte("\r"))
		if len(line) == 0 {
			whole = at
		}
		s.end(line)
		s.line = s.line[:0]
	}
}

// Drop forgets the event that is not complete yet, since the stream goes on elsewhere with its start.
func (s *Scanner) Drop() {
	s.line, s.data, s.has, s.nextID = s.line[:0], s.data[:0], false, ""
}

// ID returns the id of the last whole event; empty if none had one.
func (s *Scanner) ID() string { return s.id }

// end takes a whole line. An empty line ends an event.
func (s *Scanner) end(line []byte) {
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
	if s.has {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, value...)
	s.has = true
}

func (s *Scanner) dispatch() {
	if s.nextID != "" {
		s.id, s.nextID = s.nextID, ""
	}
	if !s.has {
		return
	}
	s.saved = append(append(s.saved, s.data...), '\n')
	s.count++
	s.data, s.has = s.data[:0], false
}

// Count returns the number of whole events that had data.
func (s *Scanner) Count() int64 { return s.count }

// Data returns the data of each whole event, each followed by a line feed.
func (s *Scanner) Data() []byte { return s.saved }

// Clean reports whether the stream stands between two events.
func (s *Scanner) Clean() bool { return !s.has && len(s.line) == 0 }
