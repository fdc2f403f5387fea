// Package snapshot builds immutable, indexed snapshots of the configuration from the
// records in the store. It decodes the records and checks the references between them;
// fetching them and distributing them to other instances is up to package config.
//
// An invalid record does not affect the rest of the configuration: only this record is
// rejected, and its last valid revision, if there is one, stays in force.
package snapshot

import (
	"slices"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Snapshot is the configuration as of one store revision. It is immutable and safe for
// concurrent use. Users must not modify the slices that its methods return.
type Snapshot struct {
	revision store.Revision
	// entries is sorted by store key.
	entries []entryState
	// rejections is sorted by store key.
	rejections []Rejection

	customers map[topology.CustomerID]record.Customer
	keys      map[topology.KeyID]record.Key
	services  map[topology.ServiceID]record.Service
	// routes is keyed by the database name that callers connect to.
	routes map[string]record.Route
	// allowed holds the listed customers of every route.
	allowed map[customerAccess]struct{}

	// These lists are sorted by ID.
	limitList   []record.Limit
	serviceList []record.Service
	routeList   []record.Route
}

// customerAccess is the permission of a listed customer to use a route.
type customerAccess struct {
	database string
	customer topology.CustomerID
}

// Revision returns the revision of the state that the snapshot was built from.
func (s *Snapshot) Revision() store.Revision { return s.revision }

// Key returns a key, also a withdrawn one: users must check Withdrawn.
func (s *Snapshot) Key(id topology.KeyID) (record.Key, bool) {
	key, ok := s.keys[id]
	return key, ok
}

// Customer returns a customer.
func (s *Snapshot) Customer(id topology.CustomerID) (record.Customer, bool) {
	customer, ok := s.customers[id]
	return customer, ok
}

// Service returns a service.
func (s *Snapshot) Service(id topology.ServiceID) (record.Service, bool) {
	service, ok := s.services[id]
	return service, ok
}

// Route returns the route for a database name that callers connect to.
func (s *Snapshot) Route(database string) (record.Route, bool) {
	route, ok := s.routes[database]
	return route, ok
}

// Allows reports whether a customer may use the route of a database name with a key of
// its own.
func (s *Snapshot) Allows(database string, customer topology.CustomerID) bool {
	route, ok := s.routes[database]
	if !ok {
		return false
	}
	if route.Access == record.AccessOpen || len(route.Customers) == 0 {
		return true
	}
	_, ok = s.allowed[customerAccess{database: database, customer: customer}]
	return ok
}

// Limits returns the limits, sorted by customer.
func (s *Snapshot) Limits() []record.Limit { return s.limitList }

// Services returns the services, sorted by ID.
func (s *Snapshot) Services() []record.Service { return s.serviceList }

// Routes returns the routes, sorted by database name.
func (s *Snapshot) Routes() []record.Route { return s.routeList }

// Rejections returns the records that are not in force as written, sorted by store key.
func (s *Snapshot) Rejections() []Rejection { return slices.Clone(s.rejections) }
