package edge

import (
	"net"
	"testing"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
)

// A transaction whose caller rests kept its locks after its key had been withdrawn, until the
// caller's next statement, which was run.
func TestWithdrawnKeyEndsTransactionsOfRestingCallers(t *testing.T) {
	d := newConfiguredDaemon(t, store.NewRevision(1, 5))
	version := d.engine.Catalog().Version
	daemonEnd, callerEnd := net.Pipe()
	conn := &callerConn{codec: byteCodec{slowCodec{Conn: daemonEnd}}}
	d.callers.add(conn)
	session := &scriptedSession{state: statement.Open, expired: make(chan string, 1), finish: make(chan struct{}),
		withdrawn: func() bool { return d.engine.Catalog().Version > version+1 }}
	close(session.finish)
	ended := make(chan error, 1)
	go func() { ended <- d.runStatements(conn, session) }()
	caller := stoppingDaemon{caller: callerEnd}
	for step, want := range []statement.Code{statement.OK, statement.Aborted} {
		d.applyChanges(changeConfiguration(byte(version)+byte(step)+1, store.NewRevision(1, uint64(6+step))))
		if want == statement.Aborted {
			<-session.expired // while the caller rests
		}
		caller.send(t, statement.Write)
		if code, _ := caller.awaitResponse(t); code != want {
			t.Fatalf("step %d: the write got %s, want %s", step, code, want)
		}
	}
	_ = callerEnd.Close()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
