package session

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"
)

// Limits of the prepared statements of one session.
const (
	maxStatements     = 1000
	maxStatementBytes = 4 << 20
)

// ErrTooManyStatements reports that a session has reached a limit of its prepared
// statements.
var ErrTooManyStatements = errors.New("too many prepared statements")

// Statement is a prepared statement of a session.
type Statement struct {
	Query         string
	ParameterOIDs []uint32
	// TargetName is the statement's name on targets. Sessions with the same text and
	// parameter types share it, so that a pooled connection prepares it once.
	TargetName string
}

// NewStatement returns a statement whose name on targets is derived from its text
// and parameter types.
func NewStatement(query string, parameterOIDs []uint32) Statement {
	hash := sha256.New()
	for _, oid := range parameterOIDs {
		hash.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	hash.Write([]byte{0})
	hash.Write([]byte(query))
	return Statement{
		Query:         query,
		ParameterOIDs: slices.Clone(parameterOIDs),
		TargetName:    "samphirehitch_" + hex.EncodeToString(hash.Sum(nil)[:16]),
	}
}

// Statements holds the prepared statements of a session by the names that the
// caller gave them, "" for the unnamed statement. The zero value is empty.
type Statements struct {
	byName map[string]Statement
	// queryBytes is the total length of the statements' texts.
	queryBytes int
}

// Get returns a statement.
func (s *Statements) Get(name string) (Statement, bool) {
	statement, ok := s.byName[name]
	return statement, ok
}

// HasRoomFor reports whether another statement with the text can be added.
func (s *Statements) HasRoomFor(query string) bool {
	return len(s.byName) < maxStatements && s.queryBytes+len(query) <= maxStatementBytes
}

// Put adds a statement or replaces the one with the same name.
func (s *Statements) Put(name string, statement Statement) error {
	replaced := s.byName[name]
	queryBytes := s.queryBytes - len(replaced.Query) + len(statement.Query)
	if queryBytes > maxStatementBytes || len(s.byName) > maxStatements {
		return ErrTooManyStatements
	}
	if s.byName == nil {
		s.byName = make(map[string]Statement)
	}
	s.byName[name] = statement
	s.queryBytes = queryBytes
	return nil
}

// Delete removes a statement.
func (s *Statements) Delete(name string) {
	s.queryBytes -= len(s.byName[name].Query)
	delete(s.byName, name)
}

// Clear removes all statements.
func (s *Statements) Clear() { *s = Statements{} }
