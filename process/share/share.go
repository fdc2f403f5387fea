// Package share divides the customers' rate limits among the instances of the
// fleet and enforces the share of one instance. Each
// instance holds a base share, which follows from the registrations. The instances send each
// other their measured demands, all compute the same division from them, and those with more
// than they need grant it to the others for a time. Each instance admits operations by a token
// bucket for its share. When its share of a customer's limit is used up, an instance can
// request that others admit the operation on theirs.
package share

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// evenFraction is the fraction of the remainder (the part of a limit that no
// instance demands) that is divided equally among all instances. The rest is
// divided by the number of services for which each instance is the customer's
// owner, because its demand is expected there.
const evenFraction = 0.2

// Allocation holds what determines one instance's share of a customer's limit.
type Allocation struct {
	// Demand is the demand at this instance, TotalDemand that at all instances
	// together, and Rate the customer's limit, in operations per second.
	Demand, TotalDemand, Rate float64
	// OwnedServices is the number of services for which this instance is the
	// customer's owner, Services the number of all services.
	OwnedServices, Services int
	// Instances is the number of instances that divide the limit.
	Instances int
}

// Demands is the measured demand of each customer at one instance, in operations
// per second. Instances send it to each other.
type Demands map[topology.CustomerID]float64

// Report is what an instance tells the others that divide the limits with it.
type Report struct {
	Demand Demands
	// Excess holds, by customer, the operations that the instance has admitted in the
	// window in excess of its present share.
	Excess map[topology.CustomerID]float64
	// SentAt is when the report was sent, on the sender's clock, and Incarnation that of the
	// sender's process.
	SentAt      time.Duration
	Incarnation int64
	// Grant is what the sender grants the receiver, nil for nothing.
	Grant *Grant
}

// Base returns the instance's fraction of the limit without any demand, which it holds
// without a grant.
func (a Allocation) Base() float64 {
	a.Demand, a.TotalDemand = 0, 0
	return a.Fraction()
}

// Fraction returns the fraction of the limit that the instance is to have. Every
// instance gets its demand and a part of the remainder. When the total demand
// exceeds the limit, all demands are cut in proportion. The fractions of all
// instances add up to one.
func (a Allocation) Fraction() float64 {
	if a.Instances == 0 || a.Rate <= 0 {
		return 0
	}
	total := max(a.TotalDemand, a.Demand)
	remainder := max(0, a.Rate-total)
	remainderShare := 1 / float64(a.Instances)
	if a.Services > 0 {
		remainderShare = evenFraction/float64(a.Instances) + (1-evenFraction)*float64(a.OwnedServices)/float64(a.Services)
	}
	return (a.Demand + remainder*remainderShare) / (total + remainder)
}

// Deduction returns the part of another instance's excess that reduces the share of an
// instance with the fraction own: the others bear it in proportion to their fractions.
func Deduction(excess, own, other float64) float64 {
	if excess <= 0 || own <= 0 || other >= 1 {
		return 0
	}
	return excess * min(1, own/(1-other))
}
