package rate

import (
	"slices"
	"time"
)

// tokenTTL is how long a token granted to a waiting call may be spent once it is valid.
const tokenTTL = 150 * time.Millisecond

// heldLoan is a loan at its borrower.
type heldLoan struct {
	Loan
	owner int64
	// validFrom is when the loan may first be spent; zero means immediately.
	validFrom time.Time
	expires   time.Time
	// granted says that the allocator already counts the tokens as spent, so that they are neither reported nor put
	// back.
	granted bool
	// spent is the number of tokens that were spent and not reported yet.
	spent float64
}

// LoanSet holds a borrower's loans. It is immutable; methods return modified copies.
type LoanSet struct{ loans []heldLoan }

// WithLoan adds a loan that was requested from the owner's slot at the given time.
func (s LoanSet) WithLoan(l Loan, owner int64, asked time.Time) LoanSet {
	if l.Tokens <= 0 {
		return s
	}
	s.loans = append(slices.Clone(s.loans), heldLoan{Loan: l, owner: owner, expires: asked.Add(LoanTTL)})
	return s
}

// withToken adds a token that was granted to a waiting call and is valid from the given time.
func (s LoanSet) withToken(from time.Time) LoanSet {
	s.loans = slices.DeleteFunc(slices.Clone(s.loans), func(l heldLoan) bool {
		return l.granted && from.After(l.expires.Add(maxCallWait))
	})
	s.loans = append(s.loans, heldLoan{
		Loan: Loan{Tokens: 1}, validFrom: from, expires: from.Add(tokenTTL), granted: true,
	})
	return s
}

func (l heldLoan) live(now time.Time) bool { return now.Before(l.expires) && !now.Before(l.validFrom) }

// Level returns the number of tokens that may be spent now.
func (s LoanSet) Level(now time.Time) float64 {
	var sum float64
	for _, l := range s.loans {
		if l.live(now) {
			sum += l.Tokens
		}
	}
	return sum
}

// pendingTokens returns the number of tokens that are not valid yet.
func (s LoanSet) pendingTokens(now time.Time) int {
	n := 0
	for _, l := range s.loans {
		if now.Before(l.validFrom) {
			n++
		}
	}
	return n
}

// nextPending returns when the next pending token becomes valid.
func (s LoanSet) nextPending(now time.Time) (at time.Time, ok bool) {
	for _, l := range s.loans {
		if now.Before(l.validFrom) && (!ok || l.validFrom.Before(at)) {
			at, ok = l.validFrom, true
		}
	}
	return at, ok
}

// Take removes n tokens if there are that many, in the order in which the loans were received.
func (s LoanSet) Take(n float64, now time.Time) (LoanSet, bool) {
	if s.Level(now) < n-epsilon {
		return s, false
	}
	s.loans = slices.DeleteFunc(slices.Clone(s.loans), func(l heldLoan) bool { return !now.Before(l.expires) })
	for i := range s.loans {
		l := &s.loans[i]
		if !l.live(now) {
			continue
		}
		used := min(n, l.Tokens)
		n -= used
		l.Tokens -= used
		l.spent += used
	}
	s.loans = slices.DeleteFunc(s.loans, func(l heldLoan) bool { return l.granted && l.Tokens < epsilon })
	return s, true
}

// Return puts back up to n tokens that were taken and not used. Tokens that were reported as spent, or whose loan has
// expired, are lost.
func (s LoanSet) Return(n float64, now time.Time) LoanSet {
	s.loans = slices.Clone(s.loans)
	for i := range s.loans {
		l := &s.loans[i]
		if !now.Before(l.expires) || l.granted {
			continue
		}
		back := min(n, l.spent)
		n -= back
		l.spent -= back
		l.Tokens += back
	}
	return s
}

// Report returns what was spent from the owner's loans since the last report, and a copy in which it counts as
// reported.
func (s LoanSet) Report(owner int64) (LoanSet, []Spend) {
	var out []Spend
	var rest []heldLoan
	for _, l := range s.loans {
		if l.owner == owner && l.spent > 0 && !l.granted {
			out = append(out, Spend{Loan: l.ID, Tokens: l.spent})
			l.spent = 0
		}
		if l.Tokens > epsilon || l.spent > 0 {
			rest = append(rest, l)
		}
	}
	return LoanSet{loans: rest}, out
}
