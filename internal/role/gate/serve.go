package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/state/turns"
)

const (
	// retrySoon is when a caller may come back after a passing lack of capacity.
	retrySoon = 150 * time.Millisecond
	// noKeyRetry is when a caller may come back to a gateway that knows no configuration yet.
	noKeyRetry = 600 * time.Millisecond
	// answerMargin is how long before the end of a route's timeout an answer is given up, so that the caller hears in
	// time.
	answerMargin = 20 * time.Millisecond
)

// job is a call that was admitted.
type job struct {
	call      *Call
	route     layout.Route
	workspace layout.Workspace
	// version is that of the layout that admitted the call.
	version int64
	// until is when the call must be answered: the caller's deadline or the route's timeout, whichever is earlier.
	until time.Time
	// prints are the fingerprints once they were asked for.
	prints []uint64
}

// Serve answers one call. It returns nil after a whole answer, and otherwise the fault: if Head was called before,
// the answer must be broken off.
func (g *Gate) Serve(ctx context.Context, c *Call, w Reply) *fault.Fault {
	began := time.Now()
	j, f := g.admit(c)
	if f != nil {
		g.finish(c, j, f, began)
		return f
	}
	ctx, cancel := context.WithDeadline(ctx, j.until)
	defer cancel()
	if j.turn() {
		f = g.serveTurn(ctx, j, w)
	} else {
		f = g.paid(ctx, j.workspace, func() *fault.Fault { return g.servePlain(ctx, j, w) })
	}
	g.finish(c, j, f, began)
	return f
}

// turn reports whether the call is a turn of a program.
func (j *job) turn() bool { return j.route.Turns && j.call.Program != "" }

// paid runs a call that takes one request from its workspace's rate, and puts it back if the call did not run.
func (g *Gate) paid(ctx context.Context, w layout.Workspace, run func() *fault.Fault) *fault.Fault {
	if f := g.rates.admit(ctx, w); f != nil {
		return f
	}
	f := run()
	if f != nil && f.Outcome == fault.NotRun {
		g.rates.release(w)
	}
	return f
}

// admit checks route, key and size.
func (g *Gate) admit(c *Call) (*job, *fault.Fault) {
	l := g.layout.Load()
	if l == nil || !g.listed.Load() {
		return nil, g.refuse(fault.Unready, "admit", "no configuration yet").WithRetryAfter(noKeyRetry)
	}
	r, ok := l.Match(c.Host, c.Path)
	if !ok {
		return nil, g.refuse(fault.UnknownRoute, "admit", "no route for host %q and path %q in version %d", c.Host, c.Path, l.Version)
	}
	j := &job{call: c, route: r, version: l.Version}
	j.until = c.Arrived.Add(r.Timeout - answerMargin)
	if !c.Deadline.IsZero() && c.Deadline.Before(j.until) {
		j.until = c.Deadline
	}
	if l.HasKeys() && !r.Open {
		if j.workspace, ok = l.Holder(c.Key); !ok {
			return j, g.refuse(fault.Unauthenticated, "admit", "key is unknown in version %d", l.Version)
		}
	}
	if c.ID == "" {
		return j, g.refuse(fault.InvalidRequest, "admit", "the request has no id")
	}
	for _, id := range []string{c.ID, c.Program} {
		if r := (turns.Ref{Workspace: j.workspace.Name, ID: id}); !r.Fits() {
			return j, g.refuse(fault.InvalidRequest, "admit", "id %.40q... has %d bytes, which are too many", id, len(id))
		}
	}
	if most := int(g.settings.RecordBytes) / 2; r.KeepsHistory && c.Program != "" && len(c.Body) > most {
		return j, g.refuse(fault.BodyTooLarge, "admit", "the turn's input has %d bytes, at most %d can be kept", len(c.Body), most)
	}
	if !time.Now().Before(j.until) {
		return j, g.refuse(fault.Overloaded, "admit", "the deadline has passed")
	}
	return j, nil
}

// refuse returns the fault of a request that did not run.
func (g *Gate) refuse(c fault.Code, step, format string, args ...any) *fault.Fault {
	return fault.New(c, step, g.settings.VM, format, args...)
}

// late returns the fault of a call whose time is over.
func (g *Gate) late(step string, mayHaveRun bool) *fault.Fault {
	if mayHaveRun {
		return g.refuse(fault.UpstreamTimeout, step, "no answer within the time allowed").WithOutcome(fault.Unknown)
	}
	return g.refuse(fault.Overloaded, step, "not started within the time allowed").WithRetryAfter(retrySoon)
}

// service draws the service for a call. Attempts of the same request draw anew.
func (j *job) service() string {
	if len(j.route.Targets) == 1 {
		return j.route.Targets[0].Service
	}
	return j.route.Pick(rand.Float64())
}

// finish logs and counts the outcome of a call.
func (g *Gate) finish(c *Call, j *job, f *fault.Fault, began time.Time) {
	took := time.Since(began)
	route, kind, workspace, version := "", "", "", int64(0)
	if j != nil {
		route, kind, workspace, version = j.route.Name, j.route.Kind.String(), j.workspace.Name, j.version
	}
	g.observe(kind, took, f)
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
