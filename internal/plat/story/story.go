package story

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// around is how long before and after a request the events of its processes may bear on it: a home that dies is
// replaced, and an outage noticed, within it.
const around = 3 * time.Second

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("no line names the request")

// Kind says why a line is part of a story.
type Kind string

// The kinds of lines, as they are printed in front of them.
const (
	// Own lines name the request.
	Own Kind = "*"
	// Program lines are of other requests of its program.
	Program Kind = "p"
	// Process lines are what the processes on its way noticed around it.
	Process Kind = " "
)

// Entry is a line with its part in the story.
type Entry struct {
	Line
	Kind Kind
}

// Of returns the lines that explain the request, oldest first.
func Of(request string, lines []Line) ([]Entry, error) {
	var programs, vms []string
	var first, last time.Time
	for _, l := range lines {
		if !l.names(request) {
			continue
		}
		vms = append(vms, l.VM, l.Peer)
		if l.Program != "" {
			programs = append(programs, l.Program)
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if first.IsZero() {
		return nil, errors.Wrapf(ErrUnknown, "request %q in %d lines", request, len(lines))
	}
	var out []Entry
	for _, l := range lines {
		near := !l.Time.Before(first.Add(-around)) && !l.Time.After(last.Add(around))
		switch {
		case l.names(request):
			out = append(out, Entry{l, Own})
		case l.Program != "" && near && slices.Contains(programs, l.Program):
			out = append(out, Entry{l, Program})
		case l.Request == "" && l.Turn == "" && near && slices.Contains(vms, l.VM):
			out = append(out, Entry{l, Process})
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return out, nil
}

func (l Line) names(request string) bool { return l.Request == request || l.Turn == request }

// Write prints the entries, one a line.
func Write(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		if _, err := fmt.Fprintf(w, "%s %s\n", e.Kind, e.Line); err != nil {
			return err
		}
	}
	return nil
}
