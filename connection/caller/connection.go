package caller

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
)

// connection is a caller's connection and, after the login, its session. One
// goroutine runs the login and the requests; terminate, drain and
// handlerSession.Cancel may be called by others.
type connection struct {
	server         *Server
	conn           messageConn
	session        *session.Session
	cancelSecret   [cancelSecretBytes]byte
	handlerSession Session
	// ctx is the context of the login and of the requests. When the session is
	// terminated, its cause is the reason.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// writeDuration is the total duration of the running request's writes to the
	// caller.
	writeDuration time.Duration

	mu struct {
		sync.Mutex
		// waitingForRequest is set while the session waits for a request.
		waitingForRequest bool
		// outsideTransaction is set if the session had no open transaction when it
		// last began to wait for a request.
		outsideTransaction bool
		draining           bool
		// terminationError is set when the session must close immediately.
		terminationError *FatalError
	}
}

// errDraining closes the sessions of a draining instance.
var errDraining = &FatalError{Code: sqlstate.AdminShutdown, Message: "the instance is leaving; not run"}

// errTransactionIdle closes sessions whose open transaction, which holds a target
// connection, was idle for IdleTransactionTimeout.
var errTransactionIdle = &FatalError{Code: sqlstate.IdleInTransactionTimeout, Message: "the transaction was idle for too long and is rolled back; not run"}

// terminate closes the session as soon as possible: it cancels the context of the
// running request, and interrupts the read of the next one or of the data of a COPY.
func (c *connection) terminate(reason *FatalError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.terminationError != nil {
		return
	}
	c.mu.terminationError = reason
	c.cancel(reason)
	c.interruptRead()
}

// drain closes the session at its next transaction boundary, which is now if it
// waits for a request outside a transaction.
func (c *connection) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.draining = true
	if c.mu.waitingForRequest && c.mu.outsideTransaction {
		c.interruptRead()
	}
}

// interruptRead makes a blocked read from the caller fail with
// os.ErrDeadlineExceeded.
func (c *connection) interruptRead() { _ = c.conn.socket.SetReadDeadline(time.Unix(1, 0)) }

// serveRequests reads and runs requests until the session closes.
func (c *connection) serveRequests() {
	defer c.cancel(nil)
	defer c.handlerSession.Close()
	for {
		if fatal, ok := c.waitForRequest(); !ok {
			c.sendFatal(fatal)
			return
		}
		batch, err := c.conn.readBatch(c.server.config.MaxBatchBytes)
		if err != nil {
			c.sendFatal(c.readFailure(err))
			return
		}
		c.writeDuration = 0
		err = c.handlerSession.Run(c.ctx, batch, (*requestStream)(c))
		if err != nil {
			var fatal *FatalError
			errors.As(err, &fatal)
			c.sendFatal(fatal)
			return
		}
	}
}

// waitForRequest waits until a request begins. It returns false when the session
// is to be closed, with the error to send to the caller, if any.
func (c *connection) waitForRequest() (*FatalError, bool) {
	if fatal := c.beginWait(); fatal != nil {
		return fatal, false
	}
	err := c.conn.waitForMessage()
	fatal := c.endWait(err == nil)
	if fatal == nil && errors.Is(err, os.ErrDeadlineExceeded) {
		fatal = errTransactionIdle
	}
	return fatal, fatal == nil && err == nil
}

// beginWait records that the session waits for a request, or returns the error
// with which it is to be closed instead. A wait inside a transaction gets a read
// deadline.
func (c *connection) beginWait() *FatalError {
	outsideTransaction := !c.handlerSession.InTransaction()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.terminationError != nil {
		return c.mu.terminationError
	}
	if c.mu.draining && outsideTransaction {
		return errDraining
	}
	c.mu.waitingForRequest = true
	c.mu.outsideTransaction = outsideTransaction
	if !outsideTransaction {
		_ = c.conn.socket.SetReadDeadline(time.Now().Add(c.server.config.IdleTransactionTimeout))
	}
	return nil
}

// endWait records that a request has started or that the wait has failed, and
// returns the error with which the session is to be closed, if any. A started
// request runs to completion while the instance drains: the read deadline that
// drain may have set is cleared.
func (c *connection) endWait(requestStarted bool) *FatalError {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.waitingForRequest = false
	if c.mu.terminationError != nil {
		return c.mu.terminationError
	}
	if requestStarted {
		if c.mu.draining || !c.mu.outsideTransaction {
			_ = c.conn.socket.SetReadDeadline(time.Time{})
		}
		return nil
	}
	if c.mu.draining && c.mu.outsideTransaction {
		return errDraining
	}
	return nil
}

// readFailure returns the error to send to the caller after a request could not be
// read: the reason of the termination, if that interrupted the read.
func (c *connection) readFailure(err error) *FatalError {
	if fatal := c.interruption(err); fatal != nil {
		return fatal
	}
	return c.classifyReadError(err)
}

// interruption returns the reason of the termination if that interrupted the read that
// failed with err, else nil. What was being read has not run.
func (c *connection) interruption(err error) *FatalError {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.mu.terminationError
}

// classifyReadError logs a protocol violation in a request and returns the error
// to send to the caller. It returns nil when the caller has disconnected.
func (c *connection) classifyReadError(err error) *FatalError {
	if errors.Is(err, errTerminated) || isDisconnect(err) {
		return nil
	}
	eventProtocolViolation.LogError(c.server.deps.Logger, err, "session", c.session.ID, "customer", string(c.session.Customer))
	return newInputError(err)
}

// newInputError returns the error to send for input that is malformed or too
// large.
func newInputError(err error) *FatalError {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.Is(err, errBatchTooLarge) || errors.As(err, &tooLarge) {
		return &FatalError{Code: sqlstate.ProgramLimitExceeded, Message: "request is too large; not run"}
	}
	return &FatalError{Code: sqlstate.ProtocolViolation, Message: "invalid message; not run"}
}

// sendFatal logs and sends the error with which the session closes. It does
// nothing for nil.
func (c *connection) sendFatal(fatal *FatalError) {
	if fatal == nil {
		return
	}
	eventSessionClosed.Log(c.server.deps.Logger, "session", c.session.ID,
		"customer", string(c.session.Customer), "code", string(fatal.Code), "reason", fatal.Message)
	_ = c.conn.socket.SetWriteDeadline(time.Now().Add(time.Second))
	_ = c.conn.send(fatal.errorResponse())
}

// requestStream is the connection as passed to the handler that runs a request.
type requestStream connection

// Write sends encoded messages to the caller. WriteTimeout bounds the total duration
// of all writes of one request.
func (s *requestStream) Write(encoded []byte) (int, error) {
	startedAt := time.Now()
	deadline := startedAt.Add(s.server.config.WriteTimeout - s.writeDuration)
	if err := s.conn.socket.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := s.conn.socket.Write(encoded)
	s.writeDuration += time.Since(startedAt)
	return n, err
}

// Receive returns the caller's next message. Its error is a *FatalError when the
// session has been terminated.
func (s *requestStream) Receive() (pgproto3.FrontendMessage, error) {
	message, _, err := s.conn.receive()
	if err != nil {
		if fatal := (*connection)(s).interruption(err); fatal != nil {
			return nil, fatal
		}
	}
	return message, err
}
