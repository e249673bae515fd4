package runner

import (
	"context"
	"time"

	"github.com/google/uuid"

	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/wire/peer"
)

const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// probeFailures is the number of consecutive failed probes after which the upstream is considered down. A single
	// probe may time out on a busy machine.
	probeFailures = 3
)

// addCrashes records crashes that are new to this process. A request that was cleared by a successful run here may be
// reported again by other processes, which is harmless.
func (r *Runner) addCrashes(crashes []peer.CrashRecord) {
	for _, c := range crashes {
		if r.suspects.HasCrashIDs(c.Fingerprint, c.CrashIDs) {
			continue
		}
		for _, e := range c.CrashIDs {
			r.suspects = r.suspects.WithCrash([]uint64{c.Fingerprint}, e, time.Now())
		}
	}
}

// upstreamAlive probes the upstream once.
func (r *Runner) upstreamAlive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return r.opts.Upstream.probe(ctx)
}

// recordCrash attributes a crash of the upstream to the running suspects, or to all running requests if none of them is
// a suspect. It ignores a job that was sent before the last crash was detected, since that crash ended it, and a job
// that ends while the upstream is already known to be down. Up says that the upstream has restarted since.
func (r *Runner) recordCrash(j *job, up bool) {
	if j.sentAt.Before(r.crashedAt) || (!r.up && !up) {
		return
	}
	r.crashedAt = time.Now()
	r.up = up
	defer r.failQueued()
	var blamed, all []uint64
	for j := range r.running {
		all = append(all, j.fingerprint)
		if j.suspect {
			blamed = append(blamed, j.fingerprint)
		}
	}
	if len(blamed) == 0 {
		blamed = all
	}
	r.crashID = uuid.NewString()
	r.suspects = r.suspects.WithCrash(blamed, r.crashID, time.Now())
	r.opts.Metrics.Add("upstream_crashes", 1)
	telem.Warn(r.opts.Logger, "upstream_crashed", "running", len(all), "blamed", len(blamed))
	if r.opts.OnCrash != nil {
		r.opts.OnCrash()
	}
}

// runProbes checks the health of the upstream until ctx ends.
func (r *Runner) runProbes(ctx context.Context) error {
	failed := 0
	for {
		pctx, cancel := context.WithTimeout(ctx, probeTimeout)
		up := r.opts.Upstream.probe(pctx)
		cancel()
		failed++
		if up {
			failed = 0
		}
		if up || failed >= probeFailures {
			r.loop.Send(probeMsg{up})
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return nil
		}
	}
}
