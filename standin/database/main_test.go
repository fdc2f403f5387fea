package database

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of the property tests unless the command line sets it. A
// longer run: go test ./standin/database -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1"})
	os.Exit(m.Run())
}
