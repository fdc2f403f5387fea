package relay

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

func TestOperationsRunAtTheOwner(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	session := f.newSession()
	f.mustRun(session, statement.Write, statement.OK)
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	f.mustRun(session, statement.Commit, statement.OK)
	if received := f.targets[first].received(); len(received) != 4 || len(f.targets[other].received())+len(f.targets["e"].received()) != 0 {
		t.Fatalf("the owner ran %v, the other instances %v and %v", received, f.targets[other].received(), f.targets["e"].received())
	}
	requireNoOpenTransaction(t, f.network.relays[first])
}

// requireNoOpenTransaction checks that an owner has no open transaction of another
// instance, and waits until no operation of one is in progress: the last operation is
// in progress until shortly after its response was sent.
func requireNoOpenTransaction(t *testing.T, owner *Relay) {
	t.Helper()
	owner.server.mu.Lock()
	open := len(owner.server.transactions)
	owner.server.mu.Unlock()
	if open != 0 {
		t.Fatalf("the owner has %d open transactions", open)
	}
	for owner.HasRemoteOperations() {
		time.Sleep(time.Millisecond) // until the last operation is no longer in progress
	}
}

func TestDisconnectedOwnerIsSkipped(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	f.setFault(first, f.network.disconnected)
	f.mustRun(f.newSession(), statement.Write, statement.OK)
	if len(f.targets[other].received()) != 1 {
		t.Fatalf("the other owner ran %v, want one statement", f.targets[other].received())
	}
}

// A large fleet keeps only the links that are requested. Operations that another instance
// ran while there was no link to the owner must return to the owner.
func TestOperationsReturnToAReconnectedOwner(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	f.network.allowReconnect = true
	f.setFault(first, f.network.disconnected)
	session := f.newSession()
	for range 3 {
		f.mustRun(session, statement.Write, statement.OK)
	}
	if atFirst, atOther := len(f.targets[first].received()), len(f.targets[other].received()); atFirst < 2 {
		t.Fatalf("%d statements ran at the first owner, %d at the other", atFirst, atOther)
	}
}

func TestWriteToASilentOwnerIsInDoubtAndNotRetried(t *testing.T) {
	f := newFleetWith(t, 100*time.Millisecond, clock.System())
	first, other := f.owners()
	f.setFault(first, f.network.partitioned)
	f.mustRun(f.newSession(), statement.Write, statement.InDoubt)
	if len(f.targets[other].received())+len(f.targets["e"].received()) != 0 {
		t.Fatal("the write was retried on another instance")
	}
}

func TestReadFromASilentOwnerIsRetriedOnAnother(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	f.setFault(first, f.network.partitioned)
	done := make(chan statement.Response)
	session := f.newSession()
	go func() { done <- session.Run(statement.Statement{Kind: statement.Read, ID: "1", Text: "t"}) }()
	for waiting := true; waiting; {
		select {
		case response := <-done:
			if response.Code != statement.OK {
				t.Fatalf("response %+v, want success", response)
			}
			waiting = false
		default:
			f.network.relays["e"].Tick()
			time.Sleep(time.Millisecond) // between two ticks, until the read completes
		}
	}
	if len(f.targets[other].received()) != 1 {
		t.Fatalf("the other owner ran %v, want one statement", f.targets[other].received())
	}
}

// The last link to the owner is lost while the owner runs a statement. Writes and
// commits are in doubt; an open transaction is aborted.
func TestOutcomeAfterLossOfTheLink(t *testing.T) {
	for _, test := range []struct {
		inTransaction bool
		kind          statement.Kind
		want          statement.Code
	}{
		{false, statement.Write, statement.InDoubt},
		{true, statement.Write, statement.Aborted},
		{true, statement.Commit, statement.InDoubt},
	} {
		f := newFleet(t)
		first, _ := f.owners()
		session := f.newSession()
		if test.inTransaction {
			f.mustRun(session, statement.Begin, statement.OK)
			f.mustRun(session, statement.Write, statement.OK)
		}
		block := make(chan struct{})
		f.targets[first].mu.Lock()
		f.targets[first].block = block
		before := len(f.targets[first].kinds)
		f.targets[first].mu.Unlock()
		done := make(chan statement.Response)
		go func() { done <- session.Run(statement.Statement{Kind: test.kind, ID: "2", Text: "t"}) }()
		for len(f.targets[first].received()) == before {
			time.Sleep(time.Millisecond) // until the statement has reached its target
		}
		f.setFault(first, f.network.disconnected)
		f.network.relays["e"].Disconnected(first)
		if response := <-done; response.Code != test.want {
			t.Errorf("%s in a transaction %v: %s, want %s", test.kind, test.inTransaction, response.Code, test.want)
		}
		close(block)
	}
}

// An owner that cannot use the primary declines immediately, because another owner may
// have the authority to use it and be able to reach it.
func TestOwnerWithoutPrimaryDeclines(t *testing.T) {
	for name, disable := range map[string]func(*recordingTarget){
		"without authority":   func(r *recordingTarget) { r.authorityDenials.Store(alwaysDenied) },
		"unreachable primary": func(r *recordingTarget) { r.primarySuspected.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			first, other := f.owners()
			disable(f.targets[first])
			session := f.newSession()
			f.mustRun(session, statement.Write, statement.OK)
			f.mustRun(session, statement.Begin, statement.OK)
			f.mustRun(session, statement.Write, statement.OK)
			f.mustRun(session, statement.Commit, statement.OK)
			if received := f.targets[other].received(); len(received) != 4 || len(f.targets[first].received()) != 0 {
				t.Fatalf("the other owner ran %v, want 4 statements", received)
			}
		})
	}
}

// alwaysDenied is a number of denials that no test uses up.
const alwaysDenied = 1 << 30

// While no instance has the authority to use the primary, nothing runs. An operation
// waits, and runs at the instance that has gained the authority by the next
// attempt.
func TestOperationsWaitForAuthorityToUseThePrimary(t *testing.T) {
	f := newFleetWith(t, longTimeout, stepClock())
	first, other := f.owners()
	for _, id := range []topology.InstanceID{first, other, "e"} {
		f.targets[id].authorityDenials.Store(alwaysDenied)
	}
	session := f.newSession()
	f.mustRun(session, statement.Write, statement.Busy)
	if len(f.targets[first].received())+len(f.targets[other].received()) != 0 {
		t.Fatal("a statement ran without authority to use the primary")
	}
	f.targets[other].authorityDenials.Store(1)
	f.mustRun(session, statement.Write, statement.OK)
	if received := f.targets[other].received(); len(received) != 1 {
		t.Fatalf("the other owner ran %v, want one statement", received)
	}
}

func TestTransactionsOfADisconnectedInstanceAreRolledBack(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	session := f.newSession()
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	if !f.network.relays[first].HasRemoteOperations() {
		t.Fatal("the owner has no open transaction")
	}
	f.network.relays[first].Disconnected("e")
	requireNoOpenTransaction(t, f.network.relays[first])
	f.mustRun(session, statement.Write, statement.Aborted)
}

func TestDemandIsSent(t *testing.T) {
	f := newFleet(t)
	f.network.relays["e"].SendDemand([]topology.InstanceID{"e", "h1"}, share.Report{Demand: share.Demands{"k": 7}, Excess: map[topology.CustomerID]float64{"k": 2}})
	if got := f.demands["e"]; got.Demand["k"] != 7 || got.Excess["k"] != 2 {
		t.Fatalf("demand %v, want that of e", f.demands)
	}
}

func TestGrantIsSentWithoutDemand(t *testing.T) {
	f := newFleet(t)
	grant := &share.Grant{Answers: time.Second, Fractions: map[topology.CustomerID]float64{"k": 0.5}}
	f.network.relays["e"].SendDemand([]topology.InstanceID{"h1"}, share.Report{SentAt: time.Minute, Grant: grant})
	if got := f.demands["e"]; got.SentAt != time.Minute || got.Incarnation != 1 || got.Grant == nil || got.Grant.Answers != time.Second || got.Grant.Fractions["k"] != 0.5 {
		t.Fatalf("report %+v, want that of e", got)
	}
}

// When the message that aborts a transaction is lost, the owner rolls the transaction
// back after the callers' limit on idle transactions.
func TestIdleRemoteTransactionIsRolledBack(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	owner := f.network.relays[first]
	limited := *owner.Engine.Catalog()
	limited.Version, limited.TransactionIdleTimeout = 2, 3*time.Second
	owner.Engine.SetCatalog(&limited)
	session := f.newSession()
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	owner.server.abortExpired(owner.Clock() + 3*time.Second)
	if !owner.HasRemoteOperations() {
		t.Fatal("the transaction was rolled back too early")
	}
	owner.server.abortExpired(owner.Clock() + 5*time.Second)
	for owner.HasRemoteOperations() {
		time.Sleep(time.Millisecond) // until the rollback, in its own goroutine, is done
	}
	f.mustRun(session, statement.Write, statement.Aborted)
}

// An instance that is not ready, because it lacks a recent confirmation by the store,
// forwards its callers' operations to others and declines theirs.
func TestInstanceThatIsNotReadyRunsNothing(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	f.setFault(first, f.network.notReady)
	f.mustRun(f.newSession(), statement.Write, statement.OK)
	r := f.network.relays[first]
	session := r.Engine.NewSession(client.NewSession(1, "d", "secret"), r)
	f.mustRun(session, statement.Write, statement.OK)
	if len(f.targets[first].received()) != 0 || len(f.targets[other].received()) != 2 {
		t.Fatalf("%v, %v", f.targets[first].received(), f.targets[other].received())
	}
}
