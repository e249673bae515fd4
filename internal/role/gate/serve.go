package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/state/turns"
)

const (
	// shortRetry is when a caller may retry after a temporary lack of capacity.
	shortRetry = 150 * time.Millisecond
	// notReadyRetry is when a caller may retry at a gateway that has no configuration yet.
	notReadyRetry = 600 * time.Millisecond
	// answerMargin is subtracted from the route's timeout so that the caller receives a timeout fault before its own
	// time is over.
	answerMargin = 20 * time.Millisecond
)

// job is a call that was admitted.
type job struct {
	call      *Call
	route     layout.Route
	workspace layout.Workspace
	// version is the version of the layout that admitted the call.
	version int64
	// deadline is when the call must be answered: the caller's deadline or the route's timeout, whichever is earlier.
	deadline time.Time
	// regions are those whose upstreams may run the call.
	regions layout.RegionSet
	// fingerprintCache holds the fingerprints once they have been computed.
	fingerprintCache []uint64
}

// Serve answers one call. It returns nil after a complete answer and a fault otherwise. If Head was already called, the
// response must be aborted.
func (g *Gateway) Serve(ctx context.Context, c *Call, w Reply) *fault.Fault {
	began := time.Now()
	j, f := g.admit(c)
	if f != nil {
		g.finish(c, j, f, began)
		return f
	}
	ctx, release := g.shutdown.WithEnd(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	switch {
	case j.isTurn() && g.runsLocally(j):
		f = g.serveLocalTurn(ctx, j, w)
	case j.isTurn():
		f = g.serveTurn(ctx, j, w)
	default:
		f = g.withRateToken(ctx, j.workspace, func() *fault.Fault { return g.serveSingle(ctx, j, w) })
	}
	g.finish(c, j, f, began)
	return f
}

// isTurn reports whether the call is a turn of a program.
func (j *job) isTurn() bool { return j.route.HasTurns && j.call.Program != "" }

// withRateToken takes one request from the workspace's rate, runs the call, and returns the token if the call did not
// run.
func (g *Gateway) withRateToken(ctx context.Context, w layout.Workspace, run func() *fault.Fault) *fault.Fault {
	if f := g.rates.admit(ctx, w); f != nil {
		if errors.Is(context.Cause(ctx), serve.ErrShutdown) {
			return g.stopFault("rate")
		}
		return f
	}
	f := run()
	if f != nil && f.Outcome == fault.NotRun {
		g.rates.release(w)
	}
	return f
}

// admit checks route, key and size.
func (g *Gateway) admit(c *Call) (*job, *fault.Fault) {
	l := g.layout.Load()
	if l == nil || !g.listed.Load() {
		return nil, g.refuse(fault.Unready, "admit", "no configuration yet").WithRetryAfter(notReadyRetry)
	}
	r, ok := l.Match(c.Host, c.Path)
	if !ok {
		return nil, g.refuse(fault.UnknownRoute, "admit", "no route for host %q and path %q in version %d", c.Host, c.Path, l.Version)
	}
	j := &job{call: c, route: r, version: l.Version}
	j.deadline = c.Arrived.Add(r.Timeout - answerMargin)
	if !c.Deadline.IsZero() && c.Deadline.Before(j.deadline) {
		j.deadline = c.Deadline
	}
	if l.RequiresKeys() && !r.Public {
		if j.workspace, ok = l.WorkspaceByKey(c.Key); !ok {
			return j, g.refuse(fault.Unauthenticated, "admit", "key is unknown in version %d", l.Version)
		}
	}
	j.regions = r.AllowedRegions.Intersect(j.workspace.AllowedRegions)
	if c.ID == "" {
		return j, g.refuse(fault.InvalidRequest, "admit", "the request has no id")
	}
	for _, id := range []string{c.ID, c.Program} {
		if r := (turns.Ref{Workspace: j.workspace.Name, ID: id}); !r.FitsKey() {
			return j, g.refuse(fault.InvalidRequest, "admit", "id %.40q... is too long: %d bytes", id, len(id))
		}
	}
	if limit := int(g.settings.RecordBytes) / 2; r.KeepsHistory && c.Program != "" && len(c.Body) > limit {
		return j, g.refuse(fault.BodyTooLarge, "admit", "the turn's input has %d bytes, the limit is %d", len(c.Body), limit)
	}
	if !time.Now().Before(j.deadline) {
		return j, g.refuse(fault.Overloaded, "admit", "the deadline has passed")
	}
	if g.shutdown.Closed() || !g.shutdown.Allows(j.deadline) {
		return j, g.stopFault("admit")
	}
	return j, nil
}

// refuse returns the fault of a request that did not run.
func (g *Gateway) refuse(c fault.Code, step, format string, args ...any) *fault.Fault {
	return fault.New(c, step, g.settings.VM, format, args...)
}

// timeoutFault returns the fault of a call whose deadline has passed.
func (g *Gateway) timeoutFault(step string, mayHaveRun bool) *fault.Fault {
	if mayHaveRun {
		return g.refuse(fault.UpstreamTimeout, step, "no answer within the time allowed").WithOutcome(fault.Unknown)
	}
	return g.refuse(fault.Overloaded, step, "not started within the time allowed").WithRetryAfter(shortRetry)
}

// service picks a service among the route's targets. Each attempt of the same request picks again.
func (j *job) service() string {
	if len(j.route.Targets) == 1 {
		return j.route.Targets[0].Service
	}
	return j.route.PickService(rand.Float64())
}

// finish logs and counts the outcome of a call.
func (g *Gateway) finish(c *Call, j *job, f *fault.Fault, began time.Time) {
	took := time.Since(began)
	route, kind, workspace, version := "", "", "", int64(0)
	if j != nil {
		route, kind, workspace, version = j.route.Name, j.route.Kind.String(), j.workspace.Name, j.version
	}
	g.recordMetrics(kind, took, f)
	kv := []any{"request", c.ID, "route", route, "workspace", workspace, "settings", version, "ms", took.Milliseconds()}
	if c.Program != "" {
		kv = append(kv, "program", c.Program)
	}
	if f == nil {
		g.logAnswered(kv)
		return
	}
	g.logFailed(append(kv, "code", f.Code, "step", f.Step, "peer", f.Peer, "outcome", f.Outcome, "retry_after_ms", f.RetryAfterMS, "cause", f.Message))
}
