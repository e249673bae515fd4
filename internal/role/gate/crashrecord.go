package gate

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/sched/crash"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

var errCrashRecord = errors.New("malformed crash record")

// crashEventID returns the ID of the crash of one start of an upstream. All gateways derive the same ID for it.
func crashEventID(u roster.Upstream) string {
	return hex(xxhash.Sum64String(u.Instance + "/" + strconv.FormatInt(u.Incarnation, 10)))
}

func hex(n uint64) string { return fmt.Sprintf("%016x", n) }

// crashValue is the stored form of a crash. Its key consists of the fingerprint and the ID of the crash.
type crashValue struct {
	// AtMS is the time of the crash in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

func crashKey(c crash.Event) string { return hex(c.Fingerprint) + "/" + c.ID }

func crashRecord(c crash.Event) store.Record {
	v, err := json.Marshal(crashValue{c.At.UnixMilli()})
	if err != nil {
		panic(err) // Cannot fail for a struct of one integer.
	}
	return store.Record{Key: crashKey(c), Value: v}
}

// parseCrash decodes a record. Gone means that the crash was withdrawn.
func parseCrash(r store.Record) (c crash.Event, gone bool, err error) {
	fingerprint, event, _ := strings.Cut(r.Key, "/")
	if c.Fingerprint, err = strconv.ParseUint(fingerprint, 16, 64); err != nil || event == "" {
		return c, false, errors.Wrapf(errCrashRecord, "key %q", r.Key)
	}
	c.ID = event
	if len(r.Value) == 0 {
		return c, true, nil
	}
	var v crashValue
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return c, false, errors.Wrapf(err, "key %q", r.Key)
	}
	c.At = time.UnixMilli(v.AtMS)
	return c, false, nil
}
