package config

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of rapid unless the command line sets one, so that
// test runs are reproducible. A longer exploration: go test
// -rapid.checks=40000 -rapid.seed=N.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "20261205"})
	os.Exit(m.Run())
}
