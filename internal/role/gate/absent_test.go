package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAbsences is the pattern of a store that takes no appends to one partition for seconds: the first turns wait for a
// home, later ones are told at once.
func TestAbsences(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var a absences
	is.True(!a.missing(1, now))
	is.True(!a.missing(1, now.Add(time.Second)))
	is.True(a.missing(1, now.Add(2*time.Second)))
	is.True(!a.missing(2, now.Add(2*time.Second)))
	a.met(1)
	is.True(!a.missing(1, now.Add(3*time.Second)))
}
