package turns

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

// The kinds of records, in the order in which a partition is read.
const (
	markerKind  = "m"
	programKind = "p"
	turnKind    = "t"
)

var errRecord = errors.New("record is damaged")

// account is the form of a program in the log.
type account struct {
	Ceiling int64 `json:"ceiling"`
	Until   int64 `json:"until"`
}

// maxName bounds a workspace's name and an id together, so that every key fits the store's 255 bytes.
const maxName = 200

// Fits reports whether records of the turn or program can be kept.
func (r Ref) Fits() bool { return len(r.name()) <= maxName }

func (r Ref) name() string { return url.PathEscape(r.Workspace) + "/" + r.ID }

func programKey(r Ref) string { return programKind + "/" + r.name() }

// turnKey orders turns that are kept longer, and so are newer, before others.
func turnKey(t Turn) string {
	return fmt.Sprintf("%s/%016x/%s", turnKind, uint64(math.MaxInt64-t.Until), t.name())
}

// IsTurn reports whether the record is of a turn.
func IsTurn(r store.Record) bool { return strings.HasPrefix(r.Key, turnKind+"/") }

func parseKey(k string) (kind string, r Ref, err error) {
	kind, rest, _ := strings.Cut(k, "/")
	switch kind {
	case markerKind:
		return kind, Ref{}, nil
	case turnKind:
		_, rest, _ = strings.Cut(rest, "/")
	case programKind:
	default:
		return "", Ref{}, errors.Wrapf(errRecord, "key %q", k)
	}
	workspace, id, ok := strings.Cut(rest, "/")
	if !ok {
		return "", Ref{}, errors.Wrapf(errRecord, "key %q", k)
	}
	if workspace, err = url.PathUnescape(workspace); err != nil {
		return "", Ref{}, errors.Wrapf(err, "key %q", k)
	}
	return kind, Ref{workspace, id}, nil
}

// Marker returns a record that changes nothing; it shows who may append.
func Marker() store.Record { return store.Record{Key: markerKind, Value: []byte{1}} }

func programRecord(r Ref, p Program) store.Record {
	v, err := json.Marshal(account{Ceiling: p.Ceiling, Until: p.Until})
	if err != nil {
		panic(err) // A struct of two integers.
	}
	return store.Record{Key: programKey(r), Value: v}
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
	return store.Record{Key: turnKey(t), Value: v}
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
