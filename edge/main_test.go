package edge

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1", Checks: "300", Steps: "60"})
	os.Exit(m.Run())
}
