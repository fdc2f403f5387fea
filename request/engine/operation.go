package engine

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/floor"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

const (
	// stalenessMargin is subtracted from a route's staleness limit. It allows for
	// clocks that run at different speeds and for the time between the read's first
	// byte and its admission.
	stalenessMargin = 100 * time.Millisecond
	// maxRateWaitFraction is the fraction of the route's latency objective for which
	// an operation may wait for a token of its customer's rate.
	maxRateWaitFraction = 0.25
	// maxAttempts includes the first attempt at a statement.
	maxAttempts = 6
	// retryBackoff is the delay before the retry of a statement that a target could
	// not run yet.
	retryBackoff = 15 * time.Millisecond
)

// operation is one statement outside of transactions, or one transaction, that has
// been authorized and admitted.
type operation struct {
	// statementID is the caller's ID of the statement that began the operation.
	statementID   string
	route         catalog.Route
	customer      topology.CustomerID
	priority      int
	service       *service
	configVersion uint64
	// dueAt is when the route's latency objective is exceeded.
	startedAt, dueAt time.Duration
	// floor is the log position that a replica must have reached. Without evidence
	// of one hasFloor is false, and only the primary may serve the operation.
	floor    floor.Sample
	hasFloor bool
}

// refusal is a response that is given without sending anything to a target. The
// caller receives the reason as the detail.
type refusal struct {
	code   statement.Code
	reason string
}

// reasonUnconfirmed is the reason why no key is accepted.
const reasonUnconfirmed = "configuration not confirmed lately"

// authorize resolves the route and the customer of a session. Unless the route is
// open, it requires the authority to accept keys, that is a recently confirmed
// configuration.
func (e *Engine) authorize(now time.Duration, s *client.Session) (operation, *refusal) {
	op, refused := e.resolve(now, s)
	switch {
	case e.catalog.Load() == nil || e.Authority.MayAcceptKeys(now) || refused == nil && op.route.Open:
		return op, refused
	default:
		return operation{}, &refusal{statement.Busy, reasonUnconfirmed}
	}
}

// resolve finds the route and the customer of a session in the configuration in
// force, however old that is.
func (e *Engine) resolve(now time.Duration, s *client.Session) (operation, *refusal) {
	c := e.catalog.Load()
	if c == nil {
		return operation{}, &refusal{statement.Busy, "no configuration yet"}
	}
	route, known := c.Routes[s.Database]
	if !known {
		return operation{}, &refusal{statement.UnknownDatabase, "no route"}
	}
	op := operation{route: route, configVersion: c.Version, startedAt: now, dueAt: now + route.LatencyObjective, priority: route.Priority}
	if !route.Open {
		customer, found := c.Keys[s.Key]
		if !found {
			return operation{}, &refusal{statement.AuthenticationFailed, "unknown key"}
		}
		op.customer = customer
	}
	if op.service = e.service(route.Service); op.service == nil {
		return operation{}, &refusal{statement.Busy, "route names an unknown service"}
	}
	return op, nil
}

// KeyWithdrawn reports whether the configuration in force no longer gives a session's key
// to the customer of an operation. Operations on open routes have no customer and need no
// key.
func (e *Engine) KeyWithdrawn(s *client.Session, customer topology.CustomerID) bool {
	if customer == "" {
		return false
	}
	c := e.catalog.Load()
	return c == nil || c.Keys[s.Key] != customer
}

// RouteInfo is what the forwarding of a session's operation depends on.
type RouteInfo struct {
	Service          topology.ServiceID
	Customer         topology.CustomerID
	StatementTimeout time.Duration
}

// Refusal is the refusal of an operation of which nothing has run.
type Refusal struct{ refusal }

// Response converts the refusal to the response for the caller and records its
// reason in the outcome.
func (r *Refusal) Response(o *Outcome, state statement.TransactionState) statement.Response {
	return r.refusal.response(o, state)
}

// ResolveRoute finds the service and the customer of a session's next operation
// without admitting it. The instance that runs the operation authorizes it again
// with a recently confirmed configuration; a refusal is returned here only after it
// was checked with such a configuration.
func (e *Engine) ResolveRoute(s *client.Session) (RouteInfo, *Refusal) {
	op, refused := e.resolve(e.Clock(), s)
	if refused != nil {
		if op, refused = e.confirmRefusal(s); refused != nil {
			return RouteInfo{}, &Refusal{*refused}
		}
	}
	return RouteInfo{Service: op.service.id, Customer: op.customer, StatementTimeout: op.route.StatementTimeout}, nil
}

// ServiceOf returns the service of a session's route, or false while that is not known.
func (e *Engine) ServiceOf(s *client.Session) (topology.ServiceID, bool) {
	if c := e.catalog.Load(); c != nil {
		route, known := c.Routes[s.Database]
		return route.Service, known
	}
	return "", false
}

// statementTimeout returns the timeout of a session's statements, zero while its route is
// not known: its statements are refused without being run.
func (e *Engine) statementTimeout(s *client.Session) time.Duration {
	if c := e.catalog.Load(); c != nil {
		return c.Routes[s.Database].StatementTimeout
	}
	return 0
}

// CanRun reports whether this instance can run a session's operation as far as the
// primary is concerned. It returns false only when another instance may be able to:
// the operation needs the primary, and this instance lacks the authority to use it
// or cannot reach it. While a primary is being replaced no instance can use it, so
// the operation may as well wait here.
func (e *Engine) CanRun(s *client.Session, writes bool) bool {
	now := e.Clock()
	op, refused := e.resolve(now, s)
	if refused != nil || !writes && op.route.Consistency != catalog.Primary {
		return true
	}
	op.service.mu.Lock()
	defer op.service.mu.Unlock()
	if op.service.revision == 0 || op.service.record.Fenced {
		return true
	}
	primary := op.service.usablePrimary(now)
	return primary != "" && !e.Reachability.IsSuspected(op.service.id, primary)
}

// HasToWait reports whether a session's operation would wait here for a connection to become free.
// It returns false while there is no primary for an operation that needs one: others have none
// either.
func (e *Engine) HasToWait(s *client.Session, writes bool) bool {
	now := e.Clock()
	op, refused := e.resolve(now, s)
	if refused != nil {
		return false
	}
	op.service.mu.Lock()
	defer op.service.mu.Unlock()
	op.chooseFloor(now, s)
	request := op.dispatchRequest(s, writes || op.route.Consistency == catalog.Primary, now+op.route.StatementTimeout)
	op.service.dispatch.SetPrimary(now, op.service.usablePrimary(now))
	if request.NeedsPrimary && op.service.dispatch.Primary() == "" {
		return false
	}
	return !op.service.dispatch.CanGrant(now, request)
}

// Authorize checks the route and the key of a new session.
func (e *Engine) Authorize(s *client.Session) (code statement.Code, reason string) {
	if _, refused := e.ResolveRoute(s); refused != nil {
		return refused.code, refused.reason
	}
	return statement.OK, ""
}

// maxRefusalConfirmationAge bounds the age of the confirmation on which a refusal
// may rest. It is longer than the interval at which instances that use primaries
// confirm their configuration, so that a confirmation received with a recent response
// of an owner suffices, and shorter than the three seconds within which a new
// configuration must be in force.
const maxRefusalConfirmationAge = 2600 * time.Millisecond

// confirmRefusal evaluates a refused session again, after confirming the
// configuration if its last confirmation is too old. It returns the operation when the
// session is no longer refused.
func (e *Engine) confirmRefusal(s *client.Session) (operation, *refusal) {
	if age := e.Authority.ConfirmationAge(e.Clock()); e.ConfirmConfiguration != nil && (age < 0 || age > maxRefusalConfirmationAge) {
		e.ConfirmConfiguration()
	}
	return e.authorize(e.Clock(), s)
}

// admit authorizes a new operation, waits for a token of its customer's rate and
// chooses its floor.
func (e *Engine) admit(s *client.Session, o *Outcome) (operation, *refusal) {
	now := e.Clock()
	op, refused := e.authorize(now, s)
	op.statementID = o.StatementID
	if refused != nil {
		return op, refused
	}
	if op.customer != "" {
		maxWait := time.Duration(float64(op.route.LatencyObjective) * maxRateWaitFraction)
		wait, borrowed, ok := e.AdmitRate(maxWait, op.customer)
		if borrowed {
			eventBorrowed.Log(e.Log, "request", op.statementID, "customer", op.customer, "version", op.configVersion,
				"part", e.limiter.describeShare(now, op.customer))
		}
		if !ok {
			eventRefused.Log(e.Log, "request", op.statementID, "customer", op.customer, "why", "rate", "version", op.configVersion,
				"wait_ms", wait.Milliseconds(), "part", e.limiter.describeShare(now, op.customer))
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

// AdmitRate takes a token for one operation of a customer, from this instance's share of
// the customer's rate or borrowed from another one's. The operation may start after wait,
// which is at most maxWait. It reports false when there is no token.
func (e *Engine) AdmitRate(maxWait time.Duration, customer topology.CustomerID) (wait time.Duration, borrowed, ok bool) {
	wait, ok = e.limiter.admit(e.Clock(), maxWait, customer)
	if ok || e.BorrowToken == nil || !e.BorrowToken(customer) {
		return wait, false, ok
	}
	return 0, true, true
}

// chooseFloor sets the floor of a read: the oldest observed position that the
// route's staleness allows, or the session's own last write if that is later and the
// route promises session consistency. The caller holds the service's lock.
func (o *operation) chooseFloor(now time.Duration, s *client.Session) {
	if o.route.Consistency == catalog.Primary {
		return
	}
	sample, found := o.service.dispatch.Floors.OldestSince(now - o.route.MaxStaleness + stalenessMargin)
	if !found {
		return
	}
	o.floor, o.hasFloor = sample, true
	ownWrite := floor.Sample{At: s.FloorSentAt, Point: s.Floor}
	if o.route.Consistency != catalog.Session || ownWrite.Point == (topology.Point{}) {
		return
	}
	// A session floor of an earlier term may name a commit that the promotion rolled
	// back, so no log may ever reach it. Any log of the current term contains every
	// earlier commit that survived.
	if ownWrite.Point.Term < o.service.record.Term {
		if o.floor.Point.Term < o.service.record.Term {
			o.hasFloor = false
		}
		return
	}
	if ownWrite.Point.Reaches(o.floor.Point) {
		o.floor = ownWrite
	}
}

// dispatchRequest returns the dispatcher's request for the operation. Operations
// without a floor need the primary.
func (o *operation) dispatchRequest(s *client.Session, needsPrimary bool, expiresAt time.Duration) *dispatch.Request {
	return &dispatch.Request{
		Customer:     o.customer,
		Session:      s.Number,
		NeedsPrimary: needsPrimary || !o.hasFloor,
		Floor:        o.floor.Point,
		FloorSentAt:  o.floor.At,
		DueAt:        o.dueAt,
		ExpiresAt:    expiresAt,
		Priority:     o.priority,
	}
}
