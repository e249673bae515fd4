package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrashingRequestIsNotForgottenWhileItComes guards against rule BUDGET broken by a request that ends its upstreams and
// comes again and again: it was forgotten half a minute after its last crash.
func TestCrashingRequestIsNotForgottenWhileItComes(t *testing.T) {
	is := is.New(t)
	tab := NewTable(30 * time.Second).WithLimit(3)
	now := time.Unix(1000, 0)
	ends := 0
	for range 24 * 60 * 12 { // Every five seconds for a day.
		if tab.Verdict(1, now) != Quarantined {
			ends++
			tab = tab.WithCrash([]uint64{1}, now.String(), now)
		}
		now = now.Add(5 * time.Second)
	}
	is.True(ends >= 3)
	is.True(ends <= 3+3)
}
