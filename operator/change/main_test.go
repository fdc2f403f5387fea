package change

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of the property tests unless the command line sets one, so
// that repeated runs have the same result. For a longer run:
// go test ./operator/change -rapid.checks=40000 -rapid.seed=N
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "20261206"})
	os.Exit(m.Run())
}
