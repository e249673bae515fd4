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
	// streamBytes bounds the answer to a turn, which is kept until the caller has read it.
	streamBytes = 1 << 20
	// recordMargin is the room in a turn's record for its names and lengths.
	recordMargin = 4 << 10
	// leastTimed is the number of events from which on a stream tells how fast its engine is.
	leastTimed = 3
)

// stream passes an engine's answer on. The end of a turn whose history is kept is told once it is durable. Again means
// that the answer broke off and may go on at another engine.
func (t *turnRun) stream(ctx context.Context, a *attempts, u roster.Upstream, ans *httpc.Answer) (again bool, f *fault.Fault) {
	defer ans.Close()
	g := t.gate
	if err := t.part.Await(ctx, t.begun.Ticket); err != nil {
		t.part.End(t.begun, t.tokens())
		g.outcome(ctx, a, u, roster.Abandoned, err)
		return false, g.refuse(fault.UpstreamFailed, "budget", "%v", err).WithOutcome(fault.Ran)
	}
	if !t.headed && t.Resumable && ans.Status >= http.StatusInternalServerError && a.more() && ctx.Err() == nil {
		a.last = errors.Newf("upstream %s answered %d", u.Instance, ans.Status)
		g.ended(a.job, u, ans.Status)
		return true, nil
	}
	if t.headed && ans.Status != http.StatusOK {
		g.broken(ctx, a, u, errors.Newf("status %d in place of the rest of a stream", ans.Status))
		return true, nil
	}
	if err := t.head(ans); err != nil {
		return false, t.abandon(u, err)
	}
	from, began := t.scan.Count(), time.Now()
	err := t.body(ans)
	t.timed(u, t.scan.Count()-from, time.Since(began), err == nil)
	var gone *goneError
	switch {
	case err == nil:
	case errors.As(err, &gone):
		return false, t.abandon(u, gone.cause)
	default:
		g.broken(ctx, a, u, err)
		if t.resume(ctx, a) {
			return true, nil
		}
		t.part.End(t.begun, t.tokens())
		return false, g.refuse(fault.UpstreamFailed, "stream", "after %d events: %v", t.scan.Count(), err).WithOutcome(fault.Ran)
	}
	g.ended(a.job, u, ans.Status)
	g.warmed(t.turnRequest, u.Instance)
	return false, t.finish(ctx, ans.Status)
}

// timed notes how long an engine took for its events. The first one is there when the answer begins.
func (t *turnRun) timed(u roster.Upstream, events int64, took time.Duration, whole bool) {
	if events < leastTimed {
		return
	}
	t.gate.timed(u, t.Service, took/time.Duration(events-1), whole)
}

// head passes the first engine's head on; later engines only go on with its body.
func (t *turnRun) head(ans *httpc.Answer) error {
	if t.headed {
		return nil
	}
	t.headed = true
	return t.out(part{Status: ans.Status, Header: t.gate.codec.Backward(ans.Header)})
}

// room returns how many bytes the answer may have.
func (t *turnRun) room() int {
	if !t.KeepsHistory {
		return streamBytes
	}
	return min(streamBytes, int(t.gate.settings.RecordBytes)-recordMargin-len(t.Call.Body))
}

// goneError means that the answer could not be passed on.
type goneError struct{ cause error }

func (e *goneError) Error() string { return "the caller is gone: " + e.cause.Error() }

// body passes an answer's body on until its end, as far as possible byte for byte as it arrives.
func (t *turnRun) body(ans *httpc.Answer) error {
	buf := make([]byte, 16<<10)
	left := t.room()
	for {
		n, err := ans.Body.Read(buf)
		if left -= n; left < 0 {
			return errors.Newf("the answer has more than %d bytes", t.room())
		}
		if werr := t.pass(buf[:n], err == io.EOF); werr != nil {
			return &goneError{werr}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// pass hands bytes out. Those of a stream that may go on elsewhere are held back until their event is whole.
func (t *turnRun) pass(b []byte, last bool) error {
	whole := t.scan.Write(b)
	if last || !t.Resumable {
		whole = len(b)
	}
	if whole == 0 && !last {
		t.torn = append(t.torn, b...)
		return nil
	}
	out := append(t.torn, b[:whole]...)
	t.torn = slices.Clone(b[whole:])
	if len(out) == 0 {
		return nil
	}
	return t.out(part{Body: out})
}

// resume reports whether the broken stream may go on at another engine, and prepares that.
func (t *turnRun) resume(ctx context.Context, a *attempts) bool {
	if !t.Resumable || !a.more() || ctx.Err() != nil || (t.scan.Count() > 0 && t.scan.ID() == "") {
		return false
	}
	t.scan.Drop()
	t.torn = nil
	if id := t.scan.ID(); id != "" {
		a.resumeAfter = id
	}
	return true
}

// tokens returns what was handed out. Of an event that broke off, a part may have been.
func (t *turnRun) tokens() int64 {
	n := t.scan.Count()
	if !t.scan.Clean() {
		n++
	}
	return n * t.EventTokens
}

func (t *turnRun) abandon(u roster.Upstream, err error) *fault.Fault {
	t.part.End(t.begun, t.tokens())
	t.gate.roster.Done(u.Instance, roster.Abandoned, time.Now())
	return t.gate.callerGone(err)
}
