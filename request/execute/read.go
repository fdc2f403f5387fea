package execute

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// errIsWrite reports that a target refused a read as a write; it did not run.
var errIsWrite = errors.New("refused as a write")

// settingError is a target's refusal of a setting that the session has chosen.
type settingError struct{ response *pgproto3.ErrorResponse }

// Error describes the refusal.
func (e *settingError) Error() string { return "setting refused: " + e.response.Code }

// errConflict reports that a replica gave up a read for the replay of the log.
var errConflict = errors.New("read conflicts with the replay of the log")

// runRead serves a batch that only reads, as far as is known.
func (r *request) runRead() error {
	if err := r.findGroup(); err != nil {
		return err
	}
	if err := r.settleFloor(); err != nil {
		return err
	}
	tries := r.newAttempts(quickReads)
	for {
		err := r.tryRead()
		if err == nil {
			return r.finish()
		}
		if errors.Is(err, errIsWrite) {
			return r.moveToWrite()
		}
		again, err := r.retry(tries, err, refusal.ReadLost)
		if !again {
			return r.conclude(err)
		}
	}
}

// retry decides on another attempt of a request that has changed nothing so far.
// When there is none, the error is what the caller is told; kind is for an
// answer that broke off.
func (r *request) retry(tries *attempts, err error, kind refusal.Kind) (again bool, _ error) {
	var lost *lostError
	if !errors.As(err, &lost) {
		return false, err
	}
	if ended := r.ended(refusal.StepExchange); ended != nil {
		return false, ended
	}
	if r.out.forwarded {
		return false, refusal.New(kind, refusal.StepExchange, string(lost.target), err)
	}
	if !tries.again(lost.target, err) {
		return false, refusal.New(refusal.TargetUnreachable, refusal.StepExchange, string(lost.target), err)
	}
	return true, nil
}

// lostError reports a failure of a target or of the connection to it.
type lostError struct {
	target topology.TargetID
	err    error
}

// Error describes the failure.
func (e *lostError) Error() string { return "target " + string(e.target) + " failed: " + e.err.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.err }

// asLost marks an error as the target's failure, unless it is for the caller.
func asLost(target topology.TargetID, err error) error {
	if err == nil || isFinal(err) {
		return err
	}
	return &lostError{target, err}
}

// conclude turns an error that no retry mends into what the caller is told.
func (r *request) conclude(err error) error {
	var setting *settingError
	if !errors.As(err, &setting) {
		return err
	}
	r.out.discard()
	if err := r.out.add(setting.response); err != nil {
		return err
	}
	return r.finish()
}

// tryRead serves the read on one target.
func (r *request) tryRead() error {
	decision, err := r.routeRead()
	if err != nil {
		return err
	}
	l, err := r.embark(decision)
	if err != nil {
		return asLost(decision.Target.ID, err)
	}
	defer l.end()
	return asLost(l.target, l.read())
}

// read runs the batch and decides from its errors where it has to go.
func (l *leg) read() error {
	b, err := l.readOnly()
	switch {
	case err != nil:
		return err
	case b.code == sqlstate.ReadOnlyTransaction:
		return errIsWrite
	case b.refusal != nil:
		return errConflict
	}
	l.request.recordSetting(l, b)
	return nil
}

// readOnly exchanges the messages of a read. On the primary a read-only
// transaction keeps a statement that turns out to write from running
// unconfirmed.
func (l *leg) readOnly() (*body, error) {
	r := l.request
	settings := l.queueSettings(r.session.Settings)
	if l.primary {
		l.queue(queryBeginReadOnly)
	}
	b := l.queueBody(r.session, r.plan)
	b.moves = true
	b.replica = !l.primary
	if l.primary {
		l.queue(queryCommit)
	}
	if err := b.start(); err != nil {
		return b, err
	}
	if err := l.awaitSettings(settings); err != nil {
		return b, err
	}
	if l.primary {
		if err := l.awaitBegin(); err != nil {
			return b, err
		}
	}
	if err := b.relay(); err != nil || !l.primary {
		return b, err
	}
	return b, l.awaitReadOnlyEnd(b)
}

// awaitReadOnlyEnd takes the answer to the COMMIT of a read-only transaction. A
// statement that had ended it before may have written.
func (l *leg) awaitReadOnlyEnd(b *body) error {
	escaped := b.code == "" && l.conn.Status() == statusIdle
	if _, err := l.await(tagCommit, tagRollback); err != nil {
		return err
	}
	if escaped {
		l.conn.MarkBroken()
		return refusal.New(refusal.OutcomeUnknown, refusal.StepExchange, string(l.target), nil)
	}
	return nil
}

// moveToWrite runs a batch as a write after a target has refused it as one.
func (r *request) moveToWrite() error {
	eventMovedWrite.Log(r.executor.deps.Logger, "session", r.session.ID, "service", string(r.session.Service()))
	r.executor.writes.add(r.plan.text)
	if r.out.forwarded {
		return refusal.New(refusal.ReplicaRefused, refusal.StepExchange, "", nil)
	}
	r.out.discard()
	r.failed = nil
	return r.runWrite()
}

// recordSetting keeps a setting that a target has accepted.
func (r *request) recordSetting(l *leg, b *body) {
	statement := &r.plan.statement
	if b.code != "" || statement.Local {
		return
	}
	switch statement.Kind {
	case classify.KindSet:
		r.session.Settings = r.session.Settings.With(statement.Name, statement.Value)
	case classify.KindReset:
		r.session.Settings = r.session.Settings.Without(statement.Name)
	default:
		return
	}
	l.conn.Settings = r.session.Settings.Values()
}

// isFinal reports whether an error is for the caller as it stands.
func isFinal(err error) bool {
	var refused *refusal.Refusal
	var fatal *caller.Fatal
	var gone *callerError
	var setting *settingError
	return errors.As(err, &refused) || errors.As(err, &fatal) || errors.As(err, &gone) ||
		errors.As(err, &setting) || errors.Is(err, errIsWrite) || errors.Is(err, errTooManyStatements)
}
