package client

import (
	"slices"
	"testing"

	"samphirehitch.example/samphirehitch/process/statement"
)

// A session ran the statement of another one whose name on the target was the same hash.
func TestPreparedStatementOfAnotherShapeIsNotExecuted(t *testing.T) {
	s := NewSession(1, "d", "k")
	s.AddPrepared("p", PreparedStatement{Shape: "one"})
	c := NewConnection(nil)
	name := s.Prepared["p"].targetName()
	c.RecordSynced([]statement.Statement{{Kind: statement.Prepare, Name: name, Argument: "two"}})
	steps := c.SyncStatements(s, statement.Statement{Kind: statement.Execute, Name: "p"})
	want := []statement.Statement{{Kind: statement.Reset}, {Kind: statement.Prepare, Name: name, Argument: "one"}}
	if !slices.Equal(steps, want) {
		t.Fatalf("got %+v, want %+v", steps, want)
	}
	c.RecordSynced(steps)
	if steps := c.SyncStatements(s, statement.Statement{Kind: statement.Execute, Name: "p"}); len(steps) != 0 {
		t.Fatalf("prepared again: %+v", steps)
	}
}
