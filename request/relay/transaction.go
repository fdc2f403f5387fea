package relay

import (
	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

// transaction is a transaction of a caller here. Its first statement decides whether
// another instance runs it or this one: since BEGIN this one may have ceased to own the service
// and hold no connections any more.
type transaction struct {
	relay   *Relay
	session *client.Session
	// number is the transaction's number, which its requests and aborts carry.
	number   uint64
	route    engine.RouteInfo
	readOnly bool
	// owner is the instance that runs the transaction, empty before its first
	// statement and when this instance runs it.
	owner topology.InstanceID
	// local is the transaction when this instance runs it, or has admitted it as an owner and its
	// first statement has not come yet; otherwise nil.
	local engine.Transaction
	// runsHere is set once a first statement was left to this instance.
	runsHere bool
}

// Run implements the engine's Transaction.
func (t *transaction) Run(st statement.Statement, o *engine.Outcome) statement.Response {
	response := t.run(st, o)
	if response.Code != statement.OK && response.State != statement.Open {
		response.State = statement.Failed
	}
	return response
}

func (t *transaction) run(st statement.Statement, o *engine.Outcome) statement.Response {
	switch {
	case t.runsHere:
		return t.local.Run(st, o)
	case t.owner != "":
		return t.forwardLater(st, o)
	}
	if response, done := t.forwardFirst(st, o); done {
		return response
	}
	if response, ok := t.beginLocally(o); !ok {
		return response
	}
	return t.local.Run(st, o)
}

// beginLocally opens the transaction at this instance's engine, unless BEGIN has. It returns
// false when the transaction is refused.
func (t *transaction) beginLocally(o *engine.Outcome) (statement.Response, bool) {
	if t.local != nil {
		t.runsHere = true
		return statement.Response{}, true
	}
	if !t.relay.configurationCurrent() {
		return t.relay.refuse(refusedOutdatedConfiguration, o, statement.Failed), false
	}
	local, response := t.relay.Engine.Begin(t.session, t.readOnly, o)
	if local == nil {
		response.State = statement.Failed
		return response, false
	}
	t.local, t.runsHere = local, true
	return response, true
}

// forwardFirst forwards the first statement and opens the transaction with it. It
// returns false when the transaction has to run on this instance.
func (t *transaction) forwardFirst(st statement.Statement, o *engine.Outcome) (statement.Response, bool) {
	r := t.relay
	selector := r.newSelector(t.route, st)
	for {
		to, ok := selector.next(t.session, !t.readOnly)
		if !ok {
			return r.refuse(refusedNoOwner, o, statement.Failed), true
		}
		if to == r.Self {
			return statement.Response{}, false
		}
		req := t.newRequest(st)
		req.Begin = beginReadWrite
		if t.readOnly {
			req.Begin = beginReadOnly
		}
		response, outcome := r.forward(to, t.session, selector.prepare(req), t.route.StatementTimeout, o)
		switch outcome {
		case outcomeCompleted:
			t.owner, t.local = to, nil
			return response, true
		case outcomeNoResponse:
			t.sendAbort(to)
			return resultWithoutResponse(st), true
		case outcomeNotSent:
			return r.refuse(response, o, statement.Failed), true
		}
		selector.recordFailure(to, outcome)
	}
}

// resultWithoutResponse returns the result of a transaction's statement to which the
// owner did not respond. A COMMIT is in doubt. Without one the transaction is aborted:
// its owner rolls it back.
func resultWithoutResponse(st statement.Statement) statement.Response {
	if st.Kind == statement.Commit {
		return statement.Response{Code: statement.InDoubt, Detail: "home gave no answer", State: statement.Idle}
	}
	return statement.Response{Code: statement.Aborted, Detail: "home gave no answer", State: statement.Failed}
}

// forwardLater forwards a statement to the owner that runs the transaction.
func (t *transaction) forwardLater(st statement.Statement, o *engine.Outcome) statement.Response {
	req := t.newRequest(st)
	req.InTransaction = true
	response, outcome := t.relay.forward(t.owner, t.session, req, t.route.StatementTimeout, o)
	switch outcome {
	case outcomeCompleted:
		return response
	case outcomeDeclined:
		return statement.Response{Code: statement.Aborted, Detail: t.endedReason(), State: statement.Failed}
	case outcomeNotSent:
		t.sendAbort(t.owner)
		return statement.Response{Code: statement.Aborted, Detail: response.Detail, State: statement.Failed}
	default:
		if st.Kind != statement.Commit {
			t.sendAbort(t.owner)
		}
		return resultWithoutResponse(st)
	}
}

// endedReason returns why the owner has ended the transaction, as far as this instance knows.
func (t *transaction) endedReason() string {
	if t.KeyWithdrawn() {
		return engine.ReasonKeyWithdrawn
	}
	return "home has ended the transaction"
}

// Commit implements the engine's Transaction.
func (t *transaction) Commit(st statement.Statement, o *engine.Outcome) statement.Response {
	var response statement.Response
	switch {
	case t.runsHere:
		response = t.local.Commit(st, o)
	case t.owner != "":
		response = t.forwardLater(st, o)
	default:
		var done bool
		if response, done = t.forwardFirst(st, o); !done {
			if response, done = t.beginLocally(o); done {
				response = t.local.Commit(st, o)
			}
		}
	}
	response.State = statement.Idle
	return response
}

// Rollback implements the engine's Transaction.
func (t *transaction) Rollback() {
	switch {
	case t.local != nil:
		t.local.Rollback()
	case t.owner != "":
		t.sendAbort(t.owner)
	}
}

// sendAbort has an instance roll back the session's transaction. It does not wait.
func (t *transaction) sendAbort(to topology.InstanceID) {
	t.relay.send(to, &message{Abort: &sessionID{Incarnation: t.relay.Incarnation, Number: t.session.Number, Transaction: t.number}})
}

// newRequest returns a request to run a statement of the transaction.
func (t *transaction) newRequest(st statement.Statement) *forwardRequest {
	req := t.relay.newRequest(t.session, st)
	req.Session.Transaction = t.number
	return req
}

// KeyWithdrawn implements the engine's Transaction. The owner decides in addition under its
// own configuration.
func (t *transaction) KeyWithdrawn() bool {
	if t.local != nil {
		return t.local.KeyWithdrawn()
	}
	return t.relay.Engine.KeyWithdrawn(t.session, t.route.Customer)
}

// HoldsConnection implements the engine's Transaction.
func (t *transaction) HoldsConnection() bool {
	return t.owner != "" || t.local != nil && t.local.HoldsConnection()
}
