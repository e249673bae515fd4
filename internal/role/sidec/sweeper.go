package sidec

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/runner"
)

const (
	sweepInterval = time.Second
	sweepTimeout  = 2 * time.Second
)

// sweeper releases engine memory of programs that have ended or made no call within the lease. It compares its state
// with the engine's list of residencies, since events of the engine may be late or lost.
type sweeper struct {
	upstream  *runner.Upstream
	lease     time.Duration
	isService bool
	logger    log.Logger

	mu    sync.Mutex
	ended map[string]struct{}
	// uses holds the last change of the engine's call counter, by program.
	uses map[string]lastUse
	wake chan struct{}
}

// lastUse is the highest value seen of a program's call counter and when it was first seen.
type lastUse struct {
	calls int64
	at    time.Time
}

// residency is the engine memory that one program holds.
type residency struct {
	Program string `json:"program"`
	Tokens  int64  `json:"tokens"`
	// Calls is the number of the program's calls on the engine.
	Calls int64 `json:"calls"`
}

func newSweeper(c *config.Sidecar, up *runner.Upstream, lg log.Logger) *sweeper {
	return &sweeper{
		upstream: up, lease: config.Millis(c.ResidencyLeaseMS), isService: c.Service != "", logger: lg,
		ended: make(map[string]struct{}), uses: make(map[string]lastUse), wake: make(chan struct{}, 1),
	}
}

// markEnded makes the next sweep release the program's memory and starts that sweep.
func (s *sweeper) markEnded(program string) {
	s.mu.Lock()
	s.ended[program] = struct{}{}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sweeps until ctx ends.
func (s *sweeper) Run(ctx context.Context) error {
	for !s.isService {
		if err := s.sweep(ctx); err != nil && ctx.Err() == nil {
			telem.Debug(s.logger, "sweep_failed", "err", err)
		}
		select {
		case <-time.After(sweepInterval):
		case <-s.wake:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

func (s *sweeper) sweep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	list, err := s.residencies(ctx)
	if err != nil {
		return err
	}
	for _, r := range list {
		if !s.expired(r) {
			continue
		}
		if err := s.release(ctx, r.Program); err != nil {
			return err
		}
	}
	s.prune(list)
	return nil
}

// expired reports whether the memory of the residency is to be released.
func (s *sweeper) expired(r residency) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ended[r.Program]; ok {
		return true
	}
	u, ok := s.uses[r.Program]
	if !ok || r.Calls > u.calls {
		s.uses[r.Program] = lastUse{calls: r.Calls, at: time.Now()}
		return false
	}
	return time.Since(u.at) > s.lease
}

// prune removes the state of programs for which the engine no longer holds memory.
func (s *sweeper) prune(list []residency) {
	held := make(map[string]struct{}, len(list))
	for _, r := range list {
		held[r.Program] = struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.ended {
		if _, ok := held[p]; !ok {
			delete(s.ended, p)
		}
	}
	for p := range s.uses {
		if _, ok := held[p]; !ok {
			delete(s.uses, p)
		}
	}
}

func (s *sweeper) residencies(ctx context.Context) ([]residency, error) {
	var body struct {
		Residencies []residency `json:"residencies"`
	}
	resp, err := s.request(ctx, http.MethodGet, "/kv")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if err := decodeEngine(resp.Body, &body); err != nil {
		return nil, errors.Wrap(err, "decode residencies of the engine")
	}
	return body.Residencies, nil
}

func (s *sweeper) release(ctx context.Context, program string) error {
	resp, err := s.request(ctx, http.MethodDelete, "/kv/"+program)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (s *sweeper) request(ctx context.Context, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.upstream.BaseURL+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.upstream.Client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s at engine of %s", method, path, s.upstream.VM)
	}
	return resp, nil
}
