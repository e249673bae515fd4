package sizing

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCapacityPageHasEstimates checks that docs/CAPACITY.md contains every estimate as it is computed now.
func TestCapacityPageHasEstimates(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../../../docs/CAPACITY.md")
	is.NoErr(err)
	page := string(b)
	lines := append(append(Estimates(Today()), Estimates(Planned())...), LimitingSizes()...)
	for _, l := range lines {
		if !strings.Contains(page, l.String()) {
			t.Errorf("docs/CAPACITY.md lacks the line %s", l)
		}
	}
}
