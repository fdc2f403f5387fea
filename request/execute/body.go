package execute

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/request/classify"
)

// largeBatchBytes is the size from which a batch is sent while its answer is
// received, since the target may stop reading until it has sent what it has.
const largeBatchBytes = 16 << 10

// expectation is a step whose answer the target owes, or that is answered here.
type expectation struct {
	step
	// hidden answers are not the caller's.
	hidden bool
	// local steps are answered without the target.
	local bool
}

// body is the part of a flight that carries the caller's own messages.
type body struct {
	flight  *flight
	session *session.Session
	plan    *plan
	// expected are the open steps of an extended batch, in order.
	expected []expectation
	// parsing holds statements that are sent and not yet confirmed.
	parsing map[string]struct{}
	// sent receives the outcome of sending a large batch.
	sent chan error
	// moves is set when the batch goes elsewhere once it is refused as a write;
	// the refusal is then not the caller's.
	moves bool
	// replica is set when the batch also goes elsewhere after a conflict with
	// the replay of the log (PostgreSQL documentation, chapter 27.4.2).
	replica bool
	// refusal is the refusal that moves was set for.
	refusal *pgproto3.ErrorResponse
	// code is the SQLSTATE of the error that ended the batch, if any.
	code sqlstate.Code
	// tag is the last command tag.
	tag string
}

// queueBody queues the caller's messages.
func (f *flight) queueBody(s *session.Session, p *plan) *body {
	b := &body{flight: f, session: s, plan: p}
	if p.batch.Query != nil {
		f.conn.Send(p.batch.Query)
		return b
	}
	b.evict()
	for _, s := range p.steps {
		b.queueStep(s)
	}
	f.conn.Send(&pgproto3.Sync{})
	return b
}

// start sends what is queued.
func (b *body) start() error {
	if b.plan.batch.Bytes < largeBatchBytes {
		return b.flight.conn.Flush()
	}
	b.sent = make(chan error, 1)
	go func() { b.sent <- b.flight.conn.Flush() }()
	return nil
}

// evict closes statements of which the connection holds too many.
func (b *body) evict() {
	conn := b.flight.conn
	for name, ok := conn.Statements.Evict(); ok; name, ok = conn.Statements.Evict() {
		conn.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
		b.expected = append(b.expected, expectation{step: step{kind: stepClose}, hidden: true})
	}
}

// queueStep queues one message, after the Parse of a statement that the target
// doesn't know.
func (b *body) queueStep(s step) {
	switch s.kind {
	case stepParse:
		if b.isKnown(s.statement.Internal) {
			b.expected = append(b.expected, expectation{step: s, local: true})
			return
		}
		b.parsing[s.statement.Internal] = struct{}{}
	case stepBind, stepDescribeStatement:
		if !b.isKnown(s.statement.Internal) {
			b.queueParse(s.statement)
		}
	case stepClose:
		if s.message == nil {
			b.expected = append(b.expected, expectation{step: s, local: true})
			return
		}
	}
	b.flight.conn.Send(s.message)
	b.expected = append(b.expected, expectation{step: s})
}

// isKnown reports whether the target knows the statement, or will.
func (b *body) isKnown(internal string) bool {
	if b.parsing == nil {
		b.parsing = make(map[string]struct{})
	}
	_, underway := b.parsing[internal]
	return underway || b.flight.conn.Statements.Has(internal)
}

func (b *body) queueParse(statement session.Statement) {
	b.parsing[statement.Internal] = struct{}{}
	b.flight.conn.Send(&pgproto3.Parse{
		Name:          statement.Internal,
		Query:         statement.Query,
		ParameterOIDs: statement.ParameterOIDs,
	})
	hidden := expectation{step: step{kind: stepParse, statement: statement}, hidden: true}
	b.expected = append(b.expected, hidden)
}

// relay receives the answer to the caller's messages and hands it to the
// caller, without the final ReadyForQuery.
func (b *body) relay() error {
	err := b.receive()
	if b.sent == nil {
		return err
	}
	if err != nil {
		b.flight.conn.Interrupt()
	}
	if sendErr := <-b.sent; err == nil {
		err = sendErr
	}
	return err
}

func (b *body) receive() error {
	for {
		message, err := b.flight.conn.Receive()
		if err != nil {
			return err
		}
		switch message := message.(type) {
		case *pgproto3.ReadyForQuery:
			return b.end()
		case *pgproto3.NotificationResponse:
			continue
		case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
			err = b.flight.out.add(message)
		case *pgproto3.ErrorResponse:
			err = b.fail(message)
		default:
			err = b.take(message)
		}
		if err != nil {
			b.flight.conn.MarkBroken()
			return err
		}
	}
}

// fail takes an error of the target, which ends the batch.
func (b *body) fail(message *pgproto3.ErrorResponse) error {
	if isFatal(message) {
		return b.flight.lost(message)
	}
	b.code = sqlstate.Code(message.Code)
	if b.isMoved() {
		kept := *message
		b.refusal = &kept
		return nil
	}
	return b.flight.out.add(message)
}

// isMoved reports whether the batch goes elsewhere after its error.
func (b *body) isMoved() bool {
	switch b.code {
	case sqlstate.ReadOnlyTransaction:
		return b.moves
	case sqlstate.SerializationFailure:
		return b.replica && !b.flight.out.forwarded
	default:
		return false
	}
}

// take passes on one message of an answer.
func (b *body) take(message pgproto3.BackendMessage) error {
	if b.plan.batch.Query == nil {
		return b.takeExtended(message)
	}
	switch message := message.(type) {
	case *pgproto3.CommandComplete:
		return b.complete(message)
	case *pgproto3.CopyInResponse:
		return b.copyIn(message)
	case *pgproto3.RowDescription, *pgproto3.DataRow, *pgproto3.EmptyQueryResponse,
		*pgproto3.CopyOutResponse, *pgproto3.CopyData, *pgproto3.CopyDone:
		return b.flight.out.add(message)
	default:
		return b.unexpected()
	}
}

func (b *body) unexpected() error {
	return &upstream.ProtocolError{Target: b.flight.conn.Target(), Reason: "answer of another request"}
}

// complete passes on a CommandComplete, or holds it until the commit.
func (b *body) complete(message *pgproto3.CommandComplete) error {
	b.tag = string(message.CommandTag)
	if !b.fits() {
		return b.unexpected()
	}
	if b.flight.holding {
		return b.flight.out.hold(message)
	}
	return b.flight.out.add(message)
}

// fits reports whether the command tag can belong to the batch: the tags of
// statements that begin and end transactions are those of no others.
func (b *body) fits() bool {
	controls := false
	for _, tag := range []string{tagBegin, tagStart, tagCommit, tagRollback} {
		controls = controls || b.tag == tag
	}
	statement := &b.plan.statement
	switch statement.Kind {
	case classify.KindCommit, classify.KindRollback:
		return controls
	case classify.KindBegin, classify.KindBare, classify.KindInTransaction:
		return true
	default:
		return !controls || statement.Ends
	}
}

// end checks that the whole batch has been answered.
func (b *body) end() error {
	if b.code != "" || b.plan.batch.Query != nil {
		return nil
	}
	if err := b.answerLocal(); err != nil {
		return err
	}
	if len(b.expected) > 0 {
		b.flight.conn.MarkBroken()
		return b.unexpected()
	}
	return nil
}
