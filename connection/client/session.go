// Package client holds the state of a caller's session and of the pooled
// connections to targets that serve such sessions one after the other.
package client

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Prepared is a prepared statement of a session.
type Prepared struct {
	Writes bool   `cbor:"1,keyasint,omitempty"`
	Shape  string `cbor:"2,keyasint"`
}

// sharedName returns the name under which targets know the statement. Sessions
// with the same statement share it; names of different sessions never collide.
func (p Prepared) sharedName() string {
	mode := "r"
	if p.Writes {
		mode = "w"
	}
	return mode + strconv.FormatUint(xxhash.Sum64String(p.Shape), 36)
}

// Session is the state of one caller's session. It is used by one goroutine.
type Session struct {
	// Number tells the sessions of a process apart.
	Number   uint64
	Database string
	Key      string
	Values   map[string]string
	Prepared map[string]Prepared
	// Floor is the position of the session's last write, and FloorAt when it was
	// sent.
	Floor   topology.Point
	FloorAt time.Duration
}

// NewSession returns a session without values.
func NewSession(number uint64, database, key string) *Session {
	return &Session{Number: number, Database: database, Key: key}
}

// Set keeps a session value.
func (s *Session) Set(name, value string) {
	if s.Values == nil {
		s.Values = make(map[string]string)
	}
	s.Values[name] = value
}

// Prepare keeps a prepared statement.
func (s *Session) Prepare(name string, p Prepared) {
	if s.Prepared == nil {
		s.Prepared = make(map[string]Prepared)
	}
	s.Prepared[name] = p
}

// Wrote raises the session's floor.
func (s *Session) Wrote(sent time.Duration, point topology.Point) {
	if point.Reaches(s.Floor) {
		s.Floor, s.FloorAt = point, sent
	}
}

// Writes reports whether the statement may write, as far as the session knows.
func (s *Session) Writes(st statement.Statement) bool {
	switch st.Kind {
	case statement.Write:
		return true
	case statement.Execute:
		return s.Prepared[st.Name].Writes
	default:
		return false
	}
}
