package entry

import (
	"context"
	"iter"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/wire/ctlpb"
)

const (
	// maxHomeAttempts is the maximum number of tries to reach the home of a program.
	maxHomeAttempts = 10
	homeBackoffMin  = 50 * time.Millisecond
	homeBackoffMax  = 500 * time.Millisecond
	// homeTimeout is the timeout of one request to a sidecar, which may have stopped answering with its connections
	// still open.
	homeTimeout = 3 * time.Second
	stepHome    = "home"
)

// homeAttempts yields once for each try to reach the home of a program, with exponential backoff between them, until
// ctx is done. The pauses add up to more than the time after which a silent sidecar counts as dead, so that the last
// tries go to the successor.
//
//	for range homeAttempts(ctx) {
//		if answer, ok := ask(ctx); ok {
//			return answer
//		}
//	}
func homeAttempts(ctx context.Context) iter.Seq[int] {
	return func(yield func(int) bool) {
		pause := homeBackoffMin
		for i := 0; i < maxHomeAttempts && ctx.Err() == nil; i++ {
			if !yield(i) {
				return
			}
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			pause = min(2*pause, homeBackoffMax)
		}
	}
}

// isRetryable reports whether another sidecar, or a later try, may answer after a fault with this code.
func isRetryable(code fault.Code) bool {
	switch code {
	case fault.ProgramMoved, fault.Unready, fault.PeerUnreachable, fault.UpstreamTimeout:
		return true
	}
	return false
}

// askHome sends one request to a sidecar. Timeouts and faults of the connection get the outcome o.
func askHome(
	ctx context.Context, t homeTarget, o fault.Outcome,
	ask func(context.Context, homeTarget) (*ctlpb.ProgramResponse, error),
) (*ctlpb.ProgramResponse, *fault.Fault) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	resp, err := ask(ctx, t)
	switch {
	case err == nil:
		return resp, nil
	case ctx.Err() != nil:
		return nil, fault.New(fault.UpstreamTimeout, stepHome, t.node.VM,
			"sidecar %q did not answer within %s", t.node.Instance, homeTimeout).WithOutcome(o)
	}
	return nil, fault.FromTwirp(err, stepHome, t.node.VM, o)
}
