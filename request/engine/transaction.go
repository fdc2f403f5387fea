package engine

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// rollbackTimeout bounds a rollback in the background.
const rollbackTimeout = time.Second

// maxBusyRetries bounds the retries of a statement within its transaction after a
// busy target did not run it.
const maxBusyRetries = 3

// transaction is a caller's open transaction. BEGIN is sent to the target only
// before the first statement, so that a caller that is idle after BEGIN holds no
// connection.
type transaction struct {
	engine   *Engine
	session  *client.Session
	op       operation
	readOnly bool
	// conn is nil before the first statement and after the transaction ended.
	conn *leasedConn
	// wrote is set once a write was sent, whatever its result.
	wrote bool
}

// Begin implements Runner. It admits the transaction and sends nothing to a target.
func (e *Engine) Begin(s *client.Session, readOnly bool, o *Outcome) (Transaction, statement.Response) {
	op, refused := e.admit(s, o)
	o.recordOperation(&op)
	if refused != nil {
		return nil, refused.response(o, statement.Idle)
	}
	o.Reason = "deferred to the first statement"
	return &transaction{engine: e, session: s, op: op, readOnly: readOnly}, statement.Response{State: statement.Open}
}

// HoldsConnection implements Transaction.
func (t *transaction) HoldsConnection() bool { return t.conn != nil }

// KeyWithdrawn implements Transaction.
func (t *transaction) KeyWithdrawn() bool { return t.engine.KeyWithdrawn(t.session, t.op.customer) }

// mayRun reports whether a statement may be run. As for a new operation, it may not while
// the configuration is not confirmed, since the key may have been withdrawn.
func (t *transaction) mayRun() bool {
	return t.op.route.Open || t.engine.Authority.MayAcceptKeys(t.engine.Clock())
}

// abortUnconfirmed rolls the transaction back when a statement may not be run.
func (t *transaction) abortUnconfirmed() statement.Response {
	return t.fail(statement.Response{Code: statement.Aborted, Detail: reasonUnconfirmed})
}

// Run implements Transaction.
func (t *transaction) Run(st statement.Statement, o *Outcome) statement.Response {
	e := t.engine
	o.recordOperation(&t.op)
	if !t.mayRun() {
		return t.abortUnconfirmed()
	}
	deadline := e.Clock() + t.op.route.StatementTimeout
	if t.conn == nil {
		if response := t.openAtTarget(o, deadline); response.Code != statement.OK {
			return t.fail(response)
		}
	}
	o.recordLease(t.conn)
	t.wrote = t.wrote || t.session.MayWrite(st)
	return t.sendStatement(st, deadline)
}

// openAtTarget leases a connection and begins the transaction on it, with retries.
// Nothing of the transaction has run when it fails.
func (t *transaction) openAtTarget(o *Outcome, deadline time.Duration) statement.Response {
	e := t.engine
	needsPrimary := !t.readOnly || t.op.route.Consistency == catalog.Primary
	request := t.op.dispatchRequest(t.session, needsPrimary, deadline)
	// The caller's time between BEGIN and the first statement does not count against
	// the objective.
	request.DueAt = max(request.DueAt, e.Clock()+t.op.route.LatencyObjective/2)
	o.recordFloor(&t.op, request)
	begin := statement.Statement{Kind: statement.Begin}
	if t.readOnly {
		begin.Kind = statement.BeginReadOnly
	}
	for o.Attempts = 1; ; o.Attempts++ {
		waitStart := e.Clock()
		lc, refused := e.acquire(&t.op, request)
		o.WaitTime += e.Clock() - waitStart
		if refused != nil {
			if o.Attempts < maxAttempts && e.Clock() < deadline && e.mayRetryAcquire(&t.op, request, refused) {
				continue
			}
			return refused.response(o, statement.Failed)
		}
		response := t.sendBegin(lc, begin, deadline-e.Clock())
		if response.Code == statement.OK {
			t.conn = lc
			return response
		}
		if response.Code == statement.Lagging {
			request.Excluded = append(request.Excluded, lc.lease.Target)
		}
		if o.Attempts >= maxAttempts || e.Clock() >= deadline {
			response.Code = statement.Busy
			return response
		}
		time.Sleep(retryBackoff)
	}
}

// sendBegin sends BEGIN on a leased connection. On failure it returns the lease, and
// nothing has run.
func (t *transaction) sendBegin(lc *leasedConn, begin statement.Statement, timeout time.Duration) statement.Response {
	e := t.engine
	if timeout <= 0 || !e.mayUseTarget(lc) {
		e.release(lc)
		return statement.Response{Code: statement.Busy, Detail: "no time or right left to begin"}
	}
	if err := e.syncSessionState(lc, t.session, statement.Statement{}, statement.Idle, timeout); err != nil {
		e.discard(lc, connectionBroke(err))
		return statement.Response{Code: statement.Busy, Detail: err.Error()}
	}
	if !lc.lease.Primary {
		begin.MinPoint = t.op.floor.Point
	}
	response, err := lc.connection.Conn.Do(begin, timeout)
	if err != nil {
		e.discardFailed(lc, err)
		return statement.Response{Code: statement.Busy, Detail: err.Error()}
	}
	if response.Code == statement.OK && response.State == statement.Open {
		return response
	}
	if response.Code == statement.Lagging {
		lc.service.mu.Lock()
		lc.service.dispatch.ObserveLagRefusal(e.Clock(), lc.lease, t.op.dispatchRequest(t.session, false, 0))
		lc.service.mu.Unlock()
	}
	if response.State != statement.Idle || response.Code == statement.OK {
		e.discard(lc, false)
		response.Code = statement.Busy
	} else {
		e.release(lc)
	}
	return response
}

// sendStatement sends a statement on the transaction's connection. Within a
// transaction only a statement that the target did not run, because it was busy or
// lacked the prepared statement, is sent again.
func (t *transaction) sendStatement(st statement.Statement, deadline time.Duration) statement.Response {
	e := t.engine
	lc := t.conn
	t.markActive()
	defer t.markIdle()
	for attempt := 1; ; attempt++ {
		if !e.mayUseTarget(lc) {
			return t.abort("the right to the primary has ended", false)
		}
		timeout := deadline - e.Clock()
		if timeout <= 0 {
			return t.abort("the statement's time is over", false)
		}
		if err := e.syncSessionState(lc, t.session, st, statement.Open, timeout); err != nil {
			return t.abort(err.Error(), connectionBroke(err))
		}
		sentAt := e.Clock()
		response, err := lc.connection.Conn.Do(lc.connection.Translate(t.session, st), timeout)
		if failureOf(err) == target.InvalidStatement {
			return t.fail(statement.Response{Code: statement.Malformed, Detail: err.Error()})
		}
		if err != nil {
			return t.abort(err.Error(), failureOf(err) != target.ResponseTimeout && connectionBroke(err))
		}
		if response.State == statement.Idle {
			return t.endOutside()
		}
		if response.Code == statement.OK && response.Signature == "" {
			return t.abort("unusable answer", false)
		}
		e.recordPosition(lc, sentAt, response.LogEnd)
		retry := response.State == statement.Open && attempt <= maxBusyRetries && lc.connection.Conn.Reusable()
		switch {
		case response.Code == statement.OK && response.State == statement.Open:
			return response
		case response.Code == statement.UnknownPrepared && retry:
			lc.connection.ForgetPrepared()
		case response.Code == statement.UnknownPrepared:
			return t.abort(reasonNotPrepared, false)
		case response.Code == statement.Busy && retry:
			time.Sleep(retryBackoff)
		case response.Code == statement.OK:
			return t.abort("the target has failed the transaction", false)
		default:
			return t.fail(response)
		}
	}
}

// markIdle records at the dispatcher that no statement is in flight on the
// transaction's connection, until markActive.
func (t *transaction) markIdle() {
	if lc := t.conn; lc != nil {
		lc.service.mu.Lock()
		lc.service.dispatch.EndStatement(t.engine.Clock(), lc.lease)
		lc.service.mu.Unlock()
	}
}

// markActive records at the dispatcher that a statement is in flight on the
// transaction's connection.
func (t *transaction) markActive() {
	lc := t.conn
	lc.service.mu.Lock()
	lc.service.dispatch.BeginStatement(t.engine.Clock(), lc.lease)
	lc.service.mu.Unlock()
}

// abort closes the transaction's connection. As COMMIT was not sent, the target rolls
// the transaction back.
func (t *transaction) abort(reason string, broken bool) statement.Response {
	if t.conn != nil {
		t.engine.discard(t.conn, broken)
		t.conn = nil
	}
	return statement.Response{Code: statement.Aborted, Detail: reason, State: statement.Failed}
}

// endOutside ends a transaction whose target is in none: its BEGIN was confirmed by the copy of an
// earlier response and has failed, so that a write may have run on its own.
func (t *transaction) endOutside() statement.Response {
	response := t.abort("the target is in no transaction", false)
	if t.wrote {
		response.Code = statement.InDoubt
	}
	return response
}

// fail rolls the transaction back at the target after an error. For the caller the
// transaction is failed until it sends COMMIT or ROLLBACK.
func (t *transaction) fail(response statement.Response) statement.Response {
	t.Rollback()
	response.Rows, response.Signature, response.State = nil, "", statement.Failed
	return response
}

// Rollback implements Transaction. It sends ROLLBACK in the background.
func (t *transaction) Rollback() {
	lc := t.conn
	if lc == nil {
		return
	}
	t.conn = nil
	e := t.engine
	go func() {
		response, err := lc.connection.Conn.Do(statement.Statement{Kind: statement.Rollback}, rollbackTimeout)
		if err != nil || response.State != statement.Idle {
			e.discard(lc, err != nil && connectionBroke(err))
			return
		}
		e.release(lc)
	}()
}

// Commit implements Transaction.
func (t *transaction) Commit(st statement.Statement, o *Outcome) statement.Response {
	e := t.engine
	o.recordOperation(&t.op)
	if !t.mayRun() {
		response := t.abortUnconfirmed()
		response.State = statement.Idle
		return response
	}
	deadline := e.Clock() + t.op.route.StatementTimeout
	if t.conn == nil {
		if response := t.openAtTarget(o, deadline); response.Code != statement.OK {
			response.State = statement.Idle
			return response
		}
	}
	o.recordLease(t.conn)
	t.markActive()
	response := t.sendCommit(st, deadline)
	response.State = statement.Idle
	return response
}

// sendCommit sends COMMIT and returns the result for the caller: without a response
// from the target the commit is in doubt.
func (t *transaction) sendCommit(st statement.Statement, deadline time.Duration) statement.Response {
	e := t.engine
	lc := t.conn
	for attempt := 1; ; attempt++ {
		timeout := deadline - e.Clock()
		if timeout <= 0 || !e.mayUseTarget(lc) {
			return t.abort("no time or right left to commit", false)
		}
		if !t.session.Gate.Pass() {
			return t.abort(reasonExiting, false)
		}
		sentAt := e.Clock()
		response, err := lc.connection.Conn.Do(st, timeout)
		if err != nil && !mayHaveBeenSent(err) {
			return t.abort(err.Error(), connectionBroke(err))
		}
		if err != nil {
			t.conn = nil
			if failureOf(err) == target.ResponseTimeout {
				e.awaitLateResponse(lc)
			} else {
				e.discardFailed(lc, err)
			}
			return statement.Response{Code: statement.InDoubt, Detail: err.Error()}
		}
		authorized := e.mayUseTarget(lc)
		if response.Code == statement.Busy && response.State == statement.Open && attempt <= maxBusyRetries && lc.connection.Conn.Reusable() {
			time.Sleep(retryBackoff)
			continue
		}
		return t.handleCommitResponse(response, sentAt, authorized)
	}
}

// handleCommitResponse evaluates the response to COMMIT and returns the lease.
// Success is in doubt when it carries no signature, and after writes also when the
// authority to use the primary has expired: a new primary may lack the commit.
func (t *transaction) handleCommitResponse(response statement.Response, sentAt time.Duration, authorized bool) statement.Response {
	e := t.engine
	lc := t.conn
	t.conn = nil
	confirmed := response.Code == statement.OK && response.Signature != "" && response.State == statement.Idle
	if confirmed || response.Code != statement.OK && response.State == statement.Idle {
		e.recordPosition(lc, sentAt, response.LogEnd)
		e.release(lc)
	} else {
		e.discard(lc, false)
	}
	switch {
	case response.Code == statement.OK && (!confirmed || t.wrote && !authorized):
		return statement.Response{Code: statement.InDoubt, Detail: "the commit cannot be confirmed"}
	case response.Code == statement.OK:
		if t.wrote {
			t.session.RecordWrite(sentAt, response.LogEnd)
		}
	case response.Code == statement.TimedOut || response.Code == statement.Unrecognized:
		response.Code = statement.InDoubt
	}
	return response
}
