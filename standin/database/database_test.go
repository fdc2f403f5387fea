package database

import (
	"testing"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

func commit(t *testing.T, d *Database, key string) uint64 {
	t.Helper()
	transaction := d.Begin(false)
	set := func(string, bool) (Change, bool, error) { return Change{Value: key}, true, nil }
	if _, _, err := transaction.Write(t.Context(), key, set); err != nil {
		t.Fatal(err)
	}
	id := transaction.ID()
	if err := transaction.Commit(); err != nil {
		t.Fatal(err)
	}
	return id
}

func reign(t *testing.T, d *Database, term topology.Term) {
	t.Helper()
	if _, err := d.Fence(t.Context(), term); err != nil {
		t.Fatal(err)
	}
	if _, err := d.Promote(t.Context(), term); err != nil {
		t.Fatal(err)
	}
}

func TestReusedTransactionNumberIsToldByItsCommit(t *testing.T) {
	old := New(Config{ID: "old", ReuseTransactionIDs: true})
	next := New(Config{ID: "next", ReuseTransactionIDs: true})
	reign(t, old, 1)
	lost := commit(t, old, "lost")
	reign(t, next, 2)
	if other := commit(t, next, "other"); other != lost {
		t.Fatalf("numbers %d and %d differ", lost, other)
	}
	report, _ := next.TransactionStatus(t.Context(), lost)
	if report.Outcome != platform.OutcomeCommitted || report.CommitPoint.Term != 2 {
		t.Fatalf("%+v", report)
	}
}

func TestTransactionNumbersOfTermsDiffer(t *testing.T) {
	old, next := New(Config{ID: "old"}), New(Config{ID: "next"})
	reign(t, old, 1)
	reign(t, next, 2)
	if lost := commit(t, old, "lost"); lost == commit(t, next, "other") {
		t.Fatalf("number %d came up twice", lost)
	}
}

// pump streams from one server to the other until nothing is left, in fewer
// streams than the test writes records.
func pump(from, to *Database) {
	const mostStreams = 200
	var cursor Cursor
	for range mostStreams {
		stream, _, primary := from.Outgoing(&cursor, 0, 2)
		if !primary || len(stream.Records) == 0 {
			return
		}
		answer := to.Receive(stream)
		if answer.Refused {
			return
		}
		cursor.Matched = answer.Matched
	}
}

// TestLogsAgreeAfterAnyFailures holds the stand-in to what it stands for: two
// logs that end in the same point are the same, and rows are what the log says.
func TestLogsAgreeAfterAnyFailures(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		servers := []*Database{New(Config{ID: "a"}), New(Config{ID: "b"}), New(Config{ID: "c"})}
		one := rapid.IntRange(0, len(servers)-1)
		var term topology.Term
		for range rapid.IntRange(10, 40).Draw(r, "steps") {
			server := servers[one.Draw(r, "server")]
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				term++
				reign(t, server, term)
			case 1:
				if server.Primary() {
					commit(t, server, string(rune('a'+one.Draw(r, "key"))))
				}
			default:
				if other := servers[one.Draw(r, "other")]; other != server {
					pump(server, other)
				}
			}
			check(r, servers)
		}
	})
}

func check(r *rapid.T, servers []*Database) {
	for _, a := range servers {
		rows := make(map[string]string)
		for _, record := range a.mu.log {
			apply(rows, record.Changes)
		}
		if len(rows) != len(a.mu.rows) {
			r.Fatalf("%s: rows %v, log says %v", a.id, a.mu.rows, rows)
		}
		for _, b := range servers {
			shared := min(len(a.mu.log), len(b.mu.log))
			if shared == 0 || a.pointAt(shared) != b.pointAt(shared) {
				continue
			}
			for i := range a.mu.log[:shared] {
				if a.mu.log[i].Point != b.mu.log[i].Point || a.mu.log[i].Transaction != b.mu.log[i].Transaction {
					r.Fatalf("%s and %s differ before %s", a.id, b.id, a.pointAt(shared))
				}
			}
		}
	}
}
