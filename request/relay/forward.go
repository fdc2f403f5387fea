package relay

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

// responseMargin is added to the statement timeout while a response is awaited. It
// allows for the round trip to the owner.
const responseMargin = 100 * time.Millisecond

// RunStatement implements the engine's Runner. It forwards the statement to an owner,
// or runs it here. When an owner does not respond, a write is in doubt and a read is
// sent to another instance.
func (r *Relay) RunStatement(s *client.Session, st statement.Statement, o *engine.Outcome) statement.Response {
	route, refusal := r.Engine.ResolveRoute(s)
	if refusal != nil {
		return refusal.Response(o, statement.Idle)
	}
	selector := r.newSelector(route, st)
	for {
		to, ok := selector.next(s, s.MayWrite(st))
		if !ok {
			return r.refuse(refusedNoOwner, o, statement.Idle)
		}
		if to == r.Self && !r.configurationCurrent() {
			return r.refuse(refusedOutdatedConfiguration, o, statement.Idle)
		}
		if to == r.Self {
			return r.Engine.RunStatement(s, st, o)
		}
		response, outcome := r.forward(to, s, selector.prepare(r.newRequest(s, st)), route.StatementTimeout, o)
		switch {
		case outcome == outcomeCompleted:
			return response
		case outcome == outcomeNoResponse && s.MayWrite(st):
			return statement.Response{Code: statement.InDoubt, Detail: "home gave no answer", State: statement.Idle}
		case outcome == outcomeNotSent:
			return r.refuse(response, o, statement.Idle)
		}
		selector.recordFailure(to, outcome)
	}
}

// refuse completes a refusal with the transaction state and records its reason in the
// outcome.
func (r *Relay) refuse(response statement.Response, o *engine.Outcome, state statement.TransactionState) statement.Response {
	response.State, o.Reason = state, response.Detail
	return response
}

// forwardOutcome is the outcome of a forwarded request.
type forwardOutcome uint8

const (
	// outcomeCompleted: the instance ran the request and returned its result.
	outcomeCompleted forwardOutcome = iota + 1
	// outcomeDeclined: the instance did not run the request and will not.
	outcomeDeclined
	// outcomeNoResponse: the instance may have run the request.
	outcomeNoResponse
	// outcomeNoPrimary: the instance declined the request because it cannot use the
	// primary.
	outcomeNoPrimary
	// outcomeNotOwner: the instance declined the request because, as far as it knows, it
	// does not own the service; as a backup owner it has no connection free.
	outcomeNotOwner
	// outcomeNotSent: the request was not sent, and the response is a refusal.
	outcomeNotSent
)

func (o forwardOutcome) String() string {
	return [...]string{"", "replied", "declined", "unanswered", "unable", "no owner", "not sent"}[o]
}

// newRequest returns a request to run a statement of a session, with the session
// state that it depends on.
func (r *Relay) newRequest(s *client.Session, st statement.Statement) *forwardRequest {
	req := &forwardRequest{
		ID: r.lastID.Add(1), Session: sessionID{Incarnation: r.Incarnation, Number: s.Number}, Database: s.Database, Key: s.Key,
		Values: s.Values, Floor: s.Floor, FloorAge: r.Clock() - s.FloorSentAt, Statement: st,
	}
	req.ConfigVersion = r.newestConfigVersion.Load()
	if c := r.Engine.Catalog(); c != nil {
		req.ConfigVersion = max(req.ConfigVersion, c.Version)
	}
	if prepared, known := s.Prepared[st.Name]; known && st.Kind == statement.Execute {
		req.Prepared = &prepared
	}
	return req
}

// mayBeInDoubt reports whether the effect of a request without a response is not known: only that
// of a write outside of a transaction and of a COMMIT. Other transactions are rolled back.
func mayBeInDoubt(s *client.Session, req *forwardRequest) bool {
	return req.Statement.Kind == statement.Commit || !req.InTransaction && req.Begin == beginNone && s.MayWrite(req.Statement)
}

// forward sends a request to an instance and waits for its response. A result updates
// the outcome and the session's floor, and confirms this instance's configuration.
func (r *Relay) forward(to topology.InstanceID, s *client.Session, req *forwardRequest, timeout time.Duration, o *engine.Outcome) (statement.Response, forwardOutcome) {
	payload, err := peer.EncodePayload(&message{Request: req})
	if err != nil {
		eventNotSent.LogError(r.Log, err, "request", req.Statement.ID, "peer", to)
		return refusedTooLarge, outcomeNotSent
	}
	if mayBeInDoubt(s, req) && !s.Gate.Pass() {
		return refusedExiting, outcomeNotSent
	}
	pending := &pendingRequest{to: to, sentAt: r.Clock(), statementID: req.Statement.ID, readOnly: !req.InTransaction && req.Begin == beginNone && !s.MayWrite(req.Statement), response: make(chan *forwardResponse, 1)}
	resp := r.exchange(req.ID, pending, payload, timeout+responseMargin)
	if resp != nil && (resp.NoPrimary || resp.Declined) {
		s.Gate.Reset()
	}
	switch {
	case resp == nil:
		return statement.Response{}, outcomeNoResponse
	case resp.NoPrimary:
		return statement.Response{}, outcomeNoPrimary
	case resp.Declined && resp.NotOwner:
		return statement.Response{}, outcomeNotOwner
	case resp.Declined:
		if !req.InTransaction {
			r.backOffFrom(to)
		}
		return statement.Response{}, outcomeDeclined
	}
	r.recordResult(pending, s, resp, o)
	return resp.Result, outcomeCompleted
}

// exchange sends an encoded request and waits for its response. It returns nil when none
// arrives in time or none can be expected any more.
func (r *Relay) exchange(id uint64, pending *pendingRequest, payload cbor.RawMessage, timeout time.Duration) (resp *forwardResponse) {
	r.mu.Lock()
	r.pending[id] = pending
	r.mu.Unlock()
	r.Link.Send(pending.to, peer.KindRelay, payload)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case resp = <-pending.response:
	case <-timer.C:
	}
	r.mu.Lock()
	delete(r.pending, id)
	r.mu.Unlock()
	return resp
}

// recordResult records what the response to a request that was run says besides the result.
func (r *Relay) recordResult(pending *pendingRequest, s *client.Session, resp *forwardResponse, o *engine.Outcome) {
	if resp.NotOwner {
		r.OnRoutingOutdated()
	}
	resp.Placement.copyTo(o)
	o.ForwardedTo, o.ConfigVersion = pending.to, resp.ConfigVersion
	r.recordConfigVersion(resp.ConfigVersion)
	if resp.ConfirmedVersion != 0 {
		// The owner measured the age after the request was sent, so the confirmation
		// is at least as recent as this.
		r.OnConfigurationConfirmed(pending.to, resp.ConfirmedVersion, pending.sentAt-resp.ConfirmationAge)
	}
	if resp.Floor.Reaches(s.Floor) {
		s.Floor, s.FloorSentAt = resp.Floor, r.Clock()-resp.FloorAge
	}
}

// recordConfigVersion records the version of a configuration under which an operation
// of a caller here was decided. Later operations must not be decided under an older
// one.
func (r *Relay) recordConfigVersion(version uint64) {
	for {
		newest := r.newestConfigVersion.Load()
		if version <= newest || r.newestConfigVersion.CompareAndSwap(newest, version) {
			return
		}
	}
}

// configurationCurrent reports whether this instance may decide operations under its
// own configuration. It must be as new as any under which an operation was decided
// before. If it is older, the latest one is requested from the store first.
func (r *Relay) configurationCurrent() bool {
	current := func() bool {
		c := r.Engine.Catalog()
		return c != nil && c.Version >= r.newestConfigVersion.Load()
	}
	if !current() && r.Engine.ConfirmConfiguration != nil {
		r.Engine.ConfirmConfiguration()
	}
	return current()
}

// refusedOutdatedConfiguration is the refusal while this instance's configuration is
// older than one that has decided an operation.
var refusedOutdatedConfiguration = statement.Response{Code: statement.Busy, Detail: "a newer configuration is being read"}

// refusedTooLarge is the refusal of a statement that, with the session values that it depends on,
// fits no link.
var refusedTooLarge = statement.Response{Code: statement.Busy, Detail: "the statement and the session's values are too large to be forwarded"}

// backOffFrom stops the forwarding of operations to an instance for a while, after it
// declined one.
func (r *Relay) backOffFrom(id topology.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.livenessOf(id).backoffUntil = r.Clock() + declineBackoff
}

// failPendingReads fails the reads that wait for a silent owner, so that they are sent
// to other instances.
func (r *Relay) failPendingReads(id topology.InstanceID) {
	r.mu.Lock()
	var reads []*pendingRequest
	for requestID, pending := range r.pending {
		if pending.to == id && pending.readOnly {
			reads = append(reads, pending)
			delete(r.pending, requestID)
		}
	}
	r.mu.Unlock()
	for _, pending := range reads {
		pending.response <- nil
	}
}

// Begin implements the engine's Runner. The owner learns of the transaction with its
// first statement.
func (r *Relay) Begin(s *client.Session, readOnly bool, o *engine.Outcome) (engine.Transaction, statement.Response) {
	route, refusal := r.Engine.ResolveRoute(s)
	if refusal != nil {
		return nil, refusal.Response(o, statement.Idle)
	}
	to, ok := r.awaitInstance(route.Service, route.Customer, nil)
	switch {
	case !ok:
		return nil, r.refuse(refusedNoOwner, o, statement.Idle)
	case to == r.Self && !r.configurationCurrent():
		return nil, r.refuse(refusedOutdatedConfiguration, o, statement.Idle)
	}
	t := &transaction{relay: r, session: s, number: r.lastTransaction.Add(1), route: route, readOnly: readOnly}
	if to == r.Self {
		local, response := r.Engine.Begin(s, readOnly, o)
		if local == nil {
			return nil, response
		}
		t.local = local
		return t, response
	}
	o.Reason, o.Service, o.Customer = "deferred to the first statement", route.Service, route.Customer
	return t, statement.Response{State: statement.Open}
}
