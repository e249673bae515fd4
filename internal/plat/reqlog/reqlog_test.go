package reqlog

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `   1.0000 edge-1 {"event":"start","time":"2026-01-01T12:00:00Z","vm":"edge-1","role":"gateway"}
   5.0000 edge-2 {"event":"store_lost","time":"2026-01-01T12:00:04Z","vm":"edge-2","partition":3}
not a line of a log
   5.1000 edge-1 {"event":"answered","time":"2026-01-01T12:00:04.1Z","vm":"edge-1","request":"r0","program":"p1","ms":12}
   5.2000 edge-1 {"event":"failed","time":"2026-01-01T12:00:04.2Z","vm":"edge-1","request":"r1","program":"p1","peer":"edge-2","code":"log_unavailable"}
   5.2000 edge-3 {"event":"failed","time":"2026-01-01T12:00:04.2Z","vm":"edge-3","request":"r9","program":"p9"}
   5.3000 edge-2 {"event":"chain_uncertain","time":"2026-01-01T12:00:04.15Z","vm":"edge-2","turn":"r1"}
   9.0000 edge-2 {"event":"store_regained","time":"2026-01-01T12:00:08Z","vm":"edge-2"}
{"event":"broken
`

func TestOf(t *testing.T) {
	is := is.New(t)
	lines, invalid, err := ParseLog(strings.NewReader(logs))
	is.NoErr(err)
	is.Equal(len(lines), 7)
	is.Equal(invalid, 2)
	tests := []struct {
		request string
		events  string
	}{
		{"r1", " store_lost,panswered,*chain_uncertain,*failed"},
		{"r0", "*answered,pfailed"},
		{"r9", "*failed"},
	}
	for _, tt := range tests {
		t.Run(tt.request, func(t *testing.T) {
			is := is.New(t)
			entries, err := Explain(tt.request, lines)
			is.NoErr(err)
			var got []string
			for _, e := range entries {
				got = append(got, string(e.Kind)+e.Event)
			}
			is.Equal(strings.Join(got, ","), tt.events)
		})
	}
	_, err = Explain("r2", lines)
	is.True(errors.Is(err, ErrUnknownRequest))
}

func TestWrite(t *testing.T) {
	is := is.New(t)
	lines, _, err := ParseLog(strings.NewReader(logs))
	is.NoErr(err)
	entries, err := Explain("r9", lines)
	is.NoErr(err)
	var b strings.Builder
	is.NoErr(Write(&b, entries))
	is.Equal(b.String(), "* 12:00:04.200 edge-3 failed program=\"p9\" request=\"r9\"\n")
}

func TestLineTooLong(t *testing.T) {
	is := is.New(t)
	_, _, err := ParseLog(strings.NewReader(logs + strings.Repeat("x", maxLineBytes+1)))
	is.True(errors.Is(err, bufio.ErrTooLong))
}
