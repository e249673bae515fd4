package rate

import "time"

const (
	// maxCallWait is the longest time that a call waits for its token; a call that would wait longer is refused
	// immediately.
	maxCallWait = time.Second
	// maxProgramWait is the longest time that a starting program waits.
	maxProgramWait = 150 * time.Millisecond
	// shortageWait is the wait of a call from which the workspace counts as short of tokens.
	shortageWait = 250 * time.Millisecond
	// shortagePause is how long no program may start after its workspace was short of tokens.
	shortagePause = 200 * time.Millisecond
	// estimatePause is how long the estimate of requests per program is not updated after a shortage. Programs cut
	// short for lack of tokens would lower the estimate, and most of them end within this time.
	estimatePause = 5 * time.Second
	// prefetchReserve is the fraction of the burst that is not lent for calls that have yet to arrive.
	prefetchReserve = 0.4
	// programOvercommit is the factor by which the expected demand of starting programs may exceed the workspace's
	// rate, since not every program uses what is expected of it.
	programOvercommit = 1.3
	// ampleLevelRatio is the fraction of the burst above which programs start even if programBucket is empty.
	ampleLevelRatio = 0.15
	// ampleMinTokens is the least number of tokens that must also be available for that; a program spends about as
	// many right after its start.
	ampleMinTokens = 3
	// priorRequestsPerProgram is the prior estimate of the requests per program; it is weighted like priorPrograms
	// observed programs.
	priorRequestsPerProgram, priorPrograms = 10, 10
	// programHistoryLimit is the number of programs after which the weight of past observations is halved.
	programHistoryLimit = 200
	// minRetryAfter is the shortest delay before a refused call may be retried.
	minRetryAfter = 150 * time.Millisecond
)

// TokenRequest is a gateway's request for tokens to the allocator of a workspace's rate.
type TokenRequest struct {
	// ForPrograms marks a request for starting programs, which have a bucket of their own.
	ForPrograms bool `json:"begins,omitempty"`
	// Waiting is the number of calls that wait for one token each, MaxWaitMS how long they may wait; zero means the
	// allocator's own limit.
	Waiting   int     `json:"waiting,omitempty"`
	MaxWaitMS float64 `json:"longest_ms,omitempty"`
	// Prefetch is the number of tokens wanted for calls that have not arrived yet.
	Prefetch float64 `json:"ahead,omitempty"`
	// Spent reports the tokens used from earlier loans, Returned the number of tokens given back unused.
	Spent    []Spend `json:"spent,omitempty"`
	Returned float64 `json:"returned,omitempty"`
}

// WithinLease returns the request for an allocator whose lease ends after the given time. Tokens that become available
// later are not granted, since a successor grants what accrues from then on. Loans may outlive the lease: their tokens
// have accrued before, and a successor starts with none.
func (r TokenRequest) WithinLease(left time.Duration) TokenRequest {
	limit := max(1, millis(left))
	if r.MaxWaitMS <= 0 || r.MaxWaitMS > limit {
		r.MaxWaitMS = limit
	}
	return r
}

// maxWait returns how long a call may wait, at most limit.
func (r TokenRequest) maxWait(limit time.Duration) time.Duration {
	if r.MaxWaitMS <= 0 {
		return limit
	}
	return min(limit, time.Duration(r.MaxWaitMS*float64(time.Millisecond)))
}

// Grant is the allocator's answer to a TokenRequest.
type Grant struct {
	// Waits holds the delays after which each token may be spent, in milliseconds, in ascending order. A token
	// expires if it is not spent soon after.
	Waits []float64 `json:"waits_ms,omitempty"`
	// Refused is the number of calls that get no token, RetryAfterMS the delay after which they may be retried.
	Refused      int     `json:"refused,omitempty"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	// Prefetched is a loan for calls that have not arrived yet.
	Prefetched Loan `json:"ahead"`
}

// RetryAfter returns the delay after which a refused call may be retried.
func (g Grant) RetryAfter() time.Duration {
	return time.Duration(g.RetryAfterMS * float64(time.Millisecond))
}

// Allocator allocates the whole rate of one workspace, in the order in which requests reach it. It is immutable.
type Allocator struct {
	quota Quota
	// requestBucket limits requests, programBucket the programs that may start.
	requestBucket, programBucket Bucket
	// grantedRequests and grantedPrograms count the tokens granted for each, with older ones discounted.
	grantedRequests, grantedPrograms float64
	// lastShortage is when a call last had to wait long or was refused.
	lastShortage time.Time
}

// NewAllocator returns an allocator whose request bucket has the given level. A successor must start at zero, since its
// predecessor may have granted any of the burst. The program bucket promises no requests, so it starts full.
func NewAllocator(q Quota, level float64, now time.Time) Allocator {
	a := Allocator{quota: q, requestBucket: NewBucket(min(level, q.Burst), now)}
	a.programBucket = NewBucket(a.programQuota().Burst, now)
	return a
}

// WithQuota returns the allocator with another quota.
func (a Allocator) WithQuota(q Quota) Allocator {
	a.quota = q
	return a
}

// requestsPerProgram returns the estimated number of requests that a program sends.
func (a Allocator) requestsPerProgram() float64 {
	return max(1, (a.grantedRequests+priorRequestsPerProgram*priorPrograms)/(a.grantedPrograms+priorPrograms))
}

func (a Allocator) programQuota() Quota {
	n := a.requestsPerProgram()
	return Quota{Rate: a.quota.Rate * programOvercommit / n, Burst: max(1, a.quota.Burst*programOvercommit/n)}
}

// Grant answers a gateway's request.
func (a Allocator) Grant(r TokenRequest, now time.Time) (Allocator, Grant) {
	a.requestBucket = a.requestBucket.Refill(a.quota, now)
	if r.ForPrograms {
		return a.grantPrograms(r, now)
	}
	a.requestBucket = a.requestBucket.Release(r.Spent).WithReturned(r.Returned)
	updateEstimate := now.Sub(a.lastShortage) > estimatePause
	var g Grant
	a.requestBucket, g = a.requestBucket.reserve(a.quota.Rate, r.Waiting, r.maxWait(maxCallWait))
	if g.Refused > 0 || (len(g.Waits) > 0 && g.Waits[len(g.Waits)-1] >= millis(shortageWait)) {
		a.lastShortage = now
	}
	if r.Prefetch > 0 && a.requestBucket.Level() >= r.Prefetch+prefetchReserve*a.quota.Burst {
		a.requestBucket, g.Prefetched = a.requestBucket.Lend(r.Prefetch, now)
	}
	if updateEstimate {
		a.grantedRequests = max(0, a.grantedRequests+float64(len(g.Waits))-r.Returned)
		for _, s := range r.Spent {
			a.grantedRequests += s.Tokens
		}
	}
	return a, g
}

// grantPrograms grants tokens to starting programs.
func (a Allocator) grantPrograms(r TokenRequest, now time.Time) (Allocator, Grant) {
	if pause := shortagePause - now.Sub(a.lastShortage); pause > 0 {
		return a, Grant{Refused: r.Waiting, RetryAfterMS: millis(max(minRetryAfter, pause))}
	}
	q := a.programQuota()
	a.programBucket = a.programBucket.Refill(q, now)
	if a.requestBucket.Level() > max(ampleMinTokens, ampleLevelRatio*a.quota.Burst) {
		a.programBucket = a.programBucket.WithMinLevel(float64(r.Waiting))
	}
	var g Grant
	a.programBucket, g = a.programBucket.reserve(q.Rate, r.Waiting, r.maxWait(maxProgramWait))
	a.grantedPrograms += float64(len(g.Waits))
	if a.grantedPrograms > programHistoryLimit {
		a.grantedPrograms, a.grantedRequests = a.grantedPrograms/2, a.grantedRequests/2
	}
	return a, g
}

// reserve takes one token for each of n calls in order. A token that is not available yet is granted with the delay
// after which it will be; calls that would wait longer than maxWait are refused.
func (b Bucket) reserve(perSecond float64, n int, maxWait time.Duration) (Bucket, Grant) {
	var g Grant
	for range n {
		wait := time.Duration(0)
		if b.level < 1-epsilon {
			wait = time.Duration(float64(time.Second) * (1 - b.level) / perSecond)
		}
		if wait > maxWait {
			g.Refused++
			g.RetryAfterMS = millis(max(minRetryAfter, wait))
			continue
		}
		b.level--
		g.Waits = append(g.Waits, millis(wait))
	}
	return b, g
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
