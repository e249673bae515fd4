package plog_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/stub/logsrv"
	"galenaward.example/galenaward/internal/stub/memlog"
)

// TestReadAllReadsStreamInPages checks that ReadAll returns a whole stream that is many times larger than one page,
// also after the stream was trimmed.
func TestReadAllReadsStreamInPages(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	srv := httptest.NewServer(logsrv.Handler(l))
	t.Cleanup(srv.Close)
	c := plog.NewClient(srv.URL, time.Second)
	const records, size = 100, 100_000
	for range records {
		_, err := c.Append(context.Background(), "s", make([]byte, size))
		is.NoErr(err)
	}
	first, err := c.Read(context.Background(), "s", 0, 0)
	is.NoErr(err)
	is.True(len(first.Entries) < records/5)
	all, err := plog.ReadAll(context.Background(), c, "s")
	is.NoErr(err)
	is.Equal(len(all.Entries), records)
	for i, e := range all.Entries {
		is.Equal(e.Offset, int64(i))
	}
	l.Trim("s", 40)
	all, err = plog.ReadAll(context.Background(), c, "s")
	is.NoErr(err)
	is.Equal(all.Oldest, int64(40))
	is.Equal(len(all.Entries), 60)
}
