package telem

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// ringLines is the number of lines that may wait for a slow output.
const ringLines = 2048

// Writer hands lines to an output without ever waiting for it. Lines that find the ring full are dropped and
// counted, and the count is written with the next line that passes.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer; Run must be called for lines to reach the output.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, ringLines)}
}

// Write takes one line.
func (w *Writer) Write(b []byte) (int, error) {
	line := append(make([]byte, 0, len(b)), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped that no line has told of yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then those that are left.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case l := <-w.lines:
			w.put(l)
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case l := <-w.lines:
			w.put(l)
		default:
			return
		}
	}
}

// put writes a line. An output that fails cannot be told so anywhere else.
func (w *Writer) put(l []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"event\":\"log_lines_dropped\",\"count\":%d}\n", n)
	}
	_, _ = w.out.Write(l)
}
