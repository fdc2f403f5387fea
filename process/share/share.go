// Package share divides limits of the whole fleet among its instances: customers'
// rates and bursts, and connections to targets. Every instance publishes what it
// needs in its registration; all compute the same division from the same
// publications.
package share

import (
	"cmp"
	"slices"

	"samphirehitch.example/samphirehitch/process/topology"
)

// baseWeight is the weight of an instance that has published no need, as a share
// of the average weight: new demand is served from it until it is published.
const baseWeight = 0.1

// Needs is what an instance publishes.
type Needs struct {
	// Customers is demand in operations a second.
	Customers map[topology.CustomerID]float64 `json:"customers,omitempty"`
	// Services is demand for connections in busy connections.
	Services map[topology.ServiceID]float64 `json:"services,omitempty"`
}

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

// Connections returns how many of limit connections self may hold: one for each
// instance, the rest by need. The numbers of all instances add up to limit at
// most, unless there are more instances than connections.
func Connections(self topology.InstanceID, limit int, needs map[topology.InstanceID]float64) int {
	if _, listed := needs[self]; !listed {
		return 1
	}
	rest := limit - len(needs)
	if rest <= 0 {
		return 1
	}
	type claim struct {
		instance topology.InstanceID
		whole    int
		part     float64
	}
	claims := make([]claim, 0, len(needs))
	given := 0
	for instance := range needs {
		exact := Fraction(instance, needs) * float64(rest)
		whole := int(exact)
		given += whole
		claims = append(claims, claim{instance: instance, whole: whole, part: exact - float64(whole)})
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(b.part, a.part), cmp.Compare(a.instance, b.instance))
	})
	for i, c := range claims {
		if c.instance != self {
			continue
		}
		if i < rest-given {
			c.whole++
		}
		return 1 + c.whole
	}
	return 1
}
