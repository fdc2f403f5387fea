// Package snapshot turns an accepted configuration into one immutable, indexed
// value. It reads and cross-checks records; it neither fetches nor spreads them.
package snapshot

import (
	"slices"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Snapshot is the configuration in force as of a revision. It is immutable and
// safe for concurrent use; callers do not change the slices that it returns.
type Snapshot struct {
	revision store.Revision
	// held is sorted by store key.
	held       []held
	rejections []Rejection

	customers map[topology.CustomerID]record.Customer
	keys      map[topology.KeyID]record.Key
	services  map[topology.ServiceID]record.Service
	routes    map[string]record.Route
	allowed   map[access]struct{}

	limitList   []record.Limit
	serviceList []record.Service
	routeList   []record.Route
}

// access is a customer's right to use a keyed route.
type access struct {
	database string
	customer topology.CustomerID
}

// Revision returns the revision of the state that the snapshot was built from.
func (s *Snapshot) Revision() store.Revision { return s.revision }

// Key returns a key, which may be withdrawn.
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

// Route returns the route of a database name that callers connect to.
func (s *Snapshot) Route(database string) (record.Route, bool) {
	route, ok := s.routes[database]
	return route, ok
}

// Allows reports whether a customer may use a route with a key of its own.
func (s *Snapshot) Allows(database string, customer topology.CustomerID) bool {
	route, ok := s.routes[database]
	if !ok {
		return false
	}
	if route.Access == record.AccessOpen || len(route.Customers) == 0 {
		return true
	}
	_, ok = s.allowed[access{database: database, customer: customer}]
	return ok
}

// Limits returns the limits by customer.
func (s *Snapshot) Limits() []record.Limit { return s.limitList }

// Services returns the services by id.
func (s *Snapshot) Services() []record.Service { return s.serviceList }

// Routes returns the routes by database name.
func (s *Snapshot) Routes() []record.Route { return s.routeList }

// Rejections returns every record that is not in force as written, by store key.
func (s *Snapshot) Rejections() []Rejection { return slices.Clone(s.rejections) }
