package owner

import (
	"os"
	"testing"

	"samphirehitch.example/samphirehitch/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1"})
	os.Exit(m.Run())
}
