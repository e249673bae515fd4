// Package rate keeps a workspace's rate and burst over all entries. The rate is divided over a few owners, each
// with a token bucket. An entry that runs short borrows from the owners: a loan is a short-lived right to admit
// requests. An owner's level and its outstanding loans together never pass its burst, so that no window of any
// length sees more than rate times length plus burst.
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

// Spend tells an owner that a part of a loan was spent, so that it no longer counts against the burst.
type Spend struct {
	Loan   uint64
	Tokens float64
}

// lent is a part of the burst that a borrower may still spend.
type lent struct {
	Loan
	expires time.Time
}

// Bucket is an owner's share. It is immutable; methods return changed copies. Level plus outstanding loans never
// passes the burst.
type Bucket struct {
	// level is below zero while tokens are promised that the rate has yet to bring.
	level float64
	at    time.Time
	loans []lent
}

// NewBucket returns a bucket with the level given. A successor of another holder must start at zero.
func NewBucket(level float64, now time.Time) Bucket { return Bucket{level: level, at: now} }

// Refill returns the bucket as of now.
func (b Bucket) Refill(q Quota, now time.Time) Bucket {
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.level += q.Rate * dt
		b.at = now
	}
	b.loans = slices.DeleteFunc(slices.Clone(b.loans), func(l lent) bool { return !now.Before(l.expires) })
	b.level = min(b.level, max(0, q.Burst-b.outstanding()))
	return b
}

// Returned puts back n tokens that were taken and not spent. The next Refill bounds the level.
func (b Bucket) Returned(n float64) Bucket {
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

// Raised returns the bucket with at least n tokens.
func (b Bucket) Raised(n float64) Bucket {
	b.level = max(b.level, n)
	return b
}

// Take removes n tokens if there are as many.
func (b Bucket) Take(n float64) (Bucket, bool) {
	if b.level < n-epsilon {
		return b, false
	}
	b.level = max(0, b.level-n) // The sum of fractions may be a little below n.
	return b, true
}

// Lend removes up to n tokens and counts them against the burst until they are spent or cannot be spent any more.
func (b Bucket) Lend(n float64, now time.Time) (Bucket, Loan) {
	n = min(n, b.level) // Never more than there are now.
	if n <= epsilon {
		return b, Loan{}
	}
	b.level -= n
	l := Loan{ID: rand.Uint64(), Tokens: n}
	b.loans = append(slices.Clone(b.loans), lent{l, now.Add(LoanLife + loanMargin)})
	return b, l
}

// Release frees the burst from tokens that a borrower reports as spent. Reports of unknown loans change nothing; a
// borrower must send each report once.
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
	// LoanLife is how long a borrower may spend a loan, counted from before it asked.
	LoanLife = 2 * time.Second
	// loanMargin covers the difference in speed of two machines' clocks over a loan's life.
	loanMargin = 100 * time.Millisecond
	// epsilon covers rounding of sums of fractions.
	epsilon = 1e-9
)
