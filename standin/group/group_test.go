package group

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpgroup"
	"samphirehitch.example/samphirehitch/process/topology"
)

// startGroup starts members db-1, db-2 and db-3 with db-1 as primary.
func startGroup(t *testing.T, cfg Config) *Group {
	t.Helper()
	cfg.Members = NewTargets("db", 3, "d1", "d2", "d3")
	cfg.FirstPrimary = "db-1"
	g, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func dsn(m *Member) string {
	return "postgres://app:secret@" + m.Target().Address + "/ledger?sslmode=disable"
}

func connect(t *testing.T, m *Member) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), dsn(m))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, arguments ...any) {
	t.Helper()
	if _, err := conn.Exec(t.Context(), sql, arguments...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// query returns the only column of a single row.
func query(t *testing.T, conn *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	var text string
	if err := conn.QueryRow(t.Context(), sql, arguments...).Scan(&text); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return text
}

func requireSQLState(t *testing.T, err error, code string) {
	t.Helper()
	var pgError *pgconn.PgError
	if !errors.As(err, &pgError) || pgError.Code != code {
		t.Fatalf("got %v, want SQLSTATE %s", err, code)
	}
}

// waitForStatus waits until the member's status satisfies the condition.
func waitForStatus(t *testing.T, m *Member, condition func(topology.Status) bool) topology.Status {
	t.Helper()
	for {
		changed := m.Database().Changed()
		status, _ := m.Database().Status(t.Context())
		if condition(status) {
			return status
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatalf("status is still %+v", status)
		}
	}
}

// hasReplayed is a condition for waitForStatus.
func hasReplayed(point topology.Point) func(topology.Status) bool {
	return func(s topology.Status) bool { return s.Replayed.Reaches(point) }
}

func statusOf(m *Member) topology.Status {
	status, _ := m.Database().Status(context.Background())
	return status
}

func TestWriteIsReplicatedAndReplicaIsReadOnly(t *testing.T) {
	g := startGroup(t, Config{User: "app", Password: "secret", ConnectCost: time.Millisecond, ServiceTime: time.Microsecond, Slots: 2})
	conn := connect(t, g.Member("db-1"))
	exec(t, conn, "INSERT INTO kv VALUES ($1, $2)", "a", "1")
	exec(t, conn, "UPDATE kv SET value = value + 1 WHERE key = 'a'")
	_, err := conn.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '9')")
	requireSQLState(t, err, "23505")
	_, err = conn.Exec(t.Context(), "SELECT * FROM elsewhere")
	requireSQLState(t, err, "42601")
	waitForStatus(t, g.Member("db-2"), hasReplayed(statusOf(g.Member("db-1")).Received))
	replica := connect(t, g.Member("db-2"))
	if got := query(t, replica, "SELECT value FROM kv WHERE key = $1", "a"); got != "2" {
		t.Fatalf("replica returned %q", got)
	}
	if got := query(t, replica, "SELECT samphirehitch_target()"); got != "db-2" {
		t.Fatalf("samphirehitch_target() is %q", got)
	}
	_, err = replica.Exec(t.Context(), "DELETE FROM kv WHERE key = 'a'")
	requireSQLState(t, err, "25006")
	if seen := g.Member("db-2").StartupParameterValues("user"); len(seen) != 1 || seen[0] != "app" {
		t.Fatalf("startup parameter user has the values %q", seen)
	}
	_, err = pgx.Connect(t.Context(), strings.Replace(dsn(g.Member("db-3")), "secret", "wrong", 1))
	requireSQLState(t, err, "28P01")
}

func TestSCRAMRejectsWrongPasswordAndUser(t *testing.T) {
	g := startGroup(t, Config{User: "app", Password: "secret", SCRAM: true})
	connect(t, g.Member("db-1"))
	for _, wrongDSN := range []string{
		strings.Replace(dsn(g.Member("db-1")), "secret", "wrong", 1),
		strings.Replace(dsn(g.Member("db-1")), "app", "other", 1),
	} {
		_, err := pgx.Connect(t.Context(), wrongDSN)
		requireSQLState(t, err, "28P01")
	}
}

// TestPipelinedTransactionFailureAndImplicitRollback checks that a transaction sent as
// one pipeline commits and its ID can be resolved, that a statement that fails aborts
// its transaction, and that statements of one simple query roll back together.
func TestPipelinedTransactionFailureAndImplicitRollback(t *testing.T) {
	g := startGroup(t, Config{})
	conn := connect(t, g.Member("db-1"))
	batch := &pgx.Batch{}
	batch.Queue("BEGIN")
	batch.Queue("INSERT INTO kv VALUES ($1, $2)", "a", "1")
	var transactionID uint64
	batch.Queue("SELECT pg_current_xact_id_if_assigned()").QueryRow(func(row pgx.Row) error { return row.Scan(&transactionID) })
	batch.Queue("COMMIT")
	if err := conn.SendBatch(t.Context(), batch).Close(); err != nil {
		t.Fatal(err)
	}
	report, _ := g.Member("db-1").Database().TransactionStatus(t.Context(), transactionID)
	if transactionID == 0 || report.Outcome != platform.OutcomeCommitted {
		t.Fatalf("transaction %d: %+v", transactionID, report)
	}
	tx, err := conn.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(t.Context(), "DELETE FROM kv WHERE key = 'a'"); err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(t.Context(), "nonsense")
	requireSQLState(t, err, "42601")
	_, err = tx.Exec(t.Context(), "SELECT 1")
	requireSQLState(t, err, "25P02")
	if err := tx.Rollback(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := query(t, conn, "SELECT value FROM kv WHERE key = 'a'"); got != "1" {
		t.Fatalf("value after the rollback is %q", got)
	}
	_, err = conn.Exec(t.Context(), "INSERT INTO kv VALUES ('b', '1'); INSERT INTO kv VALUES ('a', '1')", pgx.QueryExecModeSimpleProtocol)
	requireSQLState(t, err, "23505")
	var count int
	if err := conn.QueryRow(t.Context(), "SELECT count(*) FROM kv").Scan(&count); err != nil || count != 1 {
		t.Fatalf("count(*) is %d (error %v), want 1", count, err)
	}
}

func TestCopyInAndOutEscapeTabs(t *testing.T) {
	g := startGroup(t, Config{})
	conn := connect(t, g.Member("db-1"))
	tag, err := conn.PgConn().CopyFrom(t.Context(), strings.NewReader("a\t1\nb\ttwo\\tparts\n"), "COPY kv FROM STDIN")
	if err != nil || tag.RowsAffected() != 2 {
		t.Fatalf("%v, %v", tag, err)
	}
	if got := query(t, conn, "SELECT value FROM kv WHERE key = 'b'"); got != "two\tparts" {
		t.Fatalf("value of key b is %q", got)
	}
	var out strings.Builder
	if _, err := conn.PgConn().CopyTo(t.Context(), &out, "COPY kv TO STDOUT"); err != nil || out.String() != "a\t1\nb\ttwo\\tparts\n" {
		t.Fatalf("%q, %v", out.String(), err)
	}
}

func TestCancelRequestStopsRunningStatement(t *testing.T) {
	g := startGroup(t, Config{Slots: 1})
	conn := connect(t, g.Member("db-1"))
	statementError := make(chan error)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(3600)")
		statementError <- err
	}()
	for g.Member("db-1").Stats().Statements == 0 {
		if err := t.Context().Err(); err != nil {
			t.Fatal(err)
		}
	}
	if err := conn.PgConn().CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	requireSQLState(t, <-statementError, "57014")
}

func TestConnectionLimitRejectsNewSession(t *testing.T) {
	g := startGroup(t, Config{MaxConnections: 1})
	connect(t, g.Member("db-1"))
	_, err := pgx.Connect(t.Context(), dsn(g.Member("db-1")))
	requireSQLState(t, err, "53300")
}

// TestReplacedPrimaryTruncatesDivergentLog cuts a primary off from its replicas, so that
// it continues to commit until it learns of the next term. It must then drop the records
// that the new primary does not have, and close its sessions.
func TestReplacedPrimaryTruncatesDivergentLog(t *testing.T) {
	g := startGroup(t, Config{})
	oldPrimary, newPrimary := g.Member("db-1"), g.Member("db-2")
	conn := connect(t, oldPrimary)
	exec(t, conn, "INSERT INTO kv VALUES ('kept', '1')")
	for _, m := range g.Members() {
		waitForStatus(t, m, hasReplayed(statusOf(oldPrimary).Received))
	}
	oldPrimary.SetFaults(Faults{CutFromMembers: true})
	exec(t, conn, "INSERT INTO kv VALUES ('lost', '1')")
	control := httpgroup.New()
	t.Cleanup(control.Close)
	for _, m := range []*Member{newPrimary, g.Member("db-3")} {
		if _, err := control.Fence(t.Context(), m.Target(), 2); err != nil {
			t.Fatal(err)
		}
	}
	status, err := control.Promote(t.Context(), newPrimary.Target(), 2)
	if err != nil || status.Role != topology.RolePrimary || status.Received != (topology.Point{Term: 2, Position: 3}) {
		t.Fatalf("%+v, %v", status, err)
	}
	_, repeatedPromote := control.Promote(t.Context(), newPrimary.Target(), 2)
	_, repeatedFence := control.Fence(t.Context(), newPrimary.Target(), 2)
	if !errors.Is(repeatedPromote, platform.ErrTermRefused) || !errors.Is(repeatedFence, platform.ErrTermRefused) {
		t.Fatalf("promoted again: %v; fenced again: %v", repeatedPromote, repeatedFence)
	}
	exec(t, connect(t, newPrimary), "INSERT INTO kv VALUES ('new', '1')")
	oldPrimary.SetFaults(Faults{})
	waitForStatus(t, oldPrimary, hasReplayed(statusOf(newPrimary).Received))
	if rows := oldPrimary.Database().Rows(); len(rows) != 2 || rows["new"] != "1" || rows["lost"] != "" {
		t.Fatalf("rows of the replaced primary: %v", rows)
	}
	_, err = conn.Exec(t.Context(), "SELECT 1")
	requireSQLState(t, err, "57P01")
}

// TestFenceAbortsOpenTransactionsAndRejectsWrites guards against a fenced primary that
// commits what was written before the fence.
func TestFenceAbortsOpenTransactionsAndRejectsWrites(t *testing.T) {
	g := startGroup(t, Config{})
	m := g.Member("db-1")
	conn := connect(t, m)
	tx, err := conn.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')"); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Database().Fence(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	requireSQLState(t, tx.Commit(t.Context()), "57P01")
	if rows := m.Database().Rows(); len(rows) != 0 {
		t.Fatalf("rows after the fence: %v", rows)
	}
	_, err = connect(t, m).Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	requireSQLState(t, err, "25006")
}

// TestCommitWithDroppedResponseTakesEffect checks the fault that leaves a commit in
// doubt: the caller sees a broken connection although the commit took effect.
func TestCommitWithDroppedResponseTakesEffect(t *testing.T) {
	g := startGroup(t, Config{})
	m := g.Member("db-1")
	m.SetFaults(Faults{DropCommitAnswers: 1})
	_, err := connect(t, m).Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	if err == nil || m.Database().Rows()["a"] != "1" {
		t.Fatalf("error %v, rows %v", err, m.Database().Rows())
	}
}

// TestFrozenMemberRunsStatementAfterResuming checks that a frozen member delays requests
// and does not lose them, as a process that is stopped by a signal and continued later.
func TestFrozenMemberRunsStatementAfterResuming(t *testing.T) {
	g := startGroup(t, Config{})
	m := g.Member("db-1")
	conn := connect(t, m)
	m.SetFaults(Faults{Frozen: true})
	statementError := make(chan error)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO kv VALUES ('a', '1')")
		statementError <- err
	}()
	control := httpgroup.New()
	t.Cleanup(control.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := control.Status(ctx, m.Target()); err == nil {
		t.Fatal("a frozen member responded to a status request")
	}
	if rows := m.Database().Rows(); len(rows) != 0 {
		t.Fatalf("a frozen member committed %v", rows)
	}
	m.SetFaults(Faults{})
	if err := <-statementError; err != nil {
		t.Fatal(err)
	}
}

func TestRestartedMemberCatchesUpAtTheSameAddress(t *testing.T) {
	g := startGroup(t, Config{})
	m := g.Member("db-2")
	m.Kill()
	exec(t, connect(t, g.Member("db-1")), "INSERT INTO kv VALUES ('a', '1')")
	targetBeforeKill := m.Target()
	if err := m.Restart(); err != nil {
		t.Fatal(err)
	}
	waitForStatus(t, m, hasReplayed(statusOf(g.Member("db-1")).Received))
	if m.Target() != targetBeforeKill {
		t.Fatalf("target changed over a restart from %+v to %+v", targetBeforeKill, m.Target())
	}
}
