package edge

import (
	"errors"
	"io"
	"net"
	"os"
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
		conn.begin(st)
		response := session.Run(*st)
		conn.end()
		if err := conn.codec.WriteResponse(response); err != nil {
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
