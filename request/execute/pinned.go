package execute

import (
	"errors"
	"time"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// rollbackTimeout bounds the end of a transaction that the instance gives up.
const rollbackTimeout = time.Second

// runPinned serves a batch inside of a transaction.
func (r *request) runPinned() error {
	r.watcher = r.pin.watcher
	if r.plan.statement.Kind != classify.KindRollback {
		if err := r.gate(); err != nil {
			return r.failTransaction(err)
		}
	}
	if !r.plan.statement.Ends {
		if err := r.admit(); err != nil {
			return r.failTransaction(err)
		}
	}
	l := r.resume()
	c := commit{leg: l}
	b, err := l.continueTransaction(&c)
	l.pause()
	if err != nil {
		return r.losePinned(&c, err)
	}
	if b.refusal != nil {
		if l.isReplaced() {
			return r.failTransaction(refusal.New(refusal.TransactionLost, refusal.StepExchange, string(l.target), nil))
		}
		if err := r.out.add(b.refusal); err != nil {
			return err
		}
	}
	r.recordSetting(l, b)
	l.conn.Dirty = l.conn.Dirty || r.plan.statement.Dirty
	r.status = l.conn.Status()
	switch {
	case r.status == statusIdle:
		r.endPinned(b)
	case r.plan.statement.Ends:
		r.pin.transaction = 0
	}
	if c.sent && b.tag == queryCommit && b.code == "" {
		c.answered = true
		if err := r.settlePinned(&c); err != nil {
			return err
		}
	}
	return r.finish()
}

// continueTransaction passes on the caller's messages. The transaction's id is
// asked for with its first write, or before its COMMIT at the latest.
func (l *leg) continueTransaction(c *commit) (*body, error) {
	r := l.request
	if err := l.conn.Quiet(); err != nil {
		return nil, err
	}
	if l.endsWrites() {
		if err := l.prepareCommit(c); err != nil {
			return nil, err
		}
		stop := l.shield(r.executor.config.CommitTimeout)
		defer stop()
	}
	b := l.queueBody(r.session, r.plan)
	b.moves = l.primary
	asks := l.asksForTransaction()
	if asks {
		l.queue(queryTransaction)
	}
	if err := b.start(); err != nil {
		return b, err
	}
	if err := b.relay(); err != nil || !asks {
		return b, err
	}
	return b, l.learnTransaction(r.pin)
}

// endsWrites reports whether the batch may commit a transaction that may have
// written.
func (l *leg) endsWrites() bool {
	statement := &l.request.plan.statement
	return statement.Ends && statement.Kind != classify.KindRollback && l.primary && l.request.status == statusInTransaction
}

// prepareCommit makes sure of the transaction's id before COMMIT is sent.
func (l *leg) prepareCommit(c *commit) error {
	r := l.request
	c.transaction = r.pin.transaction
	if c.transaction == 0 {
		var err error
		if c.transaction, err = l.transaction(); err != nil {
			return err
		}
	}
	if err := l.conn.Quiet(); err != nil {
		return err
	}
	if ended := r.ended(refusal.StepCommit); ended != nil {
		return ended
	}
	c.blind = c.transaction == 0 && r.plan.statement.Multiple
	c.sent = true
	l.holding = true
	return nil
}

// asksForTransaction reports whether the batch is a write of a transaction whose
// id is not known. The question takes no round trip of its own.
func (l *leg) asksForTransaction() bool {
	statement := &l.request.plan.statement
	return statement.Kind == classify.KindWrite && !statement.Ends && l.primary &&
		l.request.pin.transaction == 0 && l.request.status == statusInTransaction
}

// learnTransaction takes the answer to the question for the id. There is none
// when the write failed.
func (l *leg) learnTransaction(p *pin) error {
	a, err := l.await(tagSelect)
	if err != nil || a.failure != nil {
		return err
	}
	p.transaction, err = l.transactionID(a)
	return err
}

// endPinned gives the connection of a transaction that has ended back.
func (r *request) endPinned(b *body) {
	if b.tag != queryCommit {
		r.session.Settings = r.pin.settings
		r.pin.lease.Conn().Settings = r.pin.settings.Values()
	}
	r.release(true)
}

// losePinned tells the caller of a transaction whose connection was lost.
func (r *request) losePinned(c *commit, err error) error {
	target := c.leg.target
	r.session.Settings = r.pin.settings
	r.release(false)
	if isFinal(err) {
		r.status = r.statusAfterError()
		return err
	}
	if c.sent {
		r.status = statusIdle
		if err := r.settlePinned(c); err != nil {
			return err
		}
		if err := r.completeCommit(target); err != nil {
			return err
		}
		return r.finish()
	}
	r.status = r.statusAfterError()
	r.watcher.Suspect(target)
	if ended := r.ended(refusal.StepExchange); ended != nil {
		return ended
	}
	return refusal.New(refusal.TransactionLost, refusal.StepExchange, string(target), err)
}

// completeCommit answers a COMMIT that is known to have taken effect although
// its answer was lost. Other answers of the same batch can't be made up.
func (r *request) completeCommit(target topology.TargetID) error {
	if r.out.forwarded || r.plan.statement.Multiple {
		return refusal.New(refusal.OutcomeUnknown, refusal.StepCommit, string(target), nil)
	}
	r.out.discard()
	return r.answer(localAnswer{tag: queryCommit})
}

// settlePinned finds out what became of the commit of a transaction.
func (r *request) settlePinned(c *commit) error {
	err := r.settle(c)
	if errors.Is(err, errNotRun) {
		return refusal.New(refusal.CommitAbsent, refusal.StepResolve, string(c.leg.target), err)
	}
	return err
}

// statusAfterError is the status of a transaction after an error that ended it
// on its target: a caller that asked for its end gets that.
func (r *request) statusAfterError() status {
	if r.plan != nil && r.plan.statement.Ends {
		return statusIdle
	}
	return statusFailed
}

// failTransaction rolls back the open transaction, if there is one, since its
// caller is about to be told of an error. It returns the error.
func (r *request) failTransaction(err error) error {
	var fatal *caller.Fatal
	if errors.As(err, &fatal) || r.status == statusIdle {
		return err
	}
	if r.pin != nil {
		r.watcher = r.pin.watcher
		r.abandon()
	}
	r.deferred = nil
	r.status = r.statusAfterError()
	return err
}

// abandon rolls back the open transaction on the target.
func (r *request) abandon() {
	l := r.resume()
	defer l.shield(rollbackTimeout)()
	_, err := l.run(queryRollback, tagRollback)
	if err != nil {
		l.conn.MarkBroken()
	}
	l.pause()
	r.session.Settings = r.pin.settings
	l.conn.Settings = r.pin.settings.Values()
	r.status = statusIdle
	r.release(true)
}
