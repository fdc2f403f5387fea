// Package record defines the configuration records that operators write, their
// schema versions and their encoding. One record is one key of the store.
package record

import (
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Kind names a kind of record.
type Kind string

// Kinds of records.
const (
	KindCustomer Kind = "customer"
	KindKey      Kind = "key"
	KindLimit    Kind = "limit"
	KindService  Kind = "service"
	KindRoute    Kind = "route"
)

// Customer is a party on whose behalf requests run.
type Customer struct {
	ID   topology.CustomerID
	Name string
}

// Key is a credential of a customer. Only the SCRAM verifier is kept.
type Key struct {
	ID        topology.KeyID
	Customer  topology.CustomerID
	Withdrawn bool
	Verifier  Verifier
}

// Verifier is a SCRAM-SHA-256 verifier (RFC 5802, RFC 7677).
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

// Limit bounds the requests of a customer over the whole fleet: in any window
// of w seconds at most Rate*w+Burst requests start.
type Limit struct {
	Customer topology.CustomerID
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Service is a database service: one replication group.
type Service struct {
	ID       topology.ServiceID
	Database string
	Targets  []ServiceTarget
	// Connections is the most connections that each target takes from the whole
	// fleet.
	Connections int
	// Slots is how many statements a target runs at once.
	Slots int
	// Credential names an entry of the daemon's settings that holds the user
	// and password for the targets.
	Credential string
}

// ServiceTarget is one member of a service's group.
type ServiceTarget struct {
	platform.Target
	Leaving bool
}

// Access says who may use a route.
type Access string

// Kinds of access.
const (
	AccessKeyed Access = "keyed"
	AccessOpen  Access = "open"
)

// Route maps the database name that a caller gives at connect to a service.
type Route struct {
	// Database is the name that callers connect to.
	Database string
	Service  topology.ServiceID
	Access   Access
	// Customers may use the route when access is keyed; empty means all.
	Customers []topology.CustomerID
	// OpenCustomer is the customer that requests without a key count against,
	// when access is open.
	OpenCustomer topology.CustomerID
	// MaxAgeMillis is the age of data that reads accept unless the caller
	// states another. Zero means read-your-writes over the whole fleet.
	MaxAgeMillis int
}
