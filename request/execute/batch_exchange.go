package execute

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/request/classify"
)

// concurrentFlushBytes is the size from which a batch is sent and its response
// received at the same time. Otherwise both sides could block: the target
// does not read on while nobody reads its response.
const concurrentFlushBytes = 16 << 10

// expectedResponse is a step of an extended batch whose response is
// outstanding.
type expectedResponse struct {
	batchStep
	// hidden is set for a step that the instance added; its response is not
	// forwarded to the caller.
	hidden bool
	// local is set for a step that was not sent; the instance responds to it.
	local bool
}

// batchExchange is the part of a pipeline that carries the caller's batch and
// its response.
type batchExchange struct {
	pipeline *pipeline
	session  *session.Session
	plan     *batchPlan
	// expected are the outstanding responses of an extended batch, in order.
	expected []expectedResponse
	// pendingParses are the target names of the statements for which a Parse was
	// queued.
	pendingParses map[string]struct{}
	// flushed receives the result of sending a large batch. It is nil when the
	// batch was sent before its response is received.
	flushed chan error
	// withholdWriteRefusal keeps the target's refusal of a write in a read-only
	// transaction from the caller, since the batch may run elsewhere.
	withholdWriteRefusal bool
	// withholdConflict does the same with a conflict between a read on a
	// replica and the replay of the log (PostgreSQL documentation, chapter
	// 27.4.2).
	withholdConflict bool
	// withheldError is the error that was kept from the caller, or nil.
	withheldError *pgproto3.ErrorResponse
	// errorCode is the SQLSTATE of the error that ended the batch, if any.
	errorCode sqlstate.Code
	// statusBefore is the transaction status before the batch.
	statusBefore status
	// commandTag is that of the last CommandComplete.
	commandTag string
	// changedRows is set once a command tag has counted changed rows.
	changedRows bool
}

// queueBatch queues the caller's messages, for extended ones with the Parse
// messages that the target connection lacks and a Sync.
func (p *pipeline) queueBatch(s *session.Session, plan *batchPlan) *batchExchange {
	e := &batchExchange{pipeline: p, session: s, plan: plan}
	if plan.batch.Query != nil {
		p.conn.Send(plan.batch.Query)
		return e
	}
	e.queueEvictions()
	for _, step := range plan.steps {
		e.queueStep(step)
	}
	p.conn.Send(&pgproto3.Sync{})
	return e
}

// flush sends the whole pipeline. A large batch is sent in the background.
func (e *batchExchange) flush() error {
	if e.plan.batch.Bytes < concurrentFlushBytes {
		return e.pipeline.conn.Flush()
	}
	e.flushed = make(chan error, 1)
	go func() { e.flushed <- e.pipeline.conn.Flush() }()
	return nil
}

// queueEvictions queues a Close for the statements by which the target
// connection exceeds its limit.
func (e *batchExchange) queueEvictions() {
	conn := e.pipeline.conn
	for name, ok := conn.Statements.Evict(); ok; name, ok = conn.Statements.Evict() {
		conn.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
		e.expected = append(e.expected, expectedResponse{batchStep: batchStep{kind: stepClose}, hidden: true})
	}
}

// queueStep queues one message. A statement that it uses is parsed first when
// the target connection does not have it, and a Parse is left out when it does.
func (e *batchExchange) queueStep(step batchStep) {
	switch step.kind {
	case stepParse:
		if e.isPrepared(step.statement.TargetName) {
			e.expected = append(e.expected, expectedResponse{batchStep: step, local: true})
			return
		}
		e.pendingParses[step.statement.TargetName] = struct{}{}
	case stepBind, stepDescribeStatement:
		if !e.isPrepared(step.statement.TargetName) {
			e.queueParse(step.statement)
		}
	case stepClose:
		if step.message == nil {
			e.expected = append(e.expected, expectedResponse{batchStep: step, local: true})
			return
		}
	}
	e.pipeline.conn.Send(step.message)
	e.expected = append(e.expected, expectedResponse{batchStep: step})
}

// isPrepared reports whether the target connection has the statement, or will
// have it once the queued messages are processed.
func (e *batchExchange) isPrepared(targetName string) bool {
	if e.pendingParses == nil {
		e.pendingParses = make(map[string]struct{})
	}
	_, pending := e.pendingParses[targetName]
	return pending || e.pipeline.conn.Statements.Has(targetName)
}

// queueParse queues a Parse that the caller did not send in this batch.
func (e *batchExchange) queueParse(statement session.Statement) {
	e.pendingParses[statement.TargetName] = struct{}{}
	e.pipeline.conn.Send(&pgproto3.Parse{
		Name:          statement.TargetName,
		Query:         statement.Query,
		ParameterOIDs: statement.ParameterOIDs,
	})
	hidden := expectedResponse{batchStep: batchStep{kind: stepParse, statement: statement}, hidden: true}
	e.expected = append(e.expected, hidden)
}

// forwardResponse receives the response to the batch and forwards it to the
// caller, without the final ReadyForQuery. If it fails while a large batch is
// being sent in the background, the connection is interrupted to end that too.
func (e *batchExchange) forwardResponse() error {
	err := e.receiveResponse()
	if err != nil && e.flushed != nil {
		e.pipeline.conn.Interrupt()
	}
	if sendErr := e.awaitFlush(); err == nil {
		err = sendErr
	}
	return err
}

// awaitFlush waits until a large batch is sent. Nothing may be queued before that.
func (e *batchExchange) awaitFlush() error {
	if e.flushed == nil {
		return nil
	}
	err := <-e.flushed
	e.flushed = nil
	return err
}

// receiveResponse forwards messages up to the batch's ReadyForQuery. After an
// error the connection is not reused.
func (e *batchExchange) receiveResponse() error {
	e.statusBefore = e.pipeline.conn.Status()
	for {
		message, err := e.pipeline.conn.Receive()
		if err != nil {
			return err
		}
		switch message := message.(type) {
		case *pgproto3.ReadyForQuery:
			return e.checkComplete()
		case *pgproto3.NotificationResponse:
			continue
		case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
			err = e.pipeline.response.write(message)
		case *pgproto3.ErrorResponse:
			err = e.handleError(message)
		default:
			err = e.handleMessage(message)
		}
		if err != nil {
			e.pipeline.conn.MarkBroken()
			return err
		}
	}
}

// handleError forwards or withholds an error of the target, which ends the
// batch.
func (e *batchExchange) handleError(message *pgproto3.ErrorResponse) error {
	if upstream.IsFatal(message) {
		return e.pipeline.sessionLost(message)
	}
	if !e.canContain(message) {
		return e.unexpectedMessage()
	}
	e.errorCode = sqlstate.Code(message.Code)
	if e.isWithheld() {
		withheld := *message
		e.withheldError = &withheld
		return nil
	}
	return e.pipeline.response.write(message)
}

// isWithheld reports whether the error is kept from the caller, because the
// batch may run elsewhere.
func (e *batchExchange) isWithheld() bool {
	switch e.errorCode {
	case sqlstate.ReadOnlyTransaction:
		return e.withholdWriteRefusal
	case sqlstate.SerializationFailure:
		return e.withholdConflict && !e.pipeline.response.partlySent
	default:
		return false
	}
}

// handleMessage forwards one message of the response to the batch.
func (e *batchExchange) handleMessage(message pgproto3.BackendMessage) error {
	if !e.canContain(message) {
		return e.unexpectedMessage()
	}
	if e.plan.batch.Query == nil {
		return e.handleExtended(message)
	}
	switch message := message.(type) {
	case *pgproto3.CommandComplete:
		return e.handleCommandComplete(message)
	case *pgproto3.CopyInResponse:
		return e.forwardCopyData(message)
	case *pgproto3.RowDescription, *pgproto3.DataRow, *pgproto3.CopyOutResponse,
		*pgproto3.CopyData, *pgproto3.CopyDone:
		return e.pipeline.response.write(message)
	default:
		return e.unexpectedMessage()
	}
}

// canContain reports whether the response to the batch can contain the message. One
// statement completes once, and only COPY sends or takes copy data.
func (e *batchExchange) canContain(message pgproto3.BackendMessage) bool {
	if e.plan.statement.Multiple {
		return true
	}
	if e.plan.batch.Query != nil && e.commandTag != "" {
		return false
	}
	switch message.(type) {
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse:
		return classify.CanComplete(e.plan.text, "COPY")
	case *pgproto3.EmptyQueryResponse:
		return e.plan.statement.Kind == classify.KindEmpty
	default:
		return true
	}
}

// unexpectedMessage returns the error for a message that cannot belong to the
// response. Nothing that follows it on the connection can be trusted.
func (e *batchExchange) unexpectedMessage() error {
	return e.pipeline.protocolError("response does not match the request")
}

// handleCommandComplete forwards a CommandComplete, or holds it until the
// outcome of the commit is known.
func (e *batchExchange) handleCommandComplete(message *pgproto3.CommandComplete) error {
	e.commandTag = string(message.CommandTag)
	if !e.commandTagMatches() {
		return e.unexpectedMessage()
	}
	e.changedRows = e.changedRows || countsChangedRows(e.commandTag)
	if e.pipeline.holdCommandComplete {
		return e.pipeline.response.hold(message)
	}
	return e.pipeline.response.write(message)
}

// countsChangedRows reports whether a command tag counts rows that a statement has changed.
// COPY counts those that it has read as well.
func countsChangedRows(tag string) bool {
	verb, count, _ := strings.Cut(tag, " ")
	switch verb {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "COPY":
		return count != "0" && count != "0 0"
	default:
		return false
	}
}

// commandTagMatches reports whether the command tag can belong to the batch. It
// detects the response to a statement of another kind.
func (e *batchExchange) commandTagMatches() bool {
	controlsTransaction := false
	for _, tag := range []string{tagBegin, tagStart, tagCommit, tagRollback} {
		controlsTransaction = controlsTransaction || e.commandTag == tag
	}
	statement := &e.plan.statement
	switch statement.Kind {
	case classify.KindCommit:
		if e.statusBefore == statusFailed {
			return e.commandTag == tagRollback
		}
		return e.commandTag == tagCommit
	case classify.KindRollback:
		return e.commandTag == tagRollback
	case classify.KindBegin, classify.KindOutsideTransaction, classify.KindInTransaction:
		return true
	default:
		return (!controlsTransaction || statement.EndsTransaction) &&
			(statement.Multiple || classify.CanComplete(e.plan.text, e.commandTag))
	}
}

// checkComplete checks the transaction status after the batch and that the response to
// an extended batch that succeeded is complete, and responds to the local steps at
// its end.
func (e *batchExchange) checkComplete() error {
	if err := e.checkStatus(); err != nil {
		return err
	}
	if e.errorCode != "" || e.plan.batch.Query != nil {
		return nil
	}
	if err := e.respondToLocalSteps(); err != nil {
		return err
	}
	if len(e.expected) > 0 {
		return e.unexpectedMessage()
	}
	return nil
}
