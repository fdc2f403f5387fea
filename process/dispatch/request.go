// Package dispatch schedules the requests of one service: it selects the target and the
// pooled connection for each request, queues requests while none is free, and sheds
// those that could not be served in time. It performs no I/O and reads no clock: the
// caller passes the time and events to it and acts on the leases and refusals that it
// returns.
package dispatch

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Request is a request for the use of a connection to a target with a free slot.
type Request struct {
	Customer topology.CustomerID
	// Session identifies the caller's session. A connection that the session used last
	// is preferred, since its session settings match already.
	Session uint64
	// NeedsPrimary is set when only the primary may run the request.
	NeedsPrimary bool
	// Floor is the log point that a replica must hold. FloorSentAt is when the request
	// was sent to the primary whose response reported Floor.
	Floor       topology.Point
	FloorSentAt time.Duration
	// DueAt is when the request is due: a later response misses the latency objective.
	DueAt time.Duration
	// ExpiresAt is when the request leaves the queue unserved.
	ExpiresAt time.Duration
	// Priority orders requests that are not late: 0 runs first.
	Priority int
	// Excluded are the targets that refused the request.
	Excluded []topology.TargetID

	granted   chan *Lease
	arrivedAt time.Duration
	queued    bool
}

// Granted returns the channel on which a queued request receives its lease, once. The
// channel is closed instead if the request cannot be served before it expires.
func (r *Request) Granted() <-chan *Lease { return r.granted }

func (r *Request) excludes(id topology.TargetID) bool {
	for _, excluded := range r.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}

// Decision is the immediate outcome of Submit.
type Decision uint8

// Decisions on a request.
const (
	// Granted means that the request received a lease.
	Granted Decision = iota + 1
	// Queued means that the request waits for a lease on its channel Granted, until it
	// is withdrawn by Abandon.
	Queued
	// NoTarget means that no target can run the request before it expires.
	NoTarget
	// Overloaded means that the request was shed because the queue is too long.
	Overloaded
)

var decisionNames = [...]string{"", "granted", "queued", "no_target", "overloaded"}

// String returns the name of the decision.
func (d Decision) String() string { return decisionNames[d] }

// Lease is the exclusive use of a connection. If Conn is nil, the holder closes Evict,
// opens a connection and reports the outcome with Opened or OpenFailed. The holder of
// an open connection ends the lease with Release or Drop.
type Lease struct {
	Target topology.TargetID
	// Address is the target's address at the time of the grant.
	Address string
	// Conn is the driver's connection, nil if one has to be opened.
	Conn any
	// Evict is another customer's idle connection that the new one replaces, or nil.
	Evict any
	// Primary is set when the target was the primary when the lease was granted.
	Primary bool
	// Reason is the reason for the choice, which is logged.
	Reason string

	target *target
	pooled *pooledConn
	// statementRunning is set while a statement runs; it started at statementStart.
	// overdue is set when it has stopped counting as in flight.
	statementRunning bool
	overdue          bool
	statementStart   time.Duration
}

// pooledConn is a connection to a target. Its customer never changes; session is the
// session that used it last.
type pooledConn struct {
	customer   topology.CustomerID
	session    uint64
	driverConn any
	idle       bool
	lastUsed   time.Duration
}
