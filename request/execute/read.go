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

// errRefusedAsWrite reports that a statement was classified as a read, but a
// target refused it as a write. It did not run.
var errRefusedAsWrite = errors.New("target refused a read as a write")

// settingError reports that a target refused a setting, or a mode of BEGIN,
// that the caller chose.
type settingError struct{ response *pgproto3.ErrorResponse }

// Error describes the refusal.
func (e *settingError) Error() string {
	return "target refused a setting: SQLSTATE " + e.response.Code
}

// errReplayConflict reports that a replica canceled a read that conflicted with
// the replay of the log.
var errReplayConflict = errors.New("read conflicts with the replay of the log")

// runRead serves a batch that is classified as a read. It is retried on another
// target until a part of its response has been sent.
func (r *request) runRead() error {
	if err := r.findGroup(); err != nil {
		return err
	}
	if err := r.raiseArrivalFloor(); err != nil {
		return err
	}
	retries := r.newRetrier(immediateReadAttempts)
	for {
		err := r.tryRead()
		if err == nil {
			return r.finish()
		}
		if errors.Is(err, errRefusedAsWrite) {
			return r.rerunAsWrite()
		}
		retry, err := r.handleAttemptError(retries, err, refusal.ReadLost)
		if !retry {
			return r.sendSettingError(err)
		}
	}
}

// handleAttemptError decides whether a request that has had no effect so far is
// retried after an error. If not, it returns the error for the caller: a
// refusal of the kind when a part of the response has been sent.
func (r *request) handleAttemptError(retries *retrier, err error, kind refusal.Kind) (retry bool, _ error) {
	var targetErr *targetError
	if !errors.As(err, &targetErr) {
		return false, err
	}
	if ctxErr := r.contextErr(refusal.StepExchange); ctxErr != nil {
		return false, ctxErr
	}
	if r.response.partlySent {
		return false, refusal.New(kind, refusal.StepExchange, string(targetErr.target), err)
	}
	if !retries.prepareRetry(targetErr.target, err) {
		return false, refusal.New(refusal.TargetUnreachable, refusal.StepExchange, string(targetErr.target), err)
	}
	return true, nil
}

// targetError reports a failure of a target or of the connection to it, after
// which another target may be tried.
type targetError struct {
	target topology.TargetID
	err    error
}

// Error describes the failure.
func (e *targetError) Error() string {
	return "target " + string(e.target) + " failed: " + e.err.Error()
}

// Unwrap returns the cause.
func (e *targetError) Unwrap() error { return e.err }

// asTargetError wraps an error as a failure of the target, unless it is final.
func asTargetError(target topology.TargetID, err error) error {
	if err == nil || isFinal(err) {
		return err
	}
	return &targetError{target, err}
}

// sendSettingError completes the response with the target's error when err is a
// *settingError. It returns any other error unchanged.
func (r *request) sendSettingError(err error) error {
	var settingErr *settingError
	if !errors.As(err, &settingErr) {
		return err
	}
	r.response.discard()
	if err := r.response.write(settingErr.response); err != nil {
		return err
	}
	return r.finish()
}

// tryRead makes one attempt of a read.
func (r *request) tryRead() error {
	decision, err := r.routeRead()
	if err != nil {
		return err
	}
	a, err := r.beginAttempt(decision)
	if err != nil {
		return asTargetError(decision.Target.ID, err)
	}
	defer a.finish()
	return asTargetError(a.target, a.runRead())
}

// runRead runs the batch and turns a withheld error of the target into one that
// says where the batch may run.
func (a *attempt) runRead() error {
	exchange, err := a.exchangeRead()
	switch {
	case err != nil:
		return err
	case exchange.errorCode == sqlstate.ReadOnlyTransaction:
		return errRefusedAsWrite
	case exchange.withheldError != nil:
		return errReplayConflict
	}
	a.request.recordSetting(a, exchange)
	return nil
}

// exchangeRead runs the batch of a read. On the primary it runs in a read-only
// transaction, so that a statement that writes after all fails, instead of
// committing without a confirmation.
func (a *attempt) exchangeRead() (*batchExchange, error) {
	r := a.request
	settings := a.queueSettings(r.session.Settings)
	if a.primary {
		a.queueQuery(queryBeginReadOnly)
	}
	exchange := a.queueBatch(r.session, r.plan)
	exchange.withholdWriteRefusal = true
	exchange.withholdConflict = !a.primary
	if a.primary {
		a.queueQuery(queryCommit)
	}
	if err := exchange.flush(); err != nil {
		return exchange, err
	}
	if err := a.awaitSettings(settings); err != nil {
		return exchange, err
	}
	if a.primary {
		if err := a.awaitBegin(tagBegin); err != nil {
			return exchange, err
		}
	}
	a.admitCancel()
	if err := exchange.forwardResponse(); err != nil || !a.primary {
		return exchange, err
	}
	return exchange, a.awaitReadOnlyCommit(exchange)
}

// awaitReadOnlyCommit receives the result of the COMMIT of a read-only
// transaction. If the batch has ended that transaction itself, it may have
// written afterwards, so its outcome is unknown.
func (a *attempt) awaitReadOnlyCommit(exchange *batchExchange) error {
	endedTransaction := exchange.errorCode == "" && a.conn.Status() == statusIdle
	if _, err := a.awaitResult(tagCommit, tagRollback); err != nil {
		return err
	}
	if endedTransaction {
		a.conn.MarkBroken()
		return refusal.New(refusal.OutcomeUnknown, refusal.StepExchange, string(a.target), nil)
	}
	return nil
}

// rerunAsWrite runs a batch as a write after a target has refused it as one,
// and records its text as misclassified.
func (r *request) rerunAsWrite() error {
	eventRerunAsWrite.Log(r.executor.deps.Logger, "session", r.session.ID, "service", string(r.session.Service()))
	r.executor.misclassified.insert(r.plan.text)
	if r.response.partlySent {
		return refusal.New(refusal.ReplicaRefused, refusal.StepExchange, "", nil)
	}
	r.response.discard()
	r.failedTargets = nil
	return r.runWrite()
}

// recordSetting records a SET or RESET that a target has accepted, for the
// session and for the connection. SET LOCAL is not recorded.
func (r *request) recordSetting(a *attempt, exchange *batchExchange) {
	statement := &r.plan.statement
	if exchange.errorCode != "" || statement.Local {
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
	a.conn.Settings = r.session.Settings.Values()
}

// isFinal reports whether an error is not a failure of the target: the request
// ends with it, or runs as a write after errRefusedAsWrite.
func isFinal(err error) bool {
	var refused *refusal.Refusal
	var fatal *caller.FatalError
	var callerErr *callerError
	var settingErr *settingError
	return errors.As(err, &refused) || errors.As(err, &fatal) || errors.As(err, &callerErr) ||
		errors.As(err, &settingErr) || errors.Is(err, errRefusedAsWrite) || errors.Is(err, errTooManyStatements)
}
