package client

import (
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
)

// mostPrepared bounds the prepared statements kept on one connection.
const mostPrepared = 256

// Link is a pooled connection to a target with the session state that the target
// keeps for it. It is used by one goroutine at a time.
type Link struct {
	Conn     target.Conn
	values   map[string]string
	prepared map[string]bool
}

// NewLink returns a link without session state.
func NewLink(conn target.Conn) *Link {
	return &Link{Conn: conn, values: make(map[string]string), prepared: make(map[string]bool)}
}

// Align returns the statements that give the target's session the values of s
// and the prepared statement that st executes. The caller reports their success
// by Aligned.
func (l *Link) Align(s *Session, st statement.Statement) []statement.Statement {
	var steps []statement.Statement
	reset := len(l.prepared) > mostPrepared
	for name := range l.values {
		if _, wanted := s.Values[name]; !wanted {
			reset = true
		}
	}
	if reset {
		steps = append(steps, statement.Statement{Kind: statement.Reset})
	}
	for name, value := range s.Values {
		if held, known := l.values[name]; reset || !known || held != value {
			steps = append(steps, statement.Statement{Kind: statement.Set, Name: name, Argument: value})
		}
	}
	if st.Kind == statement.Execute {
		p := s.Prepared[st.Name]
		if name := p.sharedName(); reset || !l.prepared[name] {
			steps = append(steps, statement.Statement{Kind: statement.Prepare, Name: name, Argument: p.Shape, Writes: p.Writes})
		}
	}
	return steps
}

// Aligned notes that the steps succeeded.
func (l *Link) Aligned(steps []statement.Statement) {
	for _, step := range steps {
		switch step.Kind {
		case statement.Reset:
			clear(l.values)
			clear(l.prepared)
		case statement.Set:
			l.values[step.Name] = step.Argument
		case statement.Prepare:
			l.prepared[step.Name] = true
		}
	}
}

// ForgetPrepared makes the next Align prepare statements anew.
func (l *Link) ForgetPrepared() { clear(l.prepared) }

// Translate returns the statement as the target is to see it.
func (l *Link) Translate(s *Session, st statement.Statement) statement.Statement {
	if st.Kind == statement.Execute {
		st.Name = s.Prepared[st.Name].sharedName()
	}
	return st
}
