// Package session keeps what belongs to one caller's connection across its
// requests: who it is, which service it reaches, its floor, its prepared
// statements and its settings. It does no input or output and is used by one
// goroutine at a time.
package session

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Floor holds the points that a session's reads have to reach. *floor.Floor
// implements it.
type Floor interface {
	// At returns the point for a service; zero when there is none.
	At(service topology.ServiceID) topology.Point
	// Raise moves the point for a service up. A lower point changes nothing.
	Raise(service topology.ServiceID, point topology.Point)
	// Present raises the points to those of a token.
	Present(token string) error
	// Token returns a token for the points; empty when the floor has none.
	Token() string
}

// Session is the state of a caller's connection.
type Session struct {
	// ID is unique among the instance's open sessions; callers see it as the
	// process id.
	ID uint32
	// Key is the credential that the caller proved; empty on an open route.
	Key      topology.KeyID
	Customer topology.CustomerID
	Route    record.Route
	// Name groups connections of one session, when the caller gave one.
	Name  string
	Floor Floor
	// Tracked is set once the caller has presented a token: it then vouches
	// that the token covers what it wrote elsewhere.
	Tracked bool
	// MaxAge is the age of data that reads accept; meaningful when Aged.
	MaxAge time.Duration
	Aged   bool
	// Idempotent says that the session's writes may run twice.
	Idempotent bool

	Statements Statements
	Settings   Settings
}

// Service returns the service that the session reaches.
func (s *Session) Service() topology.ServiceID { return s.Route.Service }

// SetMaxAge accepts data of an age; zero goes back to read-your-writes.
func (s *Session) SetMaxAge(age time.Duration) {
	s.MaxAge = age
	s.Aged = age > 0
}

// Present raises the floor to a token. The caller thereby vouches that its
// tokens cover what it wrote elsewhere.
func (s *Session) Present(token string) error {
	if err := s.Floor.Present(token); err != nil {
		return err
	}
	s.Tracked = true
	return nil
}

// NeedsArrivalFloor reports whether a read needs a point that covers every
// write acknowledged before it arrived. A session that states an age or that
// tracks its writes with a token doesn't, unless it has a name and may be open
// elsewhere.
func (s *Session) NeedsArrivalFloor() bool {
	if s.Aged {
		return false
	}
	return s.Name != "" || !s.Tracked
}
