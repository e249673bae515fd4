package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/wire/ctlpb"
)

const nodeLife = 3 * time.Second

func twoNodes() *nodes {
	n := newNodes("dc-1", nodeLife, func(string) bool { return false })
	for _, vm := range []string{"a", "b"} {
		n.Report(&ctlpb.ReportRequest{
			Vm: vm, Instance: vm + ".1", Address: vm, Models: []string{"m"}, Capacity: 1, UpstreamUp: true,
		})
	}
	return n
}

// TestSuccessorOfHomeThatRefusesConnection checks that an entry that has just started returns a successor at once for a
// home that has reported and then refused a connection.
func TestSuccessorOfHomeThatRefusesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := twoNodes()
		n.Suspect("a.1")
		to, ok := n.Home("a.1~root", "a.1")
		is.True(ok)
		is.Equal(to.node.Instance, "b.1")
		is.Equal(to.location.Suspect, "a.1")
	})
}

// TestUnreportedHomeIsDeadOnlyAfterTTL checks that an entry does not count a home that has never reported to it as dead
// before the home had the time to report.
func TestUnreportedHomeIsDeadOnlyAfterTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := twoNodes()
		_, ok := n.Home("c.1~root", "c.1")
		is.True(!ok)
		time.Sleep(nodeLife)
		for _, vm := range []string{"a", "b"} {
			n.Report(&ctlpb.ReportRequest{
				Vm: vm, Instance: vm + ".1", Address: vm, Models: []string{"m"}, Capacity: 1, UpstreamUp: true,
			})
		}
		to, ok := n.Home("c.1~root", "c.1")
		is.True(ok)
		is.Equal(to.location.Suspect, "c.1")
	})
}

// TestHomeAttemptsExceedSuspectTimeout checks that the tries to reach a home go on for longer than the default time
// after which a silent sidecar counts as dead.
func TestHomeAttemptsExceedSuspectTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := time.Now()
		n := 0
		for range homeAttempts(t.Context()) {
			n++
		}
		is.Equal(n, maxHomeAttempts)
		is.True(time.Since(begun) > config.Millis(config.DefaultEntry().SuspectAfterMS))
	})
}
