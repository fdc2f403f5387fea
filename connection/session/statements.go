package session

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"
)

// Bounds of the prepared statements of one session.
const (
	maxStatements     = 1000
	maxStatementBytes = 4 << 20
)

// ErrTooManyStatements reports that a session holds as many prepared statements
// as it may.
var ErrTooManyStatements = errors.New("too many prepared statements")

// Statement is a prepared statement of a session.
type Statement struct {
	Query         string
	ParameterOIDs []uint32
	// Internal is the name under which targets know the statement. Equal
	// statements of all sessions share it.
	Internal string
}

// NewStatement derives the internal name from the text and the parameter types.
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
		Internal:      "samphirehitch_" + hex.EncodeToString(hash.Sum(nil)[:16]),
	}
}

// Statements are the prepared statements of a session by the caller's names.
// The empty name is the unnamed statement. The zero value is empty.
type Statements struct {
	byName map[string]Statement
	bytes  int
}

// Get returns a statement.
func (s *Statements) Get(name string) (Statement, bool) {
	statement, ok := s.byName[name]
	return statement, ok
}

// Fits reports whether another statement of that text can be recorded.
func (s *Statements) Fits(query string) bool {
	return len(s.byName) < maxStatements && s.bytes+len(query) <= maxStatementBytes
}

// Put records a statement, replacing one of the same name.
func (s *Statements) Put(name string, statement Statement) error {
	old := s.byName[name]
	total := s.bytes - len(old.Query) + len(statement.Query)
	if total > maxStatementBytes || len(s.byName) > maxStatements {
		return ErrTooManyStatements
	}
	if s.byName == nil {
		s.byName = make(map[string]Statement)
	}
	s.byName[name] = statement
	s.bytes = total
	return nil
}

// Delete forgets a statement.
func (s *Statements) Delete(name string) {
	s.bytes -= len(s.byName[name].Query)
	delete(s.byName, name)
}

// Clear forgets all statements.
func (s *Statements) Clear() { *s = Statements{} }
