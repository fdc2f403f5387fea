// Package upstream connects to targets over the PostgreSQL wire protocol: dialing,
// login with the instance's own credentials and the exchange of messages. A
// connection holds the target's messages against the protocol's grammar of responses,
// so that one with an incomplete, late or malformed response is closed rather than
// reused. The package neither pools connections nor chooses targets.
package upstream

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/topology"
)

// maxMessageBytes bounds the body of a message from a target.
const maxMessageBytes = 1 << 28

// terminateTimeout bounds the sending of Terminate on Close.
const terminateTimeout = 100 * time.Millisecond

// TransactionStatus is the transaction status byte of ReadyForQuery.
type TransactionStatus byte

// Transaction statuses.
const (
	Idle              TransactionStatus = 'I'
	InTransaction     TransactionStatus = 'T'
	FailedTransaction TransactionStatus = 'E'
)

// Config holds a target's address and the credentials for it.
type Config struct {
	Target   topology.TargetID
	Address  string
	Database string
	User     string
	Password string
	// TLS, when set, is required for the connection.
	TLS *tls.Config
}

// Conn is a connection to a target. It is used by one goroutine at a time, except
// Interrupt, Cancel, MarkBroken and Close, which are safe for concurrent use.
type Conn struct {
	config       Config
	socket       net.Conn
	frontend     *pgproto3.Frontend
	processID    uint32
	cancelSecret []byte
	status       TransactionStatus
	// grammar follows the outstanding responses.
	grammar grammar
	// broken is set once the connection must not be reused.
	broken atomic.Bool

	// Statements are the prepared statements of the target's session.
	Statements Statements
	// Settings are the session settings that were set on the connection.
	Settings Settings
	// SettingsUnknown is set when the target's session may have settings that are not
	// recorded in Settings.
	SettingsUnknown bool
	// LastTransactionID is the last transaction ID that the target reported on the
	// connection, which the next must exceed.
	LastTransactionID uint64
}

// Settings are the SQL values of a connection's session settings by name.
type Settings map[string]string

// ProtocolError reports that a target violated the wire protocol.
type ProtocolError struct {
	Target topology.TargetID
	Reason string
}

// Error names the target and the violation.
func (e *ProtocolError) Error() string {
	return "target " + string(e.Target) + " violated the protocol: " + e.Reason
}

// Target returns the target's ID.
func (c *Conn) Target() topology.TargetID { return c.config.Target }

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() TransactionStatus { return c.status }

// Send queues a message until Flush.
func (c *Conn) Send(message pgproto3.FrontendMessage) {
	c.grammar.sent(message)
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

// Receive returns the target's next message, valid until the next call. It returns a
// *ProtocolError for a message that cannot come at this point of the outstanding responses.
// The connection is broken then, as after any error.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	message, err := c.frontend.Receive()
	if err != nil {
		c.broken.Store(true)
		return nil, eris.Wrapf(err, "receive from target %s", c.config.Target)
	}
	switch message.(type) {
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return message, nil
	}
	if !c.grammar.accept(message, c.status) {
		c.broken.Store(true)
		return nil, &ProtocolError{c.config.Target, messageName(message) + " does not continue the response"}
	}
	if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
		c.status = TransactionStatus(ready.TxStatus)
	}
	return message, nil
}

// messageName returns the name of the kind of a message.
func messageName(message pgproto3.BackendMessage) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", message), "*pgproto3.")
}

// HasBufferedInput reports whether received bytes wait for Receive.
func (c *Conn) HasBufferedInput() bool { return c.frontend.ReadBufferLen() > 0 }

// Interrupt makes blocked and later reads and writes fail. The connection cannot be
// used again.
func (c *Conn) Interrupt() {
	c.broken.Store(true)
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// InterruptOnDone interrupts the connection when the context is done, unless stop is
// called before. If the context is done by then, the connection has been
// interrupted when stop returns.
func (c *Conn) InterruptOnDone(ctx context.Context) (stop func()) {
	cancel := context.AfterFunc(ctx, c.Interrupt)
	return func() {
		if !cancel() {
			c.Interrupt()
		}
	}
}

// Reusable reports whether the connection can serve another session: every response
// is complete, no transaction is open and it is not broken.
func (c *Conn) Reusable() bool {
	return !c.broken.Load() && c.grammar.idle() && c.status == Idle && !c.HasBufferedInput()
}

// MarkBroken keeps the connection from being reused.
func (c *Conn) MarkBroken() { c.broken.Store(true) }

// Close closes the connection. It sends Terminate first, unless the connection is
// broken.
func (c *Conn) Close() error {
	if c.broken.Load() {
		return c.socket.Close()
	}
	_ = c.socket.SetDeadline(time.Now().Add(terminateTimeout))
	c.frontend.Send(&pgproto3.Terminate{})
	_ = c.frontend.Flush()
	return c.socket.Close()
}
