package client

import (
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
)

// maxPrepared bounds the prepared statements kept on one connection. A connection
// with more is reset before the next statement.
const maxPrepared = 256

// Connection is a pooled connection to a target. It records the state that callers'
// sessions have left in the target's session, so that only differences are set for
// the next one. It is used by one goroutine at a time.
type Connection struct {
	Conn target.Conn
	// values are the session values set on the target.
	values map[string]string
	// preparedNames are the names of the statements prepared on the target.
	preparedNames map[string]bool
}

// NewConnection returns a connection whose target session is in its initial state.
func NewConnection(conn target.Conn) *Connection {
	return &Connection{Conn: conn, values: make(map[string]string), preparedNames: make(map[string]bool)}
}

// SyncStatements returns the statements to run on the target before st, so that the
// target's session has the values of s and the prepared statement that st executes. It
// resets the target's session first if that has values that s lacks, or too many
// prepared statements. RecordSynced must be called once the statements have succeeded.
func (c *Connection) SyncStatements(s *Session, st statement.Statement) []statement.Statement {
	var steps []statement.Statement
	reset := len(c.preparedNames) > maxPrepared
	for name := range c.values {
		if _, isSet := s.Values[name]; !isSet {
			reset = true
		}
	}
	if reset {
		steps = append(steps, statement.Statement{Kind: statement.Reset})
	}
	for name, value := range s.Values {
		if current, known := c.values[name]; reset || !known || current != value {
			steps = append(steps, statement.Statement{Kind: statement.Set, Name: name, Argument: value})
		}
	}
	if st.Kind == statement.Execute {
		prepared := s.Prepared[st.Name]
		if name := prepared.targetName(); reset || !c.preparedNames[name] {
			steps = append(steps, statement.Statement{Kind: statement.Prepare, Name: name, Argument: prepared.Shape, Writes: prepared.Writes})
		}
	}
	return steps
}

// RecordSynced records the statements returned by SyncStatements, once they have
// succeeded.
func (c *Connection) RecordSynced(steps []statement.Statement) {
	for _, step := range steps {
		switch step.Kind {
		case statement.Reset:
			clear(c.values)
			clear(c.preparedNames)
		case statement.Set:
			c.values[step.Name] = step.Argument
		case statement.Prepare:
			c.preparedNames[step.Name] = true
		}
	}
}

// ForgetPrepared discards the record of prepared statements, so that each is
// prepared again before its next use.
func (c *Connection) ForgetPrepared() { clear(c.preparedNames) }

// Translate returns the statement to send to the target: one that executes a
// prepared statement refers to it by its name there.
func (c *Connection) Translate(s *Session, st statement.Statement) statement.Statement {
	if st.Kind == statement.Execute {
		st.Name = s.Prepared[st.Name].targetName()
	}
	return st
}
