// Package target declares the interface of a connection to a target and the
// errors that such a connection returns. Protocol codecs implement it.
package target

import (
	"context"
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Endpoint identifies the target to connect to and the customer on whose behalf
// the connection is used. Address is host:port.
type Endpoint struct {
	Target   topology.TargetID
	Service  topology.ServiceID
	Address  string
	Customer topology.CustomerID
}

// Conn is an open connection to a target. It is not safe for concurrent use.
type Conn interface {
	// Do sends a statement and reads its response. When the target refuses the
	// statement, the response carries an error code and the error is nil. After
	// an error the connection can only be closed or, when the error is a timeout,
	// used to read the late response. Nothing is sent, and the error is Unusable, if the
	// connection holds bytes that no statement has asked for.
	Do(s statement.Statement, timeout time.Duration) (statement.Response, error)
	// Pipeline sends several statements in one round trip and returns their
	// responses in order.
	Pipeline(statements []statement.Statement, timeout time.Duration) ([]statement.Response, error)
	// ResumeRead continues to read the response to the statement that timed out.
	ResumeRead(timeout time.Duration) (statement.Response, error)
	// Alive reports whether an idle connection is still usable, which means that the target has
	// neither closed it nor sent anything.
	Alive() bool
	// Reusable reports whether a further statement may be sent, as far as is known without
	// looking at the socket: whatever arrives next is the response to that statement.
	Reusable() bool
	Close() error
}

// Dialer opens connections to targets.
type Dialer interface {
	Dial(ctx context.Context, endpoint Endpoint) (Conn, error)
}

// Failure classifies the cause of an Error.
type Failure uint8

// Causes of a connection failure.
const (
	// ConnectionBroken means that the connection was refused by the network, was
	// reset or reached the end of its stream.
	ConnectionBroken Failure = iota + 1
	// Unacknowledged means that the target's host did not acknowledge sent bytes in
	// time.
	Unacknowledged
	// ResponseTimeout means that no response arrived within the timeout.
	ResponseTimeout
	// SessionRefused means that the target itself refused the session.
	SessionRefused
	// InvalidResponse means that what arrived in place of the response departs from the protocol.
	InvalidResponse
	// Unusable means that nothing was sent, because a response to an earlier statement may still
	// arrive on the connection.
	Unusable
	// InvalidStatement means that nothing was sent, because the protocol cannot carry the statement.
	InvalidStatement
)

var failureNames = [...]string{"", "broken", "silent", "late", "refused", "garbled", "unusable", "not encodable"}

// String returns the name of the failure for logs.
func (f Failure) String() string { return failureNames[f] }

// Departure classifies how what a target sends departs from its protocol.
type Departure uint8

// Departures from the protocol. The zero value is none.
const (
	// UnsolicitedBytes: bytes arrived while no statement was outstanding.
	UnsolicitedBytes Departure = iota + 1
	// RepeatedResponse: a response carried the signature of an earlier one.
	RepeatedResponse
	// OutOfOrder: a message is not allowed at its place in the response.
	OutOfOrder
	// InvalidMessage: a message cannot be decoded.
	InvalidMessage
	// ResponseTooLarge: the rows of a response exceed what an instance accepts.
	ResponseTooLarge
)

var departureNames = [...]string{"", "unsolicited", "repeated", "out_of_order", "invalid_message", "too_large"}

// String returns the name of the departure for logs and metrics.
func (d Departure) String() string { return departureNames[d] }

// DepartureFunc observes a departure from the protocol. Detail quotes the begin of the bytes.
// It is called by the goroutine that uses the connection.
type DepartureFunc func(endpoint Endpoint, departure Departure, detail string)

// Error describes the failure of an operation on a connection.
type Error struct {
	// Step is the operation that failed, for example "connect" or "commit".
	Step    string
	Peer    topology.TargetID
	Failure Failure
	// Code is the target's error code when it refused the session, else OK.
	Code statement.Code
	// MaybeSent is set when the target may have received the complete statement.
	MaybeSent bool
	// Err is the underlying cause.
	Err error
}

// Error formats the failure with its operation and target.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at target %s: %s (%s): %v", e.Step, e.Peer, e.Failure, e.Code, e.Err)
}

// Unwrap returns the underlying cause.
func (e *Error) Unwrap() error { return e.Err }
