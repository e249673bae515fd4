package rate

import (
	"slices"
	"time"
)

// borrowed is a loan at its borrower.
type borrowed struct {
	Loan
	owner   int64
	expires time.Time
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

// Level returns the tokens that may still be spent.
func (w Wallet) Level(now time.Time) float64 {
	var sum float64
	for _, l := range w.loans {
		if now.Before(l.expires) {
			sum += l.Tokens
		}
	}
	return sum
}

// Take removes n tokens if there are as many, those that expire first before the others.
func (w Wallet) Take(n float64, now time.Time) (Wallet, bool) {
	if w.Level(now) < n-epsilon {
		return w, false
	}
	w.loans = slices.DeleteFunc(slices.Clone(w.loans), func(l borrowed) bool { return !now.Before(l.expires) })
	for i := range w.loans {
		l := &w.loans[i]
		used := min(n, l.Tokens)
		n -= used
		l.Tokens -= used
		l.spent += used
	}
	return w, true
}

// Return puts back up to n tokens that were taken and not used. Those that were reported as spent, or whose loan has
// expired, are lost.
func (w Wallet) Return(n float64, now time.Time) Wallet {
	w.loans = slices.Clone(w.loans)
	for i := range w.loans {
		l := &w.loans[i]
		if !now.Before(l.expires) {
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
		if l.owner == owner && l.spent > 0 {
			out = append(out, Spend{Loan: l.ID, Tokens: l.spent})
			l.spent = 0
		}
		if l.Tokens > epsilon || l.spent > 0 {
			rest = append(rest, l)
		}
	}
	return Wallet{loans: rest}, out
}
