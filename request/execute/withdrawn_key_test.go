package execute

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/request/refusal"
)

// unusableKeys are the two ways in which a server may no longer accept a key.
var unusableKeys = []struct {
	code   string
	revoke func(h *harness)
}{
	{string(refusal.AccessRevoked.Code), func(h *harness) { h.directory.withdraw(testKey) }},
	{string(refusal.StaleConfiguration.Code), func(h *harness) { h.configurationStale.Store(true) }},
}

// In review case 3, the other daemon ran statements of open transactions after their key had
// been withdrawn. Here each of them is under the same check as a new operation, also before
// the server's sessions are told of the withdrawal.
func TestNoStatementOfATransactionRunsAfterItsKeyWasWithdrawn(t *testing.T) {
	const insertB = "INSERT INTO kv VALUES ('b', '2')"
	for _, unusable := range unusableKeys {
		for _, next := range [][]pgproto3.FrontendMessage{
			{queryMessage(insertB)},
			{queryMessage("COMMIT")},
			{queryMessage(insertB + "; COMMIT")},
			append(bindExecute("p"), &pgproto3.Sync{}),
		} {
			for _, first := range []string{"", "INSERT INTO kv VALUES ('a', '1')"} {
				if query, ok := next[0].(*pgproto3.Query); ok && first == "" && query.String == "COMMIT" {
					continue // an empty transaction ends without a target
				}
				h := newHarness(t)
				client := h.connectRaw(testKey, "")
				client.send(&pgproto3.Parse{Name: "p", Query: insertB}, &pgproto3.Sync{})
				client.expect("ParseComplete", "ready I")
				client.send(queryMessage("BEGIN"))
				client.expect("done BEGIN", "ready T")
				if first != "" {
					client.send(queryMessage(first))
					client.expect("done INSERT 0 1", "ready T")
				}
				unusable.revoke(h)
				client.send(next...)
				client.expect("error " + unusable.code)
				if rows := h.group.Primary().Database().Rows(); len(rows) != 0 {
					t.Errorf("%T after %q: rows %v", next[0], first, rows)
				}
			}
		}
	}
}
