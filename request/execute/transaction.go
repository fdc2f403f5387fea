package execute

import (
	"errors"
	"strings"

	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
	"samphirehitch.example/samphirehitch/request/route"
)

// deferredBegin is a BEGIN to which the instance has responded and that has not
// yet been sent to a target.
type deferredBegin struct {
	query    string
	readOnly bool
}

// deferBegin responds to BEGIN without a target. The transaction gets a
// connection with its first statement, so that it holds none while its caller is
// idle before that.
func (r *request) deferBegin() error {
	r.deferredBegin = &deferredBegin{query: r.plan.text, readOnly: r.plan.statement.ReadOnly}
	r.status = statusInTransaction
	tag := queryBegin
	if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(r.plan.text)), "START") {
		tag = tagStart
	}
	return r.respondLocally(tag)
}

// runDeferredBegin serves the first batch after a deferred BEGIN. A COMMIT or
// ROLLBACK ends the transaction without a target.
func (r *request) runDeferredBegin() error {
	statement := &r.plan.statement
	if statement.Kind == classify.KindCommit || statement.Kind == classify.KindRollback {
		r.deferredBegin = nil
		r.status = statusIdle
		return r.respondLocally(transactionEndTag(statement.Kind))
	}
	err := r.checkGate()
	if err == nil {
		err = r.admit()
	}
	if err == nil {
		err = r.openTransaction()
	}
	if err != nil {
		return r.sendSettingError(r.failTransaction(err))
	}
	if statement.EndsTransaction {
		return r.runPinned()
	}
	return r.finish()
}

// runBegin serves a BEGIN that cannot be deferred, with the statements that
// follow it in the batch.
func (r *request) runBegin() error {
	if err := r.openTransaction(); err != nil {
		return r.sendSettingError(err)
	}
	return r.finish()
}

// openTransaction opens a transaction on a target and pins it to the
// connection. It is retried on another target until a part of the response has
// been sent.
func (r *request) openTransaction() error {
	if err := r.findGroup(); err != nil {
		return err
	}
	if err := r.raiseArrivalFloor(); err != nil {
		return err
	}
	retries := r.newRetrier(immediateWriteAttempts)
	for {
		err := r.tryOpenTransaction()
		if err == nil {
			return nil
		}
		retry, err := r.handleAttemptError(retries, err, refusal.TransactionLost)
		if !retry {
			return err
		}
	}
}

// tryOpenTransaction makes one attempt to open a transaction.
func (r *request) tryOpenTransaction() error {
	decision, err := r.routeTransaction()
	if err != nil {
		return err
	}
	a, err := r.beginAttempt(decision)
	if err != nil {
		return asTargetError(decision.Target.ID, err)
	}
	pinned := pinnedTransaction{
		lease: a.lease, watcher: r.watcher, target: a.target, term: a.term,
		readOnly: !a.primary, settingsAtBegin: r.session.Settings,
	}
	exchange, err := a.exchangeFirstBatch(&pinned)
	if err != nil || a.conn.Status() == statusIdle {
		a.finish()
		return asTargetError(a.target, err)
	}
	a.suspend()
	if exchange.errorCode == sqlstate.ReadOnlyTransaction && a.primary && a.isReplaced() {
		a.discardConn()
		return &targetError{a.target, errors.New("replaced primary refused the write as read-only")}
	}
	pinned.changedRows = exchange.changedRows
	r.pinned = &pinned
	r.deferredBegin = nil
	r.status = a.conn.Status()
	r.recordSetting(a, exchange)
	a.conn.SettingsUnknown = a.conn.SettingsUnknown || r.plan.statement.MayChangeSettings
	return nil
}

// routeTransaction chooses the target of a transaction. One that was begun as
// READ ONLY is routed like a read.
func (r *request) routeTransaction() (route.Decision, error) {
	if r.plan.statement.ReadOnly || r.deferredBegin != nil && r.deferredBegin.readOnly {
		return r.routeRead()
	}
	return r.routePrimary(writeAccess)
}

// exchangeFirstBatch begins the transaction on the target and runs the caller's
// batch in it. After a deferred BEGIN, a batch that also ends the transaction
// is not sent yet: it runs once the transaction is pinned, where its commit is
// confirmed.
func (a *attempt) exchangeFirstBatch(pinned *pinnedTransaction) (*batchExchange, error) {
	r := a.request
	if r.deferredBegin == nil {
		return a.exchangeBatch()
	}
	settings := a.queueSettings(r.session.Settings)
	a.queueQuery(r.deferredBegin.query)
	exchange := &batchExchange{pipeline: a.pipeline, session: r.session, plan: r.plan}
	ends := r.plan.statement.EndsTransaction
	requestsID := r.plan.statement.Kind == classify.KindWrite && a.primary && !ends
	if !ends {
		exchange = a.queueBatch(r.session, r.plan)
	}
	if requestsID {
		a.queueQuery(queryTransactionID)
	}
	if err := exchange.flush(); err != nil {
		return exchange, err
	}
	if err := a.awaitSettings(settings); err != nil {
		return exchange, err
	}
	if err := a.awaitDeferredBegin(ends); err != nil || ends {
		return exchange, err
	}
	a.admitCancel()
	if err := exchange.forwardResponse(); err != nil || !requestsID {
		return exchange, err
	}
	return exchange, a.awaitTransactionID(pinned)
}

// awaitDeferredBegin receives the result of a deferred BEGIN. An error of the
// target is for the caller, who chose the modes of the transaction, if nothing can
// have run behind it: the batch is not sent yet, or a replica has run it.
func (a *attempt) awaitDeferredBegin(alone bool) error {
	if a.primary && !alone {
		return a.awaitBegin(tagBegin, tagStart)
	}
	result, err := a.awaitResult(tagBegin, tagStart)
	if err != nil || result.failure == nil {
		return err
	}
	a.conn.MarkBroken()
	return &settingError{result.failure}
}

// discardConn releases the connection without reuse. It follows suspend when
// the transaction is not pinned after all.
func (a *attempt) discardConn() {
	a.conn.MarkBroken()
	a.request.executor.inFlight.add(a.target, -1)
	a.lease.Release(false)
}

// exchangeBatch applies the session's settings and runs the caller's batch as
// it is. The batch is sent once the settings are confirmed: no transaction of the
// instance would undo what it did without them.
func (a *attempt) exchangeBatch() (*batchExchange, error) {
	a.admitCancel()
	if settings := a.queueSettings(a.request.session.Settings); settings > 0 {
		if err := a.conn.Flush(); err != nil {
			return nil, err
		}
		if err := a.awaitSettings(settings); err != nil {
			return nil, err
		}
	}
	exchange := a.queueBatch(a.request.session, a.request.plan)
	if err := exchange.flush(); err != nil {
		return exchange, err
	}
	return exchange, exchange.forwardResponse()
}

// runUnwrapped serves a batch that cannot run within a transaction, such as
// VACUUM, or that contains one from BEGIN to COMMIT. No transaction is added to
// it, so its transaction ID is not known. If the connection is lost once the
// batch was sent, its outcome is unknown.
func (r *request) runUnwrapped() error {
	if err := r.findGroup(); err != nil {
		return err
	}
	retries := r.newRetrier(immediateWriteAttempts)
	for {
		decision, err := r.routePrimary(writeAccess)
		if err != nil {
			return err
		}
		a, err := r.beginAttempt(decision)
		if err == nil {
			return r.sendSettingError(r.tryUnwrapped(a))
		}
		retry, err := r.handleAttemptError(retries, asTargetError(decision.Target.ID, err), refusal.TransactionLost)
		if !retry {
			return r.sendSettingError(err)
		}
	}
}

// tryUnwrapped runs the batch on the attempt's connection and confirms its
// commit. If the batch leaves a transaction open, the session is pinned to the
// connection.
func (r *request) tryUnwrapped(a *attempt) error {
	a.holdCommandComplete = true
	commit := pendingCommit{attempt: a, idUnknown: true, sent: true}
	exchange, err := a.exchangeBatch()
	if err == nil && a.conn.Status() != statusIdle {
		a.suspend()
		r.pinned = &pinnedTransaction{lease: a.lease, watcher: r.watcher, target: a.target, term: a.term, settingsAtBegin: r.session.Settings}
		r.status = a.conn.Status()
		return r.finish()
	}
	a.finish()
	if isFinal(err) {
		return err
	}
	commit.reported = err == nil
	if commit.reported && exchange.errorCode != "" {
		return r.finish()
	}
	if err := r.confirmCommit(&commit); err != nil {
		return err
	}
	return r.finish()
}
