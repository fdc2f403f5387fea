package execute

import (
	"os"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/fixedseed"
)

// TestMain fixes the seed of the property tests, unless the command line sets
// it. For a longer run: go test ./request/execute -rapid.seed=N
// -rapid.checks=N.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1", Checks: "40", Steps: "30"})
	os.Exit(m.Run())
}

func queryMessage(query string) *pgproto3.Query { return &pgproto3.Query{String: query} }
