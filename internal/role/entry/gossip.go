package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/wire/ctlpb"
)

const (
	gossipInterval = time.Second
	// gossipAfter is the time without an answer from the log after which settings are fetched from peers.
	gossipAfter = 3 * time.Second
)

// settingsPeer is the part of the control clients that catchUp needs.
type settingsPeer interface {
	Sync(ctx context.Context, r *ctlpb.SyncRequest) (*ctlpb.SyncResponse, error)
}

// catchUp fetches newer settings from a peer in the background.
func (e *Entry) catchUp(from settingsPeer) {
	e.group.Go(func(ctx context.Context) error {
		_ = peers.FetchSettings(ctx, from, e.store)
		return nil
	})
}

// gossip fetches newer settings from a random entry while the log does not answer, until ctx is done.
func (e *Entry) gossip(ctx context.Context) error {
	for {
		select {
		case <-time.After(gossipInterval):
		case <-ctx.Done():
			return nil
		}
		if e.follower.SinceLogRead() < gossipAfter {
			continue
		}
		if v, ok := e.randomEntry(); ok {
			_ = peers.FetchSettings(ctx, e.clients.Entry(v.Address), e.store)
		}
	}
}

func (e *Entry) randomEntry() (peers.VM, bool) {
	var others []peers.VM
	for _, v := range e.list.All(peers.RoleEntry) {
		if v.Name != e.vm {
			others = append(others, v)
		}
	}
	if len(others) == 0 {
		return peers.VM{}, false
	}
	return others[rand.IntN(len(others))], true
}
