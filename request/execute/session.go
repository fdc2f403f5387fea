package execute

import (
	"context"
	"errors"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/ledger"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// errCanceled is the cause of a request context that a cancel request canceled.
var errCanceled = errors.New("canceled by the caller")

// sessionExecutor runs the requests of one session, one after the other. It
// implements caller.Session. Cancel may be called concurrently with the other
// methods; these may not be called concurrently with each other.
//
// An open transaction is in one of three states: deferred (deferredBegin is set
// and no target knows of it), pinned to a connection (pinned is set), or failed
// without a connection (status is statusFailed and pinned is nil), in which it
// waits for the caller's ROLLBACK or COMMIT.
type sessionExecutor struct {
	executor *Executor
	session  *session.Session
	// status is the transaction status that the caller sees.
	status status
	// skippingToSync is set while messages are skipped up to the next Sync,
	// after an error in a batch that ended with a Flush.
	skippingToSync bool
	// pinned is the open transaction on its target connection, or nil.
	pinned *pinnedTransaction
	// deferredBegin is the BEGIN of a transaction without a connection, or nil.
	deferredBegin *deferredBegin
	// commitContext replaces the context of a request once a COMMIT was sent, so that the
	// end of the latter does not leave the commit in doubt. Abandon cancels it.
	commitContext context.Context
	abandon       context.CancelFunc

	// mu guards what cancel requests access.
	mu struct {
		sync.Mutex
		// activeConn is the connection on which a request runs, or nil.
		activeConn *upstream.Conn
		// cancelContext cancels the context of the running request. It is nil
		// between requests.
		cancelContext context.CancelCauseFunc
		// cancelRequests counts the cancel requests being sent to a target.
		cancelRequests sync.WaitGroup
	}
}

// pinnedTransaction is an open transaction and the target connection that it
// holds.
type pinnedTransaction struct {
	lease   Lease
	watcher group.Watcher
	target  topology.TargetID
	// term is the group's term when the target was chosen.
	term topology.Term
	// readOnly is set for a transaction on a replica.
	readOnly bool
	// transactionID is zero until it is known, and while the transaction has
	// written nothing.
	transactionID uint64
	// changedRows is set once a statement has changed rows. A transaction without an ID
	// then has written where the ID does not tell, such as to a foreign table.
	changedRows bool
	// settingsAtBegin are the session's settings before the transaction. They
	// are restored unless it commits.
	settingsAtBegin session.Settings
}

// request is one batch while it runs.
type request struct {
	*sessionExecutor
	ctx      context.Context
	batch    *caller.Batch
	plan     *batchPlan
	response responseWriter
	// watcher observes the group of the session's service.
	watcher group.Watcher
	// floor is the log position that a target must have replayed to serve the
	// request.
	floor topology.Point
	// failedTargets are not chosen for the next attempt.
	failedTargets []topology.TargetID
}

// InTransaction reports whether a transaction is open, which may have failed.
func (s *sessionExecutor) InTransaction() bool { return s.status != statusIdle }

// Run executes the batch and writes its response to the stream. A
// *caller.FatalError ends the session with that message, any other error ends it
// without one.
func (s *sessionExecutor) Run(ctx context.Context, batch *caller.Batch, stream caller.MessageStream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.setCancelContext(cancel)
	defer s.setCancelContext(nil)
	r := &request{sessionExecutor: s, ctx: ctx, batch: batch, response: responseWriter{stream: stream}}
	err := r.runBatch(batch)
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return r.sendRefusal(refused)
	}
	return err
}

// runBatch serves the batch including its ReadyForQuery. A *refusal.Refusal has
// still to be sent to the caller; any other error ends the session.
func (r *request) runBatch(batch *caller.Batch) error {
	if r.skippingToSync {
		return r.skipToSync(batch)
	}
	if batch.Query == nil && len(batch.Messages) == 0 {
		return r.finish()
	}
	var err error
	if r.plan, err = newPlan(r.session, batch); err != nil {
		return r.failTransaction(err)
	}
	if batch.Flush && r.status == statusIdle && !r.canServeFlush() {
		return r.refuseUnsupported("Flush after Execute outside of a transaction")
	}
	if r.status == statusFailed && r.pinned == nil {
		return r.runInFailedTransaction()
	}
	if served, err := r.serveLocally(); served || err != nil {
		return err
	}
	switch {
	case r.pinned != nil:
		return r.runPinned()
	case r.deferredBegin != nil:
		return r.runDeferredBegin()
	default:
		return r.runUnpinned()
	}
}

// finish completes the response to the batch: with ReadyForQuery after a Query
// or a Sync, without after a Flush. When a batch that ended with a Flush
// failed, the messages up to the next Sync are skipped, as the protocol
// demands.
func (r *request) finish() error {
	if !r.batch.Flush {
		return r.response.finish(r.status)
	}
	r.skippingToSync = r.response.hasError
	return r.response.flush()
}

// skipToSync drops a batch that follows an error in the same pipeline. A batch
// that ends with a Sync is the last one to be dropped.
func (r *request) skipToSync(batch *caller.Batch) error {
	if batch.Flush || batch.Query != nil {
		return nil
	}
	r.skippingToSync = false
	return r.response.finish(r.status)
}

// canServeFlush reports whether a batch outside of a transaction that ended
// with a Flush can be served as if it had ended with a Sync. That holds when it
// executes nothing on a target, whose transaction the Sync would commit early.
func (r *request) canServeFlush() bool {
	switch r.plan.statement.Kind {
	case classify.KindEmpty, classify.KindBegin, classify.KindDeallocate, classify.KindDiscard:
		return true
	default:
		return false
	}
}

// refuseUnsupported fails the open transaction, if any, and returns a refusal
// that names the feature.
func (r *request) refuseUnsupported(feature string) error {
	refused := refusal.New(refusal.Unsupported, refusal.StepClassify, "", nil)
	refused.Reason = feature
	return r.failTransaction(refused)
}

// runUnpinned serves a batch outside of a transaction.
func (r *request) runUnpinned() error {
	if err := r.checkGate(); err != nil {
		return err
	}
	statement := &r.plan.statement
	if r.canDeferBegin() {
		return r.deferBegin()
	}
	if err := r.admit(); err != nil {
		return err
	}
	r.executor.retryBudget.Deposit()
	switch {
	case statement.Kind == classify.KindBegin:
		return r.runBegin()
	case statement.Kind == classify.KindOutsideTransaction || statement.EndsTransaction:
		return r.runUnwrapped()
	case r.readsOnly():
		return r.runRead()
	default:
		return r.runWrite()
	}
}

// canDeferBegin reports whether the batch is a BEGIN alone. The instance
// responds to it itself and does not count it against the customer's rate,
// unlike the transaction's first statement.
func (r *request) canDeferBegin() bool {
	statement := &r.plan.statement
	return statement.Kind == classify.KindBegin && statement.OnlyModes && !statement.Multiple
}

// readsOnly reports whether the batch may be routed to a replica.
func (r *request) readsOnly() bool {
	switch r.plan.statement.Kind {
	case classify.KindEmpty, classify.KindSet, classify.KindReset, classify.KindInTransaction:
		return true
	case classify.KindRead:
		return !r.executor.misclassified.contains(r.plan.text)
	default:
		return false
	}
}

// checkGate refuses the request when the session's key has been withdrawn, or
// when the configuration is too old to show whether it has.
func (r *request) checkGate() error {
	if r.session.Key != "" {
		if err := r.executor.deps.Gate.CheckFresh(); err != nil {
			return refusal.New(refusal.StaleConfiguration, refusal.StepGate, "", err)
		}
	}
	if err := r.session.CheckAccess(r.executor.deps.Directory()); err != nil {
		return &caller.FatalError{Code: refusal.AccessRevoked.Code, Message: err.Error() + "; not run"}
	}
	return nil
}

// admit counts the request against the customer's rate and refuses it when it
// is over the rate.
func (r *request) admit() error {
	err := r.executor.deps.Admitter.Admit(r.ctx, r.session.Customer)
	if err == nil {
		return nil
	}
	if ctxErr := r.contextErr(refusal.StepAdmit); ctxErr != nil {
		return ctxErr
	}
	refused := refusal.New(refusal.RateExceeded, refusal.StepAdmit, "", err)
	var rateRefusal *ledger.Refusal
	if errors.As(err, &rateRefusal) {
		refused.RetryAfter = rateRefusal.RetryAfter
	}
	return refused
}

// contextErr returns the error for the caller when the request's context is
// done, or nil: the *caller.FatalError that is its cause, else a refusal at the
// step.
func (r *request) contextErr(step refusal.Step) error {
	cause := context.Cause(r.ctx)
	if cause == nil {
		return nil
	}
	var fatal *caller.FatalError
	if errors.As(cause, &fatal) {
		return fatal
	}
	return refusal.New(refusal.Canceled, step, "", cause)
}

// sendRefusal logs the refusal and completes the response with it. What is
// buffered of the response is dropped: all of it, or, when a part has been
// sent, only a CommandComplete that was held for a commit.
func (r *request) sendRefusal(refused *refusal.Refusal) error {
	event := eventRefused
	if refused.Kind.Outcome == refusal.Unknown {
		event = eventOutcomeUnknown
	}
	event.Log(r.executor.deps.Logger, "session", r.session.ID, "customer", string(r.session.Customer),
		"service", string(r.session.Service()), "code", string(refused.Kind.Code),
		"step", string(refused.Step), "peer", refused.Peer, "reason", refused.Error())
	if r.response.partlySent {
		r.response.discardHeld()
	} else {
		r.response.discard()
	}
	if err := r.response.write(refused.Response()); err != nil {
		return err
	}
	return r.finish()
}

// Cancel cancels the running request, if there is one: on its target, or by its
// context while it waits for one. It may be called from any goroutine.
func (s *sessionExecutor) Cancel(ctx context.Context) {
	conn := s.beginCancel()
	if conn == nil {
		return
	}
	defer s.mu.cancelRequests.Done()
	if err := conn.Cancel(ctx); err != nil {
		eventRefused.Log(s.executor.deps.Logger, "session", s.session.ID, "reason", err.Error())
	}
}

// beginCancel returns the connection on which to cancel the running request.
// The connection is not reused afterwards, since its target may process the
// cancel request late. A request that has no connection is canceled by its
// context, and the result is nil.
func (s *sessionExecutor) beginCancel() *upstream.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.activeConn == nil {
		if s.mu.cancelContext != nil {
			s.mu.cancelContext(errCanceled)
		}
		return nil
	}
	s.mu.activeConn.MarkBroken()
	s.mu.cancelRequests.Add(1)
	return s.mu.activeConn
}

// setCancelContext sets how a request that has no connection is canceled.
func (s *sessionExecutor) setCancelContext(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.cancelContext = cancel
}

// setActiveConn sets the connection that cancel requests are sent for. With nil
// it waits for the cancel requests being sent, so that none reaches the
// connection while another session uses it.
func (s *sessionExecutor) setActiveConn(conn *upstream.Conn) {
	s.mu.Lock()
	s.mu.activeConn = conn
	s.mu.Unlock()
	if conn == nil {
		s.mu.cancelRequests.Wait()
	}
}

// Abandon ends the wait for the outcome of a commit. It may be called from any
// goroutine.
func (s *sessionExecutor) Abandon() { s.abandon() }

// Close releases the connection of an open transaction without reuse, which
// rolls the transaction back.
func (s *sessionExecutor) Close() {
	defer s.abandon()
	if s.pinned == nil {
		return
	}
	s.unpin(false)
}

// unpin releases the transaction's connection. It is closed unless reuse is set
// and its state allows it.
func (s *sessionExecutor) unpin(reuse bool) {
	lease := s.pinned.lease
	s.executor.inFlight.add(s.pinned.target, -1)
	s.pinned = nil
	lease.Release(reuse && lease.Conn().Reusable())
}

func newCommandComplete(tag string) *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}
