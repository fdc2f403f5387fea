package edge

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// slowCodec is the codec of a caller whose startup message arrives when the test closes
// startup.
type slowCodec struct {
	net.Conn
	startup chan struct{}
}

func (c slowCodec) ReadStartup(time.Duration) (database, key string, err error) {
	<-c.startup
	return "", "", errors.New("no startup message")
}
func (slowCodec) ReadStatement() (statement.Statement, error) { return statement.Statement{}, nil }
func (slowCodec) Pending() bool                               { return false }
func (slowCodec) WriteReady(statement.TransactionState, topology.Point) error {
	return nil
}
func (slowCodec) WriteRefusal(statement.Code, string) error { return nil }
func (slowCodec) WriteResponse(statement.Response) error    { return nil }

// The load balancer sends callers to an instance that is shutting down when too few others
// are ready. In hunt 9f29, day scale-1 with seed 379214870588, the instance saw that all
// sessions had ended, accepted another one while it unregistered, and exited in the middle
// of its request.
func TestShutdownWaitsForTheLastAcceptedConnection(t *testing.T) {
	startup := make(chan struct{})
	d := New(Options{Settings: entrysettings.Settings{Instance: "self"}, Log: logr.Discard(),
		Adapter: Adapter{Accept: func(conn net.Conn) CallerCodec { return slowCodec{conn, startup} }}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newAcceptor(listener)
	served := make(chan error, 1)
	go func() { served <- d.serveCallers(a) }()
	connect := func() error {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
		return err
	}
	if err := connect(); err != nil {
		t.Fatal(err)
	}
	for d.callers.count() == 0 {
		time.Sleep(time.Millisecond) // until the connection is accepted
	}
	finished := make(chan struct{})
	go func() {
		d.finishCallers(a, time.Now().Add(time.Hour))
		close(finished)
	}()
	<-a.stopped
	if err := connect(); err == nil {
		t.Error("a connection is accepted during the last part of the shutdown")
	}
	select {
	case <-finished:
		t.Error("the shutdown did not wait for an open session")
	default:
	}
	close(startup)
	<-finished
	if d.callers.count() != 0 {
		t.Error("sessions are left")
	}
	// The end of any part of the daemon ends all others, such as the links to the owners
	// that run the last sessions' operations.
	select {
	case <-served:
		t.Fatal("the daemon's part that serves callers has ended before the shutdown is complete")
	default:
	}
	d.cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
