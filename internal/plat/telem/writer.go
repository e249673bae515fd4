package telem

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// bufferLines is the number of lines that are buffered for a slow output.
const bufferLines = 2048

// Writer is an asynchronous writer of log lines that never blocks on its output. While its buffer is full, lines are
// dropped and counted, and the count is logged before the next line that is written.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer. Lines reach the output only while Run is running.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, bufferLines)}
}

// Write queues one line. It never fails.
func (w *Writer) Write(b []byte) (int, error) {
	line := append(make([]byte, 0, len(b)), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then those that are still buffered.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case l := <-w.lines:
			w.writeLine(l)
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
			w.writeLine(l)
		default:
			return
		}
	}
}

// writeLine writes a line, after the count of dropped lines if there are any. Errors are ignored, since there is no
// other output to report them to.
func (w *Writer) writeLine(l []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"event\":\"log_lines_dropped\",\"count\":%d}\n", n)
	}
	_, _ = w.out.Write(l)
}
