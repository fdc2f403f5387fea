package engine

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// reasonExiting is the detail of responses to statements that are not sent because the process
// exits.
const reasonExiting = "the process exits"

// reasonNotPrepared is the detail of responses to statements whose target lacks the prepared
// statement, although its session has it.
const reasonNotPrepared = "the target lacks the prepared statement"

// RunStatement implements Runner. It retries on other connections until the
// statement has run or may have run, or no attempts or time are left.
func (e *Engine) RunStatement(s *client.Session, st statement.Statement, o *Outcome) statement.Response {
	op, refused := e.admit(s, o)
	o.recordOperation(&op)
	if refused != nil {
		return refused.response(o, statement.Idle)
	}
	writes := s.MayWrite(st)
	deadline := op.startedAt + op.route.StatementTimeout
	request := op.dispatchRequest(s, writes || op.route.Consistency == catalog.Primary, deadline)
	o.recordFloor(&op, request)
	for o.Attempts = 1; ; o.Attempts++ {
		waitStart := e.Clock()
		lc, refused := e.acquire(&op, request)
		o.WaitTime += e.Clock() - waitStart
		if refused != nil {
			if o.Attempts < maxAttempts && e.Clock() < deadline && e.mayRetryAcquire(&op, request, refused) {
				continue
			}
			return refused.response(o, statement.Idle)
		}
		o.recordLease(lc)
		response, retry := e.sendStatement(&op, lc, s, st, writes, request, deadline-e.Clock())
		if !retry || o.Attempts >= maxAttempts || e.Clock() >= deadline {
			return response
		}
		s.Gate.Reset()
		eventRetried.Log(e.Log, "request", st.ID, "code", response.Code.String(), "why", response.Detail,
			"target", lc.lease.Target, "attempt", o.Attempts)
	}
}

// mayRetryAcquire reports whether another lease may be requested after a refusal. A
// connection that failed leaves other targets, or the same one, to try; the
// dispatcher's own refusals are final, and so is one while the service waits for databases.
func (e *Engine) mayRetryAcquire(op *operation, r *dispatch.Request, refused *refusal) bool {
	if refused.reason == dispatch.NoTarget.String() || refused.reason == dispatch.Overloaded.String() {
		return false
	}
	op.service.mu.Lock()
	defer op.service.mu.Unlock()
	return op.service.waitingFor() == "" && e.Clock() < r.ExpiresAt
}

// sendStatement sends the statement on a leased connection and returns the lease.
// Retry says that the statement may be sent again: it has not run or is a read.
func (e *Engine) sendStatement(op *operation, lc *leasedConn, s *client.Session, st statement.Statement, writes bool, r *dispatch.Request, timeout time.Duration) (response statement.Response, retry bool) {
	if timeout <= 0 {
		e.release(lc)
		return statement.Response{Code: statement.Busy, Detail: "no time left", State: statement.Idle}, false
	}
	if err := e.syncSessionState(lc, s, st, statement.Idle, timeout); err != nil {
		e.discard(lc, connectionBroke(err))
		if failureOf(err) == target.InvalidStatement {
			return statement.Response{Code: statement.Malformed, Detail: err.Error(), State: statement.Idle}, false
		}
		return statement.Response{Code: statement.Busy, Detail: err.Error(), State: statement.Idle}, true
	}
	if !e.mayUseTarget(lc) {
		e.release(lc)
		return statement.Response{Code: statement.Busy, Detail: "the right to the primary has ended", State: statement.Idle}, true
	}
	if writes && !s.Gate.Pass() {
		e.release(lc)
		return statement.Response{Code: statement.Busy, Detail: reasonExiting, State: statement.Idle}, false
	}
	translated := lc.connection.Translate(s, st)
	if !lc.lease.Primary {
		translated.MinPoint = r.Floor
	}
	sentAt := e.Clock()
	response, err := lc.connection.Conn.Do(translated, timeout)
	if err != nil {
		return e.handleStatementError(lc, writes, err)
	}
	return e.handleStatementResponse(lc, s, r, writes, sentAt, response)
}

// handleStatementError returns the response for a statement without a response from
// its target. A write that may have been sent is in doubt and not retried.
func (e *Engine) handleStatementError(lc *leasedConn, writes bool, err error) (statement.Response, bool) {
	response := statement.Response{Detail: err.Error(), State: statement.Idle}
	timedOut := failureOf(err) == target.ResponseTimeout
	if timedOut && mayHaveBeenSent(err) {
		e.awaitLateResponse(lc)
	} else {
		e.discardFailed(lc, err)
	}
	switch {
	case failureOf(err) == target.InvalidStatement:
		response.Code = statement.Malformed
		return response, false
	case writes && !mayHaveBeenSent(err):
		response.Code = statement.Busy
		return response, true
	case writes:
		response.Code = statement.InDoubt
		return response, false
	case timedOut:
		response.Code = statement.TimedOut
		return response, false
	default:
		response.Code = statement.Busy
		return response, true
	}
}

// handleStatementResponse evaluates the target's response and returns the lease.
// Success without a signature and a response that leaves a transaction open are not
// trusted, so that a write is in doubt. A write is in doubt too when the authority to
// use the primary has expired by the time of the response: a new primary may lack it.
func (e *Engine) handleStatementResponse(lc *leasedConn, s *client.Session, r *dispatch.Request, writes bool, sentAt time.Duration, response statement.Response) (statement.Response, bool) {
	if response.State != statement.Idle || response.Code == statement.OK && response.Signature == "" {
		e.discard(lc, false)
		if writes {
			return statement.Response{Code: statement.InDoubt, Detail: "unusable answer", State: statement.Idle}, false
		}
		return statement.Response{Code: statement.Busy, Detail: "unusable answer", State: statement.Idle}, true
	}
	authorized := e.mayUseTarget(lc)
	e.recordPosition(lc, sentAt, response.LogEnd)
	retry := false
	switch response.Code {
	case statement.OK:
		if !authorized {
			e.release(lc)
			if writes {
				return statement.Response{Code: statement.InDoubt, Detail: "the right to the primary ended meanwhile", State: statement.Idle}, false
			}
			return statement.Response{Code: statement.Busy, Detail: "the right to the primary ended meanwhile", State: statement.Idle}, true
		}
		if writes {
			s.RecordWrite(sentAt, response.LogEnd)
		}
	case statement.Lagging:
		lc.service.mu.Lock()
		lc.service.dispatch.ObserveLagRefusal(e.Clock(), lc.lease, r)
		lc.service.mu.Unlock()
		r.Excluded = append(r.Excluded, lc.lease.Target)
		retry = true
	case statement.UnknownPrepared:
		lc.connection.ForgetPrepared()
		response.Code, response.Detail = statement.Busy, reasonNotPrepared
		retry = true
	case statement.Busy, statement.ReadOnly:
		retry = true
	case statement.ExecutionFailed:
		retry = !writes
	}
	e.release(lc)
	if retry && (response.Code == statement.Busy || response.Code == statement.ReadOnly) {
		time.Sleep(retryBackoff)
	}
	return response, retry
}

// response converts the refusal to the response for the caller and records its
// reason in the outcome.
func (r *refusal) response(o *Outcome, state statement.TransactionState) statement.Response {
	o.Reason = r.reason
	return statement.Response{Code: r.code, Detail: r.reason, State: state}
}

// recordOperation records which operation the statement belongs to.
func (o *Outcome) recordOperation(op *operation) {
	o.Customer, o.ConfigVersion, o.FloorAge = op.customer, op.configVersion, -1
	if op.service != nil {
		o.Service = op.service.id
	}
}

// recordFloor records the age of the floor that a request requires.
func (o *Outcome) recordFloor(op *operation, r *dispatch.Request) {
	if op.hasFloor && !r.NeedsPrimary {
		o.FloorAge = op.startedAt - r.FloorSentAt
	}
}

// recordLease records the target of a statement and why it was chosen.
func (o *Outcome) recordLease(lc *leasedConn) {
	o.Target, o.Primary, o.Reason = lc.lease.Target, lc.lease.Primary, lc.lease.Reason
}
