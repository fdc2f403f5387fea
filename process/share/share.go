// Package share divides customers' limits among the instances of the fleet. Every instance publishes what it
// needs in its registration; all compute the same division from the same
// publications.
package share

import (
	"samphirehitch.example/samphirehitch/process/topology"
)

// openShare is the part of what nobody needs that goes to all instances alike; the
// rest goes to a customer's homes, where its demand is expected.
const openShare = 0.2

// Claim is what an instance's part of a customer's limit follows from.
type Claim struct {
	// Need is the demand here and Total that of all instances, in operations a
	// second; Rate is the customer's.
	Need, Total, Rate float64
	// Roles is in how many of the Services the instance is the customer's home.
	Roles, Services int
	// Instances divide the limit.
	Instances int
}

// Needs is the demand that an instance publishes, in operations a second.
type Needs map[topology.CustomerID]float64

// Fraction returns the claimed part of the limit. Every instance gets its demand and
// a part of what is left; when more is demanded than the limit, all are cut alike.
// The parts of all instances add up to one.
func (c Claim) Fraction() float64 {
	if c.Instances == 0 || c.Rate <= 0 {
		return 0
	}
	demand := max(c.Total, c.Need)
	left := max(0, c.Rate-demand)
	expected := 1 / float64(c.Instances)
	if c.Services > 0 {
		expected = openShare/float64(c.Instances) + (1-openShare)*float64(c.Roles)/float64(c.Services)
	}
	return (c.Need + left*expected) / (demand + left)
}
