package execute

import (
	"errors"
	"time"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// rollbackTimeout bounds the rollback of a transaction that the instance
// aborts.
const rollbackTimeout = time.Second

// runPinned serves a batch of a transaction that is pinned to a connection. A
// batch that ends the transaction is not counted against the customer's rate,
// and a ROLLBACK is served even if the session has lost its access.
func (r *request) runPinned() error {
	r.watcher = r.pinned.watcher
	if r.plan.statement.Kind != classify.KindRollback {
		if err := r.checkGate(); err != nil {
			return r.failTransaction(err)
		}
	}
	if !r.plan.statement.EndsTransaction {
		if err := r.admit(); err != nil {
			return r.failTransaction(err)
		}
	}
	a := r.resumeTransaction()
	commit := pendingCommit{attempt: a}
	exchange, err := a.continueTransaction(&commit)
	a.suspend()
	if err != nil {
		return r.handlePinnedFailure(&commit, err)
	}
	if exchange.withheldError != nil {
		if a.isReplaced() {
			return r.failTransaction(refusal.New(refusal.TransactionLost, refusal.StepExchange, string(a.target), nil))
		}
		if err := r.response.write(exchange.withheldError); err != nil {
			return err
		}
	}
	r.pinned.changedRows = r.pinned.changedRows || exchange.changedRows
	r.recordSetting(a, exchange)
	a.conn.SettingsUnknown = a.conn.SettingsUnknown || r.plan.statement.MayChangeSettings
	r.status = a.conn.Status()
	switch {
	case r.status == statusIdle:
		r.finishPinned(exchange)
	case r.plan.statement.EndsTransaction:
		r.pinned.transactionID, r.pinned.changedRows = 0, false
	}
	if commit.sent && exchange.commandTag == queryCommit && exchange.errorCode == "" {
		commit.reported = true
		if err := r.confirmPinnedCommit(&commit); err != nil {
			return err
		}
	}
	return r.finish()
}

// continueTransaction runs the caller's batch in the pinned transaction. The
// transaction ID is requested together with the first write, or before COMMIT
// at the latest.
func (a *attempt) continueTransaction(commit *pendingCommit) (*batchExchange, error) {
	r := a.request
	if err := a.conn.CheckAlive(); err != nil {
		return nil, err
	}
	a.admitCancel()
	if a.mayCommitWrites() {
		if err := a.prepareCommit(commit); err != nil {
			return nil, err
		}
		stop := a.detachContext(r.executor.config.CommitTimeout)
		defer stop()
	}
	exchange := a.queueBatch(r.session, r.plan)
	exchange.withholdWriteRefusal = a.primary
	requestsID := a.needsTransactionID()
	if requestsID {
		a.queueQuery(queryTransactionID)
	}
	if err := exchange.flush(); err != nil {
		return exchange, err
	}
	if err := exchange.forwardResponse(); err != nil {
		return exchange, err
	}
	if commit.sent && exchange.errorCode != "" && a.conn.Status() == statusIdle {
		return exchange, a.confirmRefusal()
	}
	if !requestsID {
		return exchange, nil
	}
	return exchange, a.awaitTransactionID(r.pinned)
}

// mayCommitWrites reports whether the batch may commit a transaction that may
// have written.
func (a *attempt) mayCommitWrites() bool {
	statement := &a.request.plan.statement
	return statement.EndsTransaction && statement.Kind != classify.KindRollback && a.primary && a.request.status == statusInTransaction
}

// prepareCommit obtains the transaction ID before COMMIT is sent, so that the
// outcome can be resolved when the response is lost. The ID stays unknown when
// nothing was written so far, and the batch has other statements before COMMIT
// that may write.
func (a *attempt) prepareCommit(commit *pendingCommit) error {
	r := a.request
	commit.transactionID = r.pinned.transactionID
	if commit.transactionID == 0 {
		var err error
		if commit.transactionID, err = a.fetchTransactionID(); err != nil {
			return err
		}
	}
	if err := a.conn.CheckAlive(); err != nil {
		return err
	}
	if ctxErr := r.contextErr(refusal.StepCommit); ctxErr != nil {
		return ctxErr
	}
	commit.idUnknown = commit.transactionID == 0 && (r.plan.statement.Multiple || r.pinned.changedRows)
	commit.sent = true
	a.holdCommandComplete = true
	return nil
}

// needsTransactionID reports whether the batch is a write in a transaction
// whose ID is not known. The ID is then requested in the same round trip.
func (a *attempt) needsTransactionID() bool {
	statement := &a.request.plan.statement
	return statement.Kind == classify.KindWrite && !statement.EndsTransaction && a.primary &&
		a.request.pinned.transactionID == 0 && a.request.status == statusInTransaction
}

// awaitTransactionID receives the result of the query for the transaction ID.
// The query fails when the write before it has failed; the ID is then left
// unknown.
func (a *attempt) awaitTransactionID(pinned *pinnedTransaction) error {
	result, err := a.awaitResult(tagSelect)
	if err != nil || result.failure != nil {
		return err
	}
	pinned.transactionID, err = a.parseTransactionID(result)
	return err
}

// finishPinned releases the connection of a transaction that has ended. Unless
// it committed, the settings from before the transaction are restored, as the
// target has done on its side.
func (r *request) finishPinned(exchange *batchExchange) {
	if exchange.commandTag != queryCommit {
		r.session.Settings = r.pinned.settingsAtBegin
		r.pinned.lease.Conn().Settings = r.pinned.settingsAtBegin.Values()
	}
	r.unpin(true)
}

// handlePinnedFailure ends a transaction whose connection failed. If COMMIT was
// sent, its outcome is resolved; else the transaction is lost.
func (r *request) handlePinnedFailure(commit *pendingCommit, err error) error {
	target := commit.attempt.target
	r.session.Settings = r.pinned.settingsAtBegin
	r.unpin(false)
	if isFinal(err) {
		r.status = r.statusAfterError()
		return err
	}
	if commit.sent {
		r.status = statusIdle
		reconstructible := !r.response.partlySent && !r.plan.statement.Multiple
		if reconstructible {
			r.response.discard() // before the confirmation, which adds the token to the response
		}
		if err := r.confirmPinnedCommit(commit); err != nil {
			return err
		}
		if err := r.respondCommitted(target, reconstructible); err != nil {
			return err
		}
		return r.finish()
	}
	r.status = r.statusAfterError()
	r.watcher.ReportFailure(target)
	if ctxErr := r.contextErr(refusal.StepExchange); ctxErr != nil {
		return ctxErr
	}
	return refusal.New(refusal.TransactionLost, refusal.StepExchange, string(target), err)
}

// respondCommitted responds to a COMMIT that took effect although its response
// was lost. A batch with other statements is refused with an unknown outcome,
// since their responses cannot be reconstructed.
func (r *request) respondCommitted(target topology.TargetID, reconstructible bool) error {
	if !reconstructible {
		return refusal.New(refusal.OutcomeUnknown, refusal.StepCommit, string(target), nil)
	}
	return r.writeLocalResult(localResult{commandTag: queryCommit})
}

// confirmPinnedCommit is confirmCommit for a pinned transaction. If the
// transaction did not commit, the caller has to retry it as a whole.
func (r *request) confirmPinnedCommit(commit *pendingCommit) error {
	err := r.confirmCommit(commit)
	if errors.Is(err, errWriteNotRun) {
		return refusal.New(refusal.NotCommitted, refusal.StepResolve, string(commit.attempt.target), err)
	}
	return err
}

// statusAfterError returns the transaction status for the caller after an error
// that ended the transaction on its target: idle when the batch was to end it
// too, else failed.
func (r *request) statusAfterError() status {
	if r.plan != nil && r.plan.statement.EndsTransaction {
		return statusIdle
	}
	return statusFailed
}

// failTransaction rolls back the open transaction, if there is one, before err
// is sent to the caller. It returns err. With a *caller.FatalError, which ends
// the session, the transaction is left to Close.
func (r *request) failTransaction(err error) error {
	var fatal *caller.FatalError
	if errors.As(err, &fatal) || r.status == statusIdle {
		return err
	}
	if r.pinned != nil {
		r.watcher = r.pinned.watcher
		r.rollBackPinned()
	}
	r.deferredBegin = nil
	r.status = r.statusAfterError()
	return err
}

// rollBackPinned rolls back the pinned transaction on its target and restores
// the settings from before it. If that fails, the connection is closed.
func (r *request) rollBackPinned() {
	a := r.resumeTransaction()
	defer a.detachContext(rollbackTimeout)()
	_, err := a.roundTrip(queryRollback, tagRollback)
	if err != nil {
		a.conn.MarkBroken()
	}
	a.suspend()
	r.session.Settings = r.pinned.settingsAtBegin
	a.conn.Settings = r.pinned.settingsAtBegin.Values()
	r.status = statusIdle
	r.unpin(true)
}
