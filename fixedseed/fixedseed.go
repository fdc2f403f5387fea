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
	set("rapid.seed", defaults.Seed)
	set("rapid.checks", defaults.Checks)
	set("rapid.steps", defaults.Steps)
	set("rapid.nofailfile", "true")
}

// Checks changes the number of checks for one test, unless the command line sets
// it. The test must not run in parallel to others.
func Checks(t testing.TB, checks string) {
	before := flag.Lookup("rapid.checks").Value.String()
	set("rapid.checks", checks)
	t.Cleanup(func() { set("rapid.checks", before) })
}

// given names the flags that the command line sets. Set fills it.
var given map[string]bool

func set(name, value string) {
	if given == nil {
		flag.Parse()
		given = make(map[string]bool)
		flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	}
	if value == "" || given[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
