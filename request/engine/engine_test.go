package engine

import (
	"errors"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	readA   = newStatement(statement.Read, "READ a")
	writeA  = newStatement(statement.Write, "WRITE a x")
	begin   = newStatement(statement.Begin, "BEGIN")
	beginRO = newStatement(statement.BeginReadOnly, "BEGIN READ")
	commit  = newStatement(statement.Commit, "COMMIT")
)

// An instance that learns late of a promotion must not use the start position in the
// record as the current one: the new primary may have committed writes since.
func TestRecordStartIsNotUsedAsFloor(t *testing.T) {
	h := newHarness(t)
	h.mustRun(h.session(1, "strict"), writeA, statement.OK)
	h.advance(time.Second)
	h.engine.SetRecord("s", failover.Record{Primary: "b", Term: 2, TermStart: topology.Point{Term: 1, Position: 10}}, 2)
	h.mustRun(h.session(2, "bounded"), readA, statement.OK)
	if reads := h.targets.received(statement.Read); len(reads) != 1 || reads[0].target != "b" {
		t.Fatalf("reads %+v, want one on the new primary", reads)
	}
}

// While no database may be promoted, what needs the primary is refused with the reason and not
// held back first; replicas go on serving.
func TestCallersAreRefusedWithTheReasonWhileTheServiceWaits(t *testing.T) {
	h := newHarness(t)
	const reason = "the databases that respond may lack acknowledged commits"
	h.mustRun(h.session(2, "bounded"), readA, statement.OK)
	h.advance(time.Second)
	h.engine.SetRecord("s", failover.Record{Primary: "a", Term: 1, Fenced: true, FenceSequence: 1, Waiting: reason}, 2)
	for _, database := range []string{"strict", "session"} {
		if response := h.mustRun(h.session(1, database), writeA, statement.Busy); response.Detail != reason {
			t.Errorf("%s: refused as %q", database, response.Detail)
		}
	}
	h.mustRun(h.session(2, "bounded"), readA, statement.OK)
	h.engine.SetRecord("s", failover.Record{Primary: "b", Term: 2, FenceSequence: 1}, 3)
	h.mustRun(h.session(3, "strict"), writeA, statement.OK)
}

func TestReadFloorComesFromResponses(t *testing.T) {
	h := newHarness(t)
	h.mustRun(h.session(1, "bounded"), readA, statement.OK)
	h.advance(time.Second)
	h.mustRun(h.session(2, "bounded"), readA, statement.OK)
	reads := h.targets.received(statement.Read)
	if reads[0].target != "a" || reads[0].MinPoint != (topology.Point{}) {
		t.Fatalf("the first read went to %s after %s", reads[0].target, reads[0].MinPoint)
	}
	if reads[1].target == "a" || reads[1].MinPoint != (topology.Point{Term: 1, Position: 10}) {
		t.Fatalf("the second read went to %s after %s", reads[1].target, reads[1].MinPoint)
	}
	h.advance(2 * time.Second)
	h.mustRun(h.session(3, "bounded"), readA, statement.OK)
	if reads := h.targets.received(statement.Read); reads[2].target != "a" {
		t.Fatal("the read used a floor older than the route's staleness limit")
	}
}

func TestSessionReadsItsOwnWrite(t *testing.T) {
	h := newHarness(t)
	session := h.session(1, "session")
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Write {
			return statement.Response{State: statement.Idle, Signature: "x", LogEnd: topology.Point{Term: 1, Position: 20}}, nil
		}
		return statement.Response{}, nil
	}
	h.mustRun(session, writeA, statement.OK)
	h.mustRun(session, readA, statement.OK)
	if reads := h.targets.received(statement.Read); reads[0].target != "a" && reads[0].MinPoint.Position < 20 {
		t.Fatalf("the read %+v may miss the write", reads[0])
	}
	h.advance(time.Second)
	h.mustRun(session, readA, statement.OK)
	if reads := h.targets.received(statement.Read); reads[1].target == "a" || reads[1].MinPoint.Position != 20 {
		t.Fatalf("read %+v, want one on a replica that has the write", reads[1])
	}
}

func TestWriteWithoutResponseIsInDoubtAndNotRetried(t *testing.T) {
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Write {
			return statement.Response{}, brokenError(true)
		}
		return statement.Response{}, nil
	}
	h.mustRun(h.session(1, "strict"), writeA, statement.InDoubt)
	if writes := h.targets.received(statement.Write); len(writes) != 1 {
		t.Fatalf("%d writes sent", len(writes))
	}
}

func TestUnsentWriteIsRetried(t *testing.T) {
	h := newHarness(t)
	failures := 0
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Write && failures == 0 {
			failures++
			return statement.Response{}, brokenError(false)
		}
		return statement.Response{}, nil
	}
	// The backoff after a broken connection ends only when the test's clock advances.
	session := h.session(1, "strict")
	done := make(chan statement.Response)
	go func() { done <- session.Run(writeA) }()
	for {
		select {
		case response := <-done:
			if response.Code != statement.OK {
				t.Fatalf("response %+v, want success", response)
			}
			return
		default:
			h.advance(time.Millisecond)
			h.engine.Tick()
			time.Sleep(time.Millisecond) // lets the statement's goroutine run
		}
	}
}

func TestReadWithoutResponseIsRetriedOnAnotherTarget(t *testing.T) {
	h := newHarness(t)
	h.mustRun(h.session(1, "bounded"), readA, statement.OK)
	h.advance(time.Second)
	failed := topology.TargetID("")
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Read && (failed == "" || failed == s.target) {
			failed = s.target
			return statement.Response{}, brokenError(true)
		}
		return statement.Response{}, nil
	}
	h.mustRun(h.session(2, "bounded"), readA, statement.OK)
}

func TestResponseAfterAuthorityExpiredIsInDoubt(t *testing.T) {
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Write {
			h.authority.setPrimary(false)
		}
		return statement.Response{}, nil
	}
	h.mustRun(h.session(1, "strict"), writeA, statement.InDoubt)
	h.authority.setPrimary(true)
	session := h.session(2, "strict")
	h.mustRun(session, begin, statement.OK)
	h.targets.respond = nil
	h.mustRun(session, writeA, statement.OK)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Commit {
			h.authority.setPrimary(false)
		}
		return statement.Response{}, nil
	}
	h.mustRun(session, commit, statement.InDoubt)
}

// A response that arrives after a fence is acknowledged to the caller only as long as
// the instance has not released the primary.
func TestFencedPrimaryCompletesStatementsInFlight(t *testing.T) {
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Write {
			h.engine.SetRecord("s", failover.Record{Primary: "a", Term: 1, Fenced: true, FenceSequence: 1}, 2)
			if h.engine.ReleasePrimary("s", false) {
				t.Error("released the primary while a statement was in flight")
			}
		}
		return statement.Response{}, nil
	}
	h.mustRun(h.session(1, "strict"), writeA, statement.OK)
	if !h.engine.ReleasePrimary("s", false) {
		t.Error("did not release the primary with no statement in flight")
	}
	h.engine.SetRecord("s", failover.Record{Primary: "b", Term: 2, FenceSequence: 1}, 3)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Write {
			h.engine.SetRecord("s", failover.Record{Primary: "b", Term: 2, Fenced: true, FenceSequence: 2}, 4)
			h.engine.ReleasePrimary("s", true)
		}
		return statement.Response{}, nil
	}
	h.mustRun(h.session(2, "strict"), writeA, statement.InDoubt)
}

func TestPrimaryIsNotUsedBeforeItsUseIsDeclared(t *testing.T) {
	h := newHarness(t)
	h.engine.SetDeclaredServices(nil)
	session := h.session(1, "strict")
	done := make(chan statement.Response)
	go func() { done <- session.Run(writeA) }()
	for {
		select {
		case response := <-done:
			if response.Code != statement.Busy || len(h.targets.received(statement.Write)) != 0 {
				t.Fatalf("response %+v, want busy without a write on the primary", response)
			}
			return
		default:
			h.advance(10 * time.Millisecond)
			time.Sleep(time.Millisecond) // lets the statement's goroutine run
		}
	}
}

func TestTransactionStaysOnItsConnection(t *testing.T) {
	h := newHarness(t)
	session := h.session(1, "strict")
	h.mustRun(session, begin, statement.OK)
	if len(h.targets.received(statement.Begin)) != 0 {
		t.Fatal("BEGIN was sent before the first statement")
	}
	h.mustRun(session, readA, statement.OK)
	h.mustRun(h.session(2, "strict"), writeA, statement.OK)
	h.mustRun(session, writeA, statement.OK)
	h.mustRun(session, commit, statement.OK)
	connections := map[int]bool{}
	for _, s := range h.targets.received(statement.Begin, statement.Read, statement.Commit) {
		connections[s.conn] = true
	}
	if len(connections) != 1 {
		t.Fatalf("connections %v", connections)
	}
	for _, s := range h.targets.received(statement.Write)[:1] {
		if connections[s.conn] {
			t.Fatal("another session's write ran on the transaction's connection")
		}
	}
}

func TestReadOnlyTransactionRequiresItsFloor(t *testing.T) {
	h := newHarness(t)
	h.mustRun(h.session(1, "bounded"), readA, statement.OK)
	h.advance(time.Second)
	session := h.session(2, "bounded")
	h.mustRun(session, beginRO, statement.OK)
	h.mustRun(session, readA, statement.OK)
	begins := h.targets.received(statement.BeginReadOnly)
	if len(begins) != 1 || begins[0].target == "a" || begins[0].MinPoint.Position != 10 {
		t.Fatalf("begins %+v, want one on a replica that has reached the floor", begins)
	}
	h.mustRun(session, commit, statement.OK)
}

func TestStatementWithoutResponseAbortsTheTransaction(t *testing.T) {
	h := newHarness(t)
	session := h.session(1, "strict")
	h.mustRun(session, begin, statement.OK)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Write {
			return statement.Response{}, brokenError(true)
		}
		return statement.Response{}, nil
	}
	if response := h.mustRun(session, writeA, statement.Aborted); response.State != statement.Failed {
		t.Fatalf("response %+v, want a failed transaction", response)
	}
	if !h.targets.closed[1] {
		t.Fatal("the connection is still open, so the target may keep the transaction")
	}
	h.mustRun(session, readA, statement.Malformed)
	if response := h.mustRun(session, commit, statement.Aborted); response.State != statement.Idle {
		t.Fatalf("response %+v, want no transaction", response)
	}
}

func TestCommitWithoutResponseIsInDoubt(t *testing.T) {
	h := newHarness(t)
	session := h.session(1, "strict")
	h.mustRun(session, begin, statement.OK)
	h.mustRun(session, writeA, statement.OK)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Commit {
			return statement.Response{}, brokenError(true)
		}
		return statement.Response{}, nil
	}
	h.mustRun(session, commit, statement.InDoubt)
	if commits := h.targets.received(statement.Commit); len(commits) != 1 {
		t.Fatalf("%d commits sent", len(commits))
	}
}

func TestTransactionExpiryIsReportedOnce(t *testing.T) {
	h := newHarness(t)
	session := h.session(1, "strict")
	h.mustRun(session, begin, statement.OK)
	h.mustRun(session, writeA, statement.OK)
	session.ExpireTransaction("the transaction rested too long")
	h.mustRun(session, readA, statement.Aborted)
	h.mustRun(session, readA, statement.Malformed)
	h.mustRun(session, newStatement(statement.Rollback, "ROLLBACK"), statement.OK)
	h.mustRun(session, readA, statement.OK)
}

// Two sessions that share a connection must not see each other's settings and
// prepared statements, even under the same names.
func TestSharedConnectionsFollowSessionState(t *testing.T) {
	h := newHarness(t)
	h.engine.SetShares(map[topology.ServiceID]int{"s": 1}, nil)
	set := func(name, value string) statement.Statement {
		return statement.Statement{Kind: statement.Set, Name: name, Argument: value}
	}
	prepare := func(shape string) statement.Statement {
		return statement.Statement{Kind: statement.Prepare, Name: "p", Argument: shape}
	}
	execute := statement.Statement{Kind: statement.Execute, ID: "e", Name: "p", Argument: "a"}
	first, second := h.session(1, "strict"), h.session(2, "strict")
	h.mustRun(first, set("x", "1"), statement.OK)
	h.mustRun(first, prepare("q1"), statement.OK)
	h.mustRun(second, set("y", "2"), statement.OK)
	h.mustRun(second, prepare("q2"), statement.OK)
	values := map[string]string{}
	shapes := map[string]string{}
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		switch s.Kind {
		case statement.Reset:
			clear(values)
			clear(shapes)
		case statement.Set:
			values[s.Name] = s.Argument
		case statement.Prepare:
			shapes[s.Name] = s.Argument
		case statement.Execute:
			if shapes[s.Name] == "q1" && (len(values) != 1 || values["x"] != "1") ||
				shapes[s.Name] == "q2" && (len(values) != 1 || values["y"] != "2") || shapes[s.Name] == "" {
				t.Errorf("%s ran with settings %v and prepared statements %v", s.Name, values, shapes)
			}
		}
		return statement.Response{}, nil
	}
	for range 3 {
		h.mustRun(first, execute, statement.OK)
		h.mustRun(second, execute, statement.OK)
	}
	if executed := h.targets.received(statement.Execute); executed[0].Name == executed[1].Name {
		t.Fatal("both sessions' statements have the same name at the target")
	}
}

func TestSuccessWithoutSignatureIsInDoubt(t *testing.T) {
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		return statement.Response{State: statement.Idle}, nil
	}
	h.mustRun(h.session(1, "strict"), writeA, statement.InDoubt)
}

func TestUnauthorizedSessionsAreRefused(t *testing.T) {
	h := newHarness(t)
	unknownKey := h.engine.NewSession(client.NewSession(1, "strict", "other"), h.engine)
	h.mustRun(unknownKey, readA, statement.AuthenticationFailed)
	h.mustRun(h.session(2, "nowhere"), readA, statement.UnknownDatabase)
	session := h.session(3, "strict")
	h.mustRun(session, readA, statement.OK)
	h.authority.keys = false
	h.mustRun(session, readA, statement.Busy)
	if len(h.targets.received(statement.Read)) != 1 {
		t.Fatal("a refused read was sent to a target")
	}
}

func TestConnectionIsOpenedForTheCustomer(t *testing.T) {
	h := newHarness(t)
	h.mustRun(h.session(1, "strict"), readA, statement.OK)
	if s := h.targets.received(statement.Read)[0]; s.customer != "k" {
		t.Fatalf("the connection was opened for customer %q, want k", s.customer)
	}
}

// unreachableRecorder records the targets that the engine reports as unreachable.
type unreachableRecorder struct {
	noopReporter
	unreachable []topology.TargetID
}

func (r *unreachableRecorder) ReportUnreachable(_ topology.ServiceID, id topology.TargetID) {
	r.unreachable = append(r.unreachable, id)
}

// A primary that stops responding during a statement is reported as unreachable
// without waiting for a new connection to fail.
func TestSilentPrimaryIsReportedAsUnreachable(t *testing.T) {
	h := newHarness(t)
	recorder := &unreachableRecorder{}
	h.engine.Reachability = recorder
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		return statement.Response{}, &target.Error{Step: "write", Peer: "a", Failure: target.Unacknowledged, MaybeSent: true, Err: errors.New("timed out")}
	}
	h.mustRun(h.session(1, "strict"), writeA, statement.InDoubt)
	if len(recorder.unreachable) != 1 || recorder.unreachable[0] != "a" {
		t.Fatalf("reported %v as unreachable, want the primary once", recorder.unreachable)
	}
}

// An instance whose registration has expired closes its connections, because the
// registered instances may open as many.
func TestUnregisteredInstanceClosesItsConnections(t *testing.T) {
	h := newHarness(t)
	h.mustRun(h.session(1, "strict"), writeA, statement.OK)
	h.authority.mu.Lock()
	h.authority.expired = true
	h.authority.mu.Unlock()
	h.engine.Tick()
	if open := h.targets.openConnections(); open != 0 {
		t.Fatalf("%d connections are open", open)
	}
}
