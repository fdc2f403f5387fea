package execute

import (
	"flag"
	"os"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestMain fixes the seed of the property tests, unless the command line gives
// one. A longer run: go test ./request/execute -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.steps": "30", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func queryMessage(query string) *pgproto3.Query { return &pgproto3.Query{String: query} }
