package relay

import (
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/owner"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
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

// An owner gives its connections up soon after SIGTERM. Transactions that its callers had begun
// before, without a statement, waited for its last connection and were refused after 1 s: 2 or 3
// in a run of planned stops.
func TestTransactionBegunAtAnOwnerRunsAtItsSuccessor(t *testing.T) {
	for _, kind := range []statement.Kind{statement.Write, statement.Commit} {
		f := newFleet(t)
		first, other := f.owners()
		r := f.network.relays[first]
		session := r.Engine.NewSession(client.NewSession(1, "d", "secret"), r)
		f.mustRun(session, statement.Begin, statement.OK)
		r.SetRouting(owner.Assign([]topology.ServiceID{"s"}, []owner.Instance{{ID: other, CPUShare: 1}}), nil, nil)
		f.mustRun(session, kind, statement.OK)
		if got, want := f.targets[other].received(), []string{statement.Begin.String(), kind.String()}; !slices.Equal(got, want) {
			t.Errorf("%s: the successor's target received %v, want %v", kind, got, want)
		}
		if got := f.targets[first].received(); len(got) != 0 {
			t.Errorf("%s: the target of the instance that is leaving received %v", kind, got)
		}
	}
}

// What an owner's caller has begun to run stays there when the owner changes.
func TestTransactionThatRunsAtAnOwnerStaysThere(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	r := f.network.relays[first]
	session := r.Engine.NewSession(client.NewSession(1, "d", "secret"), r)
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	r.SetRouting(owner.Assign([]topology.ServiceID{"s"}, []owner.Instance{{ID: other, CPUShare: 1}}), nil, nil)
	f.mustRun(session, statement.Commit, statement.OK)
	if got := f.targets[other].received(); len(got) != 0 {
		t.Errorf("the successor's target received %v", got)
	}
}
