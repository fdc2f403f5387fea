// Package catalog defines the configuration of the edge daemons as one immutable
// value: the databases that callers connect to, the services behind them, and the
// customers with their keys and limits. The adapter to the platform builds it from the
// configuration document that operators write.
package catalog

import (
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Consistency determines which acknowledged writes the reads of a route may miss.
type Consistency uint8

const (
	// Primary reads run on the primary and see every acknowledged write.
	Primary Consistency = iota + 1
	// Bounded reads may miss writes that are younger than MaxStaleness.
	Bounded
	// Session reads are Bounded reads that also see all writes of their own session.
	Session
)

// String returns the level in lower case.
func (c Consistency) String() string {
	return [...]string{"", "primary", "bounded", "session"}[c]
}

// Route determines how requests for a database are served.
type Route struct {
	// Database is the name that callers connect to.
	Database    string
	Service     topology.ServiceID
	Consistency Consistency
	// MaxStaleness bounds the age of the data that Bounded and Session reads return.
	MaxStaleness time.Duration
	// StatementTimeout bounds the duration of a single statement.
	StatementTimeout time.Duration
	// LatencyObjective is the latency objective of an operation, from request to response.
	LatencyObjective time.Duration
	// Priority orders queued requests; 0 is the highest priority.
	Priority int
	// Open routes accept requests without a key.
	Open bool
}

// Customer holds the limits of a customer.
type Customer struct {
	ID topology.CustomerID
	// Rate is the limit in operations per second, summed over all instances. Zero means
	// no limit.
	Rate float64
	// Burst is the number of operations that may start at the same time.
	Burst float64
	// Priority orders queued requests; 0 is the highest priority.
	Priority int
}

// Service holds the limits of a service.
type Service struct {
	ID topology.ServiceID
	// MaxConnections is the maximum number of connections to each target, summed over
	// all instances.
	MaxConnections int
	// SynchronousReplicas is the number of replicas that must acknowledge a commit.
	SynchronousReplicas int
}

// Catalog is one version of the configuration. It is immutable and safe for concurrent
// use.
type Catalog struct {
	// Version is the version that operators give the configuration. It rises with every
	// configuration.
	Version uint64
	// Revision is the store revision of the configuration document.
	Revision store.Revision
	// Routes is keyed by database name.
	Routes    map[string]Route
	Services  map[topology.ServiceID]Service
	Customers map[topology.CustomerID]Customer
	// Keys maps the secret that callers present to the customer it belongs to.
	Keys map[string]topology.CustomerID
	// TransactionIdleTimeout is the time after which an idle transaction is rolled back.
	TransactionIdleTimeout time.Duration
}
