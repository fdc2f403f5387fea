// Package client holds the state of callers' sessions, and that of the pooled
// connections to targets on which different sessions run one after the other. It is
// independent of the protocol.
package client

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// PreparedStatement is a prepared statement of a session.
type PreparedStatement struct {
	Writes bool `cbor:"1,keyasint,omitempty"`
	// Shape is the Argument of the Prepare statement.
	Shape string `cbor:"2,keyasint"`
}

// targetNameHashBytes is the length of the hash in a statement's name on targets.
const targetNameHashBytes = 16

// targetName returns the statement's name on targets. It is derived from the
// statement, so that sessions with the same statement share one name, and different
// statements do not collide when sessions gave them the same name. Customers choose
// the shapes and share connections, so the hash is a cryptographic one.
func (p PreparedStatement) targetName() string {
	mode := "r"
	if p.Writes {
		mode = "w"
	}
	hash := sha256.Sum256([]byte(p.Shape))
	return mode + hex.EncodeToString(hash[:targetNameHashBytes])
}

// Session is the state of one caller's session. Except for Gate, it is used by one goroutine at
// a time.
type Session struct {
	// Number is unique among the sessions of a process.
	Number   uint64
	Database string
	Key      string
	// Values are the session values by name.
	Values map[string]string
	// Prepared holds the prepared statements by the names that the caller gave them.
	Prepared map[string]PreparedStatement
	// Floor is the log point of the session's last write.
	Floor topology.Point
	// FloorSentAt is the monotonic time at which the write of Floor was sent.
	FloorSentAt time.Duration
	// Gate is passed before a statement is sent. Unlike the rest of the session, it is safe for
	// concurrent use.
	Gate SendGate
}

// NewSession returns a session without values, prepared statements or floor.
func NewSession(number uint64, database, key string) *Session {
	return &Session{Number: number, Database: database, Key: key}
}

// SetValue sets a session value.
func (s *Session) SetValue(name, value string) {
	if s.Values == nil {
		s.Values = make(map[string]string)
	}
	s.Values[name] = value
}

// AddPrepared adds or replaces a prepared statement.
func (s *Session) AddPrepared(name string, p PreparedStatement) {
	if s.Prepared == nil {
		s.Prepared = make(map[string]PreparedStatement)
	}
	s.Prepared[name] = p
}

// RecordWrite raises the session's floor to the log point of a write that was sent at
// the given time. A lower point has no effect.
func (s *Session) RecordWrite(sentAt time.Duration, point topology.Point) {
	if point.Reaches(s.Floor) {
		s.Floor, s.FloorSentAt = point, sentAt
	}
}

// MayWrite reports whether the statement is a write, or executes a prepared statement
// that is one.
func (s *Session) MayWrite(st statement.Statement) bool {
	switch st.Kind {
	case statement.Write:
		return true
	case statement.Execute:
		return s.Prepared[st.Name].Writes
	default:
		return false
	}
}
