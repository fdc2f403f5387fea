package session

import (
	"slices"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Directory looks up keys and routes in one configuration.
type Directory interface {
	// Key returns a key, also a withdrawn one. It returns false for an unknown key.
	Key(id topology.KeyID) (record.Key, bool)
	// Route returns the route of a database, and false if there is none.
	Route(database string) (record.Route, bool)
}

// RevokedError reports that a configuration does not allow a session to start or
// to continue.
type RevokedError struct {
	Reason string
}

// Error returns the reason, which is sent to the caller.
func (e *RevokedError) Error() string { return e.Reason }

// CheckAccess checks that the configuration allows the session: its route exists and
// leads to the same service, its key is not withdrawn and belongs to the same
// customer, and the customer may use the route. It returns nil or a *RevokedError.
func (s *Session) CheckAccess(directory Directory) error {
	route, ok := directory.Route(s.Route.Database)
	if !ok || route.Service != s.Route.Service {
		return &RevokedError{"the database is no longer served"}
	}
	if s.Key == "" {
		return checkOpenRoute(s, route)
	}
	key, ok := directory.Key(s.Key)
	if !ok || key.Withdrawn {
		return &RevokedError{"the key has been withdrawn"}
	}
	if key.Customer != s.Customer {
		return &RevokedError{"the key belongs to another customer"}
	}
	if !RouteAllows(route, key.Customer) {
		return &RevokedError{"the customer may not use the database"}
	}
	return nil
}

func checkOpenRoute(s *Session, route record.Route) error {
	if route.Access != record.AccessOpen || route.OpenCustomer != s.Customer {
		return &RevokedError{"the database needs a key"}
	}
	return nil
}

// RouteAllows reports whether a customer that is authenticated by a key may use the
// route. An open route, or one without a list of customers, is for all of them.
func RouteAllows(route record.Route, customer topology.CustomerID) bool {
	if route.Access == record.AccessOpen {
		return true
	}
	return len(route.Customers) == 0 || slices.Contains(route.Customers, customer)
}
