package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceGivesUpEarlyAndNowAndThenWaits is the pattern of an outage: its end is noticed soon, and a store that has turned
// very slow gets an answer through all the same.
func TestPaceGivesUpEarlyAndNowAndThenWaits(t *testing.T) {
	is := is.New(t)
	var p pace
	p.answered(4 * time.Millisecond)
	long := 0
	for try := range 40 {
		d := p.timeout(try)
		if d == mostTimeout {
			long++
			continue
		}
		is.True(d <= 400*time.Millisecond)
	}
	is.Equal(long, (40-quickTries)/longEvery)
	is.Equal(p.timeout(0), leastTimeout)
}

func TestPace(t *testing.T) {
	is := is.New(t)
	var p pace
	is.Equal(p.timeout(0), leastTimeout)
	for range 50 {
		p.answered(240 * time.Millisecond)
	}
	is.True(p.timeout(0) > time.Second)
	is.True(p.timeout(0) <= mostTimeout)
	is.Equal(p.timeout(3), mostTimeout)
	for range 50 {
		p.answered(4 * time.Millisecond)
	}
	is.Equal(p.timeout(0), leastTimeout)
	is.Equal(p.timeout(1), 2*leastTimeout)
}
