package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTimeoutAllowsOccasionalLongAttempt checks the timeouts during an outage: most attempts are short, so that the end
// of the outage is noticed soon, and some are long enough for a store that has become very slow.
func TestTimeoutAllowsOccasionalLongAttempt(t *testing.T) {
	is := is.New(t)
	var timeouts adaptiveTimeout
	timeouts.observe(4 * time.Millisecond)
	long := 0
	for attempt := range 40 {
		d := timeouts.timeout(attempt)
		if d == maxTimeout {
			long++
			continue
		}
		is.True(d <= 400*time.Millisecond)
	}
	is.Equal(long, (40-shortAttempts)/longAttemptEvery)
	is.Equal(timeouts.timeout(0), minTimeout)
}

func TestTimeoutFollowsLatency(t *testing.T) {
	is := is.New(t)
	var timeouts adaptiveTimeout
	is.Equal(timeouts.timeout(0), minTimeout)
	for range 50 {
		timeouts.observe(240 * time.Millisecond)
	}
	is.True(timeouts.timeout(0) > time.Second)
	is.True(timeouts.timeout(0) <= maxTimeout)
	is.Equal(timeouts.timeout(3), maxTimeout)
	for range 50 {
		timeouts.observe(4 * time.Millisecond)
	}
	is.Equal(timeouts.timeout(0), minTimeout)
	is.Equal(timeouts.timeout(1), 2*minTimeout)
}
