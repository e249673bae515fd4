package gate

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// noticeInterval is the minimum time between two messages to one peer, noticeTimeout bounds a message.
	noticeInterval = 50 * time.Millisecond
	noticeTimeout  = 400 * time.Millisecond
	// noticeAttempts is how often a message is sent to a peer that does not answer. All attempts end within two seconds, the
	// time in which a leaving upstream must stop receiving requests.
	noticeAttempts = 4
	// maxNoticeItems bounds the items of each kind that wait for one peer.
	maxNoticeItems = 4096
)

// upstreamStart identifies one start of an upstream in messages.
type upstreamStart struct {
	Instance    string `json:"instance,omitempty"`
	Incarnation int64  `json:"born"`
}

func (s upstreamStart) start() roster.Start { return roster.Start(s) }

// notice is what a gateway learned from the answers of upstreams and its peers need to know before they read it in the
// store.
type notice struct {
	// Leaving upstreams said so themselves, Failing ones were seen to fail.
	Leaving []upstreamStart `json:"leaving,omitempty"`
	Failing []upstreamStart `json:"failing,omitempty"`
	// Crashes are records of requests that crashed upstreams.
	Crashes []store.Record `json:"crashes,omitempty"`
	// Caps are changes of rate caps, told by the allocators of the upstreams' permits.
	Caps []capReport `json:"caps,omitempty"`
}

func (n notice) empty() bool { return len(n.Leaving)+len(n.Failing)+len(n.Crashes)+len(n.Caps) == 0 }

// with returns the notice with the items of other added, and how many items there was no room for.
func (n notice) with(other notice) (merged notice, dropped int) {
	var d1, d2, d3, d4 int
	n.Leaving, d1 = appendBounded(n.Leaving, other.Leaving)
	n.Failing, d2 = appendBounded(n.Failing, other.Failing)
	n.Crashes, d3 = appendBounded(n.Crashes, other.Crashes)
	n.Caps, d4 = appendBounded(n.Caps, other.Caps)
	return n, d1 + d2 + d3 + d4
}

func appendBounded[T any](list, more []T) (out []T, dropped int) {
	room := min(len(more), maxNoticeItems-len(list))
	return append(slices.Clip(list), more[:room]...), len(more) - room
}

// notifyKnown queues a notice for all known peers.
func (g *Gateway) notifyKnown(n notice) {
	if dropped := g.notices.add(g.knownPeers(), n); dropped > 0 {
		g.logEvent("notices_dropped", "items", dropped)
	}
}

// knownPeers returns the peers that own partitions and those that borrowed tokens here lately.
func (g *Gateway) knownPeers() []string {
	out := append(g.owner.Peers(), g.rates.recentBorrowers(time.Now())...)
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == g.settings.PeerAddress() })
}

// sendNotices sends queued notices until ctx ends.
func (g *Gateway) sendNotices(ctx context.Context) error {
	for {
		select {
		case <-g.notices.wake:
		case <-ctx.Done():
			return nil
		}
		for g.notices.waiting() && ctx.Err() == nil {
			g.sendNoticesOnce(ctx)
			select {
			case <-time.After(noticeInterval):
			case <-ctx.Done():
			}
		}
	}
}

func (g *Gateway) sendNoticesOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var eg errgroup.Group
	for address, n := range g.notices.take() {
		eg.Go(func() error {
			_, err := callPeer[struct{}](ctx, g.peers, address, noticePath, n)
			givenUp, dropped := g.notices.sent(address, n, err)
			if dropped > 0 {
				g.logEvent("notices_dropped", "peer", address, "items", dropped)
			}
			if givenUp {
				g.logEvent("notice_not_delivered", "peer", address, "leaving", len(n.Leaving), "failing", len(n.Failing),
					"crashes", len(n.Crashes), "caps", len(n.Caps), "cause", err)
			}
			return nil
		})
	}
	_ = eg.Wait() // The functions return no errors.
}

// applyNotice applies what a peer learned.
func (g *Gateway) applyNotice(_ context.Context, n notice) (struct{}, error) {
	for _, s := range n.Leaving {
		g.recordLeaving(s.start(), "peer")
	}
	for _, s := range n.Failing {
		g.roster.RecordPeerFailure(s.Instance, s.Incarnation, time.Now())
	}
	for _, c := range n.Caps {
		g.recordRateCap(c.report(time.Now()), "peer")
	}
	if len(n.Crashes) > 0 {
		g.applyCrashes(n.Crashes, "peer")
	}
	return struct{}{}, nil
}

// recordLeaving records that an upstream leaves, and reports whether that is new.
func (g *Gateway) recordLeaving(s roster.Start, source string) bool {
	fresh := g.roster.MarkLeaving(s, time.Now())
	if fresh {
		g.logEvent("upstream_leaving", "upstream", s.Instance, "source", source)
	}
	return fresh
}

// observeLeaving records what an upstream said of itself in an answer, and tells peers.
func (g *Gateway) observeLeaving(s roster.Start) {
	if g.recordLeaving(s, "answer") {
		g.notifyKnown(notice{Leaving: []upstreamStart{upstreamStart(s)}})
	}
}
