package edge

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

var (
	eventSessionRefused = event.Define(5100, event.Decision, "session refused")
	eventSessionFailed  = event.Define(5101, event.Decision, "session closed after an error")
)

const (
	// startupTimeout bounds the wait for a caller's startup message.
	startupTimeout = 5 * time.Second
	// servingTimeout is how long a session of a process that has just started waits for
	// the first configuration. Callers give up after two seconds.
	servingTimeout = 1500 * time.Millisecond
)

// CallerCodec reads and writes the messages of one caller's connection.
type CallerCodec interface {
	ReadStartup(timeout time.Duration) (database, key string, err error)
	ReadStatement() (statement.Statement, error)
	SetReadDeadline(t time.Time) error
	// Pending reports whether received data has not been read yet.
	Pending() bool
	WriteReady(state statement.TransactionState, position topology.Point) error
	WriteRefusal(code statement.Code, detail string) error
	WriteResponse(response statement.Response) error
	Close() error
}

// AcceptFunc returns the codec of an accepted connection.
type AcceptFunc func(net.Conn) CallerCodec

// callerConns is the set of open caller connections. It is safe for concurrent use.
type callerConns struct {
	mu     sync.Mutex
	lastID uint64
	conns  map[*callerConn]struct{}
}

// callerConn is an open caller connection.
type callerConn struct {
	codec CallerCodec
	// mu guards the fields below.
	mu sync.Mutex
	// idle reports that no statement is running or pending and no transaction open.
	idle bool
	// closing marks the connection for closing as soon as it is idle.
	closing bool
}

// add adds a connection and returns a unique ID for its session.
func (c *callerConns) add(conn *callerConn) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[*callerConn]struct{})
	}
	c.conns[conn] = struct{}{}
	c.lastID++
	return c.lastID
}

func (c *callerConns) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// snapshot returns the open connections.
func (c *callerConns) snapshot() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*callerConn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	return conns
}

// closeWhenIdle has the connection closed as soon as it is idle. If it is idle now, its
// pending read is interrupted.
func (c *callerConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.idle {
		_ = c.codec.SetReadDeadline(time.Now()) // fails only if the connection is closed already
	}
}

// setIdle records whether the connection is idle, and reports whether it is to be
// closed now.
func (c *callerConn) setIdle(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	return idle && c.closing
}

// serveCaller serves an accepted connection, whose session has the given ID, until it is
// closed.
func (d *Daemon) serveCaller(conn *callerConn, id uint64) {
	codec := conn.codec
	defer d.callers.remove(conn)
	defer codec.Close()
	database, key, err := codec.ReadStartup(startupTimeout)
	if err != nil {
		return // port probes connect without sending anything; there is nobody to respond to
	}
	d.awaitServing()
	clientSession := client.NewSession(id, database, key)
	if code, reason := d.engine.Authorize(clientSession); code != statement.OK {
		eventSessionRefused.Log(d.log, "database", database, "code", code.String(), "why", reason)
		_ = codec.WriteRefusal(code, reason) // the connection is closed in any case
		return
	}
	if err := codec.WriteReady(statement.Idle, topology.Point{}); err != nil {
		return
	}
	session := d.engine.NewSession(clientSession, d.relay)
	defer session.Rollback()
	if err := d.runStatements(conn, session); err != nil {
		eventSessionFailed.Log(d.log, "database", database, "error", err.Error())
	}
}

// awaitServing waits until the daemon has become able to serve, or servingTimeout has
// passed.
func (d *Daemon) awaitServing() {
	timer := time.NewTimer(servingTimeout)
	defer timer.Stop()
	select {
	case <-d.serving:
	case <-timer.C:
	}
}

// runStatements reads and runs a session's statements until the connection is to be
// closed.
func (d *Daemon) runStatements(conn *callerConn, session *engine.Session) error {
	for {
		st, err := d.nextStatement(conn, session)
		if err != nil || st == nil {
			return err
		}
		if err := conn.codec.WriteResponse(session.Run(*st)); err != nil {
			return err
		}
	}
}

// nextStatement reads the next statement. It returns nil when the connection is to be
// closed: the caller has closed it, or it is idle and marked for closing. A transaction
// that holds a target connection expires when the caller idles for longer than the
// configuration allows.
func (d *Daemon) nextStatement(conn *callerConn, session *engine.Session) (*statement.Statement, error) {
	holdsConnection := session.HoldsConnection()
	if holdsConnection {
		limit := d.engine.Catalog().TransactionIdleTimeout
		if limit > 0 {
			if err := conn.codec.SetReadDeadline(time.Now().Add(limit)); err != nil {
				return nil, err
			}
		}
	}
	if conn.setIdle(session.State() == statement.Idle && !conn.codec.Pending()) {
		return nil, nil
	}
	st, err := conn.codec.ReadStatement()
	for errors.Is(err, os.ErrDeadlineExceeded) {
		if conn.setIdle(session.State() == statement.Idle && !conn.codec.Pending()) {
			return nil, nil
		}
		session.ExpireTransaction()
		if err := conn.codec.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		holdsConnection = false
		st, err = conn.codec.ReadStatement()
	}
	conn.setIdle(false)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return nil, nil
	case err != nil:
		return nil, err
	}
	if holdsConnection {
		if err := conn.codec.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
	return &st, nil
}
