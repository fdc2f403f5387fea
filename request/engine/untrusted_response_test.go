package engine

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
)

// A connection on which a late response may still arrive must not serve another statement.
func TestConnectionThatIsNotReusableIsClosed(t *testing.T) {
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		h.targets.spent = map[int]bool{s.conn: true}
		return statement.Response{}, nil
	}
	s := h.session(1, "strict")
	h.mustRun(s, writeA, statement.OK)
	h.mustRun(s, writeA, statement.OK)
	if writes := h.targets.received(statement.Write); len(writes) != 2 || writes[0].conn == writes[1].conn {
		t.Fatalf("writes %+v, want two on different connections", writes)
	}
	if open := h.targets.openConnections(); open != 0 {
		t.Fatalf("%d connections are open", open)
	}
}

// What a caller learns of a statement whose response departs from the protocol depends on whether it may have
// run, and on what that does.
func TestOutcomeOfStatementsWithoutATrustedResponse(t *testing.T) {
	for name, c := range map[string]struct {
		err        error
		statements []statement.Statement
		want       statement.Code
	}{
		"write that was not sent":            {exchangeError(target.Unusable, false), []statement.Statement{writeA}, statement.OK},
		"write that may have run":            {exchangeError(target.InvalidResponse, true), []statement.Statement{writeA}, statement.InDoubt},
		"read":                               {exchangeError(target.InvalidResponse, true), []statement.Statement{readA}, statement.OK},
		"write in a transaction":             {exchangeError(target.InvalidResponse, true), []statement.Statement{begin, writeA}, statement.Aborted},
		"write in a transaction, not sent":   {exchangeError(target.Unusable, false), []statement.Statement{begin, writeA}, statement.Aborted},
		"COMMIT that may have run":           {exchangeError(target.InvalidResponse, true), []statement.Statement{begin, writeA, commit}, statement.InDoubt},
		"COMMIT that was not sent":           {exchangeError(target.Unusable, false), []statement.Statement{begin, writeA, commit}, statement.Aborted},
		"write that cannot be encoded":       {exchangeError(target.InvalidStatement, false), []statement.Statement{writeA}, statement.Malformed},
		"write in a transaction, no message": {exchangeError(target.InvalidStatement, false), []statement.Statement{begin, writeA}, statement.Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			last := c.statements[len(c.statements)-1]
			failed := false
			h.targets.respond = func(s receivedStatement) (statement.Response, error) {
				if s.Text != last.Text || failed {
					return statement.Response{}, nil
				}
				failed = true
				return statement.Response{}, c.err
			}
			s := h.session(1, "strict")
			for _, st := range c.statements[:len(c.statements)-1] {
				h.mustRun(s, st, statement.OK)
			}
			h.mustRun(s, last, c.want)
		})
	}
}

// A COMMIT without its target's signature is in doubt, and what else arrives on its connection is not known.
func TestCommitWithoutSignatureClosesItsConnection(t *testing.T) {
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Commit {
			return statement.Response{State: statement.Idle}, nil
		}
		return statement.Response{}, nil
	}
	s := h.session(1, "strict")
	h.mustRun(s, begin, statement.OK)
	h.mustRun(s, writeA, statement.OK)
	h.mustRun(s, commit, statement.InDoubt)
	if open := h.targets.openConnections(); open != 0 {
		t.Fatalf("%d connections are open", open)
	}
}

// The copy of a response to a statement in a transaction must not confirm that a session value is set.
func TestSessionValueConfirmedInAnotherStateIsNotTrusted(t *testing.T) {
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Set && s.conn == 1 {
			return statement.Response{State: statement.Open}, nil
		}
		return statement.Response{}, nil
	}
	s := h.session(1, "strict")
	h.mustRun(s, statement.Statement{Kind: statement.Set, Name: "n", Argument: "v"}, statement.OK)
	h.mustRun(s, readA, statement.OK)
	if reads := h.targets.received(statement.Read); len(reads) != 1 || reads[0].conn == 1 {
		t.Fatalf("reads %+v, want one on a second connection", reads)
	}
}

// The position in the copy of an earlier response is that of an earlier log: as the present one, it lets reads miss commits.
func TestPositionOfAnUntrustedResponseIsNoFloor(t *testing.T) {
	h := newHarness(t)
	unsigned := false
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		switch {
		case s.Kind != statement.Read && s.Kind != statement.Write:
			return statement.Response{}, nil
		case unsigned:
			return statement.Response{State: statement.Open, LogEnd: topology.Point{Term: 1, Position: 5}}, nil
		default:
			return statement.Response{State: statement.Open, Signature: "x", LogEnd: topology.Point{Term: 1, Position: 20}}, nil
		}
	}
	s := h.session(1, "strict")
	h.mustRun(s, begin, statement.OK)
	unsigned = true
	h.mustRun(s, writeA, statement.Aborted)
	h.advance(3 * time.Second)
	if sample, found := h.engine.service("s").dispatch.Floors.OldestSince(0); found {
		t.Fatalf("the floor is %+v", sample)
	}
}

// A caller got NOSTMT for a statement whose preparation was acknowledged, as no statement follows an error on its connection.
func TestPreparedStatementIsNeverUnknownToItsSession(t *testing.T) {
	prepare := statement.Statement{Kind: statement.Prepare, ID: "p", Text: "PREPARE s READ q", Name: "s", Argument: "q"}
	execute := statement.Statement{Kind: statement.Execute, ID: "e", Text: "EXECUTE s a", Name: "s", Argument: "a"}
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind != statement.Execute {
			return statement.Response{}, nil
		}
		h.targets.spent = map[int]bool{s.conn: true}
		return statement.Response{Code: statement.UnknownPrepared, State: statement.Idle}, nil
	}
	s := h.session(1, "strict")
	h.mustRun(s, prepare, statement.OK)
	h.mustRun(s, execute, statement.Busy)
	h.mustRun(s, begin, statement.OK)
	h.mustRun(s, execute, statement.Aborted)
}

// BEGIN was confirmed by the copy of an earlier response and has failed: the statement behind it ran on its own.
func TestWriteOfATransactionThatNeverBeganIsInDoubt(t *testing.T) {
	for _, response := range []statement.Response{
		{State: statement.Idle, Signature: "x"},
		{State: statement.Idle, Code: statement.Busy},
	} {
		for st, want := range map[statement.Statement]statement.Code{writeA: statement.InDoubt, readA: statement.Aborted} {
			h := newHarness(t)
			h.targets.respond = func(s receivedStatement) (statement.Response, error) {
				if s.Kind == st.Kind {
					return response, nil
				}
				return statement.Response{}, nil
			}
			s := h.session(1, "strict")
			h.mustRun(s, begin, statement.OK)
			h.mustRun(s, st, want)
			if open := h.targets.openConnections(); open != 0 {
				t.Errorf("%s: %d connections are open", st.Kind, open)
			}
		}
	}
}

// A shape that the name on the target makes too long was tried on six connections and refused as BUSY.
func TestShapeThatCannotBeEncodedIsMalformed(t *testing.T) {
	h := newHarness(t)
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind == statement.Prepare {
			return statement.Response{}, exchangeError(target.InvalidStatement, false)
		}
		return statement.Response{}, nil
	}
	s := h.session(1, "strict")
	h.mustRun(s, statement.Statement{Kind: statement.Prepare, Name: "p", Argument: "shape", Writes: true}, statement.OK)
	h.mustRun(s, statement.Statement{Kind: statement.Execute, ID: "1", Text: "EXECUTE p a", Name: "p", Argument: "a"}, statement.Malformed)
	if prepared := h.targets.received(statement.Prepare); len(prepared) != 1 {
		t.Fatalf("prepared %d times", len(prepared))
	}
}
