package gate

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/state/store"
)

// evacuationDecoder decodes records with the key prefix "evacuate/" and the configuration "config".
type evacuationDecoder struct{ AnnouncementDecoder }

func (evacuationDecoder) LayoutKey() string { return "config" }

func (evacuationDecoder) DecodeLayout([]byte) (*layout.Layout, error) {
	return layout.New(layout.Layout{Version: 1}), nil
}

func (evacuationDecoder) DecodeEvacuation(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

// scriptedFeeds answers each read of a feed with the next prepared result.
type scriptedFeeds struct {
	store.Store
	snapshots, follows []feedResult
}

type feedResult struct {
	batch store.Batch
	err   error
}

func (s *scriptedFeeds) Snapshot(context.Context, store.Feed) (store.Batch, error) {
	r := s.snapshots[0]
	s.snapshots = s.snapshots[1:]
	return r.batch, r.err
}

func (s *scriptedFeeds) Follow(context.Context, store.Feed, int64, time.Duration) (store.Batch, error) {
	r := s.follows[0]
	s.follows = s.follows[1:]
	return r.batch, r.err
}

// feedBatch returns a batch up to the offset next that sets the keys to a value, or removes those that begin with "-".
func feedBatch(next int64, keys ...string) feedResult {
	b := store.Batch{Next: next}
	for _, k := range keys {
		name, removed := strings.CutPrefix(k, "-")
		r := store.Record{Key: name}
		if !removed {
			r.Value = []byte("{}")
		}
		b.Records = append(b.Records, r)
	}
	return feedResult{batch: b}
}

func newEvacuationGateway(s store.Store) *Gateway {
	g := &Gateway{
		store: s, decoder: evacuationDecoder{}, logger: log.NewNopLogger(), metrics: telem.NewMetrics(),
		roster: roster.New(), feedCache: newFeedCache(),
	}
	g.registerEvacuationGauges()
	return g
}

// TestEvacuationsFollowTheFeed covers what a process may read while the store drops records from its history, goes away
// and comes back, and peers answer in its place.
func TestEvacuationsFollowTheFeed(t *testing.T) {
	down := feedResult{err: errors.Wrap(store.ErrOutcomeUnknown, "store unreachable")}
	compacted := feedResult{err: errors.Wrap(store.ErrCompacted, "offset 3")}
	tests := []struct {
		name               string
		snapshots, follows []feedResult
		steps              int
		// evacuated lists the data centres that are evacuated after the steps, cached those in the cache for peers.
		evacuated, cached []string
	}{
		{
			"in the first snapshot",
			[]feedResult{feedBatch(3, "config", "evacuate/a")},
			nil, 1,
			[]string{"a"},
			[]string{"a"},
		},
		{
			"begin and end in one batch",
			[]feedResult{feedBatch(3, "config")},
			[]feedResult{feedBatch(6, "evacuate/a", "evacuate/b", "-evacuate/a")},
			2,
			[]string{"b"},
			[]string{"b"},
		},
		{
			"the store goes away",
			[]feedResult{feedBatch(3, "config", "evacuate/a")},
			[]feedResult{down, down, down},
			4,
			[]string{"a"},
			[]string{"a"},
		},
		{
			"the end is dropped from the history",
			[]feedResult{feedBatch(3, "config", "evacuate/a", "evacuate/b"), feedBatch(9, "config", "evacuate/b")},
			[]feedResult{compacted},
			3,
			[]string{"b"},
			[]string{"b"},
		},
		{
			"a peer's cache is behind after a compaction",
			[]feedResult{feedBatch(3, "config", "evacuate/a"), feedBatch(2, "config")},
			[]feedResult{compacted},
			3,
			[]string{"a"},
			[]string{"a"},
		},
		{
			"records are read again after an outdated snapshot",
			[]feedResult{feedBatch(6, "config", "evacuate/b"), feedBatch(2, "config")},
			[]feedResult{compacted, feedBatch(5, "evacuate/a"), feedBatch(7, "-evacuate/a", "evacuate/c")},
			5,
			[]string{"b", "c"},
			[]string{"b", "c"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newEvacuationGateway(&scriptedFeeds{snapshots: tt.snapshots, follows: tt.follows})
			f := follower{gateway: g, feed: store.Settings, onSnapshot: g.replaceSettings, onBatch: g.applySettings}
			for range tt.steps {
				_ = f.step(t.Context()) // Failures are part of the script.
			}
			set := g.roster.Evacuations()
			is.Equal(set.Len(), len(tt.evacuated))
			for _, dc := range tt.evacuated {
				is.True(set.Contains(dc))
			}
			b, ok := g.feedCache.snapshot(store.Settings)
			is.True(ok)
			var cached []string
			for _, r := range b.Records {
				if dc, ok := g.decoder.DecodeEvacuation(r.Key); ok {
					cached = append(cached, dc)
				}
			}
			is.Equal(cached, tt.cached)
		})
	}
}

// TestEvacuationsAreInForceBeforeTheConfiguration guards against a gateway that starts during an evacuation and serves
// requests before it knows of it: requests are refused until there is a configuration.
func TestEvacuationsAreInForceBeforeTheConfiguration(t *testing.T) {
	is := is.New(t)
	g := newEvacuationGateway(nil)
	early := false
	g.decoder = decoderWithHook{onLayout: func() { early = !g.roster.Evacuations().Contains("a") }}
	g.replaceSettings(feedBatch(2, "config", "evacuate/a").batch)
	is.True(g.layout.Load() != nil)
	is.True(!early)
	is.Equal(g.metrics.Get("event_data_centre_evacuated"), int64(1))
}

// decoderWithHook calls onLayout before it decodes a configuration.
type decoderWithHook struct {
	evacuationDecoder
	onLayout func()
}

func (d decoderWithHook) DecodeLayout(b []byte) (*layout.Layout, error) {
	d.onLayout()
	return d.evacuationDecoder.DecodeLayout(b)
}
