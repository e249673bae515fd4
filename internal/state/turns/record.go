package turns

import (
	"encoding/binary"
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

const (
	turnKind    = "t"
	programKind = "p"
	markerKind  = "m"
)

var errRecord = errors.New("record is damaged")

// account is the form of a program in the log.
type account struct {
	Ceiling int64 `json:"ceiling"`
	Until   int64 `json:"until"`
}

func key(kind string, r Ref) string { return kind + "/" + url.PathEscape(r.Workspace) + "/" + r.ID }

func parseKey(k string) (kind string, r Ref, err error) {
	parts := strings.SplitN(k, "/", 3)
	if len(parts) != 3 || !slices.Contains([]string{turnKind, programKind, markerKind}, parts[0]) {
		return "", Ref{}, errors.Wrapf(errRecord, "key %q", k)
	}
	workspace, err := url.PathUnescape(parts[1])
	if err != nil {
		return "", Ref{}, errors.Wrapf(err, "key %q", k)
	}
	return parts[0], Ref{workspace, parts[2]}, nil
}

// Marker returns a record that changes nothing; it shows who may append.
func Marker() store.Record { return store.Record{Key: markerKind + "//", Value: []byte{1}} }

func programRecord(r Ref, p Program) store.Record {
	v, err := json.Marshal(account{Ceiling: p.Ceiling, Until: p.Until})
	if err != nil {
		panic(err) // A struct of two integers.
	}
	return store.Record{Key: key(programKind, r), Value: v}
}

func decodeProgram(b []byte) (Program, error) {
	var a account
	if err := json.Unmarshal(b, &a); err != nil {
		return Program{}, errors.Wrap(err, "decode")
	}
	return Program{Spent: a.Ceiling, Ceiling: a.Ceiling, Until: a.Until}, nil
}

// turnRecord returns the turn as length and bytes of its JSON part, length and bytes of the input, and the output.
func turnRecord(t Turn) store.Record {
	meta, err := json.Marshal(t)
	if err != nil {
		panic(err) // A struct of strings and integers.
	}
	v := binary.AppendUvarint(nil, uint64(len(meta)))
	v = append(v, meta...)
	v = binary.AppendUvarint(v, uint64(len(t.Input)))
	v = append(append(v, t.Input...), t.Output...)
	return store.Record{Key: key(turnKind, t.Ref), Value: v}
}

func decodeTurn(r Ref, b []byte) (Turn, error) {
	meta, rest, err := cut(b)
	if err != nil {
		return Turn{}, err
	}
	t := Turn{Ref: r}
	if err := json.Unmarshal(meta, &t); err != nil {
		return Turn{}, errors.Wrap(err, "decode")
	}
	if t.Input, t.Output, err = cut(rest); err != nil {
		return Turn{}, err
	}
	if t.Ref != r {
		return Turn{}, errors.Wrapf(errRecord, "holds turn %q of workspace %q", t.ID, t.Workspace)
	}
	return t, nil
}

// cut returns a part that begins with its length, and the bytes behind it.
func cut(b []byte) (part, rest []byte, err error) {
	n, w := binary.Uvarint(b)
	if w <= 0 || n > uint64(len(b)-w) {
		return nil, nil, errors.Wrapf(errRecord, "%d bytes are too few", len(b))
	}
	return b[w : w+int(n)], b[w+int(n):], nil
}
