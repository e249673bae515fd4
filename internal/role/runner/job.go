package runner

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/fairq"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

// job is one request for this upstream.
type job struct {
	req         peer.RunRequest
	fingerprint uint64
	frames      *frame.Buffer
	ctx         context.Context
	cancel      context.CancelFunc
	item        fairq.Item[*job]
	// suspect says that the request is suspected of having crashed an upstream.
	suspect bool
	// priority is sent to the engine. It is lower the less of the engine the workspace uses at the time.
	priority int64
	// prompt is the estimated number of prompt tokens of a model call.
	prompt int64
	// held says that the job has waited for engine memory.
	held bool
	// sentAt is when the request was sent to the upstream.
	sentAt time.Time
}

// result is the outcome of a run on the upstream.
type result struct {
	// cost is the number of tokens used by a model call, or 1 for a completed service call.
	cost  int64
	fault *fault.Fault
	// connLost says that the connection to the upstream failed after the request was sent.
	connLost bool
	// restarted says that the upstream had restarted and lost the stream when asked to resume it.
	restarted bool
	// crashed says that the upstream crashed while it ran the request.
	crashed bool
}
