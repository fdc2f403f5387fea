// Package fixedseed fixes the seed and the length of property tests, so that each
// run gives one verdict, while the command line can still ask for other ones. It
// is used by tests only.
package fixedseed

import (
	"flag"
	"testing"
)

// Rapid holds defaults for the flags of pgregory.net/rapid. A zero Checks or Steps
// leaves the library's.
type Rapid struct {
	Seed          string
	Checks, Steps string
}

// Set applies the defaults to the flags that the command line does not set. It is
// called from TestMain.
func Set(defaults Rapid) {
	setDefault("rapid.seed", defaults.Seed)
	setDefault("rapid.checks", defaults.Checks)
	setDefault("rapid.steps", defaults.Steps)
	setDefault("rapid.nofailfile", "true")
}

// Checks changes the number of checks for one test, unless the command line sets
// it. The test must not run in parallel to others.
func Checks(t testing.TB, checks string) {
	previous := flag.Lookup("rapid.checks").Value.String()
	setDefault("rapid.checks", checks)
	t.Cleanup(func() { setDefault("rapid.checks", previous) })
}

// commandLineFlags names the flags that the command line sets. Set fills it.
var commandLineFlags map[string]bool

func setDefault(name, value string) {
	if commandLineFlags == nil {
		flag.Parse()
		commandLineFlags = make(map[string]bool)
		flag.Visit(func(f *flag.Flag) { commandLineFlags[f.Name] = true })
	}
	if value == "" || commandLineFlags[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
