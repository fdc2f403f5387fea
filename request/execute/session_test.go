package execute

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/request/refusal"
)

// TestCopy copies rows in and out, on its own and inside of a transaction, and
// breaks one off.
func TestCopy(t *testing.T) {
	r := newRig(t)
	conn := r.connect(testKey, "").PgConn()
	tag, err := conn.CopyFrom(t.Context(), strings.NewReader("a\t1\nb\t2\n"), "COPY kv FROM STDIN")
	if err != nil || tag.RowsAffected() != 2 {
		t.Fatalf("copied in %v, %v", tag, err)
	}
	s := r.script(testKey, "")
	s.ask("BEGIN; SELECT 1; COMMIT")
	s.send(queryMessage("COPY kv FROM STDIN"))
	s.want("CopyInResponse")
	s.send(&pgproto3.CopyData{Data: []byte("c\t3\n")}, &pgproto3.CopyFail{Message: "no more"})
	s.want("error 57014", "ready I")
	s.send(queryMessage("BEGIN"), queryMessage("COPY kv FROM STDIN"))
	s.want("done BEGIN", "ready T", "CopyInResponse")
	s.send(&pgproto3.CopyData{Data: []byte("d\t4\n")}, &pgproto3.CopyDone{})
	s.want("done COPY 1", "ready T")
	s.send(queryMessage("COMMIT"))
	s.want("done COMMIT", "ready I")
	var out strings.Builder
	if _, err := conn.CopyTo(t.Context(), &out, "COPY kv TO STDOUT"); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != "a\t1\nb\t2\nd\t4\n" {
		t.Errorf("copied out %q", got)
	}
}

// cancel sends a cancel request and waits until the server has served it.
func (r *rig) cancel(process uint32, secret []byte) {
	r.t.Helper()
	socket, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	defer socket.Close()
	request, err := (&pgproto3.CancelRequest{ProcessID: process, SecretKey: secret}).Encode(nil)
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := socket.Write(request); err != nil {
		r.t.Fatal(err)
	}
	var end [1]byte
	_, _ = socket.Read(end[:])
}

// TestCancel stops a running statement by a request with the right secret only.
// The session and its transaction go on to their ends.
func TestCancel(t *testing.T) {
	r := newRig(t)
	s, other := r.script(testKey, ""), r.script("other", "")
	s.send(queryMessage("BEGIN"))
	s.want("done BEGIN", "ready T")
	s.send(queryMessage("SELECT pg_sleep(3600)"))
	r.cancel(s.process, other.secret)
	r.cancel(s.process+1, s.secret)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.want("error 57014", "ready E")
	}()
	for running := true; running; {
		r.cancel(s.process, s.secret)
		select {
		case <-answered:
			running = false
		default:
		}
	}
	other.send(queryMessage("SELECT 'x'"))
	other.want("RowDescription", "row x", "done SELECT 1", "ready I")
	s.send(queryMessage("ROLLBACK"), queryMessage("SELECT 'x'"))
	s.want("done ROLLBACK", "ready I", "RowDescription", "row x", "done SELECT 1", "ready I")
}

// TestSettingInTransaction takes a setting back with its transaction.
func TestSettingInTransaction(t *testing.T) {
	r, _ := newFakeRig(t, 1)
	s := r.script(testKey, "")
	s.send(queryMessage("BEGIN"), queryMessage("SET search_path = mill"), queryMessage("ROLLBACK"))
	s.want("done BEGIN", "ready T", "done SET", "ready T", "done ROLLBACK", "ready I")
	if got := s.ask("SHOW search_path"); got[1] != "row " {
		t.Errorf("%v after the rollback", got)
	}
	s.send(queryMessage("BEGIN"), queryMessage("SET search_path = mill"), queryMessage("COMMIT"))
	s.want("done BEGIN", "ready T", "done SET", "ready T", "done COMMIT", "ready I")
	if got := s.ask("SHOW search_path"); got[1] != "row mill" {
		t.Errorf("%v after the commit", got)
	}
}

// TestDrain ends an idle session at once and one in a transaction after its
// commit, which is served.
func TestDrain(t *testing.T) {
	r := newRig(t)
	idle, busy := r.script(testKey, ""), r.script(testKey, "")
	busy.send(queryMessage("BEGIN"), queryMessage("INSERT INTO kv VALUES ('a', '1')"))
	busy.want("done BEGIN", "ready T", "done INSERT 0 1", "ready T")
	drained := make(chan error, 1)
	go func() { drained <- r.server.Drain(context.Background()) }()
	idle.want("error 57P01")
	busy.send(queryMessage("COMMIT"))
	busy.want("done COMMIT", "ready I", "error 57P01")
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", r.address); err == nil {
		t.Error("the listener is still open")
	}
	if rows := r.group.Primary().Database().Rows(); rows["a"] != "1" {
		t.Errorf("rows %v after the drain", rows)
	}
}

// TestWithdrawnInTransaction withdraws the key inside of a transaction, which is
// rolled back.
func TestWithdrawnInTransaction(t *testing.T) {
	r := newRig(t)
	s := r.script(testKey, "")
	s.send(queryMessage("BEGIN"), queryMessage("INSERT INTO kv VALUES ('a', '1')"))
	s.want("done BEGIN", "ready T", "done INSERT 0 1", "ready T")
	r.directory.withdraw(testKey)
	r.server.SnapshotChanged(r.directory)
	s.want("error " + string(refusal.Withdrawn.Code))
	if rows := r.group.Primary().Database().Rows(); len(rows) != 0 {
		t.Errorf("rows %v after the withdrawal", rows)
	}
}

// TestWithdrawnDuringCommit withdraws the key while a commit waits for its
// evidence. The commit is acknowledged and the session ends after it.
func TestWithdrawnDuringCommit(t *testing.T) {
	r, targets := newFakeRig(t, 1)
	s := r.script(testKey, "")
	targets.mu.Lock()
	targets.mu.unresolved = true
	targets.mu.confirming = func() {
		r.directory.withdraw(testKey)
		r.server.SnapshotChanged(r.directory)
	}
	targets.mu.Unlock()
	s.send(queryMessage("INSERT a"))
	s.want("done INSERT 0 1", "ready I", "error 28000")
	if got := targets.count("a"); got != 1 {
		t.Errorf("ran %d times", got)
	}
}

// TestLargeAnswer streams an answer of many rows; the relay keeps a part of
// fixed size only.
func TestLargeAnswer(t *testing.T) {
	r, _ := newFakeRig(t, 1)
	s := r.script(testKey, "")
	value := strings.Repeat("x", 1000)
	s.send(queryMessage("SELECT 'small'"))
	s.want("RowDescription", "row small", "done SELECT 1", "ready I")
	s.send(queryMessage("TABLE 20000 " + value))
	s.want("RowDescription")
	for range 20000 {
		s.want("row " + value)
	}
	s.want("done SELECT 20000", "ready I")
}

// TestLargePipeline sends a batch that is larger than the buffers of the
// connections, while its answers fill them too.
func TestLargePipeline(t *testing.T) {
	const statements = 12000
	r, _ := newFakeRig(t, 1)
	s := r.script(testKey, "")
	value := strings.Repeat("x", 1000)
	batch := []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "p", Query: "SELECT $1"}}
	for range statements {
		batch = append(batch, bindExecute("p", value)...)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		s.send(append(batch, &pgproto3.Sync{})...)
	}()
	s.want("ParseComplete")
	for range statements {
		s.want("BindComplete", "row "+value, "done SELECT 1")
	}
	s.want("ready I")
	<-sent
}
