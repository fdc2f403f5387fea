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

// errCanceled is the cause of a context that a cancel request ended.
var errCanceled = errors.New("canceled by the caller")

// conversation runs the requests of one session.
type conversation struct {
	executor *Executor
	session  *session.Session
	// status is what the caller has last been told.
	status status
	// skipping is set from an error in a batch that ended with a Flush until the
	// next Sync.
	skipping bool
	// pin is the open transaction's target connection; nil outside of one.
	pin *pin
	// deferred is the BEGIN of a transaction that has no connection yet.
	deferred *deferred

	mu struct {
		sync.Mutex
		// running is the connection on which a request runs.
		running *upstream.Conn
		// stop ends the context of the request that is not yet on a target.
		stop context.CancelCauseFunc
		// cancels counts cancel requests that are under way.
		cancels sync.WaitGroup
	}
}

// pin is a target connection that a transaction holds.
type pin struct {
	lease    Lease
	watcher  group.Watcher
	target   topology.TargetID
	term     topology.Term
	readOnly bool
	// transaction is the id; zero when it is not known.
	transaction uint64
	// settings are those from before the transaction, to go back to.
	settings session.Settings
}

// request is one batch while it runs.
type request struct {
	*conversation
	ctx   context.Context
	batch *caller.Batch
	plan  *plan
	out   relay
	// watcher is the group of the session's service.
	watcher group.Watcher
	floor   topology.Point
	// failed are targets that have failed the request.
	failed []topology.TargetID
}

// InTransaction implements caller.Conversation.
func (c *conversation) InTransaction() bool { return c.status != statusIdle }

// Run implements caller.Conversation.
func (c *conversation) Run(ctx context.Context, batch *caller.Batch, port caller.Port) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	c.setStop(stop)
	defer c.setStop(nil)
	r := &request{conversation: c, ctx: ctx, batch: batch, out: relay{port: port}}
	err := r.run(batch)
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return r.refuse(refused)
	}
	return err
}

// run serves the batch up to its ReadyForQuery. A *refusal.Refusal is told to
// the caller, any other error ends the session.
func (r *request) run(batch *caller.Batch) error {
	if r.skipping {
		return r.skip(batch)
	}
	if batch.Query == nil && len(batch.Messages) == 0 {
		return r.finish()
	}
	var err error
	if r.plan, err = newPlan(r.session, batch); err != nil {
		return r.failTransaction(err)
	}
	if batch.Flush && r.status == statusIdle && !r.flushes() {
		return r.unsupported("Flush after Execute outside of a transaction")
	}
	if r.status == statusFailed && r.pin == nil {
		return r.runFailed()
	}
	if served, err := r.runLocal(); served || err != nil {
		return err
	}
	switch {
	case r.pin != nil:
		return r.runPinned()
	case r.deferred != nil:
		return r.runDeferred()
	default:
		return r.runUnpinned()
	}
}

// finish ends the answer to the batch. After an error in one that ended with a
// Flush, what follows up to the next Sync is not run.
func (r *request) finish() error {
	if !r.batch.Flush {
		return r.out.finish(r.status)
	}
	r.skipping = r.out.erred
	return r.out.send()
}

// skip drops a batch that follows an error in the same pipeline.
func (r *request) skip(batch *caller.Batch) error {
	if batch.Flush || batch.Query != nil {
		return nil
	}
	r.skipping = false
	return r.out.finish(r.status)
}

// flushes reports whether a batch that ended with a Flush can be served as if a
// Sync had: outside of a transaction, when it runs nothing on a target.
func (r *request) flushes() bool {
	switch r.plan.statement.Kind {
	case classify.KindEmpty, classify.KindBegin, classify.KindDeallocate, classify.KindDiscard:
		return true
	default:
		return false
	}
}

func (r *request) unsupported(feature string) error {
	refused := refusal.New(refusal.Unsupported, refusal.StepClassify, "", nil)
	refused.Reason = feature
	return r.failTransaction(refused)
}

// runUnpinned serves a batch outside of a transaction.
func (r *request) runUnpinned() error {
	if err := r.gate(); err != nil {
		return err
	}
	statement := &r.plan.statement
	if r.defersBegin() {
		return r.deferBegin()
	}
	if err := r.admit(); err != nil {
		return err
	}
	r.executor.budget.Request()
	switch {
	case statement.Kind == classify.KindBegin:
		return r.runBegin()
	case statement.Kind == classify.KindBare || statement.Ends:
		return r.runBare()
	case r.readsOnly():
		return r.runRead()
	default:
		return r.runWrite()
	}
}

// defersBegin reports whether the batch is a BEGIN alone. It is answered here and
// costs the customer nothing; the transaction's first statement does.
func (r *request) defersBegin() bool {
	statement := &r.plan.statement
	return statement.Kind == classify.KindBegin && statement.Plain && !statement.Multiple
}

// readsOnly reports whether the batch may go to a replica.
func (r *request) readsOnly() bool {
	switch r.plan.statement.Kind {
	case classify.KindEmpty, classify.KindSet, classify.KindReset, classify.KindInTransaction:
		return true
	case classify.KindRead:
		return !r.executor.writes.has(r.plan.text)
	default:
		return false
	}
}

// gate refuses a request whose key can't be judged or has been withdrawn.
func (r *request) gate() error {
	if r.session.Key != "" {
		if err := r.executor.deps.Gate.Fresh(); err != nil {
			return refusal.New(refusal.StaleConfiguration, refusal.StepGate, "", err)
		}
	}
	if err := r.session.Check(r.executor.deps.Directory()); err != nil {
		return &caller.Fatal{Code: refusal.Withdrawn.Code, Message: err.Error() + "; not run"}
	}
	return nil
}

// admit counts the request against the customer's rate.
func (r *request) admit() error {
	err := r.executor.deps.Admitter.Admit(r.ctx, r.session.Customer)
	if err == nil {
		return nil
	}
	if ended := r.ended(refusal.StepAdmit); ended != nil {
		return ended
	}
	refused := refusal.New(refusal.OverRate, refusal.StepAdmit, "", err)
	var over *ledger.Refusal
	if errors.As(err, &over) {
		refused.RetryAfter = over.RetryAfter
	}
	return refused
}

// ended returns why the request's context has ended, or nil.
func (r *request) ended(at refusal.Step) error {
	cause := context.Cause(r.ctx)
	if cause == nil {
		return nil
	}
	var fatal *caller.Fatal
	if errors.As(cause, &fatal) {
		return fatal
	}
	return refusal.New(refusal.Canceled, at, "", cause)
}

// refuse tells the caller of a refusal.
func (r *request) refuse(refused *refusal.Refusal) error {
	event := eventRefused
	if refused.Kind.Outcome == refusal.Unknown {
		event = eventUnknown
	}
	event.Log(r.executor.deps.Logger, "session", r.session.ID, "customer", string(r.session.Customer),
		"service", string(r.session.Service()), "code", string(refused.Kind.Code),
		"step", string(refused.Step), "peer", refused.Peer, "reason", refused.Error())
	if r.out.forwarded {
		r.out.dropHeld()
	} else {
		r.out.discard()
	}
	if err := r.out.add(refused.Response()); err != nil {
		return err
	}
	return r.finish()
}

// Cancel implements caller.Conversation.
func (c *conversation) Cancel(ctx context.Context) {
	running := c.beginCancel()
	if running == nil {
		return
	}
	defer c.mu.cancels.Done()
	if err := running.Cancel(ctx); err != nil {
		eventRefused.Log(c.executor.deps.Logger, "session", c.session.ID, "reason", err.Error())
	}
}

// beginCancel returns the connection to cancel on, which then isn't used for
// another session, or ends the wait of a request that is on none.
func (c *conversation) beginCancel() *upstream.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.running == nil {
		if c.mu.stop != nil {
			c.mu.stop(errCanceled)
		}
		return nil
	}
	c.mu.running.MarkBroken()
	c.mu.cancels.Add(1)
	return c.mu.running
}

func (c *conversation) setStop(stop context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.stop = stop
}

// setRunning records the connection that cancel requests go to. Before a
// connection is taken away, the requests under way end.
func (c *conversation) setRunning(conn *upstream.Conn) {
	c.mu.Lock()
	c.mu.running = conn
	c.mu.Unlock()
	if conn == nil {
		c.mu.cancels.Wait()
	}
}

// Close implements caller.Conversation.
func (c *conversation) Close() {
	if c.pin == nil {
		return
	}
	c.release(false)
}

// release gives the transaction's connection back.
func (c *conversation) release(reuse bool) {
	lease := c.pin.lease
	c.executor.loads.add(c.pin.target, -1)
	c.pin = nil
	lease.Release(reuse && lease.Conn().Reusable())
}

// complete encodes a CommandComplete.
func complete(tag string) *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}
