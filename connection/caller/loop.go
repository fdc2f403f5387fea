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

// connection is a caller that has logged in.
type connection struct {
	server       *Server
	wire         wire
	session      *session.Session
	secret       [secretBytes]byte
	conversation Conversation
	ctx          context.Context
	cancel       context.CancelCauseFunc
	// blocked is how long the running request has waited for its caller to read.
	blocked time.Duration

	mu struct {
		sync.Mutex
		// waiting is set while the session waits for a request.
		waiting bool
		// boundary is set while the session is outside of a transaction.
		boundary bool
		draining bool
		// ended says why the session must end at once.
		ended *Fatal
	}
}

// drainMessage ends sessions of an instance that leaves.
var drainMessage = &Fatal{Code: sqlstate.AdminShutdown, Message: "the instance is leaving; not run"}

// idleMessage ends sessions whose transaction holds a target connection for
// nothing.
var idleMessage = &Fatal{Code: sqlstate.IdleTransaction, Message: "the transaction was idle for too long and is rolled back; not run"}

// end ends the session at once: the running request's context ends and a wait
// for the next one is broken off.
func (c *connection) end(reason *Fatal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.ended != nil {
		return
	}
	c.mu.ended = reason
	c.cancel(reason)
	if c.mu.waiting {
		c.interrupt()
	}
}

// drain ends the session at the next transaction boundary.
func (c *connection) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.draining = true
	if c.mu.waiting && c.mu.boundary {
		c.interrupt()
	}
}

// interrupt breaks off a wait for the caller.
func (c *connection) interrupt() { _ = c.wire.socket.SetReadDeadline(time.Unix(1, 0)) }

// loop serves requests until the session ends.
func (c *connection) loop() {
	defer c.cancel(nil)
	defer c.conversation.Close()
	for {
		if fatal, ok := c.next(); !ok {
			c.finish(fatal)
			return
		}
		batch, err := c.wire.readBatch(c.server.config.MaxBatchBytes)
		if err != nil {
			c.finish(c.readFailure(err))
			return
		}
		c.blocked = 0
		err = c.conversation.Run(c.ctx, batch, (*port)(c))
		if err != nil {
			var fatal *Fatal
			errors.As(err, &fatal)
			c.finish(fatal)
			return
		}
	}
}

// next waits for a request. It returns false when the session ends, with the
// message for the caller, if any.
func (c *connection) next() (*Fatal, bool) {
	if fatal := c.beginWait(); fatal != nil {
		return fatal, false
	}
	err := c.wire.wait()
	fatal := c.endWait(err == nil)
	if fatal == nil && errors.Is(err, os.ErrDeadlineExceeded) {
		fatal = idleMessage
	}
	return fatal, fatal == nil && err == nil
}

// beginWait records that the session waits, or returns why it ends instead.
func (c *connection) beginWait() *Fatal {
	boundary := !c.conversation.InTransaction()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.ended != nil {
		return c.mu.ended
	}
	if c.mu.draining && boundary {
		return drainMessage
	}
	c.mu.waiting = true
	c.mu.boundary = boundary
	if !boundary {
		_ = c.wire.socket.SetReadDeadline(time.Now().Add(c.server.config.IdleTransactionTimeout))
	}
	return nil
}

// endWait records that a request has begun or that the wait has failed. A
// request that has begun is served to its end when the instance drains.
func (c *connection) endWait(begun bool) *Fatal {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.waiting = false
	if c.mu.ended != nil {
		return c.mu.ended
	}
	if begun {
		if c.mu.draining || !c.mu.boundary {
			_ = c.wire.socket.SetReadDeadline(time.Time{})
		}
		return nil
	}
	if c.mu.draining && c.mu.boundary {
		return drainMessage
	}
	return nil
}

// readFailure says what to tell a caller whose request could not be read.
func (c *connection) readFailure(err error) *Fatal {
	if errors.Is(err, errTerminated) || isDisconnect(err) {
		return nil
	}
	eventProtocol.LogError(c.server.deps.Logger, err, "session", c.session.ID, "customer", string(c.session.Customer))
	return protocolFatal(err)
}

// protocolFatal words the refusal of bad input.
func protocolFatal(err error) *Fatal {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.Is(err, errBatchTooLarge) || errors.As(err, &tooLong) {
		return &Fatal{Code: sqlstate.ProgramLimitExceeded, Message: "request is too large; not run"}
	}
	return &Fatal{Code: sqlstate.ProtocolViolation, Message: "invalid message; not run"}
}

// finish tells the caller why the session ends.
func (c *connection) finish(fatal *Fatal) {
	if fatal == nil {
		return
	}
	eventEnded.Log(c.server.deps.Logger, "session", c.session.ID,
		"customer", string(c.session.Customer), "code", string(fatal.Code), "reason", fatal.Message)
	_ = c.wire.socket.SetWriteDeadline(time.Now().Add(time.Second))
	_ = c.wire.send(fatal.response())
}

// port is the connection as a running request sees it.
type port connection

// Write sends encoded messages to the caller.
func (p *port) Write(encoded []byte) (int, error) {
	began := time.Now()
	deadline := began.Add(p.server.config.WriteTimeout - p.blocked)
	if err := p.wire.socket.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := p.wire.socket.Write(encoded)
	p.blocked += time.Since(began)
	return n, err
}

// Receive returns the caller's next message.
func (p *port) Receive() (pgproto3.FrontendMessage, error) {
	message, _, err := p.wire.receive()
	return message, err
}
