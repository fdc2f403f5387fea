// Package session holds the state of a caller's session: its key and customer, its
// route to a service, its floor, its prepared statements and its settings. It does
// no I/O. A session is used by one goroutine at a time.
package session

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Floor holds, for each service, the log point that the session's reads must see.
// *floor.Floor implements it.
type Floor interface {
	// Point returns the point for a service, or zero if there is none.
	Point(service topology.ServiceID) topology.Point
	// Raise raises the point for a service. A lower point has no effect.
	Raise(service topology.ServiceID, point topology.Point)
	// ApplyToken raises the points to those of a session token.
	ApplyToken(token string) error
	// Token returns a session token for the points, or "" if there are none.
	Token() string
}

// Session is the state of the session on a caller's connection.
type Session struct {
	// ID is unique among the instance's open sessions. Callers see it as the process
	// ID of their connection.
	ID uint32
	// Key is the key that the caller authenticated with, empty on an open route.
	Key      topology.KeyID
	Customer topology.CustomerID
	Route    record.Route
	// Name is set by callers that use several connections as one session.
	Name  string
	Floor Floor
	// TracksWrites is set once the caller has sent a session token. The caller must
	// then ensure that its tokens cover its writes on other connections.
	TracksWrites bool
	// MaxAge is the maximum age of the data that reads accept.
	MaxAge time.Duration
	// HasMaxAge is set if MaxAge applies. Without it, reads see the session's writes.
	HasMaxAge bool
	// Idempotent is set if the session's writes may be run twice.
	Idempotent bool

	Statements Statements
	Settings   Settings
}

// Service returns the service to which the session's route leads.
func (s *Session) Service() topology.ServiceID { return s.Route.Service }

// SetMaxAge sets the maximum age of the data that reads accept. Zero returns to
// read-your-writes.
func (s *Session) SetMaxAge(age time.Duration) {
	s.MaxAge = age
	s.HasMaxAge = age > 0
}

// ApplyToken raises the floor to a session token. From then on the caller must ensure
// that its tokens cover its writes on other connections.
func (s *Session) ApplyToken(token string) error {
	if err := s.Floor.ApplyToken(token); err != nil {
		return err
	}
	s.TracksWrites = true
	return nil
}

// NeedsArrivalFloor reports whether a read's floor must cover every write of the
// service that was acknowledged before the read arrived. That is not needed with a
// maximum age, nor for a caller that tracks its writes with tokens, unless the
// session has a name: its writes on other connections may not be covered then.
func (s *Session) NeedsArrivalFloor() bool {
	if s.HasMaxAge {
		return false
	}
	return s.Name != "" || !s.TracksWrites
}
