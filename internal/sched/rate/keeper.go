package rate

import "time"

const (
	// callWait is the longest that the keeper lets a call wait for its token; later ones are refused at once.
	callWait = time.Second
	// beginWait is the longest that a program which begins waits.
	beginWait = 150 * time.Millisecond
	// scarceWait is the wait of a call from which on the workspace counts as short of tokens.
	scarceWait = 250 * time.Millisecond
	// scarcePause is how long no program begins after its workspace was short of tokens.
	scarcePause = 200 * time.Millisecond
	// scarceTime is how long after that nothing is learned about programs: those cut short for want of tokens would make
	// others look small, and most end within it.
	scarceTime = 5 * time.Second
	// aheadReserve is the part of the burst that stays with the keeper when tokens are lent ahead of calls.
	aheadReserve = 0.4
	// planRoom is how much more than a workspace's rate the programs that begin may need together. Not every program
	// takes what it is expected to.
	planRoom = 1.3
	// plentyLevel is the part of its burst above which a workspace's programs begin whatever the plan says.
	plentyLevel = 0.15
	// plentyTokens is the number of tokens that must be there at least, which a program spends in its first moments.
	plentyTokens = 3
	// firstExpected is the number of requests that a program is taken to need before any was seen, and counts as much
	// as firstPrograms programs.
	firstExpected, firstPrograms = 10, 10
	// rememberedPrograms is the number of programs after which what was learned counts half.
	rememberedPrograms = 200
	// leastRetry is the least time after which a refused call may come back.
	leastRetry = 150 * time.Millisecond
)

// Ask is what a gateway asks of the keeper of a workspace's rate.
type Ask struct {
	// Begins says that the tokens are for programs that begin, which the keeper plans apart.
	Begins bool `json:"begins,omitempty"`
	// Waiting is the number of calls that wait for a token each, LongestMS how long they may wait; zero for the keeper's
	// own limit.
	Waiting   int     `json:"waiting,omitempty"`
	LongestMS float64 `json:"longest_ms,omitempty"`
	// Ahead is the tokens wanted for calls that have not arrived.
	Ahead float64 `json:"ahead,omitempty"`
	// Spent tells what was used of earlier loans, Returned how many tokens were given back unused.
	Spent    []Spend `json:"spent,omitempty"`
	Returned float64 `json:"returned,omitempty"`
}

// longest returns how long a call may wait where the keeper allows so long.
func (a Ask) longest(allowed time.Duration) time.Duration {
	if a.LongestMS <= 0 {
		return allowed
	}
	return min(allowed, time.Duration(a.LongestMS*float64(time.Millisecond)))
}

// Grant is the keeper's answer.
type Grant struct {
	// Waits holds the time after which each token may be spent, in milliseconds, in rising order. A token is void if it
	// is not spent soon after.
	Waits []float64 `json:"waits_ms,omitempty"`
	// Refused is the number of calls that get no token, RetryAfterMS when they may come back.
	Refused      int     `json:"refused,omitempty"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	// Ahead is a loan for calls to come.
	Ahead Loan `json:"ahead"`
}

// RetryAfter returns when a refused call may come back.
func (g Grant) RetryAfter() time.Duration {
	return time.Duration(g.RetryAfterMS * float64(time.Millisecond))
}

// Keeper decides over the whole rate of one workspace, call by call in the order in which they reach it. It is
// immutable.
type Keeper struct {
	quota Quota
	// whole holds the rate, plan the programs that may begin.
	whole, plan Bucket
	// requests and programs are the tokens granted for each, older ones less.
	requests, programs float64
	// scarce is when a call last had to wait long or was refused.
	scarce time.Time
}

// NewKeeper returns a keeper whose bucket has the level given. A successor of another one must start at zero, since its
// predecessor may have granted any of it. The plan promises nothing, so it starts full.
func NewKeeper(q Quota, level float64, now time.Time) Keeper {
	k := Keeper{quota: q, whole: NewBucket(min(level, q.Burst), now)}
	k.plan = NewBucket(k.planQuota().Burst, now)
	return k
}

// WithQuota returns the keeper under another quota.
func (k Keeper) WithQuota(q Quota) Keeper {
	k.quota = q
	return k
}

// expected returns the number of requests that a program needs.
func (k Keeper) expected() float64 {
	return max(1, (k.requests+firstExpected*firstPrograms)/(k.programs+firstPrograms))
}

func (k Keeper) planQuota() Quota {
	n := k.expected()
	return Quota{Rate: k.quota.Rate * planRoom / n, Burst: max(1, k.quota.Burst*planRoom/n)}
}

// Grant answers a gateway.
func (k Keeper) Grant(a Ask, now time.Time) (Keeper, Grant) {
	k.whole = k.whole.Refill(k.quota, now)
	if a.Begins {
		return k.begin(a, now)
	}
	k.whole = k.whole.Release(a.Spent).Returned(a.Returned)
	learn := now.Sub(k.scarce) > scarceTime
	var g Grant
	k.whole, g = k.whole.promise(k.quota.Rate, a.Waiting, a.longest(callWait))
	if g.Refused > 0 || (len(g.Waits) > 0 && g.Waits[len(g.Waits)-1] >= millis(scarceWait)) {
		k.scarce = now
	}
	if a.Ahead > 0 && k.whole.Level() >= a.Ahead+aheadReserve*k.quota.Burst {
		k.whole, g.Ahead = k.whole.Lend(a.Ahead, now)
	}
	if learn {
		k.requests = max(0, k.requests+float64(len(g.Waits))-a.Returned)
		for _, s := range a.Spent {
			k.requests += s.Tokens
		}
	}
	return k, g
}

// begin grants tokens for programs that begin.
func (k Keeper) begin(a Ask, now time.Time) (Keeper, Grant) {
	if pause := scarcePause - now.Sub(k.scarce); pause > 0 {
		return k, Grant{Refused: a.Waiting, RetryAfterMS: millis(max(leastRetry, pause))}
	}
	q := k.planQuota()
	k.plan = k.plan.Refill(q, now)
	if k.whole.Level() > max(plentyTokens, plentyLevel*k.quota.Burst) {
		k.plan = k.plan.Raised(float64(a.Waiting))
	}
	var g Grant
	k.plan, g = k.plan.promise(q.Rate, a.Waiting, a.longest(beginWait))
	k.programs += float64(len(g.Waits))
	if k.programs > rememberedPrograms {
		k.programs, k.requests = k.programs/2, k.requests/2
	}
	return k, g
}

// promise takes one token for each of n calls in order, those that are not there yet at the time when they will be.
func (b Bucket) promise(perSecond float64, n int, longest time.Duration) (Bucket, Grant) {
	var g Grant
	for range n {
		wait := time.Duration(0)
		if b.level < 1-epsilon {
			wait = time.Duration(float64(time.Second) * (1 - b.level) / perSecond)
		}
		if wait > longest {
			g.Refused++
			g.RetryAfterMS = millis(max(leastRetry, wait))
			continue
		}
		b.level--
		g.Waits = append(g.Waits, millis(wait))
	}
	return b, g
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
