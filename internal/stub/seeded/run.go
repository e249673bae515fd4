// Package seeded runs the tests of a package with a fixed seed for property-based tests, so that results are
// reproducible.
package seeded

import (
	"flag"
	"testing"
)

// Seed and Checks are the values of the flags rapid.seed and rapid.checks unless the command line sets them.
const (
	Seed   = "20261204"
	Checks = "1000"
)

// Run runs the tests and returns the exit code. It is called from TestMain:
//
//	func TestMain(m *testing.M) { os.Exit(seeded.Run(m)) }
func Run(m *testing.M) int {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.checks": Checks} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
