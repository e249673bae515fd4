package allow

import (
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenaward.example/galenaward/internal/stub/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m)) }

// TestTokensAreNeitherLostNorUsedTwice guards against tokens that are sent although they were returned, and against
// tokens of a grant that are neither used, kept nor returned. The naive version is a set of single tokens.
func TestTokensAreNeitherLostNorUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Allowance
		granted, returned := make(map[string]int64), make(map[string]int64)
		var sent, total int64
		var running []int64
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				var back int64
				for id, n := range returned {
					back += n
					if n > granted[id] {
						t.Fatalf("%d tokens of grant %q were returned, %d granted", n, id, granted[id])
					}
				}
				var reserved int64
				for _, n := range running {
					reserved += n
				}
				if a.Free()+reserved+sent+back != total {
					t.Fatalf("free %d, reserved %d, sent %d, returned %d of %d", a.Free(), reserved, sent, back, total)
				}
			},
			"grant": func(t *rapid.T) {
				id, n := rapid.StringN(8, 8, 8).Draw(t, "id"), rapid.Int64Range(1, 300).Draw(t, "tokens")
				if granted[id] > 0 {
					return
				}
				granted[id], total = n, total+n
				a = a.WithGrant(id, n)
			},
			"begin": func(t *rapid.T) {
				n := rapid.Int64Range(1, 200).Draw(t, "turn")
				next, ok := a.Reserve(n)
				if ok != (a.Free() >= n) {
					t.Fatalf("reserved %d of %d: %v", n, a.Free(), ok)
				}
				if ok {
					a, running = next, append(running, n)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				used := rapid.Int64Range(0, running[0]).Draw(t, "used")
				a = a.WithEnd(running[0], used)
				running, sent = running[1:], sent+used
			},
			"release": func(t *rapid.T) {
				var out []Return
				a, out = a.Release()
				for _, r := range out {
					returned[r.ID] += r.Unused
				}
			},
		})
	})
}

// TestReleaseKeepsWhatTurnsReserved guards against tokens that are returned while a turn may still send them.
func TestReleaseKeepsWhatTurnsReserved(t *testing.T) {
	is := is.New(t)
	a, ok := Allowance{}.WithGrant("a", 100).WithGrant("b", 100).Reserve(80)
	is.True(ok)
	a, out := a.Release()
	is.Equal(out, []Return{{ID: "b", Unused: 100, Closed: true}, {ID: "a", Unused: 20}})
	is.Equal(a.Free(), int64(0))
	a, out = a.WithEnd(80, 30).Release()
	is.Equal(out, []Return{{ID: "a", Unused: 50, Closed: true}})
	is.True(a.Empty())
}
