package ledger

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of rapid unless the command line sets one.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "7", Checks: "400", Steps: "60"})
	os.Exit(m.Run())
}
