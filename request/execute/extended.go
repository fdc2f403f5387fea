package execute

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// errTooManyStatements ends a session that exceeds its limit of prepared
// statements.
var errTooManyStatements = errors.New("too many prepared statements")

// handleExtended forwards a message of the response to an extended batch. It
// first checks that the message can belong to the response to the step that is
// due.
func (e *batchExchange) handleExtended(message pgproto3.BackendMessage) error {
	if e.errorCode != "" {
		return e.unexpectedMessage()
	}
	if err := e.respondToLocalSteps(); err != nil {
		return err
	}
	if len(e.expected) == 0 {
		return e.unexpectedMessage()
	}
	current := e.expected[0]
	last, ok := matchResponse(current.kind, message)
	if !ok {
		return e.unexpectedMessage()
	}
	if last {
		e.expected = e.expected[1:]
	}
	if _, parsed := message.(*pgproto3.ParseComplete); parsed {
		if err := e.recordParsed(current); err != nil {
			return err
		}
	}
	if current.hidden {
		return nil
	}
	if complete, ok := message.(*pgproto3.CommandComplete); ok {
		return e.handleCommandComplete(complete)
	}
	return e.pipeline.response.write(message)
}

// matchResponse reports whether a message can belong to the response to a step
// of the kind, and whether it is the last message of that response.
func matchResponse(kind stepKind, message pgproto3.BackendMessage) (last, ok bool) {
	switch message.(type) {
	case *pgproto3.ParseComplete:
		return true, kind == stepParse
	case *pgproto3.BindComplete:
		return true, kind == stepBind
	case *pgproto3.CloseComplete:
		return true, kind == stepClose
	case *pgproto3.ParameterDescription:
		return false, kind == stepDescribeStatement
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return true, kind == stepDescribeStatement || kind == stepDescribePortal
	case *pgproto3.DataRow, *pgproto3.CopyOutResponse, *pgproto3.CopyData, *pgproto3.CopyDone:
		return false, kind == stepExecute
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return true, kind == stepExecute
	default:
		return false, false
	}
}

// respondToLocalSteps responds to the local steps that are due.
func (e *batchExchange) respondToLocalSteps() error {
	for len(e.expected) > 0 && e.expected[0].local {
		current := e.expected[0]
		e.expected = e.expected[1:]
		if err := e.respondToStep(current); err != nil {
			return err
		}
	}
	return nil
}

// respondToStep responds to a Parse or to the Close of a statement.
func (e *batchExchange) respondToStep(current expectedResponse) error {
	if current.kind == stepParse {
		if err := e.recordParsed(current); err != nil {
			return err
		}
		return e.pipeline.response.write(&pgproto3.ParseComplete{})
	}
	e.session.Statements.Delete(current.callerName)
	return e.pipeline.response.write(&pgproto3.CloseComplete{})
}

// recordParsed records a statement that the target has parsed: for the
// connection and, when the caller sent the Parse, for the session.
func (e *batchExchange) recordParsed(current expectedResponse) error {
	e.pipeline.conn.Statements.Add(current.statement.TargetName)
	if current.hidden {
		return nil
	}
	if err := e.session.Statements.Put(current.callerName, current.statement); err != nil {
		return errTooManyStatements
	}
	return nil
}
