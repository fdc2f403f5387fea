package execute

import (
	"errors"
	"strings"

	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
	"samphirehitch.example/samphirehitch/request/route"
)

// deferred is a BEGIN that no target has been told of yet.
type deferred struct {
	query    string
	readOnly bool
}

// deferBegin opens a transaction without a target: it gets a connection with its
// first statement and doesn't hold one while its caller thinks.
func (r *request) deferBegin() error {
	r.deferred = &deferred{query: r.plan.text, readOnly: r.plan.statement.ReadOnly}
	r.status = statusInTransaction
	tag := queryBegin
	if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(r.plan.text)), "START") {
		tag = tagStart
	}
	return r.answerLocally(tag)
}

// runDeferred serves the first statement of a transaction whose BEGIN was
// deferred.
func (r *request) runDeferred() error {
	statement := &r.plan.statement
	if statement.Kind == classify.KindCommit || statement.Kind == classify.KindRollback {
		r.deferred = nil
		r.status = statusIdle
		return r.answerLocally(endTag(statement.Kind))
	}
	err := r.gate()
	if err == nil {
		err = r.admit()
	}
	if err == nil {
		err = r.openTransaction()
	}
	if err != nil {
		return r.conclude(r.failTransaction(err))
	}
	if statement.Ends {
		return r.runPinned()
	}
	return r.finish()
}

// runBegin opens a transaction at once. Statements that follow BEGIN in the same
// batch run with it.
func (r *request) runBegin() error {
	if err := r.openTransaction(); err != nil {
		return r.conclude(err)
	}
	return r.finish()
}

// openTransaction opens the transaction on a target and pins it to the
// connection.
func (r *request) openTransaction() error {
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
			return nil
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
	opening := pin{
		lease: l.lease, watcher: r.watcher, target: l.target, term: l.term,
		readOnly: !l.primary, settings: r.session.Settings,
	}
	b, err := l.open(&opening)
	if err != nil || l.conn.Status() == statusIdle {
		l.end()
		return asLost(l.target, err)
	}
	l.pause()
	if b.code == sqlstate.ReadOnlyTransaction && l.primary && l.isReplaced() {
		l.drop()
		return &lostError{l.target, errors.New("primary refuses writes")}
	}
	r.pin = &opening
	r.deferred = nil
	r.status = l.conn.Status()
	r.recordSetting(l, b)
	l.conn.Dirty = l.conn.Dirty || r.plan.statement.Dirty
	return nil
}

// routeBegin chooses the target of a transaction.
func (r *request) routeBegin() (route.Decision, error) {
	if r.plan.statement.ReadOnly || r.deferred != nil && r.deferred.readOnly {
		return r.routeRead()
	}
	return r.routePrimary(writing)
}

// open begins a transaction and passes on the caller's messages, but not those
// that also end it: they follow once the transaction is pinned.
func (l *leg) open(p *pin) (*body, error) {
	r := l.request
	if r.deferred == nil {
		return l.exchange()
	}
	settings := l.queueSettings(r.session.Settings)
	l.queue(r.deferred.query)
	b := &body{flight: l.flight, session: r.session, plan: r.plan}
	ends := r.plan.statement.Ends
	asks := r.plan.statement.Kind == classify.KindWrite && l.primary && !ends
	if !ends {
		b = l.queueBody(r.session, r.plan)
	}
	if asks {
		l.queue(queryTransaction)
	}
	if err := b.start(); err != nil {
		return b, err
	}
	if err := l.awaitSettings(settings); err != nil {
		return b, err
	}
	if err := l.awaitDeferred(); err != nil || ends {
		return b, err
	}
	if err := b.relay(); err != nil || !asks {
		return b, err
	}
	return b, l.learnTransaction(p)
}

// awaitDeferred takes the answer to a deferred BEGIN. Its modes are the caller's
// own, and so is their refusal.
func (l *leg) awaitDeferred() error {
	begun, err := l.await(tagBegin, tagStart)
	if err != nil || begun.failure == nil {
		return err
	}
	l.conn.MarkBroken()
	return &settingError{begun.failure}
}

// drop gives the connection of a transaction that is not pinned back, closed.
func (l *leg) drop() {
	l.conn.MarkBroken()
	l.request.executor.loads.add(l.target, -1)
	l.lease.Release(false)
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
			return r.conclude(err)
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
