package execute

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// errNotRun reports that a write is known not to have run and may be tried
// again, as long as nothing of its answer has been sent.
var errNotRun = errors.New("write did not run")

// runWrite serves a batch that writes, as a transaction of its own.
func (r *request) runWrite() error {
	if err := r.findGroup(); err != nil {
		return err
	}
	tries := r.newAttempts(quickWrites)
	// uncertain counts the attempts that may have run.
	uncertain := 0
	for {
		target, err := r.tryWrite()
		if err == nil {
			return r.finish()
		}
		if r.mayRepeat(err) {
			uncertain++
		} else if !errors.Is(err, errNotRun) {
			return r.conclude(doubt(err, uncertain > 0))
		}
		if ended := r.ended(refusal.StepExchange); ended != nil {
			return doubt(ended, uncertain > 0)
		}
		if r.out.forwarded || uncertain >= maxRepeats || !tries.again(target, err) {
			lost := refusal.New(refusal.TransactionLost, refusal.StepExchange, string(target), err)
			return doubt(lost, uncertain > 0)
		}
	}
}

// maxRepeats bounds how often an idempotent write may run.
const maxRepeats = 4

// doubt turns a refusal that says "not run" into one that doesn't, when an
// earlier attempt of the same write may have run.
func doubt(err error, uncertain bool) error {
	var refused *refusal.Refusal
	if !uncertain || !errors.As(err, &refused) || refused.Kind.Outcome != refusal.NotRun {
		return err
	}
	return refusal.New(refusal.OutcomeUnknown, refused.Step, refused.Peer, refused)
}

// mayRepeat reports whether a write whose outcome is unknown may run again.
func (r *request) mayRepeat(err error) bool {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) || refused.Kind.Outcome != refusal.Unknown {
		return false
	}
	return (r.session.Idempotent || r.plan.statement.Idempotent) && !r.out.forwarded
}

// notRun marks an error as one after which the write is known not to have run,
// unless it is for the caller.
func notRun(err error) error {
	if err == nil || isFinal(err) {
		return err
	}
	return errors.Join(errNotRun, err)
}

// tryWrite runs the write on the primary: BEGIN, the caller's messages and the
// question for the transaction's id in one flight, then COMMIT. So a connection
// that is lost before COMMIT was sent is known not to have written, and the id
// is known of every commit whose answer is lost.
func (r *request) tryWrite() (topology.TargetID, error) {
	decision, err := r.routePrimary(writing)
	if err != nil {
		return "", err
	}
	target := decision.Target.ID
	l, err := r.embark(decision)
	if err != nil {
		return target, notRun(err)
	}
	c := commit{leg: l}
	err = l.write(&c)
	l.end()
	if err != nil {
		return target, err
	}
	return target, r.settle(&c)
}

// write runs the transaction up to the answer to COMMIT.
func (l *leg) write(c *commit) error {
	b, err := l.writeUncommitted(c)
	if err != nil {
		return notRun(err)
	}
	if b.code != "" {
		return l.rollback(b)
	}
	return l.commit(c)
}

// writeUncommitted runs the caller's messages in a new transaction and learns
// its id.
func (l *leg) writeUncommitted(c *commit) (*body, error) {
	r := l.request
	settings := l.queueSettings(r.session.Settings)
	l.queue(queryBegin)
	l.holding = true
	b := l.queueBody(r.session, r.plan)
	// Behind a COPY FROM STDIN a target takes nothing but its data.
	copies := r.plan.statement.Kind == classify.KindCopyIn
	if !copies {
		l.queue(queryTransaction)
	}
	if err := b.start(); err != nil {
		return b, err
	}
	if err := l.awaitSettings(settings); err != nil {
		return b, err
	}
	if err := l.awaitBegin(); err != nil {
		return b, err
	}
	if err := b.relay(); err != nil {
		return b, err
	}
	l.conn.Dirty = l.conn.Dirty || r.plan.statement.Dirty
	// A statement that ends the transaction around it leaves no id to ask for.
	c.blind = b.code == "" && l.conn.Status() != statusInTransaction
	if copies {
		l.queue(queryTransaction)
		if err := l.conn.Flush(); err != nil {
			return b, err
		}
	}
	id, err := l.await(tagSelect)
	if err == nil && b.code == "" {
		c.transaction, err = l.transactionID(id)
	}
	return b, err
}

// awaitBegin takes the answer to BEGIN.
func (l *leg) awaitBegin() error {
	begun, err := l.await(tagBegin)
	if err != nil {
		return err
	}
	if begun.failure != nil {
		l.conn.MarkBroken()
		return errors.New("BEGIN refused: " + begun.failure.Code)
	}
	return nil
}

// rollback ends a transaction whose statement failed. A primary that refuses
// writes has been replaced, unless it is still the primary that the view names.
func (l *leg) rollback(b *body) error {
	if _, err := l.run(queryRollback, tagRollback); err != nil {
		l.conn.MarkBroken()
	}
	if b.code == sqlstate.ReadOnlyTransaction && l.isReplaced() {
		return notRun(errors.New("primary refuses writes"))
	}
	return nil
}

// isReplaced asks the group whether the target is still primary of the term.
func (l *leg) isReplaced() bool {
	ctx, stop := context.WithTimeout(l.request.ctx, l.request.executor.config.FloorTimeout)
	defer stop()
	view, err := l.request.watcher.Refresh(ctx)
	if err != nil {
		return true
	}
	return view.Primary != l.target || view.Term != l.term
}

// commit is the end of a transaction that has written.
type commit struct {
	leg *leg
	// transaction is the id; zero when the transaction has written nothing or
	// its id is not known.
	transaction uint64
	// blind is set when the id is not known although there may be one.
	blind bool
	// sent is set once the target may have begun to commit.
	sent bool
	// answered is set once the target has reported the commit.
	answered bool
	// failure is the target's refusal of the commit.
	failure *pgproto3.ErrorResponse
}

// commit sends COMMIT and takes the answer. From here on the end of the
// request's context doesn't interrupt the exchange.
func (l *leg) commit(c *commit) error {
	r := l.request
	if err := r.gate(); err != nil {
		l.conn.MarkBroken()
		return err
	}
	if ended := r.ended(refusal.StepCommit); ended != nil {
		l.conn.MarkBroken()
		return ended
	}
	stop := l.shield(r.executor.config.CommitTimeout)
	defer stop()
	c.sent = true
	a, err := l.run(queryCommit, tagCommit, tagRollback)
	if err != nil {
		return nil
	}
	c.failure = a.failure
	c.answered = a.failure == nil && a.tag == queryCommit
	return nil
}

// settle finds out what became of a commit and completes the answer.
func (r *request) settle(c *commit) error {
	if !c.sent {
		return nil
	}
	if c.failure != nil {
		return r.settleFailure(c)
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(r.ctx), r.executor.config.CommitTimeout)
	defer stop()
	at := group.Commit{Target: c.leg.target, Term: c.leg.term}
	var cause error
	if c.answered {
		point, err := r.watcher.ConfirmCommit(ctx, at)
		if err == nil {
			return r.acknowledge(point)
		}
		cause = err
	}
	r.watcher.Suspect(c.leg.target)
	return r.resolve(ctx, c, at, cause)
}

// settleFailure passes on the target's refusal of a commit.
func (r *request) settleFailure(c *commit) error {
	if sqlstate.Code(c.failure.Code) == sqlstate.ReadOnlyTransaction {
		return notRun(errors.New("primary refuses to commit"))
	}
	r.out.dropHeld()
	return r.out.add(c.failure)
}

// resolve asks for the outcome of a commit that was not confirmed.
func (r *request) resolve(ctx context.Context, c *commit, at group.Commit, cause error) error {
	peer := string(at.Target)
	if c.blind {
		return refusal.New(refusal.OutcomeUnknown, refusal.StepConfirm, peer, cause)
	}
	if c.transaction == 0 {
		return notRun(errors.New("transaction had no effect and its primary was lost"))
	}
	outcome, point, err := r.watcher.ResolveTransaction(ctx, at, c.transaction)
	if err != nil {
		return refusal.New(refusal.OutcomeUnknown, refusal.StepResolve, peer, errors.Join(cause, err))
	}
	eventResolved.Log(r.executor.deps.Logger, "session", r.session.ID, "target", peer,
		"transaction", c.transaction, "outcome", uint8(outcome))
	switch outcome {
	case platform.OutcomeCommitted:
		return r.acknowledge(point)
	case platform.OutcomeAbsent, platform.OutcomeAborted:
		return errors.Join(errNotRun, errAbsent)
	default:
		return refusal.New(refusal.OutcomeUnknown, refusal.StepResolve, peer, cause)
	}
}

// errAbsent reports that a transaction is known not to have committed.
var errAbsent = errors.New("transaction did not commit")

// acknowledge raises the session's floor to cover its write and gives the caller
// a token for it.
func (r *request) acknowledge(point topology.Point) error {
	r.session.Floor.Raise(r.session.Service(), point)
	token := r.session.Floor.Token()
	if token == "" {
		return nil
	}
	return r.out.add(&pgproto3.ParameterStatus{Name: settingToken, Value: token})
}
