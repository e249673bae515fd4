package serve

import (
	"net"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/plat/telem"
)

// refusalLogInterval is the time between two log lines of one kind of refusal.
const refusalLogInterval = time.Second

// refusals bounds the log lines about refusals. The zero value is ready for use.
type refusals struct {
	mu sync.Mutex
	// kinds holds the state of each kind of refusal. The kinds are constants of this package.
	kinds map[string]refusalLog
}

type refusalLog struct {
	last    time.Time
	skipped int64
}

// allow reports whether a line may be written, and how many of its kind were left out before it.
func (r *refusals) allow(kind string, now time.Time) (ok bool, skipped int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds = make(map[string]refusalLog)
	}
	k := r.kinds[kind]
	if !k.last.IsZero() && now.Sub(k.last) < refusalLogInterval {
		k.skipped++
		r.kinds[kind] = k
		return false, 0
	}
	r.kinds[kind] = refusalLog{last: now}
	return true, k.skipped
}

// refused counts a refusal, and logs it with the value that exceeded a limit.
func (l *listener) refused(kind string, from net.Addr, value, limit int) {
	o := &l.options
	if o.Metrics != nil {
		o.Metrics.Add("refused_"+kind, 1)
	}
	if o.Log == nil {
		return
	}
	if ok, skipped := l.refusal.allow(kind, time.Now()); ok {
		telem.Info(o.Log, "caller_refused", "kind", kind, "listener", l.Addr().String(), "from", from.String(),
			"value", value, "limit", limit, "unlogged_before", skipped)
	}
}
