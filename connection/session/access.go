package session

import (
	"slices"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Directory looks up the records of one accepted configuration.
type Directory interface {
	Key(id topology.KeyID) (record.Key, bool)
	Route(database string) (record.Route, bool)
}

// Revoked reports that a session may not go on, or start, under the records in
// force.
type Revoked struct {
	Reason string
}

// Error says why.
func (r *Revoked) Error() string { return r.Reason }

// Check reports whether the session is allowed by the records: its key is not
// withdrawn and its route is still open to its customer. It returns nil or a
// *Revoked.
func (s *Session) Check(directory Directory) error {
	route, ok := directory.Route(s.Route.Database)
	if !ok || route.Service != s.Route.Service {
		return &Revoked{"the database is no longer served"}
	}
	if s.Key == "" {
		return checkOpen(s, route)
	}
	key, ok := directory.Key(s.Key)
	if !ok || key.Withdrawn {
		return &Revoked{"the key has been withdrawn"}
	}
	if key.Customer != s.Customer {
		return &Revoked{"the key belongs to another customer"}
	}
	if !Allows(route, key.Customer) {
		return &Revoked{"the customer may not use the database"}
	}
	return nil
}

func checkOpen(s *Session, route record.Route) error {
	if route.Access != record.AccessOpen || route.OpenCustomer != s.Customer {
		return &Revoked{"the database needs a key"}
	}
	return nil
}

// Allows reports whether a keyed customer may use a route.
func Allows(route record.Route, customer topology.CustomerID) bool {
	if route.Access == record.AccessOpen {
		return true
	}
	return len(route.Customers) == 0 || slices.Contains(route.Customers, customer)
}
