// Package rate enforces a workspace's request rate and burst across all entry processes. The rate is divided among a
// few owners, each with a token bucket. An entry that runs short borrows from the owners; a loan is a short-lived
// right to admit requests. An owner's level and its outstanding loans together never exceed its burst, so that a time
// window of any length admits at most rate times length plus burst.
package rate

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Quota is one owner's share of a workspace's rate.
type Quota struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Loan is a right to admit requests, lent by an owner. The zero value is no loan.
type Loan struct {
	ID     uint64
	Tokens float64
}

// Spend reports to an owner that part of a loan was spent and no longer counts against the burst.
type Spend struct {
	Loan   uint64
	Tokens float64
}

// outstandingLoan is the part of the burst that a borrower may still spend.
type outstandingLoan struct {
	Loan
	expires time.Time
}

// Bucket is the token bucket of an owner. It is immutable; methods return modified copies. The level plus the
// outstanding loans never exceed the burst.
type Bucket struct {
	// level is negative while tokens are reserved that the refill has yet to supply.
	level      float64
	refilledAt time.Time
	loans      []outstandingLoan
}

// NewBucket returns a bucket with the given level. An owner that succeeds another must start at zero, since its
// predecessor may have spent the tokens.
func NewBucket(level float64, now time.Time) Bucket { return Bucket{level: level, refilledAt: now} }

// Refill returns the bucket as of now.
func (b Bucket) Refill(q Quota, now time.Time) Bucket {
	if dt := now.Sub(b.refilledAt).Seconds(); dt > 0 {
		b.level += q.Rate * dt
		b.refilledAt = now
	}
	b.loans = slices.DeleteFunc(slices.Clone(b.loans), func(l outstandingLoan) bool { return !now.Before(l.expires) })
	b.level = min(b.level, max(0, q.Burst-b.outstanding()))
	return b
}

// WithReturned adds back n tokens that were taken and not spent. The next Refill caps the level.
func (b Bucket) WithReturned(n float64) Bucket {
	b.level += n
	return b
}

func (b Bucket) outstanding() float64 {
	var sum float64
	for _, l := range b.loans {
		sum += l.Tokens
	}
	return sum
}

// Level returns the tokens as of the last refill.
func (b Bucket) Level() float64 { return b.level }

// WithMinLevel returns the bucket with a level of at least n tokens.
func (b Bucket) WithMinLevel(n float64) Bucket {
	b.level = max(b.level, n)
	return b
}

// Take removes n tokens if the bucket holds that many.
func (b Bucket) Take(n float64) (Bucket, bool) {
	if b.level < n-epsilon {
		return b, false
	}
	b.level = max(0, b.level-n) // Rounding may leave the level slightly below n.
	return b, true
}

// Lend removes up to n tokens and counts them against the burst until they are reported as spent or the loan has
// expired at the borrower.
func (b Bucket) Lend(n float64, now time.Time) (Bucket, Loan) {
	n = min(n, b.level) // Only tokens that are available now are lent.
	if n <= epsilon {
		return b, Loan{}
	}
	b.level -= n
	l := Loan{ID: rand.Uint64(), Tokens: n}
	b.loans = append(slices.Clone(b.loans), outstandingLoan{l, now.Add(LoanTTL + clockDriftMargin)})
	return b, l
}

// Release stops counting tokens against the burst that a borrower reports as spent. Reports of unknown loans are
// ignored; a borrower must send each report once.
func (b Bucket) Release(spent []Spend) Bucket {
	b.loans = slices.Clone(b.loans)
	for _, s := range spent {
		for i := range b.loans {
			if b.loans[i].ID == s.Loan {
				b.loans[i].Tokens = max(0, b.loans[i].Tokens-s.Tokens)
			}
		}
	}
	return b
}

const (
	// LoanTTL is the lifetime of a loan at its borrower, counted from before the loan was requested.
	LoanTTL = 2 * time.Second
	// clockDriftMargin covers the drift between two machines' clocks over a loan's lifetime.
	clockDriftMargin = 100 * time.Millisecond
	// epsilon absorbs rounding errors in sums of fractions.
	epsilon = 1e-9
)
