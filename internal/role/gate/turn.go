package gate

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/state/turns"
	"galenaward.example/galenaward/internal/wire/frame"
)

const (
	// ownerWaitTimeout bounds the wait for an owner while a partition changes hands. It covers the silence after which
	// the store expels a member, and the time for reading the partition.
	ownerWaitTimeout   = 2200 * time.Millisecond
	ownerRetryInterval = 40 * time.Millisecond
	// minAccountTTL is the minimum time for which a program's account is kept after a turn. Together with twice the
	// retention it covers turns whose reservation is part of an earlier record, since they don't extend the retention
	// of that record.
	minAccountTTL = 2 * time.Minute
	// cancelTimeout bounds requests that cancel a turn at its owner, and notices to peers.
	cancelTimeout = 400 * time.Millisecond
)

// turnRequest asks the owner of a program's partition to run a turn.
type turnRequest struct {
	Call      *Call  `json:"call"`
	Workspace string `json:"workspace"`
	Partition int    `json:"partition"`
	// Service was picked by the gateway that received the call.
	Service  string `json:"service"`
	Route    string `json:"route"`
	Priority int    `json:"rank"`
	// KeepsHistory means that the caller sent only the new input of the turn, Resumable that its stream can be resumed
	// at another engine.
	KeepsHistory bool `json:"keeps_history,omitempty"`
	Resumable    bool `json:"resumable,omitempty"`
	// Regions are those whose engines may run the turn. If they are restricted, its content may also reach gateways in
	// CallerRegion, the region of the gateway that received the call.
	Regions      layout.RegionSet `json:"regions,omitzero"`
	CallerRegion string           `json:"caller_region,omitempty"`
	// MaxAttempts bounds the engines that the turn is sent to.
	MaxAttempts int `json:"max_attempts"`
	// EventTokens is the number of tokens per event.
	EventTokens int64 `json:"event_tokens"`
	RetentionMS int64 `json:"retention_ms"`
	// ObjectiveMS is the latency objective for the first event; zero if an older version of the gateway asks.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
	// LeftMS is the time left for the turn.
	LeftMS int64 `json:"left_ms"`
	// StreamID identifies this attempt's stream at the owner. It is chosen at random by the gateway that asks, so that
	// neither the refusal of an earlier attempt nor the answer to another request with the same call ID, which the owner
	// keeps for a while, is taken for the answer. It is empty if an older version of the gateway asks.
	StreamID string `json:"stream_id,omitempty"`
	// Try numbers the attempts to reach an owner.
	Try int `json:"try"`
	// ProgramLeftMS is the time left until the program should be finished; zero if unknown.
	ProgramLeftMS int64 `json:"program_left_ms"`
}

// answerPart is a piece of an answer on its way from the owner.
type answerPart struct {
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Leaving is the upstream that answered, if it said that it leaves.
	Leaving *upstreamStart `json:"leaving,omitempty"`
	// Cap is the rate cap that the upstream stated, if it did.
	Cap *capReport `json:"cap,omitempty"`
}

// sink receives the parts of an answer, the headers first.
type sink func(answerPart) error

// serveTurn sends a turn to the owner of its program's partition and passes its answer back.
func (g *Gateway) serveTurn(ctx context.Context, j *job, w Reply) *fault.Fault {
	q := g.turnRequest(j)
	begun := false
	out := func(p answerPart) error {
		begun = true
		if p.Leaving != nil {
			g.recordLeaving(p.Leaving.start(), "home")
		}
		if p.Cap != nil {
			g.recordRateCap(p.Cap.report(time.Now()), "home")
		}
		if p.Status != 0 {
			w.Head(p.Status, p.Header, -1)
			return nil
		}
		return w.Write(p.Body)
	}
	waitUntil := time.Now().Add(ownerWaitTimeout)
	for {
		if !g.shutdown.Allows(j.deadline) {
			return g.stopFault("home")
		}
		f := g.runAtOwner(ctx, q, out)
		if f == nil || begun || !shouldRetryOwner(f) {
			g.unowned.markOwned(q.Partition)
			return f
		}
		lasting := g.unowned.markUnowned(q.Partition, time.Now())
		if lasting && q.Try > 1 || ctx.Err() != nil || time.Now().After(waitUntil) {
			return g.refuse(fault.Unready, "home", "partition %d has no reachable owner: %s", q.Partition, f.Message).
				WithRetryAfter(g.unownedRetryAfter(lasting, q))
		}
		g.metrics.Add("home_retries", 1)
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
		}
		g.owner.RefreshOwners(ctx)
	}
}

// unownedRetryAfter returns when a turn whose partition has no owner may be retried. If the partition has had none for
// long, the store is rejecting appends to it.
func (g *Gateway) unownedRetryAfter(lasting bool, q *turnRequest) time.Duration {
	if !lasting {
		return shortRetry
	}
	return max(shortRetry, time.Duration(outageRetryFraction*float64(q.LeftMS)*float64(time.Millisecond)))
}

// shouldRetryOwner reports whether the turn did not start because the owner has changed or is unreachable.
func shouldRetryOwner(f *fault.Fault) bool {
	return f.Outcome == fault.NotRun && (f.Code == fault.ProgramMoved || f.Code == fault.PeerUnreachable)
}

func (g *Gateway) turnRequest(j *job) *turnRequest {
	q := &turnRequest{
		Call: j.call, Workspace: j.workspace.Name, Partition: g.owner.PartitionOf(j.workspace.Name + "/" + j.call.Program),
		Service: j.service(), Route: j.route.Name, Priority: j.route.PriorityFor(j.workspace),
		MaxAttempts: j.route.MaxAttempts, ObjectiveMS: j.route.LatencyObjective.Milliseconds(),
		Regions:      j.regions,
		KeepsHistory: j.route.KeepsHistory, Resumable: j.route.Resumable, EventTokens: 1, RetentionMS: j.route.Retention.Milliseconds(),
	}
	if q.Regions.Restricted {
		q.CallerRegion = g.region(g.settings.DataCentre)
	}
	if s, ok := g.layout.Load().Service(q.Service); ok && s.Engine != nil {
		q.EventTokens = max(1, s.Engine.EventTokens)
	}
	if !j.call.ProgramDeadline.IsZero() {
		q.ProgramLeftMS = time.Until(j.call.ProgramDeadline).Milliseconds()
	}
	return q
}

// runAtOwner runs the turn here or at the peer that owns its partition.
func (g *Gateway) runAtOwner(ctx context.Context, q *turnRequest, out sink) *fault.Fault {
	address, self, known := g.owner.AddressOf(q.Partition)
	if !known {
		return g.refuse(fault.ProgramMoved, "home", "the owner of partition %d is unknown", q.Partition)
	}
	deadline, _ := ctx.Deadline()
	q.Try++
	q.LeftMS = time.Until(deadline).Milliseconds()
	if self {
		held := g.HoldAnswer()
		defer held.Release()
		return g.runTurn(ctx, q, out, held)
	}
	if f := g.checkRelay(ctx, address, q); f != nil {
		return f
	}
	return g.fetchTurn(ctx, address, q, out)
}

// fetchTurn runs the turn at a peer, and cancels it there if the caller disconnects.
func (g *Gateway) fetchTurn(ctx context.Context, address string, q *turnRequest, out sink) *fault.Fault {
	id := rand.Text()
	q.StreamID = id
	var failed *fault.Fault
	done := false
	f := g.peers.fetcher.Fetch(ctx, frame.Request{
		BaseURL: "http://" + address, Path: turnsPath, ID: id, Peer: address, Body: q,
	}, func(fr frame.Frame) {
		switch fr.Kind {
		case frame.Fail:
			failed, done = fr.Fault, true
		case frame.Done:
			done = true
		case frame.Chunk:
			var p answerPart
			if err := json.Unmarshal(fr.Data, &p); err != nil {
				failed = fault.FromError(err, "decode", address)
				return
			}
			if err := out(p); err != nil && failed == nil {
				failed = g.callerGone(err)
			}
		}
	})
	if f == nil && failed == nil {
		return nil
	}
	if !done && (f == nil || f.Outcome != fault.NotRun) {
		g.cancelAsync(address, id)
	}
	if failed != nil {
		return failed
	}
	if f.PeerDown {
		g.expelAsync(address)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return g.timeoutFault("home", f.Outcome != fault.NotRun)
	}
	return f
}

// streamID returns the ID of this attempt's stream. Older versions of the gateway use a hash of the call ID.
func (q *turnRequest) streamID() string {
	if q.StreamID != "" {
		return q.StreamID
	}
	return strconv.FormatUint(xxhash.Sum64String(q.Workspace+"\x00"+q.Call.ID), 36) + "-" + strconv.Itoa(q.Try)
}

// cancelAsync cancels a turn at its owner in the background.
func (g *Gateway) cancelAsync(address, id string) {
	g.group.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		if err := g.peers.cancelTurn(ctx, address, id); err != nil {
			g.logEvent("turn_not_cancelled", "stream", id, "peer", address, "cause", err)
		}
		return nil
	})
}

// expelAsync speeds up the takeover of a dead process's partitions.
func (g *Gateway) expelAsync(address string) {
	g.group.Go(func(ctx context.Context) error {
		g.owner.Expel(ctx, address)
		g.pokePeers(ctx)
		return nil
	})
}

// orphanTimeout is how long a turn continues at its owner without a reader. A gateway that lost its connection
// reconnects sooner.
const orphanTimeout = 350 * time.Millisecond

// beginTurn handles a peer's request to run a turn.
func (g *Gateway) beginTurn(w http.ResponseWriter, r *http.Request) {
	q := &turnRequest{}
	if f := g.decodePeerRequest(r, q); f != nil {
		fault.WriteJSON(w, f)
		return
	}
	id := q.streamID()
	buf := g.streams.GetOrStart(id, func() (*frame.Buffer, context.CancelFunc) { return g.startDetached(q, id) })
	g.serveFrames(w, r, id, buf, 0)
}

// startDetached runs the turn independently of the connection that requested it.
func (g *Gateway) startDetached(q *turnRequest, id string) (*frame.Buffer, context.CancelFunc) {
	buf := frame.NewBuffer()
	q.Call.Arrived = time.Now()
	if q.ProgramLeftMS != 0 {
		q.Call.ProgramDeadline = time.Now().Add(time.Duration(q.ProgramLeftMS) * time.Millisecond)
	}
	ctx, release := g.shutdown.WithEnd(context.Background())
	ctx, cancel := group.WithTimeout(ctx, g.group.Context(), time.Duration(q.LeftMS)*time.Millisecond)
	g.group.Go(func(context.Context) error {
		defer release()
		defer cancel()
		held := g.HoldAnswer()
		f := g.runTurn(ctx, q, func(p answerPart) error {
			b, err := json.Marshal(p)
			if err == nil {
				buf.Chunk(b)
			}
			return err
		}, held)
		if f != nil {
			buf.Fail(f)
		} else {
			buf.Done(nil)
		}
		held.End()
		g.streams.RemoveLater(id, held.Release)
		return nil
	})
	return buf, cancel
}

func (g *Gateway) serveFrames(w http.ResponseWriter, r *http.Request, id string, buf *frame.Buffer, pos int) {
	leave := g.readers.add(id)
	frame.Serve(w, r, buf, pos)
	leave()
	time.AfterFunc(orphanTimeout, func() {
		if !g.readers.any(id) && !buf.Ended() {
			g.logEvent("turn_orphaned", "stream", id)
			g.streams.Cancel(id)
		}
	})
}

// resumeTurn serves a peer that reconnects to a stream.
func (g *Gateway) resumeTurn(w http.ResponseWriter, r *http.Request) {
	buf, ok := g.streams.Find(r.PathValue("id"))
	if !ok {
		fault.WriteJSON(w, g.refuse(fault.PeerUnreachable, "resume", "stream %q is unknown", r.PathValue("id")).WithOutcome(fault.Unknown))
		return
	}
	pos, err := framePosition(r)
	if err != nil {
		fault.WriteJSON(w, g.refuse(fault.InvalidRequest, "resume", "%v", err))
		return
	}
	g.serveFrames(w, r, r.PathValue("id"), buf, pos)
}

// endTurn cancels a turn whose caller has disconnected.
func (g *Gateway) endTurn(_ http.ResponseWriter, r *http.Request) {
	g.streams.Cancel(r.PathValue("id"))
}

// objective returns the latency objective for the first event.
func (q *turnRequest) objective() time.Duration {
	return time.Duration(q.ObjectiveMS) * time.Millisecond
}

// claim returns what the turn reserves from its program's budget.
func (q *turnRequest) claim() turns.Claim {
	return turns.Claim{
		Program: q.program(), Budget: q.Call.Turn.Budget, MaxTokens: q.Call.Turn.MaxTokens, Recorded: q.KeepsHistory,
		AccountTTL: max(minAccountTTL, 2*time.Duration(q.RetentionMS)*time.Millisecond),
	}
}

func (q *turnRequest) program() turns.Ref {
	return turns.Ref{Workspace: q.Workspace, ID: q.Call.Program}
}

// previous returns the turn that this one continues, or an empty ID if the caller sent the whole prompt.
func (q *turnRequest) previous() turns.Ref {
	if !q.KeepsHistory {
		return turns.Ref{Workspace: q.Workspace}
	}
	return turns.Ref{Workspace: q.Workspace, ID: q.Call.Turn.Previous}
}

// caches returns the keys under which the engine caching most of the turn's prompt may be recorded, the longest prefix
// first. The first part of a prompt is left out: it is common to many programs and does not identify an engine.
func (q *turnRequest) caches() []turns.Ref {
	var out []turns.Ref
	for i := len(q.Call.Turn.Parts) - 1; i > 0; i-- {
		out = append(out, partRef(q.Workspace, q.Call.Turn.Parts[i].ID))
	}
	if q.Call.Turn.Previous != "" {
		out = append(out, q.previous())
	}
	return out
}

// attempts returns the initial state of the turn's attempts.
func (q *turnRequest) attempts(until time.Time) *attempts {
	return &attempts{service: q.Service, job: &job{
		call: q.Call, deadline: until, workspace: layout.Workspace{Name: q.Workspace}, regions: q.Regions,
		route: layout.Route{Name: q.Route, Kind: layout.Streaming, MaxAttempts: q.MaxAttempts, Resumable: q.Resumable},
	}}
}
