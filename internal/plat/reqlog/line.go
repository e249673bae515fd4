// Package reqlog reconstructs what happened to a request from the logs of several processes.
package reqlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds the length of a log line; ParseLog fails on a longer one.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time time.Time `json:"time"`
	VM   string    `json:"vm"`
	// Peer is the VM or upstream at which a fault arose.
	Peer  string `json:"peer"`
	Event string `json:"event"`
	// RequestID is the id that the caller gave an attempt, Turn that of a turn that is searched for, and Program the id
	// of the program.
	RequestID string `json:"request"`
	Turn      string `json:"turn"`
	Program   string `json:"program"`
	fields    map[string]json.RawMessage
}

// ParseLog parses the lines of a log. invalid is the number of lines that are not log events. Text before a line's JSON
// object is skipped, since log collectors add prefixes.
func ParseLog(r io.Reader) (lines []Line, invalid int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		text := sc.Bytes()
		i := bytes.IndexByte(text, '{')
		if i < 0 {
			invalid++
			continue
		}
		var l Line
		if json.Unmarshal(text[i:], &l) != nil || json.Unmarshal(text[i:], &l.fields) != nil || l.Event == "" {
			invalid++
			continue
		}
		lines = append(lines, l)
	}
	return lines, invalid, errors.Wrapf(sc.Err(), "line %d", len(lines)+invalid+1)
}

// unlistedFields are the fields that String prints at the start of the line or omits.
var unlistedFields = []string{"time", "vm", "event", "role", "level"}

// String formats the line as time, VM, event and the other fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.Time.UTC().Format("15:04:05.000") + " " + l.VM + " " + l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(unlistedFields, name) {
			b.WriteString(" " + name + "=" + string(l.fields[name]))
		}
	}
	return b.String()
}
