package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSamplerLimitsLinesPerSecond(t *testing.T) {
	is := is.New(t)
	var s sampler
	at := time.Unix(1_700_000_000, 0)
	passed := 0
	for range 3 * maxAnsweredLogsPerSecond {
		if ok, _ := s.allow(at); ok {
			passed++
		}
	}
	is.Equal(passed, maxAnsweredLogsPerSecond)
	ok, skipped := s.allow(at.Add(time.Second))
	is.True(ok)
	is.Equal(skipped, int64(2*maxAnsweredLogsPerSecond))
}
