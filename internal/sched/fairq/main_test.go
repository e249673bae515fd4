package fairq

import (
	"os"
	"testing"

	"galenaward.example/galenaward/internal/stub/fixed"
)

func TestMain(m *testing.M) { os.Exit(fixed.Run(m)) }
