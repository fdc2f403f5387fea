package execute

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// errWriteNotRun reports that a write is known not to have taken effect. It may
// be retried while nothing of its response has been sent.
var errWriteNotRun = errors.New("write did not run")

// runWrite serves a batch that writes, in a transaction of its own. It is
// retried when it is known not to have taken effect. When its outcome is
// unknown, it is retried only if it is idempotent.
func (r *request) runWrite() error {
	if err := r.findGroup(); err != nil {
		return err
	}
	retries := r.newRetrier(immediateWriteAttempts)
	// uncertainRuns counts the attempts that may have taken effect.
	uncertainRuns := 0
	for {
		target, err := r.tryWrite()
		if err == nil {
			return r.finish()
		}
		if r.mayRunAgain(err) {
			uncertainRuns++
		} else if !errors.Is(err, errWriteNotRun) {
			return r.sendSettingError(unknownIfUncertain(err, uncertainRuns > 0))
		}
		if ctxErr := r.contextErr(refusal.StepExchange); ctxErr != nil {
			return unknownIfUncertain(ctxErr, uncertainRuns > 0)
		}
		if r.response.partlySent || uncertainRuns >= maxIdempotentRuns || !retries.prepareRetry(target, err) {
			refused := refusal.New(refusal.TransactionLost, refusal.StepExchange, string(target), err)
			return unknownIfUncertain(refused, uncertainRuns > 0)
		}
	}
}

// maxIdempotentRuns bounds how often an idempotent write may take effect.
const maxIdempotentRuns = 4

// unknownIfUncertain replaces a refusal with the outcome "not run", or the end of
// the session, by a refusal with an unknown outcome, when an earlier attempt of the
// same write may have taken effect. The session ends after that response.
func unknownIfUncertain(err error, uncertain bool) error {
	var fatal *caller.FatalError
	if uncertain && errors.As(err, &fatal) {
		return refusal.New(refusal.OutcomeUnknown, refusal.StepExchange, "", fatal)
	}
	var refused *refusal.Refusal
	if !uncertain || !errors.As(err, &refused) || refused.Kind.Outcome != refusal.NotRun {
		return err
	}
	return refusal.New(refusal.OutcomeUnknown, refused.Step, refused.Peer, refused)
}

// mayRunAgain reports whether the error says that the outcome of a write is
// unknown, and the write may run again nevertheless.
func (r *request) mayRunAgain(err error) bool {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) || refused.Kind.Outcome != refusal.Unknown {
		return false
	}
	return (r.session.Idempotent || r.plan.statement.Idempotent) && !r.response.partlySent
}

// asWriteNotRun wraps an error as errWriteNotRun, unless it is final.
func asWriteNotRun(err error) error {
	if err == nil || isFinal(err) {
		return err
	}
	return errors.Join(errWriteNotRun, err)
}

// tryWrite makes one attempt of a write on the primary. It sends BEGIN, the
// caller's messages and the query for the transaction ID in one pipeline, and
// then COMMIT. If the connection is lost before COMMIT is sent, the write is
// known not to have taken effect. If it is lost later, the outcome can be
// resolved by the transaction ID.
func (r *request) tryWrite() (topology.TargetID, error) {
	decision, err := r.routePrimary(writeAccess)
	if err != nil {
		return "", err
	}
	target := decision.Target.ID
	a, err := r.beginAttempt(decision)
	if err != nil {
		return target, asWriteNotRun(err)
	}
	commit := pendingCommit{attempt: a}
	err = a.runWrite(&commit)
	a.finish()
	if err != nil {
		return target, err
	}
	return target, r.confirmCommit(&commit)
}

// runWrite runs the transaction up to the response to COMMIT.
func (a *attempt) runWrite(commit *pendingCommit) error {
	exchange, err := a.exchangeUncommitted(commit)
	if err != nil {
		return asWriteNotRun(err)
	}
	if exchange.errorCode != "" {
		return a.rollback(exchange)
	}
	return a.exchangeCommit(commit)
}

// exchangeUncommitted runs the caller's messages in a new transaction and
// obtains its ID.
func (a *attempt) exchangeUncommitted(commit *pendingCommit) (*batchExchange, error) {
	r := a.request
	settings := a.queueSettings(r.session.Settings)
	a.queueQuery(queryBegin)
	a.holdCommandComplete = true
	exchange := a.queueBatch(r.session, r.plan)
	// During COPY FROM STDIN a target accepts only its data, so the transaction
	// ID is requested after it.
	copyIn := r.plan.statement.Kind == classify.KindCopyIn
	if !copyIn {
		a.queueQuery(queryTransactionID)
	}
	if err := exchange.flush(); err != nil {
		return exchange, err
	}
	if err := a.awaitSettings(settings); err != nil {
		return exchange, err
	}
	if err := a.awaitBegin(tagBegin); err != nil {
		return exchange, err
	}
	a.admitCancel()
	if err := exchange.forwardResponse(); err != nil {
		return exchange, err
	}
	a.conn.SettingsUnknown = a.conn.SettingsUnknown || r.plan.statement.MayChangeSettings
	// If the batch has ended the transaction itself, its ID cannot be queried.
	commit.idUnknown = exchange.errorCode == "" && a.conn.Status() != statusInTransaction
	if copyIn {
		a.queueQuery(queryTransactionID)
		if err := a.conn.Flush(); err != nil {
			return exchange, err
		}
	}
	result, err := a.awaitResult(tagSelect)
	if err == nil && exchange.errorCode == "" {
		commit.transactionID, err = a.parseTransactionID(result)
		commit.idUnknown = commit.idUnknown || (commit.transactionID == 0 && exchange.changedRows)
	}
	return exchange, err
}

// awaitBegin receives the result of a BEGIN behind which the batch was sent. If it has
// not opened a transaction, the batch has run on its own, so its outcome is unknown.
func (a *attempt) awaitBegin(tags ...string) error {
	result, err := a.awaitResult(tags...)
	var violation *upstream.ProtocolError
	if result.failure == nil && !errors.As(err, &violation) {
		return err
	}
	a.conn.MarkBroken()
	if result.failure != nil {
		err = errors.New("target refused BEGIN: SQLSTATE " + result.failure.Code)
	}
	return refusal.New(refusal.OutcomeUnknown, refusal.StepExchange, string(a.target), err)
}

// rollback rolls back the transaction after the batch has failed. The error is
// then the caller's, except when the target refused a write because it has been
// replaced as primary: the write may then be retried.
func (a *attempt) rollback(exchange *batchExchange) error {
	if _, err := a.roundTrip(queryRollback, tagRollback); err != nil {
		a.conn.MarkBroken()
	}
	if exchange.errorCode == sqlstate.ReadOnlyTransaction && a.isReplaced() {
		return asWriteNotRun(errors.New("replaced primary refused the write as read-only"))
	}
	return nil
}

// isReplaced reports whether a new status round shows that the target is no
// longer the primary of the term. It also returns true when there is no status
// round in time.
func (a *attempt) isReplaced() bool {
	ctx, cancel := context.WithTimeout(a.request.ctx, a.request.executor.config.FloorTimeout)
	defer cancel()
	view, err := a.request.watcher.Refresh(ctx)
	if err != nil {
		return true
	}
	return view.Primary != a.target || view.Term != a.term
}

// pendingCommit is the state of a commit until its outcome is known.
type pendingCommit struct {
	attempt *attempt
	// transactionID is zero when the transaction has written nothing or its ID
	// is unknown.
	transactionID uint64
	// idUnknown is set when the transaction may have an ID that is not known.
	idUnknown bool
	// sent is set once the target may have begun to commit.
	sent bool
	// reported is set when the target has reported the commit as done.
	reported bool
	// failure is the target's error in response to COMMIT, if any.
	failure *pgproto3.ErrorResponse
}

// exchangeCommit sends COMMIT and receives its result. The session's access is
// checked for the last time before it. If that fails, the connection is closed,
// which rolls the transaction back.
//
// Once COMMIT is sent, the exchange is bounded by CommitTimeout in place of the
// request's context, so that the end of the context does not leave the commit in
// doubt. A failed exchange is no error here: confirmCommit then resolves the
// outcome.
func (a *attempt) exchangeCommit(commit *pendingCommit) error {
	r := a.request
	if err := r.checkGate(); err != nil {
		a.conn.MarkBroken()
		return err
	}
	if ctxErr := r.contextErr(refusal.StepCommit); ctxErr != nil {
		a.conn.MarkBroken()
		return ctxErr
	}
	if err := a.conn.CheckAlive(); err != nil {
		return asWriteNotRun(err)
	}
	stop := a.detachContext(r.executor.config.CommitTimeout)
	defer stop()
	commit.sent = true
	result, err := a.roundTrip(queryCommit, tagCommit, tagRollback)
	if err == nil && result.failure != nil {
		err = a.confirmRefusal()
	}
	if err != nil {
		return nil
	}
	commit.failure = result.failure
	commit.reported = result.failure == nil && result.commandTag == queryCommit
	return nil
}

// confirmRefusal checks that an error was the response to COMMIT, by a statement behind it. If
// the error was the copy of an earlier one, the response to COMMIT comes now.
func (a *attempt) confirmRefusal() error {
	id, err := a.fetchTransactionID()
	if err == nil && id != 0 {
		err = a.protocolError("transaction is open after its COMMIT was refused")
	}
	return err
}

// confirmCommit waits until the group confirms the commit that the target
// reported, and acknowledges it. A commit that was not reported or not
// confirmed is in doubt, and its outcome is resolved.
func (r *request) confirmCommit(commit *pendingCommit) error {
	if !commit.sent {
		return nil
	}
	if commit.failure != nil {
		return r.handleCommitError(commit)
	}
	ctx, cancel := context.WithTimeout(r.commitContext, r.executor.config.CommitTimeout)
	defer cancel()
	commitRef := group.Commit{Target: commit.attempt.target, Term: commit.attempt.term}
	var cause error
	if commit.reported {
		point, err := r.watcher.ConfirmCommit(ctx, commitRef)
		if err == nil {
			return r.acknowledge(point)
		}
		cause = err
	}
	if r.commitContext.Err() == nil {
		r.watcher.ReportFailure(commit.attempt.target)
	}
	return r.resolveInDoubt(ctx, commit, commitRef, cause)
}

// handleCommitError writes the target's error in response to COMMIT. A target
// that refuses the commit as read-only has been replaced as primary; the write
// did not run.
func (r *request) handleCommitError(commit *pendingCommit) error {
	if sqlstate.Code(commit.failure.Code) == sqlstate.ReadOnlyTransaction {
		return asWriteNotRun(errors.New("primary refused the commit as read-only"))
	}
	r.response.discardHeld()
	return r.response.write(commit.failure)
}

// resolveInDoubt resolves the outcome of a commit that was not confirmed, by
// the transaction ID on a primary of a later term. cause says why the commit
// was not confirmed; it may be nil.
func (r *request) resolveInDoubt(ctx context.Context, commit *pendingCommit, commitRef group.Commit, cause error) error {
	peer := string(commitRef.Target)
	if commit.idUnknown {
		return refusal.New(refusal.OutcomeUnknown, refusal.StepConfirm, peer, cause)
	}
	if commit.transactionID == 0 {
		return asWriteNotRun(errors.New("primary failed during the commit of a transaction that wrote nothing"))
	}
	outcome, point, err := r.watcher.ResolveTransaction(ctx, commitRef, commit.transactionID)
	if err != nil {
		return refusal.New(refusal.OutcomeUnknown, refusal.StepResolve, peer, errors.Join(cause, err))
	}
	eventOutcomeResolved.Log(r.executor.deps.Logger, "session", r.session.ID, "target", peer,
		"transaction", commit.transactionID, "outcome", uint8(outcome))
	switch outcome {
	case platform.OutcomeCommitted:
		return r.acknowledge(point)
	case platform.OutcomeAbsent, platform.OutcomeAborted:
		return errors.Join(errWriteNotRun, errNotCommitted)
	default:
		return refusal.New(refusal.OutcomeUnknown, refusal.StepResolve, peer, cause)
	}
}

// errNotCommitted reports that a transaction is known not to have committed.
var errNotCommitted = errors.New("transaction did not commit")

// acknowledge raises the session's floor to cover its write, and sends the
// caller a token for the new floor.
func (r *request) acknowledge(point topology.Point) error {
	r.session.Floor.Raise(r.session.Service(), point)
	token := r.session.Floor.Token()
	if token == "" {
		return nil
	}
	return r.response.write(&pgproto3.ParameterStatus{Name: settingToken, Value: token})
}
