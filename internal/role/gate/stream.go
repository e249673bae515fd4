package gate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/wire/httpc"
)

const (
	// maxStreamBytes bounds the answer to a turn, which is kept in memory until the caller has read it.
	maxStreamBytes = 1 << 20
	// recordOverhead is the space in a turn's record for IDs and lengths.
	recordOverhead = 6 << 10
	// minTimedEvents is the number of events from which a stream's duration is used to measure its engine.
	minTimedEvents = 3
)

// stream passes on an engine's answer. If the turn's history is kept, it reports the end of the turn only once it is
// durable. Again means that the answer broke off and can be resumed at another engine.
func (t *turnExecution) stream(
	ctx context.Context, a *attempts, u roster.Upstream, resp *httpc.Response,
) (again bool, f *fault.Fault) {
	defer resp.Close()
	g := t.gateway
	if err := t.budget.await(ctx); err != nil {
		t.budget.end(t.deliveredTokens())
		g.recordFailure(ctx, a, u, roster.Abandoned, err)
		return false, g.refuse(fault.UpstreamFailed, "budget", "%v", err).WithOutcome(fault.Ran)
	}
	if !t.headSent && t.Resumable && resp.Status >= http.StatusInternalServerError && a.remaining() && ctx.Err() == nil {
		a.lastErr = errors.Newf("upstream %s answered %d", u.Instance, resp.Status)
		g.recordAnswer(a, u, resp.Status)
		return true, nil
	}
	if t.headSent && resp.Status != http.StatusOK {
		g.recordBroken(ctx, a, u, errors.Newf("resuming the stream failed with status %d", resp.Status))
		return true, nil
	}
	if err := t.head(u, resp); err != nil {
		return false, t.abandon(u, err)
	}
	from, began := t.scan.EventCount(), time.Now()
	err := t.body(resp)
	t.recordEventLatency(u, t.scan.EventCount()-from, time.Since(began), err == nil)
	var gone *callerGoneError
	switch {
	case err == nil:
	case errors.As(err, &gone):
		return false, t.abandon(u, gone.cause)
	default:
		g.recordEnd(ctx, a, u, err)
		if t.resume(ctx, a) {
			return true, nil
		}
		t.budget.end(t.deliveredTokens())
		return false, g.refuse(fault.UpstreamFailed, "stream", "after %d events: %v", t.scan.EventCount(), err).
			WithOutcome(fault.Ran)
	}
	g.recordAnswer(a, u, resp.Status)
	g.rememberEngine(t.turnRequest, u.Instance)
	return false, t.finish(ctx, resp.Status)
}

// recordEnd records an answer that broke off, or that this process cut off for lack of memory, which is no sign of a crash.
func (g *Gateway) recordEnd(ctx context.Context, a *attempts, u roster.Upstream, err error) {
	if !errors.Is(err, ErrAnswerMemory) {
		g.recordBroken(ctx, a, u, err)
		return
	}
	a.lastErr = err
	g.recordFailure(ctx, a, u, roster.Broken, err)
}

// recordEventLatency records the average time between an engine's events. The first event arrives with the start of the
// answer and is not counted.
func (t *turnExecution) recordEventLatency(u roster.Upstream, events int64, took time.Duration, whole bool) {
	if events < minTimedEvents {
		return
	}
	interval := took / time.Duration(events-1)
	t.gateway.recordLatency(u, t.Service, interval, whole)
	t.gateway.learnTime(u, "event/"+t.Service, interval, whole)
}

// head passes on the first engine's headers; engines that resume the stream contribute only their bodies.
func (t *turnExecution) head(u roster.Upstream, resp *httpc.Response) error {
	if t.headSent {
		return nil
	}
	t.headSent = true
	part := answerPart{Status: resp.Status, Header: t.gateway.codec.ResponseHeaders(resp.Header)}
	info := t.gateway.codec.ParseResponse(resp.Status, resp.Header)
	if info.Leaving {
		leaving := upstreamStart(u.Start())
		part.Leaving = &leaving
	}
	if info.RateCap.InForce {
		part.Cap = t.gateway.knownCap(u.Instance, time.Now())
	}
	return t.out(part)
}

// maxAnswerBytes returns how many bytes the answer may have.
func (t *turnExecution) maxAnswerBytes() int {
	if !t.KeepsHistory {
		return maxStreamBytes
	}
	return min(maxStreamBytes, int(t.gateway.settings.RecordBytes)-recordOverhead-len(t.Call.Body))
}

// callerGoneError means that the answer could not be passed on.
type callerGoneError struct{ cause error }

func (e *callerGoneError) Error() string { return "the caller disconnected: " + e.cause.Error() }

// body passes on an answer's body until its end, where possible as it arrives.
func (t *turnExecution) body(resp *httpc.Response) error {
	buf := make([]byte, 16<<10)
	left := t.maxAnswerBytes()
	for {
		n, err := resp.Body.Read(buf)
		if left -= n; left < 0 {
			return errors.Newf("the answer has more than %d bytes", t.maxAnswerBytes())
		}
		if err := t.held.Add(n); err != nil {
			return err
		}
		if werr := t.forward(buf[:n], err == io.EOF); werr != nil {
			return &callerGoneError{werr}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// forward passes on bytes of the body. For a resumable stream, it holds back those of an incomplete event.
func (t *turnExecution) forward(b []byte, last bool) error {
	whole := t.scan.Write(b)
	if last || !t.Resumable {
		whole = len(b)
	}
	if whole == 0 && !last {
		t.partialEvent = append(t.partialEvent, b...)
		return nil
	}
	out := append(t.partialEvent, b[:whole]...)
	t.partialEvent = slices.Clone(b[whole:])
	if len(out) == 0 {
		return nil
	}
	return t.out(answerPart{Body: out})
}

// resume reports whether the interrupted stream can be resumed at another engine, and prepares for that.
func (t *turnExecution) resume(ctx context.Context, a *attempts) bool {
	if !t.Resumable || !a.remaining() || ctx.Err() != nil || (t.scan.EventCount() > 0 && t.scan.LastEventID() == "") {
		return false
	}
	t.scan.DiscardPartial()
	t.partialEvent = nil
	if id := t.scan.LastEventID(); id != "" {
		a.resumeAfter = id
	}
	return true
}

// deliveredTokens returns the number of tokens passed on. An incomplete event counts in full, since part of it may have
// been delivered.
func (t *turnExecution) deliveredTokens() int64 {
	n := t.scan.EventCount()
	if !t.scan.AtBoundary() {
		n++
	}
	return n * t.EventTokens
}

func (t *turnExecution) abandon(u roster.Upstream, err error) *fault.Fault {
	t.budget.end(t.deliveredTokens())
	t.gateway.roster.Done(u.Instance, roster.Abandoned, time.Now())
	return t.gateway.callerGone(err)
}
