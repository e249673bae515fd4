package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTimeoutFollowsLatency(t *testing.T) {
	is := is.New(t)
	var timeouts adaptiveTimeout
	is.Equal(timeouts.timeout(), minTimeout)
	for range 50 {
		timeouts.observe(240 * time.Millisecond)
	}
	is.True(timeouts.timeout() > time.Second)
	is.True(timeouts.timeout() <= maxTimeout)
	for range 50 {
		timeouts.observe(4 * time.Millisecond)
	}
	is.Equal(timeouts.timeout(), minTimeout)
}
