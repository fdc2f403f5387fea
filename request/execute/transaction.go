package execute

import (
	"errors"
	"time"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
	"samphirehitch.example/samphirehitch/request/route"
)

// rollbackTimeout bounds the end of a transaction that the instance gives up.
const rollbackTimeout = time.Second

// runBegin opens a transaction and pins it to a target connection. Statements
// that follow BEGIN in the same batch run with it.
func (r *request) runBegin() error {
	if err := r.findGroup(); err != nil {
		return err
	}
	if err := r.settleFloor(); err != nil {
		return err
	}
	tries := r.newAttempts(quickWrites)
	for {
		err := r.tryBegin()
		if err == nil {
			return r.finish()
		}
		again, err := r.retry(tries, err, refusal.TransactionLost)
		if !again {
			return err
		}
	}
}

func (r *request) tryBegin() error {
	decision, err := r.routeBegin()
	if err != nil {
		return err
	}
	l, err := r.embark(decision)
	if err != nil {
		return asLost(decision.Target.ID, err)
	}
	before := r.session.Settings
	b, err := l.exchange()
	if err != nil || l.conn.Status() == statusIdle {
		l.end()
		return asLost(l.target, err)
	}
	l.pause()
	r.pin = &pin{lease: l.lease, watcher: r.watcher, target: l.target, term: l.term, readOnly: !l.primary, settings: before}
	r.status = l.conn.Status()
	if b.code == sqlstate.ReadOnlyTransaction && l.primary && l.isReplaced() {
		r.out.discard()
		r.abandon()
		return &lostError{l.target, errors.New("primary refuses writes")}
	}
	return nil
}

func (r *request) routeBegin() (route.Decision, error) {
	if r.plan.statement.ReadOnly {
		return r.routeRead()
	}
	return r.routePrimary(writing)
}

// exchange puts the settings in force and passes on the caller's messages.
func (l *leg) exchange() (*body, error) {
	settings := l.queueSettings(l.request.session.Settings)
	b := l.queueBody(l.request.session, l.request.plan)
	if err := b.start(); err != nil {
		return b, err
	}
	if err := l.awaitSettings(settings); err != nil {
		return b, err
	}
	return b, b.relay()
}

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
	if r.status == statusIdle {
		r.endPinned(b)
	}
	if c.sent && b.tag == queryCommit && b.code == "" {
		c.answered = true
		if err := r.settlePinned(&c); err != nil {
			return err
		}
	}
	return r.finish()
}

// continueTransaction passes on the caller's messages. Before a COMMIT the
// transaction's id is asked for.
func (l *leg) continueTransaction(c *commit) (*body, error) {
	r := l.request
	if r.plan.statement.Ends && l.primary && r.status == statusInTransaction && r.plan.statement.Kind != classify.KindRollback {
		var err error
		if c.transaction, err = l.transaction(); err != nil {
			return nil, err
		}
		if ended := r.ended(refusal.StepCommit); ended != nil {
			return nil, ended
		}
		c.blind = c.transaction == 0 && r.plan.statement.Multiple
		c.sent = true
		l.holding = true
		stop := l.shield(r.executor.config.CommitTimeout)
		defer stop()
	}
	b := l.queueBody(r.session, r.plan)
	b.moves = l.primary
	if err := b.start(); err != nil {
		return b, err
	}
	return b, b.relay()
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
		r.status = statusFailed
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
	r.status = statusFailed
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
	r.status = statusFailed
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

// runBare serves a batch that can't be wrapped in a transaction, or that is one.
// Once it is sent, a lost connection leaves its outcome unknown.
func (r *request) runBare() error {
	if err := r.findGroup(); err != nil {
		return err
	}
	tries := r.newAttempts(quickWrites)
	for {
		decision, err := r.routePrimary(writing)
		if err != nil {
			return err
		}
		l, err := r.embark(decision)
		if err == nil {
			return r.conclude(r.tryBare(l))
		}
		again, err := r.retry(tries, asLost(decision.Target.ID, err), refusal.TransactionLost)
		if !again {
			return err
		}
	}
}

func (r *request) tryBare(l *leg) error {
	l.holding = true
	c := commit{leg: l, blind: true, sent: true}
	b, err := l.exchange()
	if err == nil && l.conn.Status() != statusIdle {
		l.pause()
		r.pin = &pin{lease: l.lease, watcher: r.watcher, target: l.target, term: l.term, settings: r.session.Settings}
		r.status = l.conn.Status()
		return r.finish()
	}
	l.end()
	if isFinal(err) {
		return err
	}
	c.answered = err == nil
	if c.answered && b.code != "" {
		return r.finish()
	}
	if err := r.settle(&c); err != nil {
		return err
	}
	return r.finish()
}
