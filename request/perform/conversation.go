package perform

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Operations runs callers' operations: an Engine runs them on targets, a relay
// hands them to another instance's engine.
type Operations interface {
	// Single runs a read or a write outside of transactions.
	Single(s *client.Session, st statement.Statement, o *Outcome) statement.Answer
	// Begin opens a transaction, nil when the answer is a refusal.
	Begin(s *client.Session, readOnly bool, o *Outcome) (Transaction, statement.Answer)
}

// Transaction is an open transaction. After an answer whose state is Failed it
// holds nothing and only waits for its end.
type Transaction interface {
	// Run runs a read or a write.
	Run(st statement.Statement, o *Outcome) statement.Answer
	// Commit ends the transaction and tells what became of it.
	Commit(st statement.Statement, o *Outcome) statement.Answer
	// Rollback gives the transaction up.
	Rollback()
	// HoldsConnection reports that the transaction occupies a target's
	// connection.
	HoldsConnection() bool
}

// Conversation runs the statements of one caller's session. It is used by one
// goroutine.
type Conversation struct {
	Session    *client.Session
	operations Operations
	report     func(o Outcome)
	now        func() time.Duration
	tx         Transaction
	// failed transactions only wait for their end; told reports that the caller
	// knows of the failure.
	failed, told bool
}

// Converse begins a conversation whose operations the given ones run.
func (e *Engine) Converse(s *client.Session, operations Operations) *Conversation {
	return &Conversation{Session: s, operations: operations, now: e.Clock, report: func(o Outcome) {
		e.Observer.Answered(o)
		o.log(e.Log)
	}}
}

// Report sets who is told of each answer, in place of the engine's log and
// metrics.
func (c *Conversation) Report(report func(o Outcome)) { c.report = report }

// State returns the state of the session.
func (c *Conversation) State() statement.TransactionState {
	switch {
	case c.tx == nil:
		return statement.Idle
	case c.failed:
		return statement.Failed
	default:
		return statement.Open
	}
}

// HoldsConnection reports that an open transaction holds a target's connection.
func (c *Conversation) HoldsConnection() bool {
	return c.tx != nil && !c.failed && c.tx.HoldsConnection()
}

// Run runs one statement and returns its complete answer.
func (c *Conversation) Run(st statement.Statement) statement.Answer {
	began := c.now()
	outcome := Outcome{Request: st.ID, Kind: st.Kind, FloorAge: -1}
	answer := c.run(st, &outcome)
	if answer.Position == (topology.Point{}) {
		answer.Position = c.Session.Floor
	}
	outcome.Code, outcome.Took = answer.Code, c.now()-began
	if answer.Code != statement.OK && answer.Detail != "" {
		outcome.Why = answer.Detail
	}
	c.report(outcome)
	return answer
}

func (c *Conversation) run(st statement.Statement, o *Outcome) statement.Answer {
	if c.failed && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		if !c.told {
			c.told = true
			return statement.Answer{Code: statement.Aborted, Detail: "the transaction rested too long", State: statement.Failed}
		}
		return statement.Answer{Code: statement.Malformed, Detail: "the transaction has failed", State: statement.Failed}
	}
	switch st.Kind {
	case statement.Set:
		c.Session.Set(st.Name, st.Argument)
	case statement.Prepare:
		c.Session.Prepare(st.Name, client.Prepared{Writes: st.Writes, Shape: st.Argument})
	case statement.Deallocate:
		delete(c.Session.Prepared, st.Name)
	case statement.Begin, statement.BeginReadOnly:
		if c.tx != nil {
			return statement.Answer{Code: statement.Malformed, Detail: "a transaction is open", State: c.State()}
		}
		return c.begin(st, o)
	case statement.Commit:
		if c.tx == nil {
			return statement.Answer{Code: statement.Malformed, Detail: "no transaction is open", State: statement.Idle}
		}
		return c.commit(st, o)
	case statement.Rollback:
		c.End()
		return statement.Answer{State: statement.Idle}
	case statement.Execute:
		if _, known := c.Session.Prepared[st.Name]; !known {
			return statement.Answer{Code: statement.UnknownPrepared, Detail: st.Name, State: c.State()}
		}
		return c.data(st, o)
	case statement.Read, statement.Write:
		return c.data(st, o)
	default:
		return statement.Answer{Code: statement.Malformed, Detail: "unknown statement", State: c.State()}
	}
	return statement.Answer{State: c.State()}
}

// begin opens a transaction.
func (c *Conversation) begin(st statement.Statement, o *Outcome) statement.Answer {
	tx, answer := c.operations.Begin(c.Session, st.Kind == statement.BeginReadOnly, o)
	if tx != nil {
		c.tx = tx
	}
	return answer
}

// data runs a read or a write.
func (c *Conversation) data(st statement.Statement, o *Outcome) statement.Answer {
	if c.tx == nil {
		return c.operations.Single(c.Session, st, o)
	}
	answer := c.tx.Run(st, o)
	if answer.State == statement.Failed {
		c.failed, c.told = true, true
	}
	return answer
}

// commit ends the transaction.
func (c *Conversation) commit(st statement.Statement, o *Outcome) statement.Answer {
	tx, failed := c.tx, c.failed
	c.tx, c.failed = nil, false
	if failed {
		return statement.Answer{Code: statement.Aborted, Detail: "the transaction has failed", State: statement.Idle}
	}
	return tx.Commit(st, o)
}

// End rolls back an open transaction.
func (c *Conversation) End() {
	if c.tx != nil && !c.failed {
		c.tx.Rollback()
	}
	c.tx, c.failed = nil, false
}

// Expire fails a transaction that rested too long. Its next statement learns of
// it.
func (c *Conversation) Expire() {
	if c.tx == nil || c.failed {
		return
	}
	c.tx.Rollback()
	c.failed, c.told = true, false
}
