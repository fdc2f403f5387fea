package relay

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/statement"
)

// Guards against a forwarded write or COMMIT that is sent after its caller was told that it has
// not run.
func TestNothingIsForwardedAfterItWasReportedAsUnsent(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	session := f.newSession()
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	ran := len(f.targets[first].received())
	if session.EndSends() {
		t.Fatal("nothing that could be in doubt was sent")
	}
	f.mustRun(session, statement.Commit, statement.Aborted)
	f.mustRun(session, statement.Write, statement.Busy)
	for _, kind := range f.targets[first].received()[ran:] {
		if kind != statement.Rollback.String() {
			t.Errorf("the owner has run %s", kind)
		}
	}
	if n := len(f.targets[other].received()) + len(f.targets["e"].received()); n != 0 {
		t.Errorf("%d statements on other instances", n)
	}
}

// Guards against a forwarded write that is reported as unsent while its owner runs it.
func TestForwardedWriteCountsAsSent(t *testing.T) {
	f := newFleet(t)
	session := f.newSession()
	f.mustRun(session, statement.Write, statement.OK)
	if !session.EndSends() {
		t.Fatal("a write that an owner has run is reported as unsent")
	}
}
