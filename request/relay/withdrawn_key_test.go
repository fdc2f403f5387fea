package relay

import (
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

// withdrawKeyAt has an instance learn of a configuration without the callers' key.
func (f *fleet) withdrawKeyAt(id topology.InstanceID) {
	f.t.Helper()
	eng := f.network.relays[id].Engine
	withdrawn := *eng.Catalog()
	withdrawn.Version++
	withdrawn.Keys = nil
	if !eng.SetCatalog(&withdrawn) {
		f.t.Fatal("the configuration was not accepted")
	}
}

// requireOnlyRollback checks that a target received nothing but ROLLBACK after the first
// statements.
func (f *fleet) requireOnlyRollback(id topology.InstanceID, before int) {
	f.t.Helper()
	for _, received := range f.targets[id].received()[before:] {
		if received != statement.Rollback.String() {
			f.t.Errorf("the target received %s", received)
		}
	}
}

// A forwarded transaction went on after its key had been withdrawn. It must end whichever of
// its two instances learns of the withdrawal first.
func TestWithdrawnKeyEndsForwardedTransactions(t *testing.T) {
	for _, atOwner := range []bool{true, false} {
		for _, kind := range []statement.Kind{statement.Read, statement.Write, statement.Commit} {
			f := newFleet(t)
			first, _ := f.owners()
			session := f.newSession()
			f.mustRun(session, statement.Begin, statement.OK)
			f.mustRun(session, statement.Write, statement.OK)
			before, learner := len(f.targets[first].received()), topology.InstanceID("e")
			if atOwner {
				learner = first
			}
			f.withdrawKeyAt(learner)
			f.mustRun(session, kind, statement.Aborted)
			if kind != statement.Commit && session.State() != statement.Failed {
				t.Errorf("%s leaves the session in state %v", kind, session.State())
			}
			f.requireOnlyRollback(first, before)
			for f.network.relays[first].HasRemoteOperations() {
				time.Sleep(time.Millisecond) // until the rollback, in its own goroutine, is done
			}
			f.mustRun(session, statement.Rollback, statement.OK)
			f.mustRun(session, statement.Write, statement.AuthenticationFailed)
		}
	}
}

// A transaction whose caller rests kept its locks after its key had been withdrawn.
func TestWithdrawnKeyEndsForwardedTransactionsOfRestingCallers(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	owner := f.network.relays[first]
	session := f.newSession()
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	owner.Tick()
	if !owner.HasRemoteOperations() {
		t.Fatal("the transaction was rolled back although its key is valid")
	}
	f.withdrawKeyAt(first)
	owner.Tick()
	for owner.HasRemoteOperations() {
		time.Sleep(time.Millisecond) // until the rollback, in its own goroutine, is done
	}
	for !slices.Contains(f.targets[first].received(), statement.Rollback.String()) {
		time.Sleep(time.Millisecond) // until the target has received it
	}
	f.mustRun(session, statement.Write, statement.Aborted)
}

// A transaction that this instance runs itself is under the same check.
func TestWithdrawnKeyEndsTransactionsThatRunHere(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	here := f.network.relays[first]
	session := here.Engine.NewSession(f.newSession().Client, here)
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	before := len(f.targets[first].received())
	f.withdrawKeyAt(first)
	f.mustRun(session, statement.Write, statement.Aborted)
	f.requireOnlyRollback(first, before)
}

// An owner that knew of the withdrawal first had the caller told that it had ended the
// transaction, as if for a fault, although the instance of the caller knew of it by then.
func TestCallerIsToldThatTheKeyOfItsForwardedTransactionWasWithdrawn(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	var outcome engine.Outcome
	transaction, response := f.network.relays["e"].Begin(f.newSession().Client, false, &outcome)
	if response.Code != statement.OK {
		t.Fatalf("begin: %s (%s)", response.Code, response.Detail)
	}
	write := statement.Statement{Kind: statement.Write, ID: "1", Text: "t"}
	if response := transaction.Run(write, &outcome); response.Code != statement.OK {
		t.Fatalf("write: %s (%s)", response.Code, response.Detail)
	}
	f.withdrawKeyAt(first)
	owner := f.network.relays[first]
	for owner.Tick(); owner.HasRemoteOperations(); {
		time.Sleep(time.Millisecond) // until the rollback, in its own goroutine, is done
	}
	f.withdrawKeyAt("e")
	if response := transaction.Run(write, &outcome); response.Code != statement.Aborted || response.Detail != engine.ReasonKeyWithdrawn {
		t.Errorf("%s (%s), want aborted (%s)", response.Code, response.Detail, engine.ReasonKeyWithdrawn)
	}
}
