package edge

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/statement"
)

// byteCodec is the codec of a caller that sends the kind of each statement as one byte, and
// receives the code and the state of each response.
type byteCodec struct {
	slowCodec
}

func (c byteCodec) ReadStatement() (statement.Statement, error) {
	kind := make([]byte, 1)
	_, err := io.ReadFull(c.Conn, kind)
	return statement.Statement{Kind: statement.Kind(kind[0]), ID: "id"}, err
}

func (c byteCodec) WriteResponse(response statement.Response) error {
	_, err := c.Conn.Write([]byte{byte(response.Code), byte(response.State)})
	return err
}

// scriptedSession is a session whose statements wait until finish is closed.
type scriptedSession struct {
	state   statement.TransactionState
	timeout time.Duration
	finish  chan struct{}
	expired chan string
	// withdrawn reports whether the session's key was withdrawn; nil means false.
	withdrawn func() bool
	// unsent says that the running statement has not been sent.
	unsent bool
}

// EndSends implements callerSession.
func (s *scriptedSession) EndSends() bool { return !s.unsent }

func (s *scriptedSession) Run(statement.Statement) statement.Response {
	if s.state == statement.Failed {
		return statement.Response{Code: statement.Aborted, State: statement.Failed}
	}
	<-s.finish
	return statement.Response{State: s.state}
}

func (s *scriptedSession) Refuse(_ statement.Statement, code statement.Code, _ string) statement.Response {
	return statement.Response{Code: code, State: s.state}
}
func (s *scriptedSession) State() statement.TransactionState    { return s.state }
func (s *scriptedSession) HoldsConnection() bool                { return false }
func (s *scriptedSession) MayWrite(st statement.Statement) bool { return st.Kind == statement.Write }
func (s *scriptedSession) StatementTimeout() time.Duration      { return s.timeout }
func (s *scriptedSession) KeyWithdrawn() bool {
	return s.state == statement.Open && s.withdrawn != nil && s.withdrawn()
}
func (s *scriptedSession) ExpireWithdrawn() {
	if s.KeyWithdrawn() {
		s.ExpireTransaction("withdrawn")
	}
}
func (s *scriptedSession) ExpireTransaction(reason string) {
	if s.state == statement.Open {
		s.state = statement.Failed
		s.expired <- reason
	}
}

// stoppingDaemon is a daemon with one caller, which is shut down.
type stoppingDaemon struct {
	*Daemon
	acceptor *acceptor
	session  *scriptedSession
	caller   net.Conn
	// ended receives the error with which the caller's session has ended.
	ended chan error
}

// newStoppingDaemon returns a daemon with a grace period and one caller, whose session is in
// the given state.
func newStoppingDaemon(t *testing.T, grace time.Duration, state statement.TransactionState) *stoppingDaemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newUnreachableDaemon(t, grace, state)
	s.acceptor = newAcceptor(listener)
	go s.accept(s.acceptor)
	return s
}

// newUnreachableDaemon returns the same without an acceptor. It uses no network.
func newUnreachableDaemon(t *testing.T, grace time.Duration, state statement.TransactionState) *stoppingDaemon {
	t.Helper()
	d := New(Options{Settings: entrysettings.Settings{Instance: "self", TerminationGrace: grace}, Log: logr.Discard()})
	s := &stoppingDaemon{Daemon: d, ended: make(chan error, 1),
		session: &scriptedSession{state: state, finish: make(chan struct{}), expired: make(chan string, 1)}}
	s.caller = s.connect(t, s.session)
	return s
}

// connect connects a caller whose statements a session runs.
func (s *stoppingDaemon) connect(t *testing.T, session callerSession) net.Conn {
	t.Helper()
	daemonEnd, callerEnd := net.Pipe()
	conn := &callerConn{codec: byteCodec{slowCodec{Conn: daemonEnd}}}
	s.callers.add(conn)
	go func() {
		defer s.callers.remove(conn)
		defer daemonEnd.Close()
		err := s.runStatements(conn, session)
		if session == callerSession(s.session) {
			s.ended <- err
		}
	}()
	t.Cleanup(func() { _ = callerEnd.Close() })
	return callerEnd
}

// send sends a statement.
func (s *stoppingDaemon) send(t *testing.T, kind statement.Kind) {
	t.Helper()
	if _, err := s.caller.Write([]byte{byte(kind)}); err != nil {
		t.Fatal(err)
	}
}

// awaitResponse returns the code and the state of the next response.
func (s *stoppingDaemon) awaitResponse(t *testing.T) (statement.Code, statement.TransactionState) {
	t.Helper()
	response := make([]byte, 2)
	if _, err := io.ReadFull(s.caller, response); err != nil {
		t.Fatalf("no response: %v", err)
	}
	return statement.Code(response[0]), statement.TransactionState(response[1])
}

// In the incident of 2026-12-05, a statement that a database ran got no response, because
// the process that had read it exited.
func TestTerminatedDaemonRespondsToStatementsThatAreStillRunning(t *testing.T) {
	for _, c := range []struct {
		name   string
		state  statement.TransactionState
		kind   statement.Kind
		unsent bool
		want   statement.Code
		after  statement.TransactionState
	}{
		{"a read changes nothing", statement.Idle, statement.Read, false, statement.Busy, statement.Idle},
		{"a write may have been applied", statement.Idle, statement.Write, false, statement.InDoubt, statement.Idle},
		{"a write that was not sent has not run", statement.Idle, statement.Write, true, statement.Busy, statement.Idle},
		{"a transaction is rolled back", statement.Open, statement.Write, false, statement.Aborted, statement.Failed},
		{"a transaction may have been committed", statement.Open, statement.Commit, false, statement.InDoubt, statement.Idle},
		{"a transaction whose COMMIT was not sent is rolled back", statement.Open, statement.Commit, true, statement.Aborted, statement.Idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newStoppingDaemon(t, 200*time.Millisecond, c.state)
			d.session.unsent = c.unsent
			d.send(t, c.kind)
			stopped := make(chan struct{})
			go func() {
				d.drain(d.acceptor)
				close(stopped)
			}()
			code, state := d.awaitResponse(t)
			if code != c.want || state != c.after {
				t.Errorf("response %s in state %d, want %s in state %d", code, state, c.want, c.after)
			}
			<-stopped
			close(d.session.finish)
			if err := <-d.ended; err == nil {
				t.Error("the result that came later was written as a second response")
			}
		})
	}
}

// startShutdown puts a schedule in force that began some time ago.
func (s *stoppingDaemon) startShutdown(ago time.Duration) {
	plan := newShutdownPlan(time.Now().Add(-ago), s.settings.TerminationGrace)
	s.shutdown.Store(&plan)
	s.stopping.Store(true)
}

func TestTerminatedDaemonRunsNoStatementThatMayOutliveIt(t *testing.T) {
	const grace, timeout = time.Hour, 10 * time.Minute
	for _, c := range []struct {
		name  string
		state statement.TransactionState
		ago   time.Duration
		want  statement.Code
	}{
		{"statement that is complete in time", statement.Idle, 48 * time.Minute, statement.OK},
		{"statement that may not be", statement.Idle, 52 * time.Minute, statement.Busy},
		{"transaction whose statement is complete in time", statement.Open, 48 * time.Minute, statement.OK},
		{"transaction whose statement may not be", statement.Open, 52 * time.Minute, statement.Aborted},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newStoppingDaemon(t, grace, c.state)
			d.session.timeout = timeout
			close(d.session.finish)
			d.startShutdown(c.ago)
			d.send(t, statement.Read)
			if code, _ := d.awaitResponse(t); code != c.want {
				t.Errorf("response %s, want %s", code, c.want)
			}
		})
	}
}

// A transaction whose caller rests holds a connection and locks at its target. It must not
// keep them until the process exits.
func TestShutdownExpiresTransactionsOfRestingCallers(t *testing.T) {
	d := newStoppingDaemon(t, 200*time.Millisecond, statement.Open)
	go d.drain(d.acceptor)
	if reason := <-d.session.expired; reason != reasonShutdown {
		t.Errorf("expired because %s", reason)
	}
	d.send(t, statement.Read)
	if code, state := d.awaitResponse(t); code != statement.Aborted || state != statement.Failed {
		t.Errorf("response %s in state %d", code, state)
	}
}

// The interruption of a wait by a shutdown must not count as the end of the time that a
// transaction may idle.
func TestShutdownExpiresNoTransactionBeforeItsTime(t *testing.T) {
	d := newStoppingDaemon(t, time.Hour, statement.Open)
	close(d.session.finish)
	d.startShutdown(0)
	for range 100 {
		for _, conn := range d.callers.snapshot() {
			conn.wake()
			conn.closeWhenIdle()
		}
	}
	d.send(t, statement.Read)
	if code, state := d.awaitResponse(t); code != statement.OK || state != statement.Open {
		t.Errorf("response %s in state %d", code, state)
	}
}

func TestShutdownPlanFitsTheGracePeriod(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		grace, timeout                            time.Duration
		unready, closed, lastStart, respond, over time.Duration
	}{
		{6 * time.Second, time.Second, 2300 * time.Millisecond, 3500 * time.Millisecond, 4100 * time.Millisecond, 5500 * time.Millisecond, 5900 * time.Millisecond},
		{6 * time.Second, 2 * time.Second, 2300 * time.Millisecond, 3500 * time.Millisecond, 3100 * time.Millisecond, 5500 * time.Millisecond, 5900 * time.Millisecond},
		{6 * time.Second, 8 * time.Second, 2300 * time.Millisecond, 3500 * time.Millisecond, 3 * time.Second, 5500 * time.Millisecond, 5900 * time.Millisecond},
		{30 * time.Second, time.Second, 2300 * time.Millisecond, 3500 * time.Millisecond, 28100 * time.Millisecond, 29500 * time.Millisecond, 29900 * time.Millisecond},
		{time.Second, time.Second, 400 * time.Millisecond, 600 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond, 980 * time.Millisecond},
	} {
		p := newShutdownPlan(now, c.grace)
		for name, step := range map[string]struct{ at, want time.Duration }{
			"idle connections are closed from":  {p.idleCloseStart.Sub(now), c.unready},
			"idle connections are closed until": {p.idleCloseAt(1, 1).Sub(now), c.closed},
			"statements are run until":          {p.lastStart(c.timeout).Sub(now), c.lastStart},
			"statements are complete by":        {p.responseEnd.Sub(now), c.respond},
			"everything is over by":             {p.unregisterEnd.Sub(now), c.over},
		} {
			if step.at != step.want {
				t.Errorf("grace period %s, timeout %s: %s %s, want %s", c.grace, c.timeout, name, step.at, step.want)
			}
		}
	}
}

// A caller repeats a refused statement on its connection. While its session still ran the first
// one, nobody read the second, and the process exited.
func TestConnectionEndsWithTheResponseToItsUnfinishedStatement(t *testing.T) {
	d := newStoppingDaemon(t, 200*time.Millisecond, statement.Idle)
	d.send(t, statement.Read)
	go d.drain(d.acceptor)
	if code, _ := d.awaitResponse(t); code != statement.Busy {
		t.Errorf("response %s", code)
	}
	if _, err := d.caller.Read(make([]byte, 1)); err == nil {
		t.Error("a second response")
	}
	close(d.session.finish)
}

// A caller that does not read blocked the responses to all others.
func TestCallerThatDoesNotReadKeepsNoOtherFromItsResponse(t *testing.T) {
	d := newStoppingDaemon(t, 200*time.Millisecond, statement.Idle)
	callers := []net.Conn{d.caller}
	for range 7 {
		callers = append(callers, d.connect(t, &scriptedSession{state: statement.Idle, finish: make(chan struct{})}))
	}
	for _, caller := range callers {
		if _, err := caller.Write([]byte{byte(statement.Read)}); err != nil {
			t.Fatal(err)
		}
	}
	go d.drain(d.acceptor)
	for _, caller := range callers[1:] {
		if _, err := io.ReadFull(caller, make([]byte, 2)); err != nil {
			t.Errorf("no response: %v", err)
		}
	}
	close(d.session.finish)
}

// The statement's result came between the end of its connection and its last response: the session
// closed the connection before that was written.
func TestResultBesideTheEndOfAConnectionDoesNotCloseIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newUnreachableDaemon(t, time.Hour, statement.Idle)
		s.send(t, statement.Read)
		synctest.Wait()
		conn := s.callers.snapshot()[0]
		running := conn.end()
		close(s.session.finish)
		synctest.Wait()
		select {
		case err := <-s.ended:
			t.Fatalf("the session has ended with %v before the response was written", err)
		default:
		}
		go conn.finish(running)
		if code, _ := s.awaitResponse(t); code != statement.Busy {
			t.Errorf("response %s", code)
		}
		<-s.ended
	})
}
