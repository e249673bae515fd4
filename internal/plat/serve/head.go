package serve

import (
	"bytes"
	"strconv"
	"strings"
)

// phase is the part of a request that a connection is in.
type phase int

const (
	// phaseLead is before the first byte of a request that does not belong to an empty line.
	phaseLead phase = iota
	phaseHead
	// phaseBody is in a body of known length.
	phaseBody
	// phaseOpen is after the head of a request whose end is not tracked. It must be the last one of its connection.
	phaseOpen
)

// maxFramingLine is the length up to which a Content-Length line is understood. Longer ones are valid, but unusual.
const maxFramingLine = 64

// head is the size of a request's head, or of what was read of it.
type head struct {
	// lead counts the bytes of empty lines before the request line, size those from there on.
	lead, size, lines int
}

// scanner follows the bytes of a connection, so that limits apply to each request. It has no verdict on what a request
// means: where it does not understand a head, the request becomes the last of its connection.
type scanner struct {
	phase phase
	// current is the head that is being read, done the last one that was read whole.
	current, done head
	// start holds the first bytes of the current line, length counts all of it.
	start  [maxFramingLine]byte
	length int
	// left is the number of body bytes that were not read yet; in phaseHead, the Content-Length.
	left int64
	// open says that the head makes the request the last of its connection.
	open bool
}

// scan takes bytes up to the next end of a head or body, and returns their number. Ended says that a head has ended.
func (s *scanner) scan(p []byte) (n int, ended bool) {
	switch s.phase {
	case phaseOpen:
		return len(p), false
	case phaseBody:
		n = int(min(int64(len(p)), s.left))
		if s.left -= int64(n); s.left == 0 {
			s.phase = phaseLead
		}
		return n, false
	case phaseLead:
		for n < len(p) && (p[n] == '\r' || p[n] == '\n') {
			n++
		}
		if s.current.lead += n; n == len(p) {
			return n, false
		}
		s.phase = phaseHead
	}
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			s.extend(p[n:])
			return len(p), false
		}
		s.extend(p[n : n+i+1])
		n += i + 1
		if s.endLine() {
			return n, true
		}
	}
	return n, false
}

// extend adds bytes to the current line.
func (s *scanner) extend(b []byte) {
	if s.length < len(s.start) {
		copy(s.start[s.length:], b)
	}
	s.length += len(b)
	s.current.size += len(b)
}

// endLine ends the current line and reports whether it was the empty one that ends the head.
func (s *scanner) endLine() bool {
	line := s.start[:min(s.length, len(s.start))]
	first := s.current.lines == 0
	s.current.lines++
	whole := s.length <= len(s.start)
	s.length = 0
	if text := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")); whole && len(text) == 0 {
		s.endHead()
		return true
	}
	if !first {
		s.readFraming(string(line), whole)
	}
	return false
}

func (s *scanner) readFraming(line string, whole bool) {
	if line[0] == ' ' || line[0] == '\t' {
		s.open = true // A continued line may continue a length.
		return
	}
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.open = true
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
		if err != nil || !whole {
			s.open = true
			return
		}
		s.left = int64(n)
	}
}

func (s *scanner) endHead() {
	s.done, s.current = s.current, head{}
	switch {
	case s.open:
		s.phase = phaseOpen
	case s.left > 0:
		s.phase = phaseBody
	default:
		s.phase = phaseLead
	}
}

// want returns how many bytes may be read at most, given the room for them. A body is not read beyond its end.
func (s *scanner) want(room int) int {
	if s.phase == phaseBody {
		return int(min(int64(room), s.left))
	}
	return room
}

const (
	// lineCost is the memory of one header line: its entry in the header of the request, in the copy that is forwarded,
	// and in the copy for one attempt, with the growth of each map.
	lineCost = 512
	// byteCost is the number of copies of each byte of a head.
	byteCost = 2
	// freeHead is the memory of a head that is not reserved, so that an ordinary one reserves nothing. It is counted in
	// the cost of a connection.
	freeHead = 16 << 10
)

// cost returns the memory that the head takes, beyond what is counted for each connection.
func (h head) cost() int64 { return max(0, int64(byteCost*h.size+lineCost*h.lines)-freeHead) }
