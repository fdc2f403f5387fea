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

func start(t *testing.T, cfg Config) *Group {
	t.Helper()
	cfg.Members = Targets("db", 3, "d1", "d2", "d3")
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

func query(t *testing.T, conn *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	var text string
	if err := conn.QueryRow(t.Context(), sql, arguments...).Scan(&text); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return text
}

func wantCode(t *testing.T, err error, code string) {
	t.Helper()
	var failure *pgconn.PgError
	if !errors.As(err, &failure) || failure.Code != code {
		t.Fatalf("got %v, want SQLSTATE %s", err, code)
	}
}

// awaitStatus waits until the member's status satisfies ok.
func awaitStatus(t *testing.T, m *Member, ok func(topology.Status) bool) topology.Status {
	t.Helper()
	for {
		changed := m.Database().Changed()
		status, _ := m.Database().Status(t.Context())
		if ok(status) {
			return status
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatalf("status stayed %+v", status)
		}
	}
}

func replayed(point topology.Point) func(topology.Status) bool {
	return func(s topology.Status) bool { return s.Replayed.Reaches(point) }
}

func statusOf(m *Member) topology.Status {
	status, _ := m.Database().Status(context.Background())
	return status
}

func TestWritesReachReplicas(t *testing.T) {
	g := start(t, Config{User: "app", Password: "secret", ConnectCost: time.Millisecond, ServiceTime: time.Microsecond, Slots: 2})
	conn := connect(t, g.Member("db-1"))
	exec(t, conn, "INSERT INTO kv VALUES ($1, $2)", "a", "1")
	exec(t, conn, "UPDATE kv SET value = value + 1 WHERE key = 'a'")
	_, err := conn.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '9')")
	wantCode(t, err, "23505")
	_, err = conn.Exec(t.Context(), "SELECT * FROM elsewhere")
	wantCode(t, err, "42601")
	awaitStatus(t, g.Member("db-2"), replayed(statusOf(g.Member("db-1")).Received))
	replica := connect(t, g.Member("db-2"))
	if got := query(t, replica, "SELECT value FROM kv WHERE key = $1", "a"); got != "2" {
		t.Fatalf("replica reads %q", got)
	}
	if got := query(t, replica, "SELECT samphirehitch_target()"); got != "db-2" {
		t.Fatalf("target is %q", got)
	}
	_, err = replica.Exec(t.Context(), "DELETE FROM kv WHERE key = 'a'")
	wantCode(t, err, "25006")
	if seen := g.Member("db-2").Seen("user"); len(seen) != 1 || seen[0] != "app" {
		t.Fatalf("saw users %q", seen)
	}
	_, err = pgx.Connect(t.Context(), strings.Replace(dsn(g.Member("db-3")), "secret", "wrong", 1))
	wantCode(t, err, "28P01")
}

func TestPasswordIsProvenByScram(t *testing.T) {
	g := start(t, Config{User: "app", Password: "secret", SCRAM: true})
	connect(t, g.Member("db-1"))
	for _, wrong := range []string{
		strings.Replace(dsn(g.Member("db-1")), "secret", "wrong", 1),
		strings.Replace(dsn(g.Member("db-1")), "app", "other", 1),
	} {
		_, err := pgx.Connect(t.Context(), wrong)
		wantCode(t, err, "28P01")
	}
}

func TestTransactionsAndPipelines(t *testing.T) {
	g := start(t, Config{})
	conn := connect(t, g.Member("db-1"))
	batch := &pgx.Batch{}
	batch.Queue("BEGIN")
	batch.Queue("INSERT INTO kv VALUES ($1, $2)", "a", "1")
	var id uint64
	batch.Queue("SELECT pg_current_xact_id_if_assigned()").QueryRow(func(row pgx.Row) error { return row.Scan(&id) })
	batch.Queue("COMMIT")
	if err := conn.SendBatch(t.Context(), batch).Close(); err != nil {
		t.Fatal(err)
	}
	report, _ := g.Member("db-1").Database().TransactionStatus(t.Context(), id)
	if id == 0 || report.Outcome != platform.OutcomeCommitted {
		t.Fatalf("transaction %d: %+v", id, report)
	}
	tx, err := conn.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(t.Context(), "DELETE FROM kv WHERE key = 'a'"); err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(t.Context(), "nonsense")
	wantCode(t, err, "42601")
	_, err = tx.Exec(t.Context(), "SELECT 1")
	wantCode(t, err, "25P02")
	if err := tx.Rollback(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := query(t, conn, "SELECT value FROM kv WHERE key = 'a'"); got != "1" {
		t.Fatalf("after the rollback: %q", got)
	}
	_, err = conn.Exec(t.Context(), "INSERT INTO kv VALUES ('b', '1'); INSERT INTO kv VALUES ('a', '1')", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, "23505")
	var count int
	if err := conn.QueryRow(t.Context(), "SELECT count(*) FROM kv").Scan(&count); err != nil || count != 1 {
		t.Fatalf("%d rows, %v", count, err)
	}
}

func TestCopyBothWays(t *testing.T) {
	g := start(t, Config{})
	conn := connect(t, g.Member("db-1"))
	tag, err := conn.PgConn().CopyFrom(t.Context(), strings.NewReader("a\t1\nb\ttwo\\tparts\n"), "COPY kv FROM STDIN")
	if err != nil || tag.RowsAffected() != 2 {
		t.Fatalf("%v, %v", tag, err)
	}
	if got := query(t, conn, "SELECT value FROM kv WHERE key = 'b'"); got != "two\tparts" {
		t.Fatalf("copied %q", got)
	}
	var out strings.Builder
	if _, err := conn.PgConn().CopyTo(t.Context(), &out, "COPY kv TO STDOUT"); err != nil || out.String() != "a\t1\nb\ttwo\\tparts\n" {
		t.Fatalf("%q, %v", out.String(), err)
	}
}

func TestCancelStopsTheStatement(t *testing.T) {
	g := start(t, Config{Slots: 1})
	conn := connect(t, g.Member("db-1"))
	failed := make(chan error)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(3600)")
		failed <- err
	}()
	for g.Member("db-1").Stats().Statements == 0 {
		if err := t.Context().Err(); err != nil {
			t.Fatal(err)
		}
	}
	if err := conn.PgConn().CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	wantCode(t, <-failed, "57014")
}

func TestConnectionLimit(t *testing.T) {
	g := start(t, Config{Connections: 1})
	connect(t, g.Member("db-1"))
	_, err := pgx.Connect(t.Context(), dsn(g.Member("db-1")))
	wantCode(t, err, "53300")
}

func TestPromotionCutsTheDivergentTail(t *testing.T) {
	g := start(t, Config{})
	old, next := g.Member("db-1"), g.Member("db-2")
	conn := connect(t, old)
	exec(t, conn, "INSERT INTO kv VALUES ('kept', '1')")
	for _, m := range g.Members() {
		awaitStatus(t, m, replayed(statusOf(old).Received))
	}
	old.SetFaults(Faults{CutFromMembers: true})
	exec(t, conn, "INSERT INTO kv VALUES ('lost', '1')")
	groups := httpgroup.New()
	t.Cleanup(groups.Close)
	for _, m := range []*Member{next, g.Member("db-3")} {
		if _, err := groups.Fence(t.Context(), m.Target(), 2); err != nil {
			t.Fatal(err)
		}
	}
	status, err := groups.Promote(t.Context(), next.Target(), 2)
	if err != nil || status.Role != topology.RolePrimary || status.Received != (topology.Point{Term: 2, Position: 3}) {
		t.Fatalf("%+v, %v", status, err)
	}
	_, again := groups.Promote(t.Context(), next.Target(), 2)
	_, lower := groups.Fence(t.Context(), next.Target(), 2)
	if !errors.Is(again, platform.ErrTermRefused) || !errors.Is(lower, platform.ErrTermRefused) {
		t.Fatalf("promoted again: %v; fenced again: %v", again, lower)
	}
	exec(t, connect(t, next), "INSERT INTO kv VALUES ('new', '1')")
	old.SetFaults(Faults{})
	awaitStatus(t, old, replayed(statusOf(next).Received))
	if rows := old.Database().Rows(); len(rows) != 2 || rows["new"] != "1" || rows["lost"] != "" {
		t.Fatalf("the replaced primary holds %v", rows)
	}
	_, err = conn.Exec(t.Context(), "SELECT 1")
	wantCode(t, err, "57P01")
}

func TestFenceAbortsOpenTransactions(t *testing.T) {
	g := start(t, Config{})
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
	wantCode(t, tx.Commit(t.Context()), "57P01")
	if rows := m.Database().Rows(); len(rows) != 0 {
		t.Fatalf("rows %v", rows)
	}
	_, err = connect(t, m).Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	wantCode(t, err, "25006")
}

func TestDroppedAnswerTakesEffect(t *testing.T) {
	g := start(t, Config{})
	m := g.Member("db-1")
	m.SetFaults(Faults{DropCommitAnswers: 1})
	_, err := connect(t, m).Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')")
	if err == nil || m.Database().Rows()["a"] != "1" {
		t.Fatalf("error %v, rows %v", err, m.Database().Rows())
	}
}

func TestFrozenMemberGoesOnLater(t *testing.T) {
	g := start(t, Config{})
	m := g.Member("db-1")
	conn := connect(t, m)
	m.SetFaults(Faults{Frozen: true})
	done := make(chan error)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO kv VALUES ('a', '1')")
		done <- err
	}()
	groups := httpgroup.New()
	t.Cleanup(groups.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := groups.Status(ctx, m.Target()); err == nil {
		t.Fatal("a frozen member answered")
	}
	if rows := m.Database().Rows(); len(rows) != 0 {
		t.Fatalf("a frozen member wrote %v", rows)
	}
	m.SetFaults(Faults{})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestKilledMemberKeepsItsLog(t *testing.T) {
	g := start(t, Config{})
	m := g.Member("db-2")
	m.Kill()
	exec(t, connect(t, g.Member("db-1")), "INSERT INTO kv VALUES ('a', '1')")
	before := m.Target()
	if err := m.Restart(); err != nil {
		t.Fatal(err)
	}
	awaitStatus(t, m, replayed(statusOf(g.Member("db-1")).Received))
	if m.Target() != before {
		t.Fatalf("moved from %+v to %+v", before, m.Target())
	}
}
