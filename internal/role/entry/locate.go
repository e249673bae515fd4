package entry

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/sched/member"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/ctlpb"
	"galenaward.example/galenaward/internal/wire/peer"
)

// suspectFlushTimeout bounds how long a takeover waits for sidecars that do not count as alive.
const suspectFlushTimeout = 300 * time.Millisecond

// locate returns the sidecar to which requests for the tree are sent. Before a takeover, it asks sidecars that do not
// count as alive to append the records that they hold: they may only be out of touch with this entry, and records that
// reach the log after the takeover have no effect.
func (e *Entry) locate(ctx context.Context, root, first string) (homeTarget, bool) {
	t, ok := e.nodes.Home(root, first)
	if ok && t.location.Suspect != "" {
		e.flushSuspects(ctx, root, t.location)
	}
	return t, ok
}

func (e *Entry) flushSuspects(ctx context.Context, root string, l peer.Location) {
	ctx, cancel := context.WithTimeout(ctx, suspectFlushTimeout)
	defer cancel()
	var g errgroup.Group
	for _, n := range e.nodes.suspectedStandbys(l) {
		g.Go(func() error {
			_, err := e.clients.SidecarInstance(n.Address, n.Instance).Flush(ctx, &ctlpb.FlushRequest{Program: root})
			if err != nil {
				telem.Debug(e.logger, "suspect_not_flushed", "program", root, "instance", n.Instance, "cause", err)
			}
			return nil
		})
	}
	_ = g.Wait() // The functions return no errors.
}

// suspectedStandbys returns the known sidecars that may hold records for the suspect and that its successor does not ask:
// those that do not count as alive, and those that are leaving.
func (n *nodes) suspectedStandbys(l peer.Location) []member.Node {
	vm := prog.VMOf(l.Suspect)
	out := n.members.Load().All(func(o member.Node) bool {
		return o.Service == "" && o.VM != vm && !slices.Contains(l.EarlierStandbys, o.Address)
	})
	return out[:min(len(out), maxStandbys)]
}
