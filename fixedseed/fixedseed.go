// Package fixedseed fixes the seed and the length of property tests, so that every
// run of the tests has the same result. Flags on the command line take precedence.
// It is used by tests only.
package fixedseed

import (
	"flag"
	"testing"
)

// Rapid holds defaults for the flags of pgregory.net/rapid. An empty Checks or Steps
// keeps the library's default.
type Rapid struct {
	Seed string
	// Checks is the number of generated cases for each property, and Steps the
	// average number of actions of a state machine in one case.
	Checks, Steps string
}

// Set applies the defaults to the flags that the command line does not set, and
// stops rapid from writing files for failed cases. It is called from TestMain.
func Set(defaults Rapid) {
	setDefault("rapid.seed", defaults.Seed)
	setDefault("rapid.checks", defaults.Checks)
	setDefault("rapid.steps", defaults.Steps)
	setDefault("rapid.nofailfile", "true")
}

// SetChecks sets the number of checks until the test is over, unless the command line
// sets it. The test must not run in parallel with others, as the flag is global.
func SetChecks(t testing.TB, checks string) {
	previous := flag.Lookup("rapid.checks").Value.String()
	setDefault("rapid.checks", checks)
	t.Cleanup(func() { setDefault("rapid.checks", previous) })
}

// commandLineFlags holds the names of the flags that the command line sets. The
// first call of setDefault fills it.
var commandLineFlags map[string]bool

// setDefault sets a flag unless the value is empty or the command line sets it.
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
