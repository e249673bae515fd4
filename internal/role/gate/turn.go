package gate

import (
	"context"
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
	// homePatience bounds the wait for a home while a partition changes hands: the silence after which the store takes
	// a member for dead, and the reading of the partition.
	homePatience = 2200 * time.Millisecond
	homePause    = 40 * time.Millisecond
	// leastAccountLife is how long a program's account is kept at least after a turn. It and twice the retention leave
	// room for turns that an earlier record covers, which do not prolong the record.
	leastAccountLife = 2 * time.Minute
	// cancelTimeout bounds the message that ends a turn at its home.
	cancelTimeout = 400 * time.Millisecond
)

// turnRequest asks the home of a program to run a turn.
type turnRequest struct {
	Call      *Call  `json:"call"`
	Workspace string `json:"workspace"`
	Partition int    `json:"partition"`
	// Service was drawn by the gateway that took the call.
	Service string `json:"service"`
	Route   string `json:"route"`
	Rank    int    `json:"rank"`
	// KeepsHistory says that the caller sent only what is new in the turn, Resumable that its stream may go on at another
	// engine.
	KeepsHistory bool `json:"keeps_history,omitempty"`
	Resumable    bool `json:"resumable,omitempty"`
	// MaxAttempts bounds the engines that the turn is sent to.
	MaxAttempts int `json:"max_attempts"`
	// EventTokens is how many tokens one event stands for.
	EventTokens int64 `json:"event_tokens"`
	RetentionMS int64 `json:"retention_ms"`
	// LeftMS is how long the turn may take.
	LeftMS int64 `json:"left_ms"`
	// Try counts the homes that were asked, so that the refusal of an earlier one is not taken for the answer.
	Try int `json:"try"`
	// ProgramLeftMS is the time left until the program should be finished; zero if unknown.
	ProgramLeftMS int64 `json:"program_left_ms"`
}

// part is one element of an answer on its way from the home.
type part struct {
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// sink takes the parts of an answer, the head first.
type sink func(part) error

// serveTurn carries a turn to the home of its program and its answer back.
func (g *Gate) serveTurn(ctx context.Context, j *job, w Reply) *fault.Fault {
	q := g.turnRequest(j)
	begun := false
	out := func(p part) error {
		begun = true
		if p.Status != 0 {
			w.Head(p.Status, p.Header, -1)
			return nil
		}
		return w.Write(p.Body)
	}
	patience := time.Now().Add(homePatience)
	for {
		f := g.atHome(ctx, q, out)
		if f == nil || begun || !retryHome(f) {
			g.absent.met(q.Partition)
			return f
		}
		long := g.absent.missing(q.Partition, time.Now())
		if long && q.Try > 1 || ctx.Err() != nil || time.Now().After(patience) {
			return g.refuse(fault.Unready, "home", "no home for partition %d: %s", q.Partition, f.Message).
				WithRetryAfter(g.returnTime(long, q))
		}
		g.metrics.Add("home_retries", 1)
		select {
		case <-time.After(homePause):
		case <-ctx.Done():
		}
		g.owner.Look(ctx)
	}
}

// returnTime is when a turn without a home may come back. While a partition has had none for long, the store takes no
// appends to it.
func (g *Gate) returnTime(long bool, q *turnRequest) time.Duration {
	if !long {
		return retrySoon
	}
	return max(retrySoon, time.Duration(detachedPart*float64(q.LeftMS)*float64(time.Millisecond)))
}

// retryHome reports whether the turn did not begin because its home is elsewhere or cannot be reached.
func retryHome(f *fault.Fault) bool {
	return f.Outcome == fault.NotRun && (f.Code == fault.Moved || f.Code == fault.PeerUnreachable)
}

func (g *Gate) turnRequest(j *job) *turnRequest {
	q := &turnRequest{
		Call: j.call, Workspace: j.workspace.Name, Partition: g.owner.PartitionOf(j.workspace.Name + "/" + j.call.Program),
		Service: j.service(), Route: j.route.Name, Rank: j.route.Rank(j.workspace), MaxAttempts: j.route.MaxAttempts,
		KeepsHistory: j.route.KeepsHistory, Resumable: j.route.Resumable, EventTokens: 1, RetentionMS: j.route.Retention.Milliseconds(),
	}
	if s, ok := g.layout.Load().Service(q.Service); ok && s.Engine != nil {
		q.EventTokens = max(1, s.Engine.EventTokens)
	}
	if !j.call.ProgramDeadline.IsZero() {
		q.ProgramLeftMS = time.Until(j.call.ProgramDeadline).Milliseconds()
	}
	return q
}

// atHome runs the turn here or at the peer that holds its partition.
func (g *Gate) atHome(ctx context.Context, q *turnRequest, out sink) *fault.Fault {
	address, self, known := g.owner.AddressOf(q.Partition)
	if !known {
		return g.refuse(fault.Moved, "home", "the holder of partition %d is unknown", q.Partition)
	}
	deadline, _ := ctx.Deadline()
	q.Try++
	q.LeftMS = time.Until(deadline).Milliseconds()
	if self {
		return g.runTurn(ctx, q, out)
	}
	return g.fetchTurn(ctx, address, q, out)
}

// fetchTurn runs the turn at a peer. A turn whose caller leaves is ended there.
func (g *Gate) fetchTurn(ctx context.Context, address string, q *turnRequest, out sink) *fault.Fault {
	id := q.streamID()
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
			var p part
			if err := json.Unmarshal(fr.Data, &p); err != nil {
				failed = fault.From(err, "decode", address)
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
		g.cancelAside(address, id)
	}
	if failed != nil {
		return failed
	}
	if f.Down {
		g.expelAside(address)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return g.late("home", f.Outcome != fault.NotRun)
	}
	return f
}

// streamID names this try of the turn; ids may be any text, so they are hashed.
func (q *turnRequest) streamID() string {
	return strconv.FormatUint(xxhash.Sum64String(q.Workspace+"\x00"+q.Call.ID), 36) + "-" + strconv.Itoa(q.Try)
}

// cancelAside ends a turn at its home without keeping the caller waiting.
func (g *Gate) cancelAside(address, id string) {
	g.group.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		if err := g.peers.cancelTurn(ctx, address, id); err != nil {
			g.note("turn_not_cancelled", "stream", id, "peer", address, "cause", err)
		}
		return nil
	})
}

// expelAside hurries the takeover of a dead process's partitions.
func (g *Gate) expelAside(address string) {
	g.group.Go(func(ctx context.Context) error {
		g.owner.Expel(ctx, address)
		g.pokePeers(ctx)
		return nil
	})
}

// orphanTime is how long a turn goes on at its home without a reader. A gateway that lost its connection is back
// before.
const orphanTime = 350 * time.Millisecond

// beginTurn serves a peer that asks for a turn.
func (g *Gate) beginTurn(w http.ResponseWriter, r *http.Request) {
	q := &turnRequest{}
	if err := json.NewDecoder(r.Body).Decode(q); err != nil {
		fault.WriteJSON(w, g.refuse(fault.InvalidRequest, "decode", "%v", err))
		return
	}
	id := q.streamID()
	buf := g.streams.Begin(id, func() (*frame.Buffer, context.CancelFunc) { return g.detach(q, id) })
	g.serveFrames(w, r, id, buf, 0)
}

// detach runs the turn beside the connection that asked for it.
func (g *Gate) detach(q *turnRequest, id string) (*frame.Buffer, context.CancelFunc) {
	buf := frame.NewBuffer()
	q.Call.Arrived = time.Now()
	if q.ProgramLeftMS != 0 {
		q.Call.ProgramDeadline = time.Now().Add(time.Duration(q.ProgramLeftMS) * time.Millisecond)
	}
	ctx, cancel := group.WithTimeout(context.Background(), g.group.Context(), time.Duration(q.LeftMS)*time.Millisecond)
	g.group.Go(func(context.Context) error {
		defer cancel()
		f := g.runTurn(ctx, q, func(p part) error {
			b, err := json.Marshal(p)
			if err == nil {
				buf.Chunk(b)
			}
			return err
		})
		if f != nil {
			buf.Fail(f)
		} else {
			buf.Done(nil)
		}
		g.streams.EndLater(id)
		return nil
	})
	return buf, cancel
}

func (g *Gate) serveFrames(w http.ResponseWriter, r *http.Request, id string, buf *frame.Buffer, pos int) {
	leave := g.readers.enter(id)
	frame.Serve(w, r, buf, pos)
	leave()
	time.AfterFunc(orphanTime, func() {
		if !g.readers.any(id) && !buf.Ended() {
			g.note("turn_orphaned", "stream", id)
			g.streams.Cancel(id)
		}
	})
}

// resumeTurn serves a peer that lost its connection.
func (g *Gate) resumeTurn(w http.ResponseWriter, r *http.Request) {
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

// endTurn serves a peer whose caller has left.
func (g *Gate) endTurn(_ http.ResponseWriter, r *http.Request) { g.streams.Cancel(r.PathValue("id")) }

// claimOf returns what the turn asks of its program's budget.
func (q *turnRequest) claim() turns.Claim {
	return turns.Claim{
		Program: q.program(), Budget: q.Call.Turn.Budget, Most: q.Call.Turn.MostTokens, Recorded: q.KeepsHistory,
		Keep: max(leastAccountLife, 2*time.Duration(q.RetentionMS)*time.Millisecond),
	}
}

func (q *turnRequest) program() turns.Ref {
	return turns.Ref{Workspace: q.Workspace, ID: q.Call.Program}
}

// previous returns the turn that this one continues, none if the caller sent the whole prompt.
func (q *turnRequest) previous() turns.Ref {
	if !q.KeepsHistory {
		return turns.Ref{Workspace: q.Workspace}
	}
	return turns.Ref{Workspace: q.Workspace, ID: q.Call.Turn.Previous}
}

// caches returns the names under which the engine that holds most of the turn's prompt may be remembered, the one that
// covers most of it first. The first part of a prompt is common to many programs and tells nothing.
func (q *turnRequest) caches() []turns.Ref {
	var out []turns.Ref
	for i := len(q.Call.Turn.Parts) - 1; i > 0; i-- {
		out = append(out, turns.Ref{Workspace: q.Workspace, ID: "part/" + q.Call.Turn.Parts[i].ID})
	}
	if q.Call.Turn.Previous != "" {
		out = append(out, q.previous())
	}
	return out
}

// attemptsOf returns the state of the turn over its tries.
func (q *turnRequest) attempts(until time.Time) *attempts {
	return &attempts{service: q.Service, job: &job{
		call: q.Call, until: until, workspace: layout.Workspace{Name: q.Workspace},
		route: layout.Route{Name: q.Route, Kind: layout.Streaming, MaxAttempts: q.MaxAttempts, Resumable: q.Resumable},
	}}
}
