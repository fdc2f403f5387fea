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

// Fraction returns the part of a limit for an instance with the given need, when
// the needs of count instances add up to total. The parts of all add up to one.
func Fraction(need, total float64, count int) float64 {
	if count == 0 {
		return 0
	}
	if total <= 0 {
		return 1 / float64(count)
	}
	base := baseWeight * total / float64(count)
	return (base + need) / (total * (1 + baseWeight))
}
