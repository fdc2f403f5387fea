package database

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of the generated cases, unless the command line gives
// one. A longer run: go test ./standin/database -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1"})
	os.Exit(m.Run())
}
