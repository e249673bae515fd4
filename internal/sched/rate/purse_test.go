package rate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReportOfSpentTokensIsSent guards against a loan that counts as outstanding at the keeper although it was spent: a
// report was taken from the purse and, if there was nothing else to ask, not sent.
func TestReportOfSpentTokensIsSent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var p Purse
	p = p.Credit(Ask{}, Grant{Ahead: Loan{ID: 7, Tokens: 3}}, 1, now, now)
	p, ok := p.Take(now)
	is.True(ok)
	p, a := p.Ask(1, now.Add(reportEvery))
	is.Equal(a.Spent, []Spend{{Loan: 7, Tokens: 1}})
	is.True(!a.Empty())
	_, a = p.Ask(1, now.Add(2*reportEvery))
	is.True(a.Empty()) // It was told once.
}
