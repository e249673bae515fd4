// Package plog is a client for the platform's append-only log service. The service stores named streams of records with
// increasing offsets:
//
//	POST /streams/{stream}/records           appends the body, returns {"offset":7}
//	GET  /streams/{stream}/records?from=7&wait_ms=1000
//	                                         returns {"oldest":0,"next":9,"records":[{"offset":7,"data":"…"}]}
package plog

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable means that a request to the log failed. A failed append may still have taken effect.
var ErrUnavailable = errors.New("log unavailable")

// ErrRejected means that the log can never accept the record.
var ErrRejected = errors.New("log rejected the record")

// ErrTrimmed means that the records at the requested offset have been removed after their retention period.
var ErrTrimmed = errors.New("records past retention")

// Entry is one record of a stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of a read.
type Page struct {
	// Oldest is the offset of the oldest retained record, or Next if no records are retained.
	Oldest int64 `json:"oldest"`
	// Next is the offset that the next appended record will have.
	Next int64 `json:"next"`
	// Entries start at the requested offset, or at Oldest if that is later. They may end before Next, because the service
	// limits the size of a page.
	Entries []Entry `json:"records"`
}

// Log is an append-only log with offsets.
type Log interface {
	// Append appends a record and returns its offset. After ErrUnavailable the record may have been appended, after
	// ErrRejected it was not and never will be.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns a page of records starting at the offset. If there are none yet, it waits for up to waitMS
	// milliseconds.
	Read(ctx context.Context, stream string, from, waitMS int64) (Page, error)
}

// ReadAll returns all retained records of the stream, up to its end at the time of the call. It returns ErrTrimmed if
// records are trimmed between two reads before it has read them.
func ReadAll(ctx context.Context, l Log, stream string) (Page, error) {
	all, err := l.Read(ctx, stream, 0, 0)
	if err != nil {
		return Page{}, err
	}
	for len(all.Entries) > 0 {
		last := all.Entries[len(all.Entries)-1].Offset
		if last+1 >= all.Next {
			break
		}
		p, err := l.Read(ctx, stream, last+1, 0)
		if err != nil {
			return Page{}, err
		}
		if p.Oldest > last+1 {
			return Page{}, errors.Wrapf(ErrTrimmed, "stream %q at offset %d", stream, last+1)
		}
		all.Entries = append(all.Entries, p.Entries...)
		if len(p.Entries) == 0 {
			break
		}
	}
	return all, nil
}
