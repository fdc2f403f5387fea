package relay

import (
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
)

// requestOf returns a request of a transaction of session 1, which opens it unless begin is
// beginNone. Its text is sent to the target.
func requestOf(transaction uint64, begin beginMode, kind statement.Kind, text string) *forwardRequest {
	return &forwardRequest{ID: 1, Session: sessionID{Incarnation: 1, Number: 1, Transaction: transaction}, Begin: begin, InTransaction: begin == beginNone,
		ConfigVersion: 1, Database: "d", Key: "secret", Statement: statement.Statement{Kind: kind, ID: text, Text: text}}
}

// newOwner returns an owner without transactions and its target.
func newOwner(t *testing.T) (*server, *recordingTarget) {
	f := newFleet(t)
	first, _ := f.owners()
	return f.network.relays[first].server, f.targets[first]
}

func idOf(r *forwardRequest) remoteSessionID { return remoteSessionID{instance: "e", id: r.Session} }

// A statement of a transaction that was aborted after the statement was received ran outside
// of the transaction and was committed, although its caller was told that the transaction was aborted.
func TestStatementOfAnAbortedTransactionDoesNotRunOutsideOfIt(t *testing.T) {
	owner, target := newOwner(t)
	owner.run("e", requestOf(1, beginReadWrite, statement.Write, "first"))
	second := requestOf(1, beginNone, statement.Write, "second")
	remote, ok := owner.sessionFor(idOf(second), second)
	if !ok {
		t.Fatal("the transaction is not open")
	}
	owner.abort(idOf(second))
	if response := owner.runIn(remote, idOf(second), second); !response.Declined {
		t.Errorf("response %+v", response.Result)
	}
	if received := target.received(); slices.Contains(received[2:], statement.Write.String()) {
		t.Errorf("the target received %v", received)
	}
}

// An abort beside the request that opens the transaction left it open at its target for good.
func TestAbortBesideTheFirstStatementLeavesNoTransaction(t *testing.T) {
	owner, target := newOwner(t)
	first := requestOf(1, beginReadWrite, statement.Write, "first")
	remote, ok := owner.sessionFor(idOf(first), first)
	if !ok {
		t.Fatal("the request is declined")
	}
	owner.abort(idOf(first))
	if response := owner.runIn(remote, idOf(first), first); !response.Declined || len(target.received()) != 0 {
		t.Errorf("response %+v, the target received %v", response.Result, target.received())
	}
}

// The request that opened an earlier transaction was delayed until the next one had begun.
// COMMIT of the second committed the write of the first, which its caller knew as aborted.
func TestLateRequestOfAnEarlierTransactionIsDeclined(t *testing.T) {
	for _, aborted := range []bool{false, true} {
		owner, target := newOwner(t)
		first := requestOf(1, beginReadWrite, statement.Write, "first")
		if aborted {
			owner.abort(idOf(first)) // overtakes the request
		}
		owner.run("e", requestOf(2, beginReadWrite, statement.Write, "second"))
		if response := owner.run("e", first); !response.Declined {
			t.Errorf("late request: %+v", response.Result)
		}
		if response := owner.run("e", requestOf(2, beginNone, statement.Commit, "commit")); response.Declined || response.Result.Code != statement.OK {
			t.Errorf("commit of the second transaction: %+v", response)
		}
		if got, want := target.received(), []string{"begin", "write", "commit"}; !slices.Equal(got, want) {
			t.Errorf("the target received %v, want %v", got, want)
		}
	}
}

func TestAbortThatOvertakesTheFirstStatementLeavesNoTransaction(t *testing.T) {
	owner, target := newOwner(t)
	first := requestOf(1, beginReadWrite, statement.Write, "first")
	owner.abort(idOf(first))
	if response := owner.run("e", first); !response.Declined || len(target.received()) != 0 {
		t.Errorf("response %+v, the target received %v", response.Result, target.received())
	}
}

// Instances of earlier versions number no transactions.
func TestTransactionsWithoutNumbersReplaceEachOther(t *testing.T) {
	owner, target := newOwner(t)
	owner.run("e", requestOf(0, beginReadWrite, statement.Write, "first"))
	owner.run("e", requestOf(0, beginReadWrite, statement.Write, "second"))
	if response := owner.run("e", requestOf(0, beginNone, statement.Commit, "commit")); response.Declined || response.Result.Code != statement.OK {
		t.Errorf("%+v", response)
	}
	if owner.hasOperations() {
		t.Errorf("a transaction is left, the target received %v", target.received())
	}
}

// The abort of a transaction came while its first request waited for the end of the session's
// earlier one, found nothing, and left the transaction open at its target.
func TestAbortWhileTheEarlierTransactionEndsIsNotLost(t *testing.T) {
	owner, target := newOwner(t)
	first, second := requestOf(1, beginReadWrite, statement.Write, "first"), requestOf(2, beginReadWrite, statement.Write, "second")
	owner.run("e", first)
	owner.mu.Lock()
	earlier := owner.transactions[idOf(first)]
	owner.mu.Unlock()
	earlier.mu.Lock() // a statement is in progress
	response := make(chan *forwardResponse)
	go func() { response <- owner.run("e", second) }()
	for begun := false; !begun; {
		time.Sleep(time.Millisecond)
		owner.mu.Lock()
		begun = owner.numbers.latest(idOf(second).session()) == 2
		owner.mu.Unlock()
	}
	owner.abort(idOf(second))
	earlier.mu.Unlock()
	if r := <-response; !r.Declined || owner.hasTransactions() {
		t.Errorf("response %+v, the target received %v", r.Result, target.received())
	}
}

// hasTransactions reports whether a transaction is open here.
func (s *server) hasTransactions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.transactions) > 0
}
