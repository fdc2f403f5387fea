package perform

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/floor"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// Figures about operations.
const (
	// stalenessMargin is kept of a route's staleness for clocks that run at
	// different speeds and for the time between the read's first byte and its
	// admission.
	stalenessMargin = 100 * time.Millisecond
	// ratePatience is the share of the objective that an operation may wait for a
	// token of its customer's rate.
	ratePatience = 0.25
	// attemptsLimit bounds the attempts at one statement.
	attemptsLimit = 6
	// retryPause is the pause before a target that was full is asked again.
	retryPause = 15 * time.Millisecond
)

// operation is what one statement, or one transaction, runs under.
type operation struct {
	// statement is the caller's number of the statement that began the operation.
	statement string
	route     catalog.Route
	customer  topology.CustomerID
	priority  int
	service   *service
	version   uint64
	// began is when the operation began, late when its objective passes.
	began, late time.Duration
	// floor is what replicas must hold; without evidence hasFloor is false.
	floor    floor.Sample
	hasFloor bool
}

// refusal is an answer given without asking a target.
type refusal struct {
	code statement.Code
	why  string
}

// authorize finds the route and the customer of a session in a configuration that
// was confirmed lately.
func (e *Engine) authorize(now time.Duration, s *client.Session) (operation, *refusal) {
	op, refused := e.lookUp(now, s)
	switch {
	case e.catalog.Load() == nil || e.Tenure.Keys(now) || refused == nil && op.route.Open:
		return op, refused
	default:
		return operation{}, &refusal{statement.Busy, "configuration not confirmed lately"}
	}
}

// lookUp finds the route and the customer of a session.
func (e *Engine) lookUp(now time.Duration, s *client.Session) (operation, *refusal) {
	c := e.catalog.Load()
	if c == nil {
		return operation{}, &refusal{statement.Busy, "no configuration yet"}
	}
	route, known := c.Routes[s.Database]
	if !known {
		return operation{}, &refusal{statement.UnknownDatabase, "no route"}
	}
	op := operation{route: route, version: c.Version, began: now, late: now + route.Objective, priority: route.Priority}
	if !route.Open {
		customer, held := c.Keys[s.Key]
		if !held {
			return operation{}, &refusal{statement.AuthenticationFailed, "unknown key"}
		}
		op.customer = customer
	}
	if op.service = e.service(route.Service); op.service == nil {
		return operation{}, &refusal{statement.Busy, "route names an unknown service"}
	}
	return op, nil
}

// Place says which service an operation of a session needs, for whom, and how
// long a statement of it may take.
type Place struct {
	Service  topology.ServiceID
	Customer topology.CustomerID
	Timeout  time.Duration
}

// Refusal is why an operation is refused before anything ran.
type Refusal struct{ refusal }

// Answer turns the refusal into an answer.
func (r *Refusal) Answer(o *Outcome, state statement.TransactionState) statement.Answer {
	return r.refusal.answer(o, state)
}

// Locate finds where a session's next operation belongs without admitting it. Who
// runs the operation authorizes it again with a configuration confirmed lately; a
// refusal here is given only on one.
func (e *Engine) Locate(s *client.Session) (Place, *Refusal) {
	op, refused := e.lookUp(e.Clock(), s)
	if refused != nil {
		if refused = e.refuse(s); refused != nil {
			return Place{}, &Refusal{*refused}
		}
		op, _ = e.lookUp(e.Clock(), s)
	}
	return Place{Service: op.service.id, Customer: op.customer, Timeout: op.route.StatementTimeout}, nil
}

// Able reports whether an operation of a session that changes something, or only
// reads, can run here as far as the primary is concerned. Without the right to a
// primary, or a way to it, another instance may have both; while a primary is being
// replaced, none has.
func (e *Engine) Able(s *client.Session, changes bool) bool {
	now := e.Clock()
	op, refused := e.lookUp(now, s)
	if refused != nil || !changes && op.route.Consistency != catalog.Primary {
		return true
	}
	op.service.mu.Lock()
	defer op.service.mu.Unlock()
	if op.service.revision == 0 || op.service.record.Fenced {
		return true
	}
	primary := op.service.usable(now)
	return primary != "" && !e.Reachability.Suspected(op.service.id, primary)
}

// Authorize checks a session at its start.
func (e *Engine) Authorize(s *client.Session) (code statement.Code, why string) {
	if _, refused := e.Locate(s); refused != nil {
		return refused.code, refused.why
	}
	return statement.OK, ""
}

// refusalAge is how old a confirmation may be for a refusal: just older than one in
// the interval of instances that only relay. Configurations must be in force within
// three seconds.
const refusalAge = 2600 * time.Millisecond

// refuse checks a refusal with a configuration that is confirmed for it, unless
// one was lately. It returns nil when the newer one does not refuse.
func (e *Engine) refuse(s *client.Session) *refusal {
	if age := e.Tenure.Age(e.Clock()); e.Confirm != nil && (age < 0 || age > refusalAge) {
		e.Confirm()
	}
	_, refused := e.authorize(e.Clock(), s)
	return refused
}

// admit begins an operation: authorization, rate and floor.
func (e *Engine) admit(s *client.Session, o *Outcome) (operation, *refusal) {
	now := e.Clock()
	op, refused := e.authorize(now, s)
	op.statement = o.Request
	if refused != nil {
		return op, refused
	}
	if op.customer != "" {
		patience := time.Duration(float64(op.route.Objective) * ratePatience)
		wait, ok := e.rates.take(now, patience, op.customer)
		if !ok && e.Borrow != nil && e.Borrow(op.customer) {
			wait, ok = 0, true
			eventBorrowed.Log(e.Log, "request", op.statement, "customer", op.customer, "version", op.version,
				"part", e.rates.describe(now, op.customer))
		}
		if !ok {
			eventRefused.Log(e.Log, "request", op.statement, "customer", op.customer, "why", "rate", "version", op.version,
				"wait_ms", wait.Milliseconds(), "part", e.rates.describe(now, op.customer))
			return op, &refusal{statement.Busy, "customer's rate is used up"}
		}
		if wait > 0 {
			time.Sleep(wait)
		}
	}
	op.service.mu.Lock()
	op.chooseFloor(now, s)
	op.service.mu.Unlock()
	return op, nil
}

// chooseFloor takes the oldest evidence that the route's staleness allows, and
// the session's own last write. The caller holds the service's lock.
func (o *operation) chooseFloor(now time.Duration, s *client.Session) {
	if o.route.Consistency == catalog.Primary {
		return
	}
	sample, found := o.service.dispatch.Floors.Oldest(now - o.route.MaxStaleness + stalenessMargin)
	if !found {
		return
	}
	o.floor, o.hasFloor = sample, true
	own := floor.Sample{At: s.FloorAt, Point: s.Floor}
	if o.route.Consistency != catalog.Session || own.Point == (topology.Point{}) {
		return
	}
	// A floor of an earlier term may name a commit that the promotion rolled back;
	// any log of the present term holds what is left of it.
	if own.Point.Term < o.service.record.Term {
		if o.floor.Point.Term < o.service.record.Term {
			o.hasFloor = false
		}
		return
	}
	if own.Point.Reaches(o.floor.Point) {
		o.floor = own
	}
}

// request describes the operation to the dispatcher.
func (o *operation) request(s *client.Session, needsPrimary bool, expires time.Duration) *dispatch.Request {
	return &dispatch.Request{
		Customer:     o.customer,
		Session:      s.Number,
		NeedsPrimary: needsPrimary || !o.hasFloor,
		Floor:        o.floor.Point,
		FloorAt:      o.floor.At,
		Late:         o.late,
		Expires:      expires,
		Priority:     o.priority,
	}
}
