package relay

import (
	"fmt"
	"strings"
	"testing"

	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// mebibyte is about the length of the longest message on the wire.
var mebibyte = strings.Repeat("\xff", 1<<20)

// largeResults are rows that fit no frame of a link.
func largeResults() map[string][]string {
	large := make([]string, peer.MaxFrameBytes>>20)
	for i := range large {
		large[i] = mebibyte
	}
	return map[string][]string{"long rows": large, "many rows": make([]string, 1<<18)}
}

// returnRows has a target return rows with every response.
func (f *fleet) returnRows(id topology.InstanceID, rows []string) {
	f.targets[id].setRespond(func(_ statement.Statement, response *statement.Response) { response.Rows = rows })
}

// A result that was too large for a link closed it: statements of others got no response, and their
// transactions were rolled back.
func TestLargeResultEndsOnlyItsStatement(t *testing.T) {
	for name, rows := range largeResults() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			first, _ := f.owners()
			other := f.openTransaction()
			f.returnRows(first, rows)
			f.mustRun(f.newSession(), statement.Read, statement.ExecutionFailed)
			f.mustRun(f.newSession(), statement.Write, statement.InDoubt)
			f.targets[first].setRespond(nil)
			f.mustRun(other, statement.Write, statement.OK)
			f.mustRun(other, statement.Commit, statement.OK)
			if received := fmt.Sprint(f.targets[first].received()); received != "[begin write read write write commit]" {
				t.Errorf("%s ran %s", first, received)
			}
		})
	}
}

func TestLargeResultInATransaction(t *testing.T) {
	for name, rows := range largeResults() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			first, _ := f.owners()
			session := f.newSession()
			f.mustRun(session, statement.Begin, statement.OK)
			f.returnRows(first, rows)
			f.mustRun(session, statement.Read, statement.Aborted)
			if session.State() != statement.Failed {
				t.Errorf("the session is in state %d", session.State())
			}
			f.awaitNoOperations(first)
			f.mustRun(session, statement.Commit, statement.Aborted)
			f.targets[first].setRespond(nil)
			f.mustRun(session, statement.Begin, statement.OK)
			f.mustRun(session, statement.Write, statement.OK)
			f.returnRows(first, rows)
			f.mustRun(session, statement.Commit, statement.InDoubt)
			if session.State() != statement.Idle {
				t.Errorf("the session is in state %d", session.State())
			}
		})
	}
}

// The values of a session go with each of its forwarded statements.
func (f *fleet) setLargeValues(session interface {
	Run(statement.Statement) statement.Response
}) {
	for i := range peer.MaxFrameBytes >> 20 {
		session.Run(statement.Statement{Kind: statement.Set, Name: fmt.Sprint(i), Argument: mebibyte})
	}
}

// A request that was too large for a link closed it.
func TestLargeRequestIsRefused(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	other := f.openTransaction()
	session := f.newSession()
	f.setLargeValues(session)
	f.mustRun(session, statement.Write, statement.Busy)
	f.mustRun(session, statement.Read, statement.Busy)
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.Busy)
	f.mustRun(session, statement.Commit, statement.Aborted)
	f.mustRun(other, statement.Commit, statement.OK)
	if received := fmt.Sprint(f.targets[first].received()); received != "[begin write commit]" {
		t.Errorf("%s ran %s", first, received)
	}
}

func TestLargeRequestAbortsItsTransaction(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	session := f.openTransaction()
	f.setLargeValues(session)
	f.mustRun(session, statement.Commit, statement.Aborted)
	f.awaitNoOperations(first)
	if received := fmt.Sprint(f.targets[first].received()[:2]); received != "[begin write]" {
		t.Errorf("%s ran %s", first, received)
	}
}
