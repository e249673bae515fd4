package frame

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/fault"
)

// encodeFrames returns the frames from pos on as they are sent.
func encodeFrames(t *testing.T, frames []Frame, pos int) string {
	t.Helper()
	var b strings.Builder
	for i, f := range frames {
		f.Pos = i
		line, err := json.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		if i >= pos {
			fmt.Fprintf(&b, "%s\n", line)
		}
	}
	return b.String()
}

// TestTruncatedStreamIsResumedOrFails guards against a stream between processes that ends early, in order for HTTP, and
// counts as complete: without its last frame it is resumed where it ended, and fails if it cannot be.
func TestTruncatedStreamIsResumedOrFails(t *testing.T) {
	frames := []Frame{
		{Kind: Chunk, Data: json.RawMessage(`{"body":"one"}`)},
		{Kind: Chunk, Data: json.RawMessage(`{"body":"two"}`)},
		{Kind: Done, Data: json.RawMessage(`{}`)},
	}
	whole := encodeFrames(t, frames, 0)
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprint("resumable ", resumable), func(t *testing.T) {
			is := is.New(t)
			reached := 0
			// The line feed after the last frame is not needed.
			for cut := range len(whole) - 1 {
				cuts := 0
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					switch {
					case r.Method == http.MethodPost:
						cuts++
						_, _ = w.Write([]byte(whole[:cut]))
					case resumable:
						pos, _ := strconv.Atoi(r.URL.Query().Get("from"))
						_, _ = w.Write([]byte(encodeFrames(t, frames, pos)))
					default:
						fault.WriteJSON(w, fault.New(fault.PeerUnreachable, "resume", "vm", "unknown").WithOutcome(fault.Unknown))
					}
				}))
				var got []Frame
				f := &Fetcher{Client: srv.Client(), SilenceTimeout: time.Second}
				flt := f.Fetch(context.Background(), Request{BaseURL: srv.URL, Path: "/s", ID: "1"}, func(fr Frame) { got = append(got, fr) })
				srv.Close()
				is.Equal(cuts, 1)
				reached++
				is.True(flt == nil)
				is.True(len(got) > 0)
				last := got[len(got)-1]
				if !resumable {
					is.Equal(last.Kind, Fail)
					is.Equal(last.Fault.Outcome, fault.Unknown)
					continue
				}
				is.Equal(last.Kind, Done)
				is.Equal(len(got), len(frames))
				for i, fr := range got {
					is.Equal(string(fr.Data), string(frames[i].Data))
				}
			}
			t.Logf("%d streams were cut", reached)
		})
	}
}
