package execute

import (
	"testing"

	"github.com/jackc/pgx/v5"
)

// TestBothProtocols runs reads, writes and transactions by the extended and the
// simple query protocol.
func TestBothProtocols(t *testing.T) {
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			r := newRig(t)
			conn := r.connect(testKey, "default_query_exec_mode="+mode)
			for i, key := range []string{"a", "b", "a"} {
				if i < 2 {
					r.exec(conn, "INSERT INTO kv VALUES ($1, $2)", key, "1")
				}
				if got := r.text(conn, "SELECT value FROM kv WHERE key = $1", key); got != "1" {
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
			if got := r.text(conn, "SELECT value FROM kv WHERE key = 'a'"); got != "2" {
				t.Fatalf("read %q after the commit, want 2", got)
			}
		})
	}
}

// TestReadsGoToReplicas checks that reads leave the primary alone once the
// replicas have replayed the session's writes.
func TestReadsGoToReplicas(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	r.exec(conn, "INSERT INTO kv VALUES ('a', '1')")
	before := r.leases("t-1")
	for range 10 {
		r.text(conn, "SELECT value FROM kv WHERE key = 'a'")
	}
	if got := r.leases("t-1") - before; got != 0 {
		t.Errorf("%d of 10 reads went to the primary", got)
	}
}

// TestRollback checks that a rolled back transaction leaves no trace.
func TestRollback(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
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
	if got := r.text(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after the rollback, want 0", got)
	}
}

// TestDriversFindAWritableServer checks the questions by which drivers look for
// a server that takes writes.
func TestDriversFindAWritableServer(t *testing.T) {
	r := newRig(t)
	for _, attributes := range []string{"read-write", "primary", "any"} {
		r.connect(testKey, "target_session_attrs="+attributes)
	}
}

// TestConflictMovesRead has a replica give up a read for the replay of the log.
func TestConflictMovesRead(t *testing.T) {
	r, targets := newFakeRig(t, 1)
	s := r.script(testKey, "")
	targets.spoil(fault{cut: -1, conflict: true}, fault{cut: -1, conflict: true})
	s.send(queryMessage("SELECT 'x'"))
	s.want("RowDescription", "row x", "done SELECT 1", "ready I")
}

// TestDeferredBegin holds no connection between BEGIN and the first statement.
// A transaction that fails before it has one can be rolled back.
func TestDeferredBegin(t *testing.T) {
	r, _ := newFakeRig(t, 1)
	s, other := r.script(testKey, ""), r.script("other", "")
	s.send(queryMessage("START TRANSACTION ISOLATION LEVEL SERIALIZABLE"))
	s.want("done START TRANSACTION", "ready T")
	other.send(queryMessage("INSERT a"))
	other.want("done INSERT 0 1", "ready I")
	s.send(queryMessage("LISTEN x"), queryMessage("SELECT 'x'"), queryMessage("ROLLBACK"))
	s.want("error 0A000", "ready E", "error 25P02", "ready E", "done ROLLBACK", "ready I")
	for _, end := range []string{"COMMIT", "ROLLBACK"} {
		s.send(queryMessage("BEGIN"), queryMessage(end), queryMessage("SELECT 'x'"))
		s.want("done BEGIN", "ready T", "done "+end, "ready I", "RowDescription", "row x", "done SELECT 1", "ready I")
	}
	s.send(queryMessage("BEGIN READ ONLY"), queryMessage("SELECT 'x'"), queryMessage("COMMIT"))
	s.want("done BEGIN", "ready T", "RowDescription", "row x", "done SELECT 1", "ready T", "done COMMIT", "ready I")
	if got := r.leases("f-1"); got != 1 {
		t.Errorf("%d leases on the primary, want that of the one write", got)
	}
}
