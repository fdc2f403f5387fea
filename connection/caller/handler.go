package caller

import (
	"context"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
)

// Handler executes requests. Package request/execute implements it.
type Handler interface {
	// Open returns the conversation of a session that has just logged in.
	Open(s *session.Session) Conversation
}

// Conversation executes the requests of one session, one after the other.
type Conversation interface {
	// Run executes the batch and writes its whole answer to the port. A *Fatal
	// ends the session with that message; any other error ends it without one.
	Run(ctx context.Context, batch *Batch, port Port) error
	// InTransaction reports whether the session is inside of a transaction.
	InTransaction() bool
	// Cancel asks the target to stop the running request, if there is one. It
	// is called from other goroutines.
	Cancel(ctx context.Context)
	// Close gives back what the session holds. An open transaction is rolled
	// back.
	Close()
}

// Port is the caller's side of a running request.
type Port interface {
	// Write sends encoded messages.
	io.Writer
	// Receive returns the caller's next message, valid until the next call. It
	// is used during COPY.
	Receive() (pgproto3.FrontendMessage, error)
}

// Fatal is an error that ends a session and is told to the caller.
type Fatal struct {
	Code    sqlstate.Code
	Message string
	Detail  string
}

// Error returns the message.
func (f *Fatal) Error() string { return string(f.Code) + " " + f.Message }

// response returns the message that tells the caller.
func (f *Fatal) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                string(f.Code),
		Message:             f.Message,
		Detail:              f.Detail,
	}
}
