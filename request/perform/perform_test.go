package perform

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
	readA   = text(statement.Read, "READ a")
	writeA  = text(statement.Write, "WRITE a x")
	begin   = text(statement.Begin, "BEGIN")
	beginRO = text(statement.BeginReadOnly, "BEGIN READ")
	commit  = text(statement.Commit, "COMMIT")
)

// A daemon that learns late of a promotion must not take the record's start as
// evidence of this moment: the new primary may have commits since.
func TestRecordIsNoEvidenceOfTheLog(t *testing.T) {
	r := newRig(t)
	r.run(r.session(1, "strict"), writeA, statement.OK)
	r.advance(time.Second)
	r.engine.SetRecord("s", failover.Record{Primary: "b", Term: 2, Start: topology.Point{Term: 1, Position: 10}}, 2)
	r.run(r.session(2, "bounded"), readA, statement.OK)
	if reads := r.targets.seen(statement.Read); len(reads) != 1 || reads[0].target != "b" {
		t.Fatalf("%+v", reads)
	}
}

func TestReadsUseTheEvidenceOfAnswers(t *testing.T) {
	r := newRig(t)
	r.run(r.session(1, "bounded"), readA, statement.OK)
	r.advance(time.Second)
	r.run(r.session(2, "bounded"), readA, statement.OK)
	reads := r.targets.seen(statement.Read)
	if reads[0].target != "a" || reads[0].After != (topology.Point{}) {
		t.Fatalf("the first read went to %s after %s", reads[0].target, reads[0].After)
	}
	if reads[1].target == "a" || reads[1].After != (topology.Point{Term: 1, Position: 10}) {
		t.Fatalf("the second read went to %s after %s", reads[1].target, reads[1].After)
	}
	r.advance(2 * time.Second)
	r.run(r.session(3, "bounded"), readA, statement.OK)
	if reads := r.targets.seen(statement.Read); reads[2].target != "a" {
		t.Fatal("evidence older than the route allows was used")
	}
}

func TestSessionReadsItsOwnWrite(t *testing.T) {
	r := newRig(t)
	c := r.session(1, "session")
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Write {
			return statement.Answer{State: statement.Idle, Signature: "x", Position: topology.Point{Term: 1, Position: 20}}, nil
		}
		return statement.Answer{}, nil
	}
	r.run(c, writeA, statement.OK)
	r.run(c, readA, statement.OK)
	if reads := r.targets.seen(statement.Read); reads[0].target != "a" && reads[0].After.Position < 20 {
		t.Fatalf("%+v", reads[0])
	}
	r.advance(time.Second)
	r.run(c, readA, statement.OK)
	if reads := r.targets.seen(statement.Read); reads[1].target == "a" || reads[1].After.Position != 20 {
		t.Fatalf("%+v", reads[1])
	}
}

func TestWriteWithoutAnswerIsInDoubtAndSentOnce(t *testing.T) {
	r := newRig(t)
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Write {
			return statement.Answer{}, broken(true)
		}
		return statement.Answer{}, nil
	}
	r.run(r.session(1, "strict"), writeA, statement.InDoubt)
	if writes := r.targets.seen(statement.Write); len(writes) != 1 {
		t.Fatalf("%d writes sent", len(writes))
	}
}

func TestWriteThatWasNotSentIsTriedAgain(t *testing.T) {
	r := newRig(t)
	failures := 0
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Write && failures == 0 {
			failures++
			return statement.Answer{}, broken(false)
		}
		return statement.Answer{}, nil
	}
	// The pause after a broken connection ends with the clock.
	c := r.session(1, "strict")
	done := make(chan statement.Answer)
	go func() { done <- c.Run(writeA) }()
	for {
		select {
		case answer := <-done:
			if answer.Code != statement.OK {
				t.Fatalf("%+v", answer)
			}
			return
		default:
			r.advance(time.Millisecond)
			r.engine.Tick()
			time.Sleep(time.Millisecond) // lets the statement run; the clock is the test's
		}
	}
}

func TestReadWithoutAnswerGoesElsewhere(t *testing.T) {
	r := newRig(t)
	r.run(r.session(1, "bounded"), readA, statement.OK)
	r.advance(time.Second)
	failed := topology.TargetID("")
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Read && (failed == "" || failed == s.target) {
			failed = s.target
			return statement.Answer{}, broken(true)
		}
		return statement.Answer{}, nil
	}
	r.run(r.session(2, "bounded"), readA, statement.OK)
}

func TestAnswerAfterTheRightEndedIsNotAcknowledged(t *testing.T) {
	r := newRig(t)
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Write {
			r.tenure.setPrimary(false)
		}
		return statement.Answer{}, nil
	}
	r.run(r.session(1, "strict"), writeA, statement.InDoubt)
	r.tenure.setPrimary(true)
	c := r.session(2, "strict")
	r.run(c, begin, statement.OK)
	r.targets.answer = nil
	r.run(c, writeA, statement.OK)
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Commit {
			r.tenure.setPrimary(false)
		}
		return statement.Answer{}, nil
	}
	r.run(c, commit, statement.InDoubt)
}

// A fence lets answers of statements in flight through until it is acknowledged.
func TestFencedPrimaryMayFinishWhatIsInFlight(t *testing.T) {
	r := newRig(t)
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Write {
			r.engine.SetRecord("s", failover.Record{Primary: "a", Term: 1, Fenced: true, Sequence: 1}, 2)
			if r.engine.Yielded("s", false) {
				t.Error("yielded while a statement was in flight")
			}
		}
		return statement.Answer{}, nil
	}
	r.run(r.session(1, "strict"), writeA, statement.OK)
	if !r.engine.Yielded("s", false) {
		t.Error("not yielded at rest")
	}
	r.engine.SetRecord("s", failover.Record{Primary: "b", Term: 2, Sequence: 1}, 3)
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Write {
			r.engine.SetRecord("s", failover.Record{Primary: "b", Term: 2, Fenced: true, Sequence: 2}, 4)
			r.engine.Yielded("s", true)
		}
		return statement.Answer{}, nil
	}
	r.run(r.session(2, "strict"), writeA, statement.InDoubt)
}

func TestUndeclaredInstanceUsesNoPrimary(t *testing.T) {
	r := newRig(t)
	r.engine.SetUses(nil)
	c := r.session(1, "strict")
	done := make(chan statement.Answer)
	go func() { done <- c.Run(writeA) }()
	for {
		select {
		case answer := <-done:
			if answer.Code != statement.Busy || len(r.targets.seen(statement.Write)) != 0 {
				t.Fatalf("%+v", answer)
			}
			return
		default:
			r.advance(10 * time.Millisecond)
			time.Sleep(time.Millisecond) // lets the statement run; the clock is the test's
		}
	}
}

func TestTransactionStaysOnItsConnection(t *testing.T) {
	r := newRig(t)
	c := r.session(1, "strict")
	r.run(c, begin, statement.OK)
	if len(r.targets.seen(statement.Begin)) != 0 {
		t.Fatal("BEGIN was sent before the first statement")
	}
	r.run(c, readA, statement.OK)
	r.run(r.session(2, "strict"), writeA, statement.OK)
	r.run(c, writeA, statement.OK)
	r.run(c, commit, statement.OK)
	own := map[int]bool{}
	for _, s := range r.targets.seen(statement.Begin, statement.Read, statement.Commit) {
		own[s.conn] = true
	}
	if len(own) != 1 {
		t.Fatalf("connections %v", own)
	}
	for _, s := range r.targets.seen(statement.Write)[:1] {
		if own[s.conn] {
			t.Fatal("another session's write ran on the transaction's connection")
		}
	}
}

func TestReadOnlyTransactionBeginsAfterItsFloor(t *testing.T) {
	r := newRig(t)
	r.run(r.session(1, "bounded"), readA, statement.OK)
	r.advance(time.Second)
	c := r.session(2, "bounded")
	r.run(c, beginRO, statement.OK)
	r.run(c, readA, statement.OK)
	begins := r.targets.seen(statement.BeginReadOnly)
	if len(begins) != 1 || begins[0].target == "a" || begins[0].After.Position != 10 {
		t.Fatalf("%+v", begins)
	}
	r.run(c, commit, statement.OK)
}

func TestLostStatementOfATransactionIsAborted(t *testing.T) {
	r := newRig(t)
	c := r.session(1, "strict")
	r.run(c, begin, statement.OK)
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Write {
			return statement.Answer{}, broken(true)
		}
		return statement.Answer{}, nil
	}
	if answer := r.run(c, writeA, statement.Aborted); answer.State != statement.Failed {
		t.Fatalf("%+v", answer)
	}
	if !r.targets.closed[1] {
		t.Fatal("the connection stays open, so the target may keep the transaction")
	}
	r.run(c, readA, statement.Malformed)
	if answer := r.run(c, commit, statement.Aborted); answer.State != statement.Idle {
		t.Fatalf("%+v", answer)
	}
}

func TestLostCommitIsInDoubt(t *testing.T) {
	r := newRig(t)
	c := r.session(1, "strict")
	r.run(c, begin, statement.OK)
	r.run(c, writeA, statement.OK)
	r.targets.answer = func(s sent) (statement.Answer, error) {
		if s.Kind == statement.Commit {
			return statement.Answer{}, broken(true)
		}
		return statement.Answer{}, nil
	}
	r.run(c, commit, statement.InDoubt)
	if commits := r.targets.seen(statement.Commit); len(commits) != 1 {
		t.Fatalf("%d commits sent", len(commits))
	}
}

func TestExpiredTransactionIsToldOnce(t *testing.T) {
	r := newRig(t)
	c := r.session(1, "strict")
	r.run(c, begin, statement.OK)
	r.run(c, writeA, statement.OK)
	c.Expire()
	r.run(c, readA, statement.Aborted)
	r.run(c, readA, statement.Malformed)
	r.run(c, text(statement.Rollback, "ROLLBACK"), statement.OK)
	r.run(c, readA, statement.OK)
}

// Sessions with other values and prepared names share connections without seeing
// each other's.
func TestSessionStateFollowsTheSession(t *testing.T) {
	r := newRig(t)
	r.engine.SetShares(map[topology.ServiceID]int{"s": 1}, nil)
	set := func(name, value string) statement.Statement {
		return statement.Statement{Kind: statement.Set, Name: name, Argument: value}
	}
	prepare := func(shape string) statement.Statement {
		return statement.Statement{Kind: statement.Prepare, Name: "p", Argument: shape}
	}
	execute := statement.Statement{Kind: statement.Execute, ID: "e", Name: "p", Argument: "a"}
	one, two := r.session(1, "strict"), r.session(2, "strict")
	r.run(one, set("x", "1"), statement.OK)
	r.run(one, prepare("q1"), statement.OK)
	r.run(two, set("y", "2"), statement.OK)
	r.run(two, prepare("q2"), statement.OK)
	state := map[string]string{}
	shapes := map[string]string{}
	r.targets.answer = func(s sent) (statement.Answer, error) {
		switch s.Kind {
		case statement.Reset:
			clear(state)
			clear(shapes)
		case statement.Set:
			state[s.Name] = s.Argument
		case statement.Prepare:
			shapes[s.Name] = s.Argument
		case statement.Execute:
			if shapes[s.Name] == "q1" && (len(state) != 1 || state["x"] != "1") ||
				shapes[s.Name] == "q2" && (len(state) != 1 || state["y"] != "2") || shapes[s.Name] == "" {
				t.Errorf("%s ran with values %v and statements %v", s.Name, state, shapes)
			}
		}
		return statement.Answer{}, nil
	}
	for range 3 {
		r.run(one, execute, statement.OK)
		r.run(two, execute, statement.OK)
	}
	if shapesRun := r.targets.seen(statement.Execute); shapesRun[0].Name == shapesRun[1].Name {
		t.Fatal("both statements have one name at the target")
	}
}

func TestSuccessNeedsASignature(t *testing.T) {
	r := newRig(t)
	r.targets.answer = func(s sent) (statement.Answer, error) {
		return statement.Answer{State: statement.Idle}, nil
	}
	r.run(r.session(1, "strict"), writeA, statement.InDoubt)
}

func TestWithdrawnKeyAndMissingRoute(t *testing.T) {
	r := newRig(t)
	stranger := r.engine.Converse(client.NewSession(1, "strict", "other"), r.engine)
	r.run(stranger, readA, statement.AuthenticationFailed)
	r.run(r.session(2, "nowhere"), readA, statement.UnknownDatabase)
	c := r.session(3, "strict")
	r.run(c, readA, statement.OK)
	r.tenure.keys = false
	r.run(c, readA, statement.Busy)
	if len(r.targets.seen(statement.Read)) != 1 {
		t.Fatal("a refused read was sent")
	}
}

func TestConnectionsBelongToOneCustomer(t *testing.T) {
	r := newRig(t)
	r.run(r.session(1, "strict"), readA, statement.OK)
	if s := r.targets.seen(statement.Read)[0]; s.customer != "k" {
		t.Fatalf("connected as %q", s.customer)
	}
}

// reports notes what the engine says of targets.
type reports struct {
	nobody
	unreachable []topology.TargetID
}

func (r *reports) Unreachable(_ topology.ServiceID, id topology.TargetID) {
	r.unreachable = append(r.unreachable, id)
}

// A primary that goes silent under a statement is reported without waiting for a
// new connection to fail.
func TestSilentPrimaryIsReportedAtOnce(t *testing.T) {
	r := newRig(t)
	told := &reports{}
	r.engine.Reachability = told
	r.targets.answer = func(s sent) (statement.Answer, error) {
		return statement.Answer{}, &target.Error{Step: "write", Peer: "a", Failure: target.Silent, Sent: true, Err: errors.New("timed out")}
	}
	r.run(r.session(1, "strict"), writeA, statement.InDoubt)
	if len(told.unreachable) != 1 || told.unreachable[0] != "a" {
		t.Fatalf("%v", told.unreachable)
	}
}

// An instance whose registration has lapsed closes its connections: the instances that
// take over may open as many.
func TestLapsedInstanceClosesItsConnections(t *testing.T) {
	r := newRig(t)
	r.run(r.session(1, "strict"), writeA, statement.OK)
	r.tenure.mu.Lock()
	r.tenure.lapsed = true
	r.tenure.mu.Unlock()
	r.engine.Tick()
	if open := r.targets.openConnections(); open != 0 {
		t.Fatalf("%d connections are open", open)
	}
}
