package perform

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// endTimeout bounds a rollback that nobody waits for.
const endTimeout = time.Second

// busyRetries is how often a statement that a full target did not run is sent
// again within its transaction.
const busyRetries = 3

// transaction is a caller's open transaction. The target learns of it with its
// first statement, so that a caller that pauses after BEGIN holds nothing.
type transaction struct {
	engine   *Engine
	session  *client.Session
	op       operation
	readOnly bool
	// conn is nil before the first statement and after the transaction failed.
	conn  *held
	wrote bool
}

// Begin implements Operations.
func (e *Engine) Begin(s *client.Session, readOnly bool, o *Outcome) (Transaction, statement.Answer) {
	op, refused := e.admit(s, o)
	o.describe(&op)
	if refused != nil {
		return nil, refused.answer(o, statement.Idle)
	}
	o.Why = "deferred to the first statement"
	return &transaction{engine: e, session: s, op: op, readOnly: readOnly}, statement.Answer{State: statement.Open}
}

// HoldsConnection implements Transaction.
func (t *transaction) HoldsConnection() bool { return t.conn != nil }

// Run implements Transaction.
func (t *transaction) Run(st statement.Statement, o *Outcome) statement.Answer {
	e := t.engine
	o.describe(&t.op)
	end := e.Clock() + t.op.route.StatementTimeout
	if t.conn == nil {
		if answer := t.open(o, end); answer.Code != statement.OK {
			return t.fail(answer)
		}
	}
	o.place(t.conn)
	t.wrote = t.wrote || t.session.Writes(st)
	return t.runInTransaction(st, end)
}

// open begins the transaction at a target.
func (t *transaction) open(o *Outcome, end time.Duration) statement.Answer {
	e := t.engine
	needsPrimary := !t.readOnly || t.op.route.Consistency == catalog.Primary
	request := t.op.request(t.session, needsPrimary, end)
	request.Late = max(request.Late, e.Clock()+t.op.route.Objective/2) // the pauses between statements do not count
	o.floor(&t.op, request)
	begin := statement.Statement{Kind: statement.Begin}
	if t.readOnly {
		begin.Kind = statement.BeginReadOnly
	}
	for o.Attempts = 1; ; o.Attempts++ {
		waitFrom := e.Clock()
		h, refused := e.acquire(&t.op, request)
		o.Waited += e.Clock() - waitFrom
		if refused != nil {
			if o.Attempts < attemptsLimit && e.Clock() < end && e.again(&t.op, request, refused) {
				continue
			}
			return refused.answer(o, statement.Failed)
		}
		answer := t.beginAt(h, begin, end-e.Clock())
		if answer.Code == statement.OK {
			t.conn = h
			return answer
		}
		if answer.Code == statement.Lagging {
			request.Excluded = append(request.Excluded, h.lease.Target)
		}
		if o.Attempts >= attemptsLimit || e.Clock() >= end {
			answer.Code = statement.Busy
			return answer
		}
		time.Sleep(retryPause)
	}
}

// beginAt sends BEGIN on a leased connection, which it gives back on failure.
// Nothing has run when it fails.
func (t *transaction) beginAt(h *held, begin statement.Statement, timeout time.Duration) statement.Answer {
	e := t.engine
	if timeout <= 0 || !e.mayUse(h) {
		e.release(h)
		return statement.Answer{Code: statement.Busy, Detail: "no time or right left to begin"}
	}
	if err := e.align(h, t.session, statement.Statement{}, timeout); err != nil {
		e.drop(h, failureOf(err) != target.Refused)
		return statement.Answer{Code: statement.Busy, Detail: err.Error()}
	}
	if !h.lease.Primary {
		begin.After = t.op.floor.Point
	}
	answer, err := h.link.Conn.Do(begin, timeout)
	if err != nil {
		e.dropFailed(h, err)
		return statement.Answer{Code: statement.Busy, Detail: err.Error()}
	}
	if answer.Code == statement.OK && answer.State == statement.Open {
		return answer
	}
	if answer.Code == statement.Lagging {
		h.service.mu.Lock()
		h.service.dispatch.Lagging(e.Clock(), h.lease, t.op.request(t.session, false, 0))
		h.service.mu.Unlock()
	}
	if answer.State != statement.Idle || answer.Code == statement.OK {
		e.drop(h, false)
		answer.Code = statement.Busy
	} else {
		e.release(h)
	}
	return answer
}

// runInTransaction sends a statement on the transaction's connection.
func (t *transaction) runInTransaction(st statement.Statement, end time.Duration) statement.Answer {
	e := t.engine
	h := t.conn
	t.resume()
	defer t.pause()
	for attempt := 1; ; attempt++ {
		if !e.mayUse(h) {
			return t.abort("the right to the primary has ended", false)
		}
		timeout := end - e.Clock()
		if timeout <= 0 {
			return t.abort("the statement's time is over", false)
		}
		if err := e.align(h, t.session, st, timeout); err != nil {
			return t.abort(err.Error(), failureOf(err) != target.Refused)
		}
		sent := e.Clock()
		answer, err := h.link.Conn.Do(h.link.Translate(t.session, st), timeout)
		if err != nil {
			return t.abort(err.Error(), failureOf(err) != target.Late)
		}
		e.observe(h, sent, answer.Position)
		switch {
		case answer.Code == statement.OK && answer.Signature == "":
			return t.abort("unusable answer", false)
		case answer.Code == statement.OK && answer.State == statement.Open:
			return answer
		case answer.Code == statement.UnknownPrepared && answer.State == statement.Open && attempt <= busyRetries:
			h.link.ForgetPrepared()
		case answer.Code == statement.Busy && answer.State == statement.Open && attempt <= busyRetries:
			time.Sleep(retryPause)
		case answer.Code == statement.OK:
			return t.abort("the target left the transaction", false)
		default:
			return t.fail(answer)
		}
	}
}

// pause and resume keep the dispatcher's count of statements in flight right
// while the caller thinks.
func (t *transaction) pause() {
	if h := t.conn; h != nil {
		h.service.mu.Lock()
		h.service.dispatch.End(t.engine.Clock(), h.lease)
		h.service.mu.Unlock()
	}
}

func (t *transaction) resume() {
	h := t.conn
	h.service.mu.Lock()
	h.service.dispatch.Begin(t.engine.Clock(), h.lease)
	h.service.mu.Unlock()
}

// abort closes the transaction's connection. As COMMIT was not sent, nothing of
// the transaction is kept.
func (t *transaction) abort(why string, broken bool) statement.Answer {
	if t.conn != nil {
		t.engine.drop(t.conn, broken)
		t.conn = nil
	}
	return statement.Answer{Code: statement.Aborted, Detail: why, State: statement.Failed}
}

// fail ends the transaction at the target after an error and leaves the caller to
// end it.
func (t *transaction) fail(answer statement.Answer) statement.Answer {
	t.Rollback()
	answer.Rows, answer.Signature, answer.State = nil, "", statement.Failed
	return answer
}

// Rollback implements Transaction. It ends the transaction at its target in the
// background.
func (t *transaction) Rollback() {
	h := t.conn
	if h == nil {
		return
	}
	t.conn = nil
	e := t.engine
	go func() {
		answer, err := h.link.Conn.Do(statement.Statement{Kind: statement.Rollback}, endTimeout)
		if err != nil || answer.State != statement.Idle {
			e.drop(h, err != nil)
			return
		}
		e.release(h)
	}()
}

// Commit implements Transaction.
func (t *transaction) Commit(st statement.Statement, o *Outcome) statement.Answer {
	e := t.engine
	o.describe(&t.op)
	end := e.Clock() + t.op.route.StatementTimeout
	if t.conn == nil {
		if answer := t.open(o, end); answer.Code != statement.OK {
			answer.State = statement.Idle
			return answer
		}
	}
	o.place(t.conn)
	t.resume()
	answer := t.runCommit(st, end)
	answer.State = statement.Idle
	return answer
}

// runCommit sends COMMIT and says what became of it.
func (t *transaction) runCommit(st statement.Statement, end time.Duration) statement.Answer {
	e := t.engine
	h := t.conn
	for attempt := 1; ; attempt++ {
		timeout := end - e.Clock()
		if timeout <= 0 || !e.mayUse(h) {
			return t.abort("no time or right left to commit", false)
		}
		sent := e.Clock()
		answer, err := h.link.Conn.Do(st, timeout)
		if err != nil {
			t.conn = nil
			if failureOf(err) == target.Late {
				e.salvage(h)
			} else {
				e.dropFailed(h, err)
			}
			return statement.Answer{Code: statement.InDoubt, Detail: err.Error()}
		}
		usable := e.mayUse(h)
		e.observe(h, sent, answer.Position)
		if answer.Code == statement.Busy && answer.State == statement.Open && attempt <= busyRetries {
			time.Sleep(retryPause)
			continue
		}
		return t.committed(answer, sent, usable)
	}
}

// committed evaluates the answer to COMMIT and gives the connection back.
func (t *transaction) committed(answer statement.Answer, sent time.Duration, usable bool) statement.Answer {
	e := t.engine
	h := t.conn
	t.conn = nil
	if answer.State == statement.Idle {
		e.release(h)
	} else {
		e.drop(h, false)
	}
	switch {
	case answer.Code == statement.OK && (answer.Signature == "" || t.wrote && !usable):
		return statement.Answer{Code: statement.InDoubt, Detail: "the commit cannot be confirmed"}
	case answer.Code == statement.OK:
		if t.wrote {
			t.session.Wrote(sent, answer.Position)
		}
	case answer.Code == statement.TimedOut || answer.Code == statement.Unrecognized:
		answer.Code = statement.InDoubt
	}
	return answer
}
