package execute

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/request/refusal"
)

// TestCopyInAndOut copies rows in and out, outside and inside of a transaction.
// It also checks that a COPY that the caller fails copies nothing.
func TestCopyInAndOut(t *testing.T) {
	h := newHarness(t)
	conn := h.connect(testKey, "").PgConn()
	tag, err := conn.CopyFrom(t.Context(), strings.NewReader("a\t1\nb\t2\n"), "COPY kv FROM STDIN")
	if err != nil || tag.RowsAffected() != 2 {
		t.Fatalf("copied in %v, %v", tag, err)
	}
	client := h.connectRaw(testKey, "")
	client.query("BEGIN; SELECT 1; COMMIT")
	client.send(queryMessage("COPY kv FROM STDIN"))
	client.expect("CopyInResponse")
	client.send(&pgproto3.CopyData{Data: []byte("c\t3\n")}, &pgproto3.CopyFail{Message: "no more"})
	client.expect("error 57014", "ready I")
	client.send(queryMessage("BEGIN"), queryMessage("COPY kv FROM STDIN"))
	client.expect("done BEGIN", "ready T", "CopyInResponse")
	client.send(&pgproto3.CopyData{Data: []byte("d\t4\n")}, &pgproto3.CopyDone{})
	client.expect("done COPY 1", "ready T")
	client.send(queryMessage("COMMIT"))
	client.expect("done COMMIT", "ready I")
	var out strings.Builder
	if _, err := conn.CopyTo(t.Context(), &out, "COPY kv TO STDOUT"); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != "a\t1\nb\t2\nd\t4\n" {
		t.Errorf("copied out %q", got)
	}
}

// sendCancelRequest sends a cancel request and waits until the server has
// processed it, which it shows by closing the connection.
func (h *harness) sendCancelRequest(processID uint32, secretKey []byte) {
	h.t.Helper()
	socket, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	defer socket.Close()
	request, err := (&pgproto3.CancelRequest{ProcessID: processID, SecretKey: secretKey}).Encode(nil)
	if err != nil {
		h.t.Fatal(err)
	}
	if _, err := socket.Write(request); err != nil {
		h.t.Fatal(err)
	}
	var eof [1]byte
	_, _ = socket.Read(eof[:])
}

// TestCancelRequest checks that only a cancel request with the session's
// process ID and secret cancels its statement. The session can then roll back
// and goes on.
func TestCancelRequest(t *testing.T) {
	h := newHarness(t)
	client, other := h.connectRaw(testKey, ""), h.connectRaw("other", "")
	client.send(queryMessage("BEGIN"))
	client.expect("done BEGIN", "ready T")
	client.send(queryMessage("SELECT pg_sleep(3600)"))
	h.sendCancelRequest(client.processID, other.secretKey)
	h.sendCancelRequest(client.processID+1, client.secretKey)
	responded := make(chan struct{})
	go func() {
		defer close(responded)
		client.expect("error 57014", "ready E")
	}()
	for running := true; running; {
		h.sendCancelRequest(client.processID, client.secretKey)
		select {
		case <-responded:
			running = false
		default:
		}
	}
	other.send(queryMessage("SELECT 'x'"))
	other.expect("RowDescription", "row x", "done SELECT 1", "ready I")
	client.send(queryMessage("ROLLBACK"), queryMessage("SELECT 'x'"))
	client.expect("done ROLLBACK", "ready I", "RowDescription", "row x", "done SELECT 1", "ready I")
}

// TestSettingRevertsOnRollback checks that a SET within a transaction is
// reverted by ROLLBACK and kept by COMMIT.
func TestSettingRevertsOnRollback(t *testing.T) {
	h, _ := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	client.send(queryMessage("BEGIN"), queryMessage("SET search_path = mill"), queryMessage("ROLLBACK"))
	client.expect("done BEGIN", "ready T", "done SET", "ready T", "done ROLLBACK", "ready I")
	if got := client.query("SHOW search_path"); got[1] != "row " {
		t.Errorf("%v after the rollback", got)
	}
	client.send(queryMessage("BEGIN"), queryMessage("SET search_path = mill"), queryMessage("COMMIT"))
	client.expect("done BEGIN", "ready T", "done SET", "ready T", "done COMMIT", "ready I")
	if got := client.query("SHOW search_path"); got[1] != "row mill" {
		t.Errorf("%v after the commit", got)
	}
}

// TestDrainWaitsForOpenTransaction checks that a drain ends an idle session
// immediately, and one with an open transaction only after its COMMIT was served.
func TestDrainWaitsForOpenTransaction(t *testing.T) {
	h := newHarness(t)
	idle, busy := h.connectRaw(testKey, ""), h.connectRaw(testKey, "")
	busy.send(queryMessage("BEGIN"), queryMessage("INSERT INTO kv VALUES ('a', '1')"))
	busy.expect("done BEGIN", "ready T", "done INSERT 0 1", "ready T")
	drained := make(chan error, 1)
	go func() { drained <- h.server.Drain(context.Background()) }()
	idle.expect("error 57P01")
	busy.send(queryMessage("COMMIT"))
	busy.expect("done COMMIT", "ready I", "error 57P01")
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", h.address); err == nil {
		t.Error("the listener is still open")
	}
	if rows := h.group.Primary().Database().Rows(); rows["a"] != "1" {
		t.Errorf("rows %v after the drain", rows)
	}
}

// TestKeyWithdrawnInTransaction checks that the open transaction of a session
// whose key is withdrawn is rolled back.
func TestKeyWithdrawnInTransaction(t *testing.T) {
	h := newHarness(t)
	client := h.connectRaw(testKey, "")
	client.send(queryMessage("BEGIN"), queryMessage("INSERT INTO kv VALUES ('a', '1')"))
	client.expect("done BEGIN", "ready T", "done INSERT 0 1", "ready T")
	h.directory.withdraw(testKey)
	h.server.SnapshotChanged(h.directory)
	client.expect("error " + string(refusal.AccessRevoked.Code))
	if rows := h.group.Primary().Database().Rows(); len(rows) != 0 {
		t.Errorf("rows %v after the withdrawal", rows)
	}
}

// TestKeyWithdrawnDuringCommit withdraws the key while a commit is being
// confirmed. The commit must be acknowledged before the session ends, since it
// took effect.
func TestKeyWithdrawnDuringCommit(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	targets.mu.Lock()
	targets.mu.outcomesUnknown = true
	targets.mu.onConfirm = func() {
		h.directory.withdraw(testKey)
		h.server.SnapshotChanged(h.directory)
	}
	targets.mu.Unlock()
	client.send(queryMessage("INSERT a"))
	client.expect("done INSERT 0 1", "ready I", "error 28000")
	if got := targets.insertCount("a"); got != 1 {
		t.Errorf("ran %d times", got)
	}
}

// TestLargeResponseIsStreamed reads a response that is much larger than what
// the instance buffers of it.
func TestLargeResponseIsStreamed(t *testing.T) {
	h, _ := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	value := strings.Repeat("x", 1000)
	client.send(queryMessage("SELECT 'small'"))
	client.expect("RowDescription", "row small", "done SELECT 1", "ready I")
	client.send(queryMessage("TABLE 20000 " + value))
	client.expect("RowDescription")
	for range 20000 {
		client.expect("row " + value)
	}
	client.expect("done SELECT 20000", "ready I")
}

// TestLargePipeline sends a batch that exceeds the buffers of the connections,
// as does its response. It would block if the instance sent the whole batch
// before it reads the response.
func TestLargePipeline(t *testing.T) {
	const statements = 12000
	h, _ := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	value := strings.Repeat("x", 1000)
	batch := []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "p", Query: "SELECT $1"}}
	for range statements {
		batch = append(batch, bindExecute("p", value)...)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		client.send(append(batch, &pgproto3.Sync{})...)
	}()
	client.expect("ParseComplete")
	for range statements {
		client.expect("BindComplete", "row "+value, "done SELECT 1")
	}
	client.expect("ready I")
	<-sent
}

// Guards against copy data that is queued while the large text of its COPY is still being
// sent in the background, which could drop it.
func TestCopyDataFollowsALargeStatement(t *testing.T) {
	h := newHarness(t)
	client := h.connectRaw(testKey, "")
	for range 20 {
		client.send(queryMessage("COPY kv FROM STDIN" + strings.Repeat(" ", 2*concurrentFlushBytes)))
		client.expect("CopyInResponse")
		client.send(&pgproto3.CopyData{Data: []byte("a\t1\n")}, &pgproto3.CopyDone{})
		client.expect("done COPY 1", "ready I")
		client.query("DELETE FROM kv WHERE key = 'a'")
	}
}
