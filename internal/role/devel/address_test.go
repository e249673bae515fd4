package devel_test

import (
	"net"
	"net/http"
	"testing"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/state/prog"
)

// TestAnotherDeploymentReusesAHomesAddress kills a home and starts a sidecar of another deployment at its address.
// That sidecar knows none of the programs, so the entries must not take its replies for those of the home.
func TestAnotherDeploymentReusesAHomesAddress(t *testing.T) {
	f := startFleet(t, devel.Options{Entries: 2, Engines: 3})
	c := f.as(f.key)
	p := c.program(0)
	f.is.Equal(c.call(0, p, "one").status, http.StatusOK)
	var at string
	for _, s := range f.Sidecars {
		if prog.VMOf(s.Instance) == homeVM(p) {
			at = s.PeersAddr
		}
	}
	f.Kill(homeVM(p))
	_, err := devel.Start(f.group, devel.Options{Sidecar: func(i int, s *config.Sidecar) {
		if s.Service == "" {
			s.ListenPeers = at
		}
	}})
	f.is.NoErr(err)
	f.is.Equal(c.describe(0, p).Turns, 1)
	f.is.Equal(c.call(1, p, "two").status, http.StatusOK)
	f.is.Equal(c.describe(1, p).Turns, 2)
}

// TestRestartWhenThePortIsTaken restarts a sidecar whose port is in use by another listener.
func TestRestartWhenThePortIsTaken(t *testing.T) {
	f := startFleet(t, devel.Options{Engines: 2})
	at := f.Sidecars[0].PeersAddr
	f.Kill("engine-0")
	taken, err := net.Listen("tcp", at)
	f.is.NoErr(err)
	defer taken.Close()
	f.is.NoErr(f.Restart("engine-0"))
	f.is.True(f.Sidecars[0].PeersAddr != at)
	c := f.as(f.key)
	f.eventually("call after the restart", func() bool { return c.call(0, c.program(0), "one").status == http.StatusOK })
}
