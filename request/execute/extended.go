package execute

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// errTooManyStatements ends a session that prepares without bound.
var errTooManyStatements = errors.New("too many prepared statements")

// takeExtended matches a message to the step that it answers.
func (b *body) takeExtended(message pgproto3.BackendMessage) error {
	if b.code != "" {
		return b.unexpected()
	}
	if err := b.answerLocal(); err != nil {
		return err
	}
	if len(b.expected) == 0 {
		return b.unexpected()
	}
	current := b.expected[0]
	last, ok := answers(current.kind, message)
	if !ok {
		return b.unexpected()
	}
	if last {
		b.expected = b.expected[1:]
	}
	if _, parsed := message.(*pgproto3.ParseComplete); parsed {
		if err := b.parsed(current); err != nil {
			return err
		}
	}
	if current.hidden {
		return nil
	}
	if complete, ok := message.(*pgproto3.CommandComplete); ok {
		return b.complete(complete)
	}
	return b.flight.out.add(message)
}

// answers reports whether a message can answer a step and whether it is the
// last one to do so.
func answers(kind stepKind, message pgproto3.BackendMessage) (last, ok bool) {
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

// answerLocal answers the steps at the front that need no target.
func (b *body) answerLocal() error {
	for len(b.expected) > 0 && b.expected[0].local {
		current := b.expected[0]
		b.expected = b.expected[1:]
		if err := b.answerStep(current); err != nil {
			return err
		}
	}
	return nil
}

func (b *body) answerStep(current expectation) error {
	if current.kind == stepParse {
		if err := b.parsed(current); err != nil {
			return err
		}
		return b.flight.out.add(&pgproto3.ParseComplete{})
	}
	b.session.Statements.Delete(current.name)
	return b.flight.out.add(&pgproto3.CloseComplete{})
}

// parsed records a statement that the target has taken.
func (b *body) parsed(current expectation) error {
	b.flight.conn.Statements.Add(current.statement.Internal)
	if current.hidden {
		return nil
	}
	if err := b.session.Statements.Put(current.name, current.statement); err != nil {
		return errTooManyStatements
	}
	return nil
}
