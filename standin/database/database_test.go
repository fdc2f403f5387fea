package database

import (
	"testing"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

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

func promoteAtTerm(t *testing.T, d *Database, term topology.Term) {
	t.Helper()
	if _, err := d.Fence(t.Context(), term); err != nil {
		t.Fatal(err)
	}
	if _, err := d.Promote(t.Context(), term); err != nil {
		t.Fatal(err)
	}
}

func TestCommitPointTellsReusedTransactionIDsApart(t *testing.T) {
	oldPrimary := New(Config{ID: "old", ReuseTransactionIDs: true})
	newPrimary := New(Config{ID: "next", ReuseTransactionIDs: true})
	promoteAtTerm(t, oldPrimary, 1)
	oldID := commitRow(t, oldPrimary, "lost")
	promoteAtTerm(t, newPrimary, 2)
	if newID := commitRow(t, newPrimary, "other"); newID != oldID {
		t.Fatalf("numbers %d and %d differ", oldID, newID)
	}
	report, _ := newPrimary.TransactionStatus(t.Context(), oldID)
	if report.Outcome != platform.OutcomeCommitted || report.Commit.Term != 2 {
		t.Fatalf("%+v", report)
	}
}

func TestTransactionIDsDifferBetweenTerms(t *testing.T) {
	oldPrimary, newPrimary := New(Config{ID: "old"}), New(Config{ID: "next"})
	promoteAtTerm(t, oldPrimary, 1)
	promoteAtTerm(t, newPrimary, 2)
	if oldID := commitRow(t, oldPrimary, "lost"); oldID == commitRow(t, newPrimary, "other") {
		t.Fatalf("number %d came up twice", oldID)
	}
}

// replicate streams from one server to the other until nothing is left, in fewer
// streams than the test writes records.
func replicate(from, to *Database) {
	const maxRequests = 200
	var cursor Cursor
	for range maxRequests {
		request, _, primary := from.NextAppend(&cursor, 0, 2)
		if !primary || len(request.Records) == 0 {
			return
		}
		response := to.Receive(request)
		if response.Refused {
			return
		}
		cursor.Matched = response.Matched
	}
}

// TestLogsAgreeAfterRandomPromotionsAndReplication holds the stand-in to what it stands for: two
// logs that end in the same point are the same, and rows are what the log says.
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
				if newID := servers[serverIndex.Draw(rt, "other")]; newID != server {
					replicate(server, newID)
				}
			}
			checkInvariants(rt, servers)
		}
	})
}

func checkInvariants(rt *rapid.T, servers []*Database) {
	for _, server := range servers {
		rows := make(map[string]string)
		for _, record := range server.mu.log {
			applyChange(rows, record.Changes)
		}
		if len(rows) != len(server.mu.rows) {
			rt.Fatalf("%s: rows %v, log says %v", server.id, server.mu.rows, rows)
		}
		for _, other := range servers {
			sharedRecords := min(len(server.mu.log), len(other.mu.log))
			if sharedRecords == 0 || server.pointAt(sharedRecords) != other.pointAt(sharedRecords) {
				continue
			}
			for i := range server.mu.log[:sharedRecords] {
				if server.mu.log[i].Point != other.mu.log[i].Point || server.mu.log[i].Transaction != other.mu.log[i].Transaction {
					rt.Fatalf("%s and %s differ before %s", server.id, other.id, server.pointAt(sharedRecords))
				}
			}
		}
	}
}
