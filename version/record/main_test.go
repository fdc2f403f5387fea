package record

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of the property tests unless the command line sets one, so
// that repeated runs have the same result. For a longer run:
// go test ./version/record -rapid.checks=40000 -rapid.seed=N
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "20261204"})
	os.Exit(m.Run())
}
