package execute

import (
	"errors"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"samphirehitch.example/samphirehitch/request/refusal"
)

// TestGateAndRateLimitRefusals checks that requests refused for a stale
// configuration or for the customer's rate do not run, and that the session goes
// on.
func TestGateAndRateLimitRefusals(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	h.configurationStale.Store(true)
	_, err := conn.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	requireRefusal(t, err, refusal.StaleConfiguration)
	h.configurationStale.Store(false)
	h.overRate.Store(true)
	_, err = conn.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	requireRefusal(t, err, refusal.RateExceeded)
	h.overRate.Store(false)
	if got := h.queryValue(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after two refusals, want 0", got)
	}
}

// TestBeginIsNotRateLimited checks that a customer over its rate can begin a
// transaction and roll it back, and that only the first statement is refused.
func TestBeginIsNotRateLimited(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	h.overRate.Store(true)
	tx, err := conn.Begin(t.Context())
	if err != nil {
		t.Fatalf("BEGIN alone: %v", err)
	}
	_, err = tx.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	requireRefusal(t, err, refusal.RateExceeded)
	h.overRate.Store(false)
	if err := tx.Rollback(t.Context()); err != nil {
		t.Errorf("ROLLBACK: %v", err)
	}
	if got := h.queryValue(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after the refusal, want 0", got)
	}
}

// TestWithdrawnKeyEndsIdleSession checks that the withdrawal of a key ends its
// idle session and refuses new ones, while another key's session goes on.
func TestWithdrawnKeyEndsIdleSession(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	other := h.connect("other", "")
	h.directory.withdraw(testKey)
	h.server.SnapshotChanged(h.directory)
	_, err := conn.Exec(t.Context(), "SELECT 1")
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != "28000" {
		t.Errorf("withdrawn session got %v, want SQLSTATE 28000", err)
	}
	_, err = pgconn.Connect(t.Context(), h.connString(testKey, testSecret, "ledger", ""))
	requireRefusal(t, err, refusal.AccessRevoked)
	if got := h.queryValue(other, "SELECT 'still'"); got != "still" {
		t.Errorf("other session read %q", got)
	}
}

// TestUnsupportedFeaturesAreRefused checks that features that need a session of
// their own on a target are refused, and that the refusal fails an open
// transaction.
func TestUnsupportedFeaturesAreRefused(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	for _, sql := range []string{
		"LISTEN x", "SELECT pg_advisory_lock(1)", "CREATE TEMP TABLE x (y int)",
		"SELECT set_config('search_path', 'x', false)", "SET role x", "SET wal_level = 'x'",
	} {
		_, err := conn.Exec(t.Context(), sql)
		requireRefusal(t, err, refusal.Unsupported)
	}
	tx, err := conn.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')"); err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(t.Context(), "LISTEN x")
	requireRefusal(t, err, refusal.Unsupported)
	_, err = tx.Exec(t.Context(), "SELECT 1")
	requireRefusal(t, err, refusal.FailedTransaction)
	if err := tx.Rollback(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := h.queryValue(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after the failed transaction, want 0", got)
	}
}
