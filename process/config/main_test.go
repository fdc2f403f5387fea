package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed unless one is given, so that every run gives one
// verdict. A longer run: go test -rapid.checks=40000 -rapid.seed=N.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261205", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
