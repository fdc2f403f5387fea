package execute

import (
	"errors"

	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/request/refusal"
	"samphirehitch.example/samphirehitch/request/route"
)

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
