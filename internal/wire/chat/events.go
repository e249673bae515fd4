package chat

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTruncated means that a stream ended before DoneMarker.
var ErrTruncated = errors.New("event stream ended before the [DONE] marker")

const maxEventBytes = 4 << 20

// ReadEvents calls emit with the data of each server-sent event that precedes DoneMarker. It treats each data line as
// an event of its own.
func ReadEvents(r io.Reader, emit func(data []byte) error) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == DoneMarker {
			return nil
		}
		if err := emit(data); err != nil {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return errors.Mark(err, ErrTruncated)
	}
	return ErrTruncated
}
