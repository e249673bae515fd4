package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/wire/httpc"
)

const (
	// heldBytes is the size up to which an answer is read whole before it is passed on, so that a broken one can be
	// replaced.
	heldBytes = 256 << 10
	// maxUnsent bounds the upstreams that one call may fail to reach; these tries cost no attempt.
	maxUnsent = 4
)

// attempts is the state of one call over its tries.
type attempts struct {
	*job
	service string
	skip    []string
	// sent is the number of upstreams that the call was sent to, unsent the number that could not be reached.
	sent, unsent int
	// ran says that an upstream may have begun to run the call.
	ran  bool
	last error
	// resumeAfter is the id of the last event that was passed on of a stream that may go on at another upstream.
	resumeAfter string
}

// repeatable reports whether the call may be sent to another upstream although one may have run it.
func (a *attempts) repeatable() bool { return a.route.Kind == layout.Idempotent || a.route.Resumable }

func (a *attempts) more() bool { return a.sent < a.route.MaxAttempts && a.unsent < maxUnsent }

// servePlain sends a call to an upstream of its service and repeats what may be repeated.
func (g *Gate) servePlain(ctx context.Context, j *job, w Reply) *fault.Fault {
	if f := g.quarantine(j); f != nil {
		return f
	}
	a := &attempts{job: j, service: j.service()}
	if j.route.Resumable {
		a.resumeAfter = j.call.Turn.ResumeAfter
	}
	g.mover.budget.Request()
	for a.more() && ctx.Err() == nil {
		u, ok := g.pick(a, "", 0)
		if !ok {
			break
		}
		done, f := g.tryPlain(ctx, a, u, w)
		if done {
			return f
		}
		if a.ran && !a.repeatable() {
			break
		}
	}
	return g.giveUp(ctx, a)
}

// pick chooses an upstream for the next try.
func (g *Gate) pick(a *attempts, warm string, bonus float64) (roster.Upstream, bool) {
	w := roster.Want{
		Service: a.service, DataCentre: g.settings.DataCentre, Warm: warm, WarmBonus: bonus, Skip: a.skip,
	}
	if parts := a.call.Turn.Parts; len(parts) > 1 {
		w.Shared, w.SharedTokens = parts[0].ID, parts[0].Tokens
	}
	u, ok := g.roster.Pick(w, time.Now())
	if !ok && len(a.skip) > 0 && a.sent < a.route.MaxAttempts {
		w.Skip = nil
		u, ok = g.roster.Pick(w, time.Now())
	}
	if ok {
		a.skip = append(a.skip, u.Instance)
	}
	return u, ok
}

// giveUp returns the final fault of a call.
func (g *Gate) giveUp(ctx context.Context, a *attempts) *fault.Fault {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return g.late("dispatch", a.ran)
	case a.ran:
		return g.refuse(fault.UpstreamFailed, "dispatch", "%d upstreams of %q tried: %v", a.sent, a.service, a.last).WithOutcome(fault.Unknown)
	}
	return g.refuse(fault.NoUpstream, "dispatch", "no upstream of %q took the request (%d sent, %d unreachable): %v",
		a.service, a.sent, a.unsent, a.last).WithRetryAfter(retrySoon)
}

// tryPlain sends the call to one upstream. Done means that the caller has its answer, or part of it.
func (g *Gate) tryPlain(ctx context.Context, a *attempts, u roster.Upstream, w Reply) (done bool, f *fault.Fault) {
	began := time.Now()
	ctx, cancel, arrived := g.waiting(ctx, a)
	defer cancel()
	ans, ok := g.exchange(ctx, a, u, a.call.Body, -1)
	arrived()
	if !ok {
		if a.ran {
			g.timed(u, a.route.Name, time.Since(began), false)
		}
		return false, nil
	}
	defer ans.Close()
	if a.route.Kind == layout.Streaming {
		w.Head(ans.Status, g.codec.Backward(ans.Header), -1)
		return true, g.passOn(ctx, a, u, w, ans.Status, ans.Body)
	}
	head, err := io.ReadAll(io.LimitReader(ans.Body, heldBytes))
	if err != nil {
		g.broken(ctx, a, u, err)
		return false, nil
	}
	h := g.codec.Backward(ans.Header)
	if len(head) < heldBytes {
		g.ended(a.job, u, ans.Status)
		g.timed(u, a.route.Name, time.Since(began), true)
		w.Head(ans.Status, h, int64(len(head)))
		if err := w.Write(head); err != nil {
			return true, g.callerGone(err)
		}
		return true, nil
	}
	w.Head(ans.Status, h, -1)
	return true, g.passOn(ctx, a, u, w, ans.Status, io.MultiReader(bytes.NewReader(head), ans.Body))
}

// passOn copies a long answer as it arrives.
func (g *Gate) passOn(ctx context.Context, a *attempts, u roster.Upstream, w Reply, status int, r io.Reader) *fault.Fault {
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if werr := w.Write(buf[:n]); werr != nil {
				g.roster.Done(u.Instance, roster.Abandoned, time.Now())
				return g.callerGone(werr)
			}
		}
		if err == io.EOF {
			g.ended(a.job, u, status)
			return nil
		}
		if err != nil {
			g.broken(ctx, a, u, err)
			return g.refuse(fault.UpstreamFailed, "relay", "%v", err).WithOutcome(fault.Unknown)
		}
	}
}

func (g *Gate) callerGone(err error) *fault.Fault {
	return g.refuse(fault.PeerUnreachable, "answer", "the caller is gone: %v", err).WithOutcome(fault.Ran)
}

// exchange sends the call to one upstream and returns the head of an answer that counts. Otherwise it has noted why
// not.
func (g *Gate) exchange(ctx context.Context, a *attempts, u roster.Upstream, body []byte, urgency int) (*httpc.Answer, bool) {
	d := Dispatch{Instance: u.Instance, Workspace: a.workspace.Name, Left: time.Until(a.until), Urgency: urgency, ResumeAfter: a.resumeAfter}
	q := &httpc.Request{
		Method: a.call.Method, Target: a.call.Target, Host: a.call.Host, Header: g.codec.Forward(a.call, d), Body: body,
	}
	ans, err := g.pool.Do(ctx, u.Address, q, func(h http.Header) bool { return g.codec.Answers(h, a.call.ID) })
	if errors.Is(err, httpc.ErrUnsent) {
		a.unsent++
		a.last = err
		g.outcome(ctx, a, u, roster.Unreachable, err)
		return nil, false
	}
	a.sent++
	if err != nil {
		g.broken(ctx, a, u, err)
		return nil, false
	}
	v := g.codec.Verdict(ans.Status, ans.Header)
	if v.HasLoad {
		g.roster.Heard(u.Instance, v.Load, time.Now())
	}
	if v.Leaving && g.roster.Leaving(u.Instance, time.Now()) {
		g.note("upstream_leaving", "upstream", u.Instance, "address", u.Address, "request", a.call.ID)
	}
	if v.NotRun || v.Misdirected {
		o := roster.Rejected
		if v.Misdirected {
			o = roster.Misdirected
		}
		ans.Discard()
		a.last = errors.Newf("upstream %s answered %d without running the request", u.Instance, ans.Status)
		g.outcome(ctx, a, u, o, a.last)
		return nil, false
	}
	a.ran = true
	if !v.Signed && ans.Status < http.StatusBadRequest {
		ans.Close()
		g.broken(ctx, a, u, errors.Newf("answer with status %d has no signature", ans.Status))
		return nil, false
	}
	return ans, true
}

// broken notes that an upstream may have run the call and gave no whole answer.
func (g *Gate) broken(ctx context.Context, a *attempts, u roster.Upstream, err error) {
	a.ran, a.last = true, err
	g.suspect(ctx, a.job, u)
	g.outcome(ctx, a, u, roster.Broken, err)
}

// outcome tells the roster and the log how a try ended that brought no answer.
func (g *Gate) outcome(ctx context.Context, a *attempts, u roster.Upstream, o roster.Outcome, err error) {
	if ctx.Err() != nil {
		o = roster.Abandoned
	}
	g.done(u, o)
	g.note("try_failed", "request", a.call.ID, "upstream", u.Instance, "address", u.Address, "sent", a.sent,
		"may_have_run", a.ran, "abandoned", o == roster.Abandoned, "fingerprint", hex(a.fingerprints()[0]), "cause", err)
}

// ended notes that the upstream's whole answer arrived.
func (g *Gate) ended(j *job, u roster.Upstream, status int) {
	g.cleared(j, u, status)
	o := roster.Answered
	if status >= http.StatusInternalServerError {
		o = roster.Failed
	}
	g.done(u, o)
}
