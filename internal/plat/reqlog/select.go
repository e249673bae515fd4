package reqlog

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// window is the time before and after a request in which other events of its processes may explain it. The replacement
// of a failed home and the detection of an outage take less.
const window = 3 * time.Second

// ErrUnknownRequest means that no line contains the id of the request.
var ErrUnknownRequest = errors.New("no line names the request")

// Kind is the reason why a line is selected.
type Kind string

// Kinds of lines. The value is printed at the start of the line.
const (
	// Own marks lines that contain the id of the request.
	Own Kind = "*"
	// Program marks lines about the program of the request that were logged at about the same time.
	Program Kind = "p"
	// Process marks lines about no request that a process involved logged at about the same time.
	Process Kind = " "
)

// Entry is a selected line and the reason for its selection.
type Entry struct {
	Line
	Kind Kind
}

// Explain returns the lines that explain the request, oldest first.
func Explain(request string, lines []Line) ([]Entry, error) {
	var programs, vms []string
	var first, last time.Time
	for _, l := range lines {
		if !l.hasID(request) {
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
		return nil, errors.Wrapf(ErrUnknownRequest, "request %q in %d lines", request, len(lines))
	}
	var out []Entry
	for _, l := range lines {
		near := !l.Time.Before(first.Add(-window)) && !l.Time.After(last.Add(window))
		switch {
		case l.hasID(request):
			out = append(out, Entry{l, Own})
		case l.Program != "" && near && slices.Contains(programs, l.Program):
			out = append(out, Entry{l, Program})
		case l.RequestID == "" && l.Turn == "" && near && slices.Contains(vms, l.VM):
			out = append(out, Entry{l, Process})
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return out, nil
}

func (l Line) hasID(request string) bool { return l.RequestID == request || l.Turn == request }

// Write prints one entry per line.
func Write(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		if _, err := fmt.Fprintf(w, "%s %s\n", e.Kind, e.Line); err != nil {
			return err
		}
	}
	return nil
}
