package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// settingsWait is how long one reading of the settings waits for a change. A connection that has gone silent is
	// noticed only after it.
	settingsWait = time.Second
	// upstreamsWait is how long one reading of the announcements waits for the first.
	upstreamsWait = 700 * time.Millisecond
	// upstreamsPause is the time between two readings. Upstreams announce themselves every second or so, and one that
	// drains must get no new work two seconds later.
	upstreamsPause = 250 * time.Millisecond
	// feedSlack is added to the waiting time of a reading for its way; a slow store takes a quarter of a second.
	feedSlack = 600 * time.Millisecond
	feedPause = 150 * time.Millisecond
	// outageAfter is how long the announcements may be unread before vanished ones are held.
	outageAfter = time.Second
	// settleTime is how long after an outage announcements that lapsed may take to come back.
	settleTime = 2500 * time.Millisecond
)

// followSettings keeps the newest configuration in force.
func (g *Gate) followSettings(ctx context.Context) error {
	f := follower{gate: g, feed: store.Settings, wait: settingsWait, whole: g.takeSettings, part: g.takeSettings}
	return f.run(ctx)
}

func (g *Gate) takeSettings(b store.Batch) {
	for _, r := range b.Records {
		if r.Key == g.read.LayoutKey() {
			g.takeLayout(r.Value, "store")
		}
	}
}

// takeLayout puts a configuration in force if it is newer than the one in force.
func (g *Gate) takeLayout(value []byte, source string) {
	l, err := g.read.Layout(value)
	if err != nil {
		g.note("settings_unread", "source", source, "bytes", len(value), "cause", err)
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
	g.note("settings", "version", l.Version, "source", source, "routes", len(l.Routes),
		"workspaces", len(l.Workspaces), "keys", len(l.Keys()))
}

// followUpstreams keeps the list of upstreams.
func (g *Gate) followUpstreams(ctx context.Context) error {
	f := follower{
		gate: g, feed: store.Upstreams, wait: upstreamsWait, pause: upstreamsPause,
		whole: g.replaceUpstreams, part: g.takeUpstreams,
		regained: func() { g.roster.Hold(time.Now().Add(settleTime)) },
	}
	return f.run(ctx)
}

func (g *Gate) replaceUpstreams(b store.Batch) {
	var list []roster.Upstream
	for _, r := range b.Records {
		if u, ok := g.upstream(r); ok {
			list = append(list, u)
		}
	}
	g.roster.Replace(list, time.Now())
	g.blameEnds()
	g.listed.Store(true)
	g.note("upstreams_listed", "count", len(list))
}

func (g *Gate) takeUpstreams(b store.Batch) {
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			if gone := g.roster.Remove(r.Key, time.Now()); gone != "" {
				g.pool.Forget(gone)
				g.note("upstream_gone", "upstream", r.Key, "address", gone)
			}
			continue
		}
		u, ok := g.upstream(r)
		if !ok {
			continue
		}
		gone, drains := g.roster.Update(u)
		if gone != "" {
			g.pool.Forget(gone)
			g.note("upstream_restarted", "upstream", r.Key, "address", gone)
		}
		if drains {
			g.note("upstream_draining", "upstream", r.Key, "address", u.Address)
		}
	}
	g.blameEnds()
}

func (g *Gate) upstream(r store.Record) (roster.Upstream, bool) {
	u, err := g.read.Upstream(r.Key, r.Value)
	if err != nil {
		g.note("announcement_skipped", "key", r.Key, "cause", err)
		return roster.Upstream{}, false
	}
	return u, true
}

// follower reads a feed from its newest records on.
type follower struct {
	gate  *Gate
	feed  store.Feed
	wait  time.Duration
	pause time.Duration
	whole func(store.Batch)
	part  func(store.Batch)
	// regained is called when the feed begins to answer again; nil for nothing.
	regained func()

	next  int64
	known bool
	// since is when the last reading succeeded.
	since time.Time
	down  bool
}

func (f *follower) run(ctx context.Context) error {
	f.since = time.Now()
	for ctx.Err() == nil {
		err := f.step(ctx)
		pause := f.pause
		if err != nil {
			pause = feedPause
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
	if !f.known {
		ctx, cancel := context.WithTimeout(ctx, feedSlack)
		defer cancel()
		b, err := f.gate.store.Snapshot(ctx, f.feed)
		if err != nil {
			return err
		}
		if f.regained != nil && f.down {
			f.regained()
		}
		f.gate.recall.replace(f.feed, b)
		f.whole(b)
		f.next, f.known = b.Next, true
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait+feedSlack)
	defer cancel()
	b, err := f.gate.store.Follow(ctx, f.feed, f.next, f.wait)
	if errors.Is(err, store.ErrCompacted) {
		f.known = false
		f.gate.note("feed_compacted", "feed", int(f.feed), "from", f.next)
		return nil
	}
	if err != nil {
		return err
	}
	if f.regained != nil && f.down {
		f.regained()
	}
	f.gate.recall.add(f.feed, b)
	f.part(b)
	f.next = b.Next
	return nil
}

func (f *follower) failed(ctx context.Context, err error) {
	if f.down || ctx.Err() != nil || time.Since(f.since) < outageAfter {
		return
	}
	f.down = true
	f.gate.note("feed_lost", "feed", int(f.feed), "cause", err)
}

func (f *follower) succeeded() {
	if f.down {
		f.gate.note("feed_regained", "feed", int(f.feed), "after_ms", time.Since(f.since).Milliseconds())
	}
	f.down = false
	f.since = time.Now()
}
