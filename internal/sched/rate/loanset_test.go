package rate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// TestReturnUnusedTokens puts back tokens of requests that did not run.
func TestReturnUnusedTokens(t *testing.T) {
	tests := []struct {
		name string
		// Of five tokens, taken are taken, reported if report is set, and back are put back after the delay later.
		taken, back float64
		report      bool
		later       time.Duration
		level       float64
		spent       float64
	}{
		{name: "one of two", taken: 2, back: 1, level: 4, spent: 1},
		{name: "never more than were taken", taken: 2, back: 9, level: 5},
		{name: "none that was reported", taken: 2, back: 1, report: true, level: 3},
		{name: "none of a loan that expired", taken: 2, back: 1, later: LoanTTL, spent: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, ok := LoanSet{}.WithLoan(Loan{ID: 1, Tokens: 5}, 7, noon).Take(tt.taken, noon)
			is.True(ok)
			if tt.report {
				s, _ = s.Report(7)
			}
			now := noon.Add(tt.later)
			s = s.Return(tt.back, now)
			is.Equal(s.Level(now), tt.level)
			_, spends := s.Report(7)
			sum := 0.0
			for _, spend := range spends {
				sum += spend.Tokens
			}
			is.Equal(sum, tt.spent)
		})
	}
}

// TestReturnedTokensStayWithinBurst covers a workspace whose requests pass the limiter but keep being refused later.
// Tokens are taken and returned all the time, and no more than rate and burst allow may ever be spent.
func TestReturnedTokensStayWithinBurst(t *testing.T) {
	is := is.New(t)
	q := Quota{Rate: 10, Burst: 10}
	b, s := NewBucket(q.Burst, noon), LoanSet{}
	ran := 0
	for ms := range 5000 {
		now := noon.Add(time.Duration(ms) * time.Millisecond)
		if ms%30 == 0 {
			var spends []Spend
			s, spends = s.Report(1)
			var l Loan
			b, l = b.Refill(q, now).Release(spends).Lend(2, now)
			s = s.WithLoan(l, 1, now)
		}
		var ok bool
		if s, ok = s.Take(1, now); !ok {
			continue
		}
		if ms%3 == 0 {
			ran++
			continue
		}
		s = s.Return(1, now)
	}
	is.True(ran <= 10+5*10)
	is.True(ran >= 5*10-5) // Refused requests use almost none of the rate.
}
