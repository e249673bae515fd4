package gate

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/sched/crash"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// crashesFollowWait is how long one read of the crash feed waits for a record. A connection that died silently is
	// detected only after it.
	crashesFollowWait = 2 * time.Second
	// crashesPollInterval is the pause between two reads. A crash of an upstream produces several records, and all
	// gateways must know of it within a few seconds.
	crashesPollInterval = 500 * time.Millisecond
	// publishTimeout bounds one attempt to publish crashes, publishRetryInterval is the pause between two attempts.
	publishTimeout       = 600 * time.Millisecond
	publishRetryInterval = 300 * time.Millisecond
	// sweepPartition is the partition whose owner removes expired crash records.
	sweepPartition = 0
	// maxCrashLogLines bounds the log lines for one batch of crashes received from elsewhere.
	maxCrashLogLines = 8
)

// applyCrashes adds crashes that other gateways detected and removes those that were withdrawn.
func (g *Gateway) applyCrashes(records []store.Record, source string) {
	crashes, withdrawn := g.parseCrashes(records)
	now := time.Now()
	for i, c := range g.suspects.addRemote(crashes, now) {
		if i == maxCrashLogLines {
			g.logEvent("crashes_heard", "records", len(crashes), "source", source)
			break
		}
		g.logEvent("crash_heard", "fingerprint", hex(c.Fingerprint), "death", c.ID, "source", source,
			"age_ms", now.Sub(c.At).Milliseconds())
	}
	g.suspects.withdraw(withdrawn, now)
}

// followCrashes keeps the table of requests that crash upstreams in step with the store.
func (g *Gateway) followCrashes(ctx context.Context) error {
	f := follower{
		gateway: g, feed: store.Crashes, wait: crashesFollowWait, pollInterval: crashesPollInterval,
		onSnapshot: g.replaceCrashes,
		onBatch:    func(b store.Batch) { g.applyCrashes(b.Records, "store") },
	}
	return f.run(ctx)
}

func (g *Gateway) replaceCrashes(b store.Batch) {
	crashes, _ := g.parseCrashes(b.Records)
	g.suspects.replaceAll(crashes, time.Now())
	g.logEvent("crashes_listed", "count", len(crashes))
}

func (g *Gateway) parseCrashes(records []store.Record) (crashes, withdrawn []crash.Event) {
	for _, r := range records {
		c, gone, err := parseCrash(r)
		switch {
		case err != nil:
			g.logEvent("crash_record_skipped", "key", r.Key, "cause", err)
		case gone:
			withdrawn = append(withdrawn, c)
		default:
			crashes = append(crashes, c)
		}
	}
	return crashes, withdrawn
}

// publishCrashes writes the crashes that this process detected to the store, retrying until they are stored. While the
// store is unavailable, it notifies peers directly.
func (g *Gateway) publishCrashes(ctx context.Context) error {
	notified := make(map[string]bool)
	for {
		records, dropped := g.suspects.pending()
		if dropped > 0 {
			g.logEvent("crashes_dropped", "records", dropped)
		}
		if len(records) == 0 {
			select {
			case <-g.suspects.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		part := store.Divide(records, int(g.settings.AppendBytes))[0]
		pctx, cancel := context.WithTimeout(ctx, publishTimeout)
		err := g.store.Publish(pctx, store.Crashes, part)
		cancel()
		if errors.Is(err, store.ErrInvalid) {
			g.logEvent("crashes_rejected", "records", len(part), "cause", err)
			g.notifyKnown(notice{Crashes: part})
			err = nil // A repeat would be rejected too, and block the records behind these.
		}
		if err == nil {
			g.suspects.confirmPublished(part)
			clear(notified)
			continue
		}
		if unsent := slices.DeleteFunc(records, func(r store.Record) bool { return notified[r.Key] }); len(unsent) > 0 {
			for _, r := range unsent {
				notified[r.Key] = true
			}
			g.logEvent("crashes_unpublished", "records", len(unsent), "peers", len(g.owner.Peers()), "cause", err)
			g.notifyKnown(notice{Crashes: unsent})
		}
		select {
		case <-time.After(publishRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// sweepCrashes removes expired records from the store. Only the owner of sweepPartition does so.
func (g *Gateway) sweepCrashes(now time.Time) {
	if _, ok := g.owner.HeldPartition(sweepPartition); !ok || !g.suspects.sweepDue(now) {
		return
	}
	if b, ok := g.feedCache.snapshot(store.Crashes); ok {
		g.suspects.sweep(b.Records, now)
	}
}
