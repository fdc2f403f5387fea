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
	// prepared holds the statements prepared on the target by their names there.
	prepared map[string]PreparedStatement
}

// NewConnection returns a connection whose target session is in its initial state.
func NewConnection(conn target.Conn) *Connection {
	return &Connection{Conn: conn, values: make(map[string]string), prepared: make(map[string]PreparedStatement)}
}

// SyncStatements returns the statements to run on the target before st, so that the
// target's session has the values of s and the prepared statement that st executes. It
// resets the target's session first if that has values that s lacks, too many
// prepared statements, or another one under the name of the one that st executes. RecordSynced must be called once the statements have succeeded.
func (c *Connection) SyncStatements(s *Session, st statement.Statement) []statement.Statement {
	var steps []statement.Statement
	reset := len(c.prepared) > maxPrepared
	for name := range c.values {
		if _, isSet := s.Values[name]; !isSet {
			reset = true
		}
	}
	var name string
	var isPrepared bool
	executed := s.Prepared[st.Name]
	if st.Kind == statement.Execute {
		name = executed.targetName()
		var current PreparedStatement
		current, isPrepared = c.prepared[name]
		reset = reset || isPrepared && current != executed // two statements share a name, which is a hash
	}
	if reset {
		steps = append(steps, statement.Statement{Kind: statement.Reset})
	}
	for name, value := range s.Values {
		if current, known := c.values[name]; reset || !known || current != value {
			steps = append(steps, statement.Statement{Kind: statement.Set, Name: name, Argument: value})
		}
	}
	if st.Kind == statement.Execute && (reset || !isPrepared) {
		steps = append(steps, statement.Statement{Kind: statement.Prepare, Name: name, Argument: executed.Shape, Writes: executed.Writes})
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
			clear(c.prepared)
		case statement.Set:
			c.values[step.Name] = step.Argument
		case statement.Prepare:
			c.prepared[step.Name] = PreparedStatement{Writes: step.Writes, Shape: step.Argument}
		}
	}
}

// ForgetPrepared discards the record of prepared statements, so that each is
// prepared again before its next use.
func (c *Connection) ForgetPrepared() { clear(c.prepared) }

// Translate returns the statement to send to the target: one that executes a
// prepared statement refers to it by its name there.
func (c *Connection) Translate(s *Session, st statement.Statement) statement.Statement {
	if st.Kind == statement.Execute {
		st.Name = s.Prepared[st.Name].targetName()
	}
	return st
}
