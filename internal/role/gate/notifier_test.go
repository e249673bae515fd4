package gate

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errUnreachable = errors.New("unreachable")

func leavingNotice(n int) notice {
	var out notice
	for i := range n {
		out.Leaving = append(out.Leaving, upstreamStart{fmt.Sprint("i", i), 1})
	}
	return out
}

func givenUp(yes bool, _ int) bool { return yes }

// TestNoticeIsRepeatedUntilItArrives guards against a peer that does not learn what others learned since one message was
// lost.
func TestNoticeIsRepeatedUntilItArrives(t *testing.T) {
	is := is.New(t)
	d := newNotifier()
	is.Equal(d.add([]string{"a", "b"}, leavingNotice(2)), 0)
	sent := d.take()
	is.Equal(len(sent), 2)
	is.True(!givenUp(d.sent("a", sent["a"], nil)))
	is.True(!givenUp(d.sent("b", sent["b"], errUnreachable)))
	is.Equal(d.add([]string{"b"}, notice{Failing: leavingNotice(1).Leaving}), 0)
	again := d.take()
	is.Equal(len(again), 1)
	is.Equal(len(again["b"].Leaving), 2)
	is.Equal(len(again["b"].Failing), 1)
	is.True(!givenUp(d.sent("b", again["b"], nil)))
	is.True(!d.waiting())
}

// TestNoticesForAnUnreachablePeerAreBounded covers a peer that never answers.
func TestNoticesForAnUnreachablePeerAreBounded(t *testing.T) {
	is := is.New(t)
	d := newNotifier()
	is.Equal(d.add([]string{"a"}, leavingNotice(maxNoticeItems)), 0)
	is.Equal(d.add([]string{"a"}, leavingNotice(3)), 3)
	for i := range noticeAttempts {
		n := d.take()["a"]
		is.Equal(len(n.Leaving), maxNoticeItems)
		is.Equal(givenUp(d.sent("a", n, errUnreachable)), i == noticeAttempts-1)
	}
	is.True(!d.waiting())
}
