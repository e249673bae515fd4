package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// settingsFollowWait is how long one read of the settings waits for a change. A connection that died silently is
	// detected only after it.
	settingsFollowWait = time.Second
	// upstreamsFollowWait is how long one read of the announcements waits for a record.
	upstreamsFollowWait = 700 * time.Millisecond
	// upstreamsPollInterval is the pause between two reads. Upstreams announce themselves about once a second, and a
	// draining one must get no new requests two seconds later.
	upstreamsPollInterval = 250 * time.Millisecond
	// feedCallMargin is added to the wait of a read for the round trip; a slow store takes 250 ms.
	feedCallMargin    = 600 * time.Millisecond
	feedRetryInterval = 150 * time.Millisecond
	// outageAfter is how long reads must have failed before the feed counts as lost. After such an outage, upstreams
	// whose announcements lapsed are kept for settleTime.
	outageAfter = time.Second
	// settleTime is how long announcements that lapsed during an outage may take to reappear.
	settleTime = 2500 * time.Millisecond
)

// followSettings keeps the newest configuration and the set of evacuated data centres in force.
func (g *Gateway) followSettings(ctx context.Context) error {
	f := follower{
		gateway: g, feed: store.Settings, wait: settingsFollowWait,
		onSnapshot: g.replaceSettings, onBatch: g.applySettings,
	}
	return f.run(ctx)
}

// replaceSettings applies a snapshot of the settings. The evacuations come first: a gateway that starts serves requests as
// soon as it has a configuration.
func (g *Gateway) replaceSettings(b store.Batch) {
	g.replaceEvacuations(b)
	g.applyNewestLayout(b)
}

// applySettings applies settings that changed.
func (g *Gateway) applySettings(b store.Batch) {
	g.applyEvacuations(b)
	g.applyNewestLayout(b)
}

func (g *Gateway) applyNewestLayout(b store.Batch) {
	for _, r := range b.Records {
		if r.Key == g.decoder.LayoutKey() {
			g.applyLayout(r.Value, "store")
		}
	}
}

// applyLayout puts a configuration in force if its version is higher than the current one.
func (g *Gateway) applyLayout(value []byte, source string) {
	l, err := g.decoder.DecodeLayout(value)
	if err != nil {
		g.logEvent("settings_unread", "source", source, "bytes", len(value), "cause", err)
		return
	}
	for {
		cur := g.layout.Load()
		if cur != nil && l.Version <= cur.Version {
			return
		}
		if g.layout.CompareAndSwap(cur, l) {
			break
		}
	}
	g.logEvent("settings", "version", l.Version, "source", source, "routes", len(l.Routes),
		"workspaces", len(l.Workspaces), "keys", len(l.Keys()))
}

// followUpstreams keeps the list of upstreams up to date.
func (g *Gateway) followUpstreams(ctx context.Context) error {
	f := follower{
		gateway: g, feed: store.Upstreams, wait: upstreamsFollowWait, pollInterval: upstreamsPollInterval,
		onSnapshot: g.replaceUpstreams, onBatch: g.applyUpstreams,
		onRecovered: func() { g.roster.HoldUntil(time.Now().Add(settleTime)) },
	}
	return f.run(ctx)
}

func (g *Gateway) replaceUpstreams(b store.Batch) {
	var list []roster.Upstream
	for _, r := range b.Records {
		if u, ok := g.parseUpstream(r); ok {
			list = append(list, u)
		}
	}
	g.roster.Replace(list, time.Now())
	g.attributeCrashes()
	g.reportCold()
	g.listed.Store(true)
	g.logEvent("upstreams_listed", "count", len(list))
}

func (g *Gateway) applyUpstreams(b store.Batch) {
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			if address := g.roster.Remove(r.Key, time.Now()); address != "" {
				g.pool.CloseIdle(address)
				g.logEvent("upstream_gone", "upstream", r.Key, "address", address)
			}
			continue
		}
		u, ok := g.parseUpstream(r)
		if !ok {
			continue
		}
		oldAddress, draining := g.roster.Update(u)
		if oldAddress != "" {
			g.pool.CloseIdle(oldAddress)
			g.logEvent("upstream_restarted", "upstream", r.Key, "address", oldAddress)
		}
		if draining {
			g.logEvent("upstream_draining", "upstream", r.Key, "address", u.Address)
		}
	}
	g.attributeCrashes()
	g.reportCold()
}

func (g *Gateway) parseUpstream(r store.Record) (roster.Upstream, bool) {
	u, err := g.decoder.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		g.logEvent("announcement_skipped", "key", r.Key, "cause", err)
		return roster.Upstream{}, false
	}
	u.HeardAt = time.Now()
	return u, true
}

// follower reads a snapshot of a feed and then the records that follow it.
type follower struct {
	gateway      *Gateway
	feed         store.Feed
	wait         time.Duration
	pollInterval time.Duration
	onSnapshot   func(store.Batch)
	onBatch      func(store.Batch)
	// onRecovered is called when reads succeed again after an outage; may be nil.
	onRecovered func()

	next   int64
	synced bool
	// lastSuccess is when a read last succeeded.
	lastSuccess time.Time
	down        bool
}

func (f *follower) run(ctx context.Context) error {
	f.lastSuccess = time.Now()
	for ctx.Err() == nil {
		err := f.step(ctx)
		pause := f.pollInterval
		if err != nil {
			pause = feedRetryInterval
			f.failed(ctx, err)
		} else {
			f.succeeded()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

func (f *follower) step(ctx context.Context) error {
	if !f.synced {
		ctx, cancel := context.WithTimeout(ctx, feedCallMargin)
		defer cancel()
		b, err := f.gateway.store.Snapshot(ctx, f.feed)
		if err != nil {
			return err
		}
		if f.onRecovered != nil && f.down {
			f.onRecovered()
		}
		f.gateway.feedCache.replace(f.feed, b)
		f.onSnapshot(b)
		f.next, f.synced = b.Next, true
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait+feedCallMargin)
	defer cancel()
	b, err := f.gateway.store.Follow(ctx, f.feed, f.next, f.wait)
	if errors.Is(err, store.ErrCompacted) {
		f.synced = false
		f.gateway.logEvent("feed_compacted", "feed", int(f.feed), "from", f.next)
		return nil
	}
	if err != nil {
		return err
	}
	if f.onRecovered != nil && f.down {
		f.onRecovered()
	}
	f.gateway.feedCache.add(f.feed, b)
	f.onBatch(b)
	f.next = b.Next
	return nil
}

func (f *follower) failed(ctx context.Context, err error) {
	if f.down || ctx.Err() != nil || time.Since(f.lastSuccess) < outageAfter {
		return
	}
	f.down = true
	f.gateway.logEvent("feed_lost", "feed", int(f.feed), "cause", err)
}

func (f *follower) succeeded() {
	if f.down {
		f.gateway.logEvent("feed_regained", "feed", int(f.feed), "after_ms", time.Since(f.lastSuccess).Milliseconds())
	}
	f.down = false
	f.lastSuccess = time.Now()
}
