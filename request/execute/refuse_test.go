package execute

import (
	"errors"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"samphirehitch.example/samphirehitch/request/refusal"
)

// TestGateAndRate checks that a refused request does not run and that the
// session goes on.
func TestGateAndRate(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	r.stale.Store(true)
	_, err := conn.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	wantRefusal(t, err, refusal.StaleConfiguration)
	r.stale.Store(false)
	r.overRate.Store(true)
	_, err = conn.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	wantRefusal(t, err, refusal.OverRate)
	r.overRate.Store(false)
	if got := r.text(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after two refusals, want 0", got)
	}
}

// TestBeginCostsNothing opens a transaction while the customer is over its rate:
// its first statement is what counts.
func TestBeginCostsNothing(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	r.overRate.Store(true)
	tx, err := conn.Begin(t.Context())
	if err != nil {
		t.Fatalf("BEGIN alone: %v", err)
	}
	_, err = tx.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	wantRefusal(t, err, refusal.OverRate)
	r.overRate.Store(false)
	if err := tx.Rollback(t.Context()); err != nil {
		t.Errorf("ROLLBACK: %v", err)
	}
	if got := r.text(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after the refusal, want 0", got)
	}
}

// TestWithdrawnKey checks that a withdrawn key ends its idle session and refuses
// new ones, while another key's session goes on.
func TestWithdrawnKey(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	other := r.connect("other", "")
	r.directory.withdraw(testKey)
	r.server.SnapshotChanged(r.directory)
	_, err := conn.Exec(t.Context(), "SELECT 1")
	var answer *pgconn.PgError
	if !errors.As(err, &answer) || answer.Code != "28000" {
		t.Errorf("withdrawn session got %v, want SQLSTATE 28000", err)
	}
	_, err = pgconn.Connect(t.Context(), r.dsn(testKey, testSecret, "ledger", ""))
	wantRefusal(t, err, refusal.Withdrawn)
	if got := r.text(other, "SELECT 'still'"); got != "still" {
		t.Errorf("other session read %q", got)
	}
}

// TestUnsupported checks that features of a session on one connection are
// refused and fail their transaction.
func TestUnsupported(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	for _, sql := range []string{
		"LISTEN x", "SELECT pg_advisory_lock(1)", "CREATE TEMP TABLE x (y int)",
		"SELECT set_config('search_path', 'x', false)", "SET role x", "SET wal_level = 'x'",
	} {
		_, err := conn.Exec(t.Context(), sql)
		wantRefusal(t, err, refusal.Unsupported)
	}
	tx, err := conn.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')"); err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(t.Context(), "LISTEN x")
	wantRefusal(t, err, refusal.Unsupported)
	_, err = tx.Exec(t.Context(), "SELECT 1")
	wantRefusal(t, err, refusal.FailedTransaction)
	if err := tx.Rollback(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := r.text(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after the failed transaction, want 0", got)
	}
}
