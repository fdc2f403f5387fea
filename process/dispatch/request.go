// Package dispatch decides for one service which waiting request goes to which
// target over which connection, and which is refused. It is a plain structure:
// time and events go in, grants and refusals come out. It does no input or output.
package dispatch

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Request is work that waits for a connection with a free slot.
type Request struct {
	Customer topology.CustomerID
	// Session tells callers' sessions apart, to reuse the connection whose
	// session values already match.
	Session uint64
	// NeedsPrimary reports work that only the primary may run.
	NeedsPrimary bool
	// Floor is the log position that a replica must hold, and FloorAt when it was
	// evident at the primary.
	Floor   topology.Point
	FloorAt time.Duration
	// Late is when the caller's objective passes.
	Late time.Duration
	// Expires is when the request leaves the queue unserved.
	Expires time.Duration
	// Priority orders work that is due at the same time; 0 goes first.
	Priority int
	// Excluded targets have refused the request.
	Excluded []topology.TargetID

	granted chan *Lease
	arrived time.Duration
	waiting bool
}

// Granted returns the channel that receives the lease, once. It is closed instead when
// the request cannot be served before it expires.
func (r *Request) Granted() <-chan *Lease { return r.granted }

func (r *Request) excludes(id topology.TargetID) bool {
	for _, excluded := range r.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}

// Verdict is the immediate outcome of Submit.
type Verdict uint8

// Verdicts.
const (
	// Granted comes with a lease.
	Granted Verdict = iota + 1
	// Queued requests receive a lease on Granted, or leave by Abandon.
	Queued
	// NoTarget means that no target can run the request.
	NoTarget
	// Overloaded means that the queue in front of the request is too long.
	Overloaded
)

var verdictNames = [...]string{"", "granted", "queued", "no_target", "overloaded"}

// String names the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Lease is the use of a connection. Its holder opens the connection when Conn is
// nil, after it has closed Evict.
type Lease struct {
	Target topology.TargetID
	// Address of the target when the lease was granted.
	Address string
	// Conn is the driver's connection, nil when one is to be opened.
	Conn any
	// Evict is an idle connection of another customer whose place the new one
	// takes, or nil.
	Evict any
	// Primary reports that the target was the primary when the lease was granted.
	Primary bool
	// Why is the reason for the choice, for the log.
	Why string

	target  *target
	link    *link
	running bool
	started time.Duration
}

// link is a connection to a target.
type link struct {
	customer topology.CustomerID
	session  uint64
	conn     any
	idle     bool
	lastUsed time.Duration
}
