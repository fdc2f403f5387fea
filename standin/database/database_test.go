package database

import (
	"testing"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// commitRow commits a transaction that sets one row and returns its ID.
func commitRow(t *testing.T, d *Database, key string) uint64 {
	t.Helper()
	transaction := d.Begin(false)
	setValue := func(string, bool) (Change, bool, error) { return Change{Value: key}, true, nil }
	if _, _, err := transaction.Write(t.Context(), key, setValue); err != nil {
		t.Fatal(err)
	}
	id := transaction.ID()
	if err := transaction.Commit(); err != nil {
		t.Fatal(err)
	}
	return id
}

// promoteAtTerm fences the server at the term and makes it primary.
func promoteAtTerm(t *testing.T, d *Database, term topology.Term) {
	t.Helper()
	if _, err := d.Fence(t.Context(), term); err != nil {
		t.Fatal(err)
	}
	if _, err := d.Promote(t.Context(), term); err != nil {
		t.Fatal(err)
	}
}

// TestCommitPointTellsReusedTransactionIDsApart checks the case in which a new primary
// assigns an ID again that a replaced primary gave to a transaction that was not
// replicated. The ID is then reported as committed, and only the term of the commit
// point shows that it is another transaction.
func TestCommitPointTellsReusedTransactionIDsApart(t *testing.T) {
	oldPrimary := New(Config{ID: "old", ReuseTransactionIDs: true})
	newPrimary := New(Config{ID: "next", ReuseTransactionIDs: true})
	promoteAtTerm(t, oldPrimary, 1)
	oldID := commitRow(t, oldPrimary, "lost")
	promoteAtTerm(t, newPrimary, 2)
	if newID := commitRow(t, newPrimary, "other"); newID != oldID {
		t.Fatalf("transaction IDs %d and %d differ, want the same", oldID, newID)
	}
	report, _ := newPrimary.TransactionStatus(t.Context(), oldID)
	if report.Outcome != platform.OutcomeCommitted || report.CommitPoint.Term != 2 {
		t.Fatalf("report of the reused transaction ID: %+v", report)
	}
}

func TestTransactionIDsDifferBetweenTerms(t *testing.T) {
	oldPrimary, newPrimary := New(Config{ID: "old"}), New(Config{ID: "next"})
	promoteAtTerm(t, oldPrimary, 1)
	promoteAtTerm(t, newPrimary, 2)
	if oldID := commitRow(t, oldPrimary, "lost"); oldID == commitRow(t, newPrimary, "other") {
		t.Fatalf("both primaries assigned transaction ID %d", oldID)
	}
}

// replicate sends requests of at most 2 records until the receiver has the sender's
// whole log. The bound on the requests is above what any log of the test needs.
func replicate(from, to *Database) {
	const maxRequests = 200
	var cursor ReplicationCursor
	for range maxRequests {
		request, _, isPrimary := from.NextAppend(&cursor, 0, 2)
		if !isPrimary || len(request.Records) == 0 {
			return
		}
		response := to.Receive(request)
		if response.Refused {
			return
		}
		cursor.MatchedPosition = response.MatchedPosition
	}
}

// TestLogsAgreeAfterRandomPromotionsAndReplication checks the property on which the
// proxy's read floors and promotions rely: logs that hold the same point agree up to it,
// and the rows are those that the log yields.
func TestLogsAgreeAfterRandomPromotionsAndReplication(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		servers := []*Database{New(Config{ID: "a"}), New(Config{ID: "b"}), New(Config{ID: "c"})}
		serverIndex := rapid.IntRange(0, len(servers)-1)
		var term topology.Term
		for range rapid.IntRange(10, 40).Draw(rt, "steps") {
			server := servers[serverIndex.Draw(rt, "server")]
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				term++
				promoteAtTerm(t, server, term)
			case 1:
				if server.Primary() {
					commitRow(t, server, string(rune('a'+serverIndex.Draw(rt, "key"))))
				}
			default:
				if receiver := servers[serverIndex.Draw(rt, "other")]; receiver != server {
					replicate(server, receiver)
				}
			}
			checkInvariants(rt, servers)
		}
	})
}

// checkInvariants compares the rows of each server with its log, and the logs of
// each pair of servers up to the end of the shorter one when they agree there.
func checkInvariants(rt *rapid.T, servers []*Database) {
	for _, server := range servers {
		rows := make(map[string]string)
		for _, record := range server.mu.log {
			applyChanges(rows, record.Changes)
		}
		if len(rows) != len(server.mu.rows) {
			rt.Fatalf("server %s has rows %v, its log yields %v", server.id, server.mu.rows, rows)
		}
		for _, other := range servers {
			sharedRecords := min(len(server.mu.log), len(other.mu.log))
			if sharedRecords == 0 || server.pointAt(sharedRecords) != other.pointAt(sharedRecords) {
				continue
			}
			for i := range server.mu.log[:sharedRecords] {
				if server.mu.log[i].Point != other.mu.log[i].Point || server.mu.log[i].TransactionID != other.mu.log[i].TransactionID {
					rt.Fatalf("logs of %s and %s differ before point %s, which both hold", server.id, other.id, server.pointAt(sharedRecords))
				}
			}
		}
	}
}
