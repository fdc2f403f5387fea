package engine

import (
	"testing"
	"testing/synctest"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
)

// runLate runs a read that times out, whose late response is then given, and returns the number of connections that are
// open once that has arrived.
func runLate(t *testing.T, sent bool, late statement.Response) (open int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		failed := false
		h.targets.respond = func(receivedStatement) (statement.Response, error) {
			if failed {
				return statement.Response{}, nil
			}
			failed = true
			return statement.Response{}, exchangeError(target.ResponseTimeout, sent)
		}
		h.targets.late = func() (statement.Response, error) { return late, nil }
		h.mustRun(h.session(1, "strict"), readA, statement.TimedOut)
		synctest.Wait()
		open = h.targets.openConnections()
	})
	return open
}

// The copy of a response to SET was taken for the late response to a read, whose true one then went to the next statement.
func TestLateResponseWithoutSignatureClosesItsConnection(t *testing.T) {
	if open := runLate(t, true, statement.Response{State: statement.Idle}); open != 0 {
		t.Fatalf("%d connections are open", open)
	}
	if open := runLate(t, true, statement.Response{State: statement.Idle, Signature: "x"}); open != 1 {
		t.Fatalf("%d connections are open after the true response, want 1", open)
	}
}

// There is no response to a statement of which the target received a part.
func TestPartlySentStatementClosesItsConnection(t *testing.T) {
	if open := runLate(t, false, statement.Response{State: statement.Idle, Signature: "x"}); open != 0 {
		t.Fatalf("%d connections are open", open)
	}
}
