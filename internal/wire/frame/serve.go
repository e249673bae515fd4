package frame

import (
	"encoding/json"
	"net/http"
	"time"
)

// ContentType is the media type of a frame stream.
const ContentType = "application/x-ndjson"

// HeartbeatInterval is the interval of heartbeats on an open stream.
const HeartbeatInterval = 500 * time.Millisecond

const writeTimeout = 10 * time.Second

// Serve writes the buffer's frames from pos on until the last one is written or the reader disconnects.
func Serve(w http.ResponseWriter, r *http.Request, b *Buffer, pos int) {
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	_ = rc.Flush()
	for {
		fs, changed := b.From(pos)
		if len(fs) > 0 {
			if writeAll(rc, enc, fs) != nil || fs[len(fs)-1].Last() {
				return
			}
			pos += len(fs)
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if writeAll(rc, enc, []Frame{{Kind: Heartbeat}}) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func writeAll(rc *http.ResponseController, enc *json.Encoder, fs []Frame) error {
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, f := range fs {
		if err := enc.Encode(f); err != nil {
			return err
		}
	}
	return rc.Flush()
}
