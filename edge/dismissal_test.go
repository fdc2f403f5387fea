package edge

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/process/statement"
)

// dismissedCaller is a caller of a daemon that is shutting down, whose session is idle.
type dismissedCaller struct {
	conn  net.Conn
	lines *bufio.Reader
	ended chan error
}

// newDismissedCaller returns the caller once its session waits for a statement. The
// session's statements never end.
func newDismissedCaller(t *testing.T) (*dismissedCaller, *callerConn) {
	t.Helper()
	d := newTestDaemon(t)
	daemonEnd, callerEnd := net.Pipe()
	conn := &callerConn{codec: platform.NewCallerConn(daemonEnd)}
	c := &dismissedCaller{conn: callerEnd, lines: bufio.NewReader(callerEnd), ended: make(chan error, 1)}
	t.Cleanup(func() { _ = callerEnd.Close() })
	go func() {
		defer daemonEnd.Close()
		c.ended <- d.runStatements(conn, &scriptedSession{state: statement.Idle, finish: make(chan struct{})})
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

func TestIdleCallerIsToldOfTheShutdown(t *testing.T) {
	c, conn := newDismissedCaller(t)
	conn.closeWhenIdle()
	c.requireLine(t, "ERROR BUSY "+reasonShutdown)
	_ = c.conn.Close()
	if err := <-c.ended; err != nil {
		t.Error(err)
	}
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
	_ = c.conn.Close()
	if err := <-c.ended; err != nil {
		t.Error(err)
	}
}
