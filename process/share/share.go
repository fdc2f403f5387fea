// Package share divides the customers' rate limits among the instances of the
// fleet and enforces the part of one instance. Every instance publishes the
// demand that it measures, and all compute the same division from the published
// demands. Each instance admits operations by a token bucket for its part. When
// a customer's part is used up, an instance can ask others to admit the
// operation on theirs.
package share

import (
	"samphirehitch.example/samphirehitch/process/topology"
)

// evenFraction is the fraction of the undemanded part of a limit that is divided
// equally among all instances. The rest goes to the owners of the services,
// where the customer's demand is expected.
const evenFraction = 0.2

// Allocation holds what determines one instance's part of a customer's limit.
type Allocation struct {
	// The demand at this instance, the demand at all instances together, and the
	// customer's limit, in operations per second.
	Demand, TotalDemand, Rate float64
	// The number of services that this instance owns for the customer, and the
	// number of all services.
	OwnedServices, Services int
	// Instances is the number of instances that divide the limit.
	Instances int
}

// Demands is the measured demand of each customer at one instance, in operations
// per second. Instances publish it.
type Demands map[topology.CustomerID]float64

// Fraction returns this instance's part of the limit as a fraction. Every
// instance gets its demand and a share of the remainder. When the total demand
// exceeds the limit, all demands are cut in proportion. The fractions of all
// instances add up to one.
func (c Allocation) Fraction() float64 {
	if c.Instances == 0 || c.Rate <= 0 {
		return 0
	}
	total := max(c.TotalDemand, c.Demand)
	remainder := max(0, c.Rate-total)
	remainderShare := 1 / float64(c.Instances)
	if c.Services > 0 {
		remainderShare = evenFraction/float64(c.Instances) + (1-evenFraction)*float64(c.OwnedServices)/float64(c.Services)
	}
	return (c.Demand + remainder*remainderShare) / (total + remainder)
}
