package execute

import (
	"testing"

	"github.com/jackc/pgx/v5"
)

// TestBothProtocols runs reads, writes and transactions in all query modes of
// the driver, which use the extended and the simple query protocol.
func TestBothProtocols(t *testing.T) {
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			h := newHarness(t)
			conn := h.connect(testKey, "default_query_exec_mode="+mode)
			for i, key := range []string{"a", "b", "a"} {
				if i < 2 {
					h.exec(conn, "INSERT INTO kv VALUES ($1, $2)", key, "1")
				}
				if got := h.queryValue(conn, "SELECT value FROM kv WHERE key = $1", key); got != "1" {
					t.Fatalf("read %q, want 1", got)
				}
			}
			tx, err := conn.Begin(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := tx.Exec(t.Context(), "UPDATE kv SET value = $1 WHERE key = $2", "2", "a"); err != nil {
				t.Fatal(err)
			}
			if err := tx.Commit(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := h.queryValue(conn, "SELECT value FROM kv WHERE key = 'a'"); got != "2" {
				t.Fatalf("read %q after the commit, want 2", got)
			}
		})
	}
}

// TestReadsAreRoutedToReplicas checks that no read goes to the primary when the
// replicas have replayed the session's writes.
func TestReadsAreRoutedToReplicas(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	h.exec(conn, "INSERT INTO kv VALUES ('a', '1')")
	before := h.leaseCount("t-1")
	for range 10 {
		h.queryValue(conn, "SELECT value FROM kv WHERE key = 'a'")
	}
	if got := h.leaseCount("t-1") - before; got != 0 {
		t.Errorf("%d of 10 reads went to the primary", got)
	}
}

// TestRollbackDiscardsWrites checks that a rolled back transaction writes
// nothing.
func TestRollbackDiscardsWrites(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	tx, err := conn.BeginTx(t.Context(), pgx.TxOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Rollback(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := h.queryValue(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after the rollback, want 0", got)
	}
}

// TestTargetSessionAttributes checks the queries by which drivers find a server
// that accepts writes.
func TestTargetSessionAttributes(t *testing.T) {
	h := newHarness(t)
	for _, attributes := range []string{"read-write", "primary", "any"} {
		h.connect(testKey, "target_session_attrs="+attributes)
	}
}

// TestReplayConflictIsRetried checks that a read that was canceled by the
// replay of the log on two replicas runs elsewhere.
func TestReplayConflictIsRetried(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	targets.scheduleFaults(responseFault{truncateAt: -1, replayConflict: true}, responseFault{truncateAt: -1, replayConflict: true})
	client.send(queryMessage("SELECT 'x'"))
	client.expect("RowDescription", "row x", "done SELECT 1", "ready I")
}

// TestDeferredBeginHoldsNoConnection checks that a transaction holds no
// connection between BEGIN and its first statement: another session can write
// although there is one connection. A transaction that fails before it has a
// connection can be rolled back.
func TestDeferredBeginHoldsNoConnection(t *testing.T) {
	h, _ := newFakeHarness(t, 1)
	client, other := h.connectRaw(testKey, ""), h.connectRaw("other", "")
	client.send(queryMessage("START TRANSACTION ISOLATION LEVEL SERIALIZABLE"))
	client.expect("done START TRANSACTION", "ready T")
	other.send(queryMessage("INSERT a"))
	other.expect("done INSERT 0 1", "ready I")
	client.send(queryMessage("LISTEN x"), queryMessage("SELECT 'x'"), queryMessage("ROLLBACK"))
	client.expect("error 0A000", "ready E", "error 25P02", "ready E", "done ROLLBACK", "ready I")
	for _, endQuery := range []string{"COMMIT", "ROLLBACK"} {
		client.send(queryMessage("BEGIN"), queryMessage(endQuery), queryMessage("SELECT 'x'"))
		client.expect("done BEGIN", "ready T", "done "+endQuery, "ready I", "RowDescription", "row x", "done SELECT 1", "ready I")
	}
	client.send(queryMessage("BEGIN READ ONLY"), queryMessage("SELECT 'x'"), queryMessage("COMMIT"))
	client.expect("done BEGIN", "ready T", "RowDescription", "row x", "done SELECT 1", "ready T", "done COMMIT", "ready I")
	if got := h.leaseCount("f-1"); got != 1 {
		t.Errorf("%d leases on the primary, want that of the one write", got)
	}
}
