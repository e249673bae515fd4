package rate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReportOfSpentTokensIsSent guards against a loan that the allocator counts as outstanding although it was spent.
// A report used to be taken out of the gateway's state but not sent if there was nothing else to ask for.
func TestReportOfSpentTokensIsSent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var b Borrower
	b = b.WithGrant(TokenRequest{}, Grant{Prefetched: Loan{ID: 7, Tokens: 3}}, 1, now, now)
	b, ok := b.Take(now)
	is.True(ok)
	b, r := b.NextRequest(1, now.Add(minReportInterval))
	is.Equal(r.Spent, []Spend{{Loan: 7, Tokens: 1}})
	is.True(!r.Empty())
	_, r = b.NextRequest(1, now.Add(2*minReportInterval))
	is.True(r.Empty()) // Each report is sent once.
}
