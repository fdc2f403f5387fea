// Package record defines the configuration records that operators write, their schema
// versions and their JSON encoding. Each record is stored under a key of its own.
//
// Every kind of record has numbered schema versions, each with a JSON Schema document
// in schema/ and a wire struct. All versions of a kind decode to the same value type.
// Fields that a schema does not describe are accepted and preserved, so that programs
// of different releases can write the same record.
package record

import (
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Kind is the kind of a record. It determines the type of the record's Value.
type Kind string

// The supported kinds of records.
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

// Key is a credential that callers of a customer authenticate with. The record holds
// only the SCRAM verifier, not the secret.
type Key struct {
	ID       topology.KeyID
	Customer topology.CustomerID
	// Withdrawn keys no longer authenticate callers.
	Withdrawn bool
	Verifier  Verifier
}

// Verifier is a SCRAM-SHA-256 verifier (RFC 5802, RFC 7677): what a server needs in
// order to check a secret without knowing it.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

// Limit bounds the request rate of a customer over all instances: in any window of
// w seconds at most Rate*w+Burst requests start.
type Limit struct {
	Customer topology.CustomerID
	// Rate is the sustained rate in requests per second.
	Rate float64
	// Burst is the number of requests that may start at the same time.
	Burst float64
}

// Service is a database service: the targets of one replication group.
type Service struct {
	ID topology.ServiceID
	// Database is the name of the database on the targets.
	Database string
	Targets  []ServiceTarget
	// Connections is the maximum number of connections to each target, summed over
	// all instances.
	Connections int
	// Slots is the maximum number of statements that run on a target concurrently.
	Slots int
	// Credential is the name of the entry of the daemon's settings that holds the
	// user and password for the targets.
	Credential string
}

// ServiceTarget is a target of a service.
type ServiceTarget struct {
	platform.Target
	// Leaving is set on a target that is about to be removed from the service.
	Leaving bool
}

// Access determines who may use a route.
type Access string

const (
	// AccessKeyed routes require a key of a customer that is allowed on the route.
	AccessKeyed Access = "keyed"
	// AccessOpen routes also accept callers without a key.
	AccessOpen Access = "open"
)

// Route maps a database name, as callers give it when they connect, to a service.
type Route struct {
	// Database is the name that callers connect to. It may differ from the name of
	// the database on the service's targets.
	Database string
	Service  topology.ServiceID
	Access   Access
	// Customers lists the customers that may use a keyed route. An empty list allows
	// all customers.
	Customers []topology.CustomerID
	// OpenCustomer is the customer to whose limit requests without a key are charged
	// on an open route.
	OpenCustomer topology.CustomerID
	// MaxAgeMillis is the maximum age, in milliseconds, of the data that reads return,
	// unless the caller sets another. Zero gives read-your-writes consistency across
	// all instances.
	MaxAgeMillis int
}
