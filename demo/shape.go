// Package demo runs a whole deployment in one process: the stand-in store,
// stand-in database groups and entry daemons, each with listeners of its own on
// loopback. Tests and the demonstration program use it.
package demo

import (
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Shape sizes a deployment.
type Shape struct {
	Daemons        int
	Services       int
	TargetsPerUnit int
	// Slots is how many statements a target runs at once.
	Slots int
	// PoolSlots, when not zero, stands in the service records instead of Slots.
	PoolSlots int
	// Connections is the most connections of a target.
	Connections int
	ConnectCost time.Duration
	ServiceTime time.Duration
	Customers   int
	// Rate and Burst are each customer's limit, in requests per second and
	// requests.
	Rate, Burst float64
	Domains     []topology.FailureDomain
}

// Kuttanad is the shape of the Kuttanad Sack & Roast deployment.
func Kuttanad() Shape {
	return Shape{
		Daemons: 7, Services: 3, TargetsPerUnit: 3, Slots: 2, Connections: 15,
		ConnectCost: 10 * time.Millisecond, ServiceTime: time.Millisecond,
		Customers: 8, Rate: 400, Burst: 200,
		Domains: []topology.FailureDomain{"alappuzha", "kottayam", "thrissur", "kollam"},
	}
}

// Lampa is the shape of the Knotova Lampa deployment.
func Lampa() Shape {
	return Shape{
		Daemons: 7, Services: 3, TargetsPerUnit: 3, Slots: 3, Connections: 35,
		ConnectCost: 10 * time.Millisecond, ServiceTime: time.Millisecond,
		Customers: 8, Rate: 400, Burst: 200,
		Domains: []topology.FailureDomain{"praha-1", "praha-2", "brno-1", "brno-2"},
	}
}

// ServiceID names a service of the deployment, from 0.
func (Shape) ServiceID(i int) topology.ServiceID {
	return topology.ServiceID(fmt.Sprintf("service-%d", i+1))
}

// CustomerID names a customer of the deployment, from 0.
func (Shape) CustomerID(i int) topology.CustomerID {
	return topology.CustomerID(fmt.Sprintf("customer-%d", i+1))
}

// KeyID names the key of a customer, from 0.
func (Shape) KeyID(i int) topology.KeyID { return topology.KeyID(fmt.Sprintf("key-%d", i+1)) }

// domain returns the failure domain of the i-th of some things.
func (s Shape) domain(i int) topology.FailureDomain { return s.Domains[i%len(s.Domains)] }
