// Package confio keeps a process's settings up to date from the settings stream of the platform's log. It also appends
// changes to the stream, waits until they are accepted or refused, and writes snapshots. While the log is unavailable,
// the store may receive newer states from peers; a Follower continues from those.
package confio

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/google/uuid"

	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/plog"
)

// Stream is the name of the log stream that holds the settings.
const Stream = "settings"

// ErrUnconfirmed means that the change was not read back from the log in time, so it is unknown whether it was
// accepted.
var ErrUnconfirmed = errors.New("the log has not confirmed the change")

// Follower reads the settings stream and applies its records to a store.
type Follower struct {
	log    plog.Log
	store  *conf.Store
	tail   *plog.Tail
	logger log.Logger

	snapshotEvery  int64
	snapshotMaxAge time.Duration

	// mu guards results, lastSnapshotOffset and lastSnapshotTime. The other fields below belong to the tail's goroutine.
	mu sync.Mutex
	// results maps the ID of a proposed record to the channel that receives its error, nil if the record is accepted.
	results map[string]chan error
	// pending holds the records read after a gap. The state is rebuilt from them at the end of the stream.
	pending            []conf.OffsetRecord
	rebuilding         bool
	oldest             int64
	lastSnapshotOffset int64
	lastSnapshotTime   time.Time
}

// Option configures a Follower.
type Option func(*Follower)

// WithSnapshots makes RunSnapshots append a snapshot once more than every records follow the last one, or once the last
// one is older than age. By default no snapshots are written.
func WithSnapshots(every int64, age time.Duration) Option {
	return func(f *Follower) { f.snapshotEvery, f.snapshotMaxAge = every, age }
}

// WithLogger sets the logger for refused or unreadable records, gaps in the stream and failed snapshots.
func WithLogger(l log.Logger) Option { return func(f *Follower) { f.logger = l } }

// NewFollower returns a follower that applies the settings stream to the store.
func NewFollower(l plog.Log, store *conf.Store, opts ...Option) *Follower {
	f := &Follower{
		log: l, store: store, logger: log.NewNopLogger(), results: make(map[string]chan error),
		lastSnapshotTime: time.Now(),
	}
	for _, o := range opts {
		o(f)
	}
	f.tail = plog.NewTail(l, Stream, 0, f)
	return f
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error { return f.tail.Run(ctx) }

// SinceLogRead returns the time since the log last answered a read.
func (f *Follower) SinceLogRead() time.Duration { return f.tail.SinceRead() }

// HandleEntry applies the next record of the stream.
func (f *Follower) HandleEntry(e plog.Entry) {
	var r conf.Record
	if err := json.Unmarshal(e.Data, &r); err != nil {
		telem.Warn(f.logger, "settings_record_unreadable", "offset", e.Offset, "err", err)
		return
	}
	if r.Snapshot != nil {
		f.recordSnapshot(e.Offset)
	}
	if f.rebuilding {
		f.pending = append(f.pending, conf.OffsetRecord{Offset: e.Offset, Record: r})
		return
	}
	st := f.store.State()
	if e.Offset < st.Version {
		// A state received from a peer already includes this record.
		f.deliverResult(r.ID, st.CheckAccepted(r.ID))
		return
	}
	next, err := st.Apply(e.Offset, r)
	if f.store.StoreIfNewer(next) && err != nil {
		telem.Info(f.logger, "settings_record_refused", "offset", e.Offset, "id", r.ID, "err", err)
	}
	f.deliverResult(r.ID, err)
}

// HandleGap starts to collect records instead of applying them, because the state can't be folded across the gap.
func (f *Follower) HandleGap(oldest int64) {
	f.rebuilding, f.oldest, f.pending = true, oldest, nil
}

// HandleEnd rebuilds the state if there was a gap, and otherwise confirms that the state is up to date.
func (f *Follower) HandleEnd(int64) {
	if !f.rebuilding {
		f.store.Confirm()
		return
	}
	s, err := f.rebuild()
	if err != nil {
		telem.Warn(f.logger, "settings_gap", "oldest", f.oldest, "err", err)
		return
	}
	f.store.StoreIfNewer(s)
	f.rebuilding, f.pending = false, nil
}

// rebuild returns the state after a gap. If the store has meanwhile received a state from a peer that covers the gap,
// the collected records are applied to that state. Otherwise the state is rebuilt from the retained snapshots.
func (f *Follower) rebuild() (*conf.State, error) {
	s := f.store.State()
	if s.Version < f.oldest {
		return conf.Rebuild(f.oldest, f.pending)
	}
	for _, r := range f.pending {
		s, _ = s.Apply(r.Offset, r.Record)
	}
	return s, nil
}

func (f *Follower) deliverResult(id string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ch, ok := f.results[id]; ok {
		ch <- err
		delete(f.results, id)
	}
}

// Propose appends the record and waits until it is read back from the log. It returns a nil error if the record was
// accepted and the reason if it was refused. Reading the record back gives the result even if the response to the
// append was lost. After ErrUnconfirmed the record may still be accepted later.
func (f *Follower) Propose(ctx context.Context, r conf.Record) (*conf.State, error) {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings record")
	}
	result := make(chan error, 1)
	f.mu.Lock()
	f.results[r.ID] = result
	f.mu.Unlock()
	defer f.dropResult(r.ID)
	_, appendErr := f.log.Append(ctx, Stream, data)
	select {
	case err := <-result:
		return f.store.State(), err
	case <-ctx.Done():
		if appendErr != nil {
			return nil, errors.CombineErrors(ErrUnconfirmed, appendErr)
		}
		return nil, ErrUnconfirmed
	}
}

func (f *Follower) dropResult(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.results, id)
}
