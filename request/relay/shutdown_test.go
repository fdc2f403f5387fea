package relay

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
)

// stopOwner has an owner shut down, at a moment when it admits no statement any more.
func stopOwner(owner *Relay) {
	owner.Stopping = func() bool { return true }
	owner.AdmitsStatement = func(time.Duration) bool { return false }
}

// An owner that exits while it runs a forwarded statement leaves the caller without its
// result. Late in its shutdown it runs none, COMMIT included, and the caller gets a true refusal.
func TestStoppingOwnerRunsNoStatementThatMayOutliveIt(t *testing.T) {
	for _, kind := range []statement.Kind{statement.Write, statement.Commit} {
		f := newFleet(t)
		first, _ := f.owners()
		owner := f.network.relays[first]
		session := f.newSession()
		f.mustRun(session, statement.Begin, statement.OK)
		f.mustRun(session, statement.Write, statement.OK)
		before := len(f.targets[first].received())
		stopOwner(owner)
		f.mustRun(session, kind, statement.Aborted)
		for _, received := range f.targets[first].received()[before:] {
			if received != statement.Rollback.String() {
				t.Errorf("the target received %s", received)
			}
		}
	}
}

// Transactions of callers who rest must not hold their targets' locks until the owner exits.
func TestStoppingOwnerRollsBackTransactionsOfRestingCallers(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	owner := f.network.relays[first]
	session := f.newSession()
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	owner.server.abortExpired(owner.Clock())
	if !owner.HasRemoteOperations() {
		t.Fatal("a transaction was rolled back although the owner is not shutting down")
	}
	stopOwner(owner)
	owner.server.abortExpired(owner.Clock())
	for owner.HasRemoteOperations() {
		time.Sleep(time.Millisecond) // until the rollback, in its own goroutine, is done
	}
	f.mustRun(session, statement.Write, statement.Aborted)
}
