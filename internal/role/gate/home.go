package gate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/sched/admit"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/turns"
	"galenaward.example/galenaward/internal/wire/events"
	"galenaward.example/galenaward/internal/wire/httpc"
)

const (
	// detachedPart is the part of a caller's time after which it may come back while the store takes no appends.
	// Outages last for seconds, and callers wait for up to a third of the time that they have left.
	detachedPart = 0.32
	// warmBonus is the requests per slot by which another engine must be less loaded to run a turn whose cache stands
	// elsewhere.
	warmBonus = 1.2
	// adoptTimeout bounds the handing of a turn to the new holder of its partition. A caller leaves a stream that is
	// silent for two seconds.
	adoptTimeout = 1800 * time.Millisecond
	// streamBytes bounds the answer to a turn, which is kept until the caller has read it.
	streamBytes = 1 << 20
	// recordMargin is the room in a turn's record for its names and lengths.
	recordMargin = 4 << 10
	// leastTimed is the number of events from which on a stream tells how fast its engine is.
	leastTimed = 3
	// chainTimeout bounds the search for a chain in other partitions.
	chainTimeout = 500 * time.Millisecond
)

// turnRun is a turn at its home.
type turnRun struct {
	*turnRequest
	gate  *Gate
	part  *owner.Partition
	begun owner.Begun
	out   sink
	// scan reads the events that were passed on.
	scan events.Scanner
	// torn holds the start of an event of a stream that may go on at another engine.
	torn []byte
	// headed says that the head of the answer was passed on.
	headed bool
	// underWay says that the program had begun before this turn.
	underWay bool
}

// runTurn runs a turn of a program whose partition this process holds.
func (g *Gate) runTurn(ctx context.Context, q *turnRequest, out sink) *fault.Fault {
	p, ok := g.owner.Held(q.Partition)
	if !ok {
		return g.refuse(fault.Moved, "home", "partition %d is not held here", q.Partition)
	}
	deadline, _ := ctx.Deadline()
	a := q.attempts(deadline)
	if f := g.quarantine(a.job); f != nil {
		return f
	}
	t := &turnRun{turnRequest: q, gate: g, part: p, out: out}
	if f := t.begin(ctx); f != nil {
		return f
	}
	w, _ := g.layout.Load().Workspace(q.Workspace)
	began := false
	f := g.paid(ctx, w, func() *fault.Fault {
		began = true
		return t.run(ctx, a)
	})
	if !began {
		t.part.End(t.begun, 0)
	}
	return f
}

// run sends the turn to engines until one has answered it.
func (t *turnRun) run(ctx context.Context, a *attempts) *fault.Fault {
	g, q := t.gate, t.turnRequest
	if q.Resumable {
		a.resumeAfter = q.Call.Turn.ResumeAfter
	}
	prompt := turns.Prompt(t.begun.Chain, q.Call.Body)
	warm := g.warmEngine(q)
	for a.more() && ctx.Err() == nil {
		u, ok := g.pick(a, warm, warmBonus)
		if !ok {
			break
		}
		ans, ok := g.exchange(ctx, a, u, prompt, t.urgency())
		if ok {
			again, f := t.stream(ctx, a, u, ans)
			if !again {
				return f
			}
			g.metrics.Add("streams_resumed", 1)
		}
		if a.ran && !a.repeatable() {
			break
		}
	}
	t.part.End(t.begun, t.tokens())
	return g.giveUp(ctx, a)
}

// warmEngine returns the engine that is known to hold most of the turn's prompt; empty if none is.
func (g *Gate) warmEngine(q *turnRequest) string {
	for _, ref := range q.caches() {
		if instance := g.warm.of(ref); instance != "" {
			return instance
		}
	}
	return ""
}

// warmed remembers the engine that holds the turn's prompt and answer.
func (g *Gate) warmed(q *turnRequest, instance string) {
	if parts := q.Call.Turn.Parts; len(parts) > 0 {
		g.warm.set(turns.Ref{Workspace: q.Workspace, ID: "part/" + parts[len(parts)-1].ID}, instance)
	}
	g.warm.set(turns.Ref{Workspace: q.Workspace, ID: q.Call.ID}, instance)
}

// urgency returns the engine's priority for the turn: 0 first. Programs under way go before those that begin.
func (t *turnRun) urgency() int {
	u := min(9, 2*t.Rank+1)
	if t.underWay {
		u--
	}
	return u
}

// begin reserves the turn's tokens and finds its chain.
func (t *turnRun) begin(ctx context.Context) *fault.Fault {
	g, q := t.gate, t.turnRequest
	previous := q.previous()
	t.underWay = previous.ID != "" || t.part.Knows(q.program())
	if f := t.admit(ctx, time.Now()); f != nil {
		return f
	}
	var err error
	t.begun, err = t.part.Begin(q.claim(), previous, time.Now())
	if errors.Is(err, owner.ErrReading) {
		if err = t.awaitChain(ctx, previous); err == nil {
			t.begun, err = t.part.Begin(q.claim(), previous, time.Now())
		}
	}
	if errors.Is(err, turns.ErrUnknown) {
		if f := g.importChain(ctx, t.part, previous); f != nil {
			return f
		}
		t.begun, err = t.part.Begin(q.claim(), previous, time.Now())
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, turns.ErrBudget):
		return g.refuse(fault.BudgetExhausted, "budget", "%v", err)
	case errors.Is(err, owner.ErrDetached):
		return g.refuse(fault.LogUnavailable, "home", "%v", err).
			WithRetryAfter(time.Duration(detachedPart * float64(q.LeftMS) * float64(time.Millisecond)))
	case errors.Is(err, owner.ErrMoved):
		return g.refuse(fault.Moved, "home", "%v", err)
	}
	return g.refuse(fault.Unready, "history", "%v", err).WithRetryAfter(retrySoon)
}

// awaitChain waits while the partition is read after it changed hands.
func (t *turnRun) awaitChain(ctx context.Context, previous turns.Ref) error {
	ctx, cancel := context.WithTimeout(ctx, homePatience)
	defer cancel()
	return t.part.AwaitChain(ctx, previous)
}

// admit refuses a program that would begin while the engines are full or its workspace's rate holds no more of them.
func (t *turnRun) admit(ctx context.Context, now time.Time) *fault.Fault {
	g, q := t.gate, t.turnRequest
	if t.underWay {
		return nil
	}
	slots, held := g.roster.Census(q.Service, now)
	load := admit.Gauge{Slots: slots, Held: held}
	left := time.Duration(q.ProgramLeftMS) * time.Millisecond
	a := admit.Ask{Rank: q.Rank, Left: left, Whole: g.asked.first(q.program(), left)}
	ok, retryAfter := g.policy.Begin(load, a)
	if ok {
		w, _ := g.layout.Load().Workspace(q.Workspace)
		return g.rates.begin(ctx, w)
	}
	g.metrics.Add("programs_refused", 1)
	return g.refuse(fault.Overloaded, "begin", "engines of %q hold %.1f requests in %d slots, limit %.2f at rank %d, %v of %v left",
		q.Service, held, slots, g.policy.Limit(a), q.Rank, left, a.Whole).WithRetryAfter(retryAfter)
}

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
	g.ended(a.job, u)
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

// finish makes a turn that was answered whole durable if its history is kept.
func (t *turnRun) finish(ctx context.Context, status int) *fault.Fault {
	if status != http.StatusOK || !t.KeepsHistory {
		t.part.End(t.begun, t.tokens())
		return nil
	}
	done := turns.Turn{
		Ref: turns.Ref{Workspace: t.Workspace, ID: t.Call.ID}, Program: t.Call.Program, Previous: t.Call.Turn.Previous,
		Input: t.Call.Body, Output: slices.Clone(t.scan.Data()),
		Until: time.Now().Add(time.Duration(t.RetentionMS) * time.Millisecond).UnixMilli(),
	}
	ticket, err := t.part.Finish(t.begun, done, t.tokens(), time.Now())
	if err == nil {
		err = t.part.Await(ctx, ticket)
	}
	if errors.Is(err, owner.ErrMoved) {
		err = t.gate.handTurn(ctx, t.Partition, append(t.begun.Chain, done))
	}
	if err != nil {
		return t.gate.refuse(fault.UpstreamFailed, "history", "the turn could not be kept: %v", err).WithOutcome(fault.Ran)
	}
	return nil
}

// handTurn gives a turn that was answered whole to the new holder of its partition.
func (g *Gate) handTurn(ctx context.Context, partition int, ts []turns.Turn) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for {
		g.owner.Look(ctx)
		address, self, ok := g.owner.AddressOf(partition)
		q := adoptRequest{Partition: partition, Turns: heldTurns(ts)}
		var err error
		switch {
		case !ok:
			err = errors.Wrapf(owner.ErrMoved, "partition %d", partition)
		case self:
			_, err = g.adopt(ctx, q)
		default:
			_, err = ask[adoptAnswer](ctx, g.peers, address, adoptPath, q)
		}
		if err == nil {
			g.note("turn_handed_over", "partition", partition, "turn", ts[len(ts)-1].ID, "peer", address)
			return nil
		}
		select {
		case <-time.After(homePause):
		case <-ctx.Done():
			return errors.Wrapf(err, "hand turn to %s", address)
		}
	}
}

// adopt keeps turns that a peer's engine answered whole.
func (g *Gate) adopt(ctx context.Context, q adoptRequest) (adoptAnswer, error) {
	p, ok := g.owner.Held(q.Partition)
	if !ok {
		return adoptAnswer{}, g.refuse(fault.Moved, "adopt", "partition %d is not held here", q.Partition)
	}
	ticket, err := p.Adopt(plainTurns(q.Turns), time.Now())
	if err != nil {
		return adoptAnswer{}, err
	}
	return adoptAnswer{}, p.Await(ctx, ticket)
}
