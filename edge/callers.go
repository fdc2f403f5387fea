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
	if err := d.runStatements(conn, session); err != nil && !errors.Is(err, net.ErrClosed) {
		eventSessionFailed.Log(d.log, "database", database, "error", err.Error())
	}
}

// awaitServing waits until the daemon has become able to serve, or servingTimeout has
// passed, or the daemon shuts down.
func (d *Daemon) awaitServing() {
	timer := time.NewTimer(servingTimeout)
	defer timer.Stop()
	select {
	case <-d.serving:
	case <-d.draining:
	case <-timer.C:
	}
}

// callerSession runs the statements of one caller. engine.Session implements it.
type callerSession interface {
	Run(st statement.Statement) statement.Response
	// Refuse reports a statement that is not run.
	Refuse(st statement.Statement, code statement.Code, reason string) statement.Response
	State() statement.TransactionState
	HoldsConnection() bool
	MayWrite(st statement.Statement) bool
	// KeyWithdrawn reports whether the key of an open transaction is known to have been
	// withdrawn.
	KeyWithdrawn() bool
	// ExpireWithdrawn rolls back an open transaction if its key is known to have been
	// withdrawn. The caller learns of it with its next statement.
	ExpireWithdrawn()
	// EndSends lets no more statement be sent whose effect would be in doubt, and reports whether the
	// running one may have been. It is called by another goroutine than the session's.
	EndSends() (sent bool)
	// StatementTimeout returns the timeout of the session's statements.
	StatementTimeout() time.Duration
	// ExpireTransaction rolls back an open transaction. The caller receives the reason with
	// its next statement.
	ExpireTransaction(reason string)
}

// runStatements reads and runs a session's statements until the connection is to be
// closed.
func (d *Daemon) runStatements(conn *callerConn, session callerSession) error {
	for {
		st, err := d.nextStatement(conn, session)
		if err != nil || st == nil {
			return err
		}
		if !conn.begin(*st, session) {
			return conn.codec.WriteResponse(session.Refuse(*st, statement.Busy, reasonShutdown))
		}
		response := d.runStatement(conn, session, *st)
		if err := conn.respond(response); err != nil {
			return err
		}
	}
}

// runStatement runs a statement. During a shutdown, a statement that may not be complete
// before the process exits is refused. Its session ends, so that the caller repeats it elsewhere.
func (d *Daemon) runStatement(conn *callerConn, session callerSession, st statement.Statement) statement.Response {
	if !st.Kind.UsesTarget() || d.admitsStatement(session.StatementTimeout()) {
		return session.Run(st)
	}
	conn.closeWhenIdle()
	if session.State() == statement.Idle {
		return session.Refuse(st, statement.Busy, reasonShutdown)
	}
	session.ExpireTransaction(reasonShutdown)
	return session.Run(st)
}

// nextStatement reads the next statement. It returns nil when the connection is to be
// closed: the caller has closed it, or it is idle and marked for closing. A transaction
// expires when it holds a target connection and the caller idles for longer than the
// configuration allows, when its key is withdrawn, or when its statements are no longer
// admitted by a shutdown.
func (d *Daemon) nextStatement(conn *callerConn, session callerSession) (*statement.Statement, error) {
	var idleEnd time.Time
	lingerEnd := earliest(time.Now().Add(lingerTime), d.admissionEnd(session))
	if limit := d.transactionIdleTimeout(); limit > 0 && session.HoldsConnection() {
		idleEnd = time.Now().Add(limit)
	}
	for {
		toClose, err := conn.awaitStatement(session.State() == statement.Idle, lingerEnd, func() time.Time {
			return earliest(idleEnd, d.transactionEnd(session))
		})
		if err != nil {
			return nil, err
		}
		if toClose {
			return nil, d.dismiss(conn)
		}
		st, err := conn.codec.ReadStatement()
		conn.endWait()
		switch now := time.Now(); {
		case err == nil:
			return &st, nil
		case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
			return nil, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case session.KeyWithdrawn():
			session.ExpireWithdrawn()
		case reached(idleEnd, now):
			session.ExpireTransaction("the transaction rested too long")
			idleEnd = time.Time{}
		case reached(d.transactionEnd(session), now):
			session.ExpireTransaction(reasonShutdown)
		}
	}
}

// transactionIdleTimeout returns how long a transaction that holds a target connection may
// idle, zero for no limit.
func (d *Daemon) transactionIdleTimeout() time.Duration {
	if c := d.engine.Catalog(); c != nil {
		return c.TransactionIdleTimeout
	}
	return 0
}

// earliest returns the earlier of two times, of which zero ones are ignored.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// reached reports whether a time that is not zero has come.
func reached(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }
