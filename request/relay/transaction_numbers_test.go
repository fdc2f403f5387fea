package relay

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/statement"
)

// Guards against a late request that opens a transaction which its caller knows as ended: after
// 8,192 sessions the owner had forgotten the numbers of all at once, those of a moment ago too.
func TestLateRequestAfterManySessionsIsDeclined(t *testing.T) {
	owner, target := newOwner(t)
	for other := range uint64(maxRecentSessions - 1) {
		owner.abort(remoteSessionID{instance: "e", id: sessionID{Incarnation: 1, Number: other + 2, Transaction: 1}})
	}
	first := requestOf(1, beginReadWrite, statement.Write, "first")
	owner.abort(idOf(first)) // overtakes the request
	owner.abort(remoteSessionID{instance: "e", id: sessionID{Incarnation: 1, Number: maxRecentSessions + 2, Transaction: 1}})
	if response := owner.run("e", first); !response.Declined || len(target.received()) != 0 {
		t.Errorf("response %+v, the target received %v", response.Result, target.received())
	}
}

// The numbers of the latest sessions are known, and no more than two generations are kept.
func TestTransactionNumbersKeepTheLatestSessions(t *testing.T) {
	numbers := newTransactionNumbers()
	session := func(number uint64) remoteSessionID {
		return remoteSessionID{instance: "e", id: sessionID{Number: number}}
	}
	for number := range uint64(5 * maxRecentSessions / 2) {
		if !numbers.advance(session(number), 7) || numbers.advance(session(number), 7) || numbers.advance(session(number), 6) {
			t.Fatalf("session %d", number)
		}
		if oldest := number - min(number, maxRecentSessions-1); numbers.latest(session(oldest)) != 7 {
			t.Fatalf("session %d is forgotten after %d", oldest, number)
		}
		if kept := len(numbers.recent) + len(numbers.earlier); kept > 2*maxRecentSessions {
			t.Fatalf("%d sessions are kept", kept)
		}
	}
}
