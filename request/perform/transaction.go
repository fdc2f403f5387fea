package perform

import (
	"time"

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
	op       operation
	readOnly bool
	// conn is nil before the first statement and after the transaction failed.
	conn *held
	// failed transactions only wait for their end.
	failed bool
	// told reports that the caller knows of the failure.
	told  bool
	wrote bool
}

// begin opens a transaction.
func (c *Conversation) begin(st statement.Statement, o *Outcome) statement.Answer {
	op, refused := c.engine.admit(c.Session)
	o.describe(&op)
	if refused != nil {
		return refused.answer(o, statement.Idle)
	}
	c.tx = &transaction{op: op, readOnly: st.Kind == statement.BeginReadOnly}
	o.Why = "deferred to the first statement"
	return statement.Answer{State: statement.Open}
}

// inTransaction runs a read or write of the open transaction.
func (c *Conversation) inTransaction(st statement.Statement, o *Outcome) statement.Answer {
	tx, e := c.tx, c.engine
	o.describe(&tx.op)
	end := e.Clock() + tx.op.route.StatementTimeout
	if tx.conn == nil {
		if answer := c.open(o, end); answer.Code != statement.OK {
			return c.fail(answer)
		}
	}
	o.place(tx.conn)
	tx.wrote = tx.wrote || c.Session.Writes(st)
	return c.runInTransaction(st, end)
}

// open begins the transaction at a target.
func (c *Conversation) open(o *Outcome, end time.Duration) statement.Answer {
	tx, e := c.tx, c.engine
	needsPrimary := !tx.readOnly || tx.op.route.Consistency == catalog.Primary
	request := tx.op.request(c.Session, needsPrimary, end)
	request.Late = max(request.Late, e.Clock()+tx.op.route.Objective/2) // the pauses between statements do not count
	o.floor(&tx.op, request)
	begin := statement.Statement{Kind: statement.Begin}
	if tx.readOnly {
		begin.Kind = statement.BeginReadOnly
	}
	for o.Attempts = 1; ; o.Attempts++ {
		waitFrom := e.Clock()
		h, refused := e.acquire(&tx.op, request)
		o.Waited += e.Clock() - waitFrom
		if refused != nil {
			if o.Attempts < attemptsLimit && e.Clock() < end && e.again(&tx.op, request, refused) {
				continue
			}
			return refused.answer(o, statement.Failed)
		}
		answer := c.beginAt(h, begin, end-e.Clock())
		if answer.Code == statement.OK {
			tx.conn = h
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
func (c *Conversation) beginAt(h *held, begin statement.Statement, timeout time.Duration) statement.Answer {
	e := c.engine
	if timeout <= 0 || !e.mayUse(h) {
		e.release(h)
		return statement.Answer{Code: statement.Busy, Detail: "no time or right left to begin"}
	}
	if err := e.align(h, c.Session, statement.Statement{}, timeout); err != nil {
		e.drop(h, failureOf(err) != target.Refused)
		return statement.Answer{Code: statement.Busy, Detail: err.Error()}
	}
	if !h.lease.Primary {
		begin.After = c.tx.op.floor.Point
	}
	answer, err := h.link.Conn.Do(begin, timeout)
	if err != nil {
		e.drop(h, true)
		return statement.Answer{Code: statement.Busy, Detail: err.Error()}
	}
	if answer.Code == statement.OK && answer.State == statement.Open {
		return answer
	}
	if answer.Code == statement.Lagging {
		h.service.mu.Lock()
		h.service.dispatch.Lagging(e.Clock(), h.lease, c.tx.op.request(c.Session, false, 0))
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
func (c *Conversation) runInTransaction(st statement.Statement, end time.Duration) statement.Answer {
	tx, e := c.tx, c.engine
	h := tx.conn
	c.resume()
	defer c.pause()
	for attempt := 1; ; attempt++ {
		if !e.mayUse(h) {
			return c.abort("the right to the primary has ended", false)
		}
		timeout := end - e.Clock()
		if timeout <= 0 {
			return c.abort("the statement's time is over", false)
		}
		if err := e.align(h, c.Session, st, timeout); err != nil {
			return c.abort(err.Error(), failureOf(err) != target.Refused)
		}
		sent := e.Clock()
		answer, err := h.link.Conn.Do(h.link.Translate(c.Session, st), timeout)
		if err != nil {
			return c.abort(err.Error(), failureOf(err) != target.Late)
		}
		e.observe(h, sent, answer.Position)
		switch {
		case answer.Code == statement.OK && answer.Signature == "":
			return c.abort("unusable answer", false)
		case answer.Code == statement.OK && answer.State == statement.Open:
			return answer
		case answer.Code == statement.UnknownPrepared && answer.State == statement.Open && attempt <= busyRetries:
			h.link.ForgetPrepared()
		case answer.Code == statement.Busy && answer.State == statement.Open && attempt <= busyRetries:
			time.Sleep(retryPause)
		case answer.Code == statement.OK:
			return c.abort("the target left the transaction", false)
		default:
			return c.fail(answer)
		}
	}
}

// pause and resume keep the dispatcher's count of statements in flight right
// while the caller thinks.
func (c *Conversation) pause() {
	if h := c.tx.conn; h != nil {
		h.service.mu.Lock()
		h.service.dispatch.End(c.engine.Clock(), h.lease)
		h.service.mu.Unlock()
	}
}

func (c *Conversation) resume() {
	h := c.tx.conn
	h.service.mu.Lock()
	h.service.dispatch.Begin(c.engine.Clock(), h.lease)
	h.service.mu.Unlock()
}

// abort closes the transaction's connection. As COMMIT was not sent, nothing of
// the transaction is kept.
func (c *Conversation) abort(why string, broken bool) statement.Answer {
	if c.tx.conn != nil {
		c.engine.drop(c.tx.conn, broken)
		c.tx.conn = nil
	}
	c.tx.failed, c.tx.told = true, true
	return statement.Answer{Code: statement.Aborted, Detail: why, State: statement.Failed}
}

// fail ends the transaction at the target after an error and leaves the caller to
// end it.
func (c *Conversation) fail(answer statement.Answer) statement.Answer {
	c.rollback()
	c.tx.failed, c.tx.told = true, true
	answer.Rows, answer.Signature, answer.State = nil, "", statement.Failed
	return answer
}

// rollback ends the transaction at its target in the background.
func (c *Conversation) rollback() {
	h := c.tx.conn
	if h == nil {
		return
	}
	c.tx.conn = nil
	e := c.engine
	go func() {
		answer, err := h.link.Conn.Do(statement.Statement{Kind: statement.Rollback}, endTimeout)
		if err != nil || answer.State != statement.Idle {
			e.drop(h, err != nil)
			return
		}
		e.release(h)
	}()
}

// commit ends the transaction.
func (c *Conversation) commit(st statement.Statement, o *Outcome) statement.Answer {
	tx, e := c.tx, c.engine
	o.describe(&tx.op)
	defer func() { c.tx = nil }()
	if tx.failed {
		return statement.Answer{Code: statement.Aborted, Detail: "the transaction has failed", State: statement.Idle}
	}
	end := e.Clock() + tx.op.route.StatementTimeout
	if tx.conn == nil {
		if answer := c.open(o, end); answer.Code != statement.OK {
			answer.State = statement.Idle
			return answer
		}
	}
	o.place(tx.conn)
	c.resume()
	answer := c.runCommit(st, end)
	answer.State = statement.Idle
	return answer
}

// runCommit sends COMMIT and says what became of it.
func (c *Conversation) runCommit(st statement.Statement, end time.Duration) statement.Answer {
	tx, e := c.tx, c.engine
	h := tx.conn
	for attempt := 1; ; attempt++ {
		timeout := end - e.Clock()
		if timeout <= 0 || !e.mayUse(h) {
			return c.abort("no time or right left to commit", false)
		}
		sent := e.Clock()
		answer, err := h.link.Conn.Do(st, timeout)
		if err != nil {
			tx.conn = nil
			if failureOf(err) == target.Late {
				e.salvage(h)
			} else {
				e.drop(h, true)
			}
			return statement.Answer{Code: statement.InDoubt, Detail: err.Error()}
		}
		usable := e.mayUse(h)
		e.observe(h, sent, answer.Position)
		if answer.Code == statement.Busy && answer.State == statement.Open && attempt <= busyRetries {
			time.Sleep(retryPause)
			continue
		}
		return c.committed(answer, sent, usable)
	}
}

// committed evaluates the answer to COMMIT and gives the connection back.
func (c *Conversation) committed(answer statement.Answer, sent time.Duration, usable bool) statement.Answer {
	tx, e := c.tx, c.engine
	h := tx.conn
	tx.conn = nil
	if answer.State == statement.Idle {
		e.release(h)
	} else {
		e.drop(h, false)
	}
	switch {
	case answer.Code == statement.OK && (answer.Signature == "" || tx.wrote && !usable):
		return statement.Answer{Code: statement.InDoubt, Detail: "the commit cannot be confirmed"}
	case answer.Code == statement.OK:
		if tx.wrote {
			c.Session.Wrote(sent, answer.Position)
		}
	case answer.Code == statement.TimedOut || answer.Code == statement.Unrecognized:
		answer.Code = statement.InDoubt
	}
	return answer
}
