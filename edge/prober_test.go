package edge

import (
	"context"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
)

// statusDialer opens connections that respond to everything and count their statements.
type statusDialer struct{ conns []*statusConn }

func (d *statusDialer) Dial(context.Context, target.Endpoint) (target.Conn, error) {
	conn := &statusConn{}
	d.conns = append(d.conns, conn)
	return conn, nil
}

type statusConn struct {
	target.Conn
	statements int
	closed     bool
}

func (c *statusConn) Do(statement.Statement, time.Duration) (statement.Response, error) {
	c.statements++
	return statement.Response{State: statement.Idle}, nil
}

func (c *statusConn) Close() error {
	c.closed = true
	return nil
}

// The late copy of a status from before an order was taken as the status after it.
func TestProberSendsOneStatementOnAConnection(t *testing.T) {
	dialer := &statusDialer{}
	p := newProber(dialer, func(statement.Response) (failover.TargetStatus, error) { return failover.TargetStatus{}, nil })
	for range 2 {
		if _, err := p.Status(t.Context(), directory.Target{ID: "a"}); err != nil {
			t.Fatal(err)
		}
		if err := p.Demote(t.Context(), directory.Target{ID: "a"}, 2); err != nil {
			t.Fatal(err)
		}
	}
	if len(dialer.conns) != 4 {
		t.Fatalf("%d connections for 4 statements", len(dialer.conns))
	}
	for i, conn := range dialer.conns {
		if conn.statements != 1 || !conn.closed {
			t.Errorf("connection %d: %d statements, closed %v", i, conn.statements, conn.closed)
		}
	}
}
