package turns

import (
	"os"
	"testing"

	"galenaward.example/galenaward/internal/stub/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m)) }
