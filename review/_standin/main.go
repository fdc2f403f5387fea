// Command standin runs one case of the review: it starts the entry daemons of a small
// deployment as separate processes, plays the platform, the databases and the clients, and
// judges one rule by what they have seen.
//
// Usage: standin CASE PROGRAM RECORD. The exit code is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errNotRun reports that a case could not run.
var errNotRun = errors.New("the case could not run")

var cases = map[string]func(program, record string, trouble bool) (broken bool, err error){
	"revoked-key":  revokedKey,
	"terminate":    terminate,
	"sync-replica": syncReplica,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// logNormal returns a source of work times with a mean and a maximum, spread like those of
// the small deployments.
func logNormal(mean, most time.Duration) func() time.Duration {
	const spread = 0.7
	return func() time.Duration {
		x := math.Exp(spread*rand.NormFloat64() - spread*spread/2)
		return min(most, time.Duration(x*float64(mean)))
	}
}
