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

// catchUp waits until every member has replayed the log of the primary.
func (r *rig) catchUp() {
	r.t.Helper()
	var statuses []topology.Status
	for behind := true; behind; runtime.Gosched() {
		statuses = statuses[:0]
		for _, member := range r.group.Members() {
			status, err := member.Database().Status(r.t.Context())
			if err != nil {
				r.t.Fatal(err)
			}
			statuses = append(statuses, status)
		}
		behind = false
		for _, status := range statuses {
			behind = behind || !status.Replayed.Reaches(statuses[0].Received)
		}
	}
}

// promote makes t-2 the primary of the term by the votes of t-2 and t-3.
func (r *rig) promote(term topology.Term) {
	r.t.Helper()
	for _, id := range []topology.TargetID{"t-2", "t-3"} {
		if _, err := r.group.Member(id).Database().Fence(r.t.Context(), term); err != nil {
			r.t.Fatal(err)
		}
	}
	if _, err := r.group.Member("t-2").Database().Promote(r.t.Context(), term); err != nil {
		r.t.Fatal(err)
	}
}

// TestCommitAnswerLost loses the answer to a commit that took effect. The write
// is acknowledged and runs once.
func TestCommitAnswerLost(t *testing.T) {
	for name, begin := range map[string]bool{"autocommit": false, "transaction": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			conn := r.connect(testKey, "")
			r.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
			r.group.Member("t-1").SetFaults(standin.Faults{DropCommitAnswers: 1})
			if begin {
				r.exec(conn, "BEGIN")
			}
			r.exec(conn, "UPDATE kv SET value = value + 1 WHERE key = 'n'")
			if begin {
				r.exec(conn, "COMMIT")
			}
			if got := r.text(conn, "SELECT value FROM kv WHERE key = 'n'"); got != "1" {
				t.Errorf("value %s after one update, want 1", got)
			}
		})
	}
}

// TestReplacedPrimaryIsNotAcknowledged commits on a primary that has been
// replaced without knowing it. The caller is told that the transaction did not
// commit, which the new primary confirms.
func TestReplacedPrimaryIsNotAcknowledged(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	r.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	r.exec(conn, "BEGIN")
	r.exec(conn, "UPDATE kv SET value = '1' WHERE key = 'n'")
	r.catchUp()
	r.group.Member("t-1").SetFaults(standin.Faults{CutFromMembers: true})
	r.promote(2)
	_, err := conn.Exec(t.Context(), "COMMIT")
	wantRefusal(t, err, refusal.CommitAbsent)
	if got := r.text(conn, "SELECT value FROM kv WHERE key = 'n'"); got != "0" {
		t.Errorf("value %s on the new primary, want 0", got)
	}
	r.exec(conn, "UPDATE kv SET value = '2' WHERE key = 'n'")
}

// TestFencedPrimaryMovesWrites fences the primary that the view names. A write
// that it refuses runs once on the new one.
func TestFencedPrimaryMovesWrites(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	r.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	r.catchUp()
	if _, err := r.group.Member("t-1").Database().Fence(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	r.promote(2)
	r.exec(conn, "UPDATE kv SET value = value + 1 WHERE key = 'n'")
	if got := r.text(conn, "SELECT value FROM kv WHERE key = 'n'"); got != "1" {
		t.Errorf("value %s after one update, want 1", got)
	}
}

// TestLostTransaction kills the primary's sessions inside of a transaction.
func TestLostTransaction(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	r.exec(conn, "BEGIN")
	r.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	r.group.Member("t-1").Kill()
	if err := r.group.Member("t-1").Restart(); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Exec(t.Context(), "INSERT INTO kv VALUES ('m', '0')")
	wantRefusal(t, err, refusal.TransactionLost)
	r.exec(conn, "ROLLBACK")
	if got := r.text(conn, "SELECT count(*) FROM kv"); got != "0" {
		t.Errorf("%s rows after a lost transaction, want 0", got)
	}
}

// TestReadsSurviveTargets kills a replica under a reader. No read fails.
func TestReadsSurviveTargets(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "")
	r.exec(conn, "INSERT INTO kv VALUES ('n', '0')")
	for range 4 {
		r.text(conn, "SELECT value FROM kv WHERE key = 'n'")
	}
	r.group.Member("t-2").Kill()
	for range 8 {
		r.text(conn, "SELECT value FROM kv WHERE key = 'n'")
	}
}

// TestUnknownOutcome finds no evidence for a commit. Only a write that may run
// twice is tried again, and once an attempt may have run nothing says otherwise.
func TestUnknownOutcome(t *testing.T) {
	const acknowledged, unknown = "[done INSERT 0 1 ready I]", "[error 08007 ready I]"
	for name, test := range map[string]struct {
		setting, query, want string
		unconfirmed, ran     int
	}{
		"plain":           {"off", "INSERT a", unknown, 1, 1},
		"session":         {"on", "INSERT a", acknowledged, 1, 2},
		"hint":            {"off", "/* samphirehitch: idempotent */ INSERT a", acknowledged, 1, 2},
		"escaped":         {"off", "CALL a", unknown, 1, 1},
		"never confirmed": {"on", "INSERT a", unknown, 100, maxRepeats},
	} {
		t.Run(name, func(t *testing.T) {
			r, targets := newFakeRig(t, 1)
			s := r.script(testKey, "")
			s.ask("SET samphirehitch.idempotent = " + test.setting)
			targets.mu.Lock()
			targets.mu.unconfirmed = test.unconfirmed
			targets.mu.unresolved = true
			targets.mu.Unlock()
			if got := fmt.Sprint(s.ask(test.query)); got != test.want {
				t.Errorf("answer %s, want %s", got, test.want)
			}
			if got := targets.count("a"); got != test.ran {
				t.Errorf("ran %d times, want %d", got, test.ran)
			}
		})
	}
}

// TestRequestsWaitForTheNextPrimary kills the primary and promotes another after
// requests have failed on it several times. None of them is refused.
func TestRequestsWaitForTheNextPrimary(t *testing.T) {
	const tries = 20
	r := newRig(t, func(c *Config, _ *caller.Config) { c.RetryPause = time.Millisecond })
	conns := []*pgx.Conn{r.connect(testKey, ""), r.connect(testKey, "")}
	r.exec(conns[0], "INSERT INTO kv VALUES ('n', '0')")
	r.exec(conns[1], "SELECT value FROM kv WHERE key = 'n'")
	r.catchUp()
	r.group.Member("t-1").Kill()
	before := r.tried.Load()
	ended := make(chan error, len(conns))
	go func() {
		tx, err := conns[1].Begin(context.Background())
		if err == nil {
			_, err = tx.Exec(context.Background(), "INSERT INTO kv VALUES ('m', '0')")
		}
		if err == nil {
			err = tx.Commit(context.Background())
		}
		ended <- err
	}()
	go func() {
		_, err := conns[0].Exec(context.Background(), "UPDATE kv SET value = value + 1 WHERE key = 'n'")
		ended <- err
	}()
	for r.tried.Load() < before+tries && len(ended) == 0 {
		runtime.Gosched()
	}
	r.promote(2)
	for range conns {
		if err := <-ended; err != nil {
			t.Errorf("refused during the failover: %v", err)
		}
	}
	if rows := r.group.Member("t-2").Database().Rows(); rows["n"] != "1" || rows["m"] != "0" {
		t.Errorf("rows %v on the new primary", rows)
	}
}
