package execute

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/refusal"
	standin "samphirehitch.example/samphirehitch/standin/group"
)

// awaitReplay waits until every member has replayed the log of the primary.
func (h *harness) awaitReplay() {
	h.t.Helper()
	var statuses []topology.Status
	for behind := true; behind; runtime.Gosched() {
		statuses = statuses[:0]
		for _, member := range h.group.Members() {
			status, err := member.Database().Status(h.t.Context())
			if err != nil {
				h.t.Fatal(err)
			}
			statuses = append(statuses, status)
		}
		behind = false
		for _, status := range statuses {
			behind = behind || !status.Replayed.Reaches(statuses[0].Received)
		}
	}
}

// failOver fences t-2 and t-3, a majority, at the term and promotes t-2.
func (h *harness) failOver(term topology.Term) {
	h.t.Helper()
	for _, id := range []topology.TargetID{"t-2", "t-3"} {
		if _, err := h.group.Member(id).Database().Fence(h.t.Context(), term); err != nil {
			h.t.Fatal(err)
		}
	}
	if _, err := h.group.Member("t-2").Database().Promote(h.t.Context(), term); err != nil {
		h.t.Fatal(err)
	}
}

// TestLostCommitResponseIsResolved drops the response to a commit that took
// effect. The write must be acknowledged and take effect once.
func TestLostCommitResponseIsResolved(t *testing.T) {
	for name, begin := range map[string]bool{"autocommit": false, "transaction": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			conn := h.connect(testKey, "")
			h.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
			h.group.Member("t-1").SetFaults(standin.Faults{DropCommitAnswers: 1})
			if begin {
				h.exec(conn, "BEGIN")
			}
			h.exec(conn, "UPDATE kv SET value = value + 1 WHERE key = 'n'")
			if begin {
				h.exec(conn, "COMMIT")
			}
			if got := h.queryValue(conn, "SELECT value FROM kv WHERE key = 'n'"); got != "1" {
				t.Errorf("value %s after one update, want 1", got)
			}
		})
	}
}

// TestTokenIsSentAfterALostCommitResponse drops the response to a COMMIT that took effect.
// The caller must receive the token of its write, or a later connection to another instance
// could read an older state.
func TestTokenIsSentAfterALostCommitResponse(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	h.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	before := conn.PgConn().ParameterStatus(settingToken)
	h.group.Member("t-1").SetFaults(standin.Faults{DropCommitAnswers: 1})
	h.exec(conn, "BEGIN")
	h.exec(conn, "UPDATE kv SET value = value + 1 WHERE key = 'n'")
	h.exec(conn, "COMMIT")
	token := conn.PgConn().ParameterStatus(settingToken)
	if want := h.queryValue(conn, "SHOW "+settingToken); token != want || token == before {
		t.Errorf("token %q after the commit, want %q; before it %q", token, want, before)
	}
}

// TestCommitOnReplacedPrimaryIsRefused commits on a primary that does not know
// of its replacement. The caller must receive an error that says that the
// transaction did not commit, and the new primary must not have the write.
func TestCommitOnReplacedPrimaryIsRefused(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	h.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	h.exec(conn, "BEGIN")
	h.exec(conn, "UPDATE kv SET value = '1' WHERE key = 'n'")
	h.awaitReplay()
	h.group.Member("t-1").SetFaults(standin.Faults{CutFromMembers: true})
	h.failOver(2)
	_, err := conn.Exec(t.Context(), "COMMIT")
	requireRefusal(t, err, refusal.NotCommitted)
	if got := h.queryValue(conn, "SELECT value FROM kv WHERE key = 'n'"); got != "0" {
		t.Errorf("value %s on the new primary, want 0", got)
	}
	h.exec(conn, "UPDATE kv SET value = '2' WHERE key = 'n'")
}

// TestWriteRefusedByFencedPrimaryMovesToNewPrimary checks that a write that a
// fenced primary refuses runs once on the new primary, when the group's view
// still names the fenced one at first.
func TestWriteRefusedByFencedPrimaryMovesToNewPrimary(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	h.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	h.awaitReplay()
	if _, err := h.group.Member("t-1").Database().Fence(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	h.failOver(2)
	h.exec(conn, "UPDATE kv SET value = value + 1 WHERE key = 'n'")
	if got := h.queryValue(conn, "SELECT value FROM kv WHERE key = 'n'"); got != "1" {
		t.Errorf("value %s after one update, want 1", got)
	}
}

// TestPrimaryCrashFailsTransaction checks that a transaction whose connection
// is lost is refused, can be rolled back and writes nothing.
func TestPrimaryCrashFailsTransaction(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	h.exec(conn, "BEGIN")
	h.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	h.group.Member("t-1").Kill()
	if err := h.group.Member("t-1").Restart(); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Exec(t.Context(), "INSERT INTO kv VALUES ('m', '0')")
	requireRefusal(t, err, refusal.TransactionLost)
	h.exec(conn, "ROLLBACK")
	if got := h.queryValue(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after a lost transaction, want 0", got)
	}
}

// TestReadsSurviveReplicaCrash checks that no read fails when a replica crashes
// to which the instance holds connections.
func TestReadsSurviveReplicaCrash(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "")
	h.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	for range 4 {
		h.queryValue(conn, "SELECT value FROM kv WHERE key = 'n'")
	}
	h.group.Member("t-2").Kill()
	for range 8 {
		h.queryValue(conn, "SELECT value FROM kv WHERE key = 'n'")
	}
}

// TestOnlyIdempotentWritesRerunAfterUnknownOutcome has commits that can be
// neither confirmed nor resolved. Only a write that is declared idempotent may
// run again. Once an attempt may have taken effect, no response may say that it
// did not run.
func TestOnlyIdempotentWritesRerunAfterUnknownOutcome(t *testing.T) {
	const acknowledged, unknown = "[done INSERT 0 1 ready I]", "[error 08007 ready I]"
	for name, test := range map[string]struct {
		setting, query, want           string
		failingConfirmations, wantRuns int
	}{
		"plain":           {"off", "INSERT a", unknown, 1, 1},
		"session":         {"on", "INSERT a", acknowledged, 1, 2},
		"hint":            {"off", "/* samphirehitch: idempotent */ INSERT a", acknowledged, 1, 2},
		"commits within":  {"off", "CALL a", unknown, 1, 1},
		"never confirmed": {"on", "INSERT a", unknown, 100, maxIdempotentRuns},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newFakeHarness(t, 1)
			client := h.connectRaw(testKey, "")
			client.query("SET samphirehitch.idempotent = " + test.setting)
			targets.mu.Lock()
			targets.mu.failingConfirmations = test.failingConfirmations
			targets.mu.outcomesUnknown = true
			targets.mu.Unlock()
			if got := fmt.Sprint(client.query(test.query)); got != test.want {
				t.Errorf("response %s, want %s", got, test.want)
			}
			if got := targets.insertCount("a"); got != test.wantRuns {
				t.Errorf("ran %d times, want %d", got, test.wantRuns)
			}
		})
	}
}

// TestRequestsWaitForPromotion kills the primary and promotes another target
// only after requests have failed several times. None of them may be refused.
func TestRequestsWaitForPromotion(t *testing.T) {
	const minFailedAttempts = 20
	h := newHarness(t, func(c *Config, _ *caller.Config) { c.MaxRetryBackoff = time.Millisecond })
	conns := []*pgx.Conn{h.connect(testKey, ""), h.connect(testKey, "")}
	h.exec(conns[0], "INSERT INTO kv VALUES ('n', '0')")
	h.exec(conns[1], "SELECT value FROM kv WHERE key = 'n'")
	h.awaitReplay()
	h.group.Member("t-1").Kill()
	before := h.acquireAttempts.Load()
	results := make(chan error, len(conns))
	go func() {
		tx, err := conns[1].Begin(context.Background())
		if err == nil {
			_, err = tx.Exec(context.Background(), "INSERT INTO kv VALUES ('m', '0')")
		}
		if err == nil {
			err = tx.Commit(context.Background())
		}
		results <- err
	}()
	go func() {
		_, err := conns[0].Exec(context.Background(), "UPDATE kv SET value = value + 1 WHERE key = 'n'")
		results <- err
	}()
	for h.acquireAttempts.Load() < before+minFailedAttempts && len(results) == 0 {
		runtime.Gosched()
	}
	h.failOver(2)
	for range conns {
		if err := <-results; err != nil {
			t.Errorf("refused during the failover: %v", err)
		}
	}
	if rows := h.group.Member("t-2").Database().Rows(); rows["n"] != "1" || rows["m"] != "0" {
		t.Errorf("rows %v on the new primary", rows)
	}
}
