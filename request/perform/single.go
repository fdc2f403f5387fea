package perform

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// Single implements Operations.
func (e *Engine) Single(s *client.Session, st statement.Statement, o *Outcome) statement.Answer {
	op, refused := e.admit(s, o)
	o.describe(&op)
	if refused != nil {
		return refused.answer(o, statement.Idle)
	}
	writes := s.Writes(st)
	end := op.began + op.route.StatementTimeout
	request := op.request(s, writes || op.route.Consistency == catalog.Primary, end)
	o.floor(&op, request)
	for o.Attempts = 1; ; o.Attempts++ {
		waitFrom := e.Clock()
		h, refused := e.acquire(&op, request)
		o.Waited += e.Clock() - waitFrom
		if refused != nil {
			if o.Attempts < attemptsLimit && e.Clock() < end && e.again(&op, request, refused) {
				continue
			}
			return refused.answer(o, statement.Idle)
		}
		o.place(h)
		answer, retry := e.runSingle(&op, h, s, st, writes, request, end-e.Clock())
		if !retry || o.Attempts >= attemptsLimit || e.Clock() >= end {
			return answer
		}
		eventRetried.Log(e.Log, "request", st.ID, "code", answer.Code.String(), "why", answer.Detail,
			"target", h.lease.Target, "attempt", o.Attempts)
	}
}

// again decides whether to ask for a lease once more after a refusal: only a
// connection that failed leaves other targets, or the same one, to be tried.
func (e *Engine) again(op *operation, r *dispatch.Request, refused *refusal) bool {
	if refused.why == dispatch.NoTarget.String() || refused.why == dispatch.Overloaded.String() {
		return false
	}
	return e.Clock() < r.Expires
}

// runSingle sends the statement on a leased connection and gives the connection
// back. Retry reports that the statement has not run, or only read, and may be
// sent again.
func (e *Engine) runSingle(op *operation, h *held, s *client.Session, st statement.Statement, writes bool, r *dispatch.Request, timeout time.Duration) (answer statement.Answer, retry bool) {
	if timeout <= 0 {
		e.release(h)
		return statement.Answer{Code: statement.Busy, Detail: "no time left", State: statement.Idle}, false
	}
	if err := e.align(h, s, st, timeout); err != nil {
		e.drop(h, failureOf(err) != target.Refused)
		return statement.Answer{Code: statement.Busy, Detail: err.Error(), State: statement.Idle}, true
	}
	if !e.mayUse(h) {
		e.release(h)
		return statement.Answer{Code: statement.Busy, Detail: "the right to the primary has ended", State: statement.Idle}, true
	}
	sentAs := h.link.Translate(s, st)
	if !h.lease.Primary {
		sentAs.After = r.Floor
	}
	sent := e.Clock()
	answer, err := h.link.Conn.Do(sentAs, timeout)
	if err != nil {
		return e.failedSingle(h, writes, err)
	}
	return e.answeredSingle(h, s, r, writes, sent, answer)
}

// failedSingle says what became of a statement whose answer did not come.
func (e *Engine) failedSingle(h *held, writes bool, err error) (statement.Answer, bool) {
	late := failureOf(err) == target.Late
	if late {
		e.salvage(h)
	} else {
		e.dropFailed(h, err)
	}
	answer := statement.Answer{Detail: err.Error(), State: statement.Idle}
	switch {
	case writes && !sentBefore(err):
		answer.Code = statement.Busy
		return answer, true
	case writes:
		answer.Code = statement.InDoubt
		return answer, false
	case late:
		answer.Code = statement.TimedOut
		return answer, false
	default:
		answer.Code = statement.Busy
		return answer, true
	}
}

// answeredSingle evaluates an answer and gives the connection back.
func (e *Engine) answeredSingle(h *held, s *client.Session, r *dispatch.Request, writes bool, sent time.Duration, answer statement.Answer) (statement.Answer, bool) {
	if answer.State != statement.Idle || answer.Code == statement.OK && answer.Signature == "" {
		e.drop(h, false)
		if writes {
			return statement.Answer{Code: statement.InDoubt, Detail: "unusable answer", State: statement.Idle}, false
		}
		return statement.Answer{Code: statement.Busy, Detail: "unusable answer", State: statement.Idle}, true
	}
	usable := e.mayUse(h)
	e.observe(h, sent, answer.Position)
	retry := false
	switch answer.Code {
	case statement.OK:
		if !usable {
			e.release(h)
			if writes {
				return statement.Answer{Code: statement.InDoubt, Detail: "the right to the primary ended meanwhile", State: statement.Idle}, false
			}
			return statement.Answer{Code: statement.Busy, Detail: "the right to the primary ended meanwhile", State: statement.Idle}, true
		}
		if writes {
			s.Wrote(sent, answer.Position)
		}
	case statement.Lagging:
		h.service.mu.Lock()
		h.service.dispatch.Lagging(e.Clock(), h.lease, r)
		h.service.mu.Unlock()
		r.Excluded = append(r.Excluded, h.lease.Target)
		retry = true
	case statement.UnknownPrepared:
		h.link.ForgetPrepared()
		retry = true
	case statement.Busy, statement.ReadOnly:
		retry = true
	case statement.ExecutionFailed:
		retry = !writes
	}
	e.release(h)
	if retry && (answer.Code == statement.Busy || answer.Code == statement.ReadOnly) {
		time.Sleep(retryPause)
	}
	return answer, retry
}

// answer turns a refusal into an answer.
func (r *refusal) answer(o *Outcome, state statement.TransactionState) statement.Answer {
	o.Why = r.why
	return statement.Answer{Code: r.code, Detail: r.why, State: state}
}

// describe notes the operation.
func (o *Outcome) describe(op *operation) {
	o.Customer, o.Version, o.FloorAge = op.customer, op.version, -1
	if op.service != nil {
		o.Service = op.service.id
	}
}

// floor notes the floor of a request.
func (o *Outcome) floor(op *operation, r *dispatch.Request) {
	if op.hasFloor && !r.NeedsPrimary {
		o.FloorAge = op.began - r.FloorAt
	}
}

// place notes where the statement goes.
func (o *Outcome) place(h *held) {
	o.Target, o.Primary, o.Why = h.lease.Target, h.lease.Primary, h.lease.Why
}
