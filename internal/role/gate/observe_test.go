package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSamplerBoundsEachSecond(t *testing.T) {
	is := is.New(t)
	var s sampler
	at := time.Unix(1_700_000_000, 0)
	passed := 0
	for range 3 * answeredPerSecond {
		if ok, _ := s.pass(at); ok {
			passed++
		}
	}
	is.Equal(passed, answeredPerSecond)
	ok, skipped := s.pass(at.Add(time.Second))
	is.True(ok)
	is.Equal(skipped, int64(2*answeredPerSecond))
}
