// Package catalog holds the configuration of the platform's entry daemons as one
// immutable value: databases that callers ask for, customers with their keys and
// limits, and services. Adapters build it from the operators' document.
package catalog

import (
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Consistency says what a route's reads may miss.
type Consistency uint8

// Levels of consistency.
const (
	// Primary reads see every acknowledged write.
	Primary Consistency = iota + 1
	// Bounded reads may miss writes of the last MaxStaleness.
	Bounded
	// Session reads are as Bounded and see every write of their own session.
	Session
)

// String names the level.
func (c Consistency) String() string {
	return [...]string{"", "primary", "bounded", "session"}[c]
}

// Route says how requests for a database are served.
type Route struct {
	Database    string
	Service     topology.ServiceID
	Consistency Consistency
	// MaxStaleness bounds the age of Bounded and Session reads.
	MaxStaleness time.Duration
	// StatementTimeout limits a single statement.
	StatementTimeout time.Duration
	// Objective is the latency that callers expect of a whole operation.
	Objective time.Duration
	// Priority orders waiting work; 0 goes first.
	Priority int
	// Open routes need no key.
	Open bool
}

// Customer holds the limits of a customer. A Rate of zero means no limit.
type Customer struct {
	ID topology.CustomerID
	// Rate is in operations a second over all instances.
	Rate float64
	// Burst is in operations.
	Burst float64
	// Priority orders waiting work; 0 goes first.
	Priority int
}

// Service holds the limits of a service.
type Service struct {
	ID topology.ServiceID
	// MaxConnections is what each target accepts from all callers together.
	MaxConnections int
	// SynchronousReplicas is how many replicas a commit waits for.
	SynchronousReplicas int
}

// Catalog is a configuration. It is immutable.
type Catalog struct {
	// Version rises with each configuration that operators write.
	Version uint64
	// Revision is the store's revision of the document.
	Revision  store.Revision
	Routes    map[string]Route
	Services  map[topology.ServiceID]Service
	Customers map[topology.CustomerID]Customer
	// Keys maps the secret that callers show to its holder.
	Keys map[string]topology.CustomerID
	// TransactionIdle is how long a transaction may rest before it is ended.
	TransactionIdle time.Duration
}
