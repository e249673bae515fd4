package gate

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errUnreachable = errors.New("unreachable")

func leavingNews(n int) news {
	var out news
	for i := range n {
		out.Leaving = append(out.Leaving, upstreamStart{fmt.Sprint("i", i), 1})
	}
	return out
}

// TestNewsAreRepeatedUntilTheyArrive guards against a peer that does not learn what others learned since one message was
// lost.
func TestNewsAreRepeatedUntilTheyArrive(t *testing.T) {
	is := is.New(t)
	d := newNewsDesk()
	is.Equal(d.add([]string{"a", "b"}, leavingNews(2)), 0)
	sent := d.take()
	is.Equal(len(sent), 2)
	is.True(!d.sent("a", sent["a"], nil))
	is.True(!d.sent("b", sent["b"], errUnreachable))
	is.Equal(d.add([]string{"b"}, news{Failing: leavingNews(1).Leaving}), 0)
	again := d.take()
	is.Equal(len(again), 1)
	is.Equal(len(again["b"].Leaving), 2)
	is.Equal(len(again["b"].Failing), 1)
	is.True(!d.sent("b", again["b"], nil))
	is.True(!d.waiting())
}

// TestNewsForAnUnreachablePeerAreBounded covers a peer that never answers.
func TestNewsForAnUnreachablePeerAreBounded(t *testing.T) {
	is := is.New(t)
	d := newNewsDesk()
	is.Equal(d.add([]string{"a"}, leavingNews(maxNews)), 0)
	is.Equal(d.add([]string{"a"}, leavingNews(3)), 3)
	for i := range newsAttempts {
		n := d.take()["a"]
		is.Equal(len(n.Leaving), maxNews)
		is.Equal(d.sent("a", n, errUnreachable), i == newsAttempts-1)
	}
	is.True(!d.waiting())
}
