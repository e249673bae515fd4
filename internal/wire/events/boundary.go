package events

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrTruncated means that a stream ended anywhere but between two events.
var ErrTruncated = errors.New("event stream was cut off")

// Boundary tracks whether an event stream is between two events. A stream that ends anywhere else was cut off. The zero
// value is the start of a stream.
type Boundary struct {
	// inLine means that the current line has bytes. Then comment says that it starts with a colon, and bareCR that a
	// carriage return is all it has.
	inLine, comment, bareCR bool
	// inEvent means that a field precedes the current line in its event.
	inEvent bool
	events  int64
}

// Write adds the next bytes of the stream.
func (b *Boundary) Write(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			b.extendLine(p)
			return
		}
		b.extendLine(p[:i])
		b.endLine()
		p = p[i+1:]
	}
}

func (b *Boundary) extendLine(p []byte) {
	if len(p) == 0 {
		return
	}
	b.bareCR = !b.inLine && string(p) == "\r"
	if !b.inLine {
		b.inLine, b.comment = true, p[0] == ':'
	}
}

func (b *Boundary) endLine() {
	switch {
	case !b.inLine || b.bareCR:
		if b.inEvent {
			b.events++
		}
		b.inEvent = false
	case !b.comment:
		b.inEvent = true
	}
	b.inLine, b.bareCR = false, false
}

// Reached reports whether the stream is between two events or at its start.
func (b *Boundary) Reached() bool { return !b.inLine && !b.inEvent }

// Events returns the number of complete events, those without data included.
func (b *Boundary) Events() int64 { return b.events }
