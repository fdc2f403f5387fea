package engine

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Runner runs callers' operations. An Engine runs them on targets; a relay forwards
// them to another instance's engine.
type Runner interface {
	// RunStatement runs a read or a write outside of a transaction.
	RunStatement(s *client.Session, st statement.Statement, o *Outcome) statement.Response
	// Begin opens a transaction. It returns nil when the response is a refusal.
	Begin(s *client.Session, readOnly bool, o *Outcome) (Transaction, statement.Response)
}

// Transaction is a caller's open transaction. After a response in state Failed it
// holds no connection and must not be used again.
type Transaction interface {
	// Run runs a read or a write.
	Run(st statement.Statement, o *Outcome) statement.Response
	// Commit ends the transaction. Its response says whether the transaction
	// committed, did not, or is in doubt.
	Commit(st statement.Statement, o *Outcome) statement.Response
	// Rollback ends the transaction without its changes. It does not wait for the
	// target.
	Rollback()
	// HoldsConnection reports whether the transaction occupies a connection to a
	// target.
	HoldsConnection() bool
	// KeyWithdrawn reports whether the key with which the transaction began is known to
	// have been withdrawn since.
	KeyWithdrawn() bool
}

// Session runs the statements of one caller's session and tracks the state of
// its transaction. It is used by one goroutine at a time.
type Session struct {
	Client *client.Session
	runner Runner
	report func(o Outcome)
	now    func() time.Duration
	// tx is the open or failed transaction, nil outside of one.
	tx Transaction
	// failed is set while tx has failed and the caller has not ended it yet,
	// failureReported once the caller has received an error for that.
	failed, failureReported bool
	// expiry is the reason why tx has expired, empty unless ExpireTransaction has failed it.
	expiry string
	// statementTimeout returns the timeout of the session's statements.
	statementTimeout func() time.Duration
}

// NewSession returns a session whose operations the runner runs. Outcomes go to the
// engine's log and metrics.
func (e *Engine) NewSession(s *client.Session, runner Runner) *Session {
	return &Session{Client: s, runner: runner, now: e.Clock, statementTimeout: func() time.Duration { return e.statementTimeout(s) }, report: func(o Outcome) {
		e.Observer.StatementCompleted(o)
		o.log(e.Log)
	}}
}

// ReportTo sends the outcome of each statement to report, instead of to the engine's
// log and metrics.
func (s *Session) ReportTo(report func(o Outcome)) { s.report = report }

// State returns the transaction state of the session.
func (s *Session) State() statement.TransactionState {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.failed:
		return statement.Failed
	default:
		return statement.Open
	}
}

// HoldsConnection reports whether an open transaction holds a connection to a
// target.
func (s *Session) HoldsConnection() bool {
	return s.tx != nil && !s.failed && s.tx.HoldsConnection()
}

// ReasonKeyWithdrawn is the detail of responses to statements of transactions whose key was
// withdrawn.
const ReasonKeyWithdrawn = "the key was withdrawn"

// KeyWithdrawn reports whether the key of an open transaction is known to have been withdrawn.
func (s *Session) KeyWithdrawn() bool { return s.State() == statement.Open && s.tx.KeyWithdrawn() }

// ExpireWithdrawn fails and rolls back an open transaction if its key is known to have been
// withdrawn. The caller learns of it with its next statement.
func (s *Session) ExpireWithdrawn() {
	if s.KeyWithdrawn() {
		s.ExpireTransaction(ReasonKeyWithdrawn)
	}
}

// Run runs one statement, reports its outcome and returns its complete response.
func (s *Session) Run(st statement.Statement) statement.Response {
	start := s.now()
	s.Client.Gate.Reset()
	outcome := Outcome{StatementID: st.ID, Kind: st.Kind, FloorAge: -1}
	response := s.run(st, &outcome)
	if response.LogEnd == (topology.Point{}) {
		response.LogEnd = s.Client.Floor
	}
	outcome.Code, outcome.Duration = response.Code, s.now()-start
	if response.Code != statement.OK && response.Detail != "" {
		outcome.Reason = response.Detail
	}
	s.report(outcome)
	return response
}

func (s *Session) run(st statement.Statement, o *Outcome) statement.Response {
	s.ExpireWithdrawn()
	if s.failed && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		if !s.failureReported {
			s.failureReported = true
			return statement.Response{Code: statement.Aborted, Detail: s.expiry, State: statement.Failed}
		}
		return statement.Response{Code: statement.Malformed, Detail: "the transaction has failed", State: statement.Failed}
	}
	switch st.Kind {
	case statement.Set:
		s.Client.SetValue(st.Name, st.Argument)
	case statement.Prepare:
		s.Client.AddPrepared(st.Name, client.PreparedStatement{Writes: st.Writes, Shape: st.Argument})
	case statement.Deallocate:
		delete(s.Client.Prepared, st.Name)
	case statement.Begin, statement.BeginReadOnly:
		if s.tx != nil {
			return statement.Response{Code: statement.Malformed, Detail: "a transaction is open", State: s.State()}
		}
		return s.begin(st, o)
	case statement.Commit:
		if s.tx == nil {
			return statement.Response{Code: statement.Malformed, Detail: "no transaction is open", State: statement.Idle}
		}
		return s.commit(st, o)
	case statement.Rollback:
		s.Rollback()
		return statement.Response{State: statement.Idle}
	case statement.Execute:
		if _, known := s.Client.Prepared[st.Name]; !known {
			return statement.Response{Code: statement.UnknownPrepared, Detail: st.Name, State: s.State()}
		}
		return s.runData(st, o)
	case statement.Read, statement.Write:
		return s.runData(st, o)
	default:
		return statement.Response{Code: statement.Malformed, Detail: "unknown statement", State: s.State()}
	}
	return statement.Response{State: s.State()}
}

// begin opens a transaction.
func (s *Session) begin(st statement.Statement, o *Outcome) statement.Response {
	tx, response := s.runner.Begin(s.Client, st.Kind == statement.BeginReadOnly, o)
	if tx != nil {
		s.tx = tx
	}
	return response
}

// runData runs a read or a write.
func (s *Session) runData(st statement.Statement, o *Outcome) statement.Response {
	if s.tx == nil {
		return s.runner.RunStatement(s.Client, st, o)
	}
	response := s.tx.Run(st, o)
	if response.State == statement.Failed {
		s.failed, s.failureReported = true, true
	}
	return response
}

// commit commits the open transaction. A failed one is reported as aborted.
func (s *Session) commit(st statement.Statement, o *Outcome) statement.Response {
	tx, failed := s.tx, s.failed
	s.tx, s.failed = nil, false
	if failed && !s.failureReported {
		return statement.Response{Code: statement.Aborted, Detail: s.expiry, State: statement.Idle}
	}
	if failed {
		return statement.Response{Code: statement.Aborted, Detail: "the transaction has failed", State: statement.Idle}
	}
	return tx.Commit(st, o)
}

// Rollback rolls back the open transaction, if any.
func (s *Session) Rollback() {
	if s.tx != nil && !s.failed {
		s.tx.Rollback()
	}
	s.tx, s.failed = nil, false
}

// ExpireTransaction fails and rolls back an open transaction, such as one that was idle for
// too long. The caller receives the reason with its next statement.
func (s *Session) ExpireTransaction(reason string) {
	if s.tx == nil || s.failed {
		return
	}
	s.tx.Rollback()
	s.failed, s.failureReported, s.expiry = true, false, reason
}

// Refuse reports a statement that is not run and returns the response. The state of the
// session does not change.
func (s *Session) Refuse(st statement.Statement, code statement.Code, reason string) statement.Response {
	s.report(Outcome{StatementID: st.ID, Kind: st.Kind, Code: code, Reason: reason, FloorAge: -1})
	return statement.Response{Code: code, Detail: reason, State: s.State(), LogEnd: s.Client.Floor}
}

// MayWrite reports whether a statement may write.
func (s *Session) MayWrite(st statement.Statement) bool { return s.Client.MayWrite(st) }

// EndSends lets no more write outside of a transaction and no COMMIT be sent, and reports whether the running
// statement is one that may have been. It may be called while the session runs a statement.
func (s *Session) EndSends() (sent bool) { return s.Client.Gate.Close() }

// StatementTimeout returns the timeout of the session's statements, zero while its route is
// not known.
func (s *Session) StatementTimeout() time.Duration { return s.statementTimeout() }
