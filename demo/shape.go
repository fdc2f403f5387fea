// Package demo runs a whole deployment in one process: the stand-in store, stand-in
// database groups and entry daemons, each with its own listeners on loopback. The
// demonstration program and integration tests use it.
package demo

import (
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Shape describes the size of a deployment and the performance of its targets.
type Shape struct {
	Daemons           int
	Services          int
	TargetsPerService int
	// Slots is the number of statements that a target runs concurrently; zero means no
	// limit.
	Slots int
	// PoolSlots, if not zero, is written to the service records instead of Slots. It
	// bounds the statements that the daemons' pools have in flight at a target.
	PoolSlots int
	// Connections is the largest number of connections that a target accepts.
	Connections int
	// ConnectCost is the time that a target needs to open a session.
	ConnectCost time.Duration
	// ServiceTime is the time that a target needs to run a statement.
	ServiceTime time.Duration
	Customers   int
	// Rate and Burst are the rate limit of each customer, in requests per second and
	// in requests.
	Rate, Burst float64
	// DrainTimeout is the daemons' drain timeout; zero selects the default.
	DrainTimeout time.Duration
	// Domains are the failure domains. Daemons and targets are spread over them in
	// turn.
	Domains []topology.FailureDomain
}

// Kuttanad returns the shape of the Kuttanad Sack & Roast deployment.
func Kuttanad() Shape {
	return Shape{
		Daemons: 7, Services: 3, TargetsPerService: 3, Slots: 2, Connections: 15,
		ConnectCost: 10 * time.Millisecond, ServiceTime: time.Millisecond,
		Customers: 8, Rate: 400, Burst: 200,
		Domains: []topology.FailureDomain{"alappuzha", "kottayam", "thrissur", "kollam"},
	}
}

// Lampa returns the shape of the Knotova Lampa deployment.
func Lampa() Shape {
	return Shape{
		Daemons: 7, Services: 3, TargetsPerService: 3, Slots: 3, Connections: 35,
		ConnectCost: 10 * time.Millisecond, ServiceTime: time.Millisecond,
		Customers: 8, Rate: 400, Burst: 200,
		Domains: []topology.FailureDomain{"praha-1", "praha-2", "brno-1", "brno-2"},
	}
}

// ServiceID returns the ID of the service with index i. Indexes count from 0, the numbers
// in IDs from 1.
func (Shape) ServiceID(i int) topology.ServiceID {
	return topology.ServiceID(fmt.Sprintf("service-%d", i+1))
}

// CustomerID returns the ID of the customer with index i.
func (Shape) CustomerID(i int) topology.CustomerID {
	return topology.CustomerID(fmt.Sprintf("customer-%d", i+1))
}

// KeyID returns the ID of the key of the customer with index i.
func (Shape) KeyID(i int) topology.KeyID { return topology.KeyID(fmt.Sprintf("key-%d", i+1)) }

// failureDomain returns the failure domain of the i-th daemon.
func (s Shape) failureDomain(i int) topology.FailureDomain { return s.Domains[i%len(s.Domains)] }
