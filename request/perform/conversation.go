package perform

import (
	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Conversation runs the statements of one caller's session. It is used by one
// goroutine.
type Conversation struct {
	Session *client.Session
	engine  *Engine
	tx      *transaction
}

// Converse begins a conversation.
func (e *Engine) Converse(s *client.Session) *Conversation {
	return &Conversation{Session: s, engine: e}
}

// State returns the state of the session.
func (c *Conversation) State() statement.TransactionState {
	switch {
	case c.tx == nil:
		return statement.Idle
	case c.tx.failed:
		return statement.Failed
	default:
		return statement.Open
	}
}

// HoldsConnection reports that an open transaction holds a target's connection.
func (c *Conversation) HoldsConnection() bool { return c.tx != nil && c.tx.conn != nil }

// Run runs one statement and returns its complete answer.
func (c *Conversation) Run(st statement.Statement) statement.Answer {
	began := c.engine.Clock()
	outcome := Outcome{Kind: st.Kind, FloorAge: -1}
	answer := c.run(st, &outcome)
	if answer.Position == (topology.Point{}) {
		answer.Position = c.Session.Floor
	}
	outcome.Code, outcome.Took = answer.Code, c.engine.Clock()-began
	if answer.Code != statement.OK && answer.Detail != "" {
		outcome.Why = answer.Detail
	}
	c.engine.Observer.Answered(outcome)
	outcome.log(c.engine.Log, st.ID)
	return answer
}

func (c *Conversation) run(st statement.Statement, o *Outcome) statement.Answer {
	if c.tx != nil && c.tx.failed && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		if !c.tx.told {
			c.tx.told = true
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

// data runs a read or a write.
func (c *Conversation) data(st statement.Statement, o *Outcome) statement.Answer {
	if c.tx != nil {
		return c.inTransaction(st, o)
	}
	return c.engine.single(c.Session, st, o)
}

// End rolls back an open transaction.
func (c *Conversation) End() {
	if c.tx == nil {
		return
	}
	c.rollback()
	c.tx = nil
}

// Expire fails a transaction that rested too long. Its next statement learns of
// it.
func (c *Conversation) Expire() {
	if c.tx == nil || c.tx.failed {
		return
	}
	c.rollback()
	c.tx.failed = true
}
