package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/sched/permit"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/wire/httpc"
)

const (
	// maxBufferedAnswer is the size up to which an answer is read in full before it is passed on, so that an incomplete
	// one can be replaced by a retry.
	maxBufferedAnswer = 256 << 10
	// maxUnreachable bounds the upstreams that one call may fail to connect to; these don't count as attempts.
	maxUnreachable = 4
)

// attempts tracks the state of one call across its attempts.
type attempts struct {
	*job
	service  string
	excluded []string
	// sent counts the upstreams that the call was sent to, unreachable those that could not be connected to.
	sent, unreachable int
	// mayHaveRun means that an upstream may have started to run the call.
	mayHaveRun bool
	lastErr    error
	// local says that the call is a turn that this process runs although it is not the home of its program.
	local bool
	// resumeAfter is the ID of the last event that was passed on of a resumable stream.
	resumeAfter string
	// permit is the permit for the present attempt; nil if its upstream needs none.
	permit *permit.Permit
	// wantsPermit means that the call would have been sent to a cold upstream with a permit, permitDue is how long it takes
	// until one may be asked for.
	wantsPermit bool
	permitDue   time.Duration
	// uncappedAt is when the head of the present attempt's answer arrived, if it states no rate cap; else zero.
	uncappedAt time.Time
}

// repeatable reports whether the call may be sent to another upstream although one may have run it.
func (a *attempts) repeatable() bool { return a.route.Kind == layout.Idempotent || a.route.Resumable }

func (a *attempts) remaining() bool {
	return a.sent < a.route.MaxAttempts && a.unreachable < maxUnreachable
}

// serveSingle sends a call that is not a turn to an upstream of its service, with retries where they are safe.
func (g *Gateway) serveSingle(ctx context.Context, j *job, w Reply) *fault.Fault {
	if f := g.checkQuarantine(j); f != nil {
		return f
	}
	a := &attempts{job: j, service: j.service()}
	if j.route.Resumable {
		a.resumeAfter = j.call.Turn.ResumeAfter
	}
	g.slowRetries.budget.RecordRequest()
	for a.remaining() && ctx.Err() == nil {
		if !a.mayHaveRun && !g.shutdown.Allows(a.deadline) {
			return g.stopFault("dispatch")
		}
		u, ok := g.pickOrWait(ctx, a, "", 0)
		if !ok {
			break
		}
		done, f := g.trySingle(ctx, a, u, w)
		if done {
			return f
		}
		if a.mayHaveRun && !a.repeatable() {
			break
		}
	}
	return g.finalFault(ctx, a)
}

// criteria returns the criteria for the next attempt, which exclude the upstreams that have been tried.
func (g *Gateway) criteria(a *attempts, cached string, bonus float64) roster.Criteria {
	w := roster.Criteria{
		Service: a.service, DataCentre: g.settings.DataCentre, CachedOn: cached, CacheBonus: bonus, Exclude: a.excluded,
		StayLocal: a.local, SparseReports: a.local,
		Allows: g.dataCentreFilter(a.regions), Typical: g.typicalTime(a), Distances: g.knownDistances(),
	}
	if a.route.Sticky {
		w.Affinity = a.call.Affinity
	}
	if parts := a.call.Turn.Parts; len(parts) > 1 {
		w.SharedPrefix, w.SharedPrefixTokens = parts[0].ID, parts[0].Tokens
	}
	return w
}

// pick chooses an upstream for the next attempt. It prefers upstreams that have not been tried.
func (g *Gateway) pick(a *attempts, cached string, bonus float64) (roster.Upstream, bool) {
	w := g.criteria(a, cached, bonus)
	u, ok := g.pickUpstream(a, w)
	if !ok && len(a.excluded) > 0 && a.sent < a.route.MaxAttempts {
		w.Exclude = nil
		u, ok = g.pickUpstream(a, w)
	}
	if ok {
		a.excluded = append(a.excluded, u.Instance)
	}
	return u, ok
}

// finalFault returns the fault of a call after its last attempt.
func (g *Gateway) finalFault(ctx context.Context, a *attempts) *fault.Fault {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return g.timeoutFault("dispatch", a.mayHaveRun)
	case errors.Is(context.Cause(ctx), serve.ErrShutdown) && a.mayHaveRun:
		return g.refuse(fault.UpstreamTimeout, "dispatch", "no answer before the gateway stopped").WithOutcome(fault.Unknown)
	case errors.Is(context.Cause(ctx), serve.ErrShutdown):
		return g.stopFault("dispatch")
	case a.mayHaveRun:
		return g.refuse(fault.UpstreamFailed, "dispatch", "%d upstreams of %q tried: %v", a.sent, a.service, a.lastErr).WithOutcome(fault.Unknown)
	}
	return g.refuse(fault.NoUpstream, "dispatch", "no upstream of %q%s accepted the request (%d sent, %d unreachable): %v",
		a.service, inRegions(a.regions), a.sent, a.unreachable, a.lastErr).WithRetryAfter(max(shortRetry, a.permitDue))
}

// trySingle sends the call to one upstream. Done means that the caller has received an answer or part of one.
func (g *Gateway) trySingle(ctx context.Context, a *attempts, u roster.Upstream, w Reply) (done bool, f *fault.Fault) {
	began := time.Now()
	ctx, cancel, arrived := g.withSlowTimeout(ctx, a)
	defer cancel()
	resp, ok := g.send(ctx, a, u, a.call.Body, -1)
	arrived()
	if !ok {
		if a.mayHaveRun {
			g.recordLatency(u, a.route.Name, time.Since(began), false)
			g.learnCall(u, a.route.Name, time.Since(began), false)
		}
		return false, nil
	}
	defer resp.Close()
	if a.route.Kind == layout.Streaming {
		w.Head(resp.Status, g.codec.ResponseHeaders(resp.Header), -1)
		return true, g.relay(ctx, a, u, w, resp.Status, resp.Body)
	}
	held := g.HoldAnswer()
	defer held.Release()
	buffered, whole, err := readAnswer(resp.Body, held)
	if err != nil {
		g.recordBroken(ctx, a, u, err)
		return false, nil
	}
	h := g.codec.ResponseHeaders(resp.Header)
	if whole {
		g.recordAnswer(a, u, resp.Status)
		g.recordLatency(u, a.route.Name, time.Since(began), true)
		g.learnCall(u, a.route.Name, time.Since(began), true)
		w.Head(resp.Status, h, int64(len(buffered)))
		if err := w.Write(buffered); err != nil {
			return true, g.callerGone(err)
		}
		return true, nil
	}
	w.Head(resp.Status, h, -1)
	return true, g.relay(ctx, a, u, w, resp.Status, io.MultiReader(bytes.NewReader(buffered), resp.Body))
}

// relay copies an answer to the caller as it arrives.
func (g *Gateway) relay(
	ctx context.Context, a *attempts, u roster.Upstream, w Reply, status int, r io.Reader,
) *fault.Fault {
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
			g.recordAnswer(a, u, status)
			return nil
		}
		if err != nil {
			g.recordBroken(ctx, a, u, err)
			return g.refuse(fault.UpstreamFailed, "relay", "%v", err).WithOutcome(fault.Unknown)
		}
	}
}

func (g *Gateway) callerGone(err error) *fault.Fault {
	return g.refuse(fault.PeerUnreachable, "answer", "the caller disconnected: %v", err).WithOutcome(fault.Ran)
}

// send sends the call to one upstream and returns the response if the upstream ran the call. A response with a status
// below 400 must be signed. If send returns false, it has already recorded the reason.
func (g *Gateway) send(
	ctx context.Context, a *attempts, u roster.Upstream, body []byte, priority int,
) (*httpc.Response, bool) {
	d := UpstreamParams{
		Instance: u.Instance, Workspace: a.workspace.Name, Timeout: time.Until(g.shutdown.Limit(a.deadline)),
		Priority: priority, ResumeAfter: a.resumeAfter,
	}
	q := &httpc.Request{
		ID: a.call.ID, Method: a.call.Method, Target: a.call.Target, Host: a.call.Host,
		Header: g.codec.RequestHeaders(a.call, d), Body: body, Check: func() error { return g.checkSend(a, u) },
	}
	resp, err := g.pool.Do(ctx, u.Address, q, g.codec.ResponseID)
	if errors.Is(err, httpc.ErrUnsent) {
		a.unreachable++
		a.lastErr = err
		g.recordFailure(ctx, a, u, unsentOutcome(err), err)
		return nil, false
	}
	a.sent++
	g.countSent(u)
	if err != nil {
		g.recordBroken(ctx, a, u, err)
		return nil, false
	}
	info := g.codec.ParseResponse(resp.Status, resp.Header)
	if info.HasLoad {
		g.roster.RecordLoad(u.Instance, info.Load, time.Now())
	}
	if info.Leaving {
		g.observeLeaving(u.Start())
	}
	g.observeRateCap(a, u, info)
	if info.NotExecuted || info.Misdirected {
		o := roster.Rejected
		if info.Misdirected {
			o = roster.Misdirected
		}
		resp.Discard()
		a.lastErr = errors.Newf("upstream %s answered %d without running the request", u.Instance, resp.Status)
		g.recordFailure(ctx, a, u, o, a.lastErr)
		return nil, false
	}
	a.mayHaveRun = true
	if !info.Signed && resp.Status < http.StatusBadRequest {
		resp.Close()
		g.recordBroken(ctx, a, u, errors.Newf("answer with status %d has no signature", resp.Status))
		return nil, false
	}
	resp.Body = g.newAnswerBody(a, u, resp)
	return resp, true
}

// recordBroken records that an upstream may have run the call but sent no complete response.
func (g *Gateway) recordBroken(ctx context.Context, a *attempts, u roster.Upstream, err error) {
	a.mayHaveRun, a.lastErr = true, err
	g.investigateCrash(ctx, a.job, u)
	g.recordFailure(ctx, a, u, roster.Broken, err)
}

// recordFailure updates the roster and logs an attempt that produced no answer.
func (g *Gateway) recordFailure(ctx context.Context, a *attempts, u roster.Upstream, o roster.Outcome, err error) {
	if ctx.Err() != nil {
		o = roster.Abandoned
	}
	g.finishExchange(u, o)
	g.logEvent("try_failed", "request", a.call.ID, "upstream", u.Instance, "address", u.Address, "sent", a.sent,
		"may_have_run", a.mayHaveRun, "abandoned", o == roster.Abandoned, "fingerprint", hex(a.fingerprints()[0]), "cause", err)
}

// recordAnswer records that the upstream's complete answer has arrived.
func (g *Gateway) recordAnswer(a *attempts, u roster.Upstream, status int) {
	g.liftRateCap(a, u)
	g.clearCrashes(a.job, u, status)
	o := roster.Answered
	if status >= http.StatusInternalServerError {
		o = roster.Failed
	}
	g.finishExchange(u, o)
}
