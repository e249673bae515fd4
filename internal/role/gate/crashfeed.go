package gate

import (
	"context"
	"slices"
	"time"

	"galenaward.example/galenaward/internal/sched/poison"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// crashesWait is how long one reading of the crashes waits for the first. A connection that has gone silent is noticed
	// only after it.
	crashesWait = 2 * time.Second
	// crashesPause is the time between two readings. An upstream that dies makes several records, and all gateways must know
	// within some seconds.
	crashesPause = 500 * time.Millisecond
	// publishTimeout bounds one try to publish crashes, publishPause is the time between two.
	publishTimeout = 600 * time.Millisecond
	publishPause   = 300 * time.Millisecond
	// sweepPartition is the partition whose holder searches for records to remove.
	sweepPartition = 0
	// heardLines is the most log lines about crashes that are heard of at once.
	heardLines = 8
)

// takeCrashes takes what others noticed.
func (g *Gate) takeCrashes(records []store.Record, source string) {
	crashes, gone := g.parseCrashes(records)
	now := time.Now()
	for i, c := range g.suspects.heard(crashes, now) {
		if i == heardLines {
			g.note("crashes_heard", "records", len(crashes), "source", source)
			break
		}
		g.note("crash_heard", "fingerprint", hex(c.Fingerprint), "death", c.Event, "source", source,
			"age_ms", now.Sub(c.At).Milliseconds())
	}
	g.suspects.withdrawn(gone, now)
}

// followCrashes keeps what all gateways know of requests that crash upstreams.
func (g *Gate) followCrashes(ctx context.Context) error {
	f := follower{
		gate: g, feed: store.Crashes, wait: crashesWait, pause: crashesPause, whole: g.replaceCrashes,
		part: func(b store.Batch) { g.takeCrashes(b.Records, "store") },
	}
	return f.run(ctx)
}

func (g *Gate) replaceCrashes(b store.Batch) {
	crashes, _ := g.parseCrashes(b.Records)
	g.suspects.listed(crashes, time.Now())
	g.note("crashes_listed", "count", len(crashes))
}

func (g *Gate) parseCrashes(records []store.Record) (crashes, gone []poison.Crash) {
	for _, r := range records {
		c, ended, err := parseCrash(r)
		switch {
		case err != nil:
			g.note("crash_record_skipped", "key", r.Key, "cause", err)
		case ended:
			gone = append(gone, c)
		default:
			crashes = append(crashes, c)
		}
	}
	return crashes, gone
}

// publishCrashes puts into the store what this process noticed, until the store has it. Peers are told meanwhile.
func (g *Gate) publishCrashes(ctx context.Context) error {
	told := make(map[string]bool)
	for {
		records, dropped := g.suspects.unsent()
		if dropped > 0 {
			g.note("crashes_dropped", "records", dropped)
		}
		if len(records) == 0 {
			select {
			case <-g.suspects.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		pctx, cancel := context.WithTimeout(ctx, publishTimeout)
		err := g.store.Publish(pctx, store.Crashes, records)
		cancel()
		if err == nil {
			g.suspects.published(records)
			clear(told)
			continue
		}
		if news := slices.DeleteFunc(records, func(r store.Record) bool { return told[r.Key] }); len(news) > 0 {
			for _, r := range news {
				told[r.Key] = true
			}
			g.note("crashes_unpublished", "records", len(news), "peers", len(g.owner.Peers()), "cause", err)
			if err := tell(ctx, g, crashPath, crashNotice{news}); err != nil {
				g.note("crash_not_told", "records", len(news), "cause", err)
			}
		}
		select {
		case <-time.After(publishPause):
		case <-ctx.Done():
			return nil
		}
	}
}

// sweepCrashes removes forgotten records from the store, at one gateway.
func (g *Gate) sweepCrashes(now time.Time) {
	if _, ok := g.owner.Held(sweepPartition); !ok || !g.suspects.due(now) {
		return
	}
	if b, ok := g.recall.snapshot(store.Crashes); ok {
		g.suspects.sweep(b.Records, now)
	}
}
