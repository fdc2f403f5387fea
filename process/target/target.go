// Package target declares a connection to one target and the errors that arise
// on it. Codecs implement it.
package target

import (
	"context"
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Endpoint says where to connect and as whom.
type Endpoint struct {
	Target   topology.TargetID
	Service  topology.ServiceID
	Address  string
	Customer topology.CustomerID
}

// Conn is an open connection. It is used by one goroutine at a time.
type Conn interface {
	// Do sends a statement and reads its answer. A refusal by the target is an
	// answer, not an error. After an error the connection can only be closed,
	// or drained by Resume when the error is a timeout.
	Do(s statement.Statement, timeout time.Duration) (statement.Answer, error)
	// Pipeline sends several statements at once and returns their answers.
	Pipeline(statements []statement.Statement, timeout time.Duration) ([]statement.Answer, error)
	// Resume reads on for the answer that timed out.
	Resume(timeout time.Duration) (statement.Answer, error)
	// Alive reports whether an idle connection can be used: the peer has not
	// closed it.
	Alive() bool
	Close() error
}

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, endpoint Endpoint) (Conn, error)
}

// Failure classifies an Error.
type Failure uint8

// Failures of a connection.
const (
	// Broken is a reset, a refused connection or an end of stream.
	Broken Failure = iota + 1
	// Silent is a peer that does not acknowledge what was sent.
	Silent
	// Late is an answer that did not come within the timeout.
	Late
	// Refused is a refusal of the connection by the target itself.
	Refused
	// Garbled is an answer that cannot be decoded.
	Garbled
)

var failureNames = [...]string{"", "broken", "silent", "late", "refused", "garbled"}

// String names the failure.
func (f Failure) String() string { return failureNames[f] }

// Error is a failure of a connection with the step and the peer.
type Error struct {
	Step    string
	Peer    topology.TargetID
	Failure Failure
	// Code is the target's refusal when Failure is Refused.
	Code statement.Code
	// Sent reports that the target may have received the statement.
	Sent bool
	Err  error
}

// Error formats the failure with its step and peer.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at target %s: %s (%s): %v", e.Step, e.Peer, e.Failure, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
