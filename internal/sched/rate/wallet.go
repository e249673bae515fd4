package rate

import (
	"slices"
	"time"
)

// tokenLife is how long after its time a token that a waiting call was granted may be spent.
const tokenLife = 150 * time.Millisecond

// borrowed is a loan at its borrower.
type borrowed struct {
	Loan
	owner int64
	// from is when the loan may be spent; zero for at once.
	from    time.Time
	expires time.Time
	// granted says that the keeper counts the loan as spent, so that it is neither reported nor put back.
	granted bool
	// spent is what was spent and not reported yet.
	spent float64
}

// Wallet holds a borrower's loans. It is immutable; methods return changed copies.
type Wallet struct{ loans []borrowed }

// WithLoan returns a wallet with a loan that was asked of the owner's slot at the time given.
func (w Wallet) WithLoan(l Loan, owner int64, asked time.Time) Wallet {
	if l.Tokens <= 0 {
		return w
	}
	w.loans = append(slices.Clone(w.loans), borrowed{Loan: l, owner: owner, expires: asked.Add(LoanLife)})
	return w
}

// withToken returns a wallet with a token that a waiting call was granted for the time given.
func (w Wallet) withToken(from time.Time) Wallet {
	w.loans = slices.DeleteFunc(slices.Clone(w.loans), func(l borrowed) bool { return l.granted && from.After(l.expires.Add(callWait)) })
	w.loans = append(w.loans, borrowed{Loan: Loan{Tokens: 1}, from: from, expires: from.Add(tokenLife), granted: true})
	return w
}

func (l borrowed) live(now time.Time) bool { return now.Before(l.expires) && !now.Before(l.from) }

// Level returns the tokens that may be spent now.
func (w Wallet) Level(now time.Time) float64 {
	var sum float64
	for _, l := range w.loans {
		if l.live(now) {
			sum += l.Tokens
		}
	}
	return sum
}

// promised returns the number of tokens that may be spent later.
func (w Wallet) promised(now time.Time) int {
	n := 0
	for _, l := range w.loans {
		if now.Before(l.from) {
			n++
		}
	}
	return n
}

// next returns when the next of them may be spent.
func (w Wallet) next(now time.Time) (at time.Time, ok bool) {
	for _, l := range w.loans {
		if now.Before(l.from) && (!ok || l.from.Before(at)) {
			at, ok = l.from, true
		}
	}
	return at, ok
}

// Take removes n tokens if there are as many, those that expire first before the others.
func (w Wallet) Take(n float64, now time.Time) (Wallet, bool) {
	if w.Level(now) < n-epsilon {
		return w, false
	}
	w.loans = slices.DeleteFunc(slices.Clone(w.loans), func(l borrowed) bool { return !now.Before(l.expires) })
	for i := range w.loans {
		l := &w.loans[i]
		if !l.live(now) {
			continue
		}
		used := min(n, l.Tokens)
		n -= used
		l.Tokens -= used
		l.spent += used
	}
	w.loans = slices.DeleteFunc(w.loans, func(l borrowed) bool { return l.granted && l.Tokens < epsilon })
	return w, true
}

// Return puts back up to n tokens that were taken and not used. Those that were reported as spent, or whose loan has
// expired, are lost.
func (w Wallet) Return(n float64, now time.Time) Wallet {
	w.loans = slices.Clone(w.loans)
	for i := range w.loans {
		l := &w.loans[i]
		if !now.Before(l.expires) || l.granted {
			continue
		}
		back := min(n, l.spent)
		n -= back
		l.spent -= back
		l.Tokens += back
	}
	return w
}

// Report returns what was spent of the owner's loans since the last report, and a wallet that has reported it.
func (w Wallet) Report(owner int64) (Wallet, []Spend) {
	var out []Spend
	var rest []borrowed
	for _, l := range w.loans {
		if l.owner == owner && l.spent > 0 && !l.granted {
			out = append(out, Spend{Loan: l.ID, Tokens: l.spent})
			l.spent = 0
		}
		if l.Tokens > epsilon || l.spent > 0 {
			rest = append(rest, l)
		}
	}
	return Wallet{loans: rest}, out
}
