package caller

import (
	"context"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
)

// Handler executes the requests of callers. Package request/execute implements
// it.
type Handler interface {
	// NewSession returns the executor of a session that has just logged in.
	NewSession(s *session.Session) Session
}

// Session executes the requests of one session, one after the other.
// Its methods are called by the goroutine of the session, except Cancel.
type Session interface {
	// Run executes the batch and writes its whole response to the stream. Any
	// error closes the session; a fatal error is sent to the caller first.
	Run(ctx context.Context, batch *Batch, stream MessageStream) error
	// InTransaction reports whether the session has an open transaction.
	InTransaction() bool
	// Cancel sends a cancel request to the target that is running the session's
	// request, if there is one. It is safe for concurrent use.
	Cancel(ctx context.Context)
	// Abandon ends the wait for the outcome of a commit, which the context of Run does
	// not end: Run then responds that the outcome is unknown. It is safe for
	// concurrent use.
	Abandon()
	// Close rolls back an open transaction and releases what the session holds.
	Close()
}

// MessageStream carries the messages between a running request and its caller.
type MessageStream interface {
	// Writer sends encoded messages to the caller.
	io.Writer
	// Receive returns the caller's next message, valid until the next call. It
	// serves COPY, during which the caller sends data within a request.
	Receive() (pgproto3.FrontendMessage, error)
}

// FatalError is an error that closes a session. It is sent to the caller as an
// ErrorResponse of severity FATAL.
type FatalError struct {
	Code    sqlstate.Code
	Message string
	Detail  string
}

// Error returns the SQLSTATE code and the message.
func (f *FatalError) Error() string { return string(f.Code) + " " + f.Message }

// errorResponse returns the ErrorResponse to send to the caller.
func (f *FatalError) errorResponse() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                string(f.Code),
		Message:             f.Message,
		Detail:              f.Detail,
	}
}
