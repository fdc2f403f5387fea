package soak

import (
	"fmt"
	"testing"
	"time"
)

// promotionSeeds are the seeds of --promotion-faults that found a fault, by the number of fault
// injectors.
var promotionSeeds = map[int][]uint64{
	// A record without a fence named the primary of the earlier of two terms, published after the
	// later one had begun: the later primary did not respond (4, 10202, 10211, 10213), or before:
	// another order was outstanding (10205, 10215).
	1: {4, 10202, 10205, 10211, 10213, 10215},
	// The same; published after the later term had begun in 10112 and 10113, and before in the
	// others. In 10101 the later primary brought commits back that the earlier one had cut off,
	// and in 10103 reads on replicas were stale under a record of an outdated term.
	3: {10101, 10103, 10109, 10110, 10112, 10113},
}

func TestSoakOfPromotionFaults(t *testing.T) {
	program := buildDaemon(t)
	for injectors, seeds := range promotionSeeds {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				runSoak(t, program, Options{Seed: seed, FaultDuration: 15 * time.Second, Daemons: 5, Callers: 24, FaultInjectors: injectors, PromotionFaults: true})
			})
		}
	}
}
