package confio

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/state/conf"
)

const snapshotCheckInterval = time.Second

func (f *Follower) recordSnapshot(offset int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSnapshotOffset, f.lastSnapshotTime = offset, time.Now()
}

// RunSnapshots appends a snapshot of the state whenever one is due, until ctx ends. All processes may run it: a random
// delay makes it likely that only one of them writes each snapshot.
func (f *Follower) RunSnapshots(ctx context.Context) error {
	for {
		wait := snapshotCheckInterval + rand.N(snapshotCheckInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		if f.snapshotDue() {
			f.appendSnapshot(ctx)
		}
	}
}

func (f *Follower) snapshotDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.store.State().Version
	if f.snapshotEvery == 0 || v == 0 || f.SinceLogRead() > snapshotCheckInterval*2 {
		return false
	}
	return v-f.lastSnapshotOffset > f.snapshotEvery || time.Since(f.lastSnapshotTime) > f.snapshotMaxAge
}

func (f *Follower) appendSnapshot(ctx context.Context) {
	r := conf.Record{ID: uuid.NewString(), Snapshot: f.store.State()}
	data, err := json.Marshal(r)
	if err != nil {
		telem.Warn(f.logger, "settings_snapshot_failed", "err", err)
		return
	}
	if _, err := f.log.Append(ctx, Stream, data); err != nil {
		telem.Warn(f.logger, "settings_snapshot_failed", "err", err)
	}
}
