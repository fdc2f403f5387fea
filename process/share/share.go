// Package share divides customers' limits among the instances of the fleet. Every instance publishes what it
// needs in its registration; all compute the same division from the same
// publications.
package share

import (
	"samphirehitch.example/samphirehitch/process/topology"
)

// baseWeight is the weight of an instance that has published no need, as a share
// of the average weight: new demand is served from it until it is published.
const baseWeight = 0.1

// Needs is the demand that an instance publishes, in operations a second.
type Needs map[topology.CustomerID]float64

// Fraction returns the part of a limit that self may use, given everyone's needs.
// The parts of all instances add up to one.
func Fraction(self topology.InstanceID, needs map[topology.InstanceID]float64) float64 {
	if len(needs) == 0 {
		return 0
	}
	total := 0.0
	for _, need := range needs {
		total += need
	}
	count := float64(len(needs))
	if total <= 0 {
		if _, listed := needs[self]; !listed {
			return 0
		}
		return 1 / count
	}
	need, listed := needs[self]
	if !listed {
		return 0
	}
	base := baseWeight * total / count
	return (base + need) / (total * (1 + baseWeight))
}
