package edge

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/process/statement"
)

// dismissedCaller is a caller of a daemon that is shutting down, whose session is idle.
type dismissedCaller struct {
	conn   net.Conn
	lines  *bufio.Reader
	ended  chan error
	daemon *Daemon
	// finish ends the running statement.
	finish chan struct{}
}

// newDismissedCaller returns the caller once its session waits for a statement. Its
// statements end by finish.
func newDismissedCaller(t *testing.T) (*dismissedCaller, *callerConn) {
	t.Helper()
	d := newTestDaemon(t)
	daemonEnd, callerEnd := net.Pipe()
	conn := &callerConn{codec: platform.NewCallerConn(daemonEnd)}
	c := &dismissedCaller{daemon: d, conn: callerEnd, lines: bufio.NewReader(callerEnd), ended: make(chan error, 1), finish: make(chan struct{})}
	t.Cleanup(func() { _ = callerEnd.Close() })
	go func() {
		defer daemonEnd.Close()
		c.ended <- d.runStatements(conn, &scriptedSession{state: statement.Idle, finish: c.finish})
	}()
	for waits := false; !waits; {
		time.Sleep(time.Millisecond)
		conn.mu.Lock()
		waits = conn.waiting
		conn.mu.Unlock()
	}
	return c, conn
}

func (c *dismissedCaller) requireLine(t *testing.T, want string) {
	t.Helper()
	line, err := c.lines.ReadString('\n')
	if err != nil || strings.TrimSpace(line) != want {
		t.Fatalf("received %q, %v, want %q", line, err, want)
	}
}

// requireResult sends a statement that runs for a time.
func (c *dismissedCaller) requireResult(t *testing.T, duration time.Duration) {
	t.Helper()
	if _, err := fmt.Fprint(c.conn, "QUERY id WRITE a b\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(duration)
	c.finish <- struct{}{}
	c.requireLine(t, "COMPLETE -")
	c.requireLine(t, "READY I -")
}

// requireEnd closes the connection, upon which the session ends.
func (c *dismissedCaller) requireEnd(t *testing.T) {
	t.Helper()
	_ = c.conn.Close()
	if err := <-c.ended; err != nil {
		t.Error(err)
	}
}

func TestIdleCallerIsToldOfTheShutdown(t *testing.T) {
	c, conn := newDismissedCaller(t)
	conn.closeWhenIdle()
	c.requireLine(t, "ERROR BUSY "+reasonShutdown)
	c.requireEnd(t)
}

// A statement that crosses with the end of its session was left without a response: the
// connection was closed while it was on the way.
func TestStatementThatCrossesWithTheShutdownIsRefused(t *testing.T) {
	c, conn := newDismissedCaller(t)
	conn.closeWhenIdle()
	c.requireLine(t, "ERROR BUSY "+reasonShutdown) // arrives after the statement was sent
	for range 2 {
		if _, err := fmt.Fprint(c.conn, "QUERY id WRITE a b\r\n"); err != nil {
			t.Fatal(err)
		}
		c.requireLine(t, "READY I -")
		c.requireLine(t, "ERROR BUSY "+reasonShutdown) // for the next one
	}
	c.requireEnd(t)
}

// A caller that sent its next statement right after a response, such as EXECUTE after PREPARE, had
// it refused when its session was to be closed: the refusal followed the response at once.
func TestStatementThatFollowsAtOnceIsRunBeforeTheDismissal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, conn := newDismissedCaller(t)
		conn.closeWhenIdle()
		for range 3 {
			c.requireResult(t, 0)
		}
		c.requireLine(t, "ERROR BUSY "+reasonShutdown)
		c.requireEnd(t)
	})
}

// A caller that never rests does not put off the close of its session for long.
func TestCallerThatNeverRestsIsDismissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, conn := newDismissedCaller(t)
		conn.closeWhenIdle()
		end := time.Now().Add(maxLingerTime)
		for time.Now().Before(end) {
			c.requireResult(t, lingerTime)
		}
		c.requireLine(t, "ERROR BUSY "+reasonShutdown)
		if got := time.Since(end); got != 0 {
			t.Errorf("dismissed %v after the end", got)
		}
		c.requireEnd(t)
	})
}

// A caller was not dismissed before its next statement, which had to be refused.
func TestCallerIsDismissedOnceItsStatementsAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, conn := newDismissedCaller(t)
		plan := newShutdownPlan(time.Now(), lingerTime)
		c.daemon.shutdown.Store(&plan)
		conn.closeWhenIdle()
		c.requireResult(t, plan.transactionEnd.Sub(plan.startedAt))
		if line, err := c.lines.ReadString('\n'); err != nil || time.Now().After(plan.transactionEnd) {
			t.Errorf("received %q, %v after %v", line, err, time.Since(plan.startedAt))
		}
		c.requireEnd(t)
	})
}
