// Package story tells what happened to one request from the logs of several processes.
package story

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

// maxLineBytes bounds one log line; longer ones end the reading with an error.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time time.Time `json:"time"`
	VM   string    `json:"vm"`
	// Peer is the VM or upstream that a fault names.
	Peer  string `json:"peer"`
	Event string `json:"event"`
	// Request is the caller's id of an attempt, Turn that of a turn which is looked for, Program that of the program.
	Request string `json:"request"`
	Turn    string `json:"turn"`
	Program string `json:"program"`
	fields  map[string]json.RawMessage
}

// Read returns the lines of a log and the number of those that are none. Text before a line's JSON is passed over, so
// that logs may be read as a collector has marked them.
func Read(r io.Reader) (lines []Line, strange int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		text := sc.Bytes()
		i := bytes.IndexByte(text, '{')
		if i < 0 {
			strange++
			continue
		}
		var l Line
		if json.Unmarshal(text[i:], &l) != nil || json.Unmarshal(text[i:], &l.fields) != nil || l.Event == "" {
			strange++
			continue
		}
		lines = append(lines, l)
	}
	return lines, strange, errors.Wrapf(sc.Err(), "line %d", len(lines)+strange+1)
}

// shown are the fields that String prints in front or not at all.
var shown = []string{"time", "vm", "event", "role", "level"}

// String returns the line with its fields in the order of their names.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.Time.UTC().Format("15:04:05.000") + " " + l.VM + " " + l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(shown, name) {
			b.WriteString(" " + name + "=" + string(l.fields[name]))
		}
	}
	return b.String()
}
