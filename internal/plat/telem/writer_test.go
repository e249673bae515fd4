package telem

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWriterNeverBlocks fills the buffer while Run is not running, so that a blocking Write would hang.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	for i := range bufferLines + 7 {
		_, err := fmt.Fprintf(w, "%d\n", i)
		is.NoErr(err)
	}
	is.Equal(w.Dropped(), int64(7))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(w.Run(ctx))
	is.Equal(strings.Count(out.String(), "\n"), bufferLines+1)
	is.True(strings.Contains(out.String(), `"event":"log_lines_dropped","count":7`))
}

func TestTextMetrics(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	m.Add("answered", 3)
	m.Observe("latency", 20*time.Millisecond)
	var b strings.Builder
	m.latencies.write(&b)
	is.True(strings.Contains(b.String(), "latency_count 1\n"))
	is.Equal(m.Get("answered"), int64(3))
}
