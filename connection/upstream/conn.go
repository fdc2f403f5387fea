// Package upstream holds connections to targets: dialing, login with the
// daemon's own credentials and the exchange of messages. A connection counts
// the answers that it is owed, so that one with an unfinished or late answer is
// known and closed. The package neither pools connections nor chooses targets.
package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/topology"
)

// maxAnswerBytes is the longest message that is accepted from a target.
const maxAnswerBytes = 1 << 28

// closeTimeout bounds the farewell to a target.
const closeTimeout = 100 * time.Millisecond

// TransactionStatus is the status byte of ReadyForQuery.
type TransactionStatus byte

// Statuses.
const (
	Idle          TransactionStatus = 'I'
	InTransaction TransactionStatus = 'T'
	Failed        TransactionStatus = 'E'
)

// Config says how to reach a target.
type Config struct {
	Target   topology.TargetID
	Address  string
	Database string
	User     string
	Password string
	// TLS, when set, is used for the connection; the target must accept it.
	TLS *tls.Config
}

// Conn is a connection to a target. One goroutine uses it at a time, but for
// Interrupt, Cancel and Close, which are safe for concurrent use.
type Conn struct {
	config   Config
	net      net.Conn
	frontend *pgproto3.Frontend
	process  uint32
	secret   []byte
	status   TransactionStatus
	// owed counts the ReadyForQuery messages that the target has yet to send.
	owed   int
	broken atomic.Bool

	// Statements are the prepared statements that the target knows.
	Statements Statements
	// Settings are the session settings that are in force.
	Settings Settings
	// Dirty is set when the target may hold settings that aren't recorded.
	Dirty bool
}

// Settings are the session settings in force on a connection, by name.
type Settings map[string]string

// ProtocolError reports that a target broke the protocol.
type ProtocolError struct {
	Target topology.TargetID
	Reason string
}

// Error describes the violation.
func (e *ProtocolError) Error() string {
	return "target " + string(e.Target) + " broke the protocol: " + e.Reason
}

// Target returns the target's identifier.
func (c *Conn) Target() topology.TargetID { return c.config.Target }

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() TransactionStatus { return c.status }

// Send queues a message until Flush.
func (c *Conn) Send(message pgproto3.FrontendMessage) {
	switch message.(type) {
	case *pgproto3.Query, *pgproto3.Sync:
		c.owed++
	}
	c.frontend.Send(message)
}

// Flush writes the queued messages.
func (c *Conn) Flush() error {
	if err := c.frontend.Flush(); err != nil {
		c.broken.Store(true)
		return eris.Wrapf(err, "send to target %s", c.config.Target)
	}
	return nil
}

// Receive returns the target's next message, valid until the next call. A
// message that no request asked for is a ProtocolError.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	message, err := c.frontend.Receive()
	if err != nil {
		c.broken.Store(true)
		return nil, eris.Wrapf(err, "receive from target %s", c.config.Target)
	}
	switch message := message.(type) {
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return message, nil
	case *pgproto3.ReadyForQuery:
		c.owed--
		c.status = TransactionStatus(message.TxStatus)
	}
	if c.owed < 0 || (c.owed == 0 && !isReady(message)) {
		c.broken.Store(true)
		return nil, &ProtocolError{c.config.Target, "answer without a request"}
	}
	return message, nil
}

func isReady(message pgproto3.BackendMessage) bool {
	_, ready := message.(*pgproto3.ReadyForQuery)
	return ready
}

// Buffered reports whether a part of the answer waits to be received.
func (c *Conn) Buffered() bool { return c.frontend.ReadBufferLen() > 0 }

// Interrupt makes blocked and later calls fail. The connection can't be used
// again.
func (c *Conn) Interrupt() {
	c.broken.Store(true)
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

// InterruptAfter interrupts the connection when the context ends, until the
// returned function is called.
func (c *Conn) InterruptAfter(ctx context.Context) (stop func()) {
	cancel := context.AfterFunc(ctx, c.Interrupt)
	return func() {
		if !cancel() {
			c.Interrupt()
		}
	}
}

// Reusable reports whether the connection has answered everything, is outside
// of a transaction and was never interrupted.
func (c *Conn) Reusable() bool {
	return !c.broken.Load() && c.owed == 0 && c.status == Idle && !c.Buffered()
}

// MarkBroken keeps the connection from being used again.
func (c *Conn) MarkBroken() { c.broken.Store(true) }

// Close ends the connection.
func (c *Conn) Close() error {
	if c.broken.Load() {
		return c.net.Close()
	}
	_ = c.net.SetDeadline(time.Now().Add(closeTimeout))
	c.frontend.Send(&pgproto3.Terminate{})
	_ = c.frontend.Flush()
	return c.net.Close()
}
