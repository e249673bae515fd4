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

// The kinds of records, in the order in which they are read: records are read in the order of their keys.
const (
	handoverKind = "h"
	markerKind   = "m"
	programKind  = "p"
	turnKind     = "t"
)

var errCorruptRecord = errors.New("corrupt record")

// accountRecord is the stored form of an Account.
type accountRecord struct {
	Ceiling   int64 `json:"ceiling"`
	ExpiresAt int64 `json:"until"`
	Uncertain bool  `json:"uncertain,omitempty"`
}

// maxNameBytes limits the length of Ref.keyName, so that every key fits in the 255 bytes that the store allows.
const maxNameBytes = 200

// FitsKey reports whether the ref is short enough for the keys of the store.
func (r Ref) FitsKey() bool { return len(r.keyName()) <= maxNameBytes }

func (r Ref) keyName() string { return url.PathEscape(r.Workspace) + "/" + r.ID }

func programKey(r Ref) string { return programKind + "/" + r.keyName() }

// turnKey sorts turns that are kept longer, which are the newer ones, before others.
func turnKey(t Turn) string {
	return fmt.Sprintf("%s/%016x/%s", turnKind, uint64(math.MaxInt64-t.ExpiresAt), t.keyName())
}

// IsTurn reports whether the record holds a turn.
func IsTurn(r store.Record) bool { return strings.HasPrefix(r.Key, turnKind+"/") }

func parseKey(k string) (kind string, r Ref, err error) {
	kind, rest, _ := strings.Cut(k, "/")
	switch kind {
	case markerKind, handoverKind:
		return kind, Ref{}, nil
	case turnKind:
		_, rest, _ = strings.Cut(rest, "/")
	case programKind:
	default:
		return "", Ref{}, errors.Wrapf(errCorruptRecord, "key %q", k)
	}
	workspace, id, ok := strings.Cut(rest, "/")
	if !ok {
		return "", Ref{}, errors.Wrapf(errCorruptRecord, "key %q", k)
	}
	if workspace, err = url.PathUnescape(workspace); err != nil {
		return "", Ref{}, errors.Wrapf(err, "key %q", k)
	}
	return kind, Ref{workspace, id}, nil
}

// Marker returns a record that changes nothing. Appending it shows whether the writer is still allowed to append.
func Marker() store.Record { return store.Record{Key: markerKind, Value: []byte{1}} }

func encodeAccount(r Ref, p Account) store.Record {
	v, err := json.Marshal(accountRecord{Ceiling: p.Ceiling, ExpiresAt: p.ExpiresAt, Uncertain: p.Uncertain})
	if err != nil {
		panic(err) // A struct of integers and a boolean.
	}
	return store.Record{Key: programKey(r), Value: v}
}

func decodeAccount(b []byte) (Account, error) {
	var a accountRecord
	if err := json.Unmarshal(b, &a); err != nil {
		return Account{}, errors.Wrap(err, "decode")
	}
	return Account{
		Spent: a.Ceiling, Ceiling: a.Ceiling, Confirmed: a.Ceiling, ExpiresAt: a.ExpiresAt,
		Uncertain: a.Uncertain, recordedUncertain: a.Uncertain,
	}, nil
}

// encodeTurn encodes the turn as its JSON part and the input, each prefixed with its length, followed by the output.
func encodeTurn(t Turn) store.Record {
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

// RecordBytes returns the size of the turn's record with its key.
func (t Turn) RecordBytes() int {
	r := encodeTurn(t)
	return len(r.Key) + len(r.Value) + 1
}

func decodeTurn(r Ref, b []byte) (Turn, error) {
	meta, rest, err := cutLengthPrefixed(b)
	if err != nil {
		return Turn{}, err
	}
	t := Turn{Ref: r}
	if err := json.Unmarshal(meta, &t); err != nil {
		return Turn{}, errors.Wrap(err, "decode")
	}
	if t.Input, t.Output, err = cutLengthPrefixed(rest); err != nil {
		return Turn{}, err
	}
	if t.Ref != r {
		return Turn{}, errors.Wrapf(errCorruptRecord, "contains turn %q of workspace %q", t.ID, t.Workspace)
	}
	return t, nil
}

// cutLengthPrefixed splits b into a part that is prefixed with its length and the bytes after it.
func cutLengthPrefixed(b []byte) (part, rest []byte, err error) {
	n, w := binary.Uvarint(b)
	if w <= 0 || n > uint64(len(b)-w) {
		return nil, nil, errors.Wrapf(errCorruptRecord, "length prefix is invalid or exceeds the %d bytes given", len(b))
	}
	return b[w : w+int(n)], b[w+int(n):], nil
}
