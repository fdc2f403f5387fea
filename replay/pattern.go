// Package replay is a discrete-event simulation of admission control and dispatch for one
// service. It replays recorded and generated arrival patterns against a policy, which
// queues, refuses and places requests, and a simple queueing model of the targets.
// Everything runs in virtual time in one goroutine, without network, store or failover.
package replay

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Kind says which targets may run a request.
type Kind uint8

// Kinds.
const (
	// PrimaryOnly requests must run on the primary.
	PrimaryOnly Kind = iota
	// ReplicaAllowed requests may also run on a replica whose log reaches their floor.
	ReplicaAllowed
)

var kindNames = [...]string{"primary", "replica"}

// String returns the kind's name in recorded patterns.
func (k Kind) String() string { return kindNames[k] }

// Arrival is one statement that requests a connection.
type Arrival struct {
	At       time.Duration
	Customer topology.CustomerID
	Session  uint64
	Kind     Kind
	// FloorAge is how long before the arrival the primary is known to have held the
	// floor of a ReplicaAllowed request.
	FloorAge time.Duration
	// Objective is the latency objective, and Deadline the time after which the
	// request is no longer served. Both count from the arrival.
	Objective, Deadline time.Duration
	// Priority orders requests that are not late: 0 runs first.
	Priority int
	// ServiceTime is how long the statement occupies a slot of a target.
	ServiceTime time.Duration
}

// Target describes a target of the model. Its slots each run one statement at a time.
type Target struct {
	ID    topology.TargetID
	Slots int
	// ReplicationLag is how far a replica is behind the primary; 0 for the primary.
	ReplicationLag time.Duration
	// SlowFactor, unless 0, multiplies service times from SlowFrom until SlowUntil.
	SlowFactor          float64
	SlowFrom, SlowUntil time.Duration
	// LoseEvery, unless 0, loses the responses to one in so many statements that start
	// from LoseFrom until LoseUntil. The statements run.
	LoseEvery           int
	LoseFrom, LoseUntil time.Duration
}

// Pattern is a sequence of arrivals and the targets that serve them. The first target is
// the primary.
type Pattern struct {
	Name string
	// Description describes the load. It is part of the plot's title.
	Description string
	Targets     []Target
	// ConnectionsPerTarget limits the connections to each target. Only the dispatch
	// policy applies it.
	ConnectionsPerTarget int
	Arrivals             []Arrival
}

// losesResponses reports whether responses to statements that start now may be lost.
func (t Target) losesResponses(now time.Duration) bool {
	return t.LoseEvery > 0 && now >= t.LoseFrom && now < t.LoseUntil
}

// serviceTime returns how long the target takes for a statement that starts now.
func (t Target) serviceTime(now time.Duration, serviceTime time.Duration) time.Duration {
	if t.SlowFactor > 0 && now >= t.SlowFrom && now < t.SlowUntil {
		return time.Duration(float64(serviceTime) * t.SlowFactor)
	}
	return serviceTime
}
