package retry

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of rapid, unless the command line sets it.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1"})
	os.Exit(m.Run())
}
