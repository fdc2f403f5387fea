package retry

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of the property tests, unless the command line sets one.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1"})
	os.Exit(m.Run())
}
