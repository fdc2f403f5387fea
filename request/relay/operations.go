package relay

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/perform"
)

// replySlack is how much longer than the statement may take its reply is awaited:
// the way there and back.
const replySlack = 100 * time.Millisecond

// Single implements perform.Runner.
func (r *Relay) RunStatement(s *client.Session, st statement.Statement, o *perform.Outcome) statement.Answer {
	place, refused := r.Engine.ResolveRoute(s)
	if refused != nil {
		return refused.Response(o, statement.Idle)
	}
	search := r.search(place, st)
	for {
		to, ok := search.next(s, s.Writes(st))
		if !ok {
			return r.refuse(noInstance, o, statement.Idle)
		}
		if to == r.Self && !r.upToDate() {
			return r.refuse(behind, o, statement.Idle)
		}
		if to == r.Self {
			return r.Engine.RunStatement(s, st, o)
		}
		answer, outcome := r.ask(to, s, r.request(s, st), place.StatementTimeout, o)
		switch {
		case outcome == replied:
			return answer
		case outcome == unanswered && s.Writes(st):
			return statement.Answer{Code: statement.InDoubt, Detail: "home gave no answer", State: statement.Idle}
		}
		search.failed(to, outcome)
	}
}

// refuse refuses an operation that cannot run now.
func (r *Relay) refuse(answer statement.Answer, o *perform.Outcome, state statement.TransactionState) statement.Answer {
	answer.State, o.Reason = state, answer.Detail
	return answer
}

// asked is the outcome of a request to a home.
type asked uint8

const (
	replied asked = iota + 1
	// declined requests have not begun to run.
	declined
	// unanswered requests may have run.
	unanswered
	// unable requests have not begun to run, for want of a usable primary.
	unable
)

func (a asked) String() string {
	return [...]string{"", "replied", "declined", "unanswered", "unable"}[a]
}

// request describes a statement to a home.
func (r *Relay) request(s *client.Session, st statement.Statement) *request {
	q := &request{
		ID: r.lastID.Add(1), Session: sessionID{Born: r.Born, Number: s.Number}, Database: s.Database, Key: s.Key,
		Values: s.Values, Floor: s.Floor, FloorAge: r.Clock() - s.FloorAt, Statement: st,
	}
	q.Version = r.newest.Load()
	if c := r.Engine.Catalog(); c != nil {
		q.Version = max(q.Version, c.Version)
	}
	if prepared, known := s.Prepared[st.Name]; known && st.Kind == statement.Execute {
		q.Prepared = &prepared
	}
	return q
}

// ask sends a request and waits for its reply.
func (r *Relay) ask(to topology.InstanceID, s *client.Session, q *request, timeout time.Duration, o *perform.Outcome) (statement.Answer, asked) {
	c := &call{to: to, since: r.Clock(), repeatable: !q.Within && q.Open == openNone && !s.Writes(q.Statement), done: make(chan *reply, 1)}
	r.mu.Lock()
	r.pending[q.ID] = c
	r.mu.Unlock()
	r.send(to, &message{Request: q})
	timer := time.NewTimer(timeout + replySlack)
	defer timer.Stop()
	var answer *reply
	select {
	case answer = <-c.done:
	case <-timer.C:
	}
	r.mu.Lock()
	delete(r.pending, q.ID)
	r.mu.Unlock()
	switch {
	case answer == nil:
		return statement.Answer{}, unanswered
	case answer.Unable:
		return statement.Answer{}, unable
	case answer.Declined:
		if !q.Within {
			r.declinedBy(to)
		}
		return statement.Answer{}, declined
	}
	answer.Placement.note(o)
	o.ForwardedTo, o.ConfigVersion = to, answer.Version
	r.decidedBy(answer.Version)
	if answer.Confirmed != 0 {
		// The home gave its age after the request was sent, so this is not too young.
		r.OnConfirmed(to, answer.Confirmed, c.since-answer.ConfirmedAge)
	}
	if answer.Floor.Reaches(s.Floor) {
		s.Floor, s.FloorAt = answer.Floor, r.Clock()-answer.FloorAge
	}
	return answer.Answer, replied
}

// decidedBy notes the version of a configuration that decided for a caller here.
// Later work must not be decided by an older one.
func (r *Relay) decidedBy(version uint64) {
	for {
		newest := r.newest.Load()
		if version <= newest || r.newest.CompareAndSwap(newest, version) {
			return
		}
	}
}

// upToDate reports whether this instance's own configuration may decide, after it
// has looked for a newer one if need be.
func (r *Relay) upToDate() bool {
	current := func() bool {
		c := r.Engine.Catalog()
		return c != nil && c.Version >= r.newest.Load()
	}
	if !current() && r.Engine.Confirm != nil {
		r.Engine.Confirm()
	}
	return current()
}

// behind refuses an operation that only an older configuration could decide on.
var behind = statement.Answer{Code: statement.Busy, Detail: "a newer configuration is being read"}

// declinedBy keeps work from a home for a while.
func (r *Relay) declinedBy(id topology.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.livenessOf(id).declinedUntil = r.Clock() + declinedPause
}

// abandonReads lets reads that wait for a silent home go elsewhere.
func (r *Relay) abandonReads(id topology.InstanceID) {
	r.mu.Lock()
	var abandoned []*call
	for number, c := range r.pending {
		if c.to == id && c.repeatable {
			abandoned = append(abandoned, c)
			delete(r.pending, number)
		}
	}
	r.mu.Unlock()
	for _, c := range abandoned {
		c.done <- nil
	}
}

// Begin implements perform.Runner. The home learns of the transaction with
// its first statement.
func (r *Relay) Begin(s *client.Session, readOnly bool, o *perform.Outcome) (perform.Transaction, statement.Answer) {
	place, refused := r.Engine.ResolveRoute(s)
	if refused != nil {
		return nil, refused.Response(o, statement.Idle)
	}
	to, ok := r.place(place.Service, place.Customer, nil)
	switch {
	case !ok:
		return nil, r.refuse(noInstance, o, statement.Idle)
	case to == r.Self && !r.upToDate():
		return nil, r.refuse(behind, o, statement.Idle)
	case to == r.Self:
		return r.Engine.Begin(s, readOnly, o)
	}
	o.Reason, o.Service, o.Customer = "deferred to the first statement", place.Service, place.Customer
	return &transaction{relay: r, session: s, place: place, readOnly: readOnly}, statement.Answer{State: statement.Open}
}

// transaction is a transaction at a home, or here when no home could take it.
type transaction struct {
	relay    *Relay
	session  *client.Session
	place    perform.RouteInfo
	readOnly bool
	// home runs the transaction, empty before its first statement.
	home topology.InstanceID
	// local runs it here instead.
	local perform.Transaction
}

// Run implements perform.Transaction.
func (t *transaction) Run(st statement.Statement, o *perform.Outcome) statement.Answer {
	answer := t.run(st, o)
	if answer.Code != statement.OK && answer.State != statement.Open {
		answer.State = statement.Failed
	}
	return answer
}

func (t *transaction) run(st statement.Statement, o *perform.Outcome) statement.Answer {
	switch {
	case t.local != nil:
		return t.local.Run(st, o)
	case t.home != "":
		return t.within(st, o)
	}
	if answer, done := t.first(st, o); done {
		return answer
	}
	if answer, ok := t.here(o); !ok {
		return answer
	}
	return t.local.Run(st, o)
}

// here opens the transaction on this instance.
func (t *transaction) here(o *perform.Outcome) (statement.Answer, bool) {
	if !t.relay.upToDate() {
		return t.relay.refuse(behind, o, statement.Failed), false
	}
	local, answer := t.relay.Engine.Begin(t.session, t.readOnly, o)
	if local == nil {
		answer.State = statement.Failed
		return answer, false
	}
	t.local = local
	return answer, true
}

// first sends the first statement, which opens the transaction. It is not done
// when the transaction is to run here.
func (t *transaction) first(st statement.Statement, o *perform.Outcome) (statement.Answer, bool) {
	r := t.relay
	search := r.search(t.place, st)
	for {
		to, ok := search.next(t.session, !t.readOnly)
		if !ok {
			return r.refuse(noInstance, o, statement.Failed), true
		}
		if to == r.Self {
			return statement.Answer{}, false
		}
		q := r.request(t.session, st)
		q.Open = openReadWrite
		if t.readOnly {
			q.Open = openReadOnly
		}
		answer, outcome := r.ask(to, t.session, q, t.place.StatementTimeout, o)
		switch outcome {
		case replied:
			t.home = to
			return answer, true
		case unanswered:
			t.end(to)
			return lost(st), true
		}
		search.failed(to, outcome)
	}
}

// lost says what became of a transaction whose home gave no answer: a COMMIT may
// have run, and without one nothing is kept.
func lost(st statement.Statement) statement.Answer {
	if st.Kind == statement.Commit {
		return statement.Answer{Code: statement.InDoubt, Detail: "home gave no answer", State: statement.Idle}
	}
	return statement.Answer{Code: statement.Aborted, Detail: "home gave no answer", State: statement.Failed}
}

// within sends a later statement.
func (t *transaction) within(st statement.Statement, o *perform.Outcome) statement.Answer {
	q := t.relay.request(t.session, st)
	q.Within = true
	answer, outcome := t.relay.ask(t.home, t.session, q, t.place.StatementTimeout, o)
	switch outcome {
	case replied:
		return answer
	case declined:
		return statement.Answer{Code: statement.Aborted, Detail: "home has ended the transaction", State: statement.Failed}
	default:
		if st.Kind != statement.Commit {
			t.end(t.home)
		}
		return lost(st)
	}
}

// Commit implements perform.Transaction.
func (t *transaction) Commit(st statement.Statement, o *perform.Outcome) statement.Answer {
	var answer statement.Answer
	switch {
	case t.local != nil:
		answer = t.local.Commit(st, o)
	case t.home != "":
		answer = t.within(st, o)
	default:
		var done bool
		if answer, done = t.first(st, o); !done {
			if answer, done = t.here(o); done {
				answer = t.local.Commit(st, o)
			}
		}
	}
	answer.State = statement.Idle
	return answer
}

// Rollback implements perform.Transaction.
func (t *transaction) Rollback() {
	switch {
	case t.local != nil:
		t.local.Rollback()
	case t.home != "":
		t.end(t.home)
	}
}

func (t *transaction) end(to topology.InstanceID) {
	t.relay.send(to, &message{End: &sessionID{Born: t.relay.Born, Number: t.session.Number}})
}

// HoldsConnection implements perform.Transaction.
func (t *transaction) HoldsConnection() bool {
	return t.home != "" || t.local != nil && t.local.HoldsConnection()
}
